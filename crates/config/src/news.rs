//! The messages by which processes pass new versions of the configuration on.

use std::collections::VecDeque;
use std::sync::Arc;

use snipemast_core::prelude::*;

use crate::delta::Delta;
use crate::document::Config;

/// The largest piece of a snapshot that is sent at once.
pub const MAX_PIECE_BYTES: usize = 64 << 10;

/// The largest snapshot that a follower fetches.
pub const MAX_SNAPSHOT_BYTES: u64 = 64 << 20;

data! {
    /// A request that one process sends to another.
    #[derive(Copy)]
    pub enum Ask {
        /// Asks for a version later than the sender's, and waits for it if there is none yet.
        Poll {
            /// The version in force at the sender.
            after: Version,
            /// How long the receiver may hold the poll until there is a later version.
            wait: Span,
        },
        /// Asks for a piece of a snapshot.
        Piece {
            /// The version of the snapshot.
            version: Version,
            /// The offset of the piece, in bytes.
            offset: u64,
        },
    }

    /// The answer to an [`Ask`].
    pub enum News {
        /// There was no later version within the wait.
        Unchanged,
        /// The delta to a later version.
        Delta(Box<Delta>),
        /// The head of a snapshot of a later version, to which no delta is at hand. Its pieces can
        /// be requested.
        Snapshot(SnapshotHead),
        /// A piece of a snapshot.
        Piece {
            /// The version of the snapshot.
            version: Version,
            /// The offset of the piece, in bytes.
            offset: u64,
            /// The bytes.
            #[serde(with = "serde_bytes")]
            bytes: Vec<u8>,
        },
        /// The requested snapshot is no longer available.
        Gone,
    }

    /// The answer to an [`Ask`], and how far it can be trusted.
    pub struct Reply {
        /// The answer itself.
        pub news: News,
        /// How long before the reply the control leader had confirmed it, or `None` if it never
        /// did.
        pub age: Option<Span>,
        /// How long the reply was held back.
        pub held: Span,
        /// Whether the replying process has a working source, or is the origin itself. If not,
        /// another process should be asked.
        pub linked: bool,
        /// The highest fencing number known to the replying process.
        pub fence: Fence,
    }

    /// The description of a snapshot, against which its pieces are verified.
    #[derive(Copy)]
    pub struct SnapshotHead {
        /// The version.
        pub version: Version,
        /// The length of all pieces together.
        pub length: u64,
        /// The CRC-32 of all pieces together.
        pub checksum: u32,
    }
}

/// A serialized version, which is sent in pieces to processes that are far behind.
#[derive(Debug, Clone)]
pub struct Snapshot {
    head: SnapshotHead,
    bytes: Arc<Vec<u8>>,
}

impl Snapshot {
    /// Serializes a configuration.
    pub fn new(config: &Config) -> Self {
        let bytes = rmp_serde::to_vec_named(config).expect("a configuration is plain data");
        let head = SnapshotHead {
            version: config.version,
            length: bytes.len() as u64,
            checksum: crc32fast::hash(&bytes),
        };
        Self {
            head,
            bytes: Arc::new(bytes),
        }
    }

    /// Returns the description of the snapshot.
    pub fn head(&self) -> SnapshotHead {
        self.head
    }

    /// Returns the whole snapshot.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Returns the piece that begins at an offset.
    pub fn piece(&self, offset: u64) -> News {
        let start = usize::try_from(offset).unwrap_or(usize::MAX);
        let Some(rest) = self.bytes.get(start..) else {
            return News::Gone;
        };
        News::Piece {
            version: self.head.version,
            offset,
            bytes: rest[..rest.len().min(MAX_PIECE_BYTES)].to_vec(),
        }
    }
}

impl SnapshotHead {
    /// Reads the configuration from the joined pieces, or returns `None` if they are incomplete or
    /// corrupt.
    pub fn read(&self, bytes: &[u8]) -> Option<Config> {
        if bytes.len() as u64 != self.length || crc32fast::hash(bytes) != self.checksum {
            return None;
        }
        let config: Config = rmp_serde::from_slice(bytes).ok()?;
        (config.version == self.version).then_some(config)
    }
}

/// The last deltas, for processes that are a few versions behind.
#[derive(Debug)]
pub struct DeltaLog {
    deltas: VecDeque<Delta>,
    capacity: usize,
}

impl DeltaLog {
    /// Creates an empty log that keeps at most `capacity` deltas.
    pub fn new(capacity: usize) -> Self {
        Self {
            deltas: VecDeque::new(),
            capacity,
        }
    }

    /// Appends a delta. If it doesn't follow the last one, all older deltas are dropped, because
    /// none of them can lead to the new version.
    pub fn push(&mut self, delta: Delta) {
        if self.deltas.back().is_some_and(|d| d.to != delta.from) {
            self.deltas.clear();
        }
        self.deltas.push_back(delta);
        if self.deltas.len() > self.capacity {
            self.deltas.pop_front();
        }
    }

    /// Drops all deltas, for when a version arrived to which none of them leads.
    pub fn clear(&mut self) {
        self.deltas.clear();
    }

    /// Returns one delta from a version to the newest, or `None` if the log doesn't reach back to
    /// that version.
    pub fn since(&self, version: Version) -> Option<Delta> {
        Delta::combined(self.deltas.iter(), version)
    }
}
