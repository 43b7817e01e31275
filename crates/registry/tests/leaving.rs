//! Servers that say in their answers that they leave.

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

/// A table that knows the first start of a server.
fn table() -> Table {
    let mut table = Table::new();
    table.record_heartbeat(START, announced(1));
    table
}

fn leave(table: &mut Table, now: Moment) -> bool {
    table.record_leaving(now, &id(), Incarnation(1))
}

/// A late heartbeat, or what another controller had before, takes a server that leaves for ready.
#[test]
fn leaving_is_final() {
    let mut table = table();
    assert!(leave(&mut table, at(10)));
    assert!(!leave(&mut table, at(20)));
    table.record_heartbeat(at(30), heartbeat(1, 2));
    table.merge(at(40), entry(1, 3, Standing::Ready));
    assert_eq!(table.leaving_since(&id()), Some(at(10)));
}

/// A server that started again is sent nothing for good.
#[test]
fn new_start_stays() {
    let mut table = table();
    leave(&mut table, at(10));
    table.record_heartbeat(at(2_000), announced(2));
    assert_eq!(table.leaving_since(&id()), None);
    assert!(!table.record_leaving(at(2_010), &id(), Incarnation(1)));
    assert_eq!(table.leaving_since(&id()), None);
}

/// A server that leaves is off the news for a while, and comes back as a ready one.
#[test]
fn leaving_outlives_news() {
    let mut table = table();
    leave(&mut table, at(10));
    table.merge(at(100), entry(1, 2, Standing::Lost));
    table.forget(at(400_000));
    assert_eq!(table.get(&id()).map(|k| k.standing), None);
    table.record_heartbeat(at(400_000), heartbeat(1, 9));
    assert_eq!(table.leaving_since(&id()), Some(at(10)));
}

/// One gateway hears that a server leaves, and all others go on sending there.
#[test]
fn all_are_told() {
    let (mut gateway, mut leader, mut other) = (table(), table(), table());
    leave(&mut gateway, at(10));
    let told = gateway.unreported_leaving(at(110));
    let age = Span::from_millis(100);
    let expected = LeavingServer {
        server: id(),
        start: Incarnation(1),
        age,
    };
    assert_eq!(told, [expected]);
    let place = leader.revision();
    assert!(leader.merge_leaving(at(110), &told[0]));
    let news = leader.since(place, at(210));
    assert_eq!(news.len(), 1);
    for table in [&mut other, &mut gateway] {
        table.merge(at(210), news[0].clone());
        assert_eq!(table.leaving_since(&id()), Some(at(10)));
    }
    assert_eq!(gateway.unreported_leaving(at(210)), []);
    assert_eq!(leader.get(&id()).unwrap().standing, Standing::Ready);
}

/// Servers that leave and start again under other ids without end fill the memory.
#[test]
fn memory_is_bounded() {
    const MOST: usize = 4_096;
    let mut table = Table::new();
    for number in 0..MOST + 500 {
        let server = ServerId::new(format!("i-{number}")).unwrap();
        table.record_leaving(at(number as u64), &server, Incarnation(1));
    }
    let hour = Span::from_secs(3_600);
    table.record_heartbeat(at(0), announced(1));
    assert_eq!(
        table.leaving_since(&id()),
        None,
        "the first ones are forgotten"
    );
    let last = ServerId::new(format!("i-{}", MOST + 499)).unwrap();
    let announcement = Announcement {
        id: last.clone(),
        address: "10.0.0.2:80".parse().unwrap(),
        ..announced(1)
    };
    table.record_heartbeat(at(0), announcement.clone());
    assert!(table.leaving_since(&last).is_some());
    table.record_goodbye(at(0), &last);
    table.forget(at(10_000) + hour);
    table.record_heartbeat(at(10_000) + hour, announcement);
    assert_eq!(
        table.leaving_since(&last),
        None,
        "an hour after it was gone"
    );
}

quickcheck! {
    /// Whatever is heard in whatever order, a start that said once that it leaves goes on leaving.
    fn never_ready_again(words: Vec<(u8, u8)>) -> bool {
        let mut table = table();
        leave(&mut table, at(0));
        words.into_iter().enumerate().all(|(step, (word, sequence))| {
            let (now, sequence) = (at(step as u64 * 3_000), u64::from(sequence));
            match word % 6 {
                0 => drop(table.record_heartbeat(now, heartbeat(1, sequence))),
                1 => drop(table.merge(now, entry(1, sequence, Standing::Ready))),
                2 => drop(table.merge(now, entry(1, sequence, Standing::Lost))),
                3 => drop(table.record_goodbye(now, &id())),
                4 => drop(table.expire(now)),
                _ => table.forget(now),
            }
            table.get(&id()).is_none() || table.leaving_since(&id()) == Some(at(0))
        })
    }
}
