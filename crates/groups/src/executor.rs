//! Carries one lead's orders out on one rank, each surely or not at all.
//!
//! An order that got no answer may be carried out much later, and engines do not count these
//! orders, so nothing tells that one is still on its way. What outdates it is the engine's state:
//!
//! - an arming or a hold is refused once its step has begun,
//! - an arming is refused where its map is not the one that is prepared,
//! - a preparation is refused where its number is not higher than all before.
//!
//! So a rank counts as surely not armed once it says so and another map is prepared than the one
//! that an unanswered arming names.

use std::sync::Arc;

use snipemast_core::prelude::*;

use crate::ahead::MOST;
use crate::draft::Told;
use crate::map::ExpertMap;
use crate::switch::{Order, Outcome, RankState};

/// How often an order is given before its outcome is called unsure. Where every third one gets no answer, a
/// switch of 16 ranks with two orders each fails once in 200 times; with 4 tries it was one in three.
const TRIES: u32 = 8;

/// How many map numbers the tries of one order may take; the next switch begins beyond them.
const OWN: u64 = 100;

/// One order as an engine takes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineOrder {
    /// Copy what is new of a map.
    Prepare(MapVersion, Arc<ExpertMap>),
    /// Take a prepared map over as a step begins.
    Arm(MapVersion, Step),
    /// Do not take it over.
    Disarm(MapVersion),
    /// Keep the group from beginning a step.
    Hold(Step),
    /// Let it begin the step.
    Go(Step),
}

/// How an engine answered an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// It holds, or has begun.
    Accepted,
    /// It was refused, and never will be carried out.
    Refused,
    /// No answer: it may be carried out, now or later.
    None,
}

/// What to do next for an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// It is settled.
    Settled(Outcome),
    /// Give the engine this order.
    Give(EngineOrder),
    /// Have the engine prepare, under this number, a map in which the rank holds what it holds already.
    PrepareHeld(MapVersion),
}

/// The place of an order among all orders of all leads.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct OrderSeq {
    /// The lead.
    pub lead: Ballot,
    /// Which of its orders.
    pub number: u64,
}

/// Carries orders out on one rank.
#[derive(Debug, Clone)]
pub struct Executor {
    /// The start of the rank, and its group's, that the rest is about.
    known: Option<(Incarnation, GroupIncarnation)>,
    /// The place of the last order that was taken.
    seq: OrderSeq,
    /// Whether an arming may still be on its way. A process that has just started does not know
    /// what its predecessor gave.
    arm_pending: bool,
    /// The highest map number that was given.
    highest: MapVersion,
    /// The highest step that a hold named.
    held: Step,
    /// The step of the last pledge, and of the last go.
    pledged: Step,
    gone: Step,
    /// The step that the rank was held at when this process saw it first.
    found: Option<Step>,
    /// The maps that it was told.
    told: Told,
    /// Whether the rank is on another host, whose reports are old when they come.
    afar: bool,
}

/// One order under way.
#[derive(Debug, Clone)]
pub struct Task {
    order: Order,
    epoch: GroupIncarnation,
    /// The map to prepare, where it can be told.
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
    /// An executor that has carried out nothing.
    pub fn new() -> Self {
        Self {
            known: None,
            seq: OrderSeq::default(),
            arm_pending: true,
            highest: MapVersion(0),
            held: Step(0),
            pledged: Step(0),
            gone: Step(0),
            found: None,
            told: Told::default(),
            afar: false,
        }
    }

    /// An executor on a rank of another host.
    pub fn remote() -> Self {
        Self {
            afar: true,
            ..Self::new()
        }
    }

    /// Whether a pledge is in force, for a step that the rank has not begun.
    pub fn is_pledged(&self, state: &RankState) -> bool {
        self.pledged > state.step
    }

    /// The highest lead that gave orders.
    pub fn lead(&self) -> Ballot {
        self.seq.lead
    }

