//! A group's ranks on engines that lose answers and carry orders out late, with a lead and a deputy.

// Each test binary uses a part of it.
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
    DEPUTY_RANK, LEAD_RANK,
};

pub(crate) use engine::Engine;

pub(crate) const RANKS: usize = 4;

/// What holds the second rank for the lead, from the lead's host, beside the processes of the ranks.
pub(crate) const AFAR: usize = usize::MAX;

/// What orders the first rank for the deputy, from the deputy's host.
pub(crate) const FIRST: usize = usize::MAX - 1;

/// How old a rank's report is when it reaches another host, in ms.
pub(crate) const LAG: u64 = 200;
pub(crate) const EPOCH: GroupIncarnation = GroupIncarnation(1);

/// How long a pass takes, how often the lead looks, and how long a call may take, in ms.
pub(crate) const PASS: u64 = 40;
pub(crate) const LOOK: u64 = 60;
pub(crate) const CALL: u64 = 1_800;
pub(crate) const GIVE: u64 = 300;

/// The longest way of an order on its own host, in ms.
pub(crate) const NEAR: u64 = 5;

/// How late an answer may be before a process is taken for silent, in ms.
pub(crate) const ANSWER: u64 = 150;

/// How often the deputy looks while its rank is held, in ms.
pub(crate) const WATCH_HELD: u64 = 20;

/// How long a rank copies the experts of a map, in ms.
pub(crate) const COPY: u64 = 250;

/// Who gave an order, and in which phase of its work.
#[derive(Clone, Copy)]
pub(crate) enum From {
    Lead(Phase),
    Deputy(Phase),
}

/// What a call takes on the wire besides its order, and the address of a rank that it is passed on to, in bytes.
pub(crate) const CALL_BYTES: u64 = 300;
pub(crate) const ADDRESS_BYTES: u64 = 24;

