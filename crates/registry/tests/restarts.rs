//! Servers that restart under their previous id.

mod common;

use quickcheck::{quickcheck, Arbitrary, Gen};

use snipemast_core::departures::Departure;
use snipemast_core::prelude::*;
use snipemast_registry::table::SILENCE_TIMEOUT;
use snipemast_registry::{Announcement, Standing, StartState, Table};

use common::{announced, at, id};

fn heartbeat(start: u64, sequence: u64, draining: bool) -> Announcement {
    Announcement {
        draining,
        sequence,
        ..announced(start)
    }
}

fn standing(table: &Table) -> Option<Standing> {
    table.get(&id()).map(|k| k.standing)
}

/// Merges each table into the other one, until neither changes.
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

/// Guards against a restarted server without requests, whose heartbeats count from 1 again and seem to be late.
#[test]
fn sequence_restarts() {
    let mut table = Table::new();
    for sequence in 1..40 {
        table.record_heartbeat(at(sequence * 1_200), heartbeat(1_000, sequence, false));
    }
    assert!(table.record_heartbeat(at(60_000), heartbeat(53_000, 1, false)));
    table.record_heartbeat(at(61_200), heartbeat(53_000, 2, false));
    table.expire(at(80_000));
    assert_eq!(standing(&table), Some(Standing::Ready));
    let known = table.get(&id()).expect("the server is known");
    assert_eq!(known.announcement.start, Incarnation(53_000));
}

/// Guards against a restarted server without requests, because its earlier start was draining or gone.
#[test]
fn leaving_ends_with_start() {
    let mut table = Table::new();
    table.record_heartbeat(at(0), heartbeat(1_000, 5, true));
    assert_eq!(standing(&table), Some(Standing::Draining));
    table.record_heartbeat(at(3_000), heartbeat(4_000, 1, false));
    assert_eq!(standing(&table), Some(Standing::Ready));
    table.record_deregistration(at(5_000), &id());
    assert_eq!(standing(&table), Some(Standing::Gone));
    table.record_heartbeat(at(9_000), heartbeat(9_500, 1, false));
    assert_eq!(standing(&table), Some(Standing::Ready));
}

/// Guards against requests to a server's earlier start, a heartbeat of which was delayed by a cut.
#[test]
fn earlier_start_outdated() {
    let mut table = Table::new();
    table.record_heartbeat(at(0), heartbeat(2_000, 1, false));
    assert!(!table.record_heartbeat(at(500), heartbeat(1_000, 90, true)));
    assert_eq!(standing(&table), Some(Standing::Ready));
    let known = table.get(&id()).expect("the server is known");
    assert_eq!((known.announcement.sequence, known.last_seen), (1, at(0)));
}

/// Guards against requests to a server that deregistered at a controller which knew only its earlier start.
#[test]
fn unknown_start_deregisters() {
    let (mut cut, mut other) = (Table::new(), Table::new());
    cut.record_heartbeat(at(0), heartbeat(1_000, 9, false));
    other.record_heartbeat(at(4_000), heartbeat(3_000, 1, false));
    cut.record_deregistration(at(6_000), &id());
    exchange(at(6_500), &mut cut, &mut other);
    assert_eq!(standing(&cut), Some(Standing::Gone));
    assert_eq!(standing(&other), Some(Standing::Gone));
}

/// Guards against a server without requests, because its earlier start's deregistration was delayed.
#[test]
fn delayed_deregistration_refuted() {
    let mut table = Table::new();
    table.record_heartbeat(at(0), heartbeat(1_000, 9, false));
    table.record_heartbeat(at(3_000), heartbeat(3_000, 1, false));
    table.record_deregistration(at(3_500), &id());
    for sequence in 2..40 {
        table.record_heartbeat(
            at(3_000 + sequence * 1_200),
            heartbeat(3_000, sequence, false),
        );
    }
    assert_eq!(standing(&table), Some(Standing::Ready));
}

