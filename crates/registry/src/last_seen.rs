//! The times of the servers' last heartbeats, as controllers exchange them between changes.
//!
//! A heartbeat that changes nothing matters only to the other controllers, whose failure detection would
//! time out. They get a list of all servers every few seconds instead of an entry for each heartbeat,
//! since every controller sends to every other one.

use snipemast_core::data;
use snipemast_core::prelude::*;

use crate::table::SILENCE_TIMEOUT;

/// How often a controller requests the last heartbeats from another one: a few times within the failure
/// detector's timeout, since answers may be lost.
pub const LAST_SEEN_INTERVAL: Span = Span::from_millis(SILENCE_TIMEOUT.as_millis() / 4);

data! {
    /// The last heartbeat of a start of a server. The field names are short because the lists are long.
    pub struct SeenServer {
        /// The server.
        #[serde(rename = "i")]
        pub server: ServerId,
        /// Its start.
        #[serde(rename = "s")]
        pub start: Incarnation,
        /// The highest number of its heartbeats.
        #[serde(rename = "n")]
        pub sequence: u64,
        /// How long ago the last heartbeat arrived.
        #[serde(rename = "a")]
        pub age: Span,
    }
}
