//! Many entries' and agents' membership in one process, over a virtual wire and clock.
//!
//! The state machines are those of production, and every message is encoded and decoded as it
//! would be. One queue of jobs, by time, is all there is besides.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Instant;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use snipemast_core::prelude::*;
use snipemast_membership::{
    AgentCard, AgentMessage, AnnounceInput, AnnounceOutput, AnnounceTuning, Announcer, Input,
    LeaseReply, Node, NodeCard, Output, Packet, Token, Tuning,
};
use snipemast_wire::Packed;

use crate::links::{Links, Place};

/// A process of the fleet, by its place in [`Fleet::processes`].
pub type ProcessIndex = usize;

/// What runs in a process.
#[derive(Debug)]
pub enum Role {
    /// An entry.
    Entry(Box<Node>),
    /// An agent.
    Agent(Box<Announcer>),
}

/// One process.
#[derive(Debug)]
pub struct Process {
    /// Where it stands.
    pub place: Place,
    /// Where it listens.
    pub address: SocketAddr,
    /// What runs in it, or nothing after a crash.
    pub role: Option<Role>,
    /// What it has used.
    pub meter: Meter,
    start: u32,
    asleep: Moment,
}

/// What a process has used.
#[derive(Debug, Clone, Copy, Default)]
pub struct Meter {
    /// Bytes of messages sent.
    pub sent: u64,
    /// Bytes of messages received.
    pub received: u64,
    /// Exchanges and calls that it began.
    pub begun: u64,
    /// Exchanges and calls that it answered.
    pub answered: u64,
    /// Time in its state machine and codec, in nanoseconds.
    pub work_nanos: u64,
}

/// An event that a process recorded.
#[derive(Debug, Clone)]
pub struct RecordedEvent {
    /// When.
    pub at: Moment,
    /// Which process.
    pub process: ProcessIndex,
    /// What.
    pub event: Event,
    /// Whom it is about.
    pub subject: String,
    /// In words.
    pub detail: String,
}

#[derive(Debug)]
enum Job {
    Wake(ProcessIndex, u32, Moment),
    Arrive(Call),
    Back(ProcessIndex, u32, Token, Packed),
    Late(ProcessIndex, u32, Token),
}

#[derive(Debug)]
struct Call {
    from: ProcessIndex,
    start: u32,
    token: Token,
    to: SocketAddr,
    bytes: Packed,
    agent: bool,
}

#[derive(Debug)]
struct Queued {
    at: Moment,
    order: u64,
    job: Job,
}

impl PartialEq for Queued {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}

impl Eq for Queued {}

impl PartialOrd for Queued {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Queued {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// All processes, the wire between them, and the clock.
#[derive(Debug)]
pub struct Fleet {
    /// The processes.
    pub processes: Vec<Process>,
    /// The wire.
    pub links: Links,
    /// What was recorded.
    pub recorded: Vec<RecordedEvent>,
    /// Changes of views since they were last taken: when, at which entry, of which agent.
    pub changed: Vec<(Moment, ProcessIndex, HostId)>,
    /// Living and connected agents that fell out of an entry's view: when, where, which.
    pub drops: Vec<(Moment, ProcessIndex, HostId)>,
    /// How entries are set up.
    pub tuning: Tuning,
    /// How agents are set up.
    pub announce: AnnounceTuning,
    now: Moment,
    queue: BinaryHeap<Reverse<Queued>>,
    order: u64,
    addresses: HashMap<SocketAddr, ProcessIndex>,
    hosts: HashMap<HostId, ProcessIndex>,
    open: HashSet<(ProcessIndex, u32, Token)>,
    wakes: HashMap<ProcessIndex, Moment>,
    dice: StdRng,
}

impl Fleet {
    /// No processes yet.
    pub fn new(seed: u64) -> Self {
        Self {
            processes: Vec::new(),
            links: Links::new(seed),
            recorded: Vec::new(),
            changed: Vec::new(),
            drops: Vec::new(),
            hosts: HashMap::new(),
            tuning: Tuning::default(),
            announce: AnnounceTuning::default(),
            now: Moment::from_micros(1_000_000),
            queue: BinaryHeap::new(),
            order: 0,
            addresses: HashMap::new(),
            open: HashSet::new(),
            wakes: HashMap::new(),
            dice: StdRng::seed_from_u64(seed ^ 0x5eed),
        }
    }

    /// The virtual time.
    pub fn now(&self) -> Moment {
        self.now
    }

    /// Adds an entry, which starts now.
    pub fn add_entry(&mut self, place: Place, seeds: Vec<SocketAddr>) -> ProcessIndex {
        let index = self.add(place, 0);
        self.start_entry(index, seeds, Incarnation::new(1));
        index
    }

