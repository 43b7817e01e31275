//! What answers say about a server's limit.

mod common;

use quickcheck::quickcheck;

use snipemast_core::prelude::*;
use snipemast_registry::{LimitEntry, LimitUpdate, Table};

use common::{announced, at, id, START};

fn table(start: u64) -> Table {
    let mut table = Table::new();
    table.record_heartbeat(START, announced(start));
    table
}

/// Returns the update of a request that was sent and answered at these moments.
fn update(rate: Option<u64>, sent: u64, seen: u64) -> LimitUpdate {
    LimitUpdate {
        start: Incarnation(1),
        rate: rate.map(Rate::per_second),
        sent: at(sent),
        seen: at(seen),
    }
}

/// Guards against a limit that is ended by an answer which was begun before the server named it.
#[test]
fn older_answer_ignored() {
    let mut table = table(1);
    assert!(!table.record_limit(&id(), update(None, 0, 10)));
    assert!(table.record_limit(&id(), update(Some(2), 100, 200)));
    assert!(!table.record_limit(&id(), update(None, 150, 900)));
    assert!(!table.record_limit(&id(), update(Some(5), 150, 900)));
    assert_eq!(table.limit(&id()), Some(Rate::per_second(2)));
    assert!(table.record_limit(&id(), update(None, 201, 300)));
    assert_eq!(table.limit(&id()), None);
    assert!(!table.record_limit(&id(), update(Some(2), 50, 150)));
}

/// Guards against a lower limit that is ignored, because its request was sent before the higher one was seen.
#[test]
fn lower_limit_immediate() {
    let mut table = table(1);
    assert!(table.record_limit(&id(), update(Some(5), 100, 200)));
    assert!(table.record_limit(&id(), update(Some(1), 50, 210)));
    assert_eq!(table.limit(&id()), Some(Rate::per_second(1)));
}

/// Guards against a restarted server that is held to the limit of its earlier start.
#[test]
fn restart_resets_limit() {
    let mut table = table(1);
    assert!(table.record_limit(&id(), update(Some(1), 100, 200)));
    table.record_heartbeat(at(1_000), announced(2));
    assert_eq!(table.limit(&id()), None);
    assert!(!table.record_limit(&id(), update(Some(1), 900, 1_100)));
    assert_eq!(table.limit(&id()), None);
}

quickcheck! {
    /// Guards against two hosts that end with different limits after the same answers in another order.
    fn any_order(one: (Option<u8>, u8, u8), other: (Option<u8>, u8, u8)) -> bool {
        let update = |(rate, sent, took): (Option<u8>, u8, u8)| {
            let sent = u64::from(sent);
            update(rate.map(u64::from), sent, sent + u64::from(took) + 1)
        };
        let (one, other) = (update(one), update(other));
        let limit = |updates: [LimitUpdate; 2]| {
            let mut table = table(1);
            updates.into_iter().for_each(|update| { table.record_limit(&id(), update); });
            table.limit(&id())
        };
        limit([one, other]) == limit([other, one])
    }
}

/// Guards against grants that are lost each time, because a limit comes back rounded and seems to be another one.
#[test]
fn forwarded_unchanged() {
    for thousandths in [1, 333, 1_234, 2_137, 999_999] {
        let update = LimitUpdate {
            rate: Some(Rate::from_millis(thousandths)),
            ..update(None, 100, 200)
        };
        let entry = LimitEntry::new(&update, at(300));
        let bytes = rmp_serde::to_vec_named(&entry).unwrap();
        let read: LimitEntry = rmp_serde::from_slice(&bytes).unwrap();
        assert_eq!(read.to_update(at(300)), update);
    }
}
