//! Which servers run and stall together.

use snipemast_core::prelude::*;
use snipemast_core::server::GroupRank;
use snipemast_placement::pools::{Pool, Pools, Told};

fn told(number: u32, rank: Option<GroupRank>) -> Told {
    Told {
        server: ServerId::new(format!("i-{number}")).unwrap(),
        service: ServiceId::new("lector").unwrap(),
        rank,
    }
}

fn rank(group: &str, epoch: u64, place: u32, goes_on: bool) -> Option<GroupRank> {
    Some(GroupRank {
        group: GroupId::new(group).unwrap(),
        epoch: GroupIncarnation(epoch),
        place,
        size: 4,
        open: goes_on,
    })
}

/// Four ranks of a group, from a number on.
fn group(name: &str, first: u32, epoch: u64) -> Vec<Told> {
    let ranks = (0..4).map(|place| told(first + place, rank(name, epoch, place, true)));
    ranks.collect()
}

fn of(pools: &Pools, number: u32) -> Option<&Pool> {
    pools.pool(&ServerId::new(format!("i-{number}")).unwrap())
}

fn goes_on(pools: &Pools, name: &str) -> Option<bool> {
    let mut groups = pools.groups();
    let found = groups.find(|(pool, _)| pool.group.as_ref().map(GroupId::as_str) == Some(name));
    found.map(|(_, forming)| forming.goes_on)
}

/// A user is refused although a group stands ready: two servers are left over beside two whole groups, refuse all that
/// is sent there, and the whole service counts as out. Ranks of no whole group get no request.
#[test]
fn left_over_ranks_get_none() {
    let mut all = [group("g0", 0, 1), group("g1", 10, 7)].concat();
    all.push(told(20, rank("g2", 1, 0, true)));
    all.push(told(21, None));
    let pools = Pools::new(&all);
    assert_eq!(pools.groups().count(), 2);
    assert_ne!(of(&pools, 0), of(&pools, 10));
    assert_eq!(of(&pools, 0), of(&pools, 3));
    assert_eq!((of(&pools, 20), of(&pools, 21)), (None, None));
}

/// No server is taken for left over while no group is known to be whole: the processes beside ranks have just started.
#[test]
fn unknown_groups_offered() {
    let all = [
        told(0, rank("g0", 1, 0, true)),
        told(1, None),
        told(2, None),
    ];
    let pools = Pools::new(&all);
    assert!((0..3).all(|number| of(&pools, number).is_some()));
    assert_eq!(pools.groups().count(), 0);
}

/// A group forms again with one rank after another in the new epoch: it is not whole until most have told so, and one
/// process that does not tell does not keep it out.
#[test]
fn forming_group_not_whole() {
    let mut all = [group("g0", 0, 1), group("g1", 10, 1)].concat();
    all[0].rank = rank("g0", 2, 0, true);
    assert_eq!(goes_on(&Pools::new(&all), "g0"), None);
    assert_eq!(of(&Pools::new(&all), 0), None);
    for (place, told) in (1..3).zip(&mut all[1..]) {
        told.rank = rank("g0", 2, place, true);
    }
    assert_eq!(goes_on(&Pools::new(&all), "g0"), Some(true));
}

/// A rank moves to another group, whose epochs are lower, and its old place is taken by a server that was left over.
#[test]
fn rank_moves() {
    let mut all = [group("g0", 0, 9), group("g1", 10, 2)].concat();
    all[3].rank = rank("g1", 2, 1, true);
    all[5].rank = None;
    all.push(told(30, rank("g0", 9, 3, true)));
    let pools = Pools::new(&all);
    assert_eq!(of(&pools, 3), of(&pools, 10));
    assert_eq!(of(&pools, 30), of(&pools, 0));
    assert_eq!(of(&pools, 11), None);
    assert_eq!(pools.groups().count(), 2);
}

/// A group stalls on a lost rank: it is known by some of its ranks, and not by one that is mistaken.
#[test]
fn stalled_by_several() {
    let mut all = group("g0", 0, 1);
    all[1].rank = rank("g0", 1, 1, false);
    assert_eq!(goes_on(&Pools::new(&all), "g0"), Some(true));
    all[2].rank = rank("g0", 1, 2, false);
    assert_eq!(goes_on(&Pools::new(&all), "g0"), Some(false));
}
