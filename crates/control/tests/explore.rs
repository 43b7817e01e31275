//! Every order of events of a small instance: 3 voters, 2 commands, 1 crash, 1 cut.
//!
//! From an elected leader on, each message may come at any time, a process may die before or
//! after its disk has synced, a voter may be cut off, and an election timeout may end. Every
//! state that can be reached is visited once, and the invariants are checked on the way to it.

mod support;

use std::collections::hash_map::DefaultHasher;
use std::collections::HashSet;
use std::hash::{Hash, Hasher};

use snipemast_control::{Input, Timing, VoterId};
use snipemast_core::prelude::*;

use support::{timing, World};

/// What may still happen.
#[derive(Debug, Clone, Copy, Hash)]
struct Budget {
    commands: u8,
    crashes: u8,
    cuts: u8,
    /// Election timeouts that end.
    timeouts: u8,
    /// Voters that no longer hear a leader and would vote for another.
    doubts: u8,
    /// Whether a disk may sync at any time, or does so at the end of each step.
    slow: bool,
}

#[derive(Debug, Clone, Copy)]
enum Act {
    Deliver(usize),
    Sync(VoterId),
    Ask(VoterId),
    Crash(VoterId, usize),
    Restart(VoterId),
    CutOff(VoterId),
    Mend,
    Timeout(VoterId),
    Doubt(VoterId),
}

#[derive(Clone)]
struct State {
    world: World,
    budget: Budget,
}

impl State {
    /// A settled world with a leader.
    fn new(budget: Budget) -> Self {
        let timing = Timing {
            snapshot_entries: 1_000,
            ..timing()
        };
        let mut world = World::with_timing(3, timing);
        world.run(1_000);
        assert!(world.leader().is_some());
        // Each voter has its own clock here, so there is no moment of which a lease could speak.
        world.stopped = true;
        Self { world, budget }
    }

    fn acts(&self) -> Vec<Act> {
        let world = &self.world;
        let mut acts: Vec<Act> = (0..world.bag.len()).map(Act::Deliver).collect();
        for id in world.ids() {
            if !world.runs(id) {
                acts.push(Act::Restart(id));
                continue;
            }
            let pending = world.places[&id].disk.pending.len();
            if pending > 0 {
                acts.push(Act::Sync(id));
            }
            if self.budget.commands > 0 && world.node(id).is_leader() {
                acts.push(Act::Ask(id));
            }
            if self.budget.crashes > 0 {
                acts.push(Act::Crash(id, 0));
                if pending > 0 {
                    acts.push(Act::Crash(id, pending));
                }
            }
            if self.budget.cuts > 0 {
                acts.push(Act::CutOff(id));
            }
            if self.budget.timeouts > 0 && !world.node(id).is_leader() {
                acts.push(Act::Timeout(id));
            }
            if self.budget.doubts > 0 && !world.node(id).is_leader() {
                acts.push(Act::Doubt(id));
            }
        }
        if !world.cuts.is_empty() {
            acts.push(Act::Mend);
        }
        acts
    }

    fn after(&self, act: Act) -> Self {
        let mut next = self.clone();
        let Self { world, budget } = &mut next;
        match act {
            Act::Deliver(place) => {
                let envelope = world.bag.remove(place);
                world.deliver(envelope);
            }
            Act::Sync(id) => world.sync(id),
            Act::Ask(id) => {
                let command = format!("c{}", budget.commands);
                budget.commands -= 1;
                world.ask(id, &command);
            }
            Act::Crash(id, kept) => {
                budget.crashes -= 1;
                world.crash(id, kept);
            }
            Act::Restart(id) => world.restart(id),
            Act::CutOff(id) => {
                budget.cuts -= 1;
                world.cut_off(&[id]);
            }
            Act::Mend => world.cuts.clear(),
            Act::Timeout(id) => {
                budget.timeouts -= 1;
                world.ahead.insert(id, Span::from_millis(310));
                world.step(id, Input::Tick);
            }
            Act::Doubt(id) => {
                budget.doubts -= 1;
                world.ahead.insert(id, Span::from_millis(201));
                world.step(id, Input::Tick);
            }
        }
        if !self.budget.slow {
            for id in next.world.ids() {
                next.world.sync(id);
            }
        }
        next.world.bag.sort_by_key(hash);
        next.world.bag.dedup();
        next.world.notes.clear();
        next
    }

    /// The state without what only tests keep; the order of messages does not count.
    fn fingerprint(&self) -> u64 {
        let mut messages: Vec<u64> = self.world.bag.iter().map(hash).collect();
        messages.sort_unstable();
        let World {
            ahead,
            places,
            cuts,
            committed,
            ..
        } = &self.world;
        hash(&(ahead, places, cuts, committed, messages, self.budget))
    }
}

fn hash<T: Hash>(value: &T) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// Visits every state that can be reached and returns how many there are.
fn explore(budget: Budget) -> usize {
    let first = State::new(budget);
    let mut seen = HashSet::from([first.fingerprint()]);
    let mut open = vec![first];
    while let Some(state) = open.pop() {
        for act in state.acts() {
            let next = state.after(act);
            if seen.insert(next.fingerprint()) {
                open.push(next);
            }
        }
    }
    seen.len()
}

fn budget(commands: u8, crashes: u8, cuts: u8, elections: u8) -> Budget {
    Budget {
        commands,
        crashes,
        cuts,
        timeouts: elections,
        doubts: elections,
        slow: false,
    }
}

#[test]
fn small_instance() {
    let states = explore(budget(2, 1, 1, 0));
    println!("states: {states}");
    assert!(states > 50_000);
}

// The leader or another dies, and one voter stands for election.
#[test]
fn crash_and_election() {
    let states = explore(budget(0, 1, 0, 1));
    println!("states: {states}");
    assert!(states > 10_000);
}

// Disks sync at any time after a write, also after later messages.
#[test]
fn slow_disks() {
    let states = explore(Budget {
        slow: true,
        ..budget(1, 1, 1, 0)
    });
    println!("states: {states}");
    assert!(states > 4_000);
}
