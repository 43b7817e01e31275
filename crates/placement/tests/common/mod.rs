//! The servers of one service, and how a gateway places requests on them.

use snipemast_core::prelude::*;
use snipemast_placement::choice::{AnnouncedServer, Choice, Constraints, Unplaced};
use snipemast_placement::outage::AllowedPools;
use snipemast_placement::{Pool, Servers, Urgency};

/// Returns a moment of a test.
pub(crate) fn at(millis: u64) -> Moment {
    Moment::from_millis(50_000 + millis)
}

/// Returns a server's id.
pub(crate) fn id(number: usize) -> ServerId {
    ServerId::new(format!("i-{number}")).unwrap()
}

/// Returns the announcement of the first start of a server.
pub(crate) fn announced(number: usize) -> AnnouncedServer {
    AnnouncedServer {
        server: id(number),
        start: Incarnation(1),
        pool: Pool {
            service: ServiceId::new("lector").unwrap(),
            group: None,
        },
        address: format!("10.0.0.{number}:80").parse().unwrap(),
        zone: ZoneId::new("a").unwrap(),
        slots: 4,
        leaving_since: None,
        cold_until: Moment::ZERO,
    }
}

/// Chooses a server of the service for a request.
pub(crate) fn choose(servers: &mut Servers, now: Moment) -> Result<Choice, Unplaced> {
    choose_by(servers, now, 7)
}

/// Chooses a server of the service for a request, with a random number of its own.
pub(crate) fn choose_by(
    servers: &mut Servers,
    now: Moment,
    chance: u64,
) -> Result<Choice, Unplaced> {
    with_constraints(|constraints| servers.choose(now, constraints, Urgency::default(), chance))
}

/// Whether one of the service's servers has a free slot.
pub(crate) fn has_free_slot(servers: &Servers, now: Moment) -> bool {
    with_constraints(|constraints| servers.has_free_slot(now, constraints))
}

/// Runs `work` with constraints that allow every server of the service.
fn with_constraints<T>(work: impl FnOnce(Constraints<'_>) -> T) -> T {
    let (service, allowed) = (
        announced(1).pool.service,
        AllowedPools::AllExcept(Vec::new()),
    );
    work(Constraints {
        service: &service,
        allowed: &allowed,
        excluded: &[],
    })
}
