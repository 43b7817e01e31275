//! How a group's lead brings a new expert map into force on engines that take orders.
//!
//! A rank's engine copies the experts of a map (`Prepare`), is told the step at which it takes the
//! map over (`Arm`), and can keep the whole group from beginning a step (`Hold`, until `Go`).
//! Engines do not compare their maps, so the lead must make sure that no step begins with the new
//! map on some ranks and the old one on others. It proceeds in this order:
//!
//! 1. Every rank has prepared the map.
//! 2. The second rank holds the group at a step that has not begun.
//! 3. Either every rank is armed for that step, the lead's own rank last, or every rank is known
//!    not to be armed.
//! 4. Only then is the group released.
//!
//! Where the lead stops answering in between, the sidecar of the second rank, the standby, releases
//! the group ([`takeover`](crate::takeover)). Until the lead has announced that it is about to arm
//! its own rank, that rank is known not to be armed, and all others can be disarmed.
//!
//! An order that got no answer may be carried out much later. The [`executor`](crate::executor)
//! settles what became of it on each rank.

mod stage;

use std::collections::BTreeSet;
use std::sync::Arc;

use snipemast_core::prelude::*;

use crate::ahead::HoldDistance;
use crate::delivery::MAX_DIRECT;
use crate::draft::Draft;
use crate::map::ExpertMap;
pub use crate::order::{Order, Outcome, Phase, RankOrder, RankState};
use crate::takeover::STANDBY_RANK;

use self::stage::{holds, Hold, Stage, OWN_RANK};

/// How long ranks may take to copy experts, which takes up to some seconds at the usual sizes.
pub const PREPARE_TIMEOUT: Span = Span::from_secs(4);

/// How long a rank's sidecar waits for a copy to be complete before it reports that the copy has
/// only begun. It is a multiple of the usual duration of a copy, 0.1 to 0.4 s.
pub const COPY_TIMEOUT: Span = Span::from_millis(1_200);

/// How long ranks may take to be armed while the group is held, which is some round trips. After
/// that the group keeps its old map rather than wait.
pub const ARM_TIMEOUT: Span = Span::from_millis(700);

/// How many steps past the switch every rank must be before an arming that no rank reports any more
/// counts as lost. Polling many ranks spans two steps.
const MISSED_AFTER: u64 = 2;

/// The result of a switch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SwitchResult {
    /// The new map is in force.
    Switched(MapVersion),
    /// The old map stays in force, for this reason.
    Kept(&'static str),
}

/// The state machine with which a lead switches its group to another map.
#[derive(Debug, Clone)]
pub struct Switch {
    ranks: usize,
    epoch: GroupIncarnation,
    phase: Phase,
    stage: Stage,
    version: MapVersion,
    ahead: HoldDistance,
    /// When the arming began of the switch that is being released.
    arming: Option<Moment>,
    ended: Option<SwitchResult>,
}

impl Switch {
    /// Creates an idle switch for a lead and a group with this many ranks.
    pub fn new(ranks: usize, lead: Ballot) -> Self {
        Self {
            ranks,
            epoch: GroupIncarnation(0),
            phase: Phase::first(lead),
            stage: Stage::Idle,
            version: MapVersion(0),
            ahead: HoldDistance::new(ranks),
            arming: None,
            ended: None,
        }
    }

    /// Whether no switch is under way.
    pub fn is_idle(&self) -> bool {
        matches!(self.stage, Stage::Idle)
    }

    /// Whether to wait for the outcomes of orders, which a poll of all ranks would only delay.
    ///
    /// The wait is bounded; after it the ranks are polled again whatever the outcomes are.
    pub fn awaits_orders(&self, now: Moment) -> bool {
        match self.stage {
            Stage::Preparing { poll_after, .. } => now < poll_after,
            Stage::Holding
            | Stage::Arming { .. }
            | Stage::Pledging { .. }
            | Stage::ArmingOwn { .. } => true,
            _ => false,
        }
    }

    /// Whether the holder's sidecar has pledged, or is about to pledge, to leave the switch to this
    /// lead.
    pub fn is_pledged(&self) -> bool {
        matches!(self.stage, Stage::Pledging { .. } | Stage::ArmingOwn { .. })
    }

    /// Returns the result of the last switch, once.
    pub fn take_result(&mut self) -> Option<SwitchResult> {
        self.ended.take()
    }

    /// Notes that the group was in a step.
    pub fn observe_step(&mut self, now: Moment, step: Step) {
        self.ahead.observe_step(now, step);
    }

    /// Notes the part of a step that the next map saves.
    pub fn expect_saving(&mut self, saving: f64) {
        self.ahead.expect_saving(saving);
    }

