//! Carries out a lead's orders on one rank, and knows what may become of those without an answer.
//!
//! An order that got no answer may be carried out much later. Engines do not count these orders, so
//! nothing tells whether one is still on its way. Only the state of the engine outdates it:
//!
//! - An arming or a hold is refused once its step has begun.
//! - An arming is refused where its map is not the prepared one.
//! - A preparation is refused where its number is not higher than all earlier ones.
//!
//! A rank is therefore known not to be armed once it reports so and a map is prepared that is not
//! the one named by an unanswered arming.

use std::sync::Arc;

use snipemast_core::prelude::*;

use crate::ahead::MAX_AHEAD;
use crate::draft::KnownMaps;
use crate::map::ExpertMap;
use crate::switch::{Order, Outcome, RankState};

/// How often an order is given before its outcome is in doubt. Where every third order gets no
/// answer, a switch of 16 ranks with two orders each fails once in 200 times; with 4 tries it
/// failed once in three times.
const MAX_TRIES: u32 = 8;

/// How many map numbers the tries of one order may use. The next switch begins beyond them.
const NUMBERS_PER_ORDER: u64 = 100;

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineOrder {
    /// Copies the experts of a map that the rank lacks.
    Prepare(MapVersion, Arc<ExpertMap>),
    /// Takes a prepared map over when a step begins.
    Arm(MapVersion, Step),
    /// Cancels the arming for a map.
    Disarm(MapVersion),
    /// Keeps the group from beginning a step.
    Hold(Step),
    /// Releases the group, so that it begins the step.
    Go(Step),
}

/// An engine's answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// The order is carried out, or has begun.
    Accepted,
    /// The order was refused and never will be carried out.
    Refused,
    /// No answer came, and the order may be carried out now or later.
    None,
}

/// The next action for an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// The order is settled, with this outcome.
    Settled(Outcome),
    /// The engine is to be given this order.
    Give(EngineOrder),
    /// The engine is to prepare, under this number, a map in which the rank holds what it already
    /// holds.
    PrepareHeld(MapVersion),
}

/// The place of an order among all orders of all leads.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct OrderSeq {
    /// The lead.
    pub lead: Ballot,
    /// The number of the order among those of its lead.
    pub number: u64,
}

/// Carries out orders on one rank.
#[derive(Debug, Clone)]
pub struct Executor {
    /// The incarnations of the rank and of its group that the other fields belong to.
    incarnations: Option<(Incarnation, GroupIncarnation)>,
    /// The place of the last order that was accepted.
    seq: OrderSeq,
    /// Whether an arming may still be on its way. A process that has just started does not know
    /// which orders its predecessor gave.
    arm_pending: bool,
    /// The highest map number that was given.
    highest: MapVersion,
    /// The highest step that a hold named.
    highest_hold: Step,
    /// The step of the last pledge.
    pledged: Step,
    /// The step of the last go.
    released: Step,
    /// The step that the rank was held at when this process first observed it.
    initial_hold: Option<Step>,
    /// The maps that the rank was sent.
    maps: KnownMaps,
    /// Whether the rank is on another host, whose reports are old when they arrive.
    remote: bool,
}

/// An order that is being carried out.
#[derive(Debug, Clone)]
pub struct Task {
    order: Order,
    epoch: GroupIncarnation,
    /// The map to prepare, where the draft could be decoded.
    map: Option<Arc<ExpertMap>>,
    /// The step that a hold names.
    step: Option<Step>,
    tries: u32,
    refused: u32,
    unanswered: bool,
    accepted: bool,
}

impl Default for Executor {
    fn default() -> Self {
        Self::new()
    }
}

impl Executor {
    /// Creates an executor that has carried out no order.
    pub fn new() -> Self {
        Self {
            incarnations: None,
            seq: OrderSeq::default(),
            arm_pending: true,
            highest: MapVersion(0),
            highest_hold: Step(0),
            pledged: Step(0),
            released: Step(0),
            initial_hold: None,
            maps: KnownMaps::default(),
            remote: false,
        }
    }

    /// Creates an executor for a rank on another host.
    pub fn remote() -> Self {
        Self {
            remote: true,
            ..Self::new()
        }
    }

    /// Whether a pledge is in force, for a step that the rank has not begun.
    pub fn is_pledged(&self, state: &RankState) -> bool {
        self.pledged > state.step
    }

    /// Returns the highest ballot of a lead that gave orders.
    pub fn lead(&self) -> Ballot {
        self.seq.lead
    }

