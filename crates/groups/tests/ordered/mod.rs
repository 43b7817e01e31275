//! A simulated group with a lead and a standby, whose engines lose answers and carry out orders
//! late.

// Each test binary uses only a part of this module.
#![allow(dead_code)]

mod engine;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use snipemast_control::SplitMix64;
use snipemast_core::prelude::*;
use snipemast_groups::delivery::{plan_deliveries, Delivery};
use snipemast_groups::draft::Draft;
use snipemast_groups::executor::{Action, Answer, EngineOrder, Executor, OrderSeq, Task};
use snipemast_groups::map::ExpertMap;
use snipemast_groups::switch::{Order, Outcome, Phase, RankOrder, RankState, Switch, SwitchResult};
use snipemast_groups::takeover::{
    next_lead_ballot, next_takeover_ballot, yields_to_takeover, StandstillDetector, Takeover,
    LEAD_RANK, STANDBY_RANK,
};

pub(crate) use engine::Engine;

pub(crate) const RANKS: usize = 4;

/// The index of the lead's own executor for the second rank, with which it holds that rank from its
/// host.
pub(crate) const HOLDER: usize = usize::MAX;

/// The index of the standby's own executor for the first rank.
pub(crate) const FIRST: usize = usize::MAX - 1;

/// The age of a rank's report when it reaches another host, in ms.
pub(crate) const LAG: u64 = 200;
pub(crate) const EPOCH: GroupIncarnation = GroupIncarnation(1);

/// The duration of a pass, in ms.
pub(crate) const PASS: u64 = 40;

/// The interval between two polls of the lead, in ms.
pub(crate) const POLL: u64 = 60;

/// How long a call may take, in ms.
pub(crate) const CALL: u64 = 1_800;

/// How long an engine may take to answer an order, in ms.
pub(crate) const GIVE: u64 = 300;

/// The longest delay of an order within its own host, in ms.
pub(crate) const NEAR: u64 = 5;

/// How late an answer may be before a process counts as silent, in ms.
pub(crate) const ANSWER: u64 = 150;

/// The interval at which the standby checks its rank while it is held, in ms.
pub(crate) const WATCH_HELD: u64 = 20;

/// How long a rank takes to copy the experts of a map, in ms.
pub(crate) const COPY: u64 = 250;

/// The sender of an order, and the phase of its work.
#[derive(Clone, Copy)]
pub(crate) enum Sender {
    Lead(Phase),
    Standby(Phase),
}

/// The size of a call on the wire without its order, in bytes.
pub(crate) const CALL_BYTES: u64 = 300;

/// The size of the address of a rank that a call is relayed to, in bytes.
pub(crate) const ADDRESS_BYTES: u64 = 24;

/// Returns the size of a call with an order on the wire, in bytes.
pub(crate) fn call_size(order: &Order) -> u64 {
    let text = rmp_serde::to_vec_named(order).expect("an order can be serialized");
    CALL_BYTES + text.len() as u64
}

/// An order on its way.
#[derive(Clone)]
pub(crate) struct Given {
    seq: OrderSeq,
    from: Sender,
    order: Order,
}

/// An event of the simulation.
pub(crate) enum Event {
    /// The next pass is due.
    Pass,
    /// The lead polls the ranks.
    Poll,
    /// The states of the ranks at a poll reach the lead.
    Polled(Vec<RankState>),
    /// An order reaches a rank's sidecar, which relays it to some ranks.
    Relay(usize, Vec<usize>, Given),
    /// An order reaches a rank's sidecar.
    Arrive(usize, Given),
    /// A sidecar continues with its current order.
    Work(usize),
    /// An engine carries out an order late, without an answer.
    Late(usize, EngineOrder),
    /// An engine's answer, or the timeout of one, reaches the sidecar.
    Answered(usize, EngineOrder, bool, Answer),
    /// A sidecar checks whether its rank's copy of a map is complete.
    Copying(usize, Sender, u64),
    /// The outcome of an order reaches its sender.
    Outcome(usize, Sender, Outcome),
    /// The lead's process is killed and starts again.
    Restart,
    /// The lead's process is killed and starts again after this time.
    Kill(u64),
    /// The lead's process looks for a group to adopt.
    Adopt,
    /// The host of a rank's sidecar freezes until a time.
    Freeze(usize, u64),
    /// The standby checks whether its group stands still.
    Watch,
}

