//! How another process lets a group go on whose lead has fallen silent while the group is held.
//!
//! The second rank holds the group for the lead, whose process beside the first rank is frozen or gone, and may
//! wake up at any moment and go on where it was. A host that stands still also keeps its rank from taking
//! orders, so nothing here needs the first rank. The process beside the second one takes over, unless it has
//! pledged to leave the switch to the lead, which is then about to arm its own rank:
//!
//! 1. it takes no order of the lead from then on, so no pledge either, and the lead's rank is not armed;
//! 2. every rank but the first is made surely not armed, under a ballot above the lead's;
//! 3. the own rank is let go: the group goes on with its old map.
//!
//! A lead that wakes up is told that it was overtaken, and takes the group up anew with a higher ballot.
//!
//! A group whose lead's host froze for 4.0 s just after the hold stood for all of them; it stands for 0.4 s.

use std::collections::BTreeSet;
use std::sync::Arc;

use snipemast_core::prelude::*;

use crate::map::ExpertMap;
use crate::switch::{Order, Outcome, RankState};

/// The lead's rank.
pub const LEAD: usize = 0;

/// The rank that holds the group, and whose process takes over.
pub const DEPUTY: usize = 1;

/// How long the group must stand still before its lead is asked whether it is there: an uneven pass takes up to
/// this long.
pub const SILENT: Span = Span::from_millis(200);

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
    /// Every rank but the first is made sure not to be armed.
    Disarming { open: BTreeSet<usize> },
    /// The own rank is let go.
    Releasing,
    /// Nothing is left to do here.
    Over,
}

impl Takeover {
    /// A takeover of a group of so many ranks that the own one holds at a step, and its first orders. `states`
    /// are of those ranks that tell; the own one takes no order of the lead any more.
    pub fn begin(
        ranks: usize,
        states: &[RankState],
        step: Step,
        old: Arc<ExpertMap>,
    ) -> (Self, Vec<TakeoverOrder>) {
        let highest = states.iter().map(RankState::highest).max();
        let open: BTreeSet<usize> = (DEPUTY..ranks).collect();
        let takeover = Self {
            step,
            unused: highest.unwrap_or_default().next(),
            old,
            phase: 0,
            stage: Stage::Disarming { open },
        };
        let orders = (DEPUTY..ranks).map(|rank| takeover.disarm(rank));
        let orders = orders.collect();
        (takeover, orders)
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
        if open.is_empty() {
            return self.release();
        }
        self.stage = Stage::Disarming { open };
        Vec::new()
    }

    fn release(&mut self) -> Vec<TakeoverOrder> {
        self.enter(Stage::Releasing);
        vec![self.go()]
    }

    fn disarm(&self, rank: usize) -> TakeoverOrder {
        let (unused, old) = (self.unused, Arc::clone(&self.old));
        self.to(rank, Order::Disarm { unused, old })
    }

    fn go(&self) -> TakeoverOrder {
        let step = self.step;
        self.to(DEPUTY, Order::Go { step })
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
