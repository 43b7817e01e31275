//! One voter of the replicated log, as a state machine without I/O.
//!
//! Time, randomness, identity, disk and network stay outside: [`Node::handle`] takes one [`Input`]
//! and returns the resulting [`Output`]s. A message that promises durability is sent only after the
//! disk has confirmed the writes with [`Input::Synced`].

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::sync::Arc;

use snipemast_core::data;
use snipemast_core::number_ids;
use snipemast_core::prelude::*;

use crate::apply::{self, StateMachine};
use crate::entry::{HardState, LogEntry, Payload, Snapshot, StoredState, Write};
use crate::log::Log;
use crate::message::{Envelope, Message};
use crate::role::{LeaderState, Role};
use crate::roster::Health;
use crate::timing::{SplitMix64, Timing};
use crate::voters::{ChangeError, ClusterId, VoterChange, VoterId, Voters};

number_ids! {
    /// A number that a caller gives to a command or change and that the answer carries.
    Ticket;
}

/// The parameters with which a voter is started.
#[derive(Debug, Clone)]
pub struct NodeParams {
    /// The voter's id, from its data folder.
    pub id: VoterId,
    /// The number of times that a process has started on the data folder, this one included.
    pub start: u64,
    /// The cluster that it belongs to.
    pub cluster: ClusterId,
    /// The voters that the cluster was formed with, or none if this voter joined as a learner.
    pub first_voters: Voters,
    /// The state that its disk holds.
    pub stored: StoredState,
    /// Timeouts and limits.
    pub timing: Timing,
    /// The seed of its random number generator.
    pub seed: u64,
}

/// An input to a voter.
#[derive(Debug, Clone)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A message has arrived.
    Receive(Envelope),
    /// A caller submits a command.
    Propose {
        /// The caller's ticket.
        ticket: Ticket,
        /// The command.
        command: Vec<u8>,
    },
    /// A caller submits a membership change.
    Change {
        /// The caller's ticket.
        ticket: Ticket,
        /// The change.
        change: VoterChange,
    },
    /// The disk has synced every write up to this number.
    Synced {
        /// The number of the last write.
        write: u64,
    },
}

/// An action that a voter requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Write to the disk, in this order, and sync.
    Write {
        /// The write's number.
        number: u64,
        /// The content of the write.
        write: Write,
    },
    /// Send a message; it may be lost.
    Send(Envelope),
    /// Answer a caller.
    Answer {
        /// The caller's ticket.
        ticket: Ticket,
        /// The verdict, or the reason why there is none.
        answer: Result<Vec<u8>, Refusal>,
    },
    /// Report an event.
    Event(NodeEvent),
}

data! {
    /// Why a command or change has no verdict.
    #[derive(Hash)]
    pub enum Refusal {
        /// This voter is not the leader; nothing was accepted.
        NotLeader {
            /// The leader, if it is known.
            leader: Option<VoterId>,
        },
        /// No majority can be reached; nothing was accepted.
        NoQuorum,
        /// Too many commands are waiting; nothing was accepted.
        Busy,
        /// The leader stepped down before the verdict was known; a resend under the same id gets
        /// it.
        Unknown,
        /// The membership change is not allowed.
        Change(ChangeError),
    }
}

/// An event that a voter reports for the log of events.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NodeEvent {
    /// This voter was elected.
    Elected(Term),
    /// The first entry of its term is committed, so it may issue this fencing number.
    LeaderReady(Fence),
    /// This voter stopped leading in this term.
    SteppedDown(Term),
    /// A membership change was committed.
    VotersChanged(Voters),
    /// A snapshot was taken or installed.
    SnapshotSaved(Index),
    /// An operator replaced a lost majority.
    MajorityReplaced(Index),
    /// A voter lost entries that it had acknowledged as synced; it is no longer counted.
    Regressed(VoterId),
    /// Two processes use the same voter id; messages of the one that started first are dropped.
    Outdated(VoterId),
    /// A leader sent an entry that contradicts a committed one; its message was dropped.
    Contradicted(Index),
    /// A snapshot that the state machine cannot restore was dropped.
    SnapshotUnreadable(Index),
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotLeader { leader: Some(id) } => write!(f, "{id} leads"),
            Self::NotLeader { leader: None } => f.write_str("no leader is known"),
            Self::NoQuorum => f.write_str("no majority of the voters is in reach"),
            Self::Busy => f.write_str("too many patches wait for their verdict"),
            Self::Unknown => f.write_str("the leader changed: send it again under the same id"),
            Self::Change(e) => write!(f, "{e}"),
        }
    }
}

