//! A group's ranks on engines that lose answers and carry orders out late, with a lead and a deputy.

// Each test binary uses a part of it.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::sync::Arc;

use snipemast_control::Chance;
use snipemast_core::prelude::*;
use snipemast_groups::executor::{Answer, EngineOrder, Executor, Next, OrderSeq, Task};
use snipemast_groups::switch::{Ended, Order, Outcome, Phase, RankState, Send, Switch};
use snipemast_groups::takeover::{Takeover, TakeoverOrder, DEPUTY, LEAD, SILENT};

pub(crate) const RANKS: usize = 4;

/// What holds the second rank for the lead, from the lead's host, beside the processes of the ranks.
pub(crate) const AFAR: usize = RANKS;
pub(crate) const EPOCH: GroupIncarnation = GroupIncarnation(1);

/// How long a pass takes, how often the lead looks, and how long a call may take, in ms.
pub(crate) const PASS: u64 = 40;
pub(crate) const LOOK: u64 = 60;
pub(crate) const CALL: u64 = 1_800;
pub(crate) const GIVE: u64 = 300;

/// The longest way of an order on its own host, in ms.
pub(crate) const NEAR: u64 = 5;

/// How long a rank copies the experts of a map, in ms.
pub(crate) const COPY: u64 = 250;

/// A rank's engine, as the platform describes it.
#[derive(Clone, Default)]
pub(crate) struct Engine {
    map: u64,
    had: u64,
    prepared: Option<u64>,
    /// The map that is being copied, and when that will be done.
    copying: Option<(u64, u64)>,
    armed: Option<(u64, u64)>,
    held: Option<u64>,
}

impl Engine {
    pub(crate) fn order(&mut self, now: u64, order: &EngineOrder, step: u64) -> Answer {
        self.copy(now);
        let fits = match *order {
            EngineOrder::Prepare(v, _) => v.get() > self.had && self.armed.is_none(),
            EngineOrder::Arm(v, at) => self.prepared == Some(v.get()) && at.get() > step,
            EngineOrder::Disarm(v) => self.armed.is_some_and(|(a, _)| a == v.get()),
            EngineOrder::Hold(at) => self.held.is_none() && at.get() > step,
            EngineOrder::Go(at) => self.held == Some(at.get()),
        };
        if !fits {
            return Answer::Refused;
        }
        match *order {
            EngineOrder::Prepare(v, _) => {
                (self.had, self.prepared) = (v.get(), None);
                self.copying = Some((v.get(), now + COPY));
            }
            EngineOrder::Arm(v, at) => self.armed = Some((v.get(), at.get())),
            EngineOrder::Disarm(_) => self.armed = None,
            EngineOrder::Hold(at) => self.held = Some(at.get()),
            EngineOrder::Go(_) => self.held = None,
        }
        Answer::Accepted
    }

    /// Ends a copy whose time has come.
    pub(crate) fn copy(&mut self, now: u64) {
        if let Some((version, _)) = self.copying.filter(|(_, at)| now >= *at) {
            (self.prepared, self.copying) = (Some(version), None);
        }
    }

    pub(crate) fn state(&self, step: u64) -> RankState {
        RankState {
            epoch: EPOCH,
            open: true,
            step: Step(step),
            map: MapVersion(self.map),
            prepared: self.prepared.map(MapVersion),
            armed: self.armed.map(|(v, _)| MapVersion(v)),
            held: self.held.map(Step),
        }
    }
}

/// Who gave an order, and in which phase of its work.
#[derive(Clone, Copy)]
pub(crate) enum From {
    Lead(Phase),
    Deputy(u32),
}

/// An order on its way.
#[derive(Clone)]
pub(crate) struct Given {
    seq: OrderSeq,
    from: From,
    order: Order,
}

/// Something that happens at a time.
pub(crate) enum Event {
    Pass,
    Look,
    /// What the ranks said at a look reaches the lead.
    Seen(Vec<RankState>),
    /// An order reaches the process beside a rank.
    Arrive(usize, Given),
    /// That process goes on with what it has in executor.
    Work(usize),
    /// An engine carries out an order late, and nobody hears of it.
    Late(usize, EngineOrder),
    /// An engine's answer, or the end of waiting for one, reaches the process beside it.
    Answered(usize, EngineOrder, bool, Answer),
    /// What became of an order reaches who gave it.
    Told(usize, From, Outcome),
    /// The lead's process is killed and starts again.
    Restart,
    /// The host of a rank's process stands still until a time.
    Freeze(usize, u64),
    /// The deputy looks whether its group stands still.
    Watch,
}

