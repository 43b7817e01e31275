//! The role of a voter in its term.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use snipemast_core::prelude::*;

use crate::entry::Snapshot;
use crate::node::Ticket;
use crate::voters::VoterId;

/// The role of a voter in its term.
#[derive(Debug, Clone, Hash)]
pub(crate) enum Role {
    /// It follows a leader, or waits for one.
    Follower,
    /// It asks the other voters whether they would vote for it.
    PreCandidate {
        /// The voters that would vote for it.
        granted: BTreeSet<VoterId>,
    },
    /// It asks the other voters for their votes.
    Candidate {
        /// The voters that voted for it.
        granted: BTreeSet<VoterId>,
    },
    /// It is the leader.
    Leader(Box<LeaderState>),
}

/// The state of a leader.
#[derive(Debug, Clone, Hash)]
pub(crate) struct LeaderState {
    /// When it was elected.
    pub(crate) elected_at: Moment,
    /// When the next heartbeat is due.
    pub(crate) next_heartbeat: Moment,
    /// Whether the first entry of its term is committed.
    pub(crate) ready: bool,
    /// The progress of each other voter and learner.
    pub(crate) peers: BTreeMap<VoterId, Progress>,
    /// The tickets that wait for the verdict on an entry.
    pub(crate) waiting: BTreeMap<Index, Ticket>,
}

/// The replication progress of one follower, as the leader knows it.
#[derive(Debug, Clone, Hash)]
pub(crate) struct Progress {
    /// The index of the next entry to send.
    pub(crate) next: Index,
    /// The last index that the follower has synced.
    pub(crate) matched: Index,
    /// When `matched` last advanced.
    pub(crate) advanced_at: Moment,
    /// Since when this leader has sent to it.
    pub(crate) tracked_since: Moment,
    /// When the latest message that it has acknowledged was sent.
    pub(crate) last_acked: Option<Moment>,
    /// The last commit index that was sent to it.
    pub(crate) sent_commit: Index,
    /// The last index of the batch in flight, and when the batch was sent.
    pub(crate) in_flight: Option<(Index, Moment)>,
    /// The snapshot being transferred, and the number of bytes that have arrived.
    pub(crate) snapshot: Option<(Arc<Snapshot>, u64)>,
    /// Whether it has lost entries that it had acknowledged.
    pub(crate) regressed: bool,
}

impl Progress {
    /// Creates the progress of a follower about which nothing is known yet; its log may match up to
    /// `last`.
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

    /// Records that the follower has synced the log up to an index.
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

    /// Records an answer to a message that was sent at this moment.
    pub(crate) fn acknowledge(&mut self, sent: Moment) {
        self.last_acked = self.last_acked.max(Some(sent));
    }
}
