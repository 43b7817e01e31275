//! Servers that start again under the id that they had.

use std::net::SocketAddr;

use quickcheck::{quickcheck, Arbitrary, Gen};

use snipemast_core::prelude::*;
use snipemast_registry::table::SILENCE;
use snipemast_registry::{Announcement, Standing, Table};

fn id() -> ServerId {
    ServerId::new("i-1").expect("an id")
}

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 80))
}

fn heartbeat(start: u64, sequence: u64, draining: bool) -> Announcement {
    Announcement {
        id: id(),
        start: Incarnation(start),
        service: ServiceId::new("lector").expect("a name"),
        address: address(1),
        zone: ZoneId::new("a").expect("a name"),
        slots: 4,
        draining,
        sequence,
    }
}

fn at(millis: u64) -> Moment {
    Moment::from_millis(100_000 + millis)
}

fn standing(table: &Table) -> Option<Standing> {
    table.get(&id()).map(|k| k.standing)
}

/// Tells each table what the other one knows, until neither learns anything.
fn exchange(now: Moment, a: &mut Table, b: &mut Table) {
    for _ in 0..2 {
        for entry in a.since(0, now) {
            b.merge(now, entry);
        }
        for entry in b.since(0, now) {
            a.merge(now, entry);
        }
    }
}

/// A user's requests get no answer from a server that stands idle: it crashed and started again under its
/// id, its heartbeats count from 1 again, and each one is taken for an old one that comes late.
#[test]
fn counts_begin_anew() {
    let mut table = Table::new();
    for sequence in 1..40 {
        table.record_heartbeat(at(sequence * 1_200), heartbeat(1_000, sequence, false));
    }
    assert!(table.record_heartbeat(at(60_000), heartbeat(53_000, 1, false)));
    table.record_heartbeat(at(61_200), heartbeat(53_000, 2, false));
    table.expire(at(80_000));
    assert_eq!(standing(&table), Some(Standing::Ready));
    let known = table.get(&id()).expect("it is known");
    assert_eq!(known.announcement.start, Incarnation(53_000));
}

/// A server that was leaving, or had said good-bye, takes requests again once it has started again.
#[test]
fn leaving_ends_with_the_start() {
    let mut table = Table::new();
    table.record_heartbeat(at(0), heartbeat(1_000, 5, true));
    assert_eq!(standing(&table), Some(Standing::Draining));
    table.record_heartbeat(at(3_000), heartbeat(4_000, 1, false));
    assert_eq!(standing(&table), Some(Standing::Ready));
    table.record_goodbye(at(5_000), &id());
    assert_eq!(standing(&table), Some(Standing::Gone));
    table.record_heartbeat(at(9_000), heartbeat(9_500, 1, false));
    assert_eq!(standing(&table), Some(Standing::Ready));
}

/// A user's request is sent to a server's earlier start: a heartbeat of that one was held up behind a cut,
/// and arrives after the new one's. It counts for nothing, whatever its count.
#[test]
fn earlier_start_outdated() {
    let mut table = Table::new();
    table.record_heartbeat(at(0), heartbeat(2_000, 1, false));
    assert!(!table.record_heartbeat(at(500), heartbeat(1_000, 90, true)));
    assert_eq!(standing(&table), Some(Standing::Ready));
    let known = table.get(&id()).expect("it is known");
    assert_eq!((known.announcement.sequence, known.heard), (1, at(0)));
}

/// A user's request reaches a server that has left: its good-bye came to a controller that was cut off and
/// knew only the start before. What the others tell of the later one is older than the good-bye.
#[test]
fn farewell_of_unknown_start() {
    let (mut cut, mut other) = (Table::new(), Table::new());
    cut.record_heartbeat(at(0), heartbeat(1_000, 9, false));
    other.record_heartbeat(at(4_000), heartbeat(3_000, 1, false));
    cut.record_goodbye(at(6_000), &id());
    exchange(at(6_500), &mut cut, &mut other);
    assert_eq!(standing(&cut), Some(Standing::Gone));
    assert_eq!(standing(&other), Some(Standing::Gone));
}

/// A server stands idle for as long as it runs: the good-bye of its earlier start was held up and crossed
/// the first heartbeats of the new one. It goes on announcing itself, and is believed in the end.
#[test]
fn crossed_farewell_outlived() {
    let mut table = Table::new();
    table.record_heartbeat(at(0), heartbeat(1_000, 9, false));
    table.record_heartbeat(at(3_000), heartbeat(3_000, 1, false));
    table.record_goodbye(at(3_500), &id());
    for sequence in 2..40 {
        table.record_heartbeat(
            at(3_000 + sequence * 1_200),
            heartbeat(3_000, sequence, false),
        );
    }
    assert_eq!(standing(&table), Some(Standing::Ready));
}

