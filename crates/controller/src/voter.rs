//! Runs the node of the replicated log with its clock, disk, links and waiting callers.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use async_channel::{bounded, Receiver, Sender};
use event_listener::Event as Signal;
use parking_lot::Mutex;

use snipemast_control::documents::{Documents, Submission};
use snipemast_control::log_end::LogEnd;
use snipemast_control::roster::Roster;
use snipemast_control::{
    ClusterId, DiskStorage, Envelope, Input, Location, Node, NodeEvent, NodeParams, Output,
    Refusal, Ticket, Timing, VoterId, Voters, Write,
};
use snipemast_core::departures::Departure;
use snipemast_core::prelude::*;
use snipemast_core::recent::Recent;
use snipemast_net::exec::{pause, spawn, within};
use snipemast_net::BootClock;

use crate::disk::{self, Report, Writes};
use crate::links::Links;

/// How long a submission may wait for its verdict: below the time after which an operator tries
/// another controller.
pub(crate) const VERDICT_TIMEOUT: Span = Span::from_millis(900);

/// The longest sleep of the clock task.
const MAX_SLEEP: Span = Span::from_millis(1_000);

/// The interval at which a leader checks whether a membership change is due.
const MEMBER_CHECK_INTERVAL: Span = Span::from_millis(200);

/// How long a request to join stays valid: long enough for a few repeats.
const JOIN_LIFETIME: Span = Span::from_millis(1_500);

/// The most addresses of voters without a known location that are kept: only a learner needs one, of
/// the leader that calls it.
const MAX_REPLY_ADDRESSES: usize = 16;

/// Timeouts for the platform's links: a lost leader is replaced within some 1.5 s, and a lost
/// packet, which is resent after some 200 ms, does not depose a leader. Snapshots are frequent
/// because entries hold whole documents and the disk is small: 32 documents of 1 MB fit into a
/// quarter of it.
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

/// The voter of this host, while one is running.
#[derive(Debug)]
pub(crate) struct Voter {
    clock: BootClock,
    journal: Journal,
    location: Location,
    /// The number of voters that the cluster should have.
    target_size: usize,
    links: Links,
    pub(crate) running: Mutex<Option<Running>>,
    /// Wakes the clock task when the next tick is due earlier than before.
    wake: Signal,
    /// Notifies tasks that wait for a change of the configuration or of the leader.
    changed: Signal,
}

/// A running node and its callers.
#[derive(Debug)]
pub(crate) struct Running {
    pub(crate) node: Node<Documents>,
    writes: Writes,
    tickets: HashMap<Ticket, Sender<Result<Vec<u8>, Refusal>>>,
    last_ticket: Ticket,
    joining: BTreeMap<VoterId, (Location, Moment)>,
    pub(crate) log_end: LogEnd,
    /// The addresses at which other voters receive answers, by the ids that messages name.
    reply_addresses: Recent<VoterId, SocketAddr>,
    next_tick: Moment,
}

/// An open data folder and the parameters of the node on it.
pub(crate) struct Folder {
    pub(crate) storage: DiskStorage,
    pub(crate) params: NodeParams,
}

impl Voter {
    pub(crate) fn new(
        clock: BootClock,
        journal: Journal,
        location: Location,
        target_size: usize,
    ) -> Arc<Self> {
        Arc::new(Self {
            clock,
            journal,
            links: Links::new(location.address),
            location,
            target_size,
            running: Mutex::new(None),
            wake: Signal::new(),
            changed: Signal::new(),
        })
    }

    /// Returns the location of this voter.
    pub(crate) fn location(&self) -> &Location {
        &self.location
    }

    /// Runs a node on a folder until a write fails; returns the reason.
    pub(crate) async fn run(self: &Arc<Self>, folder: Folder) -> String {
        let (sender, reports) = async_channel::unbounded();
        let writes = match disk::start(folder.storage, sender) {
            Ok(writes) => writes,
            Err(e) => return e.to_string(),
        };
        let now = self.clock.now();
        let node = match Node::new(folder.params, Documents::new(), now) {
            Ok(node) => node,
            Err(e) => return e.to_string(),
        };
        *self.running.lock() = Some(Running {
            node,
            writes,
            tickets: HashMap::new(),
            last_ticket: Ticket(0),
            joining: BTreeMap::new(),
            log_end: LogEnd::default(),
            reply_addresses: Recent::new(MAX_REPLY_ADDRESSES),
            next_tick: now,
        });
        let tasks = [
            spawn(Arc::clone(self).run_clock()),
            spawn(Arc::clone(self).manage_members()),
        ];
        let reason = self.process_reports(&reports).await;
        drop(tasks);
        // Callers that wait for a verdict learn that there is none.
        self.stop();
        reason
    }

    /// Stops the node and releases its folder.
    pub(crate) fn stop(&self) {
        *self.running.lock() = None;
        self.changed.notify(usize::MAX);
    }

