//! Tests of servers that run and stall together.

use snipemast_core::prelude::*;
use snipemast_core::server::GroupRank;
use snipemast_placement::pools::{Pool, Pools, ServerReport};

fn report(number: u32, rank: Option<GroupRank>) -> ServerReport {
    ServerReport {
        server: ServerId::new(format!("i-{number}")).unwrap(),
        service: ServiceId::new("lector").unwrap(),
        rank,
    }
}

fn rank(group: &str, epoch: u64, place: u32, running: bool) -> Option<GroupRank> {
    Some(GroupRank {
        group: GroupId::new(group).unwrap(),
        epoch: GroupIncarnation(epoch),
        place,
        size: 4,
        open: running,
    })
}

/// Returns four ranks of a group, numbered from `first`.
fn group(name: &str, first: u32, epoch: u64) -> Vec<ServerReport> {
    let ranks = (0..4).map(|place| report(first + place, rank(name, epoch, place, true)));
    ranks.collect()
}

fn pool_of(pools: &Pools, number: u32) -> Option<&Pool> {
    pools.pool(&ServerId::new(format!("i-{number}")).unwrap())
}

fn running(pools: &Pools, name: &str) -> Option<bool> {
    let mut groups = pools.groups();
    let found = groups.find(|(pool, _)| pool.group.as_ref().map(GroupId::as_str) == Some(name));
    found.map(|(_, state)| state.running)
}

/// Requests are refused although a group is running: two servers beside two complete groups belong
/// to none, refuse everything, and the whole service counts as out. Ranks of no complete group must
/// get no requests.
#[test]
fn incomplete_groups_excluded() {
    let mut all = [group("g0", 0, 1), group("g1", 10, 7)].concat();
    all.push(report(20, rank("g2", 1, 0, true)));
    all.push(report(21, None));
    let pools = Pools::new(&all);
    assert_eq!(pools.groups().count(), 2);
    assert_ne!(pool_of(&pools, 0), pool_of(&pools, 10));
    assert_eq!(pool_of(&pools, 0), pool_of(&pools, 3));
    assert_eq!((pool_of(&pools, 20), pool_of(&pools, 21)), (None, None));
}

/// Servers are excluded although no group is known to be complete, because the sidecars of the
/// ranks have just started.
#[test]
fn unknown_groups_used() {
    let all = [
        report(0, rank("g0", 1, 0, true)),
        report(1, None),
        report(2, None),
    ];
    let pools = Pools::new(&all);
    assert!((0..3).all(|number| pool_of(&pools, number).is_some()));
    assert_eq!(pools.groups().count(), 0);
}

/// A group forms again, and its ranks enter the new epoch one after another: it counts as complete
/// before most have reported that, or one sidecar that doesn't report keeps it out.
#[test]
fn forming_group_incomplete() {
    let mut all = [group("g0", 0, 1), group("g1", 10, 1)].concat();
    all[0].rank = rank("g0", 2, 0, true);
    assert_eq!(running(&Pools::new(&all), "g0"), None);
    assert_eq!(pool_of(&Pools::new(&all), 0), None);
    for (place, report) in (1..3).zip(&mut all[1..]) {
        report.rank = rank("g0", 2, place, true);
    }
    assert_eq!(running(&Pools::new(&all), "g0"), Some(true));
}

/// A rank moves to another group, whose epochs are lower, and its old rank is taken by a server
/// that belonged to no group.
#[test]
fn rank_moves() {
    let mut all = [group("g0", 0, 9), group("g1", 10, 2)].concat();
    all[3].rank = rank("g1", 2, 1, true);
    all[5].rank = None;
    all.push(report(30, rank("g0", 9, 3, true)));
    let pools = Pools::new(&all);
    assert_eq!(pool_of(&pools, 3), pool_of(&pools, 10));
    assert_eq!(pool_of(&pools, 30), pool_of(&pools, 0));
    assert_eq!(pool_of(&pools, 11), None);
    assert_eq!(pools.groups().count(), 2);
}

/// A group stalls on a lost rank. Reports of several ranks must show that, but not the report of
/// one mistaken rank.
#[test]
fn stall_needs_several() {
    let mut all = group("g0", 0, 1);
    all[1].rank = rank("g0", 1, 1, false);
    assert_eq!(running(&Pools::new(&all), "g0"), Some(true));
    all[2].rank = rank("g0", 1, 2, false);
    assert_eq!(running(&Pools::new(&all), "g0"), Some(false));
}
