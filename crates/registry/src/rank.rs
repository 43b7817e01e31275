//! A server's place in a group of ranks, as the process beside it tells.

use std::net::SocketAddr;

use snipemast_core::data;
use snipemast_core::prelude::*;
pub use snipemast_core::server::GroupRank;

/// The path of a call that tells of ranks.
pub const PATH: &str = "/ranks";

/// How often the process beside a rank tells of it although nothing has changed: a controller that has lost all
/// it knew learns of every group within this.
pub const REFRESH_INTERVAL: Span = Span::from_secs(2);

data! {
    /// What the process beside a rank tells of it.
    pub struct RankUpdate {
        /// Where the server takes requests.
        pub address: SocketAddr,
        /// Which start of it.
        pub start: Incarnation,
        /// Its place; nothing where it is a rank of no group.
        pub rank: Option<GroupRank>,
        /// Drawn by the process that tells when it starts.
        #[serde(rename = "teller")]
        pub sender: u64,
        /// Rises with each word of that process, so that a late one is known as such.
        pub number: u64,
    }

    /// A word was taken.
    pub struct RankAck {}

    /// What a table holds of a rank, and how old it is.
    pub struct RankEntry {
        /// What was told.
        pub word: RankUpdate,
        /// How long ago the process beside the rank told it.
        pub age: Span,
    }
}

impl RankUpdate {
    /// Whether it says the same as another one.
    pub fn has_same_rank(&self, other: &Self) -> bool {
        (self.start, &self.rank) == (other.start, &other.rank)
    }
}

/// What was told of a rank last.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct KnownRank {
    /// What was told.
    pub(crate) word: RankUpdate,
    /// When it was told, at any controller.
    pub(crate) told: Moment,
}

impl KnownRank {
    /// Whether a word that was told at a moment takes its place.
    pub(crate) fn yields_to(&self, word: &RankUpdate, told: Moment) -> bool {
        if word.sender == self.word.sender {
            word.number >= self.word.number
        } else {
            told >= self.told
        }
    }
}
