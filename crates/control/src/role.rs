//! What a voter is in its term.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use snipemast_core::prelude::*;

use crate::entry::Snapshot;
use crate::node::Ticket;
use crate::voters::VoterId;

/// What a voter is in its term.
#[derive(Debug, Clone, Hash)]
pub(crate) enum Role {
    /// It follows a leader, or waits for one.
    Follower,
    /// It asks whether it would be elected.
    PreCandidate {
        /// Who would vote for it.
        granted: BTreeSet<VoterId>,
    },
    /// It stands for election.
    Candidate {
        /// Who voted for it.
        granted: BTreeSet<VoterId>,
    },
    /// It leads.
    Leader(Box<LeaderState>),
}

/// A leader's term of office.
#[derive(Debug, Clone, Hash)]
pub(crate) struct LeaderState {
    /// When it began.
    pub(crate) elected_at: Moment,
    /// When the next heartbeat is due.
    pub(crate) next_heartbeat: Moment,
    /// Whether its first entry is committed.
    pub(crate) ready: bool,
    /// What each other voter and learner has.
    pub(crate) peers: BTreeMap<VoterId, Progress>,
    /// Who waits for the verdict of an entry.
    pub(crate) waiting: BTreeMap<Index, Ticket>,
}

/// What a leader knows of one follower.
#[derive(Debug, Clone, Hash)]
pub(crate) struct Progress {
    /// The first entry to send.
    pub(crate) next: Index,
    /// The last entry that is synced there.
    pub(crate) matched: Index,
    /// When `matched` last rose.
    pub(crate) advanced_at: Moment,
    /// When it came to be followed by this leader.
    pub(crate) tracked_since: Moment,
    /// When the last message was sent that it answered.
    pub(crate) last_acked: Option<Moment>,
    /// The commit that it was last told of.
    pub(crate) sent_commit: Index,
    /// The last entry of a batch under way, and when it was sent.
    pub(crate) in_flight: Option<(Index, Moment)>,
    /// A snapshot under way, and how much of it has arrived.
    pub(crate) snapshot: Option<(Arc<Snapshot>, u64)>,
    /// It lost what it had acknowledged.
    pub(crate) regressed: bool,
}

impl Progress {
    /// A follower of whom nothing is known but that the log may agree up to here.
    pub(crate) fn new(last: Index, now: Moment) -> Self {
        Self {
            next: last.next(),
            matched: Index(0),
            advanced_at: Moment::ZERO,
            tracked_since: now,
            last_acked: None,
            sent_commit: Index(0),
            in_flight: None,
            snapshot: None,
            regressed: false,
        }
    }

    /// Takes note that the follower's disk holds the log up to here.
    pub(crate) fn advance_to(&mut self, index: Index, now: Moment) {
        if index > self.matched {
            self.matched = index;
            self.advanced_at = now;
        }
        self.next = self.next.max(index.next());
        if self.in_flight.is_some_and(|(last, _)| index >= last) {
            self.in_flight = None;
        }
        if self
            .snapshot
            .as_ref()
            .is_some_and(|(s, _)| index >= s.index)
        {
            self.snapshot = None;
        }
    }

    /// Takes note of an answer to a message sent at this moment.
    pub(crate) fn acknowledge(&mut self, sent: Moment) {
        self.last_acked = self.last_acked.max(Some(sent));
    }
}
