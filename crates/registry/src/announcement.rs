//! What a server says of itself.

use std::net::SocketAddr;

use snipemast_core::data;
use snipemast_core::prelude::*;

data! {
    /// One heartbeat of a server.
    pub struct Announcement {
        /// The server; it may start again under the same id.
        pub id: ServerId,
        /// Which start of it this is: a later one is higher, and knows nothing of those before. 0 where
        /// the server does not tell; such a server has another id after each start.
        pub start: Incarnation,
        /// The service that it is part of.
        pub service: ServiceId,
        /// Where it takes requests.
        pub address: SocketAddr,
        /// Its availability zone.
        pub zone: ZoneId,
        /// How many requests it runs at once.
        pub slots: u32,
        /// Whether it leaves.
        pub draining: bool,
        /// Rises with each heartbeat of one start, so that a late one is known as such.
        pub sequence: u64,
    }

    /// Whether a server may be sent requests.
    #[derive(Copy, PartialOrd, Ord)]
    pub enum Standing {
        /// It may.
        Ready,
        /// It was not heard for long, or another server announced itself at its address later.
        Lost,
        /// It leaves, and serves only what it has.
        Draining,
        /// It said good-bye, and serves nothing until it starts again.
        Gone,
    }
}

impl Announcement {
    /// The standing that it asks for.
    pub fn standing(&self) -> Standing {
        if self.draining {
            Standing::Draining
        } else {
            Standing::Ready
        }
    }
}