impl Event {
    /// The rank whose process it happens to, where that matters: the lead runs beside the first rank, from where
    /// it also holds the second, and the deputy beside the second.
    pub(crate) fn process(&self) -> Option<usize> {
        match self {
            Self::Look | Self::Seen(_) | Self::Told(_, From::Lead(_), _) => Some(LEAD),
            Self::Watch | Self::Told(_, From::Deputy(_), _) => Some(DEPUTY),
            Self::Arrive(rank, _) | Self::Work(rank) | Self::Answered(rank, ..) => match *rank {
                AFAR => Some(LEAD),
                rank => Some(rank),
            },
            Self::Pass | Self::Late(..) | Self::Restart | Self::Freeze(..) => None,
        }
    }
}

/// The engine that a process orders.
pub(crate) fn engine(process: usize) -> usize {
    if process == AFAR {
        DEPUTY
    } else {
        process
    }
}

pub(crate) struct World {
    pub(crate) now: u64,
    pub(crate) events: BTreeMap<(u64, u64), Event>,
    pub(crate) count: u64,
    pub(crate) chance: Chance,
    /// One in so many orders gets no answer.
    pub(crate) mute: u64,
    /// How long it takes until the lead has heard all ranks, and the longest way of an order, in ms.
    pub(crate) lag: u64,
    pub(crate) reach: u64,
    /// For how long the group did not begin a pass that was due, in ms.
    pub(crate) stood: u64,
    /// Whether requests come and go, so that the group makes no passes for a time.
    pub(crate) idles: bool,
    pub(crate) step: u64,
    pub(crate) engines: Vec<Engine>,
    pub(crate) executors: Vec<Executor>,
    pub(crate) queues: Vec<std::collections::VecDeque<Given>>,
    pub(crate) tasks: Vec<Option<(Given, Task)>>,
    /// Until when the host of each rank's process stands still.
    pub(crate) frozen: Vec<u64>,
    /// The last lead whose process was killed.
    pub(crate) ended: u64,
    pub(crate) takeover: Option<Takeover>,
    /// The deputy's ballot, and how many orders it gave.
    pub(crate) deputy: (u64, u64),
    /// How many takeovers there were.
    pub(crate) takeovers: u32,
    /// When a pass began last, and the longest time without one.
    pub(crate) began: u64,
    pub(crate) longest: u64,
    pub(crate) switch: Switch,
    pub(crate) lead: u64,
    pub(crate) number: u64,
    pub(crate) version: u64,
    pub(crate) mixed: bool,
    pub(crate) switched: u32,
}

impl World {
    pub(crate) fn new(seed: u64, mute: u64) -> Self {
        let mut world = Self {
            now: 0,
            events: BTreeMap::new(),
            count: 0,
            chance: Chance::new(seed),
            mute,
            lag: 0,
            reach: 5,
            stood: 0,
            idles: false,
            step: 0,
            engines: vec![Engine::default(); RANKS],
            executors: vec![Executor::new(); RANKS + 1],
            queues: vec![Default::default(); RANKS + 1],
            tasks: (0..=RANKS).map(|_| None).collect(),
            frozen: vec![0; RANKS],
            ended: 0,
            takeover: None,
            deputy: (0, 0),
            takeovers: 0,
            began: 0,
            longest: 0,
            switch: Switch::new(RANKS, Ballot(1)),
            lead: 1,
            number: 0,
            version: 0,
            mixed: false,
            switched: 0,
        };
        for executor in &mut world.executors[..RANKS] {
            executor.saw(Incarnation(1), &Engine::default().state(0));
        }
        world.after(PASS, Event::Pass);
        world.after(LOOK, Event::Look);
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
        match event {
            Event::Pass => self.pass(),
            Event::Look => {
                let states = self.states();
                self.after(self.lag, Event::Seen(states));
            }
            Event::Seen(states) => self.look(&states),
            // A lead's orders to the process that it is itself end with it.
            Event::Arrive(LEAD | AFAR, given) if given.seq.lead <= Ballot(self.ended) => {}
            Event::Arrive(rank, given) => {
                self.queues[rank].push_back(given);
                self.after(0, Event::Work(rank));
            }
            Event::Work(rank) => self.work(rank),
            Event::Late(rank, order) => {
                self.engines[engine(rank)].order(self.now, &order, self.step);
            }
            Event::Answered(rank, order, before, answer) => {
                if let Some((_, task)) = &mut self.tasks[rank] {
                    self.executors[rank].after_send(task, &order, before, answer);
                }
                self.after(10, Event::Work(rank));
            }
            Event::Told(rank, From::Lead(phase), outcome) => {
                let rank = engine(rank);
                let sends = self.switch.take(self.moment(), rank, phase, outcome);
                self.send(sends);
                self.settle();
            }
            Event::Told(rank, From::Deputy(phase), outcome) => {
                let takeover = self.takeover.as_mut();
                let orders = takeover.map(|t| t.take(rank, phase, outcome));
                self.order(orders.unwrap_or_default());
            }
            Event::Restart => {
                self.frozen[LEAD] = 0;
                self.ended = self.lead;
                for process in [LEAD, AFAR] {
                    self.executors[process] = Executor::new();
                    self.queues[process].clear();
                    self.tasks[process] = None;
                }
                self.adopt();
            }
            Event::Freeze(rank, until) => self.frozen[rank] = until,
            Event::Watch => self.watch(),
        }
    }

