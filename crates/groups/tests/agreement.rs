//! The agreement without faults, its refusals, and single failures that are brought about step by
//! step.

mod common;

use common::{map, proposal, Packet, World};
use snipemast_core::prelude::*;
use snipemast_groups::agree::{
    Attempt, Decided, LeadMessage, Margin, Origin, PeerMessage, RankInput, RankMessage, RankOutput,
    Refusal, Verdict,
};

/// Runs this many rounds, in each of which every engine tries to step and all messages are
/// delivered.
fn run(world: &mut World, rounds: usize) {
    for _ in 0..rounds {
        for rank in 0..world.ranks {
            world.step(rank);
        }
        world.settle();
    }
}

#[test]
fn map_switches() {
    let mut world = World::new(3, Margin::default());
    world.form();
    run(&mut world, 5);
    world.propose(0, proposal(1, 1, 2));
    world.settle();
    let before = world.group.last().expect("the group steps").1;
    assert_eq!(before, MapVersion::new(1));
    run(&mut world, 100);
    assert_eq!(world.group.last().unwrap().1, MapVersion::new(2));
    assert_eq!(world.group.map_conflict(), None);
    assert_eq!(world.held, 0);
}

/// Failure guarded against: a control host that was cut off for long comes back with a lower
/// fencing number, and its map would undo a later one.
#[test]
fn old_fence_refused() {
    let mut world = World::new(3, Margin::default());
    world.form();
    world.propose(0, proposal(5, 1, 2));
    world.settle();
    world.propose(0, proposal(4, 2, 3));
    world.settle();
    run(&mut world, 100);
    assert_eq!(world.rejected, 1);
    assert_eq!(world.group.last().unwrap().1, MapVersion::new(2));
}

/// Failure guarded against: a control host that was cut off comes back with an old fencing number,
/// and its map comes into force. The group has a new lead, which knows no fencing number, and
/// engines that check nothing; only the agents refuse it.
#[test]
fn agents_check_fence() {
    let mut world = World::new(3, Margin::default());
    world.group = world.group.with_unchecked();
    world.form();
    world.propose(0, proposal(5, 1, 2));
    world.settle();
    run(&mut world, 100);
    world.rank(1, RankInput::Appointed);
    world.settle();
    world.propose(1, proposal(4, 2, 3));
    world.settle();
    run(&mut world, 100);
    assert_eq!(world.rejected, 1);
    assert_eq!(world.group.last().unwrap().1, MapVersion::new(2));
}

/// Failure guarded against: a restarted agent does not know the fencing number and obeys an old
/// control host that is the first to contact it. It must refuse every map until it has learnt the
/// number.
#[test]
fn restarted_agent_refuses() {
    let mut world = World::new(3, Margin::default());
    world.form();
    world.restart_agent(2);
    world.agents[2] =
        snipemast_groups::agree::RankAgent::new(2, 3, Incarnation::new(9), world.margin.window);
    world.report_all();
    world.rank(0, RankInput::Appointed);
    world.settle();
    world.propose(0, proposal(1, 1, 2));
    world.settle();
    assert_eq!(world.rejected, 1);
    world.rank(2, RankInput::FenceLearnt(Fence::new(1)));
    world.propose(0, proposal(1, 1, 2));
    world.settle();
    run(&mut world, 100);
    // The version of the refused attempt is never used again.
    let active = world.agents[2].active_map().expect("rank 2 has a map");
    assert_eq!((active.version, &active.map), (MapVersion::new(3), &map(2)));
}

/// Failure guarded against: the abort of an attempt arrives before the request to prepare it. A
/// rank that promised then would hold the group for a verdict that was already given.
#[test]
fn late_prepare_ignored() {
    let mut world = World::new(3, Margin::default());
    world.form();
    run(&mut world, 3);
    world.propose(0, proposal(1, 1, 2));
    let mut late = None;
    while let Some(packet) = world.sent.pop() {
        match &packet {
            Packet::ToRank(2, LeadMessage::Prepare { .. }) => late = Some(packet),
            _ => world.deliver(packet),
        }
    }
    let Some(Packet::ToRank(2, LeadMessage::Prepare { attempt })) = late.clone() else {
        panic!("rank 2 is asked to prepare");
    };
    abort(&mut world, attempt);
    world.settle();
    world.deliver(late.unwrap());
    world.settle();
    assert_eq!(world.agents[2].pending(), None);
    run(&mut world, 100);
    assert_eq!(world.held, 0);
}