    /// Tries to take over from the lead, and returns whether that is allowed.
    ///
    /// It is refused where the group was already released, where an earlier process may have
    /// released it, and where a later lead has given orders. It is also refused where a pledge is
    /// in force, unless the lead's own rank can be ordered without the lead (`reaches`).
    ///
    /// Failure guarded against: a pledge arrives after it was checked for and before the first
    /// order of the takeover, and the lead arms its own rank while the others are disarmed. No
    /// pledge is accepted once this has succeeded.
    pub fn take_over(&mut self, ballot: Ballot, state: &RankState, reaches: bool) -> bool {
        let inherited = self.initial_hold.is_some() && self.initial_hold == state.held;
        let released = state.held == Some(self.released);
        let pledged = self.is_pledged(state) && !reaches;
        if pledged || released || inherited || ballot <= self.seq.lead {
            return false;
        }
        self.seq = OrderSeq {
            lead: ballot,
            number: 0,
        };
        true
    }

    /// Returns the outcome of an order that is not accepted.
    pub fn refusal(&self, seq: OrderSeq) -> Outcome {
        if seq.lead < self.seq.lead {
            Outcome::Overtaken
        } else {
            Outcome::Refused
        }
    }

    /// Notes the incarnation and the state that the rank has reported.
    ///
    /// Failure guarded against: a rank restarts, its group counts steps from 0 again, and a hold
    /// names a step past an earlier hold, thousands of steps ahead. A new incarnation is neither
    /// armed nor held, and orders given to an earlier one name its epoch and are refused.
    ///
    /// Failure guarded against: a sidecar restarts beside a rank that its predecessor held, and the
    /// group makes no steps. A go of the predecessor that got no answer then releases the same step
    /// when it is held again, while ranks are armed. Where maps were already switched, the first
    /// hold therefore lies past every step that the predecessor can have held.
    pub fn observe(&mut self, start: Incarnation, state: &RankState) {
        let now = (start, state.epoch);
        match self.incarnations.replace(now) {
            Some(before) if before == now => return,
            Some(_) => (self.arm_pending, self.highest_hold) = (false, Step(0)),
            None if state.highest_map() == MapVersion(0) => {}
            None => self.highest_hold = Step(state.step.get() + MAX_AHEAD),
        }
        (self.pledged, self.released, self.initial_hold) = (Step(0), Step(0), state.held);
    }

    /// Notes what the rank's sidecar has reported: the incarnation, the state, and the last step
    /// that an order still on its way may release.
    pub fn observe_remote(&mut self, start: Incarnation, state: &RankState, floor: Step) {
        let now = (start, state.epoch);
        if self.incarnations.replace(now) != Some(now) {
            self.highest_hold = Step(0);
        }
        self.highest_hold = self.highest_hold.max(floor);
    }

    /// Returns the last step that an order still on its way may release. New holds lie past it.
    pub fn floor(&self) -> Step {
        self.highest_hold.max(self.released)
    }

    /// Returns whether a go was ordered for a step that the rank is held at, as the outcome of
    /// [`Order::Settle`].
    fn go_outcome(&self, step: Step) -> Outcome {
        if self.released == step {
            Outcome::Refused
        } else if self.initial_hold == Some(step) {
            Outcome::Untold
        } else {
            Outcome::Done
        }
    }

    /// Accepts an order, or returns `None` where a later one was accepted before.
    ///
    /// Failure guarded against: an arming is delayed on its way from the lead, the lead gives up
    /// and disarms the rank, and the arming arrives after that, so one rank alone takes the new map
    /// over. Orders are numbered, and an earlier one is refused after a later one.
    pub fn accept(&mut self, seq: OrderSeq, order: Order, epoch: GroupIncarnation) -> Option<Task> {
        if seq <= self.seq {
            return None;
        }
        self.seq = seq;
        let map = match &order {
            Order::Prepare { version, draft } => self.maps.decode(epoch, *version, draft),
            _ => None,
        };
        match order {
            Order::Pledge { step } => self.pledged = step,
            Order::Go { step } => self.released = step,
            _ => {}
        }
        Some(Task {
            order,
            epoch,
            map,
            step: None,
            tries: 0,
            refused: 0,
            unanswered: false,
            accepted: false,
        })
    }

    /// Returns the next action for an order, given the state that the rank has reported.
    pub fn next_action(&self, task: &mut Task, state: &RankState) -> Action {
        if state.epoch != task.epoch {
            return Action::Settled(match task.order {
                // A group that formed again is neither armed nor held.
                Order::Disarm { .. } | Order::Go { .. } => Outcome::Done,
                _ => Outcome::Refused,
            });
        }
        let (carried_out, order) = match &task.order {
            Order::Disarm { unused } => return self.disarm(*unused, task.tries, state),
            Order::Hold { ahead } => return task.hold(*ahead, self.highest_hold, state),
            // The pledge was noted when the order was accepted.
            Order::Pledge { .. } => return Action::Settled(Outcome::Done),
            Order::Settle { step } => return Action::Settled(self.go_outcome(*step)),
            Order::Prepare { version, .. } => {
                let Some(map) = &task.map else {
                    return Action::Settled(Outcome::Untold);
                };
                let order = EngineOrder::Prepare(*version, Arc::clone(map));
                (state.prepared == Some(*version), order)
            }
            Order::Arm { version, step } => (
                state.armed == Some(*version),
                EngineOrder::Arm(*version, *step),
            ),
            Order::Go { step } => (state.held != Some(*step), EngineOrder::Go(*step)),
        };
        // An accepted order is not given again, because a copy takes some time.
        if task.accepted || carried_out {
            return Action::Settled(Outcome::Done);
        }
        if task.refused > 0 {
            return Action::Settled(refused_outcome(task));
        }
        if task.tries >= MAX_TRIES {
            return Action::Settled(Outcome::Unsure);
        }
        Action::Give(order)
    }

