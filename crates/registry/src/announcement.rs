//! What a server announces about itself.

use std::net::SocketAddr;

use snipemast_core::data;
use snipemast_core::prelude::*;

data! {
    /// One heartbeat of a server.
    pub struct Announcement {
        /// The server's id, which it may keep when it restarts.
        pub id: ServerId,
        /// The start of the server. A later start has a higher number and keeps no state of the
        /// earlier ones. The number is 0 if the server doesn't report it; such a server has
        /// another id after each start.
        pub start: Incarnation,
        /// The service that the server is part of.
        pub service: ServiceId,
        /// The address at which it accepts requests.
        pub address: SocketAddr,
        /// Its availability zone.
        pub zone: ZoneId,
        /// How many requests it runs at once.
        pub slots: u32,
        /// Whether it is draining.
        pub draining: bool,
        /// How much longer it is cold. A cold server tolerates few requests per second.
        #[serde(default)]
        pub cold_left: Span,
        /// A number that rises with each heartbeat of one start, so that a late heartbeat can be
        /// recognized.
        pub sequence: u64,
    }

    /// Whether requests may be sent to a server.
    #[derive(Copy, PartialOrd, Ord)]
    pub enum Standing {
        /// Requests may be sent to it.
        Ready,
        /// It sent no heartbeat for a long time, or another server announced itself at its address
        /// later.
        Lost,
        /// It is draining: it serves only the requests that it already has.
        Draining,
        /// It has deregistered, and serves nothing until it restarts.
        Gone,
    }
}

/// The service and availability zone of a server of which only the departure is known.
const UNKNOWN: &str = "unknown";

impl Announcement {
    /// Returns what is known of a server that has left, of which only the id and the latest possible start are known.
    pub(crate) fn of_unknown(id: ServerId, latest: Incarnation) -> Self {
        Self {
            id,
            start: latest,
            service: ServiceId::new(UNKNOWN).expect("the name is valid"),
            address: SocketAddr::from(([0, 0, 0, 0], 0)),
            zone: ZoneId::new(UNKNOWN).expect("the name is valid"),
            slots: 0,
            draining: false,
            cold_left: Span::default(),
            sequence: 0,
        }
    }

    /// Returns the standing that the server asks for.
    pub fn standing(&self) -> Standing {
        if self.draining {
            Standing::Draining
        } else {
            Standing::Ready
        }
    }
}