    /// Adds an agent, which starts now.
    pub fn add_agent(
        &mut self,
        place: Place,
        info: ServerInfo,
        seeds: Vec<SocketAddr>,
    ) -> ProcessIndex {
        let index = self.add(place, 1);
        self.start_agent(index, info, seeds, Incarnation::new(1));
        index
    }

    /// Starts an entry's process, anew where one ran.
    pub fn start_entry(&mut self, index: ProcessIndex, seeds: Vec<SocketAddr>, start: Incarnation) {
        let process = &self.processes[index];
        let card = NodeCard {
            process: ProcessId::new(process.place.host.clone(), start),
            address: process.address,
            zone: process.place.zone.clone(),
            region: process.place.region.clone(),
            draining: false,
        };
        let seed = self.dice.random();
        let node = Node::new(self.now, card, seeds, self.tuning.clone(), seed);
        self.run_role(index, Role::Entry(Box::new(node)));
    }

    /// Starts an agent's process, anew where one ran.
    pub fn start_agent(
        &mut self,
        index: ProcessIndex,
        info: ServerInfo,
        seeds: Vec<SocketAddr>,
        start: Incarnation,
    ) {
        let process = &self.processes[index];
        let card = AgentCard {
            agent: ProcessId::new(process.place.host.clone(), start),
            address: process.address,
            zone: process.place.zone.clone(),
            region: process.place.region.clone(),
            news: 1,
            draining: false,
            info,
        };
        let seed = self.dice.random();
        let tuning = self.announce.clone();
        let announcer = Announcer::new(self.now, card, seeds, tuning, seed);
        self.run_role(index, Role::Agent(Box::new(announcer)));
    }

    /// Ends a process without a word.
    pub fn crash(&mut self, index: ProcessIndex) {
        self.processes[index].role = None;
        self.processes[index].start += 1;
    }

    /// Keeps a process from running for a while; what reaches it waits.
    pub fn stall(&mut self, index: ProcessIndex, span: Span) {
        self.processes[index].asleep = self.now + span;
    }

    /// Gives an entry an input.
    pub fn send_input(&mut self, index: ProcessIndex, input: Input) {
        if let Some(Role::Entry(node)) = &mut self.processes[index].role {
            let outputs = node.handle(self.now, input);
            self.entry_outputs(index, outputs, None);
        }
        self.schedule(index);
    }

    /// Gives an agent an input.
    pub fn send_agent_input(&mut self, index: ProcessIndex, input: AnnounceInput) {
        if let Some(Role::Agent(announcer)) = &mut self.processes[index].role {
            let outputs = announcer.handle(self.now, input);
            self.agent_outputs(index, outputs);
        }
        self.schedule(index);
    }

    /// An entry's membership, where it runs.
    pub fn node(&self, index: ProcessIndex) -> Option<&Node> {
        match &self.processes[index].role {
            Some(Role::Entry(node)) => Some(node),
            _ => None,
        }
    }

    /// An agent's leases, where it runs.
    pub fn announcer(&self, index: ProcessIndex) -> Option<&Announcer> {
        match &self.processes[index].role {
            Some(Role::Agent(announcer)) => Some(announcer),
            _ => None,
        }
    }

    /// The entries that run.
    pub fn entries(&self) -> impl Iterator<Item = (ProcessIndex, &Node)> {
        (0..self.processes.len()).filter_map(|i| self.node(i).map(|n| (i, n)))
    }

    /// The agents that run.
    pub fn agents(&self) -> impl Iterator<Item = (ProcessIndex, &Announcer)> {
        (0..self.processes.len()).filter_map(|i| self.announcer(i).map(|a| (i, a)))
    }

    /// Runs for a span.
    pub fn run(&mut self, span: Span) {
        let end = self.now + span;
        while self.queue.peek().is_some_and(|Reverse(q)| q.at <= end) {
            self.step();
        }
        self.now = end;
    }

    fn step(&mut self) {
        let Some(Reverse(queued)) = self.queue.pop() else {
            return;
        };
        self.now = self.now.max(queued.at);
        let asleep = self.sleeper(&queued.job).map(|i| self.processes[i].asleep);
        if let Some(until) = asleep.filter(|until| *until > self.now) {
            self.push(until, queued.job);
            return;
        }
        match queued.job {
            Job::Wake(index, start, due) => self.wake(index, start, due),
            Job::Arrive(call) => self.arrive(call),
            Job::Back(index, start, token, bytes) => self.back(index, start, token, &bytes),
            Job::Late(index, start, token) => self.late(index, start, token),
        }
    }

