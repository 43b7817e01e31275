//! The replicated log without faults and with one at a time.

mod support;

use snipemast_control::{NodeEvent, Payload, Refusal, VoterId};
use snipemast_core::prelude::*;

use support::World;

#[test]
fn commands_commit() {
    let mut world = World::new(3);
    world.run(1_000);
    for i in 0..20 {
        world.accept(&format!("c{i}"));
    }
    world.run(200);
    world.check_promises();
    assert_eq!(world.committed.len() as u64, 21);
}

#[test]
fn one_voter() {
    let mut world = World::new(1);
    world.run(10);
    world.accept("alone");
    world.check_promises();
}

// An operator's patch is accepted, the leader dies at once, and the operator asks the next one.
// The patch must be there, and a resend must get the same verdict.
#[test]
fn leader_lost() {
    let mut world = World::new(5);
    world.run(1_000);
    for round in 0..8 {
        let leader = world.leader().unwrap();
        world.accept(&format!("c{round}"));
        world.crash(leader, 0);
        world.run(1_000);
        world.accept(&format!("c{round}"));
        world.restart(leader);
        world.run(300);
    }
    world.check_promises();
}

// A zone with the leader is cut off. Its operators must be told quickly that no majority is in
// reach, and nothing they send may take effect there.
#[test]
fn minority_refuses() {
    let mut world = World::new(5);
    world.run(1_000);
    let leader = world.leader().unwrap();
    let other = VoterId(leader.get() % 5 + 1);
    world.cut_off(&[leader, other]);
    world.run(190);
    for id in [leader, other] {
        let ticket = world.ask(id, "lost");
        let answer = world.answers.get(&ticket);
        let refused = matches!(
            answer,
            Some(Err(Refusal::NoQuorum | Refusal::NotLeader { .. }))
        );
        assert!(refused, "{answer:?}");
    }
    world.run(1_000);
    let ticket = world.ask(other, "lost");
    assert_eq!(world.answers[&ticket], Err(Refusal::NoQuorum));
    world.accept("majority");
    world.heal();
    let lost = b"lost".to_vec();
    assert!(world
        .committed
        .values()
        .all(|e| { !matches!(&e.payload, Payload::Command(c) if *c == lost) }));
}

// A control host is stopped for an hour and wakes up in the belief that it leads. It must
// step down before it takes anything, whatever arrives first.
#[test]
fn sleeper_wakes() {
    let mut world = World::new(3);
    world.run(1_000);
    let leader = world.leader().unwrap();
    let sleeper = world.places.get_mut(&leader).unwrap().node.take();
    world.run(2_000);
    world.accept("meanwhile");
    world.bag.clear();
    world.places.get_mut(&leader).unwrap().node = sleeper;
    let ticket = world.ask(leader, "stale");
    assert!(world.answers[&ticket].is_err());
    assert!(world
        .notes
        .contains(&(leader, NodeEvent::SteppedDown(Term(1)))));
    world.heal();
}

// The same host's clock did not run while it was stopped, so it can't notice. What it takes
// may wait, but must not be accepted before a majority has synced it.
#[test]
fn clock_stopped() {
    let mut world = World::new(3);
    world.run(1_000);
    let leader = world.leader().unwrap();
    let slept = world.now;
    world.stopped = true;
    let sleeper = world.places.get_mut(&leader).unwrap().node.take();
    world.run(2_000);
    world.accept("meanwhile");
    world.bag.clear();
    let awake = world.now;
    world.places.get_mut(&leader).unwrap().node = sleeper;
    world.now = slept;
    let ticket = world.ask(leader, "stale");
    world.sync(leader);
    world.now = awake;
    assert_eq!(world.answers.get(&ticket), None);
    world.heal();
    assert_eq!(world.answers[&ticket], Err(Refusal::Unknown));
}

// A voter was cut off for long and comes back. It must not depose the leader all others hear.
#[test]
fn quiet_return() {
    let mut world = World::new(3);
    world.run(1_000);
    let leader = world.leader().unwrap();
    let term = world.node(leader).term();
    let other = VoterId(leader.get() % 3 + 1);
    world.cut_off(&[other]);
    world.run(5_000);
    world.cuts.clear();
    world.run(1_000);
    assert_eq!(world.leader(), Some(leader));
    assert_eq!(world.node(leader).term(), term);
    world.accept("still");
}

// A voter's disk stalls for seconds while everyone hears the leader. The leader must stay, and
// patches must go on over the other disks.
#[test]
fn slow_disk() {
    let mut world = World::new(3);
    world.run(1_000);
    let leader = world.leader().unwrap();
    let other = VoterId(leader.get() % 3 + 1);
    world.places.get_mut(&other).unwrap().slow = true;
    for i in 0..8 {
        world.accept(&format!("c{i}"));
        world.run(300);
    }
    assert_eq!(world.leader(), Some(leader));
    assert!(world.node(other).durable_index() < world.node(leader).commit_index());
    world.heal();
}

// The leader's own disk stalls: the others' disks are a majority, so patches go on.
#[test]
fn slow_leader() {
    let mut world = World::new(3);
    world.run(1_000);
    let leader = world.leader().unwrap();
    world.places.get_mut(&leader).unwrap().slow = true;
    world.accept("without");
    world.crash(leader, 0);
    world.run(1_000);
    world.heal();
}

// A process restarts after hundreds of changes have passed it by: it gets the state whole, in
// pieces, and the rest as entries.
#[test]
fn far_behind() {
    let mut world = World::new(3);
    world.run(1_000);
    let leader = world.leader().unwrap();
    let other = VoterId(leader.get() % 3 + 1);
    world.crash(other, 0);
    for i in 0..40 {
        world.accept(&format!("c{i}"));
    }
    world.notes.clear();
    world.heal();
    let installed =
        |n: &(VoterId, NodeEvent)| n.0 == other && matches!(n.1, NodeEvent::SnapshotSaved(_));
    assert!(world.notes.iter().any(installed));
}

// A zone is cut off a moment ago and its leader still leads. It can't reach a majority, so it
// says so at once instead of letting the operator wait for the end of its office.
#[test]
fn cut_leader_says() {
    let mut world = World::new(3);
    world.run(1_000);
    let leader = world.leader().unwrap();
    world.cut_off(&[leader]);
    while world.node(leader).has_lease(world.now) {
        world.run(10);
    }
    assert!(world.node(leader).is_leader());
    let ticket = world.ask(leader, "lost");
    assert_eq!(world.answers.get(&ticket), Some(&Err(Refusal::NoQuorum)));
}
