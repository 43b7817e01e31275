//! The replicated log without faults and with single faults.

mod support;

use snipemast_control::{NodeEvent, Payload, Refusal, VoterId};
use snipemast_core::prelude::*;

use support::Simulation;

#[test]
fn commands_commit() {
    let mut sim = Simulation::new(3);
    sim.run(1_000);
    for i in 0..20 {
        sim.expect_accepted(&format!("c{i}"));
    }
    sim.run(200);
    sim.check_promises();
    assert_eq!(sim.committed.len() as u64, 21);
}

#[test]
fn one_voter() {
    let mut sim = Simulation::new(1);
    sim.run(10);
    sim.expect_accepted("alone");
    sim.check_promises();
}

// The leader dies right after it accepted a patch, and the operator asks the next leader. The
// patch must be in its log, and a resend must get the same verdict.
#[test]
fn leader_lost() {
    let mut sim = Simulation::new(5);
    sim.run(1_000);
    for round in 0..8 {
        let leader = sim.leader().unwrap();
        sim.expect_accepted(&format!("c{round}"));
        sim.crash(leader, 0);
        sim.run(1_000);
        sim.expect_accepted(&format!("c{round}"));
        sim.restart(leader);
        sim.run(300);
    }
    sim.check_promises();
}

// A zone with the leader is cut off. Its operators must learn quickly that no majority can be
// reached, and nothing that they submit may take effect there.
#[test]
fn minority_refuses() {
    let mut sim = Simulation::new(5);
    sim.run(1_000);
    let leader = sim.leader().unwrap();
    let other = VoterId(leader.get() % 5 + 1);
    sim.cut_off(&[leader, other]);
    sim.run(190);
    for id in [leader, other] {
        let ticket = sim.submit(id, "lost");
        let answer = sim.answers.get(&ticket);
        let refused = matches!(
            answer,
            Some(Err(Refusal::NoQuorum | Refusal::NotLeader { .. }))
        );
        assert!(refused, "{answer:?}");
    }
    sim.run(1_000);
    let ticket = sim.submit(other, "lost");
    assert_eq!(sim.answers[&ticket], Err(Refusal::NoQuorum));
    sim.expect_accepted("majority");
    sim.heal();
    let lost = b"lost".to_vec();
    assert!(sim
        .committed
        .values()
        .all(|e| { !matches!(&e.payload, Payload::Command(c) if *c == lost) }));
}

// The leader's host is suspended for long and resumes while it still believes that it leads. It
// must step down before it accepts anything, whatever arrives first.
#[test]
fn suspended_leader() {
    let mut sim = Simulation::new(3);
    sim.run(1_000);
    let leader = sim.leader().unwrap();
    let suspended = sim.hosts.get_mut(&leader).unwrap().node.take();
    sim.run(2_000);
    sim.expect_accepted("meanwhile");
    sim.in_flight.clear();
    sim.hosts.get_mut(&leader).unwrap().node = suspended;
    let ticket = sim.submit(leader, "stale");
    assert!(sim.answers[&ticket].is_err());
    assert!(sim
        .events
        .contains(&(leader, NodeEvent::SteppedDown(Term(1)))));
    sim.heal();
}

// The clock of a suspended leader stood still, so the leader cannot notice. A command that it
// takes may wait, but must not be accepted before a majority has synced it.
#[test]
fn clock_stopped() {
    let mut sim = Simulation::new(3);
    sim.run(1_000);
    let leader = sim.leader().unwrap();
    let suspended_at = sim.now;
    sim.clock_stopped = true;
    let suspended = sim.hosts.get_mut(&leader).unwrap().node.take();
    sim.run(2_000);
    sim.expect_accepted("meanwhile");
    sim.in_flight.clear();
    let awake = sim.now;
    sim.hosts.get_mut(&leader).unwrap().node = suspended;
    sim.now = suspended_at;
    let ticket = sim.submit(leader, "stale");
    sim.sync(leader);
    sim.now = awake;
    assert_eq!(sim.answers.get(&ticket), None);
    sim.heal();
    assert_eq!(sim.answers[&ticket], Err(Refusal::Unknown));
}

// A voter that was cut off for long returns. It must not depose the leader that all others hear.
#[test]
fn cut_voter_returns() {
    let mut sim = Simulation::new(3);
    sim.run(1_000);
    let leader = sim.leader().unwrap();
    let term = sim.node(leader).term();
    let other = VoterId(leader.get() % 3 + 1);
    sim.cut_off(&[other]);
    sim.run(5_000);
    sim.cuts.clear();
    sim.run(1_000);
    assert_eq!(sim.leader(), Some(leader));
    assert_eq!(sim.node(leader).term(), term);
    sim.expect_accepted("still");
}

// A voter's disk stalls for seconds while everyone hears the leader. The leader must stay, and
// patches must be accepted with the other disks.
#[test]
fn slow_disk() {
    let mut sim = Simulation::new(3);
    sim.run(1_000);
    let leader = sim.leader().unwrap();
    let other = VoterId(leader.get() % 3 + 1);
    sim.hosts.get_mut(&other).unwrap().slow_disk = true;
    for i in 0..8 {
        sim.expect_accepted(&format!("c{i}"));
        sim.run(300);
    }
    assert_eq!(sim.leader(), Some(leader));
    assert!(sim.node(other).durable_index() < sim.node(leader).commit_index());
    sim.heal();
}

// The leader's own disk stalls. The other disks are a majority, so patches must be accepted.
#[test]
fn slow_leader() {
    let mut sim = Simulation::new(3);
    sim.run(1_000);
    let leader = sim.leader().unwrap();
    sim.hosts.get_mut(&leader).unwrap().slow_disk = true;
    sim.expect_accepted("without");
    sim.crash(leader, 0);
    sim.run(1_000);
    sim.heal();
}

// A process restarts after it missed many changes. It must get the state as a snapshot in pieces,
// and the rest as entries.
#[test]
fn far_behind() {
    let mut sim = Simulation::new(3);
    sim.run(1_000);
    let leader = sim.leader().unwrap();
    let other = VoterId(leader.get() % 3 + 1);
    sim.crash(other, 0);
    for i in 0..40 {
        sim.expect_accepted(&format!("c{i}"));
    }
    sim.events.clear();
    sim.heal();
    let installed =
        |n: &(VoterId, NodeEvent)| n.0 == other && matches!(n.1, NodeEvent::SnapshotSaved(_));
    assert!(sim.events.iter().any(installed));
}

// The leader was cut off a moment ago and has not stepped down yet. It must refuse at once, because
// it reaches no majority, instead of letting the operator wait until it steps down.
#[test]
fn cut_leader_refuses() {
    let mut sim = Simulation::new(3);
    sim.run(1_000);
    let leader = sim.leader().unwrap();
    sim.cut_off(&[leader]);
    while sim.node(leader).has_lease(sim.now) {
        sim.run(10);
    }
    assert!(sim.node(leader).is_leader());
    let ticket = sim.submit(leader, "lost");
    assert_eq!(sim.answers.get(&ticket), Some(&Err(Refusal::NoQuorum)));
}
