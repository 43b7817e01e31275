//! One voter of the replicated log, as a plain state machine.
//!
//! Time, chance, identity, disk and wire stand outside: [`Node::handle`] takes one [`Input`] and
//! returns what is to be done. Nothing that promises durability leaves before the disk has
//! said so with [`Input::Synced`].

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::sync::Arc;

use snipemast_core::data;
use snipemast_core::number_ids;
use snipemast_core::prelude::*;

use crate::apply::{self, StateMachine};
use crate::entry::{Hard, LogEntry, Payload, Snapshot, StoredState, Write};
use crate::log::Log;
use crate::message::{Envelope, Message};
use crate::role::{Office, Role};
use crate::roster::Health;
use crate::timing::{SplitMix64, Timing};
use crate::voters::{ChangeError, ClusterId, VoterChange, VoterId, Voters};

number_ids! {
    /// A caller's number for a command or change, which its answer carries.
    Ticket;
}

/// What a voter is started with.
#[derive(Debug, Clone)]
pub struct NodeParams {
    /// Its id, from its data folder.
    pub id: VoterId,
    /// Which start of its data folder this is.
    pub start: u64,
    /// Its cluster.
    pub cluster: ClusterId,
    /// The voters that the cluster was formed with, or none for a learner.
    pub first_voters: Voters,
    /// What its disk holds.
    pub stored: StoredState,
    /// Timeouts and bounds.
    pub timing: Timing,
    /// Seeds its chance.
    pub seed: u64,
}

/// What happens to a voter.
#[derive(Debug, Clone)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A message has come.
    Receive(Envelope),
    /// A command is submitted.
    Propose {
        /// The caller's number.
        ticket: Ticket,
        /// The command.
        command: Vec<u8>,
    },
    /// A change of the voters is submitted.
    Change {
        /// The caller's number.
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

/// What a voter wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Write to the disk, in this order, and sync.
    Write {
        /// The write's number.
        number: u64,
        /// What to write.
        write: Write,
    },
    /// Send a message; it may be lost.
    Send(Envelope),
    /// Answer a caller.
    Answer {
        /// The caller's number.
        ticket: Ticket,
        /// The verdict, or why there is none.
        answer: Result<Vec<u8>, Refusal>,
    },
    /// Note an event.
    Event(NodeEvent),
}

data! {
    /// Why a command or change has no verdict.
    #[derive(Hash)]
    pub enum Refusal {
        /// This voter does not lead; nothing was accepted.
        NotLeader {
            /// Who leads, if that is known.
            leader: Option<VoterId>,
        },
        /// No majority is in reach; nothing was accepted.
        NoQuorum,
        /// Too many commands wait; nothing was accepted.
        Busy,
        /// The leader lost its office first: a resend under the same id learns the verdict.
        Unknown,
        /// The voters can't be changed so.
        Change(ChangeError),
    }
}

/// Something worth an event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NodeEvent {
    /// This voter was elected.
    Elected(Term),
    /// Its office is in the log: it may give orders with this fencing number.
    LeaderReady(Fence),
    /// Its term of office ended.
    SteppedDown(Term),
    /// The voters changed.
    VotersChanged(Voters),
    /// A snapshot was taken or installed.
    SnapshotSaved(Index),
    /// An operator replaced a lost majority.
    MajorityReplaced(Index),
    /// A voter lost what it had said was synced; it counts for nothing any more.
    Regressed(VoterId),
    /// Two processes speak under one id; the one that started first is not heard.
    Outdated(VoterId),
    /// A leader contradicts what is committed; its message was dropped.
    Contradicted(Index),
    /// A snapshot that the machine can't read was dropped.
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

/// One voter or learner.
#[derive(Debug, Clone, Hash)]
pub struct Node<M> {
    pub(crate) id: VoterId,
    pub(crate) start: u64,
    pub(crate) cluster: ClusterId,
    pub(crate) timing: Timing,
    pub(crate) chance: SplitMix64,
    pub(crate) now: Moment,
    pub(crate) hard: Hard,
    pub(crate) log: Log,
    pub(crate) machine: M,
    pub(crate) commit: Index,
    pub(crate) applied: Index,
    pub(crate) fence: Fence,
    pub(crate) role: Role,
    pub(crate) leader: Option<VoterId>,
    /// When a leader was last heard, or when this process started.
    pub(crate) heard: Moment,
    /// When it stands for election.
    pub(crate) alarm: Moment,
    /// A snapshot that is arriving.
    pub(crate) incoming: Option<crate::install::Incoming>,
    pub(crate) starts: BTreeMap<VoterId, u64>,
    writes: u64,
    synced: u64,
    /// The last write of a term or vote.
    sworn: u64,
    durable: Index,
    pending: VecDeque<(u64, Index)>,
    held: VecDeque<(u64, Envelope)>,
    outputs: Outbox,
}

/// Outputs of the step under way: empty between steps, so they count for no hash.
#[derive(Debug, Clone, Default)]
struct Outbox(Vec<Output>);

