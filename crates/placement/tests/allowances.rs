//! What a gateway sends to servers that name limits.

use snipemast_core::prelude::*;
use snipemast_placement::allowances::Granted;
use snipemast_placement::Allowances;

fn at(millis: u64) -> Moment {
    Moment::from_millis(50_000 + millis)
}

fn id() -> ServerId {
    ServerId::new("i-1").unwrap()
}

fn limited(rate: u64) -> Allowances {
    let mut allowances = Allowances::new(1);
    allowances.see_gateways(9);
    allowances.set_grants(at(0), std::iter::empty());
    allowances.set_limits(at(0), vec![(id(), Rate::per_second(rate))]);
    allowances
}

fn grant(allowances: &mut Allowances, now: Moment, count: u32, due: bool) {
    let until = now + Span::from_secs(1);
    let granted = Granted { count, due, until };
    allowances.set_grants(now, [(id(), granted)].into_iter());
}

/// A gateway sends to a server in need what it was granted long ago, after it stood still.
#[test]
fn grants_end() {
    let mut allowances = limited(1);
    assert!(!allowances.admits(at(0), &id()));
    grant(&mut allowances, at(0), 2, false);
    assert!(allowances.admits(at(999), &id()));
    assert!(!allowances.admits(at(1_000), &id()));
}

/// Each grant is used once.
#[test]
fn grants_are_spent() {
    let mut allowances = limited(1);
    grant(&mut allowances, at(0), 1, false);
    grant(&mut allowances, at(100), 1, true);
    for due in [true, false] {
        assert_eq!(allowances.is_due(at(200), &id()), due);
        assert!(allowances.admits(at(200), &id()));
        allowances.spend(at(200), &id());
    }
    assert!(!allowances.admits(at(200), &id()));
}

/// What was granted of a higher limit is sent after a lower one is known.
#[test]
fn lower_limit_takes_back() {
    let mut allowances = limited(8);
    grant(&mut allowances, at(0), 4, false);
    allowances.set_limits(at(100), vec![(id(), Rate::per_second(9))]);
    assert!(allowances.admits(at(100), &id()));
    allowances.set_limits(at(200), vec![(id(), Rate::per_second(1))]);
    assert!(!allowances.admits(at(200), &id()));
}

/// A limit is over, and requests stay away all the same.
#[test]
fn end_is_taken() {
    let mut allowances = limited(1);
    allowances.set_limits(at(100), Vec::new());
    assert!(allowances.admits(at(100), &id()));
    assert!(!allowances.is_limited(&id()));
}

/// The leader grants what nobody has a use for: a gateway asks only for what its own requests looked for lately.
#[test]
fn demand_fades() {
    let mut allowances = limited(5);
    for _ in 0..3 {
        allowances.note_demand(at(0), &id());
    }
    assert_eq!(allowances.demand(at(100), &id()), 3);
    grant(&mut allowances, at(100), 2, false);
    assert_eq!(allowances.demand(at(100), &id()), 1);
    assert_eq!(allowances.demand(at(500), &id()), 0);
}

/// All hosts start anew while nobody leads, and each sends a server in need a share as if it were alone.
#[test]
fn nothing_alone_among_unknown_many() {
    let mut allowances = Allowances::new(1);
    allowances.set_limits(at(0), vec![(id(), Rate::per_second(1))]);
    assert!(!allowances.admits(at(3_600_000), &id()));
    allowances.see_gateways(3);
    assert!(allowances.admits(at(3_600_000), &id()));
    allowances.spend(at(3_600_000), &id());
    assert!(!allowances.admits(at(3_629_999), &id()));
    assert!(allowances.admits(at(3_630_000), &id()));
}
