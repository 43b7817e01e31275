//! Random schedules of inputs and faults, with every invariant checked after each step.

mod support;

use quickcheck::{Arbitrary, Gen, QuickCheck};

use snipemast_control::{VoterChange, VoterId, Voters};
use snipemast_core::prelude::*;

use support::{location, World};

/// One act of a schedule.
#[derive(Debug, Clone)]
enum Act {
    Pass(u64),
    Deliver(usize),
    Duplicate(usize),
    Lose(usize),
    Sync(u64, usize),
    Settle,
    Ask(u64),
    Crash(u64, usize),
    Restart(u64),
    CutOff(u64),
    Mend,
    Learn(u64),
    Promote(u64),
    Remove(u64),
}

impl Arbitrary for Act {
    fn arbitrary(g: &mut Gen) -> Self {
        let number = u64::arbitrary(g);
        let (id, place) = (number % 5 + 1, (number >> 8) as usize);
        match u8::arbitrary(g) % 40 {
            0..=4 => Self::Pass(number % 300),
            5..=12 => Self::Deliver(place),
            13 => Self::Duplicate(place),
            14 => Self::Lose(place),
            15..=19 => Self::Sync(id, place % 3),
            20..=24 => Self::Settle,
            25..=29 => Self::Ask(number % 20),
            30..=31 => Self::Crash(id, place % 3),
            32..=33 => Self::Restart(id),
            34 => Self::CutOff(id),
            35 => Self::Mend,
            36 => Self::Learn(id),
            37..=38 => Self::Promote(id),
            _ => Self::Remove(id),
        }
    }
}

fn carry_out(world: &mut World, act: &Act) {
    let pick = |place: usize, world: &World| match world.bag.len() {
        0 => None,
        n => Some(place % n),
    };
    match act {
        Act::Pass(millis) => {
            world.now = world.now + Span::from_millis(*millis);
            for id in world.ids() {
                world.step(id, snipemast_control::Input::Tick);
            }
        }
        Act::Deliver(place) => {
            if let Some(i) = pick(*place, world) {
                let envelope = world.bag.remove(i);
                world.deliver(envelope);
            }
        }
        Act::Duplicate(place) => {
            if let Some(i) = pick(*place, world) {
                let envelope = world.bag[i].clone();
                world.bag.push(envelope);
            }
        }
        Act::Lose(place) => {
            if let Some(i) = pick(*place, world) {
                world.bag.remove(i);
            }
        }
        Act::Sync(id, count) => world.sync_some(VoterId(*id), count + 1),
        Act::Settle => world.run(20),
        Act::Ask(number) => {
            if let Some(leader) = world.leader() {
                world.ask(leader, &format!("c{number}"));
            }
        }
        Act::Crash(id, kept) => world.crash(VoterId(*id), *kept),
        Act::Restart(id) => world.restart(VoterId(*id)),
        Act::CutOff(id) => world.cut_off(&[VoterId(*id)]),
        Act::Mend => world.cuts.clear(),
        Act::Learn(id) => {
            let location = location(*id, &format!("zone-{id}"));
            change(
                world,
                VoterChange::Learn {
                    id: VoterId(*id),
                    location,
                },
            );
        }
        Act::Promote(id) => change(world, VoterChange::Promote { id: VoterId(*id) }),
        Act::Remove(id) => change(world, VoterChange::Remove { id: VoterId(*id) }),
    }
}

fn change(world: &mut World, change: VoterChange) {
    if let Some(leader) = world.leader() {
        world.change(leader, change);
    }
}

fn play(acts: &[Act]) {
    let mut world = World::new(3);
    for id in [4, 5] {
        world.add(VoterId(id), Voters::default());
    }
    world.run(600);
    for act in acts {
        carry_out(&mut world, act);
    }
    world.heal();
}

#[test]
fn random_schedules() {
    let holds = |acts: Vec<Act>| {
        play(&acts);
        true
    };
    for seed in 1..=4 {
        let gen = Gen::from_size_and_seed(150, seed);
        let check = holds as fn(Vec<Act>) -> bool;
        QuickCheck::new().rng(gen).tests(250).quickcheck(check);
    }
}