impl Event {
    /// Returns the rank whose sidecar the event happens to, where that matters. The lead runs in
    /// the sidecar of the first rank, from where it also holds the second, and the standby in that
    /// of the second.
    pub(crate) fn process(&self) -> Option<usize> {
        match self {
            Self::Poll | Self::Polled(_) | Self::Outcome(_, Sender::Lead(_), _) => Some(LEAD_RANK),
            Self::Watch | Self::Outcome(_, Sender::Standby(_), _) => Some(STANDBY_RANK),
            Self::Relay(rank, ..)
            | Self::Arrive(rank, _)
            | Self::Copying(rank, ..)
            | Self::Work(rank)
            | Self::Answered(rank, ..) => match *rank {
                HOLDER => Some(LEAD_RANK),
                FIRST => Some(STANDBY_RANK),
                rank => Some(rank),
            },
            Self::Pass
            | Self::Late(..)
            | Self::Restart
            | Self::Kill(_)
            | Self::Adopt
            | Self::Freeze(..) => None,
        }
    }
}

/// Returns the rank whose engine an executor gives orders to.
pub(crate) fn engine_of(process: usize) -> usize {
    match process {
        HOLDER => STANDBY_RANK,
        FIRST => LEAD_RANK,
        rank => rank,
    }
}

/// A rank's sidecar, or a remote executor for a rank.
#[derive(Default)]
pub(crate) struct Process {
    pub(crate) executor: Executor,
    pub(crate) queue: VecDeque<Given>,
    pub(crate) task: Option<(Given, Task)>,
}

pub(crate) struct World {
    pub(crate) now: u64,
    pub(crate) events: BTreeMap<(u64, u64), Event>,
    pub(crate) count: u64,
    pub(crate) chance: SplitMix64,
    /// One in this many orders gets no answer.
    pub(crate) mute: u64,
    /// How long it takes to poll all ranks, in ms.
    pub(crate) lag: u64,
    /// The longest delay of an order, in ms.
    pub(crate) reach: u64,
    /// For how long the group did not begin a pass that was due, in ms.
    pub(crate) stood: u64,
    /// Whether the group is without requests for a time now and then, and makes no passes.
    pub(crate) idles: bool,
    /// Whether another map is wanted at each poll.
    pub(crate) eager: bool,
    pub(crate) step: u64,
    /// The bandwidth of a host's link, in bytes per ms.
    pub(crate) link: u64,
    /// Until when the link of each host is busy, in us.
    pub(crate) sent: Vec<u64>,
    /// The map that is brought into force. Only its size matters here.
    pub(crate) map: Arc<ExpertMap>,
    pub(crate) ranks: usize,
    pub(crate) engines: Vec<Engine>,
    pub(crate) processes: Vec<Process>,
    /// The lead's own executor for the second rank.
    pub(crate) holder: Process,
    /// The standby's own executor for the first rank.
    pub(crate) first: Process,
    /// Until when the first rank's host is frozen, so that the rank takes no order.
    pub(crate) lead_frozen: u64,
    /// The past states of the first rank that may still be reported, and since when it had them.
    pub(crate) old_states: VecDeque<(u64, RankState)>,
    /// Until when the host of each rank's sidecar is frozen.
    pub(crate) frozen: Vec<u64>,
    /// The ballot of the last lead whose process was killed.
    pub(crate) ended: u64,
    pub(crate) takeover: Option<Takeover>,
    pub(crate) standstill: StandstillDetector,
    /// Since when the restarted lead leaves the group to a takeover.
    pub(crate) waits: Option<u64>,
    /// The standby's ballot, and the number of its orders.
    pub(crate) standby: (u64, u64),
    /// The number of takeovers.
    pub(crate) takeovers: u32,
    /// When the last pass began.
    pub(crate) began: u64,
    /// The longest time between the beginnings of two passes.
    pub(crate) longest: u64,
    pub(crate) switch: Switch,
    pub(crate) lead: u64,
    pub(crate) number: u64,
    pub(crate) version: u64,
    /// Whether a pass ran on two maps.
    pub(crate) mixed: bool,
    /// The number of switches that the lead saw succeed.
    pub(crate) switched: u32,
    /// The number of maps that came into force.
    pub(crate) maps: u32,
}

impl World {
    pub(crate) fn new(seed: u64, mute: u64) -> Self {
        Self::with_ranks(seed, mute, RANKS)
    }