fn abort(world: &mut World, attempt: Attempt) {
    use snipemast_groups::agree::lead::{LeadInput, LeadTimer};
    let over = LeadTimer::PromiseTimeout(attempt.version);
    world.lead(0, LeadInput::Fired(over));
}

/// Failure guarded against: the request to prepare arrives so late that the engine is already
/// permitted to enter the switch with the old map.
#[test]
fn late_switch_refused() {
    let mut world = World::new(3, Margin::default());
    world.form();
    run(&mut world, 3);
    world.propose(0, proposal(1, 1, 2));
    let mut late = None;
    while let Some(packet) = world.sent.pop() {
        match &packet {
            Packet::ToRank(2, LeadMessage::Prepare { .. }) => late = Some(packet),
            _ => world.deliver(packet),
        }
    }
    let Some(Packet::ToRank(2, LeadMessage::Prepare { attempt })) = late else {
        panic!("rank 2 is asked to prepare");
    };
    let near = Attempt {
        switch: Step::new(world.group.completed().get()),
        ..attempt
    };
    let out = world.agents[2].handle(RankInput::Lead(LeadMessage::Prepare { attempt: near }));
    let refused = RankMessage::Refused {
        refusal: Refusal::Late(near),
    };
    assert_eq!(out, [RankOutput::ToLead(near.term, refused)]);
}

/// Failure guarded against: two attempts are open because a second map is proposed while the first
/// is under way. One of the same control leader must be rejected, and one of a later leader must
/// replace the first.
#[test]
fn second_map_rejected() {
    let mut world = World::new(3, Margin::default());
    world.form();
    world.propose(0, proposal(1, 1, 2));
    world.propose(0, proposal(1, 1, 3));
    assert_eq!(world.rejected, 1);
    world.propose(0, proposal(2, 1, 4));
    assert_eq!(world.rejected, 2);
    world.settle();
    run(&mut world, 100);
    let active = world.agents[1].active_map().expect("rank 1 has a map");
    assert_eq!(active.map, map(4));
}

/// Failure guarded against: a rank's answer that it applied the first verdict is lost, and a second
/// attempt is opened before it is repeated. A lead that recovers would find two open attempts.
#[test]
fn one_open_attempt() {
    let mut world = World::new(3, Margin::default());
    world.form();
    world.propose(0, proposal(1, 1, 2));
    while let Some(packet) = world.sent.pop() {
        let lost = matches!(packet, Packet::ToLead(2, _, RankMessage::Settled { .. }));
        if !lost {
            world.deliver(packet);
        }
    }
    assert_eq!(world.agents[2].pending(), None);
    world.propose(0, proposal(1, 2, 3));
    let loads = |p: &Packet| matches!(p, Packet::ToRank(_, LeadMessage::Load { .. }));
    assert!(!world.sent.iter().any(loads));
}

/// Failure guarded against: an agent and its engine restart and do not get the current map after
/// hundreds of changes.
#[test]
fn restart_after_changes() {
    let mut world = World::new(3, Margin::default());
    world.form();
    for number in 0..300 {
        world.propose(0, proposal(1, 1 + number, 2 + number as u16));
        world.settle();
        run(&mut world, 40);
    }
    world.group.replace(2);
    world.restart_agent(2);
    world.report_all();
    world.rank(0, RankInput::Appointed);
    world.settle();
    run(&mut world, 20);
    let active = world.agents[2]
        .active_map()
        .expect("rank 2 has a map again");
    assert_eq!(active.version, MapVersion::new(301));
    assert_eq!(world.group.last().unwrap().1, MapVersion::new(301));
    assert_eq!(world.group.map_conflict(), None);
}

