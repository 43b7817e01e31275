//! How lately servers were heard, as controllers tell each other between changes.
//!
//! A heartbeat that changes nothing is news to nobody but the other controllers, which would take the
//! server for silent. They get a list of all servers every few seconds instead of an entry for each
//! heartbeat, since every controller tells every other one.

use snipemast_core::data;
use snipemast_core::prelude::*;

use crate::table::SILENCE_TIMEOUT;

/// How often a controller asks another one which servers it has heard: a few times before a server
/// counts as silent, since answers may be lost.
pub const HEARD_INTERVAL: Span = Span::from_millis(SILENCE_TIMEOUT.as_millis() / 4);

data! {
    /// That a start of a server was heard. The field names are short because the lists are long.
    pub struct HeardServer {
        /// The server.
        #[serde(rename = "i")]
        pub server: ServerId,
        /// Its start.
        #[serde(rename = "s")]
        pub start: Incarnation,
        /// The highest number of its heartbeats.
        #[serde(rename = "n")]
        pub sequence: u64,
        /// How long ago it was heard.
        #[serde(rename = "a")]
        pub age: Span,
    }
}
