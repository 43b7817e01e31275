//! Tests of the room that is kept at servers for urgent requests.

use snipemast_core::prelude::*;
use snipemast_placement::choice::{AnnouncedServer, Constraints, Unplaced};
use snipemast_placement::outage::AllowedPools;
use snipemast_placement::{LoadLimits, Pool, RequestPriority, Reserve, Servers, Urgency};

const OBJECTIVE: Span = Span::from_millis(1_000);

fn at(millis: u64) -> Moment {
    Moment::from_millis(50_000 + millis)
}

fn service() -> ServiceId {
    ServiceId::new("lector").unwrap()
}

fn priority(route: u8) -> RequestPriority {
    RequestPriority::new(Some(Priority::new(1)), Priority::new(route))
}

fn reserve(routes: &[u8]) -> Reserve {
    let mut reserve = Reserve::default();
    for route in routes {
        reserve.record_request(at(0), &service(), Priority::new(*route));
    }
    reserve
}

/// Returns the view of four servers with ten slots each.
fn servers() -> Servers {
    let announced = |number| AnnouncedServer {
        server: ServerId::new(format!("i-{number}")).unwrap(),
        start: Incarnation(1),
        pool: Pool {
            service: service(),
            group: None,
        },
        address: format!("10.0.0.{number}:80").parse().unwrap(),
        zone: ZoneId::new("a").unwrap(),
        slots: 10,
        leaving_since: None,
        cold_until: Moment::ZERO,
    };
    let mut servers = Servers::new(ZoneId::new("a").unwrap());
    servers.set_announced(at(0), (1..=4).map(announced).collect());
    servers
}

/// Returns how many requests of this urgency find a server, one after another.
fn admitted(servers: &mut Servers, urgency: Urgency) -> usize {
    let (service, allowed) = (service(), AllowedPools::AllExcept(Vec::new()));
    let constraints = Constraints {
        service: &service,
        allowed: &allowed,
        excluded: &[],
    };
    let chosen = (0..).map(|chance| servers.choose(at(10), constraints, urgency, chance));
    chosen
        .take_while(|c| !matches!(c, Err(Unplaced::AllFull)))
        .count()
}

/// A burst of the least urgent kind of request fills all servers, and urgent requests wait for
/// seconds. The burst must leave room that urgent requests find at once.
#[test]
fn burst_leaves_room() {
    let mut servers = servers();
    for route in [0, 2] {
        servers.record_request(at(0), &service(), Priority::new(route));
    }
    let burst = admitted(&mut servers, Urgency::InTime(priority(2)));
    assert_eq!(burst, 24);
    assert_eq!(admitted(&mut servers, Urgency::Late(priority(2))), 0);
    let urgent = admitted(&mut servers, Urgency::InTime(priority(0)));
    assert_eq!(urgent, 36);
}

/// A request that could wait without being late takes the place of one that can't. It yields until
/// its slack is as small as that of the others.
#[test]
fn patient_requests_yield() {
    let urgency = |spent| Urgency::new(Span::from_millis(spent), OBJECTIVE, priority(0));
    let (fresh, waited) = (urgency(0), urgency(400));
    assert_eq!(fresh, Urgency::Patient(priority(0)));
    assert_eq!(waited, Urgency::InTime(priority(0)));
    assert_eq!(urgency(700), Urgency::Late(priority(0)));
    let reserve = reserve(&[0]);
    assert!(reserve.limit_for(&service(), fresh) < reserve.limit_for(&service(), waited));
}

/// Servers of a service with one kind of request stand idle, because requests yield although
/// nobody else needs the room.
#[test]
fn one_kind_fills() {
    let reserve = reserve(&[2]);
    let limits = LoadLimits::default();
    let limit = |urgency| reserve.limit_for(&service(), urgency);
    assert_eq!(limit(Urgency::InTime(priority(2))), limits.full);
    assert_eq!(limit(Urgency::Late(priority(2))), limits.late);
}

/// A route that is no longer used makes the requests of all others yield for good.
#[test]
fn unused_priority_forgotten() {
    let mut reserve = reserve(&[0, 2]);
    let in_time = Urgency::InTime(priority(2));
    let full = LoadLimits::default().full;
    assert!(reserve.limit_for(&service(), in_time) < full);
    for second in 1..=11 {
        let now = at(second * 1_000);
        reserve.record_request(now, &service(), Priority::new(2));
    }
    assert_eq!(reserve.limit_for(&service(), in_time), full);
}