/// A heartbeat that was sent before a good-bye and arrives some seconds after it brings nobody back.
#[test]
fn late_heartbeat_ignored() {
    let mut table = Table::new();
    table.record_heartbeat(at(0), heartbeat(1_000, 9, false));
    table.record_goodbye(at(1_000), &id());
    assert!(!table.record_heartbeat(at(9_000), heartbeat(1_000, 10, false)));
    assert_eq!(standing(&table), Some(Standing::Gone));
}

/// A server stands idle for good: the time of day was set back between two of its starts, so the later one
/// seems the earlier. It is believed once the other has been silent for long.
#[test]
fn clock_set_back() {
    let (mut table, mut other) = (Table::new(), Table::new());
    table.record_heartbeat(at(0), heartbeat(9_000, 3, false));
    exchange(at(10), &mut table, &mut other);
    let later = at(SILENCE.as_millis() + 2_000);
    table.record_heartbeat(at(2_000), heartbeat(7_000, 1, false));
    assert!(table.record_heartbeat(later, heartbeat(7_000, 25, false)));
    exchange(later + Span::from_millis(5), &mut table, &mut other);
    for table in [&table, &other] {
        let known = table.get(&id()).expect("it is known");
        assert_eq!(known.announcement.start, Incarnation(7_000));
        assert_eq!(known.standing, Standing::Ready);
    }
}

/// A user's request is sent to a server that crashed, at an address that another one has by now: a held-up
/// heartbeat of the first came after the other's. Whoever started last holds the address.
#[test]
fn address_of_later_start() {
    let mut table = Table::new();
    let other = ServerId::new("i-2").expect("an id");
    table.record_heartbeat(at(0), heartbeat(1_000, 1, false));
    table.record_heartbeat(
        at(5_000),
        Announcement {
            id: other.clone(),
            ..heartbeat(4_000, 1, false)
        },
    );
    table.record_heartbeat(at(6_000), heartbeat(1_000, 2, false));
    assert_eq!(standing(&table), Some(Standing::Lost));
    assert_eq!(table.get(&other).map(|k| k.standing), Some(Standing::Ready));
}

/// What a server says: a heartbeat of one of its starts, or a good-bye of the start that is known.
#[derive(Debug, Clone)]
struct Said {
    start: u64,
    sequence: u64,
    draining: bool,
}

impl Arbitrary for Said {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            start: u64::arbitrary(g) % 3 * 1_000 + 1_000,
            sequence: u64::arbitrary(g) % 5,
            draining: u8::arbitrary(g) % 4 == 0,
        }
    }
}

quickcheck! {
    /// Heartbeats of several starts come in any order to any of two tables, which tell each other: both end
    /// alike, with the latest start, and that one leaves if it ever said so.
    fn any_order_ends_alike(said: Vec<(Said, bool)>, between: Vec<bool>) -> bool {
        let (mut a, mut b) = (Table::new(), Table::new());
        let mut now = at(0);
        let mut between = between.into_iter();
        for (said, first) in &said {
            now = now + Span::from_millis(20);
            let table = if *first { &mut a } else { &mut b };
            table.record_heartbeat(now, heartbeat(said.start, said.sequence, said.draining));
            if between.next().unwrap_or(false) {
                exchange(now, &mut a, &mut b);
            }
        }
        exchange(now, &mut a, &mut b);
        let start = said.iter().map(|(s, _)| s.start).max();
        let mut latest = said.iter().filter(|(s, _)| Some(s.start) == start);
        let leaves = latest.any(|(s, _)| s.draining);
        let told = |table: &Table| {
            table.get(&id()).map(|k| (k.announcement.start.get(), k.standing))
        };
        let standing = if leaves { Standing::Draining } else { Standing::Ready };
        told(&a) == told(&b) && told(&a) == start.map(|start| (start, standing))
    }

    /// A good-bye comes to one of two tables among heartbeats: once both have told each other, none takes
    /// the start for ready that was known where the good-bye came.
    fn farewell_holds(said: Vec<(Said, bool)>, at_first: bool) -> bool {
        let (mut a, mut b) = (Table::new(), Table::new());
        let mut now = at(0);
        for (said, first) in &said {
            now = now + Span::from_millis(20);
            let table = if *first { &mut a } else { &mut b };
            table.record_heartbeat(now, heartbeat(said.start, said.sequence, said.draining));
        }
        let table = if at_first { &mut a } else { &mut b };
        now = now + Span::from_millis(20);
        table.record_goodbye(now, &id());
        exchange(now, &mut a, &mut b);
        let gone = |table: &Table| standing(table).is_none_or(|s| s == Standing::Gone);
        gone(&a) && gone(&b)
    }
}
