//! A server's place in a group of ranks, as the sidecar beside it reports.

use std::net::SocketAddr;

use snipemast_core::data;
use snipemast_core::prelude::*;
pub use snipemast_core::server::GroupRank;

/// The path of a call that reports a rank.
pub const PATH: &str = "/ranks";

/// How often a sidecar reports its rank although nothing has changed, so that a controller that has
/// lost its state knows every group again within this time.
pub const REFRESH_INTERVAL: Span = Span::from_secs(2);

data! {
    /// What a sidecar reports about the rank beside it.
    pub struct RankUpdate {
        /// The address at which the server accepts requests.
        pub address: SocketAddr,
        /// The start of the server.
        pub start: Incarnation,
        /// The server's place, or `None` if it is a rank of no group.
        pub rank: Option<GroupRank>,
        /// A number that the reporting process draws when it starts.
        #[serde(rename = "teller")]
        pub sender: u64,
        /// A number that rises with each update of that process, so that a late update can be
        /// recognized.
        pub number: u64,
    }

    /// The answer to an update that was accepted.
    pub struct RankAck {}

    /// What a table holds about a rank, and how old it is.
    pub struct RankEntry {
        /// The update.
        #[serde(rename = "word")]
        pub update: RankUpdate,
        /// How long ago the sidecar sent it.
        pub age: Span,
    }
}

impl RankUpdate {
    /// Whether it reports the same place as another update.
    pub fn has_same_rank(&self, other: &Self) -> bool {
        (self.start, &self.rank) == (other.start, &other.rank)
    }
}

/// The latest update of a rank.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct KnownRank {
    /// The update.
    pub(crate) update: RankUpdate,
    /// When a controller received it.
    pub(crate) received: Moment,
}

impl KnownRank {
    /// Whether an update that a controller received at a moment replaces this one.
    pub(crate) fn yields_to(&self, update: &RankUpdate, received: Moment) -> bool {
        if update.sender == self.update.sender {
            update.number >= self.update.number
        } else {
            received >= self.received
        }
    }
}
