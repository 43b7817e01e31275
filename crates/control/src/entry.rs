//! What stands in the log, and what a voter keeps on its disk.

use std::sync::Arc;

use snipemast_core::data;
use snipemast_core::prelude::*;

use crate::voters::{VoterId, Voters};

data! {
    /// One entry of the log.
    #[derive(Hash)]
    pub struct LogEntry {
        /// Its place.
        pub index: Index,
        /// The term of the leader that wrote it.
        pub term: Term,
        /// What it says.
        pub payload: Payload,
    }

    /// What an entry says.
    #[derive(Hash)]
    pub enum Payload {
        /// A leader took office; its term is the fencing number once this is committed.
        Office {
            /// The leader.
            leader: VoterId,
        },
        /// A command for the state machine.
        Command(#[serde(with = "serde_bytes")] Vec<u8>),
        /// The voters from here on.
        Voters(Voters),
        /// An operator replaced a majority that was lost for good by these voters.
        Replaced(Voters),
    }

    /// The term a voter is in, and whom it voted for.
    #[derive(Copy, Default, Hash)]
    pub struct Hard {
        /// The term.
        pub term: Term,
        /// Whom it voted for in that term.
        pub vote: Option<VoterId>,
    }

    /// The state of the machine after the entry at an index.
    #[derive(Hash)]
    pub struct Snapshot {
        /// The last entry that it covers.
        pub index: Index,
        /// That entry's term.
        pub term: Term,
        /// The voters as of that entry.
        pub voters: Voters,
        /// The fencing number as of that entry.
        pub fence: Fence,
        /// The machine's bytes.
        #[serde(with = "serde_bytes")]
        pub state: Vec<u8>,
    }
}

/// What a disk holds of one voter.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct StoredState {
    /// The term and the vote.
    pub hard: Hard,
    /// The last snapshot.
    pub snapshot: Option<Arc<Snapshot>>,
    /// The entries after it, and some before it for those who are a little behind.
    pub entries: Vec<LogEntry>,
}

/// Something that a disk must do, in the order in which it is asked.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Write {
    /// Keep the term and the vote.
    Hard(Hard),
    /// Keep these entries; whatever stood at the first one's place and after it is gone.
    Append(Vec<LogEntry>),
    /// Keep a snapshot and these entries in place of everything before.
    Replace(Box<StoredState>),
}

impl LogEntry {
    /// The voters that this entry brings into force.
    pub fn voters(&self) -> Option<&Voters> {
        match &self.payload {
            Payload::Voters(voters) | Payload::Replaced(voters) => Some(voters),
            Payload::Office { .. } | Payload::Command(_) => None,
        }
    }

    /// About how many bytes it takes in a message.
    pub fn weight(&self) -> usize {
        /// What index, term and the names of the fields take.
        const FRAME: usize = 64;
        match &self.payload {
            Payload::Command(bytes) => bytes.len() + FRAME,
            Payload::Office { .. } => FRAME,
            Payload::Voters(v) | Payload::Replaced(v) => {
                FRAME * (1 + 2 * v.voters.len() + 2 * v.learners.len())
            }
        }
    }
}

impl StoredState {
    /// Does what a disk was asked, in memory.
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
