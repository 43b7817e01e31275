//! Which hosts poll a controller, and which waiting answers that wakes.

use std::net::SocketAddr;

use snipemast_core::prelude::*;
use snipemast_registry::updates::{controllers_digest, InFlight};
use snipemast_registry::{Cursor, Poll, PollerKind, Pollers};

fn poll(version: u64, place: u64) -> Poll {
    let host = HostId::new("host-11").expect("a valid host name");
    Poll {
        version: Version(version),
        announced: Version(version),
        cursor: Cursor {
            epoch: 1,
            revision: place,
        },
        wait: Span::from_millis(250),
        ..Poll::new(host, PollerKind::Gateway)
    }
}

/// Guards against a controller without processor time, because each poll wakes all waiting answers.
#[test]
fn only_changes_wake() {
    let mut pollers = Pollers::default();
    let mut note = |at, poll| pollers.record(Moment::from_millis(at), &poll);
    assert!(note(0, poll(1, 5)));
    assert!(!note(250, poll(1, 5)));
    assert!(note(500, poll(2, 5)));
    assert!(note(750, poll(2, 6)));
    assert!(!note(1_000, poll(2, 6)));
}

/// Guards against a wait for a version on all gateways that misses the last gateway to have it.
#[test]
fn version_everywhere() {
    let mut pollers = Pollers::default();
    let now = Moment::from_millis(100);
    pollers.record(now, &poll(1, 5));
    assert!(!pollers.has_version(now, Version(2)));
    assert!(pollers.record(now, &poll(2, 5)));
    assert!(pollers.has_version(now, Version(2)));
}

/// Guards against counts of requests in flight that fill a controller's link.
#[test]
fn counts_are_short() {
    let mut pollers = Pollers::default();
    let now = Moment::from_millis(100);
    let servers =
        (0..198).map(|n| ServerId::new(format!("i-{n:010x}")).expect("a valid server id"));
    let in_flight: InFlight = servers.map(|server| (server, 7)).collect();
    let with_counts = Poll {
        in_flight,
        ..poll(1, 5)
    };
    pollers.record(now, &with_counts);
    let other = HostId::new("host-12").expect("a valid host name");
    let later = now + Span::from_millis(200);
    let (counts, age) = pollers.in_flight(later, &other);
    assert_eq!(age, Span::from_millis(200));
    assert_eq!(counts.values().sum::<u32>(), 198 * 7);
    let bytes = rmp_serde::to_vec_named(&counts)
        .expect("counts can be written")
        .len();
    assert!(149 * 4 * bytes * 8 <= 17_000_000, "{bytes} bytes");
}

/// Guards against controllers that stay unknown, because another set of them has the same digest.
#[test]
fn controllers_told_apart() {
    let address = |host: u8| SocketAddr::from(([10, 1, 0, host], 7_340));
    let all: Vec<SocketAddr> = (1..=25).map(address).collect();
    let reversed = all.iter().rev().copied();
    let digest = controllers_digest(all.iter().copied());
    assert_eq!(controllers_digest(reversed), digest);
    for left_out in 0..all.len() {
        let mut others = all.clone();
        others.remove(left_out);
        assert_ne!(controllers_digest(others.clone()), digest);
        others.push(address(77));
        assert_ne!(controllers_digest(others), digest);
    }
}
