//! Who polls a controller, and whom that wakes.

use snipemast_core::prelude::*;
use snipemast_registry::news::Flying;
use snipemast_registry::{Cursor, Poll, PollerKind, Pollers};

fn poll(version: u64, place: u64) -> Poll {
    let host = HostId::new("host-11").expect("a host's name");
    Poll {
        version: Version(version),
        told: Version(version),
        wants_document: true,
        cursor: Cursor {
            epoch: 1,
            revision: place,
        },
        wait: Span::from_millis(250),
        ..Poll::new(host, PollerKind::Gateway)
    }
}

/// A controller of 350 hosts has no processor left for operators: each of its hosts' polls wakes all
/// answers that wait, half a million times a second. Only a poll that shows something new does.
#[test]
fn only_news_wakes() {
    let mut pollers = Pollers::default();
    let mut note = |at, poll| pollers.record(Moment::from_millis(at), &poll);
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
    pollers.record(now, &poll(1, 5));
    assert!(!pollers.has_version(now, Version(2)));
    assert!(pollers.record(now, &poll(2, 5)));
    assert!(pollers.has_version(now, Version(2)));
}

/// A controller's link carries little but counts: 149 gateways are told four times a second what others have in
/// flight at 198 servers. They fit into a tenth of the link of 170 Mbit/s.
#[test]
fn counts_are_short() {
    let mut pollers = Pollers::default();
    let now = Moment::from_millis(100);
    let servers = (0..198).map(|n| ServerId::new(format!("i-{n:010x}")).expect("a server's name"));
    let in_flight: Flying = servers.map(|server| (server, 7)).collect();
    let with_counts = Poll {
        in_flight,
        ..poll(1, 5)
    };
    pollers.record(now, &with_counts);
    let other = HostId::new("host-12").expect("a host's name");
    let later = now + Span::from_millis(200);
    let (told, age) = pollers.in_flight(later, &other);
    assert_eq!(age, Span::from_millis(200));
    assert_eq!(told.values().sum::<u32>(), 198 * 7);
    let bytes = rmp_serde::to_vec_named(&told)
        .expect("counts can be written")
        .len();
    assert!(149 * 4 * bytes * 8 <= 17_000_000, "{bytes} bytes");
}