    /// Creates a group of this many ranks.
    pub(crate) fn with_ranks(seed: u64, mute: u64, ranks: usize) -> Self {
        let mut world = Self {
            now: 0,
            events: BTreeMap::new(),
            count: 0,
            chance: SplitMix64::new(seed),
            mute,
            lag: 0,
            reach: 5,
            stood: 0,
            idles: false,
            eager: false,
            step: 0,
            link: u64::MAX,
            sent: vec![0; ranks],
            map: Arc::default(),
            ranks,
            engines: vec![Engine::default(); ranks],
            processes: (0..ranks).map(|_| Process::default()).collect(),
            holder: Process::default(),
            first: Process::default(),
            lead_frozen: 0,
            old_states: VecDeque::new(),
            frozen: vec![0; ranks],
            ended: 0,
            takeover: None,
            standstill: StandstillDetector::new(Moment::from_millis(0)),
            waits: None,
            standby: (0, 0),
            takeovers: 0,
            began: 0,
            longest: 0,
            switch: Switch::new(ranks, Ballot(1)),
            lead: 1,
            number: 0,
            version: 0,
            mixed: false,
            switched: 0,
            maps: 0,
        };
        for process in &mut world.processes {
            let state = Engine::default().state(0);
            process.executor.observe(Incarnation(1), &state);
        }
        world.after(PASS, Event::Pass);
        world.after(POLL, Event::Poll);
        world
    }

    pub(crate) fn after(&mut self, delay: u64, event: Event) {
        self.count += 1;
        self.events.insert((self.now + delay, self.count), event);
    }

    pub(crate) fn run(&mut self, until: u64) {
        while self
            .events
            .first_key_value()
            .is_some_and(|((at, _), _)| *at <= until)
        {
            let Some(((at, _), event)) = self.events.pop_first() else {
                return;
            };
            self.now = at;
            let process = event.process();
            let thaws = process.map_or(0, |rank| self.frozen[rank]);
            if thaws > at {
                self.after(thaws - at, event);
            } else {
                self.happen(event);
            }
        }
    }

    pub(crate) fn moment(&self) -> Moment {
        Moment::from_millis(self.now)
    }

    pub(crate) fn happen(&mut self, event: Event) {
        let first = self.engines[LEAD_RANK].state(self.step);
        self.old_report(first);
        match event {
            Event::Pass => self.pass(),
            Event::Poll => {
                let states = self.states();
                self.after(self.lag, Event::Polled(states));
            }
            Event::Polled(states) => self.handle_poll(&states),
            // The orders of a lead to its own process end with that process.
            Event::Arrive(LEAD_RANK | HOLDER, given) if given.seq.lead <= Ballot(self.ended) => {}
            Event::Relay(through, to, given) => {
                for rank in to {
                    let delay = self.leave(through, call_size(&given.order));
                    self.give_to(rank, given.clone(), delay, self.reach);
                }
            }
            Event::Arrive(rank, given) => {
                self.process(rank).queue.push_back(given);
                self.after(0, Event::Work(rank));
            }
            Event::Work(rank) => self.work(rank),
            Event::Late(rank, order) => {
                self.engines[engine_of(rank)].order(self.now, &order, self.step);
            }
            Event::Answered(rank, order, before, answer) => {
                let process = self.process(rank);
                if let Some((_, task)) = &mut process.task {
                    process.executor.after_send(task, &order, before, answer);
                }
                self.after(10, Event::Work(rank));
            }
            Event::Copying(rank, from, version) => {
                self.engines[engine_of(rank)].finish_copy(self.now);
                if self.engines[engine_of(rank)].prepared == Some(version) {
                    self.after(1, Event::Outcome(rank, from, Outcome::Prepared));
                }
            }
            Event::Outcome(rank, Sender::Lead(phase), outcome) => {
                let rank = engine_of(rank);
                let sends = self
                    .switch
                    .handle_outcome(self.moment(), rank, phase, outcome);
                self.send(sends);
                self.conclude();
            }
            Event::Outcome(rank, Sender::Standby(phase), outcome) => {
                let rank = engine_of(rank);
                let takeover = self.takeover.as_mut();
                let sends = takeover.map(|t| t.handle_outcome(rank, phase, outcome));
                self.send_as_standby(sends.unwrap_or_default());
                if self.takeover.as_ref().is_some_and(Takeover::is_over) {
                    self.standstill.back_off(self.moment());
                    self.takeover = None;
                }
            }
            Event::Restart => {
                (self.frozen[LEAD_RANK], self.lead_frozen) = (0, 0);
                self.kill_lead();
                self.adopt();
            }
            Event::Kill(away) => {
                self.frozen[LEAD_RANK] = self.now + away;
                self.kill_lead();
                // The new process knows no group.
                self.switch = Switch::new(self.ranks, Ballot(0));
                self.after(away, Event::Adopt);
            }
            Event::Adopt if self.yields() => self.after(POLL, Event::Adopt),
            Event::Adopt => self.adopt(),
            Event::Freeze(rank, until) => {
                self.frozen[rank] = until;
                if rank == LEAD_RANK {
                    self.lead_frozen = until;
                }
            }
            Event::Watch => self.watch(),
        }
    }

