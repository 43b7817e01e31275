//! Runs the replicated log's node: time, disk, links and waiting callers around it.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use async_channel::{bounded, Receiver, Sender};
use event_listener::Event as Signal;
use parking_lot::Mutex;

use snipemast_control::documents::{Documents, Submission, Verdict};
use snipemast_control::roster::Roster;
use snipemast_control::{
    ClusterId, DiskStorage, Envelope, Input, Location, Node, NodeEvent, NodeParams, Output,
    Refusal, Ticket, Timing, VoterId, Voters, Write,
};
use snipemast_core::prelude::*;
use snipemast_net::exec::{pause, spawn, within};
use snipemast_net::BootClock;

use crate::disk::{self, Report, Writes};
use crate::links::Links;

/// How long a submission may wait for its verdict: below the time after which its operator asks
/// another controller.
const VERDICT: Span = Span::from_millis(900);

/// The longest sleep of the clock's task.
const SLEEP: Span = Span::from_millis(1_000);

/// How often a leader looks after the voters.
const LOOK: Span = Span::from_millis(200);

/// How long a request to join counts: a few repeats of it.
const JOINING: Span = Span::from_millis(1_500);

/// Timeouts on the platform's links: a leader that is gone is replaced within some 1.5 s, and a
/// lost packet (resent after some 200 ms) costs no office. Snapshots are frequent because
/// entries hold whole documents and the disk is small: 32 documents of 1 MB fit into a quarter of it.
const TIMING: Timing = Timing {
    heartbeat: Span::from_millis(200),
    election_timeout: Span::from_millis(1_000),
    election_jitter: Span::from_millis(500),
    lease: Span::from_millis(850),
    snapshot_entries: 32,
    retained_entries: 8,
    chunk_size: Size::from_bytes(256 << 10),
    max_waiting: 64,
};

/// The voter of this host, while it has one.
#[derive(Debug)]
pub(crate) struct Voter {
    clock: BootClock,
    journal: Journal,
    location: Location,
    /// How many voters the cluster is to have.
    target: usize,
    links: Links,
    running: Mutex<Option<Running>>,
    /// Wakes the clock's task, because the node wants to be woken earlier.
    alarm: Signal,
    /// Wakes who waits for a change of the configuration or of the leader.
    changed: Signal,
}

/// A node with its disk.
#[derive(Debug)]
struct Running {
    node: Node<Documents>,
    writes: Writes,
    tickets: HashMap<Ticket, Sender<Result<Vec<u8>, Refusal>>>,
    next: Ticket,
    joining: BTreeMap<VoterId, (Location, Moment)>,
    /// Where others said that they take answers.
    callers: BTreeMap<VoterId, SocketAddr>,
    wake: Moment,
}

/// A voter's data folder and what it holds.
pub(crate) struct Folder {
    pub(crate) storage: DiskStorage,
    pub(crate) boot: NodeParams,
}

impl Voter {
    pub(crate) fn new(
        clock: BootClock,
        journal: Journal,
        location: Location,
        target: usize,
    ) -> Arc<Self> {
        Arc::new(Self {
            clock,
            journal,
            links: Links::new(location.address),
            location,
            target,
            running: Mutex::new(None),
            alarm: Signal::new(),
            changed: Signal::new(),
        })
    }

    /// Where this voter is.
    pub(crate) fn location(&self) -> &Location {
        &self.location
    }

    /// Runs a node on a folder until a write fails; why it did.
    pub(crate) async fn run(self: &Arc<Self>, folder: Folder) -> String {
        let (sender, reports) = async_channel::unbounded();
        let writes = match disk::start(folder.storage, sender) {
            Ok(writes) => writes,
            Err(e) => return e.to_string(),
        };
        let now = self.clock.now();
        let node = match Node::new(folder.boot, Documents::new(), now) {
            Ok(node) => node,
            Err(e) => return e.to_string(),
        };
        *self.running.lock() = Some(Running {
            node,
            writes,
            tickets: HashMap::new(),
            next: Ticket(0),
            joining: BTreeMap::new(),
            callers: BTreeMap::new(),
            wake: now,
        });
        let tasks = [
            spawn(Arc::clone(self).keep_time()),
            spawn(Arc::clone(self).look_after()),
        ];
        let reason = self.take_reports(&reports).await;
        drop(tasks);
        // Whoever waits for a verdict learns that there is none.
        self.stop();
        reason
    }

    /// Ends the node and lets its folder go.
    pub(crate) fn stop(&self) {
        *self.running.lock() = None;
        self.changed.notify(usize::MAX);
    }

    async fn take_reports(&self, reports: &Receiver<Report>) -> String {
        loop {
            match reports.recv().await {
                Ok(Report::Synced(write)) => self.drive(Input::Synced { write }),
                Ok(Report::Failed(reason)) => return reason,
                Err(_) => return "the disk's thread ended".into(),
            }
        }
    }