    fn sleeper(&self, job: &Job) -> Option<ProcessIndex> {
        match job {
            Job::Wake(index, ..) | Job::Back(index, ..) | Job::Late(index, ..) => Some(*index),
            Job::Arrive(call) => self.addresses.get(&call.to).copied(),
        }
    }

    fn wake(&mut self, index: ProcessIndex, start: u32, due: Moment) {
        if self.processes[index].start != start || self.wakes.get(&index) != Some(&due) {
            return;
        }
        self.wakes.remove(&index);
        self.work(index, |process, now| match &mut process.role {
            Some(Role::Entry(node)) => Done::Entry(node.handle(now, Input::Tick)),
            Some(Role::Agent(agent)) => Done::Agent(agent.handle(now, AnnounceInput::Tick)),
            None => Done::Nothing,
        });
        self.schedule(index);
    }

    fn arrive(&mut self, call: Call) {
        let Some(index) = self.addresses.get(&call.to).copied() else {
            return;
        };
        self.processes[index].meter.received += call.bytes.size() as u64;
        let Some(Role::Entry(node)) = &mut self.processes[index].role else {
            return;
        };
        let begun = Instant::now();
        let input = if call.agent {
            let message = call.bytes.unpack::<AgentMessage>();
            Input::Agent(message.expect("what was packed unpacks"))
        } else {
            let packet = call.bytes.unpack::<Packet>();
            Input::Asked(Box::new(packet.expect("what was packed unpacks")))
        };
        let outputs = node.handle(self.now, input);
        let meter = &mut self.processes[index].meter;
        meter.work_nanos += begun.elapsed().as_nanos() as u64;
        meter.answered += 1;
        self.entry_outputs(index, outputs, Some(&call));
        self.schedule(index);
    }

    fn back(&mut self, index: ProcessIndex, start: u32, token: Token, bytes: &Packed) {
        if !self.open.remove(&(index, start, token)) || self.processes[index].start != start {
            return;
        }
        self.processes[index].meter.received += bytes.size() as u64;
        self.work(index, |process, now| match &mut process.role {
            Some(Role::Entry(node)) => {
                let packet = bytes.unpack::<Packet>().expect("what was packed unpacks");
                Done::Entry(node.handle(now, Input::Answered(token, Box::new(packet))))
            }
            Some(Role::Agent(agent)) => {
                let reply = bytes
                    .unpack::<LeaseReply>()
                    .expect("what was packed unpacks");
                Done::Agent(agent.handle(now, AnnounceInput::Answered(token, reply)))
            }
            None => Done::Nothing,
        });
        self.schedule(index);
    }

    fn late(&mut self, index: ProcessIndex, start: u32, token: Token) {
        if !self.open.remove(&(index, start, token)) || self.processes[index].start != start {
            return;
        }
        self.work(index, |process, now| match &mut process.role {
            Some(Role::Entry(node)) => Done::Entry(node.handle(now, Input::TimedOut(token))),
            Some(Role::Agent(agent)) => {
                Done::Agent(agent.handle(now, AnnounceInput::TimedOut(token)))
            }
            None => Done::Nothing,
        });
        self.schedule(index);
    }

    fn work(&mut self, index: ProcessIndex, handle: impl FnOnce(&mut Process, Moment) -> Done) {
        let now = self.now;
        let begun = Instant::now();
        let done = handle(&mut self.processes[index], now);
        self.processes[index].meter.work_nanos += begun.elapsed().as_nanos() as u64;
        match done {
            Done::Entry(outputs) => self.entry_outputs(index, outputs, None),
            Done::Agent(outputs) => self.agent_outputs(index, outputs),
            Done::Nothing => {}
        }
    }

    fn entry_outputs(&mut self, index: ProcessIndex, outputs: Vec<Output>, call: Option<&Call>) {
        for output in outputs {
            match output {
                Output::Send {
                    token,
                    to,
                    packet,
                    timeout,
                } => {
                    let bytes = self.pack(index, &packet);
                    self.call(index, token, to, bytes, timeout, false);
                }
                Output::Reply(packet) => {
                    let bytes = self.pack(index, &packet);
                    self.answer(index, call, bytes);
                }
                Output::Lease(reply) => {
                    let bytes = self.pack(index, &reply);
                    self.answer(index, call, bytes);
                }
                Output::Event {
                    event,
                    subject,
                    detail,
                } => self.recorded.push(RecordedEvent {
                    at: self.now,
                    process: index,
                    event,
                    subject,
                    detail,
                }),
                Output::Changed(hosts) => self.note_changed(index, hosts),
            }
        }
    }