    /// Returns a rank's sidecar or a remote executor, by its index.
    fn process(&mut self, rank: usize) -> &mut Process {
        match rank {
            HOLDER => &mut self.holder,
            FIRST => &mut self.first,
            rank => &mut self.processes[rank],
        }
    }

    /// Drops the state of the lead's process and the messages that it sent to itself.
    fn kill_lead(&mut self) {
        self.ended = self.lead;
        (self.processes[LEAD_RANK], self.holder) = (Process::default(), Process::default());
        self.sent[LEAD_RANK] = 0;
    }

    /// Returns the highest ballot that ranks report.
    fn highest(&self) -> Ballot {
        let leads = self.processes.iter().map(|p| p.executor.lead());
        leads.max().unwrap_or_default()
    }

    /// Whether the lead leaves the group to a takeover.
    fn yields(&mut self) -> bool {
        let (highest, held, now) = (self.highest(), self.is_held(), self.now);
        let since = *self.waits.get_or_insert(now);
        let yields = yields_to_takeover(highest, held, Span::from_millis(now - since));
        if !yields {
            self.waits = None;
        }
        yields
    }

    /// Lets the lead adopt the group with a ballot above all that ranks report.
    pub(crate) fn adopt(&mut self) {
        let highest = self.highest().max(Ballot(self.lead));
        self.lead = next_lead_ballot(highest).get();
        self.switch = Switch::new(self.ranks, Ballot(self.lead));
        self.number = 0;
        self.version += 1_000_000;
        let states = self.states();
        for (process, state) in self.processes.iter_mut().zip(&states) {
            process.executor.observe(Incarnation(1), state);
        }
        let sends = self.switch.recover(&states);
        self.send(sends);
    }

    /// Lets the standby take over where its group stands still and the lead is silent.
    pub(crate) fn watch(&mut self) {
        let state = self.states()[STANDBY_RANK];
        let often = state.held.is_some();
        self.after(if often { WATCH_HELD } else { POLL }, Event::Watch);
        if self.takeover.is_some() {
            return;
        }
        let still = self.standstill.observe(self.moment(), &state, true);
        let silent = self.frozen[LEAD_RANK] > self.now || self.backlog(LEAD_RANK) > ANSWER;
        let Some(step) = state.held.filter(|_| still && silent) else {
            return;
        };
        let own = self.processes[STANDBY_RANK].executor.lead();
        let ballot = next_takeover_ballot(own.max(Ballot(self.standby.0)));
        let reaches = self.lead_frozen <= self.now;
        let executor = &mut self.processes[STANDBY_RANK].executor;
        let pledged = executor.is_pledged(&state);
        if !executor.take_over(ballot, &state, reaches) {
            return;
        }
        self.standby = (ballot.get(), 0);
        self.takeovers += 1;
        self.first = Process {
            executor: Executor::remote(),
            ..Process::default()
        };
        let (takeover, sends) = Takeover::begin(self.ranks, ballot, &state, step, pledged);
        self.takeover = Some(takeover);
        self.send_as_standby(sends);
    }

    /// Sends the standby's orders.
    pub(crate) fn send_as_standby(&mut self, sends: Vec<RankOrder>) {
        let (here, others): (Vec<RankOrder>, Vec<RankOrder>) =
            sends.into_iter().partition(|s| s.rank == LEAD_RANK);
        let mut all = plan_deliveries(others, self.standby.1);
        all.extend(here.into_iter().map(Delivery::Direct));
        for delivery in all {
            self.standby.1 += 1;
            let seq = OrderSeq {
                lead: Ballot(self.standby.0),
                number: self.standby.1,
            };
            self.deliver(STANDBY_RANK, delivery, seq, Sender::Standby, self.reach);
        }
    }