/// What an order takes on the wire, in bytes.
pub(crate) fn bytes(order: &Order) -> u64 {
    let text = rmp_serde::to_vec_named(order).expect("an order can be written");
    CALL_BYTES + text.len() as u64
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
    /// An order reaches the process beside a rank, which passes it on to some.
    Relay(usize, Vec<usize>, Given),
    /// An order reaches the process beside a rank.
    Arrive(usize, Given),
    /// That process goes on with what it has in executor.
    Work(usize),
    /// An engine carries out an order late, and nobody hears of it.
    Late(usize, EngineOrder),
    /// An engine's answer, or the end of waiting for one, reaches the process beside it.
    Answered(usize, EngineOrder, bool, Answer),
    /// A process looks whether its rank's copy of a map is complete.
    Copying(usize, From, u64),
    /// What became of an order reaches who gave it.
    Told(usize, From, Outcome),
    /// The lead's process is killed and starts again.
    Restart,
    /// The lead's process is killed, and away for so long.
    Kill(u64),
    /// The lead's process looks for a group to take up.
    Adopt,
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
            Self::Look | Self::Seen(_) | Self::Told(_, From::Lead(_), _) => Some(LEAD_RANK),
            Self::Watch | Self::Told(_, From::Deputy(_), _) => Some(DEPUTY_RANK),
            Self::Relay(rank, ..)
            | Self::Arrive(rank, _)
            | Self::Copying(rank, ..)
            | Self::Work(rank)
            | Self::Answered(rank, ..) => match *rank {
                AFAR => Some(LEAD_RANK),
                FIRST => Some(DEPUTY_RANK),
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

/// The engine that a process orders.
pub(crate) fn engine(process: usize) -> usize {
    match process {
        AFAR => DEPUTY_RANK,
        FIRST => LEAD_RANK,
        rank => rank,
    }
}

/// The process beside a rank, or what holds one from afar.
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
    /// One in so many orders gets no answer.
    pub(crate) mute: u64,
    /// How long it takes until the lead has heard all ranks, and the longest way of an order, in ms.
    pub(crate) lag: u64,
    pub(crate) reach: u64,
    /// For how long the group did not begin a pass that was due, in ms.
    pub(crate) stood: u64,
    /// Whether requests come and go, so that the group makes no passes for a time.
    pub(crate) idles: bool,
    /// Whether another map is wanted at each look.
    pub(crate) eager: bool,
    pub(crate) step: u64,
    /// What a host's link carries, in bytes a ms, and until when it is taken up by what was sent, in us.
    pub(crate) link: u64,
    pub(crate) sent: Vec<u64>,
    /// The map that is brought into force; what matters here is how large it is.
    pub(crate) map: Arc<ExpertMap>,
    pub(crate) ranks: usize,
    pub(crate) engines: Vec<Engine>,
    pub(crate) processes: Vec<Process>,
    /// The lead's process as it holds the second rank.
    pub(crate) afar: Process,
    /// The deputy's process as it orders the first rank.
    pub(crate) first: Process,
    /// Until when the first rank's host stands still, so that the rank takes no order.
    pub(crate) stands: u64,
    /// What the first rank was like, and since when, for as long as that may be told.
    pub(crate) told: VecDeque<(u64, RankState)>,
    /// Until when the host of each rank's process stands still.
    pub(crate) frozen: Vec<u64>,
    /// The last lead whose process was killed.
    pub(crate) ended: u64,
    pub(crate) takeover: Option<Takeover>,
    pub(crate) stillness: StandstillDetector,
    /// Since when the lead that is back leaves the group to a takeover.
    pub(crate) waits: Option<u64>,
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
    /// How many maps came into force.
    pub(crate) maps: u32,
}

impl World {
    pub(crate) fn new(seed: u64, mute: u64) -> Self {
        Self::with_ranks(seed, mute, RANKS)
    }

    /// A group of so many ranks.
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
            afar: Process::default(),
            first: Process::default(),
            stands: 0,
            told: VecDeque::new(),
            frozen: vec![0; ranks],
            ended: 0,
            takeover: None,
            stillness: StandstillDetector::new(Moment::from_millis(0)),
            waits: None,
            deputy: (0, 0),
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
        let first = self.engines[LEAD_RANK].state(self.step);
        self.old_report(first);
        match event {
            Event::Pass => self.pass(),
            Event::Look => {
                let states = self.states();
                self.after(self.lag, Event::Seen(states));
            }
            Event::Seen(states) => self.look(&states),
            // A lead's orders to the process that it is itself end with it.
            Event::Arrive(LEAD_RANK | AFAR, given) if given.seq.lead <= Ballot(self.ended) => {}
            Event::Relay(through, to, given) => {
                for rank in to {
                    let delay = self.leave(through, bytes(&given.order));
                    self.give_to(rank, given.clone(), delay, self.reach);
                }
            }
            Event::Arrive(rank, given) => {
                self.process(rank).queue.push_back(given);
                self.after(0, Event::Work(rank));
            }
            Event::Work(rank) => self.work(rank),
            Event::Late(rank, order) => {
                self.engines[engine(rank)].order(self.now, &order, self.step);
            }
            Event::Answered(rank, order, before, answer) => {
                let process = self.process(rank);
                if let Some((_, task)) = &mut process.task {
                    process.executor.after_send(task, &order, before, answer);
                }
                self.after(10, Event::Work(rank));
            }
            Event::Copying(rank, from, version) => {
                self.engines[engine(rank)].copy(self.now);
                if self.engines[engine(rank)].prepared == Some(version) {
                    self.after(1, Event::Told(rank, from, Outcome::Prepared));
                }
            }
            Event::Told(rank, From::Lead(phase), outcome) => {
                let rank = engine(rank);
                let sends = self
                    .switch
                    .handle_outcome(self.moment(), rank, phase, outcome);
                self.send(sends);
                self.settle();
            }
            Event::Told(rank, From::Deputy(phase), outcome) => {
                let rank = engine(rank);
                let takeover = self.takeover.as_mut();
                let sends = takeover.map(|t| t.handle_outcome(rank, phase, outcome));
                self.order(sends.unwrap_or_default());
                if self.takeover.as_ref().is_some_and(Takeover::is_over) {
                    self.stillness.back_off(self.moment());
                    self.takeover = None;
                }
            }
            Event::Restart => {
                (self.frozen[LEAD_RANK], self.stands) = (0, 0);
                self.kill_lead();
                self.adopt();
            }
            Event::Kill(away) => {
                self.frozen[LEAD_RANK] = self.now + away;
                self.kill_lead();
                // The new process knows of no group.
                self.switch = Switch::new(self.ranks, Ballot(0));
                self.after(away, Event::Adopt);
            }
            Event::Adopt if self.leaves() => self.after(LOOK, Event::Adopt),
            Event::Adopt => self.adopt(),
            Event::Freeze(rank, until) => {
                self.frozen[rank] = until;
                if rank == LEAD_RANK {
                    self.stands = until;
                }
            }
            Event::Watch => self.watch(),
        }
    }

    /// The process beside a rank, or what holds the second one for the lead.
    fn process(&mut self, rank: usize) -> &mut Process {
        match rank {
            AFAR => &mut self.afar,
            FIRST => &mut self.first,
            rank => &mut self.processes[rank],
        }
    }

    /// What the lead's process knew is gone, and what it sent to itself.
    fn kill_lead(&mut self) {
        self.ended = self.lead;
        (self.processes[LEAD_RANK], self.afar) = (Process::default(), Process::default());
        self.sent[LEAD_RANK] = 0;
    }

    /// The highest ballot that ranks tell of.
    fn highest(&self) -> Ballot {
        let leads = self.processes.iter().map(|p| p.executor.lead());
        leads.max().unwrap_or_default()
    }

    /// Whether the lead leaves the group to a takeover.
    fn leaves(&mut self) -> bool {
        let (highest, held, now) = (self.highest(), self.is_held(), self.now);
        let since = *self.waits.get_or_insert(now);
        let leaves = yields_to_takeover(highest, held, Span::from_millis(now - since));
        if !leaves {
            self.waits = None;
        }
        leaves
    }

    /// The lead takes the group up with a ballot above all that ranks tell of.
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

    /// The deputy takes over where its group stands still and the lead is silent.
    pub(crate) fn watch(&mut self) {
        let state = self.states()[DEPUTY_RANK];
        let often = state.held.is_some();
        self.after(if often { WATCH_HELD } else { LOOK }, Event::Watch);
        if self.takeover.is_some() {
            return;
        }
        let still = self.stillness.observe(self.moment(), &state, true);
        let silent = self.frozen[LEAD_RANK] > self.now || self.backlog(LEAD_RANK) > ANSWER;
        let Some(step) = state.held.filter(|_| still && silent) else {
            return;
        };
        let own = self.processes[DEPUTY_RANK].executor.lead();
        let ballot = next_takeover_ballot(own.max(Ballot(self.deputy.0)));
        let reaches = self.stands <= self.now;
        let executor = &mut self.processes[DEPUTY_RANK].executor;
        let pledged = executor.is_pledged(&state);
        if !executor.overtake(ballot, &state, reaches) {
            return;
        }
        self.deputy = (ballot.get(), 0);
        self.takeovers += 1;
        self.first = Process {
            executor: Executor::remote(),
            ..Process::default()
        };
        let (takeover, sends) = Takeover::begin(self.ranks, ballot, &state, step, pledged);
        self.takeover = Some(takeover);
        self.order(sends);
    }

    /// Sends the deputy's orders on their way.
    pub(crate) fn order(&mut self, sends: Vec<RankOrder>) {
        let (here, others): (Vec<RankOrder>, Vec<RankOrder>) =
            sends.into_iter().partition(|s| s.rank == LEAD_RANK);
        let mut all = plan_deliveries(others, self.deputy.1);
        all.extend(here.into_iter().map(Delivery::Direct));
        for delivery in all {
            self.deputy.1 += 1;
            let seq = OrderSeq {
                lead: Ballot(self.deputy.0),
                number: self.deputy.1,
            };
            self.deliver(DEPUTY_RANK, delivery, seq, From::Deputy, self.reach);
        }
    }

    /// One delivery leaves a host.
    fn deliver(
        &mut self,
        host: usize,
        delivery: Delivery,
        seq: OrderSeq,
        from: impl Fn(Phase) -> From,
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
                    (Order::Hold { .. }, ..) => AFAR,
                    (_, DEPUTY_RANK, LEAD_RANK) => FIRST,
                    (.., rank) => rank,
                };
                let near = to == host || to == AFAR || to == FIRST;
                let longest = if near { NEAR } else { longest };
                let delay = self.leave(host, bytes(&given.order));
                self.give_to(to, given, delay, longest);
            }
            Delivery::Relayed { through, orders } => {
                let to: Vec<usize> = orders.iter().map(|s| s.rank).collect();
                let given = Given {
                    seq,
                    from: from(orders[0].phase),
                    order: orders[0].order.clone(),
                };
                let size = bytes(&given.order) + ADDRESS_BYTES * to.len() as u64;
                let delay = self.leave(host, size) + 1 + self.chance.below(self.reach);
                for rank in &to {
                    self.after(CALL, Event::Told(*rank, given.from, Outcome::Unsure));
                }
                self.after(delay, Event::Relay(through, to, given));
            }
        }
    }

    /// For how long a host's link is taken up by what was sent, in ms.
    fn backlog(&self, host: usize) -> u64 {
        (self.sent[host] / 1_000).saturating_sub(self.now)
    }

    /// A call leaves a host; how long it takes until it has, in ms.
    fn leave(&mut self, host: usize, bytes: u64) -> u64 {
        let begins = self.sent[host].max(self.now * 1_000);
        self.sent[host] = begins + bytes.saturating_mul(1_000) / self.link;
        self.backlog(host)
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
            let sends = self.switch.recover(states);
            self.send(sends);
        } else if self.switch.is_idle() && (self.eager || self.chance.below(4) == 0) {
            let had = self.engines.iter().map(|e| e.had).max().unwrap_or(0);
            self.version = had.max(self.version) + 1_000;
            let (version, map) = (MapVersion(self.version), Arc::clone(&self.map));
            let draft = Draft::Whole(Arc::clone(&map));
            let sends = self.switch.begin(now, EPOCH, version, draft, map);
            self.send(sends);
        }
    }

    pub(crate) fn settle(&mut self) {
        match self.switch.take_result() {
            Some(SwitchResult::Switched(_)) => self.switched += 1,
            Some(SwitchResult::Kept("another process took over")) => self.after(0, Event::Adopt),
            _ => {}
        }
    }

    /// Sends orders on their way; some are held up, and the lead stops waiting for them.
    pub(crate) fn send(&mut self, sends: Vec<RankOrder>) {
        /// The longest way of one order alone, in ms: what makes them slow is how many there are.
        const ALONE: u64 = 20;
        let longest = match sends.len() {
            1 => self.reach.min(ALONE),
            _ => self.reach,
        };
        for delivery in plan_deliveries(sends, self.number) {
            self.number += 1;
            let seq = OrderSeq {
                lead: Ballot(self.lead),
                number: self.number,
            };
            self.deliver(LEAD_RANK, delivery, seq, From::Lead, longest);
        }
    }

    /// An order leaves for a process; whoever gave it waits for it for a bounded time.
    pub(crate) fn give_to(&mut self, rank: usize, given: Given, leaves: u64, longest: u64) {
        let slow = self.mute < u64::MAX && self.chance.below(30) == 0;
        let longest = if slow { 4_000 } else { longest };
        let delay = leaves + 1 + self.chance.below(longest);
        let from = given.from;
        self.after(delay, Event::Arrive(rank, given));
        self.after(CALL, Event::Told(rank, from, Outcome::Unsure));
    }

    /// What the first rank tells another host: how it was a while ago.
    fn old_report(&mut self, now: RankState) -> RankState {
        let known = self.told.back().map(|(_, state)| *state);
        if known != Some(now) {
            self.told.push_back((self.now, now));
        }
        let then = self.now.saturating_sub(LAG);
        while self.told.get(1).is_some_and(|(at, _)| *at <= then) {
            self.told.pop_front();
        }
        self.told.front().map_or(now, |(_, state)| *state)
    }

    /// The process beside a rank goes on with the order in its executor, or takes up the next one.
    pub(crate) fn work(&mut self, rank: usize) {
        let engine = engine(rank);
        self.engines[engine].copy(self.now);
        let mut state = self.engines[engine].state(self.step);
        if rank == FIRST {
            state = self.old_report(state);
        }
        if rank == AFAR {
            let floor = self.processes[DEPUTY_RANK].executor.floor();
            self.afar
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
        if rank == FIRST && self.stands > self.now {
            // Carried out once the host goes on.
            self.after(self.stands - self.now, Event::Late(rank, order.clone()));
            let answered = Event::Answered(rank, order.clone(), before, Answer::None);
            return self.after(GIVE, answered);
        }
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
