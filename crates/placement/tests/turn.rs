//! Tests of which requests begin first.

use snipemast_core::prelude::*;
use snipemast_placement::urgency::{CallerPatience, LoadLimits, Urgency};

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
    assert_eq!(Urgency::new(back, OBJECTIVE), Urgency::Late);
    assert_eq!(
        Urgency::new(spent(5_000, 7_990), OBJECTIVE),
        Urgency::InTime
    );
    assert_eq!(
        Urgency::new(Span::from_millis(300), OBJECTIVE),
        Urgency::Late
    );
    let limits = LoadLimits::default();
    assert!(limits.limit_for(Urgency::Late) < limits.limit_for(Urgency::InTime));
    assert_eq!(limits.limit_for(Urgency::Resumed), limits.full);
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
