//! A server, and moments after its first heartbeat.

use snipemast_core::prelude::*;
use snipemast_registry::Announcement;

/// The moment of the first heartbeat.
pub(crate) const START: Moment = Moment::from_millis(50_000);

/// Returns a moment after [`START`].
pub(crate) fn at(millis: u64) -> Moment {
    START + Span::from_millis(millis)
}

/// Returns the server's id.
pub(crate) fn id() -> ServerId {
    ServerId::new("i-1").unwrap()
}

/// Returns the first heartbeat of a start of the server.
pub(crate) fn announced(start: u64) -> Announcement {
    Announcement {
        id: id(),
        start: Incarnation(start),
        service: ServiceId::new("lector").unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: ZoneId::new("a").unwrap(),
        slots: 12,
        draining: false,
        cold_left: Span::default(),
        sequence: 1,
    }
}
