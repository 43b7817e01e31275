//! Tests of when requests come back if all servers are limited or resting.

use snipemast_core::prelude::*;
use snipemast_placement::outage::Deferral;
use snipemast_placement::returns::{HeldRequest, RetrySchedule};

const NOW: Moment = Moment::from_millis(50_000);

fn service() -> ServiceId {
    ServiceId::new("lector").unwrap()
}

/// Returns a request that has just arrived, with three seconds left, at one of nine gateways, for
/// servers that take `limit` requests a second.
fn held(limit: u64) -> HeldRequest {
    HeldRequest {
        waited: Span::default(),
        objective: Span::from_millis(400),
        left: Span::from_secs(3),
        opens_at: NOW,
        limit: Rate::per_second(limit),
        gateways: 9,
    }
}

/// All callers of a limited service are told to come back at the same time, and all but one are
/// refused again.
#[test]
fn retries_are_spread() {
    let mut retries = RetrySchedule::default();
    let deferrals: Vec<Deferral> = (0..6)
        .map(|_| retries.schedule(NOW, &service(), held(45)))
        .collect();
    let expected = [200, 400, 600, 800, 1_000, 1_000].map(Span::from_millis);
    let waits = expected[..2].iter().map(|span| Deferral::Queue(*span));
    let backs = expected[2..].iter().map(|span| Deferral::RetryLater(*span));
    assert_eq!(deferrals, waits.chain(backs).collect::<Vec<_>>());
}

/// A request that could be on time is sent back, or one that can't waits in the gateway.
#[test]
fn waits_only_on_time() {
    let mut retries = RetrySchedule::default();
    let late = HeldRequest {
        waited: Span::from_millis(300),
        ..held(45)
    };
    let deferral = retries.schedule(NOW, &service(), late);
    assert_eq!(deferral, Deferral::RetryLater(Span::from_millis(200)));
}

/// A schedule from long ago delays new requests, or a limit of zero causes a division by zero.
#[test]
fn old_schedule_ignored() {
    let mut retries = RetrySchedule::default();
    for _ in 0..9 {
        retries.schedule(NOW, &service(), held(45));
    }
    let later = NOW + Span::from_secs(2);
    let deferral = retries.schedule(later, &service(), held(45));
    assert_eq!(deferral, Deferral::Queue(Span::from_millis(200)));
    let deferral = retries.schedule(later, &service(), held(0));
    assert_eq!(deferral, Deferral::RetryLater(Span::from_secs(1)));
}

/// All callers of a service whose servers rest are told to come back before the first rest is over.
#[test]
fn retries_after_rest() {
    let mut retries = RetrySchedule::default();
    let mut schedule = |opens: u64| {
        let opens_at = NOW + Span::from_millis(opens);
        retries.schedule(
            NOW,
            &service(),
            HeldRequest {
                opens_at,
                ..held(45)
            },
        )
    };
    assert_eq!(schedule(100), Deferral::Queue(Span::from_millis(300)));
    assert_eq!(schedule(100), Deferral::RetryLater(Span::from_millis(500)));
    assert_eq!(schedule(60_000), Deferral::RetryLater(Span::from_secs(1)));
}