/// Guards against a server that is back by a heartbeat which was sent before its deregistration.
#[test]
fn late_heartbeat_ignored() {
    let mut table = Table::new();
    table.record_heartbeat(at(0), heartbeat(1_000, 9, false));
    table.record_deregistration(at(1_000), &id());
    assert!(!table.record_heartbeat(at(9_000), heartbeat(1_000, 10, false)));
    assert_eq!(standing(&table), Some(Standing::Gone));
}

/// Guards against a departure in the log that spares late heartbeats, or covers a later start.
#[test]
fn departure_covers_start() {
    let departure = Departure {
        server: id(),
        start: Some(Incarnation(1)),
    };
    let mut unknown = Table::new();
    unknown.record_departure(at(1_000), &departure);
    let mut known = Table::new();
    known.record_heartbeat(at(500), heartbeat(1, 3, false));
    assert!(known.record_departure(at(1_000), &departure));
    for table in [&mut unknown, &mut known] {
        table.record_heartbeat(at(5_000), heartbeat(1, 2, false));
        assert_eq!(standing(table), Some(Standing::Gone));
        table.record_heartbeat(at(6_000), heartbeat(2, 1, false));
        assert_eq!(standing(table), Some(Standing::Ready));
        assert!(!table.record_departure(at(7_000), &departure));
        assert_eq!(standing(table), Some(Standing::Ready));
    }
}

/// Guards against requests to a server that left, because the controller didn't know it and told nobody.
#[test]
fn unknown_departure_told() {
    for start in [0, 1_000] {
        let (mut gateway, mut controller) = (Table::new(), Table::new());
        gateway.record_heartbeat(at(0), heartbeat(start, 9, false));
        controller.record_deregistration(at(3_000), &id());
        assert!(controller.record_unknown_deregistration(at(3_000), &id(), Incarnation(5_000)));
        exchange(at(3_500), &mut gateway, &mut controller);
        for table in [&mut gateway, &mut controller] {
            assert_eq!(standing(table), Some(Standing::Gone));
            table.record_heartbeat(at(4_000), heartbeat(start, 10, false));
            assert_eq!(standing(table), Some(Standing::Gone));
            table.record_heartbeat(at(8_000), heartbeat(7_000, 1, false));
            assert_eq!(standing(table), Some(Standing::Ready));
        }
    }
}

/// Guards against a restarted server without requests, because its clock was set back.
#[test]
fn clock_set_back() {
    let (mut table, mut other) = (Table::new(), Table::new());
    table.record_heartbeat(at(0), heartbeat(9_000, 3, false));
    exchange(at(10), &mut table, &mut other);
    let later = at(SILENCE_TIMEOUT.as_millis() + 2_000);
    table.record_heartbeat(at(2_000), heartbeat(7_000, 1, false));
    assert!(table.record_heartbeat(later, heartbeat(7_000, 25, false)));
    exchange(later + Span::from_millis(5), &mut table, &mut other);
    for table in [&table, &other] {
        let known = table.get(&id()).expect("the server is known");
        assert_eq!(known.announcement.start, Incarnation(7_000));
        assert_eq!(known.standing, Standing::Ready);
    }
}

/// Guards against requests for a crashed server that reach the one which has its address now.
#[test]
fn address_of_later_start() {
    let mut table = Table::new();
    let other = ServerId::new("i-2").expect("a valid id");
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

/// Guards against gateways that don't learn that a running server has turned cold again.
#[test]
fn cold_again_reported() {
    let mut table = Table::new();
    let cold = |sequence: u64, left: u64| Announcement {
        cold_left: Span::from_millis(left),
        ..heartbeat(1_000, sequence, false)
    };
    assert!(table.record_heartbeat(at(0), cold(1, 3_000)));
    assert!(!table.record_heartbeat(at(1_200), cold(2, 1_800)));
    assert!(!table.record_heartbeat(at(2_400), cold(3, 600)));
    assert!(!table.record_heartbeat(at(3_600), cold(4, 0)));
    assert!(table.record_heartbeat(at(4_800), cold(5, 2_900)));
    let mut gateway = Table::new();
    for entry in table.since(0, at(5_800)) {
        gateway.merge(at(5_800), entry);
    }
    let known = gateway.get(&id()).expect("the server is known");
    assert_eq!(known.cold_until, at(7_700));
}

/// A heartbeat of one of a server's starts.
#[derive(Debug, Clone)]
struct Heartbeat {
    start: u64,
    sequence: u64,
    draining: bool,
}

impl Arbitrary for Heartbeat {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            start: u64::arbitrary(g) % 3 * 1_000 + 1_000,
            sequence: u64::arbitrary(g) % 5,
            draining: u8::arbitrary(g) % 4 == 0,
        }
    }
}