impl std::hash::Hash for Outbox {
    fn hash<H: std::hash::Hasher>(&self, _: &mut H) {}
}

impl<M: StateMachine> Node<M> {
    /// Starts a voter from what its disk holds.
    ///
    /// Failure guarded against: a follower granted a leader its lease, crashed, and votes for
    /// another right after its restart, so that two leaders speak at once. A start counts as
    /// having heard a leader, so no vote is given for one election timeout.
    pub fn new(boot: NodeParams, mut machine: M, now: Moment) -> apply::Result<Self> {
        let hard = boot.stored.hard;
        let log = Log::new(boot.stored, boot.first_voters);
        let mut fence = Fence(0);
        if let Some(snapshot) = log.snapshot() {
            machine.restore(&snapshot.state)?;
            fence = snapshot.fence;
        }
        let mut node = Self {
            id: boot.id,
            start: boot.start,
            cluster: boot.cluster,
            timing: boot.timing,
            chance: SplitMix64::new(boot.seed),
            now,
            hard,
            commit: log.covered(),
            applied: log.covered(),
            durable: log.last_index(),
            log,
            machine,
            fence,
            role: Role::Follower,
            leader: None,
            heard: now,
            alarm: now,
            incoming: None,
            starts: BTreeMap::new(),
            writes: 0,
            synced: 0,
            sworn: 0,
            pending: VecDeque::new(),
            held: VecDeque::new(),
            outputs: Outbox::default(),
        };
        if !node.is_alone() {
            node.rest();
        }
        Ok(node)
    }

    /// Takes one input at a moment and returns what is to be done, in order.
    pub fn handle(&mut self, now: Moment, input: Input) -> Vec<Output> {
        self.now = self.now.max(now);
        self.pass_time();
        match input {
            Input::Tick => {}
            Input::Receive(envelope) => self.receive(envelope),
            Input::Propose { ticket, command } => self.propose(ticket, command),
            Input::Change { ticket, change } => self.change(ticket, change),
            Input::Synced { write } => self.synced(write),
        }
        self.apply_committed();
        self.take_snapshot();
        std::mem::take(&mut self.outputs.0)
    }

    /// When [`Input::Tick`] is due.
    pub fn next_tick(&self) -> Moment {
        match &self.role {
            Role::Leader(office) => office.beat,
            _ if self.log.voters().is_voter(self.id) => self.alarm,
            _ => Moment::NEVER,
        }
    }

    /// Its id.
    pub fn id(&self) -> VoterId {
        self.id
    }

    /// Its term.
    pub fn term(&self) -> Term {
        self.hard.term
    }

    /// Who leads, as far as it knows.
    pub fn leader(&self) -> Option<VoterId> {
        self.leader
    }

    /// Whether it leads.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Whether it leads and may speak for the cluster without asking: no other leader can
    /// have been elected yet.
    pub fn has_lease(&self, now: Moment) -> bool {
        self.lease_end().is_some_and(|end| now < end)
    }

    /// Until when it may speak for the cluster, if it leads.
    pub fn lease_end(&self) -> Option<Moment> {
        match &self.role {
            Role::Leader(office) if office.ready => {
                self.contact(office).map(|c| c + self.timing.lease)
            }
            _ => None,
        }
    }

    /// The state machine.
    pub fn machine(&self) -> &M {
        &self.machine
    }

    /// The log.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// How far the log is committed, as far as it knows.
    pub fn commit_index(&self) -> Index {
        self.commit
    }

    /// How far the log is applied to the machine.
    pub fn applied_index(&self) -> Index {
        self.applied
    }

    /// The highest fencing number in the committed log.
    pub fn fence(&self) -> Fence {
        self.fence
    }

    /// The voters in force.
    pub fn voters(&self) -> &Voters {
        self.log.voters()
    }

    /// Whether it leads and its first entry is committed, so that it may change the voters.
    pub fn is_settled(&self) -> bool {
        matches!(&self.role, Role::Leader(office) if office.ready)
    }

    /// How the other voters and learners are, if it leads.
    pub fn health(&self, now: Moment) -> BTreeMap<VoterId, Health> {
        let Role::Leader(office) = &self.role else {
            return BTreeMap::new();
        };
        let peers = office.peers.iter();
        peers
            .map(|(id, p)| {
                let silent = now.since(p.acked.unwrap_or(p.since));
                let current = p.matched >= self.commit && !p.regressed;
                (*id, Health { silent, current })
            })
            .collect()
    }

    /// How far its own disk is synced.
    pub fn durable_index(&self) -> Index {
        self.durable
    }

    /// What its disk must hold once every write is synced.
    pub fn to_stored(&self) -> StoredState {
        self.log.to_stored(self.hard)
    }

    /// Failure guarded against: a leader that was cut off or stopped for long wakes up and goes
    /// on as if it led. Time is looked at before each input, so it steps down first.
    fn pass_time(&mut self) {
        if self.is_leader() {
            self.check_quorum();
        }
        if self.is_leader() {
            self.beat();
        } else if self.now >= self.alarm && self.log.voters().is_voter(self.id) {
            self.stand();
        }
    }

