//! The messages between voters.

use snipemast_core::data;
use snipemast_core::prelude::*;

use crate::entry::LogEntry;
use crate::voters::{ClusterId, VoterId, Voters};

data! {
    /// A message with its sender and recipient.
    #[derive(Hash)]
    pub struct Envelope {
        /// The cluster that both belong to.
        pub cluster: ClusterId,
        /// The sender.
        pub from: VoterId,
        /// The number of times that the sender's process has started, as counted in its data
        /// folder.
        pub start: u64,
        /// The recipient.
        pub to: VoterId,
        /// The sender's term.
        pub term: Term,
        /// The message itself.
        pub message: Message,
    }

    /// A message between two voters.
    #[derive(Hash)]
    pub enum Message {
        /// Asks whether the recipient would vote for the sender in the next term.
        PreVote {
            /// The term that would begin.
            next: Term,
            /// The last entry of the sender's log.
            last: Position,
        },
        /// The answer to a pre-vote.
        PreVoted {
            /// The term that the pre-vote was for.
            next: Term,
            /// Whether the vote would be granted.
            granted: bool,
        },
        /// Asks for the recipient's vote in the sender's term.
        Vote {
            /// The last entry of the candidate's log.
            last: Position,
        },
        /// The answer to a vote.
        Voted {
            /// Whether the vote was granted.
            granted: bool,
        },
        /// Entries from the leader; without entries it is a heartbeat.
        Append {
            /// The entry before the first one in this message.
            previous: Position,
            /// The entries.
            entries: Vec<LogEntry>,
            /// The leader's commit index.
            commit: Index,
            /// The time of sending on the leader's clock, which the answer repeats.
            sent: Moment,
        },
        /// The follower's synced log matches the leader's up to an index.
        Matched {
            /// The last index that matches and is synced.
            index: Index,
            /// The time of sending, repeated from the leader's message.
            sent: Moment,
        },
        /// The follower's log has no entry or a different one before the first entry sent.
        Mismatched {
            /// The last index at which the logs may match.
            hint: Index,
            /// The last index of the follower's log.
            last: Index,
            /// The time of sending, repeated from the leader's message.
            sent: Moment,
        },
        /// A piece of a snapshot.
        Install {
            /// The head of the snapshot, which identifies it.
            head: Box<SnapshotHead>,
            /// The byte offset of the piece.
            offset: u64,
            /// The bytes of the piece.
            #[serde(with = "serde_bytes")]
            bytes: Vec<u8>,
            /// The time of sending on the leader's clock.
            sent: Moment,
        },
        /// The follower has received a part of a snapshot.
        Installed {
            /// The index of the last entry that the snapshot covers.
            index: Index,
            /// The number of bytes that have arrived in order.
            received: u64,
            /// The time of sending, repeated from the leader's message.
            sent: Moment,
        },
    }

    /// A position in a log.
    #[derive(Copy, Default, PartialOrd, Ord, Hash)]
    pub struct Position {
        /// The entry's term.
        pub term: Term,
        /// Its index.
        pub index: Index,
    }

    /// The parts of a snapshot other than the state of the state machine.
    #[derive(Hash)]
    pub struct SnapshotHead {
        /// The last entry that it covers.
        pub last: Position,
        /// The voters as of that entry.
        pub voters: Voters,
        /// The fencing number as of that entry.
        pub fence: Fence,
        /// The length of the encoded state in bytes.
        pub total: u64,
        /// The CRC-32 of the encoded state.
        pub checksum: u32,
    }
}

impl Position {
    /// Creates the position of an entry.
    pub const fn new(term: Term, index: Index) -> Self {
        Self { term, index }
    }
}
