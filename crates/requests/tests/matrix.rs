//! Runs the state machines through every fault at every step, and through every pair of them.

mod world;

use snipemast_core::prelude::*;
use world::{Fault, Kind, SendResult, Step, World, DEADLINE, FAULTS, HOLD, SILENCE, STEPS};

/// What went wrong in a run, if anything.
type Violation = Option<String>;

/// The results of all runs of a test.
#[derive(Debug, Default)]
struct Tally {
    cells: usize,
    whole: usize,
    sends: usize,
    wrong: Vec<String>,
}

fn kinds() -> Vec<Kind> {
    let mut kinds = Vec::new();
    for bits in 0..16 {
        kinds.push(Kind {
            idempotent: bits & 1 > 0,
            keyed: bits & 2 > 0,
            stream: bits & 4 > 0,
            eager: bits & 8 > 0,
        });
    }
    // Two sends at the same time without a key are two requests.
    kinds.retain(|k| k.keyed || !k.eager);
    kinds
}

fn run_cell(kind: Kind, faults: &[(Step, Fault)], tally: &mut Tally) {
    let mut world = World::new(kind, faults);
    world.run();
    tally.cells += 1;
    tally.sends += world.sends.len();
    let whole = |s: &&world::CallerSend| s.result == Some(SendResult::Whole);
    tally.whole += world.sends.iter().filter(whole).count();
    for wrong in [
        world.violation.map(String::from),
        check_runs(&world),
        check_answered(&world, faults),
        check_outcomes(&world),
        check_answers(&world),
        check_ends(&world),
        check_leftovers(&mut world),
    ] {
        tally
            .wrong
            .extend(wrong.map(|w| format!("{kind:?} {faults:?}: {w}")));
    }
}

/// Checks that a non-idempotent request runs at most once. A send without a key is a request of its
/// own.
fn check_runs(world: &World) -> Violation {
    if world.kind.idempotent {
        return None;
    }
    let ran = |ids: &[DispatchId]| -> u32 { ids.iter().filter_map(|id| world.runs.get(id)).sum() };
    let total: u32 = match world.kind.keyed {
        true => world.sends.iter().map(|s| ran(&s.ids)).sum(),
        false => world.sends.iter().map(|s| ran(&s.ids)).max().unwrap_or(0),
    };
    (total > 1).then(|| format!("it ran {total} times"))
}

/// Checks that a send that is answered as "not run" ran on no server.
fn check_outcomes(world: &World) -> Violation {
    let lied = |s: &&world::CallerSend| {
        let denied =
            matches!(s.result, Some(SendResult::Failed(v)) if v.outcome == Outcome::NotRun);
        denied && s.ids.iter().any(|id| world.runs.contains_key(id))
    };
    let send = world.sends.iter().find(lied)?;
    Some(format!("{:?} was reported, but it ran", send.result))
}

/// Checks that the caller got the right bytes, or knows that some are missing.
fn check_answers(world: &World) -> Violation {
    let body = world::body();
    let wrong = |s: &&world::CallerSend| match s.result {
        Some(SendResult::Whole) => s.bytes != body,
        _ => !body.starts_with(&s.bytes),
    };
    let send = world.sends.iter().find(wrong)?;
    Some(format!(
        "wrong bytes: {:?}",
        String::from_utf8_lossy(&send.bytes)
    ))
}

/// Checks that no answer is lost by a single fault of the network.
fn check_answered(world: &World, faults: &[(Step, Fault)]) -> Violation {
    let [(step, fault)] = faults else {
        return None;
    };
    let network = [
        Fault::Silent,
        Fault::Reset,
        Fault::Delayed,
        Fault::Duplicated,
        Fault::Crossed,
    ];
    let before = *step < Step::Delivered && network.contains(fault);
    let lost = world
        .sends
        .iter()
        .any(|s| s.result != Some(SendResult::Whole));
    (before && lost).then(|| "an answer was lost".into())
}

/// Checks that every send ends within the deadline and the longest silence.
fn check_ends(world: &World) -> Violation {
    let bound = DEADLINE.as_micros() + SILENCE.as_micros();
    let begun = world.sends.iter().filter(|s| !s.gone_silent);
    for send in begun {
        match send.result {
            None => return Some("a send without a verdict".into()),
            Some(_) if send.ended.as_micros() > send.began.as_micros() + bound => {
                return Some("a late verdict".into());
            }
            Some(_) => {}
        }
    }
    None
}

/// Checks that nothing is remembered once nobody may ask for it any more.
fn check_leftovers(world: &mut World) -> Violation {
    let end = world.now + HOLD.times(3);
    for agent in &mut world.agents {
        agent.ledger.expire(end);
        if agent.ledger.len() + agent.ledger.bytes() > 0 {
            return Some("a ledger entry stayed".into());
        }
    }
    for keeper in &mut world.keepers {
        keeper.expire(end);
        if !keeper.is_empty() {
            return Some("a claim stayed".into());
        }
    }
    let live = world.sends.iter().filter(|s| !world.dead[s.entry]);
    let open = live.filter(|s| !s.machine.is_done()).count();
    (open > 0).then(|| "a request machine stayed".into())
}

fn report(tally: &Tally) {
    println!(
        "cells: {} sends: {} whole: {} wrong: {}",
        tally.cells,
        tally.sends,
        tally.whole,
        tally.wrong.len()
    );
    for wrong in tally.wrong.iter().take(12) {
        println!("  {wrong}");
    }
    assert!(tally.wrong.is_empty(), "some cells went wrong");
}

#[test]
fn no_fault() {
    let mut tally = Tally::default();
    for kind in kinds() {
        run_cell(kind, &[], &mut tally);
    }
    report(&tally);
    assert_eq!(
        tally.whole, tally.sends,
        "without a fault every send is answered"
    );
}

#[test]
fn one_fault() {
    let mut tally = Tally::default();
    for kind in kinds() {
        for step in STEPS {
            for fault in FAULTS {
                run_cell(kind, &[(step, fault)], &mut tally);
            }
        }
    }
    report(&tally);
}

#[test]
fn two_faults() {
    let mut tally = Tally::default();
    let all: Vec<_> = STEPS
        .iter()
        .flat_map(|s| FAULTS.iter().map(|f| (*s, *f)))
        .collect();
    for kind in kinds() {
        for (n, first) in all.iter().enumerate() {
            for second in &all[n..] {
                run_cell(kind, &[*first, *second], &mut tally);
            }
        }
    }
    report(&tally);
}
