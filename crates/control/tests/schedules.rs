//! Random schedules of inputs and faults; all invariants are checked after each step.

mod support;

use quickcheck::{Arbitrary, Gen, QuickCheck};

use snipemast_control::{VoterChange, VoterId, Voters};
use snipemast_core::prelude::*;

use support::{location, Simulation};

/// One action of a schedule.
#[derive(Debug, Clone)]
enum Action {
    Pass(u64),
    Deliver(usize),
    Duplicate(usize),
    Drop(usize),
    Sync(u64, usize),
    Run,
    Submit(u64),
    Crash(u64, usize),
    Restart(u64),
    CutOff(u64),
    Heal,
    Learn(u64),
    Promote(u64),
    Remove(u64),
}

impl Arbitrary for Action {
    fn arbitrary(g: &mut Gen) -> Self {
        let number = u64::arbitrary(g);
        let (id, index) = (number % 5 + 1, (number >> 8) as usize);
        match u8::arbitrary(g) % 40 {
            0..=4 => Self::Pass(number % 300),
            5..=12 => Self::Deliver(index),
            13 => Self::Duplicate(index),
            14 => Self::Drop(index),
            15..=19 => Self::Sync(id, index % 3),
            20..=24 => Self::Run,
            25..=29 => Self::Submit(number % 20),
            30..=31 => Self::Crash(id, index % 3),
            32..=33 => Self::Restart(id),
            34 => Self::CutOff(id),
            35 => Self::Heal,
            36 => Self::Learn(id),
            37..=38 => Self::Promote(id),
            _ => Self::Remove(id),
        }
    }
}

fn carry_out(sim: &mut Simulation, action: &Action) {
    let pick = |index: usize, sim: &Simulation| match sim.in_flight.len() {
        0 => None,
        n => Some(index % n),
    };
    match action {
        Action::Pass(millis) => {
            sim.now = sim.now + Span::from_millis(*millis);
            for id in sim.ids() {
                sim.step(id, snipemast_control::Input::Tick);
            }
        }
        Action::Deliver(index) => {
            if let Some(i) = pick(*index, sim) {
                let envelope = sim.in_flight.remove(i);
                sim.deliver(envelope);
            }
        }
        Action::Duplicate(index) => {
            if let Some(i) = pick(*index, sim) {
                let envelope = sim.in_flight[i].clone();
                sim.in_flight.push(envelope);
            }
        }
        Action::Drop(index) => {
            if let Some(i) = pick(*index, sim) {
                sim.in_flight.remove(i);
            }
        }
        Action::Sync(id, count) => sim.sync_some(VoterId(*id), count + 1),
        Action::Run => sim.run(20),
        Action::Submit(number) => {
            if let Some(leader) = sim.leader() {
                sim.submit(leader, &format!("c{number}"));
            }
        }
        Action::Crash(id, kept) => sim.crash(VoterId(*id), *kept),
        Action::Restart(id) => sim.restart(VoterId(*id)),
        Action::CutOff(id) => sim.cut_off(&[VoterId(*id)]),
        Action::Heal => sim.cuts.clear(),
        Action::Learn(id) => {
            let location = location(*id, &format!("zone-{id}"));
            change(
                sim,
                VoterChange::Learn {
                    id: VoterId(*id),
                    location,
                },
            );
        }
        Action::Promote(id) => change(sim, VoterChange::Promote { id: VoterId(*id) }),
        Action::Remove(id) => change(sim, VoterChange::Remove { id: VoterId(*id) }),
    }
}

fn change(sim: &mut Simulation, change: VoterChange) {
    if let Some(leader) = sim.leader() {
        sim.change(leader, change);
    }
}

fn run_schedule(actions: &[Action]) {
    let mut sim = Simulation::new(3);
    for id in [4, 5] {
        sim.add(VoterId(id), Voters::default());
    }
    sim.run(600);
    for action in actions {
        carry_out(&mut sim, action);
    }
    sim.heal();
}

#[test]
fn random_schedules() {
    let holds = |actions: Vec<Action>| {
        run_schedule(&actions);
        true
    };
    for seed in 1..=4 {
        let gen = Gen::from_size_and_seed(150, seed);
        let check = holds as fn(Vec<Action>) -> bool;
        QuickCheck::new().rng(gen).tests(250).quickcheck(check);
    }
}
