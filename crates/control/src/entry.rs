//! The entries of the log, and the state that a voter keeps on its disk.

use std::sync::Arc;

use snipemast_core::data;
use snipemast_core::prelude::*;

use crate::voters::{VoterId, Voters};

data! {
    /// One entry of the log.
    #[derive(Hash)]
    pub struct LogEntry {
        /// Its index in the log.
        pub index: Index,
        /// The term of the leader that wrote it.
        pub term: Term,
        /// Its content.
        pub payload: Payload,
    }

    /// The content of an entry.
    #[derive(Hash)]
    pub enum Payload {
        /// A leader was elected; once this is committed, its term is the fencing number.
        Office {
            /// The leader.
            leader: VoterId,
        },
        /// A command for the state machine.
        Command(#[serde(with = "serde_bytes")] Vec<u8>),
        /// The voters and learners from this entry on.
        Voters(Voters),
        /// An operator replaced a majority that was lost for good with these voters.
        Replaced(Voters),
    }

    /// The term that a voter is in, and its vote in that term.
    #[derive(Copy, Default, Hash)]
    pub struct HardState {
        /// The current term.
        pub term: Term,
        /// The candidate that it voted for in that term.
        pub vote: Option<VoterId>,
    }

    /// The state of the state machine after the entry at an index.
    #[derive(Hash)]
    pub struct Snapshot {
        /// The index of the last entry that it covers.
        pub index: Index,
        /// That entry's term.
        pub term: Term,
        /// The voters as of that entry.
        pub voters: Voters,
        /// The fencing number as of that entry.
        pub fence: Fence,
        /// The encoded state of the state machine.
        #[serde(with = "serde_bytes")]
        pub state: Vec<u8>,
    }
}

/// The durable state of one voter.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct StoredState {
    /// The term and the vote.
    pub hard: HardState,
    /// The last snapshot.
    pub snapshot: Option<Arc<Snapshot>>,
    /// The entries after the snapshot, and some before it for followers that are a little behind.
    pub entries: Vec<LogEntry>,
}

/// One write to a disk; writes take effect in the order in which they are issued.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Write {
    /// Store the term and the vote.
    Hard(HardState),
    /// Store these entries, which replace all earlier entries from the first one's index on.
    Append(Vec<LogEntry>),
    /// Replace everything stored with a snapshot and entries.
    Replace(Box<StoredState>),
}

impl LogEntry {
    /// Returns the voters that this entry brings into force, if it changes them.
    pub fn voters(&self) -> Option<&Voters> {
        match &self.payload {
            Payload::Voters(voters) | Payload::Replaced(voters) => Some(voters),
            Payload::Office { .. } | Payload::Command(_) => None,
        }
    }

    /// Returns roughly how many bytes the entry takes in a message.
    pub fn approx_size(&self) -> usize {
        /// The bytes for the index, the term and the field names.
        const ENTRY_OVERHEAD: usize = 64;
        match &self.payload {
            Payload::Command(bytes) => bytes.len() + ENTRY_OVERHEAD,
            Payload::Office { .. } => ENTRY_OVERHEAD,
            Payload::Voters(v) | Payload::Replaced(v) => {
                ENTRY_OVERHEAD * (1 + 2 * v.voters.len() + 2 * v.learners.len())
            }
        }
    }
}

impl StoredState {
    /// Applies a write in memory as a disk would.
    pub fn apply(&mut self, write: &Write) {
        match write {
            Write::Hard(hard) => self.hard = *hard,
            Write::Append(entries) => self.append(entries),
            Write::Replace(stored) => *self = stored.as_ref().clone(),
        }
    }

    fn append(&mut self, entries: &[LogEntry]) {
        let Some(first) = entries.first() else {
            return;
        };
        let keep = self.entries.partition_point(|e| e.index < first.index);
        self.entries.truncate(keep);
        self.entries.extend_from_slice(entries);
    }
}
