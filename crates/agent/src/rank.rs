//! A rank's part in its group: the thin shell around the machines of agreement.
//!
//! Messages may be lost, doubled and late: the machines resend what matters, so a full queue
//! drops and every send has a deadline.

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

/// How many messages wait for a slow peer before further ones are dropped.
const QUEUE: usize = 64;
/// How long a message to another agent may take.
const SEND: Span = Span::from_millis(500);
/// How often the engine is asked where it stands; a part of the shortest step.
const POLL: Span = Span::from_millis(2);
/// How long weights may take to load.
const LOAD: Span = Span::from_secs(60);

/// A timer of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Alarm {
    Rank(Timer),
    Lead(LeadTimer),
}

/// What a machine is told next.
#[derive(Debug)]
enum Work {
    Rank(RankInput),
    Lead(LeadInput),
}

/// The machines of one rank, and where its messages go.
#[derive(Debug)]
struct Machines {
    rank: RankAgent,
    lead: Option<Lead>,
    alarms: BTreeMap<Alarm, u64>,
    armed: u64,
    peers: Vec<Sender<GroupBody>>,
    shown: Option<EngineStatus>,
}

/// The shell around one rank's machines.
#[derive(Debug)]
pub struct RankShell {
    place: Rank,
    start: Incarnation,
    margin: Margin,
    journal: Journal,
    engine: Peer,
    permits: (Sender<Permit>, Receiver<Permit>),
    machines: Mutex<Option<Machines>>,
    ended: AtomicBool,
}

impl RankShell {
    /// The shell of a rank whose engine listens at this address; it waits for a roster.
    pub fn new(place: Rank, start: Incarnation, engine: SocketAddr, journal: Journal) -> Arc<Self> {
        let shell = Arc::new(Self {
            place,
            start,
            margin: Margin::default(),
            journal,
            engine: Peer::new(engine),
            permits: async_channel::bounded(QUEUE),
            machines: Mutex::new(None),
            ended: AtomicBool::new(false),
        });
        spawn(Arc::clone(&shell).follow_engine()).detach();
        spawn(Arc::clone(&shell).pass_permits()).detach();
        shell
    }

    /// The map that the rank committed last.
    pub fn committed_map(&self) -> Option<ActiveMap> {
        let machines = self.machines.lock();
        machines.as_ref().and_then(|m| m.rank.active_map().cloned())
    }