    /// Begins a switch to another map, under a number that no rank has had.
    ///
    /// The map is sent to the ranks as a draft, and in full to those that can't decode the draft.
    pub fn begin(
        &mut self,
        now: Moment,
        epoch: GroupIncarnation,
        version: MapVersion,
        draft: Draft,
        map: Arc<ExpertMap>,
    ) -> Vec<RankOrder> {
        (self.epoch, self.version) = (epoch, version);
        let until = now + PREPARE_TIMEOUT;
        self.enter(Stage::Preparing {
            until,
            map,
            undecoded: 0,
            pending: (0..self.ranks).collect(),
            poll_after: now + COPY_TIMEOUT,
        });
        self.order_all(|| Order::Prepare {
            version,
            draft: draft.clone(),
        })
    }

    /// Recovers a switch that another lead left unfinished and that may hold the group forever.
    ///
    /// Failure guarded against: the lead's process dies while the group is held, and its last
    /// orders may be carried out much later. Once a go was ordered, every rank is armed and none
    /// may be disarmed. Before that, orders to disarm may be on their way, and the group must not
    /// be released until every rank is disarmed. The holder's sidecar knows which case it is, and
    /// accepts no further orders of the other lead.
    pub fn recover(&mut self, states: &[RankState]) -> Vec<RankOrder> {
        let own = states[OWN_RANK];
        let holds = holds(states);
        let Some((rank, step)) = holds.first().copied() else {
            return Vec::new();
        };
        self.epoch = own.epoch;
        let seen = states.iter().map(RankState::highest_map);
        self.version = seen.max().unwrap_or_default();
        let alike = own.armed.is_some() && states.iter().all(|s| s.armed == own.armed);
        self.enter(Stage::Asking { holds, alike });
        vec![self.order_for(rank, Order::Settle { step })]
    }

    /// Handles the holder's answer to whether a go was ordered.
    fn handle_settled(
        &mut self,
        holds: Vec<Hold>,
        alike: bool,
        outcome: Outcome,
    ) -> Vec<RankOrder> {
        let Some((rank, step)) = holds.first().copied() else {
            return Vec::new();
        };
        let released = match outcome {
            Outcome::Done => false,
            Outcome::Refused => true,
            // A go is ordered only where every rank is armed.
            Outcome::Untold => alike,
            _ => return vec![self.order_for(rank, Order::Settle { step })],
        };
        if released {
            return self.release(holds, Some(step));
        }
        self.abort(holds)
    }

    /// Handles the outcome of an order.
    pub fn handle_outcome(
        &mut self,
        now: Moment,
        rank: usize,
        phase: Phase,
        outcome: Outcome,
    ) -> Vec<RankOrder> {
        if phase != self.phase {
            return Vec::new();
        }
        // The process that took over settles the switch; this lead's view of the ranks is outdated.
        if outcome == Outcome::Overtaken && !self.is_idle() {
            return self.end(SwitchResult::Kept("another process took over"));
        }
        match self.stage.clone() {
            Stage::Idle | Stage::Settling { .. } => Vec::new(),
            Stage::Preparing { .. } if outcome == Outcome::Done => Vec::new(),
            Stage::Preparing { .. } if outcome == Outcome::Prepared => self.handle_copied(rank),
            Stage::Preparing { map, .. } if outcome == Outcome::Untold => {
                self.send_full_map(map, rank)
            }
            // The rank's sidecar is restarting and will know no map afterwards.
            Stage::Preparing { map, .. } if outcome == Outcome::Unsure => {
                vec![self.full_prepare(map, rank)]
            }
            // Nothing was armed or held, and what is already copied does no harm.
            Stage::Preparing { .. } => self.end(SwitchResult::Kept("a rank did not prepare")),
            Stage::Holding => self.handle_held(now, outcome),
            Stage::Arming {
                step,
                since,
                pending,
            } => match outcome {
                Outcome::Done => self.handle_armed(step, since, pending, rank),
                // Of 192 ranks, one may leave all tries of its order unanswered for a while.
                // Disarming all others would hold the group longer; arming that rank again does no
                // harm. `tick` bounds the time.
                Outcome::Unsure => {
                    let version = self.version;
                    vec![self.order_for(rank, Order::Arm { version, step })]
                }
                _ => self.abort(vec![(self.holder(), step)]),
            },
            Stage::Pledging { step, since } => match outcome {
                Outcome::Done => {
                    self.enter(Stage::ArmingOwn { step, since });
                    let version = self.version;
                    vec![self.order_for(OWN_RANK, Order::Arm { version, step })]
                }
                _ => self.abort(vec![(self.holder(), step)]),
            },
            Stage::ArmingOwn { step, since } => match outcome {
                Outcome::Done => {
                    self.arming = Some(since);
                    self.release(vec![(self.holder(), step)], Some(step))
                }
                _ => self.abort(vec![(self.holder(), step)]),
            },
            Stage::Asking { holds, alike } => self.handle_settled(holds, alike, outcome),
            Stage::Aborting { holds, pending } => {
                self.handle_disarmed(holds, pending, rank, outcome)
            }
            Stage::Releasing { holds, armed } => self.handle_released(now, holds, armed, outcome),
        }
    }