/// Failure guarded against: the lead tells only one rank to commit and dies with its host. That
/// rank enters the switch with the new map, and the others would enter it with the old one.
#[test]
fn known_commit_survives() {
    let mut world = World::new(3, Margin::default());
    world.form();
    run(&mut world, 2);
    world.propose(0, proposal(1, 1, 2));
    while let Some(packet) = world.sent.pop() {
        let told = matches!(packet, Packet::ToRank(to, LeadMessage::Decide { .. }) if to != 1);
        if !told {
            world.deliver(packet);
        }
    }
    world.leads[0] = None;
    world.rank(2, RankInput::Appointed);
    world.settle();
    let versions: Vec<MapVersion> = world
        .agents
        .iter()
        .map(|a| a.active_map().expect("every rank has a map").version)
        .collect();
    assert_eq!(versions, [MapVersion::new(2); 3]);
    run(&mut world, 100);
    assert_eq!(world.group.map_conflict(), None);
}

/// Failure guarded against: a rank has reported to the lead of a new incarnation that an attempt is
/// in doubt, and then another rank's answer with the verdict arrives. A rank that applied it would
/// contradict its own report.
#[test]
fn late_answer_ignored() {
    let mut world = World::new(3, Margin::default());
    world.form();
    run(&mut world, 2);
    world.propose(0, proposal(1, 1, 2));
    while let Some(packet) = world.sent.pop() {
        let told = matches!(packet, Packet::ToRank(2, LeadMessage::Decide { .. }));
        if !told {
            world.deliver(packet);
        }
    }
    let attempt = world.agents[2].pending().expect("rank 2 waits");
    let term = attempt.term.next_incarnation(0, Incarnation::new(1));
    world.rank(2, RankInput::Lead(LeadMessage::Ask { term }));
    let decided = Decided {
        attempt,
        verdict: Verdict::Commit,
    };
    let answer = PeerMessage::Answer(decided);
    world.rank(
        2,
        RankInput::Peer {
            from: 1,
            message: answer,
        },
    );
    assert_eq!(world.agents[2].pending(), Some(attempt));
}

/// Failure guarded against: the only rank that knows of a commit enters the switch with the new map
/// and dies with its host, as does the lead. The other ranks have no verdict, and the group would
/// go back to the old map.
#[test]
fn stepped_map_survives() {
    let mut world = World::new(3, Margin::default());
    world.form();
    run(&mut world, 2);
    world.propose(0, proposal(1, 1, 2));
    while let Some(packet) = world.sent.pop() {
        let told = matches!(packet, Packet::ToRank(to, LeadMessage::Decide { .. }) if to != 1);
        if !told {
            world.deliver(packet);
        }
    }
    run(&mut world, 100);
    assert_eq!(world.group.highest(), MapVersion::new(2));
    world.leads[0] = None;
    world.group.replace(1);
    world.restart_agent(1);
    world.report_all();
    world.rank(0, RankInput::Appointed);
    world.settle();
    run(&mut world, 20);
    assert_eq!(world.group.last().unwrap().1, MapVersion::new(2));
    assert_eq!(world.group.map_conflict(), None);
}

/// Proposes map 2 and delivers all messages but the lost ones.
fn propose_losing(world: &mut World, lost: impl Fn(&Packet) -> bool) {
    world.propose(0, proposal(1, 1, 2));
    while let Some(packet) = world.sent.pop() {
        if !lost(&packet) {
            world.deliver(packet);
        }
    }
}

fn prepares(packet: &Packet, rank: u32) -> bool {
    matches!(packet, Packet::ToRank(to, LeadMessage::Prepare { .. }) if *to == rank)
}

/// Failure guarded against: one rank's agent stalls and does not promise, and the others wait for
/// it at the switch. The abort must arrive before the switch.
#[test]
fn missing_promise_aborts() {
    let mut world = World::new(3, Margin::default());
    world.form();
    run(&mut world, 2);
    propose_losing(&mut world, |p| prepares(p, 2));
    let attempt = world.agents[1].pending().expect("rank 1 has promised");
    abort(&mut world, attempt);
    world.settle();
    run(&mut world, 100);
    assert_eq!(world.held, 0);
    assert_eq!(world.group.last().unwrap().1, MapVersion::new(1));
}

/// Failure guarded against: one rank has promised, another has not, and the lead dies. The map
/// can't have been committed, and a new incarnation must not start with it.
#[test]
fn unpromised_map_dropped() {
    let mut world = World::new(3, Margin::default());
    world.form();
    run(&mut world, 2);
    propose_losing(&mut world, |p| prepares(p, 2));
    world.restart_agent(0);
    world.report_all();
    world.rank(0, RankInput::Appointed);
    world.settle();
    run(&mut world, 20);
    assert_eq!(world.group.last().unwrap().1, MapVersion::new(1));
}

