//! What processes tell each other about the configuration in force.

use std::collections::VecDeque;
use std::sync::Arc;

use snipemast_core::prelude::*;

use crate::delta::Delta;
use crate::document::Config;

/// The largest piece of a snapshot that is sent at once, in bytes.
pub const PIECE: usize = 64 << 10;

/// The largest snapshot that is fetched, in bytes.
pub const MAX_SNAPSHOT: u64 = 64 << 20;

data! {
    /// What a process asks of another.
    #[derive(Copy)]
    pub enum Ask {
        /// Tell me of a version later than mine, or wait.
        Poll {
            /// The version in force at the asker.
            after: Version,
            /// How long the answer may wait for a later one.
            wait: Span,
        },
        /// Send me a piece of a snapshot.
        Piece {
            /// The version of the snapshot.
            version: Version,
            /// Where the piece begins.
            offset: u64,
        },
    }

    /// The answer to an [`Ask`].
    pub enum News {
        /// Nothing later within the wait.
        Unchanged,
        /// What leads to a later version.
        Delta(Box<Delta>),
        /// Too much has changed for a delta; the pieces of this snapshot can be asked for.
        Snapshot(SnapshotHead),
        /// A piece of a snapshot.
        Piece {
            /// The version of the snapshot.
            version: Version,
            /// Where the piece begins.
            offset: u64,
            /// The bytes.
            #[serde(with = "serde_bytes")]
            bytes: Vec<u8>,
        },
        /// The snapshot that was asked for is not held any more.
        Gone,
    }

    /// News, and how far it can be trusted.
    pub struct Reply {
        /// The news.
        pub news: News,
        /// How long ago the control leader confirmed it, as of the answer; nothing where it
        /// never did.
        pub age: Option<Span>,
        /// How long the answer was held back.
        pub held: Span,
        /// Whether the answering process has a source, or is one; another is to be asked where
        /// it has none.
        pub linked: bool,
        /// The highest fencing number that the answering process knows of.
        pub fence: Fence,
    }

    /// What a snapshot holds, so that its pieces can be checked.
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

/// One version in bytes, cut into pieces for who is far behind.
#[derive(Debug, Clone)]
pub struct Snapshot {
    head: SnapshotHead,
    bytes: Arc<Vec<u8>>,
}

impl Snapshot {
    /// The snapshot of a configuration.
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

    /// What it holds.
    pub fn head(&self) -> SnapshotHead {
        self.head
    }

    /// The whole snapshot.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// The piece that begins at an offset.
    pub fn piece(&self, offset: u64) -> News {
        let start = usize::try_from(offset).unwrap_or(usize::MAX);
        let Some(rest) = self.bytes.get(start..) else {
            return News::Gone;
        };
        News::Piece {
            version: self.head.version,
            offset,
            bytes: rest[..rest.len().min(PIECE)].to_vec(),
        }
    }
}

impl SnapshotHead {
    /// The configuration that the pieces hold, or nothing where they are not whole.
    pub fn read(&self, bytes: &[u8]) -> Option<Config> {
        if bytes.len() as u64 != self.length || crc32fast::hash(bytes) != self.checksum {
            return None;
        }
        let config: Config = rmp_serde::from_slice(bytes).ok()?;
        (config.version == self.version).then_some(config)
    }
}

/// The last deltas, for those that are a little behind.
#[derive(Debug)]
pub struct DeltaLog {
    deltas: VecDeque<Delta>,
    bound: usize,
}

impl DeltaLog {
    /// An empty log that keeps at most `bound` deltas.
    pub fn new(bound: usize) -> Self {
        Self {
            deltas: VecDeque::new(),
            bound,
        }
    }

    /// Adds the delta that follows; one that doesn't follow makes the older ones useless.
    pub fn push(&mut self, delta: Delta) {
        if self.deltas.back().is_some_and(|d| d.to != delta.from) {
            self.deltas.clear();
        }
        self.deltas.push_back(delta);
        if self.deltas.len() > self.bound {
            self.deltas.pop_front();
        }
    }

    /// Forgets all deltas, where a version came that none of them leads to.
    pub fn clear(&mut self) {
        self.deltas.clear();
    }

    /// One delta from a version to the newest, or nothing where the version fell out.
    pub fn since(&self, version: Version) -> Option<Delta> {
        Delta::combined(self.deltas.iter(), version)
    }
}
