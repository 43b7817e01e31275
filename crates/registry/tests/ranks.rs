//! A server's place in a group, as the sidecar beside it reports.

mod common;

use std::net::SocketAddr;

use snipemast_core::prelude::*;
use snipemast_registry::rank::{GroupRank, RankUpdate};
use snipemast_registry::{Announcement, Table};

use common::{announced, at};

fn address() -> SocketAddr {
    "10.0.0.1:80".parse().unwrap()
}

fn heartbeat(id: &str, start: u64, sequence: u64) -> Announcement {
    Announcement {
        id: ServerId::new(id).unwrap(),
        sequence,
        ..announced(start)
    }
}

fn update(group: &str, start: u64, epoch: u64, number: u64) -> RankUpdate {
    RankUpdate {
        sender: 9,
        number,
        address: address(),
        start: Incarnation(start),
        rank: Some(GroupRank {
            group: GroupId::new(group).unwrap(),
            epoch: GroupIncarnation(epoch),
            place: 3,
            size: 8,
            open: true,
        }),
    }
}

fn group(table: &Table, id: &str) -> Option<String> {
    let known = table.get(&ServerId::new(id).unwrap())?;
    Some(table.rank(known)?.group.to_string())
}

/// Guards against a rank that stays in its old group, because the epochs of the new one are lower.
#[test]
fn last_update_holds() {
    let mut table = Table::new();
    table.record_heartbeat(at(0), heartbeat("i-1", 0, 1));
    assert!(table.record_rank(at(10), update("g0", 0, 7, 1)));
    let before = table.since(0, at(20));
    assert!(!table.record_rank(at(30), update("g0", 0, 7, 2)));
    assert!(table.record_rank(at(40), update("g1", 0, 2, 3)));
    let revision = table.revision();
    for entry in before {
        table.merge(at(50), entry);
    }
    assert_eq!(
        (group(&table, "i-1").as_deref(), table.revision()),
        (Some("g1"), revision)
    );
    let mut other = Table::new();
    for entry in table.since(0, at(60)) {
        other.merge(at(60), entry);
    }
    assert_eq!(group(&other, "i-1").as_deref(), Some("g1"));
}

/// Guards against a restarted server that inherits the place of its earlier start, or loses an early update.
#[test]
fn place_per_start() {
    let mut table = Table::new();
    assert!(!table.record_rank(at(0), update("g0", 1, 1, 4)));
    table.record_heartbeat(at(10), heartbeat("i-1", 1, 1));
    assert_eq!(group(&table, "i-1").as_deref(), Some("g0"));
    table.record_heartbeat(at(20), heartbeat("i-1", 2, 1));
    assert_eq!(group(&table, "i-1"), None);
    table.record_rank(at(30), update("g0", 2, 2, 5));
    assert_eq!(group(&table, "i-1").as_deref(), Some("g0"));
    table.record_heartbeat(at(40), heartbeat("i-2", 3, 1));
    assert_eq!(group(&table, "i-1"), None);
}

/// Guards against a changed place that isn't in the updates, and against updates without a change.
#[test]
fn only_changes_reported() {
    let mut table = Table::new();
    table.record_heartbeat(at(0), heartbeat("i-1", 0, 1));
    let revision = table.revision();
    table.record_rank(at(10), update("g0", 0, 1, 6));
    let entries = table.since(revision, at(20));
    assert_eq!(entries.len(), 1);
    assert!(entries[0].rank.is_some());
    let revision = table.revision();
    table.record_rank(at(30), update("g0", 0, 1, 7));
    assert!(table.since(revision, at(40)).is_empty());
    let gone = RankUpdate {
        rank: None,
        ..update("g0", 0, 1, 8)
    };
    assert!(table.record_rank(at(50), gone));
    assert_eq!(group(&table, "i-1"), None);
}