    /// Lets another process take over from the lead. False where the group was let go on already, where that may
    /// have been ordered by an earlier process, where a later lead has given orders, and, unless the lead's own
    /// rank can be ordered without the lead (`reaches`), where a pledge is in force.
    ///
    /// Failure guarded against: the pledge arrives between the look at it and the first order of the takeover,
    /// and the lead arms its own rank while the others are disarmed. No pledge is taken after this.
    pub fn overtake(&mut self, ballot: Ballot, state: &RankState, reaches: bool) -> bool {
        let younger = self.found.is_some() && self.found == state.held;
        let gone = state.held == Some(self.gone);
        let pledged = self.is_pledged(state) && !reaches;
        if pledged || gone || younger || ballot <= self.seq.lead {
            return false;
        }
        self.seq = OrderSeq {
            lead: ballot,
            number: 0,
        };
        true
    }

    /// What becomes of an order that is not taken up.
    pub fn refusal(&self, seq: OrderSeq) -> Outcome {
        if seq.lead < self.seq.lead {
            Outcome::Overtaken
        } else {
            Outcome::Refused
        }
    }

    /// The rank told which start of it this is, and its state.
    ///
    /// Failure guarded against: a rank starts again, its group counts its steps anew, and a hold names a
    /// step past one of before, thousands of steps ahead. A new start is armed for nothing and held
    /// nowhere, and orders that were given to an earlier one name its epoch and are refused.
    ///
    /// Failure guarded against: a process starts anew beside a rank that its predecessor held, the group
    /// makes no steps, and a go of the predecessor that got no answer lets it begin the very step that
    /// it is held at again, while ranks are armed. Where maps were switched already, the first hold lies past
    /// every step that the predecessor can have held.
    pub fn observe(&mut self, start: Incarnation, state: &RankState) {
        let told = (start, state.epoch);
        match self.known.replace(told) {
            Some(before) if before == told => return,
            Some(_) => (self.arm_pending, self.held) = (false, Step(0)),
            None if state.highest_map() == MapVersion(0) => {}
            None => self.held = Step(state.step.get() + MOST),
        }
        (self.pledged, self.gone, self.found) = (Step(0), Step(0), state.held);
    }

    /// The process beside the rank told which start this is, its state, and up to which step it may be let go by
    /// an order that is still on its way.
    pub fn observe_remote(&mut self, start: Incarnation, state: &RankState, floor: Step) {
        let told = (start, state.epoch);
        if self.known.replace(told) != Some(told) {
            self.held = Step(0);
        }
        self.held = self.held.max(floor);
    }

    /// Up to which step the rank may be let go by an order that is still on its way.
    pub fn floor(&self) -> Step {
        self.held.max(self.gone)
    }

    /// Whether a go was ordered for a step that the rank is held at.
    fn settle(&self, step: Step) -> Outcome {
        if self.gone == step {
            Outcome::Refused
        } else if self.found == Some(step) {
            Outcome::Untold
        } else {
            Outcome::Done
        }
    }