impl std::error::Error for Refusal {}

/// A voter or learner of the replicated log.
#[derive(Debug, Clone, Hash)]
pub struct Node<M> {
    pub(crate) id: VoterId,
    pub(crate) start: u64,
    pub(crate) cluster: ClusterId,
    pub(crate) timing: Timing,
    pub(crate) rng: SplitMix64,
    pub(crate) now: Moment,
    pub(crate) hard: HardState,
    pub(crate) log: Log,
    pub(crate) machine: M,
    pub(crate) commit: Index,
    pub(crate) applied: Index,
    pub(crate) fence: Fence,
    pub(crate) role: Role,
    pub(crate) leader: Option<VoterId>,
    /// When a message from a leader last arrived, or when this process started.
    pub(crate) last_heard: Moment,
    /// When it starts an election unless it hears a leader.
    pub(crate) election_due: Moment,
    /// A snapshot that has arrived in part.
    pub(crate) incoming: Option<crate::install::IncomingSnapshot>,
    /// The highest start count seen from each peer.
    pub(crate) peer_starts: BTreeMap<VoterId, u64>,
    /// The number of the last write that was issued.
    last_write: u64,
    /// The number of the last write that is synced.
    last_synced: u64,
    /// The number of the last write that contained a term or vote.
    vote_write: u64,
    /// The last index that is synced.
    durable: Index,
    /// Unsynced writes of entries, each with the last index that it makes durable.
    unsynced: VecDeque<(u64, Index)>,
    /// Messages that wait until a write is synced.
    held_back: VecDeque<(u64, Envelope)>,
    outputs: Outbox,
}

/// The outputs of the current step. Empty between steps, so they are left out of the hash.
#[derive(Debug, Clone, Default)]
struct Outbox(Vec<Output>);

impl std::hash::Hash for Outbox {
    fn hash<H: std::hash::Hasher>(&self, _: &mut H) {}
}

impl<M: StateMachine> Node<M> {
    /// Starts a voter from the state that its disk holds.
    ///
    /// A start counts as having heard a leader, so no vote is granted for one election timeout.
    /// Otherwise a follower that granted a leader its lease could crash, restart and vote for
    /// another leader while the first one still holds its lease.
    pub fn new(params: NodeParams, mut machine: M, now: Moment) -> apply::Result<Self> {
        let hard = params.stored.hard;
        let log = Log::new(params.stored, params.first_voters);
        let mut fence = Fence(0);
        if let Some(snapshot) = log.snapshot() {
            machine.restore(&snapshot.state)?;
            fence = snapshot.fence;
        }
        let mut node = Self {
            id: params.id,
            start: params.start,
            cluster: params.cluster,
            timing: params.timing,
            rng: SplitMix64::new(params.seed),
            now,
            hard,
            commit: log.snapshot_index(),
            applied: log.snapshot_index(),
            durable: log.last_index(),
            log,
            machine,
            fence,
            role: Role::Follower,
            leader: None,
            last_heard: now,
            election_due: now,
            incoming: None,
            peer_starts: BTreeMap::new(),
            last_write: 0,
            last_synced: 0,
            vote_write: 0,
            unsynced: VecDeque::new(),
            held_back: VecDeque::new(),
            outputs: Outbox::default(),
        };
        if !node.is_only_voter() {
            node.reset_election_timer();
        }
        Ok(node)
    }

