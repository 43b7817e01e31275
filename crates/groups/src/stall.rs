//! Detects that a rank makes no progress with its group's passes.

use snipemast_core::prelude::*;

use crate::switch::RankState;

/// How long a rank with requests may stay in one step before its group counts as stalled. It is
/// longer than the longest pass, and some tenths of the time after which an engine itself gives up
/// a lost rank.
const STALL_TIMEOUT: Span = Span::from_millis(400);

/// Detects that a rank's group waits for one of its ranks.
///
/// Failure guarded against: a rank is lost, and all others wait for it until the engine gives up,
/// more than a second later. Requests that callers send there meanwhile have used up their time
/// when they are refused.
#[derive(Debug, Clone)]
pub struct StallDetector {
    step: Step,
    since: Moment,
}

impl StallDetector {
    /// Creates a detector that has observed nothing yet.
    pub fn new(now: Moment) -> Self {
        Self {
            step: Step(0),
            since: now,
        }
    }

    /// Notes the rank's state and whether it has work. Returns whether its group is running.
    pub fn observe_progress(&mut self, now: Moment, state: &RankState, working: bool) -> bool {
        // A held group is released by its lead or by a takeover.
        let waits = working && state.held != Some(state.step.next());
        if state.step != self.step || !waits {
            (self.step, self.since) = (state.step, now);
        }
        state.open && now < self.since + STALL_TIMEOUT
    }
}
