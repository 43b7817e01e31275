//! The membership of many entries and agents in one process, on a simulated network and clock.
//!
//! The state machines are those of production, and every message is encoded and decoded as in
//! production. A single queue of jobs, ordered by time, drives the simulation.

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

/// The index of a process in [`Fleet::processes`].
pub type ProcessIndex = usize;

/// The role of a process.
#[derive(Debug)]
pub enum Role {
    /// An entry.
    Entry(Box<Node>),
    /// An agent.
    Agent(Box<Announcer>),
}

/// A process of the fleet.
#[derive(Debug)]
pub struct Process {
    /// The host, zone and region of the process.
    pub place: Place,
    /// The address where the process listens.
    pub address: SocketAddr,
    /// The role that runs in the process, or none after a crash.
    pub role: Option<Role>,
    /// The resources that the process has used.
    pub meter: Meter,
    /// Counts the starts and crashes, so that jobs of an earlier start are ignored.
    start: u32,
    /// The process does not run until this moment.
    stalled_until: Moment,
}

/// The resources that a process has used.
#[derive(Debug, Clone, Copy, Default)]
pub struct Meter {
    /// The bytes of messages sent.
    pub sent: u64,
    /// The bytes of messages received.
    pub received: u64,
    /// The number of exchanges and calls that the process started.
    pub begun: u64,
    /// The number of exchanges and calls that the process answered.
    pub answered: u64,
    /// The time spent in the state machine and the codec, in nanoseconds.
    pub work_nanos: u64,
}

/// An event that a process recorded.
#[derive(Debug, Clone)]
pub struct RecordedEvent {
    /// The time of the event.
    pub at: Moment,
    /// The process that recorded it.
    pub process: ProcessIndex,
    /// The kind of event.
    pub event: Event,
    /// The subject of the event.
    pub subject: String,
    /// Further facts as text.
    pub detail: String,
}

/// A job in the queue; those of one process hold its start.
#[derive(Debug)]
enum Job {
    /// A process has a tick due at this moment.
    Wake(ProcessIndex, u32, Moment),
    /// A call arrives at its target.
    Arrive(Call),
    /// The answer to a call arrives at its caller.
    Answer(ProcessIndex, u32, Token, Packed),
    /// The timeout of a call passes.
    Timeout(ProcessIndex, u32, Token),
}

/// A message from one process to another.
#[derive(Debug)]
struct Call {
    from: ProcessIndex,
    start: u32,
    token: Token,
    to: SocketAddr,
    bytes: Packed,
    /// Whether the caller is an agent.
    agent: bool,
}

