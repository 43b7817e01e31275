//! How a group's lead brings a new expert map into force on engines that take orders.
//!
//! An engine's rank copies the experts of a map (`Prepare`), is told the step at which it takes the
//! map over (`Arm`), and can keep the whole group from beginning a step (`Hold`, until `Go`). Ranks
//! do not compare maps, so a step that some ranks begin with the new map and others with the old
//! one is the lead's fault. The order of things rules that out:
//!
//! 1. every rank has prepared the map;
//! 2. the second rank holds the group at a step that it has not begun;
//! 3. every rank is armed for that step, the lead's own the last of them, or every rank is surely not armed;
//! 4. only then may the group go on.
//!
//! Where the lead falls silent in between, the process beside the second rank lets the group go on
//! ([`takeover`](crate::takeover)): until it has heard that the lead's own rank is about to be armed, that rank
//! surely isn't, and all others can be disarmed.
//!
//! An order that got no answer may be carried out much later; [`executor`](crate::executor) makes sure of
//! each rank.

mod stage;

use std::collections::BTreeSet;
use std::sync::Arc;

use snipemast_core::prelude::*;

use crate::ahead::Ahead;
use crate::delivery::DIRECT;
use crate::draft::Draft;
use crate::map::ExpertMap;
pub use crate::order::{Order, Outcome, Phase, RankOrder, RankState};
use crate::takeover::DEPUTY_RANK;

use self::stage::{holds, Hold, Stage, OWN};

/// How long ranks may take to copy experts: some seconds at the usual sizes.
pub const PREPARE: Span = Span::from_secs(4);

/// How long the process beside a rank waits for a copy to be complete before it says that it has only begun: some
/// times what usual ones take, 0.1 to 0.4 s.
pub const COPY_TIMEOUT: Span = Span::from_millis(1_200);

/// How long ranks may take to be armed while the group is held: some round trips. Beyond it the
/// group keeps its old map rather than wait.
pub const ARM: Span = Span::from_millis(700);

/// How many steps past the one of the switch every rank must be before an arming that no rank shows
/// any more counts as lost: a look at many ranks spans two.
const PAST: u64 = 2;

/// What became of a switch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SwitchResult {
    /// The new map is in force.
    Switched(MapVersion),
    /// The old map stays.
    Kept(&'static str),
}

/// A group's switch to another map, as its lead conducts it.
#[derive(Debug, Clone)]
pub struct Switch {
    ranks: usize,
    epoch: GroupIncarnation,
    phase: Phase,
    stage: Stage,
    version: MapVersion,
    ahead: Ahead,
    /// Since when the ranks of the switch that is let go on were being armed.
    arming: Option<Moment>,
    ended: Option<SwitchResult>,
}

impl Switch {
    /// Nothing is under way in a group of so many ranks, for a lead.
    pub fn new(ranks: usize, lead: Ballot) -> Self {
        Self {
            ranks,
            epoch: GroupIncarnation(0),
            phase: Phase::first(lead),
            stage: Stage::Idle,
            version: MapVersion(0),
            ahead: Ahead::new(ranks),
            arming: None,
            ended: None,
        }
    }

    /// Whether nothing is under way.
    pub fn is_idle(&self) -> bool {
        matches!(self.stage, Stage::Idle)
    }

    /// Whether the outcomes of orders are awaited that a look at all ranks would only hold up: for a
    /// bounded time, after which the ranks are looked at again, whatever became of them.
    pub fn awaits_orders(&self, now: Moment) -> bool {
        match self.stage {
            Stage::Preparing { told, .. } => now < told,
            Stage::Holding
            | Stage::Arming { .. }
            | Stage::Pledging { .. }
            | Stage::ArmingOwn { .. } => true,
            _ => false,
        }
    }

    /// Whether the process beside the holder has promised, or is about to, to leave the switch to this lead.
    pub fn is_pledged(&self) -> bool {
        matches!(self.stage, Stage::Pledging { .. } | Stage::ArmingOwn { .. })
    }