    /// The lead takes the group up with a ballot above all that ranks tell of; a lead's is odd.
    pub(crate) fn adopt(&mut self) {
        let leads = self.executors[..RANKS].iter().map(|e| e.lead().get());
        let highest = leads.max().unwrap_or(0).max(self.lead);
        self.lead = highest + 1 + highest % 2;
        self.switch = Switch::new(RANKS, Ballot(self.lead));
        self.number = 0;
        self.version += 1_000_000;
        let states = self.states();
        for (executor, state) in self.executors[..RANKS].iter_mut().zip(&states) {
            executor.saw(Incarnation(1), state);
        }
        let sends = self.switch.recover(&states, Arc::default());
        self.send(sends);
    }

    /// The deputy takes over where its group stands still and the lead is silent; its ballots are even.
    pub(crate) fn watch(&mut self) {
        self.after(LOOK, Event::Watch);
        let states = self.states();
        if self.takeover.as_ref().is_some_and(|t| !t.is_over()) {
            return;
        }
        let silent = self.frozen[LEAD] > self.now && self.now >= self.began + SILENT.as_millis();
        let Some(step) = states[DEPUTY].held.filter(|_| silent) else {
            return;
        };
        let leads = self.executors[1..RANKS].iter().map(|e| e.lead().get());
        let highest = leads.max().unwrap_or(0).max(self.deputy.0);
        let ballot = highest + 2 - highest % 2;
        if !self.executors[DEPUTY].overtake(Ballot(ballot), &states[DEPUTY]) {
            return;
        }
        self.deputy = (ballot, 0);
        self.takeovers += 1;
        let (takeover, orders) = Takeover::begin(RANKS, &states[1..], step, Arc::default());
        self.takeover = Some(takeover);
        self.order(orders);
    }

    /// Sends the deputy's orders on their way.
    pub(crate) fn order(&mut self, orders: Vec<TakeoverOrder>) {
        for TakeoverOrder { rank, phase, order } in orders {
            self.deputy.1 += 1;
            let given = Given {
                seq: OrderSeq {
                    lead: Ballot(self.deputy.0),
                    number: self.deputy.1,
                },
                from: From::Deputy(phase),
                order,
            };
            let longest = if rank == DEPUTY { NEAR } else { self.reach };
            self.give_to(rank, given, longest);
        }
    }

    /// A pass begins, unless a rank holds the group there.
    pub(crate) fn pass(&mut self) {
        self.after(PASS, Event::Pass);
        // Two seconds of each five without a request.
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
        for engine in &mut self.engines {
            if let Some((version, _)) = engine.armed.filter(|(_, at)| *at <= next) {
                (engine.map, engine.armed, engine.prepared) = (version, None, None);
            }
        }
        self.mixed |= self.engines.iter().any(|e| e.map != self.engines[0].map);
    }

    pub(crate) fn states(&mut self) -> Vec<RankState> {
        for engine in &mut self.engines {
            engine.copy(self.now);
        }
        self.engines.iter().map(|e| e.state(self.step)).collect()
    }