quickcheck! {
    /// Guards against tables that disagree on the latest start, in whatever order heartbeats arrive.
    fn any_order_converges(heartbeats: Vec<(Heartbeat, bool)>, between: Vec<bool>) -> bool {
        let (mut a, mut b) = (Table::new(), Table::new());
        let mut now = at(0);
        let mut between = between.into_iter();
        for (sent, first) in &heartbeats {
            now = now + Span::from_millis(20);
            let table = if *first { &mut a } else { &mut b };
            table.record_heartbeat(now, heartbeat(sent.start, sent.sequence, sent.draining));
            if between.next().unwrap_or(false) {
                exchange(now, &mut a, &mut b);
            }
        }
        exchange(now, &mut a, &mut b);
        let start = heartbeats.iter().map(|(s, _)| s.start).max();
        let mut latest = heartbeats.iter().filter(|(s, _)| Some(s.start) == start);
        let drains = latest.any(|(s, _)| s.draining);
        let state = |table: &Table| {
            table.get(&id()).map(|k| (k.announcement.start.get(), k.standing))
        };
        let standing = if drains { Standing::Draining } else { Standing::Ready };
        state(&a) == state(&b) && state(&a) == start.map(|start| (start, standing))
    }

    /// Guards against a deregistered start that another table brings back, in whatever order heartbeats arrive.
    fn deregistration_holds(heartbeats: Vec<(Heartbeat, bool)>, at_first: bool) -> bool {
        let (mut a, mut b) = (Table::new(), Table::new());
        let mut now = at(0);
        for (sent, first) in &heartbeats {
            now = now + Span::from_millis(20);
            let table = if *first { &mut a } else { &mut b };
            table.record_heartbeat(now, heartbeat(sent.start, sent.sequence, sent.draining));
        }
        let table = if at_first { &mut a } else { &mut b };
        now = now + Span::from_millis(20);
        table.record_deregistration(now, &id());
        exchange(now, &mut a, &mut b);
        let gone = |table: &Table| standing(table).is_none_or(|s| s == Standing::Gone);
        gone(&a) && gone(&b)
    }
}

/// Guards against a silent or unknown server that counts as ended, and a leaving one that counts as crashed.
#[test]
fn end_told_apart() {
    let mut table = Table::new();
    let state = |table: &Table| table.start_state(&id(), Incarnation(1));
    assert_eq!(state(&table), StartState::Current);
    table.record_heartbeat(at(0), heartbeat(1, 1, false));
    table.expire(at(0) + SILENCE_TIMEOUT);
    assert_eq!(standing(&table), Some(Standing::Lost));
    assert_eq!(state(&table), StartState::Current);

    let successor = Announcement {
        id: ServerId::new("i-2").expect("a valid id"),
        ..heartbeat(40_000, 1, false)
    };
    let mut replaced = table.clone();
    replaced.record_heartbeat(at(40_000), successor.clone());
    assert_eq!(state(&replaced), StartState::Replaced);
    let mut restarted = table.clone();
    restarted.record_heartbeat(at(40_000), heartbeat(40_000, 1, false));
    assert_eq!(state(&restarted), StartState::Replaced);

    table.record_heartbeat(at(39_000), heartbeat(1, 2, true));
    assert_eq!(state(&table), StartState::Leaving);
    table.record_heartbeat(at(40_000), successor);
    assert_eq!(state(&table), StartState::Leaving);
}
