//! Changes of the voters, and voters that are not who they were.

mod support;

use snipemast_control::{
    ChangeError, Input, Message, NodeEvent, Refusal, Ticket, VoterChange, VoterId, Voters,
};
use snipemast_core::prelude::*;

use support::{location, World};

/// Three voters, and a process that knows no cluster yet.
fn with_newcomer(id: u64) -> World {
    let mut world = World::new(3);
    world.add(VoterId(id), Voters::default());
    world.run(1_000);
    world
}

fn learn(id: u64, zone: &str) -> VoterChange {
    VoterChange::Learn {
        id: VoterId(id),
        location: location(id, zone),
    }
}

fn answer(world: &World, ticket: Ticket) -> Option<Result<(), Refusal>> {
    let answer = world.answers.get(&ticket).cloned();
    answer.map(|a| a.map(|_| ()))
}

fn refused(error: ChangeError) -> Option<Result<(), Refusal>> {
    Some(Err(Refusal::Change(error)))
}

fn do_change(world: &mut World, change: VoterChange) {
    let leader = world.leader().unwrap();
    let ticket = world.change(leader, change);
    world.run(200);
    assert_eq!(answer(world, ticket), Some(Ok(())));
}

// A lost host is replaced, and right after the repair a second one is lost. The two that are
// left must be a majority and hold everything that was accepted.
#[test]
fn lost_after_repair() {
    let mut world = with_newcomer(4);
    for i in 0..12 {
        world.accept(&format!("c{i}"));
    }
    let leader = world.leader().unwrap();
    let lost = VoterId(leader.get() % 3 + 1);
    world.crash(lost, 0);
    do_change(&mut world, learn(4, "zone-4"));
    do_change(&mut world, VoterChange::Remove { id: lost });
    do_change(&mut world, VoterChange::Promote { id: VoterId(4) });
    world.crash(leader, 0);
    world.run(1_500);
    world.accept("after");
    let held = world.node(VoterId(4)).machine().commands.len();
    assert_eq!(held, 13);
    world.heal();
}

// An operator promotes a host that is still copying the log. Its disk would count before it
// holds anything, so it is refused and told what is missing.
#[test]
fn learner_behind() {
    let mut world = with_newcomer(4);
    world.accept("first");
    do_change(&mut world, learn(4, "zone-4"));
    world.places.get_mut(&VoterId(4)).unwrap().slow = true;
    world.accept("second");
    let leader = world.leader().unwrap();
    let promote = VoterChange::Promote { id: VoterId(4) };
    let ticket = world.change(leader, promote.clone());
    let needed = world.node(leader).commit_index();
    let held = Index(needed.get() - 1);
    assert_eq!(
        answer(&world, ticket),
        refused(ChangeError::Behind { held, needed })
    );
    world.places.get_mut(&VoterId(4)).unwrap().slow = false;
    world.run(100);
    do_change(&mut world, promote);
    world.heal();
}

// Two operators change the voters at once. Majorities of the two outcomes need not overlap, so
// the second is refused until the first is committed.
#[test]
fn one_at_a_time() {
    let mut world = with_newcomer(4);
    let leader = world.leader().unwrap();
    let first = world.change(leader, learn(4, "zone-4"));
    let second = world.change(
        leader,
        VoterChange::Remove {
            id: VoterId(leader.get() % 3 + 1),
        },
    );
    assert_eq!(answer(&world, second), refused(ChangeError::Pending));
    world.run(100);
    assert_eq!(answer(&world, first), Some(Ok(())));
}

// A new leader has committed nothing yet; the change of the leader before it may still come
// back. A change waits until the leader's own first entry is committed.
#[test]
fn early_change() {
    let mut world = with_newcomer(4);
    let old = world.leader().unwrap();
    world.crash(old, 0);
    for id in world.ids() {
        world.places.get_mut(&id).unwrap().slow = false;
    }
    let mut ticket = None;
    while ticket.is_none() {
        world.now = world.now + Span::from_millis(10);
        for id in world.ids() {
            world.step(id, Input::Tick);
        }
        while !world.bag.is_empty() && world.leader().is_none() {
            for id in world.ids() {
                world.sync(id);
            }
            let envelope = world.bag.remove(0);
            world.deliver(envelope);
        }
        ticket = world.leader().map(|l| world.change(l, learn(4, "zone-4")));
    }
    assert_eq!(answer(&world, ticket.unwrap()), refused(ChangeError::Early));
    world.heal();
}

