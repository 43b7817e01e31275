//! How a standby releases a held group whose lead no longer answers.
//!
//! The second rank holds the group for the lead, whose process on the first rank's host is frozen
//! or gone and may continue at any moment where it stopped. On a frozen host the rank takes no
//! orders either, so a takeover does without the first rank, except in one case. The sidecar of the
//! second rank, the standby, takes over:
//!
//! 1. It accepts no order of the lead from then on. It therefore accepts no pledge, and the lead's
//!    rank is not armed.
//! 2. It disarms every rank but the first, under a ballot above the lead's.
//! 3. It releases its own rank, and the group continues with its old map.
//!
//! Where the standby has pledged to leave the switch to the lead, the lead may have armed its own
//! rank. The standby then takes over only if it can give the first rank orders from its own host,
//! which is so where the lead's process is gone and its host is not. It disarms the first rank like
//! the others.
//!
//! A lead that continues is told that it was overtaken, and adopts the group again with a higher
//! ballot.
//!
//! Lead and standby may overtake each other again and again, where the lead's process restarts while
//! a takeover is under way. In a large group behind slow links each round of orders takes seconds,
//! and the group would stand still throughout. A lead therefore gives a takeover [`FINISH_TIME`] to
//! end, and a standby that was overtaken doubles its timeout before it tries again.

use std::collections::BTreeSet;

use snipemast_core::prelude::*;

use crate::order::{Order, Outcome, Phase, RankOrder, RankState};

/// The lead's rank.
pub const LEAD_RANK: usize = 0;

/// The rank that holds the group and whose sidecar, the standby, takes over.
pub const STANDBY_RANK: usize = 1;

/// How long the group must stand still before the standby checks whether the lead answers. An uneven
/// pass takes up to this long.
pub const STANDSTILL_TIMEOUT: Span = Span::from_millis(200);

/// How long a lead waits for a takeover that is under way to end: a multiple of what a takeover of
/// 192 ranks takes.
pub const FINISH_TIME: Span = Span::from_secs(1);

/// The longest standstill timeout after takeovers that were overtaken.
const MAX_TIMEOUT: Span = Span::from_millis(3_200);

/// Returns the next ballot of a lead above another ballot. It is odd, so a takeover that begins at
/// the same time has a different one.
pub fn next_lead_ballot(other: Ballot) -> Ballot {
    let above = other.next();
    match is_takeover_ballot(above) {
        true => above.next(),
        false => above,
    }
}

/// Returns the next ballot of a takeover above another ballot.
pub fn next_takeover_ballot(other: Ballot) -> Ballot {
    let above = other.next();
    match is_takeover_ballot(above) {
        true => above,
        false => above.next(),
    }
}

/// Whether a ballot belongs to a takeover.
pub fn is_takeover_ballot(ballot: Ballot) -> bool {
    ballot.get().is_multiple_of(2)
}

/// Whether a lead leaves a group to the takeover that is under way, given the highest ballot that
/// ranks report, whether a rank is held, and for how long that has been so.
pub fn yields_to_takeover(highest: Ballot, held: bool, seen: Span) -> bool {
    held && highest != Ballot(0) && is_takeover_ballot(highest) && seen < FINISH_TIME
}

/// Detects that a held group stands still.
#[derive(Debug, Clone)]
pub struct StandstillDetector {
    step: Step,
    since: Moment,
    timeout: Span,
}

impl StandstillDetector {
    /// Creates a detector that has observed nothing yet.
    pub fn new(now: Moment) -> Self {
        Self {
            step: Step(0),
            since: now,
            timeout: STANDSTILL_TIMEOUT,
        }
    }

    /// Notes the state of the rank that holds the group and whether it has work. Returns whether
    /// the group has stood still for longer than the timeout.
    pub fn observe(&mut self, now: Moment, state: &RankState, working: bool) -> bool {
        let held = state.held == Some(state.step.next());
        if state.step != self.step {
            self.timeout = STANDSTILL_TIMEOUT;
        }
        if state.step != self.step || !working || !held || !state.open {
            (self.step, self.since) = (state.step, now);
        }
        now >= self.since + self.timeout
    }

    /// Doubles the timeout after a takeover was tried.
    pub fn back_off(&mut self, now: Moment) {
        self.since = now;
        self.timeout = self.timeout.times(2).min(MAX_TIMEOUT);
    }
}

/// The state machine of one takeover of a held group.
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

/// The stage that a takeover has reached.
#[derive(Debug, Clone)]
enum Stage {
    /// Every rank that may be armed is being disarmed.
    Disarming { pending: BTreeSet<usize> },
    /// The standby's own rank is being released.
    Releasing,
    /// The takeover has ended.
    Over,
}

impl Takeover {
    /// Begins a takeover of a group with this many ranks and returns it with its first orders.
    ///
    /// The ballot is above the lead's, and the standby's own rank, which holds the group at the
    /// step, accepts no order of the lead any more. `pledged` tells whether the lead's rank may be
    /// armed.
    pub fn begin(
        ranks: usize,
        lead: Ballot,
        own: &RankState,
        step: Step,
        pledged: bool,
    ) -> (Self, Vec<RankOrder>) {
        let first = if pledged { LEAD_RANK } else { STANDBY_RANK };
        let pending: BTreeSet<usize> = (first..ranks).collect();
        let takeover = Self {
            step,
            unused: own.highest_map().next(),
            epoch: own.epoch,
            phase: Phase::first(lead),
            stage: Stage::Disarming { pending },
        };
        let orders = (first..ranks).map(|rank| takeover.disarm_order(rank));
        let orders = orders.collect();
        (takeover, orders)
    }

    /// Whether the takeover has ended.
    pub fn is_over(&self) -> bool {
        matches!(self.stage, Stage::Over)
    }

    /// Handles the outcome of an order.
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
            // A later lead now settles the hold.
            return self.enter(Stage::Over);
        }
        let done = outcome == Outcome::Done;
        match self.stage.clone() {
            Stage::Disarming { pending } => self.handle_disarmed(pending, rank, done),
            Stage::Releasing if done => self.enter(Stage::Over),
            Stage::Releasing => vec![self.go_order()],
            Stage::Over => Vec::new(),
        }
    }

    fn handle_disarmed(
        &mut self,
        mut pending: BTreeSet<usize>,
        rank: usize,
        done: bool,
    ) -> Vec<RankOrder> {
        if !done {
            return vec![self.disarm_order(rank)];
        }
        pending.remove(&rank);
        if pending.is_empty() {
            return self.release();
        }
        self.stage = Stage::Disarming { pending };
        Vec::new()
    }

    fn release(&mut self) -> Vec<RankOrder> {
        self.enter(Stage::Releasing);
        vec![self.go_order()]
    }

    fn disarm_order(&self, rank: usize) -> RankOrder {
        let unused = self.unused;
        self.order_for(rank, Order::Disarm { unused })
    }

    fn go_order(&self) -> RankOrder {
        let step = self.step;
        self.order_for(STANDBY_RANK, Order::Go { step })
    }

    fn order_for(&self, rank: usize, order: Order) -> RankOrder {
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
