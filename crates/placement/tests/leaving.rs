//! Servers that said in their answers that they leave.

use snipemast_core::prelude::*;
use snipemast_placement::choice::{Offered, Unplaced, Wanted};
use snipemast_placement::outage::Gate;
use snipemast_placement::{Pool, Servers, Trouble, Turn};

const DRAIN: Span = Span::from_secs(2);

fn at(millis: u64) -> Moment {
    Moment::from_millis(50_000 + millis)
}

fn id(number: usize) -> ServerId {
    ServerId::new(format!("i-{number}")).unwrap()
}

fn offered(number: usize, leaving: Option<Moment>) -> Offered {
    Offered {
        server: id(number),
        start: Incarnation(1),
        pool: Pool {
            service: ServiceId::new("lector").unwrap(),
            group: None,
        },
        address: format!("10.0.0.{number}:80").parse().unwrap(),
        zone: ZoneId::new("a").unwrap(),
        slots: 1,
        leaving,
    }
}

/// So many servers, the first of which said at the moment 0 that it leaves.
fn servers(count: usize) -> Servers {
    let mut servers = Servers::new(ZoneId::new("a").unwrap()).with_drain(DRAIN);
    servers.set_offered((1..=count).map(|n| offered(n, None)).collect());
    servers.note_leaving(at(0), &id(1), Incarnation(1));
    servers
}

fn choose(servers: &mut Servers, now: Moment) -> Result<ServerId, Unplaced> {
    let (pool, gate) = (offered(1, None).pool, Gate::AllBut(Vec::new()));
    let wanted = Wanted {
        service: &pool.service,
        gate: &gate,
        but: &[],
    };
    let choice = servers.choose(now, wanted, Turn::InTime, 7);
    choice.map(|c| c.server)
}

/// A server that leaves is sent requests that another one takes.
#[test]
fn others_come_first() {
    let mut servers = servers(2);
    assert_eq!(choose(&mut servers, at(0)), Ok(id(2)));
    servers.end(&id(2), Incarnation(1));
    assert_eq!(choose(&mut servers, at(10)), Ok(id(2)));
}

/// Nobody else can take a request, and it is refused although a server that leaves serves still.
#[test]
fn serves_what_none_takes() {
    let mut servers = servers(2);
    servers.note_trouble(at(0), &id(2), Incarnation(1), Trouble::Unreachable);
    assert_eq!(choose(&mut servers, at(10)), Ok(id(1)));
    servers.end(&id(1), Incarnation(1));
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
    let news = vec![offered(1, Some(at(0))), offered(2, None)];
    servers.set_offered(news);
    for _ in 0..2 {
        assert_eq!(choose(&mut servers, at(10)), Ok(id(2)));
        servers.end(&id(2), Incarnation(1));
    }
}

/// A stream moves to a server that leaves, or grants are asked for one.
#[test]
fn leaving_is_no_place() {
    let mut servers = servers(1);
    let (pool, gate) = (offered(1, None).pool, Gate::AllBut(Vec::new()));
    let wanted = Wanted {
        service: &pool.service,
        gate: &gate,
        but: &[],
    };
    assert!(!servers.has_free(at(10), wanted));
    servers.set_limits(at(10), vec![(id(1), Rate::per_second(1))]);
    assert!(choose(&mut servers, at(20)).is_err());
    assert_eq!(servers.demand(at(30), &id(1)), 0);
}