// One of three voters left, and the one to take its place stands in a zone that has a voter
// already. That zone would hold two of three votes, and its loss would take the majority along.
#[test]
fn crowded_zone() {
    let mut world = with_newcomer(4);
    do_change(&mut world, learn(4, "zone-1"));
    let leaver = VoterId(if world.leader() == Some(VoterId(2)) {
        3
    } else {
        2
    });
    do_change(&mut world, VoterChange::Remove { id: leaver });
    let leader = world.leader().unwrap();
    let ticket = world.change(leader, VoterChange::Promote { id: VoterId(4) });
    let zone = "zone-1".parse().unwrap();
    assert_eq!(answer(&world, ticket), refused(ChangeError::Crowded(zone)));
}

// The leader itself is removed: it goes on until that is committed, and then another leads.
#[test]
fn leader_removed() {
    let mut world = World::new(3);
    world.run(1_000);
    let leader = world.leader().unwrap();
    do_change(&mut world, VoterChange::Remove { id: leader });
    world.run(1_000);
    let next = world.leader().unwrap();
    assert_ne!(next, leader);
    assert!(!world.node(leader).is_leader());
    world.accept("without");
}

// A voter's folder is put back from a copy while the leader runs. What it acknowledged since
// is gone; it must count for nothing, or an accepted patch could be lost with one more host.
#[test]
fn disk_put_back() {
    let mut world = World::new(3);
    world.run(1_000);
    let leader = world.leader().unwrap();
    let other = VoterId(leader.get() % 3 + 1);
    let copy = world.places[&other].disk.clone();
    world.accept("forgotten");
    world.crash(other, 0);
    world.places.get_mut(&other).unwrap().disk = copy;
    world.restart(other);
    world.run(300);
    assert!(world.notes.contains(&(leader, NodeEvent::Regressed(other))));
    let third = VoterId(6 - leader.get() - other.get());
    world.cut_off(&[third]);
    world.run(20);
    let ticket = world.ask(leader, "not counted");
    world.run(150);
    assert_eq!(world.answers.get(&ticket), None);
}

// Two processes speak under one id, one of them from an older start of the folder. What the
// older one says is synced may not be on the disk; the leader must not count it.
#[test]
fn older_start() {
    let mut world = World::new(3);
    world.run(1_000);
    let leader = world.leader().unwrap();
    let other = VoterId(leader.get() % 3 + 1);
    let old = world.places[&other].node.clone();
    world.crash(other, 0);
    world.restart(other);
    world.run(100);
    let third = VoterId(6 - leader.get() - other.get());
    world.places.get_mut(&other).unwrap().node = old;
    world.crash(third, 0);
    let ticket = world.ask(leader, "not counted");
    world.run(150);
    assert!(world.notes.contains(&(leader, NodeEvent::Outdated(other))));
    assert_eq!(world.answers.get(&ticket), None);
}

// Pieces of two snapshots cross on the wire, twice and in the wrong order. They must not make
// up a state that never was.
#[test]
fn crossed_pieces() {
    let mut world = World::new(3);
    world.run(1_000);
    let leader = world.leader().unwrap();
    let other = VoterId(leader.get() % 3 + 1);
    world.crash(other, 0);
    for i in 0..9 {
        world.accept(&format!("first-{i}"));
    }
    world.restart(other);
    let mut kept = Vec::new();
    for round in 0..40 {
        world.now = world.now + Span::from_millis(10);
        for id in world.ids() {
            world.step(id, Input::Tick);
            world.sync(id);
        }
        if round % 4 == 0 {
            let ticket = format!("second-{round}");
            world.ask(leader, &ticket);
        }
        let pieces = |e: &&snipemast_control::Envelope| {
            matches!(
                e.message,
                Message::Install { .. } | Message::Installed { .. }
            )
        };
        kept.extend(world.bag.iter().filter(pieces).cloned());
        for envelope in std::mem::take(&mut world.bag).into_iter().rev() {
            world.deliver(envelope);
        }
        for envelope in kept.clone().into_iter().rev().step_by(3) {
            world.deliver(envelope);
        }
    }
    assert!(!kept.is_empty());
    let unreadable = |n: &(VoterId, NodeEvent)| matches!(n.1, NodeEvent::SnapshotUnreadable(_));
    assert!(!world.notes.iter().any(unreadable));
    world.heal();
}
