//! How many steps ahead of the one that it is in a group is held for a switch.

use snipemast_core::prelude::*;

/// The fewest steps ahead: enough for an order on the lead's own host, so that the step has not
/// begun when it arrives.
const LEAST: u64 = 2;

/// The most steps ahead: the old map stays in force meanwhile, some 1.5 s at usual lengths of a step.
const MOST: u64 = 16;

/// How long it takes to arm a rank, until it has been measured.
const RANK: Span = Span::from_millis(3);

/// How long steps are counted for to tell their length: several of them, or two looks within one step
/// and the next make it seem half as long.
const WINDOW: Span = Span::from_millis(800);

/// Chooses how many steps ahead a group is held, so that all ranks are armed before the step is due
/// and the group need not wait.
///
/// Load answered: arming 16 ranks takes less than a step, arming 72 takes several.
#[derive(Debug, Clone)]
pub struct Ahead {
    seen: Option<(Moment, Step)>,
    /// How long a step takes.
    step: Option<Span>,
    /// How long it takes to arm all ranks.
    arming: Span,
}

impl Ahead {
    /// Nothing is measured yet in a group of so many ranks.
    pub fn new(ranks: usize) -> Self {
        Self {
            seen: None,
            step: None,
            arming: RANK.times(ranks as u64),
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

    /// All ranks were armed within a span. What took long once is likely to again: it is forgotten
    /// by a quarter at a time.
    pub fn armed(&mut self, took: Span) {
        let kept = self.arming.as_micros() * 3 / 4;
        self.arming = took.max(Span::from_micros(kept));
    }

    /// How many steps ahead to hold the group.
    pub fn steps(&self) -> u64 {
        /// How much longer than the last time it may take, as a ratio.
        const MARGIN: (u64, u64) = (3, 2);
        let Some(step) = self.step else { return LEAST };
        let time = self.arming.as_micros() * MARGIN.0 / MARGIN.1;
        let steps = time.div_ceil(step.as_micros());
        // The one that the group is in has begun.
        (1 + steps).clamp(LEAST, MOST)
    }
}