    /// What became of the last switch, once.
    pub fn take_result(&mut self) -> Option<SwitchResult> {
        self.ended.take()
    }

    /// The group was seen in a step.
    pub fn observe_step(&mut self, now: Moment, step: Step) {
        self.ahead.saw(now, step);
    }

    /// Begins a switch to another map, under a number that no rank has had. Ranks are told it by a draft, and
    /// those that can't read it are told it whole.
    pub fn begin(
        &mut self,
        now: Moment,
        epoch: GroupIncarnation,
        version: MapVersion,
        draft: Draft,
        map: Arc<ExpertMap>,
    ) -> Vec<RankOrder> {
        (self.epoch, self.version) = (epoch, version);
        let until = now + PREPARE;
        self.enter(Stage::Preparing {
            until,
            map,
            unread: 0,
            open: (0..self.ranks).collect(),
            told: now + COPY_TIMEOUT,
        });
        self.to_all(|| Order::Prepare {
            version,
            draft: draft.clone(),
        })
    }

    /// Takes up what another lead left in the middle: the group may be held for good.
    ///
    /// Failure guarded against: the lead's process dies while the group is held, and its last orders may
    /// be carried out much later. After a go every rank is armed and none may be disarmed; before it orders to
    /// disarm may be on their way, and the group must not go on until that is so of every rank. The process
    /// beside the holder knows which, and takes no more orders of the other lead.
    pub fn recover(&mut self, states: &[RankState]) -> Vec<RankOrder> {
        let own = states[OWN];
        let holds = holds(states);
        let Some((rank, step)) = holds.first().copied() else {
            return Vec::new();
        };
        self.epoch = own.epoch;
        let seen = states.iter().map(RankState::highest_map);
        self.version = seen.max().unwrap_or_default();
        let alike = own.armed.is_some() && states.iter().all(|s| s.armed == own.armed);
        self.enter(Stage::Asking { holds, alike });
        vec![self.to(rank, Order::Settle { step })]
    }

    fn told(&mut self, holds: Vec<Hold>, alike: bool, outcome: Outcome) -> Vec<RankOrder> {
        let Some((rank, step)) = holds.first().copied() else {
            return Vec::new();
        };
        let gone = match outcome {
            Outcome::Done => false,
            Outcome::Refused => true,
            // A go is given only where every rank is armed.
            Outcome::Untold => alike,
            _ => return vec![self.to(rank, Order::Settle { step })],
        };
        if gone {
            return self.release(holds, Some(step));
        }
        self.abort(holds)
    }

