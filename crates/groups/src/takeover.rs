//! How another process lets a group go on whose lead has fallen silent while the group is held.
//!
//! The second rank holds the group for the lead, whose process beside the first rank is frozen or gone, and may
//! wake up at any moment and go on where it was. A host that stands still also keeps its rank from taking
//! orders, so nothing here needs the first rank, but for one case. The process beside the second one takes over:
//!
//! 1. it takes no order of the lead from then on, so no pledge either, and the lead's rank is not armed;
//! 2. every rank but the first is made surely not armed, under a ballot above the lead's;
//! 3. the own rank is let go: the group goes on with its old map.
//!
//! Where it has pledged to leave the switch to the lead, the lead may have armed its own rank. Then it takes over only
//! if the first rank takes orders from the second one's host, the lead's process being gone and its host not, and the
//! first rank is made surely not armed like the others.
//!
//! A lead that wakes up is told that it was overtaken, and takes the group up anew with a higher ballot.
//!
//! Lead and deputy may both be at it: the lead's process starts anew while the takeover is under way, and each
//! overtakes the other before it has ended. So a lead leaves a takeover [`FINISH`] to end, and a deputy that was
//! overtaken lets the group stand for twice as long before it tries again. Without that a group of many ranks behind slow links
//! stands for as long as both go on, because each round of orders takes seconds.

use std::collections::BTreeSet;

use snipemast_core::prelude::*;

use crate::order::{Order, Outcome, Phase, RankOrder, RankState};

/// The lead's rank.
pub const LEAD_RANK: usize = 0;

/// The rank that holds the group, and whose process takes over.
pub const DEPUTY_RANK: usize = 1;

/// How long the group must stand still before its lead is asked whether it is there: an uneven pass takes up to
/// this long.
pub const SILENT: Span = Span::from_millis(200);

/// How long a lead that finds the group held by a takeover leaves it to that: some times what one of 192 ranks
/// takes.
pub const FINISH: Span = Span::from_secs(1);

/// The longest that a group is left to stand still after a takeover that was overtaken.
const PATIENCE: Span = Span::from_millis(3_200);

/// The ballot of a lead above another one: odd, so that a takeover that begins at the same time has another one.
pub fn next_lead_ballot(other: Ballot) -> Ballot {
    let above = other.next();
    match is_takeover(above) {
        true => above.next(),
        false => above,
    }
}

/// The ballot of a takeover above another one.
pub fn next_takeover_ballot(other: Ballot) -> Ballot {
    let above = other.next();
    match is_takeover(above) {
        true => above,
        false => above.next(),
    }
}

/// Whether a ballot is a takeover's.
pub fn is_takeover(ballot: Ballot) -> bool {
    ballot.get().is_multiple_of(2)
}

/// Whether a lead leaves a group to the takeover that is at work on it, given the highest ballot that ranks tell of,
/// whether one is held, and since when that is seen.
pub fn yields_to_takeover(highest: Ballot, held: bool, seen: Span) -> bool {
    held && highest != Ballot(0) && is_takeover(highest) && seen < FINISH
}

/// Tells whether a group that is held stands still.
#[derive(Debug, Clone)]
pub struct StandstillDetector {
    step: Step,
    since: Moment,
    patience: Span,
}

impl StandstillDetector {
    /// Nothing was seen yet.
    pub fn new(now: Moment) -> Self {
        Self {
            step: Step(0),
            since: now,
            patience: SILENT,
        }
    }

    /// The rank that holds the group was seen, and whether it has work; true where it has stood still for long.
    pub fn observe(&mut self, now: Moment, state: &RankState, working: bool) -> bool {
        let held = state.held == Some(state.step.next());
        if state.step != self.step {
            self.patience = SILENT;
        }
        if state.step != self.step || !working || !held || !state.open {
            (self.step, self.since) = (state.step, now);
        }
        now >= self.since + self.patience
    }

    /// A takeover was tried.
    pub fn back_off(&mut self, now: Moment) {
        self.since = now;
        self.patience = self.patience.times(2).min(PATIENCE);
    }
}

/// One takeover of a group that is held.
#[derive(Debug, Clone)]
pub struct Takeover {
    /// The step that the group is held at.
    step: Step,
    /// A map number that no rank has had.
    unused: MapVersion,
    epoch: GroupIncarnation,
    phase: Phase,
    stage: Stage,
}

#[derive(Debug, Clone)]
enum Stage {
    /// Every rank that may be armed is made sure not to be.
    Disarming { open: BTreeSet<usize> },
    /// The own rank is let go.
    Releasing,
    /// Nothing is left to do here.
    Over,
}

impl Takeover {
    /// A takeover, under a ballot above the lead's, of a group of so many ranks that the own one holds at a step,
    /// and its first orders. The own rank takes no order of the lead any more. `pledged` tells whether the lead's rank
    /// may be armed.
    pub fn begin(
        ranks: usize,
        lead: Ballot,
        own: &RankState,
        step: Step,
        pledged: bool,
    ) -> (Self, Vec<RankOrder>) {
        let first = if pledged { LEAD_RANK } else { DEPUTY_RANK };
        let open: BTreeSet<usize> = (first..ranks).collect();
        let takeover = Self {
            step,
            unused: own.highest_map().next(),
            epoch: own.epoch,
            phase: Phase::first(lead),
            stage: Stage::Disarming { open },
        };
        let orders = (first..ranks).map(|rank| takeover.disarm(rank));
        let orders = orders.collect();
        (takeover, orders)
    }

    /// Whether nothing is left to do.
    pub fn is_over(&self) -> bool {
        matches!(self.stage, Stage::Over)
    }

    /// Takes what became of an order.
    pub fn handle_outcome(
        &mut self,
        rank: usize,
        phase: Phase,
        outcome: Outcome,
    ) -> Vec<RankOrder> {
        if phase != self.phase {
            return Vec::new();
        }
        if outcome == Outcome::Overtaken {
            // A later lead settles the hold.
            return self.enter(Stage::Over);
        }
        let done = outcome == Outcome::Done;
        match self.stage.clone() {
            Stage::Disarming { open } => self.disarmed(open, rank, done),
            Stage::Releasing if done => self.enter(Stage::Over),
            Stage::Releasing => vec![self.go()],
            Stage::Over => Vec::new(),
        }
    }

    fn disarmed(&mut self, mut open: BTreeSet<usize>, rank: usize, done: bool) -> Vec<RankOrder> {
        if !done {
            return vec![self.disarm(rank)];
        }
        open.remove(&rank);
        if open.is_empty() {
            return self.release();
        }
        self.stage = Stage::Disarming { open };
        Vec::new()
    }

    fn release(&mut self) -> Vec<RankOrder> {
        self.enter(Stage::Releasing);
        vec![self.go()]
    }

    fn disarm(&self, rank: usize) -> RankOrder {
        let unused = self.unused;
        self.to(rank, Order::Disarm { unused })
    }

    fn go(&self) -> RankOrder {
        let step = self.step;
        self.to(DEPUTY_RANK, Order::Go { step })
    }

    fn to(&self, rank: usize, order: Order) -> RankOrder {
        RankOrder {
            rank,
            phase: self.phase,
            epoch: self.epoch,
            order,
        }
    }

    fn enter(&mut self, stage: Stage) -> Vec<RankOrder> {
        self.phase = self.phase.next();
        self.stage = stage;
        Vec::new()
    }
}
