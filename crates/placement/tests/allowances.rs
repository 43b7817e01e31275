//! Tests of the requests that a gateway sends to servers with rate limits.

use snipemast_core::prelude::*;
use snipemast_placement::allowances::GrantLease;
use snipemast_placement::Allowances;

fn at(millis: u64) -> Moment {
    Moment::from_millis(50_000 + millis)
}

fn id() -> ServerId {
    ServerId::new("i-1").unwrap()
}

fn limited(rate: u64) -> Allowances {
    let mut allowances = Allowances::new(1);
    allowances.observe_gateways(9);
    allowances.add_grants(at(0), std::iter::empty());
    allowances.set_limits(at(0), vec![(id(), Rate::per_second(rate))]);
    allowances
}

fn grant(allowances: &mut Allowances, now: Moment, count: u32, due: bool) {
    let until = now + Span::from_secs(1);
    let granted = GrantLease { count, due, until };
    allowances.add_grants(now, [(id(), granted)].into_iter());
}

/// A gateway that was frozen wakes up and uses old grants, which overloads a server.
#[test]
fn grants_expire() {
    let mut allowances = limited(1);
    assert!(!allowances.admits(at(0), &id()));
    grant(&mut allowances, at(0), 2, false);
    assert!(allowances.admits(at(999), &id()));
    assert!(!allowances.admits(at(1_000), &id()));
}

/// A grant is used more than once.
#[test]
fn grants_are_spent() {
    let mut allowances = limited(1);
    grant(&mut allowances, at(0), 1, false);
    grant(&mut allowances, at(100), 1, true);
    for due in [true, false] {
        assert_eq!(allowances.has_due_grant(at(200), &id()), due);
        assert!(allowances.admits(at(200), &id()));
        allowances.spend(at(200), &id());
    }
    assert!(!allowances.admits(at(200), &id()));
}

/// Grants of a higher limit are still used after a lower limit is known.
#[test]
fn lower_limit_revokes() {
    let mut allowances = limited(8);
    grant(&mut allowances, at(0), 4, false);
    allowances.set_limits(at(100), vec![(id(), Rate::per_second(9))]);
    assert!(allowances.admits(at(100), &id()));
    allowances.set_limits(at(200), vec![(id(), Rate::per_second(1))]);
    assert!(!allowances.admits(at(200), &id()));
}

/// A limit has ended, and requests still avoid the server.
#[test]
fn limit_end_applied() {
    let mut allowances = limited(1);
    allowances.set_limits(at(100), Vec::new());
    assert!(allowances.admits(at(100), &id()));
    assert!(!allowances.is_limited(&id()));
}

/// The leader grants requests that nobody sends. A gateway only asks for what its own requests
/// recently looked for.
#[test]
fn demand_expires() {
    let mut allowances = limited(5);
    for _ in 0..3 {
        allowances.record_demand(at(0), &id());
    }
    assert_eq!(allowances.demand(at(100), &id()), 3);
    grant(&mut allowances, at(100), 2, false);
    assert_eq!(allowances.demand(at(100), &id()), 1);
    assert_eq!(allowances.demand(at(500), &id()), 0);
}

/// All hosts restart while there is no leader, and each sends a limited server a share as if it
/// were the only gateway.
#[test]
fn ungranted_needs_count() {
    let mut allowances = Allowances::new(1);
    allowances.set_limits(at(0), vec![(id(), Rate::per_second(1))]);
    assert!(!allowances.admits(at(3_600_000), &id()));
    allowances.observe_gateways(3);
    assert!(allowances.admits(at(3_600_000), &id()));
    allowances.spend(at(3_600_000), &id());
    assert!(!allowances.admits(at(3_629_999), &id()));
    assert!(allowances.admits(at(3_630_000), &id()));
}
