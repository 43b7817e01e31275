//! Membership changes, and voters whose disk or process is not the one that they had.

mod support;

use snipemast_control::{
    ChangeError, Input, Message, NodeEvent, Refusal, Ticket, VoterChange, VoterId, Voters,
};
use snipemast_core::prelude::*;

use support::{location, Simulation};

/// Returns three voters, and a process that belongs to no cluster yet.
fn with_newcomer(id: u64) -> Simulation {
    let mut sim = Simulation::new(3);
    sim.add(VoterId(id), Voters::default());
    sim.run(1_000);
    sim
}

fn learn(id: u64, zone: &str) -> VoterChange {
    VoterChange::Learn {
        id: VoterId(id),
        location: location(id, zone),
    }
}

fn answer(sim: &Simulation, ticket: Ticket) -> Option<Result<(), Refusal>> {
    let answer = sim.answers.get(&ticket).cloned();
    answer.map(|a| a.map(|_| ()))
}

fn refused(error: ChangeError) -> Option<Result<(), Refusal>> {
    Some(Err(Refusal::Change(error)))
}

fn apply_change(sim: &mut Simulation, change: VoterChange) {
    let leader = sim.leader().unwrap();
    let ticket = sim.change(leader, change);
    sim.run(200);
    assert_eq!(answer(sim, ticket), Some(Ok(())));
}

// A lost host is replaced, and a second one is lost right after the repair. The two that are left
// must be a majority and hold everything that was accepted.
#[test]
fn lost_after_repair() {
    let mut sim = with_newcomer(4);
    for i in 0..12 {
        sim.expect_accepted(&format!("c{i}"));
    }
    let leader = sim.leader().unwrap();
    let lost = VoterId(leader.get() % 3 + 1);
    sim.crash(lost, 0);
    apply_change(&mut sim, learn(4, "zone-4"));
    apply_change(&mut sim, VoterChange::Remove { id: lost });
    apply_change(&mut sim, VoterChange::Promote { id: VoterId(4) });
    sim.crash(leader, 0);
    sim.run(1_500);
    sim.expect_accepted("after");
    let held = sim.node(VoterId(4)).machine().commands.len();
    assert_eq!(held, 13);
    sim.heal();
}

// An operator promotes a host that is still copying the log. Its disk would count before it holds
// the log, so the promotion must be refused with the missing index.
#[test]
fn learner_behind() {
    let mut sim = with_newcomer(4);
    sim.expect_accepted("first");
    apply_change(&mut sim, learn(4, "zone-4"));
    sim.hosts.get_mut(&VoterId(4)).unwrap().slow_disk = true;
    sim.expect_accepted("second");
    let leader = sim.leader().unwrap();
    let promote = VoterChange::Promote { id: VoterId(4) };
    let ticket = sim.change(leader, promote.clone());
    let needed = sim.node(leader).commit_index();
    let held = Index(needed.get() - 1);
    assert_eq!(
        answer(&sim, ticket),
        refused(ChangeError::Behind { held, needed })
    );
    sim.hosts.get_mut(&VoterId(4)).unwrap().slow_disk = false;
    sim.run(100);
    apply_change(&mut sim, promote);
    sim.heal();
}

// Two operators change the voters at once. Majorities of the two results need not overlap, so the
// second change must be refused until the first is committed.
#[test]
fn one_at_a_time() {
    let mut sim = with_newcomer(4);
    let leader = sim.leader().unwrap();
    let first = sim.change(leader, learn(4, "zone-4"));
    let second = sim.change(
        leader,
        VoterChange::Remove {
            id: VoterId(leader.get() % 3 + 1),
        },
    );
    assert_eq!(answer(&sim, second), refused(ChangeError::Pending));
    sim.run(100);
    assert_eq!(answer(&sim, first), Some(Ok(())));
}

// A new leader has committed nothing yet, and a change of the previous leader may still take
// effect. A change must be refused until the first entry of the leader's term is committed.
#[test]
fn early_change() {
    let mut sim = with_newcomer(4);
    let old = sim.leader().unwrap();
    sim.crash(old, 0);
    for id in sim.ids() {
        sim.hosts.get_mut(&id).unwrap().slow_disk = false;
    }
    let mut ticket = None;
    while ticket.is_none() {
        sim.now = sim.now + Span::from_millis(10);
        for id in sim.ids() {
            sim.step(id, Input::Tick);
        }
        while !sim.in_flight.is_empty() && sim.leader().is_none() {
            for id in sim.ids() {
                sim.sync(id);
            }
            let envelope = sim.in_flight.remove(0);
            sim.deliver(envelope);
        }
        ticket = sim.leader().map(|l| sim.change(l, learn(4, "zone-4")));
    }
    assert_eq!(answer(&sim, ticket.unwrap()), refused(ChangeError::Early));
    sim.heal();
}

