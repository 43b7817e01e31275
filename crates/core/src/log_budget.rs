//! Limits how many log lines of each kind a process writes in a second, and counts the others.
//!
//! The limits hold for a flood of requests, each with several lines, on a quarter of a core. Lines
//! about requests that go well are the first to be omitted; lines about problems are kept.

use std::collections::BTreeMap;

use crate::events::Event;
use crate::time::Moment;
use crate::units::Span;

/// Lines per second and kind about requests that go well: enough to see that they do.
pub const ROUTINE_LINES: u32 = 10;

/// Lines per second and kind about a problem or a change of state. A process usually has about 30
/// kinds, so it writes at most 3,000 lines of about 250 bytes in a second.
pub const PROBLEM_LINES: u32 = 100;

/// The length of the window in which lines are counted.
const WINDOW: Span = Span::from_secs(1);

/// The decision about a line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Admission {
    /// Whether the line is to be written.
    pub written: bool,
    /// How many lines of each kind were omitted in the window that has just ended, if any were.
    pub omitted: Option<String>,
}

/// Counts the lines of each kind in the current window.
#[derive(Debug, Clone, Default)]
pub struct LogBudget {
    /// The start of the current window.
    window: Option<Moment>,
    counts: BTreeMap<Event, u32>,
}

impl LogBudget {
    /// Creates a budget that has counted no line.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a line and decides whether it is written; `problem` says that it belongs to a
    /// problem, whatever its kind.
    pub fn admit(&mut self, now: Moment, event: Event, problem: bool) -> Admission {
        let ended = self.window.is_none_or(|since| now >= since + WINDOW);
        let omitted = if ended {
            self.window = Some(now);
            describe_omitted(&std::mem::take(&mut self.counts))
        } else {
            None
        };
        let count = self.counts.entry(event).or_default();
        *count += 1;
        let limit = if problem {
            PROBLEM_LINES
        } else {
            line_limit(event)
        };
        Admission {
            written: *count <= limit,
            omitted,
        }
    }
}

/// Returns the lines per second that an event of this kind may have.
fn line_limit(event: Event) -> u32 {
    if event.is_routine() {
        ROUTINE_LINES
    } else {
        PROBLEM_LINES
    }
}

/// Lists how many lines of each kind were over their limit, or returns none if no line was.
fn describe_omitted(counts: &BTreeMap<Event, u32>) -> Option<String> {
    let over = counts.iter().filter(|(e, n)| **n > line_limit(**e));
    let parts: Vec<String> = over
        .map(|(event, count)| format!("{} {}", event.name(), count - line_limit(*event)))
        .collect();
    (!parts.is_empty()).then(|| parts.join(", "))
}
