//! How many steps ahead of its current step a group is held for a switch.

use std::collections::VecDeque;

use snipemast_core::prelude::*;

use crate::delivery::sequential_calls;

/// The most steps ahead. The old map stays in force meanwhile, for some 1.5 s at the usual duration
/// of a step.
pub const MAX_AHEAD: u64 = 16;

/// The assumed duration of one of the calls that arm a group, until armings have been timed.
const CALL_TIME: Span = Span::from_millis(3);

/// How many armings are remembered.
const MAX_ARMINGS: usize = 5;

/// From how many armings on the second longest one is expected, so that a single arming that waited
/// for lost orders changes nothing.
const SKIP_LONGEST_FROM: usize = 3;

/// How long steps are counted for to derive their duration. It spans several steps, because two
/// polls just before and after the end of a step make it seem half as long.
const STEP_WINDOW: Span = Span::from_millis(800);

/// The part of a step that a balanced map saves. After a shift of the demand a step takes two to
/// three times as long.
const STEP_SAVING: f64 = 0.5;

/// The cost of time in which the group stands still, relative to time on an unbalanced map: no
/// caller gets a token then.
const STANDSTILL_COST: f64 = 2.0;

/// Chooses how many steps ahead a group is held.
///
/// Arming 16 ranks takes less than a step, arming 72 takes several. A group that is held too early
/// waits until the last rank is armed. One that is held too late continues with the old map, with
/// which each step takes two to four times as long after a shift of the demand. The chosen step
/// minimizes the sum of the two costs.
#[derive(Debug, Clone)]
pub struct HoldDistance {
    /// When the steps began to be counted, and at which step.
    counted_from: Option<(Moment, Step)>,
    /// The duration of a step.
    step: Option<Span>,
    /// The durations of the last armings of all ranks; empty until the first one.
    armings: VecDeque<Span>,
    /// The assumed duration of an arming until one has been timed.
    assumed: Span,
}

impl HoldDistance {
    /// Creates the state for a group of this many ranks, with no durations known yet.
    pub fn new(ranks: usize) -> Self {
        Self {
            counted_from: None,
            step: None,
            armings: VecDeque::new(),
            assumed: CALL_TIME.times(sequential_calls(ranks) as u64),
        }
    }

    /// Notes that the group was in a step.
    pub fn observe_step(&mut self, now: Moment, step: Step) {
        let Some((since, first)) = self.counted_from else {
            self.counted_from = Some((now, step));
            return;
        };
        let (took, steps) = (since.until(now), step.get().saturating_sub(first.get()));
        if took < STEP_WINDOW || steps == 0 {
            return;
        }
        let each = took.as_micros() / steps;
        self.step = Some(Span::from_micros(each.max(1)));
        self.counted_from = Some((now, step));
    }

    /// Notes how long it took to arm all ranks.
    ///
    /// Failure guarded against: one rank's arming gets no answer, so it takes ten times as long as
    /// usual, and the next switches are held unnecessarily far ahead.
    pub fn record_arming(&mut self, took: Span) {
        if self.armings.len() == MAX_ARMINGS {
            self.armings.pop_front();
        }
        self.armings.push_back(took);
    }

    /// Returns how many steps ahead to hold the group, so that the time lost by the old map and by
    /// standing still costs least.
    ///
    /// The current step may end at any moment. With armings of 60 ms and unbalanced steps of 150
    /// ms, a group that is held at the next step stands still for 12 ms on average. Held one step
    /// later, it makes one more unbalanced step.
    pub fn steps(&self) -> u64 {
        /// How much longer than usual an arming may take, as a ratio.
        const MARGIN: f64 = 1.5;
        let Some(step) = self.step else { return 1 };
        let mut armings: Vec<Span> = self.armings.iter().copied().collect();
        armings.sort_unstable();
        let outlier = armings.len() >= SKIP_LONGEST_FROM;
        let usual = armings.iter().rev().nth(usize::from(outlier));
        let needed = usual.unwrap_or(&self.assumed).as_secs_f64() * MARGIN;
        let step = step.as_secs_f64();
        let cost = |ahead: u64| {
            let later = (ahead - 1) as f64 * step;
            later * STEP_SAVING + STANDSTILL_COST * mean_standstill(needed - later, step)
        };
        let mut best = 1;
        for ahead in 2..=MAX_AHEAD {
            if cost(ahead) < cost(best) {
                best = ahead;
            }
        }
        best
    }
}

/// Returns how long a group stands still on average where it needs this long, from a random moment
/// of a step, until it may begin the next one.
fn mean_standstill(needed: f64, step: f64) -> f64 {
    if needed <= 0.0 {
        0.0
    } else if needed < step {
        needed * needed / (2.0 * step)
    } else {
        needed - step / 2.0
    }
}
