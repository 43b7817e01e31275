//! How many steps ahead of the one that it is in a group is held for a switch.

use std::collections::VecDeque;

use snipemast_core::prelude::*;

use crate::delivery::calls_in_turn;

/// The most steps ahead: the old map stays in force meanwhile, some 1.5 s at usual lengths of a step.
pub const MOST: u64 = 16;

/// How long one of the calls takes that arm a group, until it has been measured.
const CALL: Span = Span::from_millis(3);

/// How many armings are remembered; with enough of them the longest but one is what one takes, so that one that
/// waited for lost orders changes nothing.
const REMEMBERED: usize = 5;
const ENOUGH: usize = 3;

/// How long steps are counted for to tell their length: several of them, or two looks within one step
/// and the next make it seem half as long.
const WINDOW: Span = Span::from_millis(800);

/// The part of a step that an even map saves: after a shift a step takes two to three times as long.
const SAVED: f64 = 0.5;

/// What a moment counts for which the group stands, against one on an uneven map: nobody gets a token then.
const STANDING: f64 = 2.0;

/// Chooses how many steps ahead a group is held.
///
/// Load answered: arming 16 ranks takes less than a step, arming 72 takes several. Held too near, the group
/// waits until the last rank is armed; held too far, it goes on with the old map, which takes each
/// step two to four times as long after a shift. So the step is the one at which the two together cost least.
#[derive(Debug, Clone)]
pub struct Ahead {
    seen: Option<(Moment, Step)>,
    /// How long a step takes.
    step: Option<Span>,
    /// How long it took to arm all ranks, the last times; nothing until the first.
    armings: VecDeque<Span>,
    /// What it takes until it has been measured.
    guess: Span,
}

impl Ahead {
    /// Nothing is measured yet in a group of so many ranks.
    pub fn new(ranks: usize) -> Self {
        Self {
            seen: None,
            step: None,
            armings: VecDeque::new(),
            guess: CALL.times(calls_in_turn(ranks) as u64),
        }
    }

    /// The group was seen in a step.
    pub fn saw(&mut self, now: Moment, step: Step) {
        let Some((since, first)) = self.seen else {
            self.seen = Some((now, step));
            return;
        };
        let (took, steps) = (since.until(now), step.get().saturating_sub(first.get()));
        if took < WINDOW || steps == 0 {
            return;
        }
        let each = took.as_micros() / steps;
        self.step = Some(Span::from_micros(each.max(1)));
        self.seen = Some((now, step));
    }

    /// All ranks were armed within a span.
    ///
    /// Failure guarded against: one rank's arming gets no answer, which takes ten times as long as usual,
    /// and the next switches are held far ahead for nothing.
    pub fn armed(&mut self, took: Span) {
        if self.armings.len() == REMEMBERED {
            self.armings.pop_front();
        }
        self.armings.push_back(took);
    }

    /// How many steps ahead to hold the group: where what is lost by the old map and by standing is least.
    ///
    /// The step that the group is in ends at any moment of its length. Held at the next one, with armings of 60 ms
    /// and uneven steps of 150 ms, a group stands for 12 ms on average; held at the one after it, it makes
    /// one more uneven step.
    pub fn steps(&self) -> u64 {
        /// How much longer than usual it may take, as a ratio.
        const MARGIN: f64 = 1.5;
        let Some(step) = self.step else { return 1 };
        let mut armings: Vec<Span> = self.armings.iter().copied().collect();
        armings.sort_unstable();
        let outlier = armings.len() >= ENOUGH;
        let usual = armings.iter().rev().nth(usize::from(outlier));
        let needed = usual.unwrap_or(&self.guess).as_secs_f64() * MARGIN;
        let step = step.as_secs_f64();
        let lost = |ahead: u64| {
            let later = (ahead - 1) as f64 * step;
            later * SAVED + STANDING * standing(needed - later, step)
        };
        let mut best = 1;
        for ahead in 2..=MOST {
            if lost(ahead) < lost(best) {
                best = ahead;
            }
        }
        best
    }
}

/// How long a group stands on average that needs so long, from some moment of a step, until it may begin the next.
fn standing(needed: f64, step: f64) -> f64 {
    if needed <= 0.0 {
        0.0
    } else if needed < step {
        needed * needed / (2.0 * step)
    } else {
        needed - step / 2.0
    }
}