// One of three voters was removed, and the learner to replace it is in a zone that already has a
// voter. That zone would hold two of three votes, and its loss would take the majority along.
#[test]
fn crowded_zone() {
    let mut sim = with_newcomer(4);
    apply_change(&mut sim, learn(4, "zone-1"));
    let leaver = VoterId(if sim.leader() == Some(VoterId(2)) {
        3
    } else {
        2
    });
    apply_change(&mut sim, VoterChange::Remove { id: leaver });
    let leader = sim.leader().unwrap();
    let ticket = sim.change(leader, VoterChange::Promote { id: VoterId(4) });
    let zone = "zone-1".parse().unwrap();
    assert_eq!(answer(&sim, ticket), refused(ChangeError::Crowded(zone)));
}

// The leader itself is removed. It must lead until the change is committed; then another one leads.
#[test]
fn leader_removed() {
    let mut sim = Simulation::new(3);
    sim.run(1_000);
    let leader = sim.leader().unwrap();
    apply_change(&mut sim, VoterChange::Remove { id: leader });
    sim.run(1_000);
    let next = sim.leader().unwrap();
    assert_ne!(next, leader);
    assert!(!sim.node(leader).is_leader());
    sim.expect_accepted("without");
}

// A voter's folder is restored from a copy while the leader runs, so that entries it acknowledged
// are gone. It must not be counted; otherwise the loss of one more host could lose a patch.
#[test]
fn restored_disk() {
    let mut sim = Simulation::new(3);
    sim.run(1_000);
    let leader = sim.leader().unwrap();
    let other = VoterId(leader.get() % 3 + 1);
    let copy = sim.hosts[&other].disk.clone();
    sim.expect_accepted("forgotten");
    sim.crash(other, 0);
    sim.hosts.get_mut(&other).unwrap().disk = copy;
    sim.restart(other);
    sim.run(300);
    assert!(sim.events.contains(&(leader, NodeEvent::Regressed(other))));
    let third = VoterId(6 - leader.get() - other.get());
    sim.cut_off(&[third]);
    sim.run(20);
    let ticket = sim.submit(leader, "not counted");
    sim.run(150);
    assert_eq!(sim.answers.get(&ticket), None);
}

// Two processes use one voter id, one of them from an older start of the folder. Entries that the
// older one reports as synced may not be on the disk, so the leader must not count them.
#[test]
fn older_start() {
    let mut sim = Simulation::new(3);
    sim.run(1_000);
    let leader = sim.leader().unwrap();
    let other = VoterId(leader.get() % 3 + 1);
    let old = sim.hosts[&other].node.clone();
    sim.crash(other, 0);
    sim.restart(other);
    sim.run(100);
    let third = VoterId(6 - leader.get() - other.get());
    sim.hosts.get_mut(&other).unwrap().node = old;
    sim.crash(third, 0);
    let ticket = sim.submit(leader, "not counted");
    sim.run(150);
    assert!(sim.events.contains(&(leader, NodeEvent::Outdated(other))));
    assert_eq!(sim.answers.get(&ticket), None);
}

// Pieces of two snapshots arrive mixed, twice and in the wrong order. They must not be joined into
// a state that never existed.
#[test]
fn crossed_pieces() {
    let mut sim = Simulation::new(3);
    sim.run(1_000);
    let leader = sim.leader().unwrap();
    let other = VoterId(leader.get() % 3 + 1);
    sim.crash(other, 0);
    for i in 0..9 {
        sim.expect_accepted(&format!("first-{i}"));
    }
    sim.restart(other);
    let mut pieces_seen = Vec::new();
    for round in 0..40 {
        sim.now = sim.now + Span::from_millis(10);
        for id in sim.ids() {
            sim.step(id, Input::Tick);
            sim.sync(id);
        }
        if round % 4 == 0 {
            let ticket = format!("second-{round}");
            sim.submit(leader, &ticket);
        }
        let pieces = |e: &&snipemast_control::Envelope| {
            matches!(
                e.message,
                Message::Install { .. } | Message::Installed { .. }
            )
        };
        pieces_seen.extend(sim.in_flight.iter().filter(pieces).cloned());
        for envelope in std::mem::take(&mut sim.in_flight).into_iter().rev() {
            sim.deliver(envelope);
        }
        for envelope in pieces_seen.clone().into_iter().rev().step_by(3) {
            sim.deliver(envelope);
        }
    }
    assert!(!pieces_seen.is_empty());
    let unreadable = |n: &(VoterId, NodeEvent)| matches!(n.1, NodeEvent::SnapshotUnreadable(_));
    assert!(!sim.events.iter().any(unreadable));
    sim.heal();
}