    /// Handles one input at a moment and returns the resulting outputs, in order.
    pub fn handle(&mut self, now: Moment, input: Input) -> Vec<Output> {
        self.now = self.now.max(now);
        self.check_timers();
        match input {
            Input::Tick => {}
            Input::Receive(envelope) => self.receive(envelope),
            Input::Propose { ticket, command } => self.propose(ticket, command),
            Input::Change { ticket, change } => self.change(ticket, change),
            Input::Synced { write } => self.on_synced(write),
        }
        self.apply_committed();
        self.take_snapshot();
        std::mem::take(&mut self.outputs.0)
    }

    /// Returns when the next [`Input::Tick`] is due.
    pub fn next_tick(&self) -> Moment {
        match &self.role {
            Role::Leader(state) => state.next_heartbeat,
            _ if self.log.voters().is_voter(self.id) => self.election_due,
            _ => Moment::NEVER,
        }
    }

    /// Returns its id.
    pub fn id(&self) -> VoterId {
        self.id
    }

    /// Returns its term.
    pub fn term(&self) -> Term {
        self.hard.term
    }

    /// Returns the leader, as far as it knows.
    pub fn leader(&self) -> Option<VoterId> {
        self.leader
    }

    /// Whether it is the leader.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Whether it is the leader and holds a lease, so that no other leader can have been elected
    /// yet and it may answer for the cluster without asking the others.
    pub fn has_lease(&self, now: Moment) -> bool {
        self.lease_end().is_some_and(|end| now < end)
    }

    /// Returns when its lease ends, if it is a ready leader.
    pub fn lease_end(&self) -> Option<Moment> {
        match &self.role {
            Role::Leader(state) if state.ready => {
                self.quorum_contact(state).map(|c| c + self.timing.lease)
            }
            _ => None,
        }
    }

    /// Returns the state machine.
    pub fn machine(&self) -> &M {
        &self.machine
    }

    /// Returns the log.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Returns the last index that it knows to be committed.
    pub fn commit_index(&self) -> Index {
        self.commit
    }

    /// Returns the last index that is applied to the state machine.
    pub fn applied_index(&self) -> Index {
        self.applied
    }

    /// Returns the highest fencing number in the committed log.
    pub fn fence(&self) -> Fence {
        self.fence
    }

    /// Returns the voters and learners in force.
    pub fn voters(&self) -> &Voters {
        self.log.voters()
    }

    /// Whether it is the leader and the first entry of its term is committed, so that it may change
    /// the voters.
    pub fn is_ready_leader(&self) -> bool {
        matches!(&self.role, Role::Leader(state) if state.ready)
    }

    /// Returns the health of the other voters and learners; empty unless it is the leader.
    pub fn health(&self, now: Moment) -> BTreeMap<VoterId, Health> {
        let Role::Leader(state) = &self.role else {
            return BTreeMap::new();
        };
        let peers = state.peers.iter();
        peers
            .map(|(id, p)| {
                let silence = now.since(p.last_acked.unwrap_or(p.tracked_since));
                let caught_up = p.matched >= self.commit && !p.regressed;
                (*id, Health { silence, caught_up })
            })
            .collect()
    }

    /// Returns the last index that is synced on its own disk.
    pub fn durable_index(&self) -> Index {
        self.durable
    }

    /// Returns the state that its disk holds once every write is synced.
    pub fn to_stored(&self) -> StoredState {
        self.log.to_stored(self.hard)
    }

    /// Handles timeouts; runs before each input.
    ///
    /// So a leader that was cut off or suspended for long steps down before it handles anything
    /// else, instead of continuing as if it still led.
    fn check_timers(&mut self) {
        if self.is_leader() {
            self.check_quorum();
        }
        if self.is_leader() {
            self.send_heartbeats();
        } else if self.now >= self.election_due && self.log.voters().is_voter(self.id) {
            self.start_pre_vote();
        }
    }

