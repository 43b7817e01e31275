//! Tests of the room that is kept at servers for urgent requests.

use quickcheck::quickcheck;

use snipemast_core::prelude::*;
use snipemast_placement::choice::{AnnouncedServer, Constraints, Unplaced};
use snipemast_placement::outage::AllowedPools;
use snipemast_placement::{
    LoadLimits, Pool, RequestClass, RequestPriority, Reserve, Servers, Urgency,
};

/// The objective of a route whose callers can't wait, and of one whose callers can.
const SHORT: Span = Span::from_millis(400);
const LONG: Span = Span::from_millis(1_000);

fn at(millis: u64) -> Moment {
    Moment::from_millis(50_000 + millis)
}

fn service() -> ServiceId {
    ServiceId::new("lector").unwrap()
}

fn class(route: u8, objective: Span) -> RequestClass {
    RequestClass {
        objective,
        priority: RequestPriority::new(Some(Priority::new(1)), Priority::new(route)),
        least_urgent: false,
    }
}

/// Returns a new request of this class, as it is looked at.
fn new_request(reserve: &mut Reserve, now: Moment, class: RequestClass) -> Urgency {
    let least_urgent = reserve.record_request(now, &service(), &class);
    Urgency::new(
        Span::default(),
        &RequestClass {
            least_urgent,
            ..class
        },
    )
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
    let mut burst = class(2, SHORT);
    servers.record_request(at(0), &service(), &class(0, SHORT));
    burst.least_urgent = servers.record_request(at(0), &service(), &burst);
    let in_time = Urgency::new(Span::default(), &burst);
    assert_eq!(admitted(&mut servers, in_time), 24);
    let late = Urgency::new(SHORT, &burst);
    assert_eq!(admitted(&mut servers, late), 0);
    let urgent = Urgency::new(Span::default(), &class(0, SHORT));
    assert_eq!(admitted(&mut servers, urgent), 36);
}

/// A request that could wait without being late takes the place of one that can't. It yields until
/// its slack is as small as that of the others.
#[test]
fn patient_requests_yield() {
    let mut reserve = Reserve::default();
    let urgent = new_request(&mut reserve, at(0), class(0, SHORT));
    let patient = new_request(&mut reserve, at(0), class(0, LONG));
    assert!(urgent < patient);
    let limit = |urgency| reserve.limit_for(&service(), urgency);
    assert!(limit(patient) < limit(urgent));
    let waited = Urgency::new(Span::from_millis(400), &class(0, LONG));
    assert_eq!(waited, urgent);
    assert!(Urgency::new(Span::from_millis(700), &class(0, LONG)).is_late());
}

/// Servers of a service with one kind of request stand idle, because requests yield although
/// nobody else needs the room.
#[test]
fn one_kind_fills() {
    let limits = LoadLimits::default();
    for objective in [SHORT, LONG] {
        let mut reserve = Reserve::default();
        new_request(&mut reserve, at(0), class(2, objective));
        let again = new_request(&mut reserve, at(10), class(2, objective));
        assert_eq!(reserve.limit_for(&service(), again), limits.full);
        let late = Urgency::Late(class(2, objective).priority);
        assert_eq!(reserve.limit_for(&service(), late), limits.late);
    }
}

/// Two kinds of request that can both wait keep room at servers for nobody, and wait themselves.
#[test]
fn no_room_for_nobody() {
    let mut reserve = Reserve::default();
    let limits = LoadLimits::default();
    for route in [0, 2] {
        new_request(&mut reserve, at(0), class(route, LONG));
    }
    let request = new_request(&mut reserve, at(10), class(2, LONG));
    assert_eq!(reserve.limit_for(&service(), request), limits.full);
    let urgent = new_request(&mut reserve, at(20), class(1, SHORT));
    assert_eq!(reserve.limit_for(&service(), urgent), limits.full);
    assert_eq!(reserve.limit_for(&service(), request), limits.yielding);
}

/// A route that is no longer used makes the requests of all others yield for good.
#[test]
fn unused_kind_forgotten() {
    let mut reserve = Reserve::default();
    let full = LoadLimits::default().full;
    new_request(&mut reserve, at(0), class(0, SHORT));
    let second = new_request(&mut reserve, at(10), class(2, SHORT));
    assert!(reserve.limit_for(&service(), second) < full);
    let later = new_request(&mut reserve, at(10_500), class(2, SHORT));
    assert_eq!(later, Urgency::InTime(class(2, SHORT).priority));
    assert_eq!(reserve.limit_for(&service(), later), full);
}

/// A waiting request finds no place and keeps a less urgent one from looking, although servers
/// would take that one. Limits must not grow as urgency falls.
#[test]
fn limits_fall_with_urgency() {
    quickcheck(check_limits as fn(Vec<(u8, u8, bool)>, Vec<u16>));
}

fn check_limits(kinds: Vec<(u8, u8, bool)>, spent: Vec<u16>) {
    let mut reserve = Reserve::default();
    let mut urgencies = vec![Urgency::Resumed];
    for (workspace, route, patient) in kinds {
        let mut class = class(route % 4, if patient { LONG } else { SHORT });
        class.priority.workspace = Priority::new(workspace % 3);
        class.least_urgent = reserve.record_request(at(0), &service(), &class);
        let spent = spent
            .iter()
            .map(|millis| Span::from_millis((*millis).into()));
        urgencies.extend(spent.map(|spent| Urgency::new(spent, &class)));
    }
    urgencies.sort();
    let limits: Vec<u32> = urgencies
        .into_iter()
        .map(|urgency| reserve.limit_for(&service(), urgency))
        .collect();
    assert!(limits.is_sorted_by(|a, b| a >= b), "{limits:?}");
}
