//! The grants of the leader within a server's limit.

use snipemast_core::prelude::*;
use snipemast_registry::{Demand, Grants, LimitEntry};

fn at(millis: u64) -> Moment {
    Moment::from_millis(50_000 + millis)
}

fn id() -> ServerId {
    ServerId::new("i-1").unwrap()
}

fn demand(count: u32) -> Vec<Demand> {
    let limit = LimitEntry {
        start: Incarnation(1),
        rate: None,
        sent: Span::default(),
        seen: Span::default(),
    };
    vec![Demand {
        server: id(),
        limit,
        count,
    }]
}

/// Grants a demand at a moment of a term, for a server whose start and limit are known; returns the
/// number of granted requests.
fn grant(grants: &mut Grants, now: Moment, term: u64, known: (u64, u64), count: u32) -> u32 {
    let (start, rate) = known;
    let limit = |_: &ServerId| Some((Incarnation(start), Rate::per_second(rate)));
    let granted = grants.grant(now, Term(term), &demand(count), limit);
    granted.iter().map(|g| g.count).sum()
}

/// Guards against a new leader that at once grants again what its predecessor has just granted.
#[test]
fn new_leader_waits() {
    let mut grants = Grants::default();
    assert_eq!(grant(&mut grants, at(0), 1, (1, 2), 9), 0);
    assert_eq!(grant(&mut grants, at(500), 1, (1, 2), 9), 1);
    assert_eq!(grant(&mut grants, at(10_000), 2, (1, 2), 9), 0);
    assert_eq!(grant(&mut grants, at(10_500), 2, (1, 2), 9), 1);
}

/// Guards against a burst of grants after a time without demand.
#[test]
fn burst_bounded() {
    let mut grants = Grants::default();
    grant(&mut grants, at(0), 1, (1, 8), 0);
    assert_eq!(grant(&mut grants, at(60_000), 1, (1, 8), 99), 4);
}

/// Guards against a lower limit that takes effect late.
#[test]
fn lower_limit_immediate() {
    let mut grants = Grants::default();
    grant(&mut grants, at(0), 1, (1, 8), 0);
    assert_eq!(grant(&mut grants, at(10_000), 1, (1, 1), 99), 1);
    assert_eq!(grant(&mut grants, at(10_500), 1, (1, 1), 99), 0);
}

/// Guards against a restarted server that gets what was accumulated for its earlier start.
#[test]
fn restart_resets_allowance() {
    let mut grants = Grants::default();
    grant(&mut grants, at(0), 1, (1, 8), 0);
    assert_eq!(grant(&mut grants, at(10_000), 1, (2, 8), 99), 0);
}

/// Guards against one gateway that is granted more than it asks for, and uses up a limit in a burst.
#[test]
fn no_more_than_asked() {
    let mut grants = Grants::default();
    grant(&mut grants, at(0), 1, (1, 8), 0);
    assert_eq!(grant(&mut grants, at(1_000), 1, (1, 8), 1), 1);
    assert_eq!(grant(&mut grants, at(1_000), 1, (1, 8), 2), 2);
    assert_eq!(grant(&mut grants, at(1_000), 1, (1, 8), 9), 1);
}

/// Guards against the end of a limit that nobody notices, because no request is sent there any more.
#[test]
fn one_request_due() {
    let mut grants = Grants::default();
    let limit = |_: &ServerId| Some((Incarnation(1), Rate::per_second(20)));
    let mut due = |millis| {
        let granted = grants.grant(at(millis), Term(1), &demand(1), limit);
        granted.first().map(|g| g.due)
    };
    assert_eq!(due(0), None);
    assert_eq!(due(500), Some(true));
    assert_eq!(due(600), Some(false));
    assert_eq!(due(1_400), Some(false));
    assert_eq!(due(1_500), Some(true));
}