    /// Sends one delivery from a host.
    fn deliver(
        &mut self,
        host: usize,
        delivery: Delivery,
        seq: OrderSeq,
        from: impl Fn(Phase) -> Sender,
        longest: u64,
    ) {
        match delivery {
            Delivery::Direct(send) => {
                let given = Given {
                    seq,
                    from: from(send.phase),
                    order: send.order,
                };
                let to = match (&given.order, host, send.rank) {
                    (Order::Hold { .. }, ..) => HOLDER,
                    (_, STANDBY_RANK, LEAD_RANK) => FIRST,
                    (.., rank) => rank,
                };
                let near = to == host || to == HOLDER || to == FIRST;
                let longest = if near { NEAR } else { longest };
                let delay = self.leave(host, call_size(&given.order));
                self.give_to(to, given, delay, longest);
            }
            Delivery::Relayed { through, orders } => {
                let to: Vec<usize> = orders.iter().map(|s| s.rank).collect();
                let given = Given {
                    seq,
                    from: from(orders[0].phase),
                    order: orders[0].order.clone(),
                };
                let size = call_size(&given.order) + ADDRESS_BYTES * to.len() as u64;
                let delay = self.leave(host, size) + 1 + self.chance.below(self.reach);
                for rank in &to {
                    self.after(CALL, Event::Outcome(*rank, given.from, Outcome::Unsure));
                }
                self.after(delay, Event::Relay(through, to, given));
            }
        }
    }

    /// Returns for how long a host's link is still busy, in ms.
    fn backlog(&self, host: usize) -> u64 {
        (self.sent[host] / 1_000).saturating_sub(self.now)
    }

    /// Sends a call over a host's link, and returns how long it takes to leave the host, in ms.
    fn leave(&mut self, host: usize, bytes: u64) -> u64 {
        let begins = self.sent[host].max(self.now * 1_000);
        self.sent[host] = begins + bytes.saturating_mul(1_000) / self.link;
        self.backlog(host)
    }

    /// Begins a pass, unless a rank holds the group at it.
    pub(crate) fn pass(&mut self) {
        self.after(PASS, Event::Pass);
        // There are no requests in two of every five seconds.
        if self.idles && self.now % 5_000 < 2_000 {
            return;
        }
        let next = self.step + 1;
        if self
            .engines
            .iter()
            .any(|e| e.held.is_some_and(|at| at <= next))
        {
            self.stood += PASS;
            return;
        }
        self.step = next;
        self.longest = self.longest.max(self.now - self.began);
        self.began = self.now;
        let before = self.engines[LEAD_RANK].map;
        for engine in &mut self.engines {
            if let Some((version, _)) = engine.armed.filter(|(_, at)| *at <= next) {
                (engine.map, engine.armed, engine.prepared) = (version, None, None);
            }
        }
        self.maps += u32::from(self.engines[LEAD_RANK].map != before);
        self.mixed |= self.engines.iter().any(|e| e.map != self.engines[0].map);
    }

    pub(crate) fn states(&mut self) -> Vec<RankState> {
        for engine in &mut self.engines {
            engine.finish_copy(self.now);
        }
        self.engines.iter().map(|e| e.state(self.step)).collect()
    }

    /// Handles the states of a poll.
    pub(crate) fn handle_poll(&mut self, states: &[RankState]) {
        self.after(POLL, Event::Poll);
        let now = self.moment();
        let mut sends = self.switch.observe(now, states);
        sends.extend(self.switch.tick(now));
        self.send(sends);
        self.conclude();
        let clean = states.iter().all(|s| s.armed.is_none() && s.held.is_none());
        if self.switch.is_idle() && !clean {
            let sends = self.switch.recover(states);
            self.send(sends);
        } else if self.switch.is_idle() && (self.eager || self.chance.below(4) == 0) {
            let highest = self.engines.iter().map(|e| e.highest).max().unwrap_or(0);
            self.version = highest.max(self.version) + 1_000;
            let (version, map) = (MapVersion(self.version), Arc::clone(&self.map));
            let draft = Draft::Whole(Arc::clone(&map));
            let sends = self.switch.begin(now, EPOCH, version, draft, map);
            self.send(sends);
        }
    }

    /// Handles the result of a switch that has ended.
    pub(crate) fn conclude(&mut self) {
        match self.switch.take_result() {
            Some(SwitchResult::Switched(_)) => self.switched += 1,
            Some(SwitchResult::Kept("another process took over")) => self.after(0, Event::Adopt),
            _ => {}
        }
    }

