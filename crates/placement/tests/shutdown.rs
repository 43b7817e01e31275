//! Tests of how a process shuts down.

use snipemast_core::prelude::*;
use snipemast_placement::shutdown::{Shutdown, MIN_DRAIN};

const GRACE: Span = Span::from_secs(8);

fn at(millis: u64) -> Moment {
    Moment::from_millis(100_000 + millis)
}

fn begun() -> Shutdown {
    let mut shutdown = Shutdown::new();
    shutdown.begin(at(0));
    shutdown
}

/// A stream breaks off during a rolling restart: seven seconds after the entry host was told to
/// end, an idle connection brings a request; the host accepts it, and ends half a second later in
/// the middle of the stream.
#[test]
fn late_request_refused() {
    let shutdown = begun();
    assert!(shutdown.accepts_requests(at(2_000), GRACE));
    assert!(!shutdown.accepts_requests(at(7_000), GRACE));
}

/// A request that is accepted has less than half of the grace period to be answered.
#[test]
fn accepted_has_time() {
    let shutdown = begun();
    let last = (0..8_000)
        .rev()
        .find(|m| shutdown.accepts_requests(at(*m), GRACE))
        .unwrap();
    let end = (0..9_000)
        .find(|m| shutdown.may_end(at(*m), GRACE, 1))
        .unwrap();
    assert!(end - last >= 4_500, "{last} to {end}");
}

/// The process ends while the load balancer may still send it new connections, or stays longer than
/// that.
#[test]
fn ends_when_empty() {
    let shutdown = begun();
    assert!(!shutdown.may_end(at(MIN_DRAIN.as_millis() - 1), GRACE, 0));
    assert!(shutdown.may_end(at(MIN_DRAIN.as_millis()), GRACE, 0));
    assert!(!shutdown.may_end(at(MIN_DRAIN.as_millis()), GRACE, 1));
    assert!(!Shutdown::new().may_end(at(60_000), GRACE, 0));
}

/// Guards against requests that are accepted shortly before a short grace period is over.
#[test]
fn short_grace() {
    let grace = Span::from_secs(3);
    let shutdown = begun();
    assert!(shutdown.accepts_requests(at(900), grace));
    assert!(!shutdown.accepts_requests(at(1_100), grace));
}

/// Guards against a process that ends before it has answered the requests that servers still run.
#[test]
fn answers_before_end() {
    for grace in [GRACE, Span::from_secs(3), Span::from_millis(600)] {
        let shutdown = begun();
        let answers_at = shutdown.answers_at(grace).unwrap();
        assert!(!shutdown.may_end(answers_at, grace, 1), "{grace}");
    }
    assert_eq!(Shutdown::new().answers_at(GRACE), None);
}
