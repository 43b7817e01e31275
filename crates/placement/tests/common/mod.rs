//! Servers of one service, and what a gateway that knows them does with a request.

use snipemast_core::prelude::*;
use snipemast_placement::choice::{AnnouncedServer, Choice, Constraints, Unplaced};
use snipemast_placement::outage::AllowedPools;
use snipemast_placement::{Pool, Servers, Urgency};

/// A moment of a test.
pub(crate) fn at(millis: u64) -> Moment {
    Moment::from_millis(50_000 + millis)
}

/// A server's id.
pub(crate) fn id(number: usize) -> ServerId {
    ServerId::new(format!("i-{number}")).unwrap()
}

/// The first start of a server.
pub(crate) fn offered(number: usize) -> AnnouncedServer {
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
    }
}

/// Chooses a server of the service for a request.
pub(crate) fn choose(servers: &mut Servers, now: Moment) -> Result<Choice, Unplaced> {
    with_wanted(|wanted| servers.choose(now, wanted, Urgency::InTime, 7))
}

/// Whether one of the service's servers has a free place.
pub(crate) fn has_free(servers: &Servers, now: Moment) -> bool {
    with_wanted(|wanted| servers.has_free(now, wanted))
}

/// Wants any server of the service.
fn with_wanted<T>(work: impl FnOnce(Constraints<'_>) -> T) -> T {
    let (service, gate) = (offered(1).pool.service, AllowedPools::AllExcept(Vec::new()));
    work(Constraints {
        service: &service,
        allowed: &gate,
        excluded: &[],
    })
}
