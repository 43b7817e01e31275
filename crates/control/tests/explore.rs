//! Explores every order of events of a small instance: 3 voters, 2 commands, 1 crash, 1 cut.
//!
//! Once a leader is elected, each message may arrive at any time, a process may die before or
//! after its disk has synced, a voter may be cut off, and an election timeout may expire. Every
//! reachable state is visited once, and the invariants are checked on the way to it.

mod support;

use std::collections::hash_map::DefaultHasher;
use std::collections::HashSet;
use std::hash::{Hash, Hasher};

use snipemast_control::{Input, Timing, VoterId};
use snipemast_core::prelude::*;

use support::{timing, Simulation};

/// The numbers of events that may still occur.
#[derive(Debug, Clone, Copy, Hash)]
struct Budget {
    commands: u8,
    crashes: u8,
    cuts: u8,
    /// Election timeouts that expire.
    timeouts: u8,
    /// Voters that stop hearing the leader and would vote for another one.
    doubts: u8,
    /// Whether a disk may sync at any time instead of at the end of each step.
    slow_disks: bool,
}

#[derive(Debug, Clone, Copy)]
enum Action {
    Deliver(usize),
    Sync(VoterId),
    Submit(VoterId),
    Crash(VoterId, usize),
    Restart(VoterId),
    CutOff(VoterId),
    Heal,
    Timeout(VoterId),
    Doubt(VoterId),
}

#[derive(Clone)]
struct State {
    sim: Simulation,
    budget: Budget,
}

impl State {
    /// Returns a simulation with an elected leader.
    fn new(budget: Budget) -> Self {
        let timing = Timing {
            snapshot_entries: 1_000,
            ..timing()
        };
        let mut sim = Simulation::with_timing(3, timing);
        sim.run(1_000);
        assert!(sim.leader().is_some());
        // Each voter has its own clock here, so leases cannot be compared.
        sim.clock_stopped = true;
        Self { sim, budget }
    }

    fn actions(&self) -> Vec<Action> {
        let sim = &self.sim;
        let mut actions: Vec<Action> = (0..sim.in_flight.len()).map(Action::Deliver).collect();
        for id in sim.ids() {
            if !sim.is_running(id) {
                actions.push(Action::Restart(id));
                continue;
            }
            let pending = sim.hosts[&id].disk.pending.len();
            if pending > 0 {
                actions.push(Action::Sync(id));
            }
            if self.budget.commands > 0 && sim.node(id).is_leader() {
                actions.push(Action::Submit(id));
            }
            if self.budget.crashes > 0 {
                actions.push(Action::Crash(id, 0));
                if pending > 0 {
                    actions.push(Action::Crash(id, pending));
                }
            }
            if self.budget.cuts > 0 {
                actions.push(Action::CutOff(id));
            }
            if self.budget.timeouts > 0 && !sim.node(id).is_leader() {
                actions.push(Action::Timeout(id));
            }
            if self.budget.doubts > 0 && !sim.node(id).is_leader() {
                actions.push(Action::Doubt(id));
            }
        }
        if !sim.cuts.is_empty() {
            actions.push(Action::Heal);
        }
        actions
    }

    fn after(&self, action: Action) -> Self {
        let mut next = self.clone();
        let Self { sim, budget } = &mut next;
        match action {
            Action::Deliver(index) => {
                let envelope = sim.in_flight.remove(index);
                sim.deliver(envelope);
            }
            Action::Sync(id) => sim.sync(id),
            Action::Submit(id) => {
                let command = format!("c{}", budget.commands);
                budget.commands -= 1;
                sim.submit(id, &command);
            }
            Action::Crash(id, kept) => {
                budget.crashes -= 1;
                sim.crash(id, kept);
            }
            Action::Restart(id) => sim.restart(id),
            Action::CutOff(id) => {
                budget.cuts -= 1;
                sim.cut_off(&[id]);
            }
            Action::Heal => sim.cuts.clear(),
            Action::Timeout(id) => {
                budget.timeouts -= 1;
                sim.clock_ahead.insert(id, Span::from_millis(310));
                sim.step(id, Input::Tick);
            }
            Action::Doubt(id) => {
                budget.doubts -= 1;
                sim.clock_ahead.insert(id, Span::from_millis(201));
                sim.step(id, Input::Tick);
            }
        }
        if !self.budget.slow_disks {
            for id in next.sim.ids() {
                next.sim.sync(id);
            }
        }
        next.sim.in_flight.sort_by_key(hash);
        next.sim.in_flight.dedup();
        next.sim.events.clear();
        next
    }

    /// Returns a hash of the state without what only tests track; the order of messages does not
    /// count.
    fn fingerprint(&self) -> u64 {
        let mut messages: Vec<u64> = self.sim.in_flight.iter().map(hash).collect();
        messages.sort_unstable();
        let Simulation {
            clock_ahead,
            hosts,
            cuts,
            committed,
            ..
        } = &self.sim;
        hash(&(clock_ahead, hosts, cuts, committed, messages, self.budget))
    }
}

fn hash<T: Hash>(value: &T) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// Visits every reachable state and returns their number.
fn explore(budget: Budget) -> usize {
    let first = State::new(budget);
    let mut seen = HashSet::from([first.fingerprint()]);
    let mut open = vec![first];
    while let Some(state) = open.pop() {
        for action in state.actions() {
            let next = state.after(action);
            if seen.insert(next.fingerprint()) {
                open.push(next);
            }
        }
    }
    seen.len()
}

fn limit_faults(commands: u8, crashes: u8, cuts: u8, elections: u8) -> Budget {
    Budget {
        commands,
        crashes,
        cuts,
        timeouts: elections,
        doubts: elections,
        slow_disks: false,
    }
}

#[test]
fn small_instance() {
    let states = explore(limit_faults(2, 1, 1, 0));
    println!("states: {states}");
    assert!(states > 50_000);
}

// The leader or another voter dies, and one voter starts an election.
#[test]
fn crash_and_election() {
    let states = explore(limit_faults(0, 1, 0, 1));
    println!("states: {states}");
    assert!(states > 10_000);
}

// Disks sync at any time after a write, even after later messages.
#[test]
fn slow_disks() {
    let states = explore(Budget {
        slow_disks: true,
        ..limit_faults(1, 1, 1, 0)
    });
    println!("states: {states}");
    assert!(states > 4_000);
}
