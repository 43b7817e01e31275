//! Tests of servers that said in an answer that they are leaving.

mod common;

use snipemast_core::prelude::*;
use snipemast_placement::choice::{AnnouncedServer, Unplaced};
use snipemast_placement::{ServerFault, Servers};

use common::{announced, at, has_free_slot, id};

const DRAIN: Span = Span::from_secs(2);

/// Returns the announcement of a server with one slot.
fn small(number: usize) -> AnnouncedServer {
    AnnouncedServer {
        slots: 1,
        ..announced(number)
    }
}

/// Returns a view of `count` servers, of which the first said at the moment 0 that it is leaving.
fn servers(count: usize) -> Servers {
    let mut servers = Servers::new(ZoneId::new("a").unwrap()).with_drain(DRAIN);
    servers.set_announced(Moment::ZERO, (1..=count).map(small).collect());
    servers.record_leaving(at(0), &id(1), Incarnation(1));
    servers
}

fn choose(servers: &mut Servers, now: Moment) -> Result<ServerId, Unplaced> {
    common::choose(servers, now).map(|choice| choice.server)
}

/// A leaving server is sent requests that another server would take.
#[test]
fn others_preferred() {
    let mut servers = servers(2);
    assert_eq!(choose(&mut servers, at(0)), Ok(id(2)));
    servers.release(&id(2), Incarnation(1));
    assert_eq!(choose(&mut servers, at(10)), Ok(id(2)));
}

/// No other server takes a request, and it is refused although a leaving server still serves.
#[test]
fn last_resort_used() {
    let mut servers = servers(2);
    servers.record_fault(at(0), &id(2), Incarnation(1), ServerFault::Unreachable);
    assert_eq!(choose(&mut servers, at(10)), Ok(id(1)));
    servers.release(&id(1), Incarnation(1));
    assert_eq!(choose(&mut servers, at(300)), Ok(id(1)));
}

/// A request is sent to a leaving server that may be gone before the request ends.
#[test]
fn drain_ends() {
    let mut servers = servers(1);
    assert_eq!(choose(&mut servers, at(1_000)), Err(Unplaced::Nobody));
}

/// News of another server is applied, and a leaving server counts as staying again.
#[test]
fn news_keep_leaving() {
    let mut servers = servers(1);
    let leaving = AnnouncedServer {
        leaving_since: Some(at(0)),
        ..small(1)
    };
    servers.set_announced(Moment::ZERO, vec![leaving, small(2)]);
    for _ in 0..2 {
        assert_eq!(choose(&mut servers, at(10)), Ok(id(2)));
        servers.release(&id(2), Incarnation(1));
    }
}

/// A stream moves to a leaving server, or the leader is asked for grants for it.
#[test]
fn leaving_not_free() {
    let mut servers = servers(1);
    assert!(!has_free_slot(&servers, at(10)));
    servers.set_limits(at(10), vec![(id(1), Rate::per_second(1))]);
    assert!(choose(&mut servers, at(20)).is_err());
    assert_eq!(servers.demand(at(30), &id(1)), 0);
}
