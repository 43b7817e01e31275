//! One server, and moments from when it is known on.

use snipemast_core::prelude::*;
use snipemast_registry::Announcement;

/// When it is announced.
pub(crate) const START: Moment = Moment::from_millis(50_000);

/// A moment after that.
pub(crate) fn at(millis: u64) -> Moment {
    START + Span::from_millis(millis)
}

/// Its id.
pub(crate) fn id() -> ServerId {
    ServerId::new("i-1").unwrap()
}

/// The first heartbeat of a start of it.
pub(crate) fn announced(start: u64) -> Announcement {
    Announcement {
        id: id(),
        start: Incarnation(start),
        service: ServiceId::new("lector").unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: ZoneId::new("a").unwrap(),
        slots: 12,
        draining: false,
        sequence: 1,
    }
}