    pub(crate) fn look(&mut self, states: &[RankState]) {
        self.after(LOOK, Event::Look);
        let now = self.moment();
        let mut sends = self.switch.observe(now, states);
        sends.extend(self.switch.tick(now));
        self.send(sends);
        self.settle();
        let clean = states.iter().all(|s| s.armed.is_none() && s.held.is_none());
        if self.switch.is_idle() && !clean {
            let sends = self.switch.recover(states, Arc::default());
            self.send(sends);
        } else if self.switch.is_idle() && self.chance.below(4) == 0 {
            let had = self.engines.iter().map(|e| e.had).max().unwrap_or(0);
            self.version = had.max(self.version) + 1_000;
            let (old, map) = (Arc::default(), Arc::default());
            let version = MapVersion(self.version);
            let sends = self.switch.begin(now, EPOCH, version, old, map);
            self.send(sends);
        }
    }

    pub(crate) fn settle(&mut self) {
        match self.switch.take_ended() {
            Some(Ended::Switched(_)) => self.switched += 1,
            Some(Ended::Kept("another process took over")) => self.adopt(),
            _ => {}
        }
    }

    /// Sends orders on their way; some are held up, and the lead stops waiting for them.
    pub(crate) fn send(&mut self, sends: Vec<Send>) {
        /// The longest way of one order alone, in ms: what makes them slow is how many there are.
        const ALONE: u64 = 20;
        let alone = sends.len() == 1;
        for send in sends {
            self.number += 1;
            let given = Given {
                seq: OrderSeq {
                    lead: Ballot(self.lead),
                    number: self.number,
                },
                from: From::Lead(send.phase),
                order: send.order,
            };
            let holds = matches!(given.order, Order::Hold { .. });
            let to = if holds { AFAR } else { send.rank };
            let longest = match to {
                LEAD | AFAR => NEAR,
                _ if alone => self.reach.min(ALONE),
                _ => self.reach,
            };
            self.give_to(to, given, longest);
        }
    }

    /// An order leaves for a process; whoever gave it waits for it for a bounded time.
    pub(crate) fn give_to(&mut self, rank: usize, given: Given, longest: u64) {
        let slow = self.mute < u64::MAX && self.chance.below(30) == 0;
        let longest = if slow { 4_000 } else { longest };
        let delay = 1 + self.chance.below(longest);
        let from = given.from;
        self.after(delay, Event::Arrive(rank, given));
        self.after(CALL, Event::Told(rank, from, Outcome::Unsure));
    }

    /// The process beside a rank goes on with the order in its executor, or takes up the next one.
    pub(crate) fn work(&mut self, rank: usize) {
        let engine = engine(rank);
        self.engines[engine].copy(self.now);
        let state = self.engines[engine].state(self.step);
        if rank == AFAR {
            let floor = self.executors[DEPUTY].floor();
            self.executors[AFAR].told(Incarnation(1), &state, floor);
        }
        if self.tasks[rank].is_none() {
            let Some(given) = self.queues[rank].pop_front() else {
                return;
            };
            let taken = self.executors[rank].take(given.seq, given.order.clone(), EPOCH);
            match taken {
                Some(task) => self.tasks[rank] = Some((given, task)),
                None => {
                    let refusal = self.executors[rank].refusal(given.seq);
                    return self.report(rank, given.from, refusal);
                }
            }
        }
        let Some((given, task)) = self.tasks[rank].as_mut() else {
            return;
        };
        let from = given.from;
        match self.executors[rank].next(task, &state) {
            Next::Settled(outcome) => {
                self.tasks[rank] = None;
                self.report(rank, from, outcome);
            }
            Next::Give(order) => self.give(rank, &order),
        }
    }

    pub(crate) fn give(&mut self, rank: usize, order: &EngineOrder) {
        let before = self.executors[rank].before_send(order);
        if self.chance.below(self.mute) == 0 {
            // The platform speaks of 2 to 12 s; sooner ones find the group still held.
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
        let answer = self.engines[engine(rank)].order(self.now, order, self.step);
        self.after(1, Event::Answered(rank, order.clone(), before, answer));
    }

    pub(crate) fn report(&mut self, rank: usize, from: From, outcome: Outcome) {
        self.after(1, Event::Told(rank, from, outcome));
        self.after(0, Event::Work(rank));
    }

    pub(crate) fn is_held(&self) -> bool {
        self.engines.iter().any(|e| e.held.is_some())
    }
}
