//! What answers tell of a server's limit.

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

/// A word of a request that was sent and answered at these moments.
fn word(rate: Option<u64>, sent: u64, seen: u64) -> LimitUpdate {
    LimitUpdate {
        start: Incarnation(1),
        rate: rate.map(Rate::per_second),
        sent: at(sent),
        seen: at(seen),
    }
}

/// An answer that was begun before a server named its limit comes after the one that names it, and ends it.
#[test]
fn older_answer_ends_nothing() {
    let mut table = table(1);
    assert!(!table.record_limit(&id(), word(None, 0, 10)));
    assert!(table.record_limit(&id(), word(Some(2), 100, 200)));
    assert!(!table.record_limit(&id(), word(None, 150, 900)));
    assert!(!table.record_limit(&id(), word(Some(5), 150, 900)));
    assert_eq!(table.limit(&id()), Some(Rate::per_second(2)));
    assert!(table.record_limit(&id(), word(None, 201, 300)));
    assert_eq!(table.limit(&id()), None);
    assert!(!table.record_limit(&id(), word(Some(2), 50, 150)));
}

/// A lower limit holds at once, also where its request was sent long before the higher one was seen.
#[test]
fn lower_holds_at_once() {
    let mut table = table(1);
    assert!(table.record_limit(&id(), word(Some(5), 100, 200)));
    assert!(table.record_limit(&id(), word(Some(1), 50, 210)));
    assert_eq!(table.limit(&id()), Some(Rate::per_second(1)));
}

/// A server starts again under its id, and is kept to the limit of its earlier start.
#[test]
fn start_anew_forgets() {
    let mut table = table(1);
    assert!(table.record_limit(&id(), word(Some(1), 100, 200)));
    table.record_heartbeat(at(1_000), announced(2));
    assert_eq!(table.limit(&id()), None);
    assert!(!table.record_limit(&id(), word(Some(1), 900, 1_100)));
    assert_eq!(table.limit(&id()), None);
}

quickcheck! {
    /// Two hosts that hear of two answers in another order believe different limits.
    fn order_does_not_matter(one: (Option<u8>, u8, u8), other: (Option<u8>, u8, u8)) -> bool {
        let word = |(rate, sent, took): (Option<u8>, u8, u8)| {
            let sent = u64::from(sent);
            word(rate.map(u64::from), sent, sent + u64::from(took) + 1)
        };
        let (one, other) = (word(one), word(other));
        let limit = |words: [LimitUpdate; 2]| {
            let mut table = table(1);
            words.into_iter().for_each(|word| { table.record_limit(&id(), word); });
            table.limit(&id())
        };
        limit([one, other]) == limit([other, one])
    }
}

/// A limit comes back a little lower from the leader than a gateway told it, and each of its answers is taken for another
/// limit: what was granted is lost each time.
#[test]
fn passed_on_unchanged() {
    for thousandths in [1, 333, 1_234, 2_137, 999_999] {
        let word = LimitUpdate {
            rate: Some(Rate::from_millis(thousandths)),
            ..word(None, 100, 200)
        };
        let entry = LimitEntry::new(&word, at(300));
        let bytes = rmp_serde::to_vec_named(&entry).unwrap();
        let read: LimitEntry = rmp_serde::from_slice(&bytes).unwrap();
        assert_eq!(read.to_update(at(300)), word);
    }
}
