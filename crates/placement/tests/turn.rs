//! Tests of which requests begin first.

use snipemast_core::prelude::*;
use snipemast_placement::urgency::CallerPatience;
use snipemast_placement::{RequestClass, RequestPriority, Reserve, Urgency};

const OBJECTIVE: Span = Span::from_millis(400);

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

/// A request arrives a second after an outage and waits behind all requests that came back after
/// the outage, which are late whenever they begin. It must begin first. The late ones are
/// recognised by the time that their callers have left.
#[test]
fn late_requests_wait() {
    let mut patience = CallerPatience::default();
    let mut spent = |now, left| patience.time_spent(at(now), "read", Span::from_millis(left));
    assert_eq!(spent(0, 8_000), Span::default());
    let back = spent(5_000, 5_300);
    assert_eq!(back, Span::from_millis(2_700));
    let usual = RequestPriority::default();
    let class = RequestClass {
        objective: OBJECTIVE,
        priority: usual,
        least_urgent: false,
    };
    let urgency = |spent| Urgency::new(spent, &class);
    assert_eq!(urgency(back), Urgency::Late(usual));
    assert_eq!(urgency(spent(5_000, 7_990)), Urgency::InTime(usual));
    assert_eq!(urgency(Span::from_millis(300)), Urgency::Late(usual));
    let service = ServiceId::new("lector").unwrap();
    let limit = |urgency| Reserve::default().limit_for(&service, urgency);
    assert!(limit(Urgency::Late(usual)) < limit(Urgency::InTime(usual)));
    assert_eq!(limit(Urgency::Resumed), limit(Urgency::InTime(usual)));
}

/// The callers of a route wait for less time than they used to, and all of them count as callers
/// that ask again, for good.
#[test]
fn shorter_patience_learned() {
    let mut patience = CallerPatience::default();
    patience.time_spent(at(0), "read", Span::from_secs(8));
    let spent = patience.time_spent(at(1_000), "read", Span::from_secs(4));
    assert_eq!(spent, Span::from_secs(4));
    let spent = patience.time_spent(at(31_000), "read", Span::from_secs(4));
    assert_eq!(spent, Span::default());
    assert_eq!(
        patience.time_spent(at(31_000), "write", Span::from_secs(1)),
        Span::default()
    );
}

/// A request of an urgent workspace waits behind others, because the priority of workspaces doesn't
/// count, or counts after that of routes. Lateness counts before both.
#[test]
fn urgent_workspace_first() {
    let priority = |workspace, route| {
        RequestPriority::new(Some(Priority::new(workspace)), Priority::new(route))
    };
    let ordered = [
        Urgency::Resumed,
        Urgency::InTime(priority(0, 0)),
        Urgency::InTime(priority(0, 2)),
        Urgency::InTime(priority(1, 0)),
        Urgency::Yielding(priority(0, 0)),
        Urgency::Late(priority(0, 1)),
        Urgency::Late(priority(1, 0)),
    ];
    assert!(ordered.is_sorted());
    let without = RequestPriority::new(None, Priority::new(2));
    assert_eq!(without, priority(2, 2));
}