    /// Takes what became of an order.
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
        // Whoever took over settles it: what this lead believes of the ranks is outdated.
        if outcome == Outcome::Overtaken && !self.is_idle() {
            return self.end(SwitchResult::Kept("another process took over"));
        }
        match self.stage.clone() {
            Stage::Idle | Stage::Settling { .. } => Vec::new(),
            Stage::Preparing { .. } if outcome == Outcome::Done => Vec::new(),
            Stage::Preparing { .. } if outcome == Outcome::Prepared => self.copied(rank),
            Stage::Preparing { map, .. } if outcome == Outcome::Untold => {
                self.tell_whole(map, rank)
            }
            // Its process is away for a moment, and knows nothing when it is back.
            Stage::Preparing { map, .. } if outcome == Outcome::Unsure => {
                vec![self.whole(map, rank)]
            }
            // Nothing was armed or held: what is copied already does no harm.
            Stage::Preparing { .. } => self.end(SwitchResult::Kept("a rank did not prepare")),
            Stage::Holding => self.held(now, outcome),
            Stage::Arming { step, since, open } => match outcome {
                Outcome::Done => self.armed(step, since, open, rank),
                // Load answered: of 192 ranks one leaves its orders unanswered for a while, all of its tries. To
                // disarm all others holds the group the longer; to arm that rank again does no harm. `tick` bounds it.
                Outcome::Unsure => {
                    let version = self.version;
                    vec![self.to(rank, Order::Arm { version, step })]
                }
                _ => self.abort(vec![(self.holder(), step)]),
            },
            Stage::Pledging { step, since } => match outcome {
                Outcome::Done => {
                    self.enter(Stage::ArmingOwn { step, since });
                    let version = self.version;
                    vec![self.to(OWN, Order::Arm { version, step })]
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
            Stage::Asking { holds, alike } => self.told(holds, alike, outcome),
            Stage::Aborting { holds, open } => self.disarmed(holds, open, rank, outcome),
            Stage::Releasing { holds, armed } => self.released(now, holds, armed, outcome),
        }
    }

    /// Takes what all ranks say of themselves.
    pub fn observe(&mut self, now: Moment, states: &[RankState]) -> Vec<RankOrder> {
        if let Some(own) = states.first() {
            self.observe_step(now, own.step);
        }
        if self.is_idle() || states.len() != self.ranks {
            return Vec::new();
        }
        // A group that forms again has forgotten everything: map 0, nothing prepared or held.
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
                // Failure guarded against: a hold that got no answer, of this switch or of one before,
                // is carried out after the go and before its step: the group stands still for good.
                // Every rank is armed, so it may go on from wherever it is held.
                let holds = holds(states);
                if !holds.is_empty() {
                    return self.release(holds, Some(step));
                }
                if states.iter().all(|s| s.map == self.version) {
                    return self.end(SwitchResult::Switched(self.version));
                }
                let past = states.iter().all(|s| s.step > Step(step.get() + PAST));
                if past {
                    return self.end(SwitchResult::Kept("the step passed"));
                }
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    /// Looks at the time.
    pub fn tick(&mut self, now: Moment) -> Vec<RankOrder> {
        match self.stage {
            Stage::Preparing { until, .. } if now >= until => {
                self.end(SwitchResult::Kept("copying took too long"))
            }
            Stage::Arming { step, since, .. } if now >= since + ARM => {
                self.abort(vec![(self.holder(), step)])
            }
            _ => Vec::new(),
        }
    }

    /// Failure guarded against: the processes beside all ranks have started anew and none can read a draft; whole
    /// maps to each of them take seconds to leave the lead's host. A lead that takes the group up anew tells
    /// them to all by relays.
    fn tell_whole(&mut self, map: Arc<ExpertMap>, rank: usize) -> Vec<RankOrder> {
        if let Stage::Preparing { unread, .. } = &mut self.stage {
            *unread += 1;
            if *unread > DIRECT {
                return self.end(SwitchResult::Kept("many ranks can't read the map"));
            }
        }
        vec![self.whole(map, rank)]
    }

    /// Has one rank prepare the map, told whole.
    fn whole(&self, map: Arc<ExpertMap>, rank: usize) -> RankOrder {
        let (version, draft) = (self.version, Draft::Whole(map));
        self.to(rank, Order::Prepare { version, draft })
    }

    /// Load answered: looks at 192 ranks take 0.2 s each, and found the last copy as much later. Ranks that tell
    /// by themselves need none.
    fn copied(&mut self, rank: usize) -> Vec<RankOrder> {
        let Stage::Preparing { open, .. } = &mut self.stage else {
            return Vec::new();
        };
        open.remove(&rank);
        if open.is_empty() {
            return self.hold();
        }
        Vec::new()
    }

    fn hold(&mut self) -> Vec<RankOrder> {
        let ahead = self.ahead.steps();
        self.enter(Stage::Holding);
        vec![self.to(self.holder(), Order::Hold { ahead })]
    }

    /// The rank that holds the group: not on the lead's host, so that the process beside it can let the group
    /// go on where that host stands still.
    fn holder(&self) -> usize {
        DEPUTY_RANK.min(self.ranks - 1)
    }

    fn held(&mut self, now: Moment, outcome: Outcome) -> Vec<RankOrder> {
        match outcome {
            Outcome::Held(step) => {
                let open = (1..self.ranks).collect();
                let since = now;
                self.enter(Stage::Arming { step, since, open });
                let version = self.version;
                let mut sends = self.to_all(|| Order::Arm { version, step });
                sends.remove(OWN);
                if sends.is_empty() {
                    return self.pledge(step, since);
                }
                sends
            }
            Outcome::Done | Outcome::Prepared | Outcome::Refused => {
                self.end(SwitchResult::Kept("the group can't be held"))
            }
            // Where it arrives late, its step has begun, or the next look finds the group held.
            Outcome::Unsure | Outcome::Untold | Outcome::Overtaken => {
                self.end(SwitchResult::Kept("the hold got no answer"))
            }
        }
    }

    fn armed(
        &mut self,
        step: Step,
        since: Moment,
        mut open: BTreeSet<usize>,
        rank: usize,
    ) -> Vec<RankOrder> {
        open.remove(&rank);
        if open.is_empty() {
            return self.pledge(step, since);
        }
        self.stage = Stage::Arming { step, since, open };
        Vec::new()
    }

    /// Failure guarded against: the process beside the holder takes the lead for gone, disarms the other
    /// ranks and lets the group go on, while the lead, which only slept, arms its own rank: one pass on
    /// two maps. The lead arms it only once that process has promised to leave the switch alone.
    fn pledge(&mut self, step: Step, since: Moment) -> Vec<RankOrder> {
        self.enter(Stage::Pledging { step, since });
        vec![self.to(self.holder(), Order::Pledge { step })]
    }

    /// Failure guarded against: some ranks are armed and others are not, and the group goes on: one
    /// pass on two maps. It stays held until each rank is surely not armed.
    fn abort(&mut self, holds: Vec<Hold>) -> Vec<RankOrder> {
        let open = (0..self.ranks).collect();
        self.enter(Stage::Aborting { holds, open });
        self.to_all(|| self.disarm())
    }

    fn disarmed(
        &mut self,
        holds: Vec<Hold>,
        mut open: BTreeSet<usize>,
        rank: usize,
        outcome: Outcome,
    ) -> Vec<RankOrder> {
        if outcome != Outcome::Done {
            return vec![self.to(rank, self.disarm())];
        }
        open.remove(&rank);
        if open.is_empty() {
            return self.release(holds, None);
        }
        self.stage = Stage::Aborting { holds, open };
        Vec::new()
    }

    /// Lets the group go on at each rank that holds it, one after another.
    fn release(&mut self, holds: Vec<Hold>, armed: Option<Step>) -> Vec<RankOrder> {
        self.enter(Stage::Releasing { holds, armed });
        self.let_go()
    }

    fn let_go(&mut self) -> Vec<RankOrder> {
        let Stage::Releasing { holds, armed } = &self.stage else {
            return Vec::new();
        };
        if let Some((rank, step)) = holds.last() {
            return vec![self.to(*rank, Order::Go { step: *step })];
        }
        match *armed {
            Some(step) => {
                self.enter(Stage::Settling { step });
                Vec::new()
            }
            None => self.end(SwitchResult::Kept("not every rank was armed in time")),
        }
    }

    fn released(
        &mut self,
        now: Moment,
        mut holds: Vec<Hold>,
        armed: Option<Step>,
        outcome: Outcome,
    ) -> Vec<RankOrder> {
        // Nobody else lets the group go on: without a sure answer it is ordered again.
        if outcome == Outcome::Done {
            holds.pop();
            if let Some(since) = self.arming.take() {
                self.ahead.armed(since.until(now));
            }
            self.enter(Stage::Releasing { holds, armed });
        }
        self.let_go()
    }

    fn disarm(&self) -> Order {
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

    fn to(&self, rank: usize, order: Order) -> RankOrder {
        RankOrder {
            rank,
            phase: self.phase,
            epoch: self.epoch,
            order,
        }
    }

    fn to_all(&self, order: impl Fn() -> Order) -> Vec<RankOrder> {
        (0..self.ranks).map(|rank| self.to(rank, order())).collect()
    }
}
