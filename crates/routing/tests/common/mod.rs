//! What the tests of routing share.

#![allow(dead_code)]

use quickcheck::Gen;
use snipemast_core::prelude::*;
use snipemast_routing::{Location, Router, ServerFacts, Wanted};

/// A moment after everything has warmed up.
pub(crate) const CALM: Moment = Moment::from_millis(100_000);

/// A generator with a fixed seed, so that each run gives the same verdict.
pub(crate) fn seeded(seed: u64) -> Gen {
    Gen::from_size_and_seed(64, seed)
}

/// An empty router in the zone `near`.
pub(crate) fn router() -> Router {
    let place = Location {
        zone: "near".parse().expect("a name"),
        region: "here".parse().expect("a name"),
    };
    Router::new(place, 7)
}

/// The host of server `n`.
pub(crate) fn host(n: usize) -> HostId {
    format!("host-{n}").parse().expect("a name")
}

/// Server `n`, with 32 slots, which offers one service.
pub(crate) fn facts(n: usize, service: &str) -> ServerFacts {
    let offer = Offer::Service {
        service: service.parse().expect("a name"),
    };
    ServerFacts {
        agent: ProcessId::new(host(n), Incarnation::new(1)),
        zone: "near".parse().expect("a name"),
        region: "here".parse().expect("a name"),
        info: ServerInfo {
            server: format!("server-{n}").parse().expect("a name"),
            offers: vec![offer],
            capabilities: Capabilities::default(),
            rank: None,
            slots: 32,
        },
        draining: false,
    }
}

/// Asks for a service.
pub(crate) fn service(name: &str) -> Wanted {
    Wanted::Service(name.parse().expect("a name"))
}

/// A workspace's name.
pub(crate) fn workspace(name: &str) -> WorkspaceId {
    name.parse().expect("a name")
}
