//! How many log lines of each kind a process may write in a second, and what was left out.
//!
//! Load answered: a flood of requests, each with several lines, on a quarter of a core. Lines of
//! what goes well are the first to be left out; a trouble keeps its lines.

use std::collections::BTreeMap;

use crate::events::Event;
use crate::time::Moment;
use crate::units::Span;

/// Lines a second of one kind that speak of what goes well: enough to see that it does.
pub const ROUTINE: u32 = 10;

/// Lines a second of one kind that speak of trouble or of a change of what is believed. Some 30
/// kinds are usual in a process, so a second has at most 3,000 lines of some 250 bytes.
pub const TROUBLE: u32 = 100;

/// The span over which lines are counted.
const WINDOW: Span = Span::from_secs(1);

/// Whether a line is written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Taken {
    /// Whether this line is.
    pub written: bool,
    /// What was left out of the window that has just ended, if anything was.
    pub left_out: Option<String>,
}

/// Counts lines by kind.
#[derive(Debug, Clone, Default)]
pub struct LogBudget {
    window: Option<Moment>,
    counts: BTreeMap<Event, u32>,
}

impl LogBudget {
    /// Nothing is counted yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a line; `kept` where it belongs to a trouble, whatever its kind.
    pub fn take(&mut self, now: Moment, event: Event, kept: bool) -> Taken {
        let ended = self.window.is_none_or(|since| now >= since + WINDOW);
        let left_out = if ended {
            self.window = Some(now);
            left_out(&std::mem::take(&mut self.counts))
        } else {
            None
        };
        let count = self.counts.entry(event).or_default();
        *count += 1;
        let bound = if kept { TROUBLE } else { bound(event) };
        Taken {
            written: *count <= bound,
            left_out,
        }
    }
}

fn bound(event: Event) -> u32 {
    if event.is_routine() {
        ROUTINE
    } else {
        TROUBLE
    }
}

fn left_out(counts: &BTreeMap<Event, u32>) -> Option<String> {
    let beyond = counts.iter().filter(|(e, n)| **n > bound(**e));
    let parts: Vec<String> = beyond
        .map(|(event, count)| format!("{} {}", event.name(), count - bound(*event)))
        .collect();
    (!parts.is_empty()).then(|| parts.join(", "))
}