    /// Whether it is the only voter.
    pub(crate) fn is_only_voter(&self) -> bool {
        let voters = self.log.voters();
        voters.voters.len() == 1 && voters.is_voter(self.id)
    }

    /// Handles a message; drops it if it is for another cluster or recipient, or from an outdated
    /// process.
    fn receive(&mut self, envelope: Envelope) {
        let Envelope {
            cluster, from, to, ..
        } = envelope;
        if cluster != self.cluster || to != self.id || from == self.id {
            return;
        }
        if self.is_outdated(from, envelope.start) {
            self.emit(NodeEvent::Outdated(from));
            return;
        }
        if !self.adopt_term(&envelope) {
            return;
        }
        let Envelope { term, message, .. } = envelope;
        match message {
            Message::PreVote { next, last } => self.on_pre_vote(from, next, last),
            Message::PreVoted { next, granted } => self.on_pre_voted(from, next, granted),
            Message::Vote { last } => self.on_vote(from, term, last),
            Message::Voted { granted } => self.on_voted(from, term, granted),
            Message::Append {
                previous,
                entries,
                commit,
                sent,
            } => self.on_append(from, term, previous, entries, commit, sent),
            Message::Matched { index, sent } => self.on_matched(from, term, index, sent),
            Message::Mismatched { hint, last, sent } => {
                self.on_mismatched(from, term, hint, last, sent)
            }
            Message::Install {
                head,
                offset,
                bytes,
                sent,
            } => self.on_install(from, term, *head, offset, &bytes, sent),
            Message::Installed {
                index,
                received,
                sent,
            } => self.on_installed(from, term, index, received, sent),
        }
    }

    /// Whether the sender's start count is lower than one already seen from the same voter.
    ///
    /// That happens when a data folder was restored from an older copy; its process would act on
    /// state that lacks what it has promised since.
    fn is_outdated(&mut self, from: VoterId, start: u64) -> bool {
        let seen = self.peer_starts.entry(from).or_insert(start);
        let outdated = start < *seen;
        *seen = (*seen).max(start);
        outdated
    }

    /// Adopts a later term if the message proves one; returns false if the message must be dropped.
    fn adopt_term(&mut self, envelope: &Envelope) -> bool {
        if envelope.term <= self.hard.term {
            return true;
        }
        match envelope.message {
            Message::PreVote { .. } | Message::PreVoted { granted: true, .. } => true,
            Message::Vote { .. } if self.hears_leader() => false,
            _ => {
                self.follow(envelope.term, None);
                true
            }
        }
    }

    /// Issues a write to the disk.
    pub(crate) fn write(&mut self, write: Write) {
        self.last_write += 1;
        match &write {
            Write::Hard(_) => self.vote_write = self.last_write,
            Write::Append(entries) => {
                if let Some(first) = entries.first() {
                    self.mark_unsynced_from(first.index);
                }
                self.unsynced
                    .push_back((self.last_write, self.log.last_index()));
            }
            Write::Replace(_) => {
                self.vote_write = self.last_write;
                self.unsynced
                    .push_back((self.last_write, self.log.last_index()));
            }
        }
        let number = self.last_write;
        self.outputs.0.push(Output::Write { number, write });
    }

    /// Stops counting entries from an index on as synced, because they are overwritten.
    ///
    /// Otherwise the new entries would count as synced once an earlier write of the same indices
    /// was synced.
    pub(crate) fn mark_unsynced_from(&mut self, from: Index) {
        let last = Index(from.get().saturating_sub(1));
        self.durable = self.durable.min(last);
        for (_, index) in &mut self.unsynced {
            *index = (*index).min(last);
        }
    }