/// A job with its time.
#[derive(Debug)]
struct Queued {
    at: Moment,
    /// The order among jobs of the same moment.
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

/// All processes, the network between them, and the clock.
#[derive(Debug)]
pub struct Fleet {
    /// The processes.
    pub processes: Vec<Process>,
    /// The links of the network.
    pub links: Links,
    /// The events that processes recorded.
    pub recorded: Vec<RecordedEvent>,
    /// Changes in the views of entries since the test last took them: the time, the entry and the
    /// changed agent.
    pub changed: Vec<(Moment, ProcessIndex, HostId)>,
    /// Running and connected agents that an entry's view lost: the time, the entry and the agent.
    pub drops: Vec<(Moment, ProcessIndex, HostId)>,
    /// The tuning of entries.
    pub tuning: Tuning,
    /// The tuning of agents.
    pub announce: AnnounceTuning,
    now: Moment,
    queue: BinaryHeap<Reverse<Queued>>,
    order: u64,
    addresses: HashMap<SocketAddr, ProcessIndex>,
    hosts: HashMap<HostId, ProcessIndex>,
    /// The calls that wait for an answer or a timeout.
    open: HashSet<(ProcessIndex, u32, Token)>,
    /// The next tick of each process in the queue.
    wakes: HashMap<ProcessIndex, Moment>,
    rng: StdRng,
}

impl Fleet {
    /// Creates a fleet without processes.
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
            rng: StdRng::seed_from_u64(seed ^ 0x5eed),
        }
    }

    /// Returns the simulated time.
    pub fn now(&self) -> Moment {
        self.now
    }

    /// Adds an entry, which starts now.
    pub fn add_entry(&mut self, place: Place, seeds: Vec<SocketAddr>) -> ProcessIndex {
        let index = self.add_process(place, 0);
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
        let index = self.add_process(place, 1);
        self.start_agent(index, info, seeds, Incarnation::new(1));
        index
    }

    /// Starts an entry in a process, in place of the role that ran there.
    pub fn start_entry(&mut self, index: ProcessIndex, seeds: Vec<SocketAddr>, start: Incarnation) {
        let process = &self.processes[index];
        let card = NodeCard {
            process: ProcessId::new(process.place.host.clone(), start),
            address: process.address,
            zone: process.place.zone.clone(),
            region: process.place.region.clone(),
            draining: false,
        };
        let seed = self.rng.random();
        let node = Node::new(self.now, card, seeds, self.tuning.clone(), seed);
        self.run_role(index, Role::Entry(Box::new(node)));
    }

    /// Starts an agent in a process, in place of the role that ran there.
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
        let seed = self.rng.random();
        let tuning = self.announce.clone();
        let announcer = Announcer::new(self.now, card, seeds, tuning, seed);
        self.run_role(index, Role::Agent(Box::new(announcer)));
    }

    /// Ends a process without a message to others.
    pub fn crash(&mut self, index: ProcessIndex) {
        self.processes[index].role = None;
        self.processes[index].start += 1;
    }

    /// Stops a process for a span of time; messages to it wait.
    pub fn stall(&mut self, index: ProcessIndex, span: Span) {
        self.processes[index].stalled_until = self.now + span;
    }

    /// Passes an input to an entry.
    pub fn send_input(&mut self, index: ProcessIndex, input: Input) {
        if let Some(Role::Entry(node)) = &mut self.processes[index].role {
            let outputs = node.handle(self.now, input);
            self.entry_outputs(index, outputs, None);
        }
        self.schedule(index);
    }

    /// Passes an input to an agent.
    pub fn send_agent_input(&mut self, index: ProcessIndex, input: AnnounceInput) {
        if let Some(Role::Agent(announcer)) = &mut self.processes[index].role {
            let outputs = announcer.handle(self.now, input);
            self.agent_outputs(index, outputs);
        }
        self.schedule(index);
    }

    /// Returns the membership of an entry, if it runs.
    pub fn node(&self, index: ProcessIndex) -> Option<&Node> {
        match &self.processes[index].role {
            Some(Role::Entry(node)) => Some(node),
            _ => None,
        }
    }

    /// Returns the announcer of an agent, if it runs.
    pub fn announcer(&self, index: ProcessIndex) -> Option<&Announcer> {
        match &self.processes[index].role {
            Some(Role::Agent(announcer)) => Some(announcer),
            _ => None,
        }
    }

    /// Returns the entries that run.
    pub fn entries(&self) -> impl Iterator<Item = (ProcessIndex, &Node)> {
        (0..self.processes.len()).filter_map(|i| self.node(i).map(|n| (i, n)))
    }

    /// Returns the agents that run.
    pub fn agents(&self) -> impl Iterator<Item = (ProcessIndex, &Announcer)> {
        (0..self.processes.len()).filter_map(|i| self.announcer(i).map(|a| (i, a)))
    }

    /// Runs the simulation for a span of time.
    pub fn run(&mut self, span: Span) {
        let end = self.now + span;
        while self.queue.peek().is_some_and(|Reverse(q)| q.at <= end) {
            self.step();
        }
        self.now = end;
    }

    /// Runs the next job.
    fn step(&mut self) {
        let Some(Reverse(queued)) = self.queue.pop() else {
            return;
        };
        self.now = self.now.max(queued.at);
        let stalled = self
            .job_process(&queued.job)
            .map(|i| self.processes[i].stalled_until);
        if let Some(until) = stalled.filter(|until| *until > self.now) {
            self.push(until, queued.job);
            return;
        }
        match queued.job {
            Job::Wake(index, start, due) => self.wake(index, start, due),
            Job::Arrive(call) => self.arrive(call),
            Job::Answer(index, start, token, bytes) => {
                self.handle_answer(index, start, token, &bytes)
            }
            Job::Timeout(index, start, token) => self.handle_timeout(index, start, token),
        }
    }

    /// Returns the process that runs a job.
    fn job_process(&self, job: &Job) -> Option<ProcessIndex> {
        match job {
            Job::Wake(index, ..) | Job::Answer(index, ..) | Job::Timeout(index, ..) => Some(*index),
            Job::Arrive(call) => self.addresses.get(&call.to).copied(),
        }
    }

    /// Passes a tick to a process, unless it has started again or its tick was moved.
    fn wake(&mut self, index: ProcessIndex, start: u32, due: Moment) {
        if self.processes[index].start != start || self.wakes.get(&index) != Some(&due) {
            return;
        }
        self.wakes.remove(&index);
        self.run_metered(index, |process, now| match &mut process.role {
            Some(Role::Entry(node)) => Outputs::Entry(node.handle(now, Input::Tick)),
            Some(Role::Agent(agent)) => Outputs::Agent(agent.handle(now, AnnounceInput::Tick)),
            None => Outputs::Nothing,
        });
        self.schedule(index);
    }

    /// Passes a call to its target.
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

    /// Passes an answer to the caller, unless its call has timed out.
    fn handle_answer(&mut self, index: ProcessIndex, start: u32, token: Token, bytes: &Packed) {
        if !self.open.remove(&(index, start, token)) || self.processes[index].start != start {
            return;
        }
        self.processes[index].meter.received += bytes.size() as u64;
        self.run_metered(index, |process, now| match &mut process.role {
            Some(Role::Entry(node)) => {
                let packet = bytes.unpack::<Packet>().expect("what was packed unpacks");
                Outputs::Entry(node.handle(now, Input::Answered(token, Box::new(packet))))
            }
            Some(Role::Agent(agent)) => {
                let reply = bytes
                    .unpack::<LeaseReply>()
                    .expect("what was packed unpacks");
                Outputs::Agent(agent.handle(now, AnnounceInput::Answered(token, reply)))
            }
            None => Outputs::Nothing,
        });
        self.schedule(index);
    }

    /// Passes a timeout to the caller, unless the answer has arrived.
    fn handle_timeout(&mut self, index: ProcessIndex, start: u32, token: Token) {
        if !self.open.remove(&(index, start, token)) || self.processes[index].start != start {
            return;
        }
        self.run_metered(index, |process, now| match &mut process.role {
            Some(Role::Entry(node)) => Outputs::Entry(node.handle(now, Input::TimedOut(token))),
            Some(Role::Agent(agent)) => {
                Outputs::Agent(agent.handle(now, AnnounceInput::TimedOut(token)))
            }
            None => Outputs::Nothing,
        });
        self.schedule(index);
    }

    /// Runs a state machine, meters its time and carries out its outputs.
    fn run_metered(
        &mut self,
        index: ProcessIndex,
        handle: impl FnOnce(&mut Process, Moment) -> Outputs,
    ) {
        let now = self.now;
        let begun = Instant::now();
        let done = handle(&mut self.processes[index], now);
        self.processes[index].meter.work_nanos += begun.elapsed().as_nanos() as u64;
        match done {
            Outputs::Entry(outputs) => self.entry_outputs(index, outputs, None),
            Outputs::Agent(outputs) => self.agent_outputs(index, outputs),
            Outputs::Nothing => {}
        }
    }

    /// Carries out the outputs of an entry; `call` is the call that it answers.
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
                    self.send_call(index, token, to, bytes, timeout, false);
                }
                Output::Reply(packet) => {
                    let bytes = self.pack(index, &packet);
                    self.send_answer(index, call, bytes);
                }
                Output::Lease(reply) => {
                    let bytes = self.pack(index, &reply);
                    self.send_answer(index, call, bytes);
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
                Output::Changed(hosts) => self.record_changes(index, hosts),
            }
        }
    }

    /// Records the changes in a view, and the running and connected agents that it lost.
    fn record_changes(&mut self, index: ProcessIndex, hosts: Vec<HostId>) {
        for host in hosts {
            if self.is_dropped(index, &host) {
                self.drops.push((self.now, index, host.clone()));
            }
            self.changed.push((self.now, index, host));
        }
    }

    /// Whether an entry's view lacks an agent that runs and is connected.
    fn is_dropped(&self, index: ProcessIndex, host: &HostId) -> bool {
        let Some(agent) = self.hosts.get(host) else {
            return false;
        };
        let places = (&self.processes[index].place, &self.processes[*agent].place);
        let connected = self.links.is_connected(places.0, places.1)
            && self.links.is_connected(places.1, places.0);
        let running = self.announcer(*agent).is_some_and(|a| !a.card().draining);
        let seen = self.node(index).and_then(|n| n.agent_view(host));
        connected && running && seen.is_none_or(|a| !a.is_routable())
    }

    /// Carries out the outputs of an agent.
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
                    self.send_call(index, token, to, bytes, timeout, true);
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

    /// Encodes a message and meters it.
    fn pack<T: serde::Serialize>(&mut self, index: ProcessIndex, message: &T) -> Packed {
        let begun = Instant::now();
        let bytes = Packed::new(message);
        let meter = &mut self.processes[index].meter;
        meter.work_nanos += begun.elapsed().as_nanos() as u64;
        meter.sent += bytes.size() as u64;
        bytes
    }

    /// Sends a call, with its timeout.
    fn send_call(
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
        self.push(self.now + timeout, Job::Timeout(from, start, token));
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

    /// Sends the answer to a call.
    fn send_answer(&mut self, index: ProcessIndex, call: Option<&Call>, bytes: Packed) {
        let Some(call) = call else {
            return;
        };
        let places = (
            &self.processes[index].place,
            &self.processes[call.from].place,
        );
        if let Some(delay) = self.links.delay(places.0, places.1) {
            let job = Job::Answer(call.from, call.start, call.token, bytes);
            self.push(self.now + delay, job);
        }
    }

    /// Adds a process without a role.
    fn add_process(&mut self, place: Place, kind: u8) -> ProcessIndex {
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
            stalled_until: Moment::ZERO,
        });
        index
    }

    /// Starts a role in a process.
    fn run_role(&mut self, index: ProcessIndex, role: Role) {
        let process = &mut self.processes[index];
        process.role = Some(role);
        process.start += 1;
        self.wakes.remove(&index);
        self.schedule(index);
    }

    /// Queues the next tick of a process.
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

    /// Adds a job to the queue.
    fn push(&mut self, at: Moment, job: Job) {
        self.order += 1;
        let order = self.order;
        self.queue.push(Reverse(Queued { at, order, job }));
    }
}

/// The outputs of a state machine.
enum Outputs {
    Entry(Vec<Output>),
    Agent(Vec<AnnounceOutput>),
    Nothing,
}