    /// Passes the reports of the disk thread to the node; returns the reason of a failure.
    async fn process_reports(&self, reports: &Receiver<Report>) -> String {
        loop {
            match reports.recv().await {
                Ok(Report::Synced(write)) => self.handle_input(Input::Synced { write }),
                Ok(Report::Failed(reason)) => return reason,
                Err(_) => return "the disk thread ended".into(),
            }
        }
    }

    /// Gives the node a tick whenever one is due.
    async fn run_clock(self: Arc<Self>) {
        loop {
            let woken = self.wake.listen();
            let now = self.clock.now();
            let next_tick = self.running.lock().as_ref().map(|r| r.node.next_tick());
            let left = next_tick.map_or(MAX_SLEEP, |w| now.until(w).min(MAX_SLEEP));
            if left == Span::default() {
                self.handle_input(Input::Tick);
                continue;
            }
            futures_lite::future::or(woken, pause(left)).await;
        }
    }

    /// Passes an input to the node and carries out its outputs.
    pub(crate) fn handle_input(&self, input: Input) {
        let mut guard = self.running.lock();
        let Some(running) = guard.as_mut() else {
            return;
        };
        let before = (running.node.applied_index(), running.node.leader());
        let outputs = running.node.handle(self.clock.now(), input);
        for output in outputs {
            self.carry_out(running, output);
        }
        let (term, applied) = (running.node.term(), running.node.applied_index());
        running.log_end.forget_applied(term, applied);
        let next_tick = running.node.next_tick();
        if next_tick < running.next_tick {
            self.wake.notify(1);
        }
        running.next_tick = next_tick;
        if before != (running.node.applied_index(), running.node.leader()) {
            self.changed.notify(usize::MAX);
        }
    }

    fn carry_out(&self, running: &mut Running, output: Output) {
        match output {
            Output::Write { number, write } => self.send_write(running, number, write),
            Output::Send(envelope) => {
                // A learner does not know the leader's location yet, so it answers to the address
                // from which it was called.
                let location = running.node.voters().location(envelope.to);
                let reply_address = running.reply_addresses.get(&envelope.to).copied();
                if let Some(address) = location.map(|s| s.address).or(reply_address) {
                    self.links.send(address, envelope);
                }
            }
            Output::Answer { ticket, answer } => {
                if let Some(sender) = running.tickets.remove(&ticket) {
                    // The caller may have stopped waiting.
                    let _ = sender.try_send(answer);
                }
            }
            Output::Event(event) => self.record(&event),
        }
    }

    fn send_write(&self, running: &Running, number: u64, write: Write) {
        if running.writes.send((number, write)).is_err() {
            // The disk thread reports the reason, which ends this run.
            self.journal.record(
                Event::StorageRefused,
                "disk",
                "the disk thread accepts no writes",
            );
        }
    }

    /// Receives messages from other voters.
    pub(crate) fn receive(&self, from: SocketAddr, envelopes: Vec<Envelope>) {
        for envelope in envelopes {
            if let Some(running) = self.running.lock().as_mut() {
                running.reply_addresses.insert(envelope.from, from);
            }
            self.handle_input(Input::Receive(envelope));
        }
    }

    /// Passes an input with a new ticket to the node; returns the receiver of its answer.
    pub(crate) fn submit_input(
        &self,
        input: impl FnOnce(Ticket) -> Input,
    ) -> Option<Receiver<Answer>> {
        let (sender, receiver) = bounded(1);
        let ticket = {
            let mut guard = self.running.lock();
            let running = guard.as_mut()?;
            running.last_ticket = running.last_ticket.next();
            running.tickets.insert(running.last_ticket, sender);
            running.last_ticket
        };
        self.handle_input(input(ticket));
        Some(receiver)
    }

    /// Returns the newest configuration, if this voter can be sure that it has it.
    ///
    /// Only a leader within its lease can be sure: by a clock that also counts suspended time, no
    /// other leader can have been elected. A leader that was cut off or suspended would otherwise
    /// show a configuration that others have replaced meanwhile.
    pub(crate) fn read(&self) -> Option<Submission> {
        let guard = self.running.lock();
        let node = &guard.as_ref()?.node;
        if !node.has_lease(self.clock.now()) {
            return None;
        }
        node.machine().submission()
    }

    /// Returns the term in which this voter leads, if no other voter can lead now.
    pub(crate) fn leading_term(&self) -> Option<Term> {
        let guard = self.running.lock();
        let node = &guard.as_ref()?.node;
        node.has_lease(self.clock.now()).then(|| node.term())
    }

    /// Returns the committed version that this voter knows, or 0 if it knows none.
    pub(crate) fn version(&self) -> Version {
        let guard = self.running.lock();
        let version = guard.as_ref().map(|r| r.node.machine().version());
        version.unwrap_or(Version(0))
    }

    /// Returns the committed evacuations that this voter knows.
    pub(crate) fn evacuations(&self) -> Evacuations {
        let guard = self.running.lock();
        let machine = guard.as_ref().map(|r| r.node.machine());
        machine.map_or_else(Evacuations::default, |m| m.evacuations().clone())
    }

