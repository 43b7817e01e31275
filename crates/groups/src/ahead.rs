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

/// The assumed part of a step that a balanced map saves, where the switch does not state it. After
/// a shift of the demand a step takes two to three times as long.
const STEP_SAVING: f64 = 0.5;

/// The largest part of a step that a map is expected to save, so that an estimate of the demand
/// that is far off does not make steps seem endless.
const MAX_SAVING: f64 = 0.75;

/// How many durations of steps are remembered. Together they span more than one shift of the demand
/// and its switch, so that the shortest one is that of steps on a balanced map.
const MAX_DURATIONS: usize = 4;

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
    /// The durations of a step in the last windows; empty until the first one.
    durations: VecDeque<Span>,
    /// The part of a step that the next map saves, where it is known.
    saving: Option<f64>,
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
            durations: VecDeque::new(),
            saving: None,
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
        push_bounded(
            &mut self.durations,
            Span::from_micros(each.max(1)),
            MAX_DURATIONS,
        );
        self.counted_from = Some((now, step));
    }

    /// Notes the part of a step that the next map saves.
    pub fn expect_saving(&mut self, saving: f64) {
        self.saving = Some(saving.clamp(0.0, MAX_SAVING));
    }

    /// Returns the expected duration of a step until the next map is in force.
    ///
    /// Failure guarded against: a group is held several steps ahead just after a shift of the
    /// demand, because the last measured steps are those before the shift. The steps that it waits
    /// for take twice as long, and no stream gets its tokens in time meanwhile. The steps before
    /// the shift show how long steps on the next map take, and the saving shows how much longer
    /// those on the current map take.
    fn expected_step(&self) -> Option<Span> {
        let last = *self.durations.back()?;
        let shortest = self.durations.iter().min()?.as_micros() as f64;
        let longer = shortest / (1.0 - self.saving.unwrap_or_default());
        Some(last.max(Span::from_micros(longer as u64)))
    }

    /// Notes how long it took to arm all ranks.
    ///
    /// Failure guarded against: one rank's arming gets no answer, so it takes ten times as long as
    /// usual, and the next switches are held unnecessarily far ahead.
    pub fn record_arming(&mut self, took: Span) {
        push_bounded(&mut self.armings, took, MAX_ARMINGS);
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
        let Some(step) = self.expected_step() else {
            return 1;
        };
        let saving = self.saving.unwrap_or(STEP_SAVING);
        let mut armings: Vec<Span> = self.armings.iter().copied().collect();
        armings.sort_unstable();
        let outlier = armings.len() >= SKIP_LONGEST_FROM;
        let usual = armings.iter().rev().nth(usize::from(outlier));
        let needed = usual.unwrap_or(&self.assumed).as_secs_f64() * MARGIN;
        let step = step.as_secs_f64();
        let cost = |ahead: u64| {
            let later = (ahead - 1) as f64 * step;
            later * saving + STANDSTILL_COST * mean_standstill(needed - later, step)
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

/// Adds an item to a queue, and removes the oldest one where the queue is full.
fn push_bounded(queue: &mut VecDeque<Span>, item: Span, bound: usize) {
    if queue.len() == bound {
        queue.pop_front();
    }
    queue.push_back(item);
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