    async fn keep_time(self: Arc<Self>) {
        loop {
            let alarm = self.alarm.listen();
            let now = self.clock.now();
            let wake = self.running.lock().as_ref().map(|r| r.node.next_tick());
            let left = wake.map_or(SLEEP, |w| now.until(w).min(SLEEP));
            if left == Span::default() {
                self.drive(Input::Tick);
                continue;
            }
            futures_lite::future::or(alarm, pause(left)).await;
        }
    }

    /// Gives the node an input and does what it asks for.
    pub(crate) fn drive(&self, input: Input) {
        let mut guard = self.running.lock();
        let Some(running) = guard.as_mut() else {
            return;
        };
        let before = (running.node.applied_index(), running.node.leader());
        let outputs = running.node.handle(self.clock.now(), input);
        for output in outputs {
            self.perform(running, output);
        }
        let wake = running.node.next_tick();
        if wake < running.wake {
            self.alarm.notify(1);
        }
        running.wake = wake;
        if before != (running.node.applied_index(), running.node.leader()) {
            self.changed.notify(usize::MAX);
        }
    }

    fn perform(&self, running: &mut Running, output: Output) {
        match output {
            Output::Write { number, write } => self.write(running, number, write),
            Output::Send(envelope) => {
                // A voter that only learns finds the leader by where it was called from.
                let location = running.node.voters().location(envelope.to);
                let caller = running.callers.get(&envelope.to).copied();
                if let Some(address) = location.map(|s| s.address).or(caller) {
                    self.links.send(address, envelope);
                }
            }
            Output::Answer { ticket, answer } => {
                if let Some(sender) = running.tickets.remove(&ticket) {
                    // Whoever asked may have stopped waiting.
                    let _ = sender.try_send(answer);
                }
            }
            Output::Event(note) => self.record(&note),
        }
    }

    fn write(&self, running: &Running, number: u64, write: Write) {
        if running.writes.send((number, write)).is_err() {
            // The thread said why in its report, which ends this run.
            self.journal
                .record(Event::StorageRefused, "disk", "no writes are taken");
        }
    }

    /// Takes messages from other voters.
    pub(crate) fn receive(&self, from: SocketAddr, envelopes: Vec<Envelope>) {
        for envelope in envelopes {
            if let Some(running) = self.running.lock().as_mut() {
                running.callers.insert(envelope.from, from);
            }
            self.drive(Input::Receive(envelope));
        }
    }

    /// Submits a configuration, if this voter leads; the verdict, if there is one.
    pub(crate) async fn submit(&self, submission: &Submission) -> Option<Verdict> {
        if let Some(verdict) = self.settled(submission) {
            return Some(verdict);
        }
        let command = snipemast_net::rpc::encode(submission).to_vec();
        let answer = self.ask(|ticket| Input::Propose { ticket, command });
        let answer = within(VERDICT, async { answer?.recv().await.ok() }).await;
        let verdict = answer.flatten()?.ok()?;
        snipemast_net::rpc::decode(&verdict).ok()
    }

    /// The verdict on what is overtaken already, which needs no place in the log.
    fn settled(&self, submission: &Submission) -> Option<Verdict> {
        let guard = self.running.lock();
        let node = &guard.as_ref()?.node;
        node.machine().settled(submission)
    }

    /// Gives the node an input that has an answer.
    fn ask(&self, input: impl FnOnce(Ticket) -> Input) -> Option<Receiver<Answer>> {
        let (sender, receiver) = bounded(1);
        let ticket = {
            let mut guard = self.running.lock();
            let running = guard.as_mut()?;
            running.next = running.next.next();
            running.tickets.insert(running.next, sender);
            running.next
        };
        self.drive(input(ticket));
        Some(receiver)
    }

    /// The newest configuration, if this voter can be sure that it has it.
    ///
    /// Failure guarded against: a leader that was cut off or suspended shows what others have
    /// replaced meanwhile. Within its lease, on a clock that counts suspended time, nobody else can
    /// have been elected.
    pub(crate) fn read(&self) -> Option<Submission> {
        let guard = self.running.lock();
        let node = &guard.as_ref()?.node;
        if !node.has_lease(self.clock.now()) {
            return None;
        }
        node.machine().submission()
    }

    /// The term in which this voter leads, where nobody else can lead now.
    pub(crate) fn leading_term(&self) -> Option<Term> {
        let guard = self.running.lock();
        let node = &guard.as_ref()?.node;
        node.has_lease(self.clock.now()).then(|| node.term())
    }

    /// The committed version that this voter knows; 0 where it knows none.
    pub(crate) fn version(&self) -> Version {
        let guard = self.running.lock();
        let version = guard.as_ref().map(|r| r.node.machine().version());
        version.unwrap_or(Version(0))
    }

    /// The committed document that this voter knows.
    pub(crate) fn document(&self) -> Option<Submission> {
        let guard = self.running.lock();
        guard.as_ref()?.node.machine().submission()
    }

    /// Where the leader takes calls, and whether that is this host.
    pub(crate) fn leader(&self) -> Option<(SocketAddr, bool)> {
        let guard = self.running.lock();
        let node = &guard.as_ref()?.node;
        let leader = node.leader()?;
        let location = node.voters().location(leader)?;
        Some((location.address, leader == node.id()))
    }