    /// Disarms the rank. Where an arming may be on its way, the rank also prepares what it already
    /// holds under a new number. That copies nothing, and the arming is refused because its map is
    /// no longer the prepared one.
    fn disarm(&self, unused: MapVersion, tries: u32, state: &RankState) -> Action {
        // Failure guarded against: the lead is back, releases the group and arms the next map, and
        // a takeover that does not know of it cancels that arming on one rank, so a pass runs on
        // two maps. Any number beyond those of the takeover belongs to a later lead.
        if self.remote && state.highest_map().get() > unused.get() + NUMBERS_PER_ORDER {
            return Action::Settled(Outcome::Overtaken);
        }
        // An old report does not show what was prepared since.
        let may_be_prepared = state.prepared.is_some() || self.remote;
        let next = match state.armed {
            Some(version) => Action::Give(EngineOrder::Disarm(version)),
            None if self.arm_pending && may_be_prepared => {
                let highest = state.highest_map().max(self.highest);
                Action::PrepareHeld(unused.max(highest.next()))
            }
            // Nothing is prepared, so any arming that may still arrive is refused.
            None => return Action::Settled(Outcome::Done),
        };
        if tries >= MAX_TRIES {
            return Action::Settled(Outcome::Unsure);
        }
        next
    }

    /// Notes that an order is about to be given. Until it is answered it counts as on its way.
    ///
    /// This must be called before the order is sent, because the task may be cancelled at any
    /// moment after that.
    pub fn before_send(&mut self, order: &EngineOrder) -> bool {
        let before = self.arm_pending;
        match order {
            EngineOrder::Arm(..) => self.arm_pending = true,
            EngineOrder::Prepare(version, _) => self.highest = self.highest.max(*version),
            EngineOrder::Hold(step) => self.highest_hold = self.highest_hold.max(*step),
            _ => {}
        }
        before
    }

    /// Notes the answer to an order; `before` is what [`before_send`](Self::before_send) returned.
    pub fn after_send(
        &mut self,
        task: &mut Task,
        order: &EngineOrder,
        before: bool,
        answer: Answer,
    ) {
        task.tries += 1;
        match answer {
            Answer::Accepted => task.accepted = true,
            Answer::Refused => task.refused += 1,
            Answer::None => task.unanswered = true,
        }
        let outdates = matches!(task.order, Order::Disarm { .. });
        self.arm_pending = match (order, answer) {
            // An earlier copy of the arming that got no answer may still arrive.
            (EngineOrder::Arm(..), Answer::Accepted | Answer::Refused) => before,
            (EngineOrder::Prepare(..), Answer::Accepted) if outdates => false,
            _ => self.arm_pending,
        };
    }
}

impl Task {
    /// Holds the rank some steps ahead of its reported step, and past every step held before.
    ///
    /// Failure guarded against: a group without requests makes no steps and would be held at the
    /// same step again. A go for the earlier hold that got no answer then releases that step while
    /// ranks are armed, and a pass runs on two maps.
    ///
    /// Where the step has begun before the order arrived, a later step is tried. After a try
    /// without an answer the step stays the same, because the group must not be held at two steps
    /// of which one is unknown.
    fn hold(&mut self, ahead: u64, highest_hold: Step, state: &RankState) -> Action {
        if let Some(step) = self.step.filter(|s| state.held == Some(*s)) {
            return Action::Settled(Outcome::Held(step));
        }
        // The hold was accepted and released since. Nobody else gives orders, so it was outdated.
        if state.held.is_some() || self.accepted {
            return Action::Settled(Outcome::Refused);
        }
        if self.tries >= MAX_TRIES {
            return Action::Settled(refused_outcome(self));
        }
        let kept = self.step.filter(|_| self.unanswered);
        if kept.is_some() && self.refused > 0 {
            return Action::Settled(Outcome::Unsure);
        }
        let fresh = Step(state.step.get() + ahead).max(highest_hold.next());
        let step = kept.unwrap_or(fresh);
        self.step = Some(step);
        Action::Give(EngineOrder::Hold(step))
    }
}

/// Returns the outcome of a refused order. After a try without an answer, that try may be the
/// reason for the refusal.
fn refused_outcome(task: &Task) -> Outcome {
    match task.order {
        // The first copy is under way, and the rank reports when it is complete.
        Order::Prepare { .. } if task.unanswered => Outcome::Done,
        _ if task.unanswered => Outcome::Unsure,
        _ => Outcome::Refused,
    }
}