    /// Sends the lead's orders. Some are delayed, and the lead stops waiting for them.
    pub(crate) fn send(&mut self, sends: Vec<RankOrder>) {
        /// The longest delay of a single order, in ms. Orders are slow only where there are many.
        const SINGLE: u64 = 20;
        let longest = match sends.len() {
            1 => self.reach.min(SINGLE),
            _ => self.reach,
        };
        for delivery in plan_deliveries(sends, self.number) {
            self.number += 1;
            let seq = OrderSeq {
                lead: Ballot(self.lead),
                number: self.number,
            };
            self.deliver(LEAD_RANK, delivery, seq, Sender::Lead, longest);
        }
    }

    /// Sends an order to a process. Its sender waits for the outcome for a bounded time.
    pub(crate) fn give_to(&mut self, rank: usize, given: Given, leaves: u64, longest: u64) {
        let slow = self.mute < u64::MAX && self.chance.below(30) == 0;
        let longest = if slow { 4_000 } else { longest };
        let delay = leaves + 1 + self.chance.below(longest);
        let from = given.from;
        self.after(delay, Event::Arrive(rank, given));
        self.after(CALL, Event::Outcome(rank, from, Outcome::Unsure));
    }

    /// Returns what the first rank reports to another host, which is its state of a while ago.
    fn old_report(&mut self, now: RankState) -> RankState {
        let known = self.old_states.back().map(|(_, state)| *state);
        if known != Some(now) {
            self.old_states.push_back((self.now, now));
        }
        let then = self.now.saturating_sub(LAG);
        while self.old_states.get(1).is_some_and(|(at, _)| *at <= then) {
            self.old_states.pop_front();
        }
        self.old_states.front().map_or(now, |(_, state)| *state)
    }

    /// Lets a process continue with its current order, or begin the next one.
    pub(crate) fn work(&mut self, rank: usize) {
        let engine = engine_of(rank);
        self.engines[engine].finish_copy(self.now);
        let mut state = self.engines[engine].state(self.step);
        if rank == FIRST {
            state = self.old_report(state);
        }
        if rank == HOLDER {
            let floor = self.processes[STANDBY_RANK].executor.floor();
            self.holder
                .executor
                .observe_remote(Incarnation(1), &state, floor);
        }
        let process = self.process(rank);
        if process.task.is_none() {
            let Some(given) = process.queue.pop_front() else {
                return;
            };
            let taken = process
                .executor
                .accept(given.seq, given.order.clone(), EPOCH);
            match taken {
                Some(task) => process.task = Some((given, task)),
                None => {
                    let refusal = process.executor.refusal(given.seq);
                    return self.report(rank, given.from, refusal);
                }
            }
        }
        let Some((given, task)) = process.task.as_mut() else {
            return;
        };
        let from = given.from;
        let copied = match given.order {
            Order::Prepare { version, .. } => Some(version.get()),
            _ => None,
        };
        match process.executor.next_action(task, &state) {
            Action::Settled(outcome) => {
                process.task = None;
                if let Some(version) = copied.filter(|_| outcome == Outcome::Done) {
                    self.after(COPY + 5, Event::Copying(rank, from, version));
                }
                self.report(rank, from, outcome);
            }
            Action::Give(order) => self.give(rank, &order),
            Action::PrepareHeld(version) => {
                self.give(rank, &EngineOrder::Prepare(version, Arc::default()))
            }
        }
    }

    pub(crate) fn give(&mut self, rank: usize, order: &EngineOrder) {
        let before = self.process(rank).executor.before_send(order);
        if rank == FIRST && self.lead_frozen > self.now {
            // The order is carried out once the host is no longer frozen.
            self.after(
                self.lead_frozen - self.now,
                Event::Late(rank, order.clone()),
            );
            let answered = Event::Answered(rank, order.clone(), before, Answer::None);
            return self.after(GIVE, answered);
        }
        if self.chance.below(self.mute) == 0 {
            // The platform states delays of 2 to 12 s; shorter ones may find the group still held.
            let longest = if self.chance.below(2) == 0 {
                900
            } else {
                12_000
            };
            let late = GIVE + self.chance.below(longest);
            self.after(late, Event::Late(rank, order.clone()));
            self.after(
                GIVE,
                Event::Answered(rank, order.clone(), before, Answer::None),
            );
            return;
        }
        let answer = self.engines[engine_of(rank)].order(self.now, order, self.step);
        self.after(1, Event::Answered(rank, order.clone(), before, answer));
    }

    pub(crate) fn report(&mut self, rank: usize, from: Sender, outcome: Outcome) {
        self.after(1, Event::Outcome(rank, from, outcome));
        self.after(0, Event::Work(rank));
    }

    pub(crate) fn is_held(&self) -> bool {
        self.engines.iter().any(|e| e.held.is_some())
    }
}