    /// Keeps what changed, and whether a living and connected agent fell out of the view.
    fn note_changed(&mut self, index: ProcessIndex, hosts: Vec<HostId>) {
        for host in hosts {
            if self.is_dropped(index, &host) {
                self.drops.push((self.now, index, host.clone()));
            }
            self.changed.push((self.now, index, host));
        }
    }

    fn is_dropped(&self, index: ProcessIndex, host: &HostId) -> bool {
        let Some(agent) = self.hosts.get(host) else {
            return false;
        };
        let places = (&self.processes[index].place, &self.processes[*agent].place);
        let connected = self.links.is_connected(places.0, places.1)
            && self.links.is_connected(places.1, places.0);
        let lives = self.announcer(*agent).is_some_and(|a| !a.card().draining);
        let seen = self.node(index).and_then(|n| n.agent_view(host));
        connected && lives && seen.is_none_or(|a| !a.is_routable())
    }

    fn agent_outputs(&mut self, index: ProcessIndex, outputs: Vec<AnnounceOutput>) {
        for output in outputs {
            match output {
                AnnounceOutput::Send {
                    token,
                    to,
                    message,
                    timeout,
                } => {
                    let bytes = self.pack(index, &message);
                    self.call(index, token, to, bytes, timeout, true);
                }
                AnnounceOutput::Superseded { by, address } => self.recorded.push(RecordedEvent {
                    at: self.now,
                    process: index,
                    event: Event::IdentityClash,
                    subject: by.to_string(),
                    detail: address.to_string(),
                }),
            }
        }
    }

    fn pack<T: serde::Serialize>(&mut self, index: ProcessIndex, message: &T) -> Packed {
        let begun = Instant::now();
        let bytes = Packed::new(message);
        let meter = &mut self.processes[index].meter;
        meter.work_nanos += begun.elapsed().as_nanos() as u64;
        meter.sent += bytes.size() as u64;
        bytes
    }

    fn call(
        &mut self,
        from: ProcessIndex,
        token: Token,
        to: SocketAddr,
        bytes: Packed,
        timeout: Span,
        agent: bool,
    ) {
        let start = self.processes[from].start;
        self.processes[from].meter.begun += 1;
        self.open.insert((from, start, token));
        self.push(self.now + timeout, Job::Late(from, start, token));
        let Some(target) = self.addresses.get(&to).copied() else {
            return;
        };
        let places = (&self.processes[from].place, &self.processes[target].place);
        if let Some(delay) = self.links.delay(places.0, places.1) {
            let call = Call {
                from,
                start,
                token,
                to,
                bytes,
                agent,
            };
            self.push(self.now + delay, Job::Arrive(call));
        }
    }

    fn answer(&mut self, index: ProcessIndex, call: Option<&Call>, bytes: Packed) {
        let Some(call) = call else {
            return;
        };
        let places = (
            &self.processes[index].place,
            &self.processes[call.from].place,
        );
        if let Some(delay) = self.links.delay(places.0, places.1) {
            let job = Job::Back(call.from, call.start, call.token, bytes);
            self.push(self.now + delay, job);
        }
    }

    fn add(&mut self, place: Place, kind: u8) -> ProcessIndex {
        let index = self.processes.len();
        let number = index as u16;
        let address = SocketAddr::from(([10, kind, (number >> 8) as u8, number as u8], 7_000));
        self.addresses.insert(address, index);
        self.hosts.insert(place.host.clone(), index);
        self.processes.push(Process {
            place,
            address,
            role: None,
            meter: Meter::default(),
            start: 0,
            asleep: Moment::ZERO,
        });
        index
    }

    fn run_role(&mut self, index: ProcessIndex, role: Role) {
        let process = &mut self.processes[index];
        process.role = Some(role);
        process.start += 1;
        self.wakes.remove(&index);
        self.schedule(index);
    }

    /// Sees to it that the process wakes when it wants to.
    fn schedule(&mut self, index: ProcessIndex) {
        let process = &self.processes[index];
        let due = match &process.role {
            Some(Role::Entry(node)) => node.next_tick(),
            Some(Role::Agent(agent)) => agent.next_tick(),
            None => return,
        };
        if due == Moment::NEVER || self.wakes.get(&index).is_some_and(|at| *at <= due) {
            return;
        }
        let start = process.start;
        let due = due.max(self.now);
        self.wakes.insert(index, due);
        self.push(due, Job::Wake(index, start, due));
    }

    fn push(&mut self, at: Moment, job: Job) {
        self.order += 1;
        let order = self.order;
        self.queue.push(Reverse(Queued { at, order, job }));
    }
}

enum Done {
    Entry(Vec<Output>),
    Agent(Vec<AnnounceOutput>),
    Nothing,
}
