//! Runs the state machines by which the ranks of a group agree on expert maps.
//!
//! Messages may be lost, duplicated or late. The state machines resend what matters, so a full queue
//! drops messages and every send has a timeout.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use async_channel::{Receiver, Sender};
use parking_lot::Mutex;
use trillium::{async_trait, Conn, Handler};

use snipemast_core::prelude::*;
use snipemast_groups::agree::lead::LeadTimer;
use snipemast_groups::agree::message::SharedMap;
use snipemast_groups::agree::{
    ActiveMap, EngineStatus, Lead, LeadInput, LeadOutput, LeadTerm, Margin, Permit, RankAgent,
    RankInput, RankOutput, Timer,
};
use snipemast_wire::group::{path, Ack, GroupBody, GroupMessage};
use snipemast_wire::serve::{read_message, reply, reply_malformed};
use snipemast_wire::{spawn, Peer};

/// The most messages that wait for a slow peer before further ones are dropped.
const QUEUE_LENGTH: usize = 64;
/// How long a message to another agent may take.
const SEND_TIMEOUT: Span = Span::from_millis(500);
/// How often the engine's status is polled: a part of the shortest step.
const POLL_INTERVAL: Span = Span::from_millis(2);
/// How long weights may take to load.
const LOAD_TIMEOUT: Span = Span::from_secs(60);

/// A timer of one of the state machines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum MachineTimer {
    Rank(Timer),
    Lead(LeadTimer),
}

/// An input of one of the state machines.
#[derive(Debug)]
enum MachineInput {
    Rank(RankInput),
    Lead(LeadInput),
}

/// The state machines of one rank, their timers, and the queues to the other ranks.
#[derive(Debug)]
struct Machines {
    rank: RankAgent,
    lead: Option<Lead>,
    /// The id of the latest start of each timer that runs.
    timers: BTreeMap<MachineTimer, u64>,
    last_timer: u64,
    peers: Vec<Sender<GroupBody>>,
    /// The engine's status as last seen.
    last_status: Option<EngineStatus>,
}

/// Drives the state machines of one rank: carries messages, timers, permits and loads of weights.
#[derive(Debug)]
pub struct RankDriver {
    place: Rank,
    start: Incarnation,
    margin: Margin,
    journal: Journal,
    engine: Peer,
    permits: (Sender<Permit>, Receiver<Permit>),
    machines: Mutex<Option<Machines>>,
    stopped: AtomicBool,
}

impl RankDriver {
    /// Creates the driver of a rank whose engine listens at this address; it waits for a roster.
    pub fn new(place: Rank, start: Incarnation, engine: SocketAddr, journal: Journal) -> Arc<Self> {
        let driver = Arc::new(Self {
            place,
            start,
            margin: Margin::default(),
            journal,
            engine: Peer::new(engine),
            permits: async_channel::bounded(QUEUE_LENGTH),
            machines: Mutex::new(None),
            stopped: AtomicBool::new(false),
        });
        spawn(Arc::clone(&driver).poll_engine()).detach();
        spawn(Arc::clone(&driver).forward_permits()).detach();
        driver
    }

    /// Returns the map that the rank committed last.
    pub fn committed_map(&self) -> Option<ActiveMap> {
        let machines = self.machines.lock();
        machines.as_ref().and_then(|m| m.rank.active_map().cloned())
    }

