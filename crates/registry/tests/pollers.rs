//! Who polls a controller, and whom that wakes.

use snipemast_core::prelude::*;
use snipemast_registry::{Cursor, Poll, PollerKind, Pollers};

fn poll(version: u64, place: u64) -> Poll {
    Poll {
        host: HostId::new("host-11").expect("a host's name"),
        kind: PollerKind::Gateway,
        version: Version(version),
        told: Version(version),
        wanted: true,
        cursor: Cursor { epoch: 1, place },
        wait: Span::from_millis(250),
        flying: Vec::new(),
        slow: Vec::new(),
    }
}

/// A controller of 350 hosts has no processor left for operators: each of its hosts' polls wakes all
/// answers that wait, half a million times a second. Only a poll that shows something new does.
#[test]
fn only_news_wakes() {
    let mut pollers = Pollers::default();
    let mut note = |at, poll| pollers.note(Moment::from_millis(at), &poll);
    assert!(note(0, poll(1, 5)));
    assert!(!note(250, poll(1, 5)));
    assert!(note(500, poll(2, 5)));
    assert!(note(750, poll(2, 6)));
    assert!(!note(1_000, poll(2, 6)));
}

/// Whoever waits until all have a version learns of the last one's.
#[test]
fn version_everywhere() {
    let mut pollers = Pollers::default();
    let now = Moment::from_millis(100);
    pollers.note(now, &poll(1, 5));
    assert!(!pollers.has_version(now, Version(2)));
    assert!(pollers.note(now, &poll(2, 5)));
    assert!(pollers.has_version(now, Version(2)));
}
