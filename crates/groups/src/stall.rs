//! Whether a rank goes on with its group's passes.

use snipemast_core::prelude::*;

use crate::switch::RankState;

/// How long a rank that has requests may stay in one step before its group counts as stalled: beyond the longest
/// pass, and some tenths of what an engine takes to give up a lost rank itself.
const STALLED: Span = Span::from_millis(400);

/// Tells whether a rank's group has stalled on one of its ranks.
///
/// Failure guarded against: a rank is lost, and all others wait for it until the engine gives up, more than a second
/// later. What callers send there meanwhile has used up its time when it is refused.
#[derive(Debug, Clone)]
pub struct StallDetector {
    step: Step,
    since: Moment,
}

impl StallDetector {
    /// Nothing was seen yet.
    pub fn new(now: Moment) -> Self {
        Self {
            step: Step(0),
            since: now,
        }
    }

    /// The rank was seen, and whether it has work; true where its group goes on.
    pub fn observe_progress(&mut self, now: Moment, state: &RankState, working: bool) -> bool {
        // A group that is held goes on when its lead or a takeover lets it go.
        let waits = working && state.held != Some(state.step.next());
        if state.step != self.step || !waits {
            (self.step, self.since) = (state.step, now);
        }
        state.open && now < self.since + STALLED
    }
}