    /// Handles the states that the ranks report.
    pub fn observe(&mut self, now: Moment, states: &[RankState]) -> Vec<RankOrder> {
        if let Some(own) = states.first() {
            self.observe_step(now, own.step);
        }
        if self.is_idle() || states.len() != self.ranks {
            return Vec::new();
        }
        // A group that forms again starts over: it has map 0, and nothing is prepared or held.
        if states.iter().any(|s| s.epoch > self.epoch) {
            return self.end(SwitchResult::Kept("the group formed again"));
        }
        match self.stage.clone() {
            Stage::Preparing { until, .. } => {
                let ready = states.iter().all(|s| s.prepared == Some(self.version));
                if ready {
                    return self.hold();
                }
                if now >= until {
                    return self.end(SwitchResult::Kept("copying took too long"));
                }
                Vec::new()
            }
            Stage::Settling { step } => {
                // Failure guarded against: a hold that got no answer, of this switch or an earlier
                // one, is carried out after the go and before its step, and the group stands still
                // forever. Every rank is armed, so the group may be released wherever it is held.
                let holds = holds(states);
                if !holds.is_empty() {
                    return self.release(holds, Some(step));
                }
                if states.iter().all(|s| s.map == self.version) {
                    return self.end(SwitchResult::Switched(self.version));
                }
                let missed = states
                    .iter()
                    .all(|s| s.step > Step(step.get() + MISSED_AFTER));
                if missed {
                    return self.end(SwitchResult::Kept("the step passed"));
                }
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    /// Ends a stage whose time has run out.
    pub fn tick(&mut self, now: Moment) -> Vec<RankOrder> {
        match self.stage {
            Stage::Preparing { until, .. } if now >= until => {
                self.end(SwitchResult::Kept("copying took too long"))
            }
            Stage::Arming { step, since, .. } if now >= since + ARM_TIMEOUT => {
                self.abort(vec![(self.holder(), step)])
            }
            _ => Vec::new(),
        }
    }

    /// Sends the full map to a rank that can't decode the draft.
    ///
    /// Failure guarded against: the sidecars of all ranks have restarted and none can decode a
    /// draft, and full maps for each of them take seconds to leave the lead's host. The switch is
    /// given up then, and a lead that adopts the group again sends the full map through relays.
    fn send_full_map(&mut self, map: Arc<ExpertMap>, rank: usize) -> Vec<RankOrder> {
        if let Stage::Preparing { undecoded, .. } = &mut self.stage {
            *undecoded += 1;
            if *undecoded > MAX_DIRECT {
                return self.end(SwitchResult::Kept("many ranks can't read the map"));
            }
        }
        vec![self.full_prepare(map, rank)]
    }

    /// Returns the order that has one rank prepare the map, sent in full.
    fn full_prepare(&self, map: Arc<ExpertMap>, rank: usize) -> RankOrder {
        let (version, draft) = (self.version, Draft::Whole(map));
        self.order_for(rank, Order::Prepare { version, draft })
    }

    /// Handles the report that a rank's copy is complete.
    ///
    /// Polling 192 ranks takes 0.2 s and notices the last copy that much later; ranks that report
    /// by themselves need no poll.
    fn handle_copied(&mut self, rank: usize) -> Vec<RankOrder> {
        let Stage::Preparing { pending, .. } = &mut self.stage else {
            return Vec::new();
        };
        pending.remove(&rank);
        if pending.is_empty() {
            return self.hold();
        }
        Vec::new()
    }

    fn hold(&mut self) -> Vec<RankOrder> {
        let ahead = self.ahead.steps();
        self.enter(Stage::Holding);
        vec![self.order_for(self.holder(), Order::Hold { ahead })]
    }

    /// Returns the rank that holds the group. It is not on the lead's host, so its sidecar can
    /// release the group where that host is frozen.
    fn holder(&self) -> usize {
        STANDBY_RANK.min(self.ranks - 1)
    }

    fn handle_held(&mut self, now: Moment, outcome: Outcome) -> Vec<RankOrder> {
        match outcome {
            Outcome::Held(step) => {
                let pending = (1..self.ranks).collect();
                let since = now;
                self.enter(Stage::Arming {
                    step,
                    since,
                    pending,
                });
                let version = self.version;
                let mut sends = self.order_all(|| Order::Arm { version, step });
                sends.remove(OWN_RANK);
                if sends.is_empty() {
                    return self.pledge(step, since);
                }
                sends
            }
            Outcome::Done | Outcome::Prepared | Outcome::Refused => {
                self.end(SwitchResult::Kept("the group can't be held"))
            }
            // If the hold arrives late, either its step has begun or the next poll finds the group
            // held.
            Outcome::Unsure | Outcome::Untold | Outcome::Overtaken => {
                self.end(SwitchResult::Kept("the hold got no answer"))
            }
        }
    }

    fn handle_armed(
        &mut self,
        step: Step,
        since: Moment,
        mut pending: BTreeSet<usize>,
        rank: usize,
    ) -> Vec<RankOrder> {
        pending.remove(&rank);
        if pending.is_empty() {
            return self.pledge(step, since);
        }
        self.stage = Stage::Arming {
            step,
            since,
            pending,
        };
        Vec::new()
    }

    /// Asks the holder's sidecar to leave the switch to this lead, before the lead's own rank is
    /// armed.
    ///
    /// Failure guarded against: the holder's sidecar believes that the lead is gone, disarms the
    /// other ranks and releases the group, while the lead, which was only frozen, arms its own
    /// rank. A pass then runs on two maps. The lead arms its rank only once that sidecar has
    /// pledged to leave the switch alone.
    fn pledge(&mut self, step: Step, since: Moment) -> Vec<RankOrder> {
        self.enter(Stage::Pledging { step, since });
        vec![self.order_for(self.holder(), Order::Pledge { step })]
    }

    /// Disarms every rank before the group is released with its old map.
    ///
    /// Failure guarded against: the group is released while some ranks are armed and others are
    /// not, and a pass runs on two maps. The group stays held until each rank is known not to be
    /// armed.
    fn abort(&mut self, holds: Vec<Hold>) -> Vec<RankOrder> {
        let pending = (0..self.ranks).collect();
        self.enter(Stage::Aborting { holds, pending });
        self.order_all(|| self.disarm_order())
    }

    fn handle_disarmed(
        &mut self,
        holds: Vec<Hold>,
        mut pending: BTreeSet<usize>,
        rank: usize,
        outcome: Outcome,
    ) -> Vec<RankOrder> {
        if outcome != Outcome::Done {
            return vec![self.order_for(rank, self.disarm_order())];
        }
        pending.remove(&rank);
        if pending.is_empty() {
            return self.release(holds, None);
        }
        self.stage = Stage::Aborting { holds, pending };
        Vec::new()
    }

    /// Releases the group at each rank that holds it, one after another.
    fn release(&mut self, holds: Vec<Hold>, armed: Option<Step>) -> Vec<RankOrder> {
        self.enter(Stage::Releasing { holds, armed });
        self.release_next()
    }

    /// Orders the next go, or ends the release where no hold is left.
    fn release_next(&mut self) -> Vec<RankOrder> {
        let Stage::Releasing { holds, armed } = &self.stage else {
            return Vec::new();
        };
        if let Some((rank, step)) = holds.last() {
            return vec![self.order_for(*rank, Order::Go { step: *step })];
        }
        match *armed {
            Some(step) => {
                self.enter(Stage::Settling { step });
                Vec::new()
            }
            None => self.end(SwitchResult::Kept("not every rank was armed in time")),
        }
    }

    fn handle_released(
        &mut self,
        now: Moment,
        mut holds: Vec<Hold>,
        armed: Option<Step>,
        outcome: Outcome,
    ) -> Vec<RankOrder> {
        // Nobody else releases the group, so the go is ordered again until its outcome is known.
        if outcome == Outcome::Done {
            holds.pop();
            if let Some(since) = self.arming.take() {
                self.ahead.record_arming(since.until(now));
            }
            self.enter(Stage::Releasing { holds, armed });
        }
        self.release_next()
    }

    fn disarm_order(&self) -> Order {
        Order::Disarm {
            unused: self.version.next(),
        }
    }

    fn enter(&mut self, stage: Stage) {
        self.phase = self.phase.next();
        self.stage = stage;
    }

    fn end(&mut self, ended: SwitchResult) -> Vec<RankOrder> {
        self.enter(Stage::Idle);
        self.ended = Some(ended);
        Vec::new()
    }

    fn order_for(&self, rank: usize, order: Order) -> RankOrder {
        RankOrder {
            rank,
            phase: self.phase,
            epoch: self.epoch,
            order,
        }
    }

    fn order_all(&self, order: impl Fn() -> Order) -> Vec<RankOrder> {
        (0..self.ranks)
            .map(|rank| self.order_for(rank, order()))
            .collect()
    }
}