    /// Whether it is the only voter.
    pub(crate) fn is_alone(&self) -> bool {
        let voters = self.log.voters();
        voters.voters.len() == 1 && voters.is_voter(self.id)
    }

    fn receive(&mut self, envelope: Envelope) {
        let Envelope {
            cluster, from, to, ..
        } = envelope;
        if cluster != self.cluster || to != self.id || from == self.id {
            return;
        }
        if self.is_outdated(from, envelope.start) {
            self.note(NodeEvent::Outdated(from));
            return;
        }
        if !self.meet_term(&envelope) {
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

    /// Failure guarded against: a data folder was put back from an older copy and its process
    /// speaks with what it forgot. Its count of starts is lower than one already heard.
    fn is_outdated(&mut self, from: VoterId, start: u64) -> bool {
        let seen = self.starts.entry(from).or_insert(start);
        let outdated = start < *seen;
        *seen = (*seen).max(start);
        outdated
    }

    /// Adopts a later term where the message proves one; false where it is to be dropped.
    fn meet_term(&mut self, envelope: &Envelope) -> bool {
        if envelope.term <= self.hard.term {
            return true;
        }
        match envelope.message {
            Message::PreVote { .. } | Message::PreVoted { granted: true, .. } => true,
            Message::Vote { .. } if self.is_sheltered() => false,
            _ => {
                self.follow(envelope.term, None);
                true
            }
        }
    }

    pub(crate) fn write(&mut self, write: Write) {
        self.writes += 1;
        match &write {
            Write::Hard(_) => self.sworn = self.writes,
            Write::Append(entries) => {
                if let Some(first) = entries.first() {
                    self.forget_from(first.index);
                }
                self.pending.push_back((self.writes, self.log.last_index()));
            }
            Write::Replace(_) => {
                self.sworn = self.writes;
                self.pending.push_back((self.writes, self.log.last_index()));
            }
        }
        let number = self.writes;
        self.outputs.0.push(Output::Write { number, write });
    }

    /// Failure guarded against: entries that were overwritten count as synced because an
    /// earlier write of their places was. What is overwritten leaves the count at once.
    pub(crate) fn forget_from(&mut self, from: Index) {
        let last = Index(from.get().saturating_sub(1));
        self.durable = self.durable.min(last);
        for (_, index) in &mut self.pending {
            *index = (*index).min(last);
        }
    }

    fn synced(&mut self, write: u64) {
        self.synced = self.synced.max(write);
        while let Some((number, index)) = self.pending.front().copied() {
            if number > self.synced {
                break;
            }
            self.pending.pop_front();
            self.durable = self.durable.max(index);
        }
        while let Some((number, _)) = self.held.front() {
            if *number > self.synced {
                break;
            }
            if let Some((_, envelope)) = self.held.pop_front() {
                self.outputs.0.push(Output::Send(envelope));
            }
        }
        if self.is_leader() {
            self.advance_commit();
        }
    }

    /// Whether the term and vote are on the disk.
    pub(crate) fn is_sworn(&self) -> bool {
        self.synced >= self.sworn
    }

    /// Whether everything is on the disk.
    pub(crate) fn is_synced(&self) -> bool {
        self.synced >= self.writes
    }

    pub(crate) fn send(&mut self, to: VoterId, message: Message) {
        let envelope = self.envelope(to, message);
        self.outputs.0.push(Output::Send(envelope));
    }

    /// Sends a message once everything written so far is synced.
    ///
    /// Failure guarded against: a vote or an acknowledgement leaves, the process dies before
    /// its disk has it, and the voter comes back having forgotten what it promised.
    pub(crate) fn send_synced(&mut self, to: VoterId, message: Message) {
        if self.is_synced() {
            return self.send(to, message);
        }
        let envelope = self.envelope(to, message);
        self.held.push_back((self.writes, envelope));
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

    pub(crate) fn note(&mut self, note: NodeEvent) {
        self.outputs.0.push(Output::Event(note));
    }

    pub(crate) fn office(&mut self) -> Option<&mut Office> {
        match &mut self.role {
            Role::Leader(office) => Some(office),
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
                self.settle_office(term);
                Vec::new()
            }
            Payload::Command(command) => self.machine.apply(index, &command),
            Payload::Voters(voters) => {
                self.settle_voters(voters);
                Vec::new()
            }
            Payload::Replaced(_) => {
                self.machine.majority_replaced(index);
                self.note(NodeEvent::MajorityReplaced(index));
                Vec::new()
            }
        };
        let ticket = self.office().and_then(|o| o.waiting.remove(&index));
        if let Some(ticket) = ticket {
            self.answer(ticket, Ok(verdict));
        }
        self.leave_if_removed();
    }

    fn take_snapshot(&mut self) {
        let since = self.applied.get() - self.log.covered().get();
        if since < self.timing.snapshot_entries {
            return;
        }
        let term = self.log.term_at(self.applied).expect("it was just applied");
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
        self.note(NodeEvent::SnapshotSaved(self.applied));
    }
}
