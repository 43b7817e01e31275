//! Servers that say in their answers that they are leaving.

mod common;

use quickcheck::quickcheck;

use snipemast_core::prelude::*;
use snipemast_registry::{Announcement, Entry, LeavingServer, Standing, Table};

use common::{announced, at, id, START};

fn heartbeat(start: u64, sequence: u64) -> Announcement {
    Announcement {
        sequence,
        ..announced(start)
    }
}

fn entry(start: u64, sequence: u64, standing: Standing) -> Entry {
    Entry {
        announcement: heartbeat(start, sequence),
        standing,
        age: Span::default(),
        rank: None,
        limit: None,
        leaving: None,
    }
}

/// Returns a table that knows the first start of a server.
fn table() -> Table {
    let mut table = Table::new();
    table.record_heartbeat(START, announced(1));
    table
}

fn announce_leaving(table: &mut Table, now: Moment) -> bool {
    table.record_leaving(now, &id(), Incarnation(1))
}

/// Guards against a leaving server that is ready again by a late heartbeat or an older entry.
#[test]
fn leaving_is_final() {
    let mut table = table();
    assert!(announce_leaving(&mut table, at(10)));
    assert!(!announce_leaving(&mut table, at(20)));
    table.record_heartbeat(at(30), heartbeat(1, 2));
    table.merge(at(40), entry(1, 3, Standing::Ready));
    assert_eq!(table.leaving_since(&id()), Some(at(10)));
}

/// Guards against a restarted server without requests, because its earlier start was leaving.
#[test]
fn restart_not_leaving() {
    let mut table = table();
    announce_leaving(&mut table, at(10));
    table.record_heartbeat(at(2_000), announced(2));
    assert_eq!(table.leaving_since(&id()), None);
    assert!(!table.record_leaving(at(2_010), &id(), Incarnation(1)));
    assert_eq!(table.leaving_since(&id()), None);
}

/// Guards against a leaving server that is ready again after it was absent from updates for a while.
#[test]
fn leaving_remembered() {
    let mut table = table();
    announce_leaving(&mut table, at(10));
    table.merge(at(100), entry(1, 2, Standing::Lost));
    table.forget(at(400_000));
    assert_eq!(table.get(&id()).map(|k| k.standing), None);
    table.record_heartbeat(at(400_000), heartbeat(1, 9));
    assert_eq!(table.leaving_since(&id()), Some(at(10)));
}

/// Guards against gateways that go on sending to a server which told only one of them that it is leaving.
#[test]
fn all_gateways_know() {
    let (mut gateway, mut leader, mut other) = (table(), table(), table());
    announce_leaving(&mut gateway, at(10));
    let reports = gateway.unreported_leaving(at(110));
    let age = Span::from_millis(100);
    let expected = LeavingServer {
        server: id(),
        start: Incarnation(1),
        age,
    };
    assert_eq!(reports, [expected]);
    let revision = leader.revision();
    assert!(leader.merge_leaving(at(110), &reports[0]));
    let entries = leader.since(revision, at(210));
    assert_eq!(entries.len(), 1);
    for table in [&mut other, &mut gateway] {
        table.merge(at(210), entries[0].clone());
        assert_eq!(table.leaving_since(&id()), Some(at(10)));
    }
    assert_eq!(gateway.unreported_leaving(at(210)), []);
    assert_eq!(leader.get(&id()).unwrap().standing, Standing::Ready);
}

/// Guards against servers that leave and restart under other ids without end and fill the memory.
#[test]
fn memory_bounded() {
    const MAX_STARTS: usize = 4_096;
    let mut table = Table::new();
    for number in 0..MAX_STARTS + 500 {
        let server = ServerId::new(format!("i-{number}")).unwrap();
        table.record_leaving(at(number as u64), &server, Incarnation(1));
    }
    let hour = Span::from_secs(3_600);
    table.record_heartbeat(at(0), announced(1));
    assert_eq!(
        table.leaving_since(&id()),
        None,
        "the oldest starts are forgotten"
    );
    let last = ServerId::new(format!("i-{}", MAX_STARTS + 499)).unwrap();
    let announcement = Announcement {
        id: last.clone(),
        address: "10.0.0.2:80".parse().unwrap(),
        ..announced(1)
    };
    table.record_heartbeat(at(0), announcement.clone());
    assert!(table.leaving_since(&last).is_some());
    table.record_deregistration(at(0), &last);
    table.forget(at(10_000) + hour);
    table.record_heartbeat(at(10_000) + hour, announcement);
    assert_eq!(
        table.leaving_since(&last),
        None,
        "it is forgotten an hour after it was gone"
    );
}

quickcheck! {
    /// Guards against a leaving start that is ready again, in whatever order messages arrive.
    fn never_ready_again(reports: Vec<(u8, u8)>) -> bool {
        let mut table = table();
        announce_leaving(&mut table, at(0));
        reports.into_iter().enumerate().all(|(step, (kind, sequence))| {
            let (now, sequence) = (at(step as u64 * 3_000), u64::from(sequence));
            match kind % 6 {
                0 => drop(table.record_heartbeat(now, heartbeat(1, sequence))),
                1 => drop(table.merge(now, entry(1, sequence, Standing::Ready))),
                2 => drop(table.merge(now, entry(1, sequence, Standing::Lost))),
                3 => drop(table.record_deregistration(now, &id())),
                4 => drop(table.expire(now)),
                _ => table.forget(now),
            }
            table.get(&id()).is_none() || table.leaving_since(&id()) == Some(at(0))
        })
    }
}