    /// Stops the driver: it issues no permit and sends no message from now on.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        self.permits.0.close();
        *self.machines.lock() = None;
    }

    /// Handles a message of another agent, an entry or the control role.
    pub fn handle_message(self: &Arc<Self>, message: GroupMessage) {
        let GroupMessage { group, from, body } = message;
        if group != self.place.group || self.stopped.load(Ordering::SeqCst) {
            return;
        }
        match body {
            GroupBody::Lead(message) => {
                self.handle_input(MachineInput::Rank(RankInput::Lead(message)))
            }
            GroupBody::Peer(message) => {
                self.handle_input(MachineInput::Rank(RankInput::Peer { from, message }));
            }
            GroupBody::Rank(term, message) => {
                if self.leads_term(term) {
                    self.handle_input(MachineInput::Lead(LeadInput::Rank {
                        from,
                        term,
                        message,
                    }));
                }
            }
            GroupBody::Propose(proposal) => {
                self.journal
                    .record(Event::MapProposed, &group, proposal.base);
                self.handle_input(MachineInput::Lead(LeadInput::Propose(proposal)));
            }
            GroupBody::Appoint => self.handle_input(MachineInput::Rank(RankInput::Appointed)),
            GroupBody::Fence(fence) => {
                self.handle_input(MachineInput::Rank(RankInput::FenceLearnt(fence)))
            }
            GroupBody::Roster(addresses) => self.set_roster(&addresses),
        }
    }

    /// Whether this process leads in the term.
    fn leads_term(&self, term: LeadTerm) -> bool {
        term.rank == self.place.number && term.start == self.start
    }

    /// Takes the addresses of the ranks' agents, and starts the state machines at the first roster.
    fn set_roster(self: &Arc<Self>, addresses: &[SocketAddr]) {
        let peers = addresses.iter().map(|a| self.spawn_sender(*a)).collect();
        let begins = {
            let mut machines = self.machines.lock();
            match machines.as_mut() {
                Some(machines) => {
                    machines.peers = peers;
                    false
                }
                None => {
                    *machines = Some(self.new_machines(peers));
                    true
                }
            }
        };
        if begins {
            self.handle_input(MachineInput::Rank(RankInput::Begin));
        }
    }

    /// Creates the state machines of a rank with these peers.
    fn new_machines(&self, peers: Vec<Sender<GroupBody>>) -> Machines {
        let ranks = peers.len() as u32;
        Machines {
            rank: RankAgent::new(self.place.number, ranks, self.start, self.margin.window),
            lead: None,
            timers: BTreeMap::new(),
            last_timer: 0,
            peers,
            last_status: None,
        }
    }

    /// Creates a queue to another agent and the task that sends its messages.
    fn spawn_sender(&self, address: SocketAddr) -> Sender<GroupBody> {
        let (sender, receiver) = async_channel::bounded::<GroupBody>(QUEUE_LENGTH);
        let peer = Peer::new(address);
        let (group, from) = (self.place.group.clone(), self.place.number);
        spawn(async move {
            while let Ok(body) = receiver.recv().await {
                let group = group.clone();
                let message = GroupMessage { group, from, body };
                let sent = peer
                    .call::<_, Ack>(path::GROUP, &message, SEND_TIMEOUT)
                    .await;
                // A connection that failed is not used again; the state machines resend.
                if sent.is_err() {
                    peer.retire();
                }
            }
        })
        .detach();
        sender
    }

    /// Passes an input to its state machine, and handles all that follows from it in this process.
    fn handle_input(self: &Arc<Self>, input: MachineInput) {
        let mut guard = self.machines.lock();
        let Some(machines) = guard.as_mut() else {
            return;
        };
        let mut pending = VecDeque::from([input]);
        while let Some(input) = pending.pop_front() {
            match input {
                MachineInput::Rank(input) => {
                    for output in machines.rank.handle(input) {
                        self.handle_rank_output(machines, output, &mut pending);
                    }
                }
                MachineInput::Lead(input) => {
                    let outputs = machines.lead.as_mut().map(|l| l.handle(input));
                    for output in outputs.unwrap_or_default() {
                        self.handle_lead_output(machines, output, &mut pending);
                    }
                }
            }
        }
    }

    /// Carries out an output of the rank's state machine.
    fn handle_rank_output(
        self: &Arc<Self>,
        machines: &mut Machines,
        output: RankOutput,
        pending: &mut VecDeque<MachineInput>,
    ) {
        match output {
            RankOutput::ToLead(term, message) if self.leads_term(term) => {
                let from = self.place.number;
                pending.push_back(MachineInput::Lead(LeadInput::Rank {
                    from,
                    term,
                    message,
                }));
            }
            RankOutput::ToLead(term, message) => {
                machines.send(term.rank, GroupBody::Rank(term, message));
            }
            RankOutput::ToRank(to, message) => machines.send(to, GroupBody::Peer(message)),
            // A permit that finds no room in the queue is issued again at the engine's next status.
            RankOutput::Permit(permit) => drop(self.permits.0.try_send(permit)),
            RankOutput::LoadWeights(version, map) => self.load_weights(version, map),
            RankOutput::DropWeights(_) | RankOutput::Evict(_) => {}
            RankOutput::Arm(timer) => self.start_timer(machines, MachineTimer::Rank(timer)),
            RankOutput::StartLead(term) => {
                let ranks = machines.peers.len() as u32;
                machines.lead = Some(Lead::new(term, ranks, self.margin));
                pending.push_back(MachineInput::Lead(LeadInput::Begin));
            }
            RankOutput::Event(event, version) => {
                let detail = format!("map {version} at rank {}", self.place.number);
                self.journal.record(event, &self.place.group, detail);
            }
        }
    }

    /// Carries out an output of the lead's state machine.
    fn handle_lead_output(
        self: &Arc<Self>,
        machines: &mut Machines,
        output: LeadOutput,
        pending: &mut VecDeque<MachineInput>,
    ) {
        match output {
            LeadOutput::ToRank(to, message) if to == self.place.number => {
                pending.push_back(MachineInput::Rank(RankInput::Lead(message)));
            }
            LeadOutput::ToRank(to, message) => machines.send(to, GroupBody::Lead(message)),
            LeadOutput::Arm(timer) => self.start_timer(machines, MachineTimer::Lead(timer)),
            LeadOutput::Committed(version) => {
                let detail = format!("map {version} by every rank's promise");
                self.journal
                    .record(Event::MapCommitted, &self.place.group, detail);
            }
            LeadOutput::Rejected(why) => {
                self.journal
                    .record(Event::MapAborted, &self.place.group, why);
            }
            LeadOutput::Outranked(_) => machines.lead = None,
        }
    }

    /// Starts a timer, which replaces an earlier start of the same timer.
    fn start_timer(self: &Arc<Self>, machines: &mut Machines, timer: MachineTimer) {
        machines.last_timer += 1;
        let id = machines.last_timer;
        machines.timers.insert(timer, id);
        let driver = Arc::clone(self);
        let wait = self.timer_delay(timer);
        spawn(async move {
            smol::Timer::after(wait.as_duration()).await;
            driver.finish_timer(timer, id);
        })
        .detach();
    }

    /// Passes a timer that has run out to its state machine, unless it was started again.
    fn finish_timer(self: &Arc<Self>, timer: MachineTimer, id: u64) {
        let current = {
            let mut guard = self.machines.lock();
            let timers = guard.as_mut().map(|m| &mut m.timers);
            let Some(timers) = timers else { return };
            let current = timers.get(&timer) == Some(&id);
            if current {
                timers.remove(&timer);
            }
            current
        };
        if current {
            self.handle_input(match timer {
                MachineTimer::Rank(timer) => MachineInput::Rank(RankInput::Fired(timer)),
                MachineTimer::Lead(timer) => MachineInput::Lead(LeadInput::Fired(timer)),
            });
        }
    }

    /// Returns how long a timer runs.
    fn timer_delay(&self, timer: MachineTimer) -> Span {
        match timer {
            MachineTimer::Rank(Timer::VerdictTimeout) => {
                self.margin.verdict_timeout(self.place.number)
            }
            MachineTimer::Lead(LeadTimer::Resend) => self.margin.delay.times(3),
            MachineTimer::Lead(LeadTimer::LoadTimeout(_)) => LOAD_TIMEOUT,
            MachineTimer::Lead(LeadTimer::PromiseTimeout(_)) => self.margin.promise_timeout(),
        }
    }

    /// Has the engine load the weights of a map.
    fn load_weights(self: &Arc<Self>, version: MapVersion, map: SharedMap) {
        let driver = Arc::clone(self);
        spawn(async move {
            let request = (version, map);
            let loaded = driver
                .engine
                .call::<_, MapVersion>(path::ENGINE_WEIGHTS, &request, LOAD_TIMEOUT)
                .await;
            driver.handle_input(MachineInput::Rank(match loaded {
                Ok(_) => RankInput::Loaded(version),
                Err(_) => RankInput::LoadFailed(version),
            }));
        })
        .detach();
    }

    /// Polls the engine's status until the driver is stopped.
    async fn poll_engine(self: Arc<Self>) {
        while !self.stopped.load(Ordering::SeqCst) {
            let status = self
                .engine
                .call::<_, EngineStatus>(path::ENGINE_STATUS, &(), SEND_TIMEOUT)
                .await;
            match status {
                Ok(status) => self.observe_engine(status),
                Err(_) => self.engine.retire(),
            }
            smol::Timer::after(POLL_INTERVAL.as_duration()).await;
        }
    }

    /// Passes the engine's status to the rank's state machine.
    ///
    /// Failure guarded against: the engine dies and restarts between two polls, and its permits and
    /// its place are gone. This is recognized by an incarnation or a step that goes back.
    fn observe_engine(self: &Arc<Self>, status: EngineStatus) {
        let lost = {
            let mut guard = self.machines.lock();
            let Some(machines) = guard.as_mut() else {
                return;
            };
            let place = (status.incarnation, status.step);
            let before = machines.last_status.replace(status.clone());
            before.is_some_and(|b| place < (b.incarnation, b.step))
        };
        if lost {
            self.handle_input(MachineInput::Rank(RankInput::EngineLost));
        }
        self.handle_input(MachineInput::Rank(RankInput::Engine(status)));
    }

    /// Sends permits to the engine until the driver is stopped.
    async fn forward_permits(self: Arc<Self>) {
        while let Ok(permit) = self.permits.1.recv().await {
            // A lost permit is issued again once the engine's status shows that it is missing.
            let _ = self
                .engine
                .call::<_, EngineStatus>(path::ENGINE_PERMIT, &permit, SEND_TIMEOUT)
                .await;
        }
    }
}

impl Machines {
    /// Queues a message for a rank; a full queue drops it, as the network might.
    fn send(&self, to: u32, body: GroupBody) {
        if let Some(peer) = self.peers.get(to as usize) {
            let _ = peer.try_send(body);
        }
    }
}

/// Serves a rank's driver to the other agents of its group; other paths go on to the next handler.
#[derive(Debug)]
pub struct RankHandler {
    driver: Arc<RankDriver>,
}

impl RankHandler {
    /// Creates the handler of this driver.
    pub fn new(driver: Arc<RankDriver>) -> Self {
        Self { driver }
    }
}

#[async_trait]
impl Handler for RankHandler {
    async fn run(&self, mut conn: Conn) -> Conn {
        if conn.path() != path::GROUP {
            return conn;
        }
        match read_message::<GroupMessage>(&mut conn).await {
            Some(message) => {
                self.driver.handle_message(message);
                reply(conn, &Ack)
            }
            None => reply_malformed(conn),
        }
    }
}
