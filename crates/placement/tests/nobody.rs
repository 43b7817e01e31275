//! Tests of requests whose service has servers, of which none may be chosen.

mod common;

use snipemast_core::prelude::*;
use snipemast_placement::choice::{AnnouncedServer, Constraints, Unplaced};
use snipemast_placement::outage::AllowedPools;
use snipemast_placement::{Servers, Urgency};

use common::{announced, at, choose, has_free_slot, id};

const DRAIN: Span = Span::from_secs(2);

/// Returns a view of one server with one slot.
fn one_server() -> Servers {
    let mut servers = Servers::new(ZoneId::new("a").unwrap()).with_drain(DRAIN);
    let small = AnnouncedServer {
        slots: 1,
        ..announced(1)
    };
    servers.set_announced(Moment::ZERO, vec![small]);
    servers
}

/// A service whose last server leaves is full for a moment. Its streams are refused as if it had no server, although a slot
/// comes free within the time that they may wait.
#[test]
fn leaving_and_full() {
    let mut servers = one_server();
    servers.record_leaving(at(0), &id(1), Incarnation(1));
    while choose(&mut servers, at(10)).is_ok() {}
    assert!(!has_free_slot(&servers, at(20)));
    let unplaced = choose(&mut servers, at(20)).unwrap_err();
    assert_eq!(unplaced, Unplaced::AllFull);
}

/// A request that every server of its service refused, without running it, is refused as if the service had no server.
#[test]
fn all_excluded() {
    let mut servers = one_server();
    let excluded = [id(1)];
    let service = announced(1).pool.service;
    let constraints = Constraints {
        service: &service,
        allowed: &AllowedPools::AllExcept(Vec::new()),
        excluded: &excluded,
    };
    let chosen = servers.choose(at(10), constraints, Urgency::default(), 0);
    assert_ne!(chosen.unwrap_err(), Unplaced::Nobody);
}

/// A service without any server, the only case of which the refusal is true, and which no test told apart from the others.
#[test]
fn none_known() {
    let mut servers = Servers::new(ZoneId::new("a").unwrap());
    assert_eq!(choose(&mut servers, at(0)).unwrap_err(), Unplaced::Nobody);
}
