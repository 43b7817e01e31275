//! How another process lets a group go on whose lead has fallen silent while the group is held.
//!
//! The lead's own rank keeps the group from beginning a step; its process is frozen or gone, and may wake up at
//! any moment and go on where it was. The process beside another rank takes over:
//!
//! 1. its own rank holds the group at the same step too, so that a go of the lead lets nothing begin;
//! 2. every rank is made surely not armed, under a ballot above the lead's. Ranks that have seen it refuse the
//!    lead from then on; the lead's own rank, whose process sees nothing, is given its orders from afar, and
//!    refuses an arming of the lead because its map is not the prepared one any more;
//! 3. the lead's rank is let go, then the own one: the group goes on with its old map.
//!
//! A lead that wakes up is told that it was overtaken, takes the group up anew with a higher ballot, and settles
//! whatever hold it finds, this one's too.

use std::collections::BTreeSet;
use std::sync::Arc;

use snipemast_core::prelude::*;

use crate::map::ExpertMap;
use crate::switch::{Order, Outcome, RankState};

/// The lead's rank.
pub const LEAD: usize = 0;

/// The rank whose process takes over.
pub const DEPUTY: usize = 1;

/// How long the lead must be silent while its group stands still: some times what a call takes, so that a
/// process that only waits for its processor is not taken for silent. With what it takes to
/// find out and to disarm the ranks, the group goes on 0.4 s after its lead fell silent; it stood for up
/// to 4.1 s.
pub const SILENT: Span = Span::from_millis(200);

/// How many map numbers a takeover may use: a lead leaves more between two of its maps.
const NUMBERS: u64 = 500;

/// An order of a takeover.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TakeoverOrder {
    /// The rank.
    pub rank: usize,
    /// Which phase it belongs to; its outcome is told with the same one.
    pub phase: u32,
    /// The order.
    pub order: Order,
}

/// One takeover of a group that is held.
#[derive(Debug, Clone)]
pub struct Takeover {
    ranks: usize,
    /// The step that the group is held at.
    step: Step,
    /// A map number that no rank has had, and the map in force.
    unused: MapVersion,
    old: Arc<ExpertMap>,
    phase: u32,
    stage: Stage,
}

#[derive(Debug, Clone)]
enum Stage {
    /// The own rank is asked to hold the group too.
    Holding,
    /// Ranks are made sure not to be armed.
    Disarming { open: BTreeSet<usize> },
    /// The lead's rank is let go.
    FreeingLead,
    /// The own rank is let go.
    FreeingOwn,
    /// The step is awaited: a hold that got no answer may still land before it.
    Watching,
    /// Nothing is left to do here.
    Over,
}

impl Takeover {
    /// A takeover of a group whose ranks were all seen, and its first order. `states` holds all ranks; the lead's
    /// is held at `step`.
    pub fn begin(
        states: &[RankState],
        step: Step,
        old: Arc<ExpertMap>,
    ) -> (Self, Vec<TakeoverOrder>) {
        let highest = states.iter().map(RankState::highest).max();
        let mut takeover = Self {
            ranks: states.len(),
            step,
            unused: highest.unwrap_or_default().next(),
            old,
            phase: 0,
            stage: Stage::Holding,
        };
        let orders = takeover.hold();
        (takeover, orders)
    }

    /// The highest map number that the takeover uses; what lies above is another lead's.
    pub fn bound(&self) -> MapVersion {
        MapVersion(self.unused.get() + NUMBERS)
    }

    /// Whether nothing is left to do.
    pub fn is_over(&self) -> bool {
        matches!(self.stage, Stage::Over)
    }

    /// Takes what became of an order.
    pub fn take(&mut self, rank: usize, phase: u32, outcome: Outcome) -> Vec<TakeoverOrder> {
        if phase != self.phase {
            return Vec::new();
        }
        if outcome == Outcome::Overtaken {
            // A later lead settles all holds, also the own one.
            return self.enter(Stage::Over);
        }
        let done = outcome == Outcome::Done;
        match self.stage.clone() {
            Stage::Holding if done => self.disarm_all(),
            Stage::Holding if outcome == Outcome::Unsure => self.hold(),
            // The step has begun: the group goes on.
            Stage::Holding => self.enter(Stage::Over),
            Stage::Disarming { open } => self.disarmed(open, rank, done),
            Stage::FreeingLead if done => {
                self.enter(Stage::FreeingOwn);
                vec![self.go(DEPUTY)]
            }
            Stage::FreeingLead => vec![self.go(LEAD)],
            Stage::FreeingOwn if done => self.enter(Stage::Watching),
            Stage::FreeingOwn => vec![self.go(DEPUTY)],
            Stage::Watching | Stage::Over => Vec::new(),
        }
    }

    /// Takes what the own rank says of itself.
    pub fn observe(&mut self, own: &RankState) -> Vec<TakeoverOrder> {
        if !matches!(self.stage, Stage::Watching) {
            return Vec::new();
        }
        if own.step >= self.step || !own.open {
            return self.enter(Stage::Over);
        }
        if own.held == Some(self.step) {
            // Failure guarded against: a hold that got no answer lands after the go, and the group stands
            // still for good.
            self.enter(Stage::FreeingOwn);
            return vec![self.go(DEPUTY)];
        }
        Vec::new()
    }

    fn hold(&mut self) -> Vec<TakeoverOrder> {
        self.enter(Stage::Holding);
        let step = self.step;
        vec![self.to(DEPUTY, Order::HoldAt { step })]
    }

    fn disarm_all(&mut self) -> Vec<TakeoverOrder> {
        let open = (0..self.ranks).collect();
        self.enter(Stage::Disarming { open });
        (0..self.ranks).map(|rank| self.disarm(rank)).collect()
    }

    fn disarmed(
        &mut self,
        mut open: BTreeSet<usize>,
        rank: usize,
        done: bool,
    ) -> Vec<TakeoverOrder> {
        if !done {
            return vec![self.disarm(rank)];
        }
        open.remove(&rank);
        if !open.is_empty() {
            self.stage = Stage::Disarming { open };
            return Vec::new();
        }
        self.enter(Stage::FreeingLead);
        vec![self.go(LEAD)]
    }

    fn disarm(&self, rank: usize) -> TakeoverOrder {
        let (unused, old) = (self.unused, Arc::clone(&self.old));
        self.to(rank, Order::Disarm { unused, old })
    }

    fn go(&self, rank: usize) -> TakeoverOrder {
        let step = self.step;
        self.to(rank, Order::Go { step })
    }

    fn to(&self, rank: usize, order: Order) -> TakeoverOrder {
        TakeoverOrder {
            rank,
            phase: self.phase,
            order,
        }
    }

    fn enter(&mut self, stage: Stage) -> Vec<TakeoverOrder> {
        self.phase += 1;
        self.stage = stage;
        Vec::new()
    }
}