    /// Takes an order up; nothing where a later one was taken before.
    ///
    /// Failure guarded against: an arming is held up on its way from the lead, the lead gives up and
    /// has the rank disarmed, and the arming arrives after that: one rank takes the new map over
    /// alone. Orders are numbered, and an earlier one is refused after a later one.
    pub fn accept(&mut self, seq: OrderSeq, order: Order, epoch: GroupIncarnation) -> Option<Task> {
        if seq <= self.seq {
            return None;
        }
        self.seq = seq;
        let map = match &order {
            Order::Prepare { version, draft } => self.told.read(epoch, *version, draft),
            _ => None,
        };
        match order {
            Order::Pledge { step } => self.pledged = step,
            Order::Go { step } => self.gone = step,
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

    /// What to do next for an order, after what the rank told.
    pub fn next_action(&self, task: &mut Task, state: &RankState) -> Action {
        if state.epoch != task.epoch {
            return Action::Settled(match task.order {
                // A group that formed again is armed for nothing and held nowhere.
                Order::Disarm { .. } | Order::Go { .. } => Outcome::Done,
                _ => Outcome::Refused,
            });
        }
        let (holds, order) = match &task.order {
            Order::Disarm { unused } => return self.disarm(*unused, task.tries, state),
            Order::Hold { ahead } => return task.hold(*ahead, self.held, state),
            // Noted when it was taken up.
            Order::Pledge { .. } => return Action::Settled(Outcome::Done),
            Order::Settle { step } => return Action::Settled(self.settle(*step)),
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
        // What has begun needs no second order: a copy takes its time.
        if task.accepted || holds {
            return Action::Settled(Outcome::Done);
        }
        if task.refused > 0 {
            return Action::Settled(refused(task));
        }
        if task.tries >= TRIES {
            return Action::Settled(Outcome::Unsure);
        }
        Action::Give(order)
    }

    /// Disarms, and prepares what the rank holds under a new number where an arming may be on its way: that
    /// copies nothing, and the arming is refused because its map is not the prepared one any more.
    fn disarm(&self, unused: MapVersion, tries: u32, state: &RankState) -> Action {
        // Failure guarded against: the lead is back, has the group go on and arms the next map, and a takeover that
        // nobody told of it takes that arming back on the one rank: one pass on two maps. Whatever has a number
        // beyond those of the takeover is a later lead's.
        if self.afar && state.highest_map().get() > unused.get() + OWN {
            return Action::Settled(Outcome::Overtaken);
        }
        // An old report tells of nothing that was prepared since.
        let may_be = state.prepared.is_some() || self.afar;
        let next = match state.armed {
            Some(version) => Action::Give(EngineOrder::Disarm(version)),
            None if self.arm_pending && may_be => {
                let highest = state.highest_map().max(self.highest);
                Action::PrepareHeld(unused.max(highest.next()))
            }
            // Nothing is prepared: whatever arming may come is refused.
            None => return Action::Settled(Outcome::Done),
        };
        if tries >= TRIES {
            return Action::Settled(Outcome::Unsure);
        }
        next
    }

    /// An order is about to be given; until it is answered it is on its way.
    ///
    /// To be called before the order leaves: the work may be cut off at any moment after that.
    pub fn before_send(&mut self, order: &EngineOrder) -> bool {
        let before = self.arm_pending;
        match order {
            EngineOrder::Arm(..) => self.arm_pending = true,
            EngineOrder::Prepare(version, _) => self.highest = self.highest.max(*version),
            EngineOrder::Hold(step) => self.held = self.held.max(*step),
            _ => {}
        }
        before
    }

    /// An order was answered; `before` is what [`before_send`](Self::before_send) returned.
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
            // Another copy of the arming that got no answer before may still come.
            (EngineOrder::Arm(..), Answer::Accepted | Answer::Refused) => before,
            (EngineOrder::Prepare(..), Answer::Accepted) if outdates => false,
            _ => self.arm_pending,
        };
    }
}

impl Task {
    /// Holds the rank some steps ahead of where it says that it is, and past every step held before.
    ///
    /// Failure guarded against: a group without requests makes no steps, so it would be held at the
    /// same step again, and a go for the hold before that got no answer lets it begin that step
    /// while ranks are armed: one pass on two maps.
    ///
    /// A step that has begun before the order arrived is given up for a later one. After a try
    /// without an answer the step stays: the group must not be held at two of them, one unknown.
    fn hold(&mut self, ahead: u64, held: Step, state: &RankState) -> Action {
        if let Some(step) = self.step.filter(|s| state.held == Some(*s)) {
            return Action::Settled(Outcome::Held(step));
        }
        // Accepted, and let go since: nobody else gives orders, so it was outdated.
        if state.held.is_some() || self.accepted {
            return Action::Settled(Outcome::Refused);
        }
        if self.tries >= TRIES {
            return Action::Settled(refused(self));
        }
        let kept = self.step.filter(|_| self.unanswered);
        if kept.is_some() && self.refused > 0 {
            return Action::Settled(Outcome::Unsure);
        }
        let fresh = Step(state.step.get() + ahead).max(held.next());
        let step = kept.unwrap_or(fresh);
        self.step = Some(step);
        Action::Give(EngineOrder::Hold(step))
    }
}

/// What a refusal means: after a try without an answer, that try may have been what is in the way.
fn refused(task: &Task) -> Outcome {
    match task.order {
        // The first copy is under way; the rank says when it is complete.
        Order::Prepare { .. } if task.unanswered => Outcome::Done,
        _ if task.unanswered => Outcome::Unsure,
        _ => Outcome::Refused,
    }
}