/// Failure guarded against: a lead that did not recover an open attempt asks for a second promise,
/// and a rank would have promised two attempts.
#[test]
fn second_attempt_refused() {
    let mut world = World::new(3, Margin::default());
    world.form();
    run(&mut world, 2);
    propose_losing(&mut world, |p| {
        matches!(p, Packet::ToRank(2, LeadMessage::Decide { .. }))
    });
    let open = world.agents[2].pending().expect("rank 2 waits");
    let term = open.term.next_ballot(1, Incarnation::new(1));
    let version = MapVersion::new(9);
    let origin = Origin::Control(Fence::new(1));
    let map = map(2);
    world.rank(2, RankInput::Lead(LeadMessage::Ask { term }));
    let load = LeadMessage::Load {
        term,
        origin,
        version,
        map,
    };
    world.rank(2, RankInput::Lead(load));
    let attempt = Attempt {
        term,
        version,
        switch: Step::new(900),
    };
    let out = world.agents[2].handle(RankInput::Lead(LeadMessage::Prepare { attempt }));
    let refusal = Refusal::Busy(open);
    let refused = RankOutput::ToLead(term, RankMessage::Refused { refusal });
    assert_eq!(out, [refused]);
}

/// Failure guarded against: a start of the group fails after a rank has promised it, and the next
/// start lies below permits of the failed one that are still under way, because another rank may
/// have begun it.
#[test]
fn failed_start_respected() {
    let mut world = World::new(3, Margin::default());
    world.form();
    let term = world.agents[2]
        .term()
        .next_incarnation(1, Incarnation::new(1));
    let origin = Origin::Recovery;
    let (version, map) = (MapVersion::new(1), map(1));
    let switch = Step::new(500);
    let attempt = Attempt {
        term,
        version,
        switch,
    };
    let load = LeadMessage::Load {
        term,
        origin,
        version,
        map,
    };
    world.rank(2, RankInput::Lead(LeadMessage::Ask { term }));
    world.rank(2, RankInput::Lead(load));
    world.rank(2, RankInput::Lead(LeadMessage::Prepare { attempt }));
    assert_eq!(world.agents[2].pending(), Some(attempt));
    let next = term.next_incarnation(0, Incarnation::new(1));
    let out = world.agents[2].handle(RankInput::Lead(LeadMessage::Ask { term: next }));
    let permitted = out.iter().find_map(|o| match o {
        RankOutput::ToLead(_, RankMessage::Report(report)) => Some(report.permitted),
        _ => None,
    });
    let past = Step::new(switch.get() + world.margin.window);
    assert!(permitted >= Some(past), "{permitted:?}");
}

/// Lets every rank step this many times while messages between agents wait.
fn step_alone(world: &mut World, rounds: usize) {
    let local = |p: &Packet| {
        matches!(
            p,
            Packet::Permit(..) | Packet::Status(..) | Packet::Load(..)
        )
    };
    for _ in 0..rounds {
        for rank in 0..world.ranks {
            world.step(rank);
        }
        while let Some(n) = world.sent.iter().position(local) {
            let packet = world.sent.remove(n);
            world.deliver(packet);
        }
    }
}

/// Failure guarded against: a rank waits at the switch although nothing has failed, because every
/// message takes the longest delay of normal operation and steps are the shortest. The verdict must
/// arrive before any rank reaches the switch.
#[test]
fn slowest_messages_suffice() {
    let margin = Margin::default();
    let mut world = World::new(3, margin);
    world.form();
    run(&mut world, 5);
    world.propose(0, proposal(1, 1, 2));
    let steps = margin.delay.as_micros().div_ceil(margin.step.as_micros());
    for _ in 0..8 {
        let batch = std::mem::take(&mut world.sent);
        step_alone(&mut world, steps as usize);
        for packet in batch {
            world.deliver(packet);
        }
    }
    step_alone(&mut world, 100);
    assert_eq!((world.held, world.rejected), (0, 0));
    assert_eq!(world.group.last().unwrap().1, MapVersion::new(2));
}