    /// Issues no permit and sends no message from now on.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        self.permits.0.close();
        *self.machines.lock() = None;
    }

    /// Takes a message of another agent, an entry or the control role.
    pub fn take(self: &Arc<Self>, message: GroupMessage) {
        let GroupMessage { group, from, body } = message;
        if group != self.place.group || self.ended.load(Ordering::SeqCst) {
            return;
        }
        match body {
            GroupBody::Lead(message) => self.drive(Work::Rank(RankInput::Lead(message))),
            GroupBody::Peer(message) => {
                self.drive(Work::Rank(RankInput::Peer { from, message }));
            }
            GroupBody::Rank(term, message) => {
                if self.leads(term) {
                    self.drive(Work::Lead(LeadInput::Rank {
                        from,
                        term,
                        message,
                    }));
                }
            }
            GroupBody::Propose(proposal) => {
                self.journal
                    .record(Event::MapProposed, &group, proposal.base);
                self.drive(Work::Lead(LeadInput::Propose(proposal)));
            }
            GroupBody::Appoint => self.drive(Work::Rank(RankInput::Appointed)),
            GroupBody::Fence(fence) => self.drive(Work::Rank(RankInput::FenceLearnt(fence))),
            GroupBody::Roster(addresses) => self.join(&addresses),
        }
    }

    /// Whether a lead of this process gathers answers for the term.
    fn leads(&self, term: LeadTerm) -> bool {
        term.rank == self.place.number && term.start == self.start
    }

    /// Learns where the other ranks' agents listen, and begins where that is news.
    fn join(self: &Arc<Self>, addresses: &[SocketAddr]) {
        let peers = addresses.iter().map(|a| self.sender(*a)).collect();
        let begins = {
            let mut machines = self.machines.lock();
            match machines.as_mut() {
                Some(machines) => {
                    machines.peers = peers;
                    false
                }
                None => {
                    *machines = Some(self.machines_for(peers));
                    true
                }
            }
        };
        if begins {
            self.drive(Work::Rank(RankInput::Begin));
        }
    }

    fn machines_for(&self, peers: Vec<Sender<GroupBody>>) -> Machines {
        let ranks = peers.len() as u32;
        Machines {
            rank: RankAgent::new(self.place.number, ranks, self.start, self.margin.window),
            lead: None,
            alarms: BTreeMap::new(),
            armed: 0,
            peers,
            shown: None,
        }
    }

    /// A queue to another agent, and the task that empties it.
    fn sender(&self, address: SocketAddr) -> Sender<GroupBody> {
        let (sender, receiver) = async_channel::bounded::<GroupBody>(QUEUE);
        let peer = Peer::new(address);
        let (group, from) = (self.place.group.clone(), self.place.number);
        spawn(async move {
            while let Ok(body) = receiver.recv().await {
                let group = group.clone();
                let message = GroupMessage { group, from, body };
                let sent = peer.call::<_, Ack>(path::GROUP, &message, SEND).await;
                // A connection that went silent is not used again; the machines resend.
                if sent.is_err() {
                    peer.retire();
                }
            }
        })
        .detach();
        sender
    }

    /// Tells a machine something, and everything that follows from it in this process.
    fn drive(self: &Arc<Self>, work: Work) {
        let mut guard = self.machines.lock();
        let Some(machines) = guard.as_mut() else {
            return;
        };
        let mut todo = VecDeque::from([work]);
        while let Some(work) = todo.pop_front() {
            match work {
                Work::Rank(input) => {
                    for output in machines.rank.handle(input) {
                        self.rank_wants(machines, output, &mut todo);
                    }
                }
                Work::Lead(input) => {
                    let outputs = machines.lead.as_mut().map(|l| l.handle(input));
                    for output in outputs.unwrap_or_default() {
                        self.lead_wants(machines, output, &mut todo);
                    }
                }
            }
        }
    }

    fn rank_wants(
        self: &Arc<Self>,
        machines: &mut Machines,
        output: RankOutput,
        todo: &mut VecDeque<Work>,
    ) {
        match output {
            RankOutput::ToLead(term, message) if self.leads(term) => {
                let from = self.place.number;
                todo.push_back(Work::Lead(LeadInput::Rank {
                    from,
                    term,
                    message,
                }));
            }
            RankOutput::ToLead(term, message) => {
                machines.send(term.rank, GroupBody::Rank(term, message));
            }
            RankOutput::ToRank(to, message) => machines.send(to, GroupBody::Peer(message)),
            // A permit that finds no room is issued again when the engine shows itself.
            RankOutput::Permit(permit) => drop(self.permits.0.try_send(permit)),
            RankOutput::LoadWeights(version, map) => self.load(version, map),
            RankOutput::DropWeights(_) | RankOutput::Evict(_) => {}
            RankOutput::Arm(timer) => self.arm(machines, Alarm::Rank(timer)),
            RankOutput::StartLead(term) => {
                let ranks = machines.peers.len() as u32;
                machines.lead = Some(Lead::new(term, ranks, self.margin));
                todo.push_back(Work::Lead(LeadInput::Begin));
            }
            RankOutput::Event(event, version) => {
                let detail = format!("map {version} at rank {}", self.place.number);
                self.journal.record(event, &self.place.group, detail);
            }
        }
    }

    fn lead_wants(
        self: &Arc<Self>,
        machines: &mut Machines,
        output: LeadOutput,
        todo: &mut VecDeque<Work>,
    ) {
        match output {
            LeadOutput::ToRank(to, message) if to == self.place.number => {
                todo.push_back(Work::Rank(RankInput::Lead(message)));
            }
            LeadOutput::ToRank(to, message) => machines.send(to, GroupBody::Lead(message)),
            LeadOutput::Arm(timer) => self.arm(machines, Alarm::Lead(timer)),
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

    fn arm(self: &Arc<Self>, machines: &mut Machines, alarm: Alarm) {
        machines.armed += 1;
        let id = machines.armed;
        machines.alarms.insert(alarm, id);
        let shell = Arc::clone(self);
        let wait = self.wait(alarm);
        spawn(async move {
            smol::Timer::after(wait.as_duration()).await;
            shell.fire(alarm, id);
        })
        .detach();
    }

    fn fire(self: &Arc<Self>, alarm: Alarm, id: u64) {
        let current = {
            let mut guard = self.machines.lock();
            let alarms = guard.as_mut().map(|m| &mut m.alarms);
            let Some(alarms) = alarms else { return };
            let current = alarms.get(&alarm) == Some(&id);
            if current {
                alarms.remove(&alarm);
            }
            current
        };
        if current {
            self.drive(match alarm {
                Alarm::Rank(timer) => Work::Rank(RankInput::Fired(timer)),
                Alarm::Lead(timer) => Work::Lead(LeadInput::Fired(timer)),
            });
        }
    }

    fn wait(&self, alarm: Alarm) -> Span {
        match alarm {
            Alarm::Rank(Timer::VerdictTimeout) => self.margin.verdict_timeout(self.place.number),
            Alarm::Lead(LeadTimer::Resend) => self.margin.delay.times(3),
            Alarm::Lead(LeadTimer::LoadTimeout(_)) => LOAD,
            Alarm::Lead(LeadTimer::PromiseTimeout(_)) => self.margin.promise_timeout(),
        }
    }

    fn load(self: &Arc<Self>, version: MapVersion, map: SharedMap) {
        let shell = Arc::clone(self);
        spawn(async move {
            let wish = (version, map);
            let loaded = shell
                .engine
                .call::<_, MapVersion>(path::ENGINE_WEIGHTS, &wish, LOAD)
                .await;
            shell.drive(Work::Rank(match loaded {
                Ok(_) => RankInput::Loaded(version),
                Err(_) => RankInput::LoadFailed(version),
            }));
        })
        .detach();
    }

    /// Asks the engine again and again where it stands.
    async fn follow_engine(self: Arc<Self>) {
        while !self.ended.load(Ordering::SeqCst) {
            let status = self
                .engine
                .call::<_, EngineStatus>(path::ENGINE_STATUS, &(), SEND)
                .await;
            match status {
                Ok(status) => self.show(status),
                Err(_) => self.engine.retire(),
            }
            smol::Timer::after(POLL.as_duration()).await;
        }
    }

    /// Shows the rank's machine its engine.
    ///
    /// Failure guarded against: the engine died and came up again between two questions, and its
    /// permits and place are gone. It shows as an incarnation or a step that runs back.
    fn show(self: &Arc<Self>, status: EngineStatus) {
        let lost = {
            let mut guard = self.machines.lock();
            let Some(machines) = guard.as_mut() else {
                return;
            };
            let place = (status.incarnation, status.step);
            let before = machines.shown.replace(status.clone());
            before.is_some_and(|b| place < (b.incarnation, b.step))
        };
        if lost {
            self.drive(Work::Rank(RankInput::EngineLost));
        }
        self.drive(Work::Rank(RankInput::Engine(status)));
    }

    async fn pass_permits(self: Arc<Self>) {
        while let Ok(permit) = self.permits.1.recv().await {
            // A lost permit is issued again when the engine shows that it lacks it.
            let _ = self
                .engine
                .call::<_, EngineStatus>(path::ENGINE_PERMIT, &permit, SEND)
                .await;
        }
    }
}

impl Machines {
    /// Queues a message; where the queue is full it is dropped, as the network might.
    fn send(&self, to: u32, body: GroupBody) {
        if let Some(peer) = self.peers.get(to as usize) {
            let _ = peer.try_send(body);
        }
    }
}

/// Serves a rank's shell to the other agents of its group.
#[derive(Debug)]
pub struct RankHandler {
    shell: Arc<RankShell>,
}

impl RankHandler {
    /// Serves this shell.
    pub fn new(shell: Arc<RankShell>) -> Self {
        Self { shell }
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
                self.shell.take(message);
                reply(conn, &Ack)
            }
            None => reply_malformed(conn),
        }
    }
}