    /// Returns the servers whose committed departures are after the first `count`, and the count of all.
    pub(crate) fn departures(&self, count: u64) -> (Vec<Departure>, u64) {
        let guard = self.running.lock();
        let Some(running) = guard.as_ref() else {
            return (Vec::new(), count);
        };
        let departures = running.node.machine().departures();
        (
            departures.after(count).cloned().collect(),
            departures.count(),
        )
    }

    /// Returns the revision of the committed evacuations that this voter knows.
    pub(crate) fn evacuation_revision(&self) -> u64 {
        let guard = self.running.lock();
        let machine = guard.as_ref().map(|r| r.node.machine());
        machine.map_or(0, |m| m.evacuations().revision)
    }

    /// Returns the leader's address, and whether this host is the leader.
    pub(crate) fn leader(&self) -> Option<(SocketAddr, bool)> {
        let guard = self.running.lock();
        let node = &guard.as_ref()?.node;
        let leader = node.leader()?;
        let location = node.voters().location(leader)?;
        Some((location.address, leader == node.id()))
    }

    /// Returns the addresses of the voters and learners.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        let guard = self.running.lock();
        let Some(running) = guard.as_ref() else {
            return Vec::new();
        };
        let voters = running.node.voters();
        let seats = voters.voters.values().chain(voters.learners.values());
        seats.map(|s| s.address).collect()
    }

    /// Whether this host must ask to join, because it has no vote or hears no leader.
    pub(crate) fn must_join(&self) -> bool {
        let guard = self.running.lock();
        let Some(running) = guard.as_ref() else {
            return false;
        };
        let node = &running.node;
        !node.voters().is_voter(node.id()) || node.leader().is_none()
    }

    /// Returns whether this host is a voter, and the number of voters, as far as it knows.
    pub(crate) fn vote_counts(&self) -> (bool, usize) {
        let guard = self.running.lock();
        let Some(running) = guard.as_ref() else {
            return (false, 0);
        };
        let (node, voters) = (&running.node, running.node.voters());
        (voters.is_voter(node.id()), voters.voters.len())
    }

    /// Handles a request to join; returns the leader's address if this voter is not the leader.
    pub(crate) fn join(&self, voter: VoterId, location: Location) -> Option<SocketAddr> {
        let mut guard = self.running.lock();
        let running = guard.as_mut()?;
        if running.node.is_leader() {
            let until = self.clock.now() + JOIN_LIFETIME;
            running.joining.insert(voter, (location, until));
            return None;
        }
        let leader = running.node.leader()?;
        Some(running.node.voters().location(leader)?.address)
    }

    /// Makes membership changes while this voter is the leader, one after another.
    async fn manage_members(self: Arc<Self>) {
        loop {
            pause(MEMBER_CHECK_INTERVAL).await;
            let Some(change) = self.next_change() else {
                continue;
            };
            self.journal
                .record(Event::VoterChanged, &change, "requested by the leader");
            let answer = self.submit_input(|ticket| Input::Change { ticket, change });
            if let Some(answer) = answer {
                within(VERDICT_TIMEOUT, answer.recv()).await;
            }
        }
    }

    fn next_change(&self) -> Option<snipemast_control::VoterChange> {
        let now = self.clock.now();
        let mut guard = self.running.lock();
        let running = guard.as_mut()?;
        running.joining.retain(|_, (_, until)| now < *until);
        let node = &running.node;
        if !node.is_ready_leader() {
            return None;
        }
        let joining = running.joining.iter();
        let joining = joining.map(|(id, (location, _))| (*id, location.clone()));
        let roster = Roster {
            leader: node.id(),
            target_size: self.target_size,
            voters: node.voters(),
            health: &node.health(now),
            joining: &joining.collect(),
        };
        roster.next_change()
    }

    /// Returns a listener for the next change of the configuration or of the leader.
    pub(crate) fn listen(&self) -> event_listener::EventListener {
        self.changed.listen()
    }

    fn record(&self, event: &NodeEvent) {
        let journal = &self.journal;
        let host = &self.location.host;
        match event {
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
                let detail = format_args!("alone from index {index} on, a majority was lost");
                journal.record(Event::VoterChanged, host, detail);
            }
            NodeEvent::Regressed(peer) => journal.record(
                Event::StorageRefused,
                peer,
                "the voter lost entries that it had acknowledged",
            ),
            NodeEvent::Outdated(peer) => journal.record(
                Event::IdentityClash,
                peer,
                "an older start of the voter's process sends messages",
            ),
            NodeEvent::Contradicted(index) => {
                let detail = format_args!("index {index} is committed with another entry");
                journal.record(Event::StorageRefused, host, detail);
            }
            NodeEvent::SnapshotUnreadable(index) => journal.record(
                Event::StorageRefused,
                host,
                format_args!("snapshot {index} cannot be restored"),
            ),
        }
    }
}

/// The answer to a command or membership change.
pub(crate) type Answer = Result<Vec<u8>, Refusal>;

/// Returns the parameters of the node on a data folder.
pub(crate) fn node_params(
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