    /// Where the voters and learners are.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        let guard = self.running.lock();
        let Some(running) = guard.as_ref() else {
            return Vec::new();
        };
        let voters = running.node.voters();
        let seats = voters.voters.values().chain(voters.learners.values());
        seats.map(|s| s.address).collect()
    }

    /// Whether this host must still ask to join: it has no vote, or hears no leader.
    pub(crate) fn is_outside(&self) -> bool {
        let guard = self.running.lock();
        let Some(running) = guard.as_ref() else {
            return false;
        };
        let node = &running.node;
        !node.voters().is_voter(node.id()) || node.leader().is_none()
    }

    /// Whether this host's vote counts, and how many voters there are, as far as it knows.
    pub(crate) fn votes(&self) -> (bool, usize) {
        let guard = self.running.lock();
        let Some(running) = guard.as_ref() else {
            return (false, 0);
        };
        let (node, voters) = (&running.node, running.node.voters());
        (voters.is_voter(node.id()), voters.voters.len())
    }

    /// Takes a request to join; where the leader is, if that is elsewhere.
    pub(crate) fn join(&self, voter: VoterId, location: Location) -> Option<SocketAddr> {
        let mut guard = self.running.lock();
        let running = guard.as_mut()?;
        if running.node.is_leader() {
            let until = self.clock.now() + JOINING;
            running.joining.insert(voter, (location, until));
            return None;
        }
        let leader = running.node.leader()?;
        Some(running.node.voters().location(leader)?.address)
    }

    /// Looks after the voters while it leads, one change after another.
    async fn look_after(self: Arc<Self>) {
        loop {
            pause(LOOK).await;
            let Some(change) = self.next_change() else {
                continue;
            };
            self.journal
                .record(Event::VoterChanged, &change, "the leader asks for it");
            let answer = self.ask(|ticket| Input::Change { ticket, change });
            if let Some(answer) = answer {
                within(VERDICT, answer.recv()).await;
            }
        }
    }

    fn next_change(&self) -> Option<snipemast_control::VoterChange> {
        let now = self.clock.now();
        let mut guard = self.running.lock();
        let running = guard.as_mut()?;
        running.joining.retain(|_, (_, until)| now < *until);
        let node = &running.node;
        if !node.is_settled() {
            return None;
        }
        let joining = running.joining.iter();
        let joining = joining.map(|(id, (location, _))| (*id, location.clone()));
        let roster = Roster {
            own: node.id(),
            target: self.target,
            voters: node.voters(),
            health: &node.health(now),
            joining: &joining.collect(),
        };
        roster.next()
    }

    /// Waits for a change of the configuration or of the leader.
    pub(crate) fn changed(&self) -> event_listener::EventListener {
        self.changed.listen()
    }

    fn record(&self, note: &NodeEvent) {
        let journal = &self.journal;
        let host = &self.location.host;
        match note {
            NodeEvent::Elected(term) => {
                journal.record(Event::LeaderElected, host, format_args!("term {term}"))
            }
            NodeEvent::LeaderReady(fence) => {
                journal.record(Event::LeaderElected, host, format_args!("fence {fence}"))
            }
            NodeEvent::SteppedDown(term) => {
                journal.record(Event::LeaderEnded, host, format_args!("term {term}"))
            }
            NodeEvent::VotersChanged(voters) => {
                let (v, l) = (voters.voters.len(), voters.learners.len());
                let detail = format_args!("{v} voters, {l} learners");
                journal.record(Event::VoterChanged, host, detail);
            }
            NodeEvent::SnapshotSaved(index) => journal.record(Event::SnapshotWritten, host, index),
            NodeEvent::MajorityReplaced(index) => {
                let detail = format_args!("alone from {index} on, a majority was lost");
                journal.record(Event::VoterChanged, host, detail);
            }
            NodeEvent::Regressed(peer) => {
                journal.record(Event::StorageRefused, peer, "it lost what it acknowledged")
            }
            NodeEvent::Outdated(peer) => {
                journal.record(Event::IdentityClash, peer, "an older start speaks")
            }
            NodeEvent::Contradicted(index) => {
                let detail = format_args!("{index} is committed otherwise");
                journal.record(Event::StorageRefused, host, detail);
            }
            NodeEvent::SnapshotUnreadable(index) => journal.record(
                Event::StorageRefused,
                host,
                format_args!("snapshot {index}"),
            ),
        }
    }
}

/// The answer to a command or change.
type Answer = Result<Vec<u8>, Refusal>;

/// What a node on a folder is started with.
pub(crate) fn boot(
    id: VoterId,
    start: u64,
    cluster: ClusterId,
    first_voters: Voters,
    stored: snipemast_control::StoredState,
) -> NodeParams {
    NodeParams {
        id,
        start,
        cluster,
        first_voters,
        stored,
        timing: TIMING,
        seed: id.get() ^ start,
    }
}
