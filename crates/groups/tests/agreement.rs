//! The agreement without faults, and its refusals.

mod common;

use common::{map, proposal, Packet, World};
use snipemast_core::prelude::*;
use snipemast_groups::agree::{
    Attempt, Decided, LeadMessage, Margin, Origin, PeerMessage, RankInput, RankMessage, RankOutput,
    Refusal, Verdict,
};

/// Runs so many rounds in which every engine tries to step and everything is delivered.
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
    assert_eq!(world.group.torn(), None);
    assert_eq!(world.held, 0);
}

#[test]
fn old_fence_refused() {
    let mut world = World::new(3, Margin::default());
    world.form();
    world.propose(0, proposal(5, 1, 2));
    world.settle();
    // A control host that was cut off for long comes back; its number is lower.
    world.propose(0, proposal(4, 2, 3));
    world.settle();
    run(&mut world, 100);
    assert_eq!(world.rejected, 1);
    assert_eq!(world.group.last().unwrap().1, MapVersion::new(2));
}

#[test]
fn agent_refuses_old_fence() {
    // A control host is cut off in silence and comes back with an old number. The group has got
    // another lead since, which knows no number; the engines would obey. Its map must not come
    // into force: the agents know better.
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

#[test]
fn restarted_agent_abstains() {
    // An agent restarts and does not know the fencing number; an old control host is the first
    // to talk to it. It must pass no order on until it has learnt the number.
    let mut world = World::new(3, Margin::default());
    world.form();
    world.restart_agent(2);
    world.agents[2] =
        snipemast_groups::agree::RankAgent::new(2, 3, Incarnation::new(9), world.margin.window);
    world.show_all();
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
    let standing = world.agents[2].active_map().expect("rank 2 stands");
    assert_eq!(
        (standing.version, &standing.map),
        (MapVersion::new(3), &map(2))
    );
}

#[test]
fn late_prepare_ignored() {
    // The order to prepare is overtaken by its own abort. A rank that promised after all would
    // hold the group for a verdict that has long been given.
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

#[test]
fn late_switch_refused() {
    // The order to prepare is so late that the engine is already permitted to enter the switch
    // with the old map.
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

#[test]
fn second_map_waits() {
    // A second map is proposed while the first is under way, by the same control leader: it is
    // refused as busy; a later leader's takes its place. Never are two attempts open.
    let mut world = World::new(3, Margin::default());
    world.form();
    world.propose(0, proposal(1, 1, 2));
    world.propose(0, proposal(1, 1, 3));
    assert_eq!(world.rejected, 1);
    world.propose(0, proposal(2, 1, 4));
    assert_eq!(world.rejected, 2);
    world.settle();
    run(&mut world, 100);
    let standing = world.agents[1].active_map().expect("the group stands");
    assert_eq!(standing.map, map(4));
}

#[test]
fn attempts_follow_each_other() {
    // One rank's word that it took the first verdict is lost on its way. No second attempt may
    // be opened before: a lead that recovers would find two.
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

#[test]
fn missed_maps() {
    // An agent and its engine restart after hundreds of changes have passed them by.
    let mut world = World::new(3, Margin::default());
    world.form();
    for number in 0..300 {
        world.propose(0, proposal(1, 1 + number, 2 + number as u16));
        world.settle();
        run(&mut world, 40);
    }
    world.group.replace(2);
    world.restart_agent(2);
    world.show_all();
    world.rank(0, RankInput::Appointed);
    world.settle();
    run(&mut world, 20);
    let standing = world.agents[2].active_map().expect("rank 2 stands again");
    assert_eq!(standing.version, MapVersion::new(301));
    assert_eq!(world.group.last().unwrap().1, MapVersion::new(301));
    assert_eq!(world.group.torn(), None);
}

#[test]
fn known_commit_survives() {
    // The lead tells one rank to commit and dies with its host; another rank becomes lead. The
    // one that knows enters the switch with the new map, so all must.
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
    let verdicts: Vec<MapVersion> = world
        .agents
        .iter()
        .map(|a| a.active_map().expect("all stand").version)
        .collect();
    assert_eq!(verdicts, [MapVersion::new(2); 3]);
    run(&mut world, 100);
    assert_eq!(world.group.torn(), None);
}

#[test]
fn late_answer_ignored() {
    // A rank has reported to the lead of a new incarnation that it waits for a verdict. Then
    // another rank's answer with that verdict arrives, which the new lead knows nothing of: the
    // rank must not act on it, or its next report tells another story than its first.
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

#[test]
fn stepped_map_survives() {
    // One rank alone learns of the commit, enters the switch with the new map and dies with its
    // host, as does the lead. The others never heard a verdict. The group must not go back to
    // the old map.
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
    world.show_all();
    world.rank(0, RankInput::Appointed);
    world.settle();
    run(&mut world, 20);
    assert_eq!(world.group.last().unwrap().1, MapVersion::new(2));
    assert_eq!(world.group.torn(), None);
}

/// Proposes map 2 and delivers everything but what is lost.
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

#[test]
fn missing_promise_aborts() {
    // One rank's agent stalls and does not promise. The others must not wait for it at the
    // switch: the abort comes before.
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

#[test]
fn unpromised_map_dropped() {
    // One rank has promised, another has not, and the lead dies. The map can't have been
    // committed: it must not come into force by the back door of a new incarnation.
    let mut world = World::new(3, Margin::default());
    world.form();
    run(&mut world, 2);
    propose_losing(&mut world, |p| prepares(p, 2));
    world.restart_agent(0);
    world.show_all();
    world.rank(0, RankInput::Appointed);
    world.settle();
    run(&mut world, 20);
    assert_eq!(world.group.last().unwrap().1, MapVersion::new(1));
}

#[test]
fn second_attempt_refused() {
    // A lead that skipped the recovery of an attempt asks for another promise: the rank has
    // promised already and can't promise twice.
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

#[test]
fn failed_start_bounds() {
    // A start of the group failed after this rank promised it; another rank may have begun it,
    // and its permits may still be under way. The next start must lie past them.
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

/// Lets every rank step so often while messages between agents wait.
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

#[test]
fn slowest_messages_hold_nobody() {
    // Every message takes the longest delay of ordinary running, and steps are the shortest. The
    // verdict must still come before any rank reaches the switch.
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
