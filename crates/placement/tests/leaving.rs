//! Servers that said in their answers that they leave.

mod common;

use snipemast_core::prelude::*;
use snipemast_placement::choice::{AnnouncedServer, Unplaced};
use snipemast_placement::{ServerFault, Servers};

use common::{at, has_free, id, offered};

const DRAIN: Span = Span::from_secs(2);

/// A server with one slot.
fn small(number: usize) -> AnnouncedServer {
    AnnouncedServer {
        slots: 1,
        ..offered(number)
    }
}

/// So many servers, the first of which said at the moment 0 that it leaves.
fn servers(count: usize) -> Servers {
    let mut servers = Servers::new(ZoneId::new("a").unwrap()).with_drain(DRAIN);
    servers.set_announced((1..=count).map(small).collect());
    servers.note_leaving(at(0), &id(1), Incarnation(1));
    servers
}

fn choose(servers: &mut Servers, now: Moment) -> Result<ServerId, Unplaced> {
    common::choose(servers, now).map(|choice| choice.server)
}

/// A server that leaves is sent requests that another one takes.
#[test]
fn others_come_first() {
    let mut servers = servers(2);
    assert_eq!(choose(&mut servers, at(0)), Ok(id(2)));
    servers.release(&id(2), Incarnation(1));
    assert_eq!(choose(&mut servers, at(10)), Ok(id(2)));
}

/// Nobody else can take a request, and it is refused although a server that leaves serves still.
#[test]
fn serves_what_none_takes() {
    let mut servers = servers(2);
    servers.record_fault(at(0), &id(2), Incarnation(1), ServerFault::Unreachable);
    assert_eq!(choose(&mut servers, at(10)), Ok(id(1)));
    servers.release(&id(1), Incarnation(1));
    assert_eq!(choose(&mut servers, at(300)), Ok(id(1)));
}

/// A request is sent to a server that may be gone before it ends.
#[test]
fn leaving_ends() {
    let mut servers = servers(1);
    assert_eq!(choose(&mut servers, at(1_000)), Err(Unplaced::Nobody));
}

/// The news of another server puts one that leaves among those on offer anew.
#[test]
fn news_change_nothing() {
    let mut servers = servers(1);
    let leaving = AnnouncedServer {
        leaving_since: Some(at(0)),
        ..small(1)
    };
    servers.set_announced(vec![leaving, small(2)]);
    for _ in 0..2 {
        assert_eq!(choose(&mut servers, at(10)), Ok(id(2)));
        servers.release(&id(2), Incarnation(1));
    }
}

/// A stream moves to a server that leaves, or grants are asked for one.
#[test]
fn leaving_is_no_place() {
    let mut servers = servers(1);
    assert!(!has_free(&servers, at(10)));
    servers.set_limits(at(10), vec![(id(1), Rate::per_second(1))]);
    assert!(choose(&mut servers, at(20)).is_err());
    assert_eq!(servers.demand(at(30), &id(1)), 0);
}