    fn on_synced(&mut self, write: u64) {
        self.last_synced = self.last_synced.max(write);
        while let Some((number, index)) = self.unsynced.front().copied() {
            if number > self.last_synced {
                break;
            }
            self.unsynced.pop_front();
            self.durable = self.durable.max(index);
        }
        while let Some((number, _)) = self.held_back.front() {
            if *number > self.last_synced {
                break;
            }
            if let Some((_, envelope)) = self.held_back.pop_front() {
                self.outputs.0.push(Output::Send(envelope));
            }
        }
        if self.is_leader() {
            self.advance_commit();
        }
    }

    /// Whether the term and vote are synced.
    pub(crate) fn is_vote_synced(&self) -> bool {
        self.last_synced >= self.vote_write
    }

    /// Whether every write is synced.
    pub(crate) fn is_synced(&self) -> bool {
        self.last_synced >= self.last_write
    }

    /// Sends a message at once.
    pub(crate) fn send(&mut self, to: VoterId, message: Message) {
        let envelope = self.envelope(to, message);
        self.outputs.0.push(Output::Send(envelope));
    }

    /// Sends a message once everything written so far is synced.
    ///
    /// Otherwise a vote or acknowledgement could be sent, the process could die before the disk has
    /// it, and the voter would restart without what it promised.
    pub(crate) fn send_after_sync(&mut self, to: VoterId, message: Message) {
        if self.is_synced() {
            return self.send(to, message);
        }
        let envelope = self.envelope(to, message);
        self.held_back.push_back((self.last_write, envelope));
    }

    fn envelope(&self, to: VoterId, message: Message) -> Envelope {
        Envelope {
            cluster: self.cluster,
            from: self.id,
            start: self.start,
            to,
            term: self.hard.term,
            message,
        }
    }

    pub(crate) fn answer(&mut self, ticket: Ticket, answer: Result<Vec<u8>, Refusal>) {
        self.outputs.0.push(Output::Answer { ticket, answer });
    }

    pub(crate) fn emit(&mut self, event: NodeEvent) {
        self.outputs.0.push(Output::Event(event));
    }

    pub(crate) fn leader_state(&mut self) -> Option<&mut LeaderState> {
        match &mut self.role {
            Role::Leader(state) => Some(state),
            _ => None,
        }
    }

    fn apply_committed(&mut self) {
        while self.applied < self.commit {
            let next = self.applied.next();
            let Some(entry) = self.log.get(next).cloned() else {
                return;
            };
            self.applied = next;
            self.apply_entry(entry);
        }
    }

    fn apply_entry(&mut self, entry: LogEntry) {
        let LogEntry {
            index,
            term,
            payload,
        } = entry;
        let verdict = match payload {
            Payload::Office { .. } => {
                self.fence = self.fence.max(Fence(term.get()));
                self.mark_ready(term);
                Vec::new()
            }
            Payload::Command(command) => self.machine.apply(index, &command),
            Payload::Voters(voters) => {
                self.apply_voters(voters);
                Vec::new()
            }
            Payload::Replaced(_) => {
                self.machine.majority_replaced(index);
                self.emit(NodeEvent::MajorityReplaced(index));
                Vec::new()
            }
        };
        let ticket = self.leader_state().and_then(|s| s.waiting.remove(&index));
        if let Some(ticket) = ticket {
            self.answer(ticket, Ok(verdict));
        }
        self.step_down_if_removed();
    }

    /// Takes a snapshot once enough entries have been applied since the last one.
    fn take_snapshot(&mut self) {
        let since = self.applied.get() - self.log.snapshot_index().get();
        if since < self.timing.snapshot_entries {
            return;
        }
        let term = self
            .log
            .term_at(self.applied)
            .expect("the last applied entry is kept");
        let snapshot = Arc::new(Snapshot {
            index: self.applied,
            term,
            voters: self.log.voters_at(self.applied).clone(),
            fence: self.fence,
            state: self.machine.snapshot(),
        });
        self.log.compact(snapshot, self.timing.retained_entries);
        let stored = Box::new(self.to_stored());
        self.write(Write::Replace(stored));
        self.emit(NodeEvent::SnapshotSaved(self.applied));
    }
}
