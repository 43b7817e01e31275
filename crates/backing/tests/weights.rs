//! The order and rate in which the budget of the weight store grants loads.

use snipemast_backing::weights::{
    Budget, BudgetInput, BudgetOutput, LoadId, LoadRequest, Quota, Urgency,
};
use snipemast_core::prelude::*;

fn quota() -> Quota {
    Quota {
        rate: Size::from_bytes(100),
        burst: Size::from_bytes(200),
        reserve: Size::from_bytes(100),
        queue: 8,
    }
}

fn request(load: u64, group: &str, size: u64, urgency: Urgency) -> BudgetInput {
    BudgetInput::Request(LoadRequest {
        load: LoadId::new(load),
        group: GroupId::new(group).expect("a valid name"),
        size: Size::from_bytes(size),
        urgency,
    })
}

fn no_loads() -> Vec<u64> {
    Vec::new()
}

fn granted_loads(out: &[BudgetOutput]) -> Vec<u64> {
    let granted = out.iter().filter_map(|o| match o {
        BudgetOutput::Grant(load) => Some(load.get()),
        _ => None,
    });
    granted.collect()
}

/// Guards against a restarted server that waits with its model's load behind the loads of rebalancing groups,
/// although they have to leave a reserve for it.
#[test]
fn server_first() {
    let mut budget = Budget::new(quota());
    let now = Moment::from_millis(0);
    let first = budget.handle(now, request(1, "a", 100, Urgency::Ahead));
    assert_eq!(granted_loads(&first), [1]);
    assert_eq!(
        granted_loads(&budget.handle(now, request(2, "b", 50, Urgency::Ahead))),
        no_loads()
    );
    let served = budget.handle(now, request(3, "c", 100, Urgency::Serve));
    assert_eq!(granted_loads(&served), [3]);
    assert_eq!(
        granted_loads(&budget.handle(now, request(4, "c", 100, Urgency::Serve))),
        no_loads()
    );
    let later = budget.handle(Moment::from_millis(1_000), BudgetInput::Tick);
    assert_eq!(granted_loads(&later), [4]);
    let last = budget.handle(Moment::from_millis(2_500), BudgetInput::Tick);
    assert_eq!(granted_loads(&last), [2]);
}

/// Guards against a group whose many loads starve those of another group.
#[test]
fn groups_share() {
    let mut budget = Budget::new(quota());
    let now = Moment::ZERO;
    budget.handle(now, request(1, "a", 200, Urgency::Form));
    for load in 2..5 {
        budget.handle(now, request(load, "a", 100, Urgency::Form));
    }
    budget.handle(now, request(9, "b", 100, Urgency::Form));
    let next = budget.handle(Moment::from_millis(1_000), BudgetInput::Tick);
    assert_eq!(granted_loads(&next), [9]);
}

/// Guards against a budget that loses what was not read of a cancelled load, such as that of an aborted map.
#[test]
fn cancel_returns() {
    let mut budget = Budget::new(quota());
    let now = Moment::ZERO;
    assert_eq!(
        granted_loads(&budget.handle(now, request(1, "a", 200, Urgency::Form))),
        [1]
    );
    assert_eq!(
        granted_loads(&budget.handle(now, request(2, "b", 150, Urgency::Form))),
        no_loads()
    );
    let unread = Size::from_bytes(160);
    let out = budget.handle(now, BudgetInput::Cancel(LoadId::new(1), unread));
    assert_eq!(granted_loads(&out), [2]);
}

/// Guards against queues that grow without limit, or that refuse urgent loads because a less urgent queue is full.
#[test]
fn queue_bounded() {
    let mut budget = Budget::new(quota());
    let now = Moment::ZERO;
    for load in 0..9 {
        budget.handle(now, request(load, "a", 200, Urgency::Form));
    }
    let out = budget.handle(now, request(10, "a", 200, Urgency::Form));
    assert!(out.contains(&BudgetOutput::Refuse(LoadId::new(10))));
    let other = budget.handle(now, request(11, "a", 200, Urgency::Serve));
    assert!(!other.contains(&BudgetOutput::Refuse(LoadId::new(11))));
}

/// Guards against a load that is granted twice because its request was sent again.
#[test]
fn resend_granted_once() {
    let mut budget = Budget::new(quota());
    let now = Moment::ZERO;
    assert_eq!(
        granted_loads(&budget.handle(now, request(1, "a", 50, Urgency::Form))),
        [1]
    );
    assert_eq!(
        granted_loads(&budget.handle(now, request(1, "a", 50, Urgency::Form))),
        no_loads()
    );
}

/// Guards against a load larger than the bucket that is never granted.
#[test]
fn large_not_starved() {
    let mut budget = Budget::new(quota());
    let out = budget.handle(Moment::ZERO, request(1, "a", 1_000, Urgency::Serve));
    assert_eq!(granted_loads(&out), [1]);
    let out = budget.handle(Moment::ZERO, request(2, "a", 100, Urgency::Serve));
    assert_eq!(out, [BudgetOutput::Wake(Moment::from_millis(9_000))]);
}
