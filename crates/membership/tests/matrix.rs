//! All combinations of a fault with a step in a fleet's life, and all pairs of faults.
//!
//! Each case runs the production state machines: a fault, then a step or a second fault some time
//! later, then the repair. Until the repair no entry may lose a living agent that is connected to
//! it for long; some quiet time after it all entries must agree.

mod common;

use std::collections::BTreeMap;

use common::{id, info, SmallFleet, ZONES};
use snipemast_core::prelude::*;
use snipemast_fakes::fleet::ProcessIndex;
use snipemast_fakes::Side;
use snipemast_membership::{AnnounceInput, Input};

/// The longest time for which a connected entry may not route to a living agent.
const MAX_BLIND_SPAN: Span = Span::from_secs(6);

/// How long after its start a process may be unknown.
const START_GRACE: Span = Span::from_secs(8);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    AgentCrashes,
    AgentRestarts,
    EntryCrashes,
    EntryRestarts,
    EntryStalls,
    ZoneCut,
    ZoneDeaf,
    ZoneMute,
    EntryDeaf,
    Lossy,
}

#[derive(Debug, Clone, Copy)]
enum Step {
    AgentJoins,
    AgentDrains,
    AgentLeaves,
    AgentMoves,
    EntryDrains,
    EntryLeaves,
    EntryJoins,
}

const FAULTS: [Fault; 10] = [
    Fault::AgentCrashes,
    Fault::AgentRestarts,
    Fault::EntryCrashes,
    Fault::EntryRestarts,
    Fault::EntryStalls,
    Fault::ZoneCut,
    Fault::ZoneDeaf,
    Fault::ZoneMute,
    Fault::EntryDeaf,
    Fault::Lossy,
];

const STEPS: [Step; 7] = [
    Step::AgentJoins,
    Step::AgentDrains,
    Step::AgentLeaves,
    Step::AgentMoves,
    Step::EntryDrains,
    Step::EntryLeaves,
    Step::EntryJoins,
];

struct Case {
    small: SmallFleet,
    scenario: String,
    missed: BTreeMap<(ProcessIndex, ProcessIndex), Moment>,
    started: BTreeMap<ProcessIndex, Moment>,
    starts: u64,
}

impl Case {
    fn new(scenario: String, seed: u64) -> Self {
        Self {
            small: SmallFleet::start(9, 6, seed),
            scenario,
            missed: BTreeMap::new(),
            started: BTreeMap::new(),
            starts: 1,
        }
    }

    /// Injects a fault into the second process or zone or, if `twin` is 1, into the third.
    fn fault(&mut self, fault: Fault, twin: usize) {
        let (agent, entry) = (self.small.agents[1 + twin], self.small.entries[1 + twin]);
        let zone = Side::Zone(id(ZONES[1 + twin]));
        let host = Side::Host(self.small.host(entry));
        match fault {
            Fault::AgentCrashes => self.small.fleet.crash(agent),
            Fault::AgentRestarts => self.restart_agent(agent),
            Fault::EntryCrashes => self.small.fleet.crash(entry),
            Fault::EntryRestarts => self.restart_entry(entry),
            Fault::EntryStalls => self.small.fleet.stall(entry, Span::from_millis(2_500)),
            Fault::ZoneCut => self.cut_zone(1 + twin, true, true),
            Fault::ZoneDeaf => self.cut_zone(1 + twin, true, false),
            Fault::ZoneMute => self.cut_zone(1 + twin, false, true),
            Fault::EntryDeaf => self.small.fleet.links.cut_one_way(zone, host),
            Fault::Lossy => self.small.fleet.links.loss = 0.2,
        }
    }

    fn cut_zone(&mut self, zone: usize, into: bool, out: bool) {
        let inside = Side::Zone(id(ZONES[zone]));
        for other in ZONES.iter().filter(|z| **z != ZONES[zone]) {
            let other = Side::Zone(id(other));
            let links = &mut self.small.fleet.links;
            if into {
                links.cut_one_way(other.clone(), inside.clone());
            }
            if out {
                links.cut_one_way(inside.clone(), other);
            }
        }
    }

    fn step(&mut self, step: Step) {
        let (agent, entry) = (self.small.agents[4], self.small.entries[4]);
        match step {
            Step::AgentJoins => {
                let index = self.small.add_agent(6);
                self.started.insert(index, self.small.fleet.now());
            }
            Step::AgentDrains => self
                .small
                .fleet
                .send_agent_input(agent, AnnounceInput::Drain),
            Step::AgentLeaves => {
                self.small
                    .fleet
                    .send_agent_input(agent, AnnounceInput::Leave);
                self.small.fleet.crash(agent);
            }
            Step::AgentMoves => {
                let from = self.small.host(entry);
                let host = self.small.host(agent);
                let links = &mut self.small.fleet.links;
                links.cut(Side::Host(from), Side::Host(host));
            }
            Step::EntryDrains => self.small.fleet.send_input(entry, Input::Drain),
            Step::EntryLeaves => {
                self.small.fleet.send_input(entry, Input::Leave);
                self.small.fleet.crash(entry);
            }
            Step::EntryJoins => {
                let index = self.small.add_entry(9);
                self.started.insert(index, self.small.fleet.now());
            }
        }
    }

    fn restart_agent(&mut self, agent: ProcessIndex) {
        self.starts += 1;
        let name = self.small.host(agent).to_string();
        let zone = self.small.fleet.processes[agent].place.zone.to_string();
        let seeds = self.small.zone_seeds(&zone);
        let start = Incarnation::new(self.starts);
        self.small
            .fleet
            .start_agent(agent, info(&name), seeds, start);
        self.started.insert(agent, self.small.fleet.now());
    }

    fn restart_entry(&mut self, entry: ProcessIndex) {
        self.starts += 1;
        let seeds = self.small.seeds();
        let start = Incarnation::new(self.starts);
        self.small.fleet.start_entry(entry, seeds, start);
        self.started.insert(entry, self.small.fleet.now());
    }

    fn run(&mut self, millis: u64) {
        for _ in 0..millis.div_ceil(500) {
            self.small.fleet.run(Span::from_millis(millis.min(500)));
            self.check_views();
        }
    }

    /// Asserts that no living agent is unroutable for long at an entry that is connected to it.
    fn check_views(&mut self) {
        let now = self.small.fleet.now();
        for entry in self.small.entries.clone() {
            for agent in self.small.agents.clone() {
                if self.is_missed(entry, agent) {
                    let since = *self.missed.entry((entry, agent)).or_insert(now);
                    let lasted = now.since(since);
                    assert!(
                        lasted <= MAX_BLIND_SPAN,
                        "{}: {agent} at {entry}",
                        self.scenario
                    );
                } else {
                    self.missed.remove(&(entry, agent));
                }
            }
        }
    }

    fn is_missed(&self, entry: ProcessIndex, agent: ProcessIndex) -> bool {
        let fleet = &self.small.fleet;
        let (Some(node), Some(announcer)) = (fleet.node(entry), fleet.announcer(agent)) else {
            return false;
        };
        let now = fleet.now();
        let young = |i| {
            self.started
                .get(&i)
                .is_some_and(|at| now.since(*at) < START_GRACE)
        };
        let host = &announcer.card().agent.host;
        let seen = node.agent_view(host).is_some_and(|a| a.is_routable());
        let excused = young(entry) || young(agent) || announcer.card().draining;
        !seen && !excused && self.is_connected(entry, agent)
    }

    /// Whether the entry and the agent reach each other, and the agent also reaches an entry of its
    /// zone that reaches the other entry.
    fn is_connected(&self, entry: ProcessIndex, agent: ProcessIndex) -> bool {
        let fleet = &self.small.fleet;
        let place = |i: ProcessIndex| &fleet.processes[i].place;
        let both = |a, b| fleet.links.is_connected(a, b) && fleet.links.is_connected(b, a);
        let near = self
            .small
            .entries
            .iter()
            .filter(|e| place(**e).zone == place(agent).zone && fleet.node(**e).is_some());
        let heard = near.clone().filter(|e| both(place(**e), place(agent)));
        let told = heard.clone().any(|e| both(place(*e), place(entry)));
        both(place(entry), place(agent)) && told && fleet.links.loss < 0.1
    }

    /// Repairs all links and asserts that all entries agree after some time.
    fn finish(mut self) {
        self.small.fleet.links.heal();
        self.small.fleet.links.loss = 0.0;
        // A zone that comes back is contacted within seconds.
        self.missed.clear();
        self.small.run_secs(25);
        let drained: Vec<_> = self
            .small
            .fleet
            .agents()
            .filter(|(_, a)| a.card().draining)
            .map(|(i, _)| i)
            .collect();
        for agent in drained {
            let host = self.small.host(agent);
            for entry in self.small.entries.clone() {
                assert!(
                    !self.small.routable(entry).contains(&host),
                    "{}",
                    self.scenario
                );
            }
            self.small.fleet.crash(agent);
        }
        self.small.run_secs(6);
        self.small.assert_agree(&self.scenario);
    }
}

#[test]
fn faults_at_steps() {
    let mut cases = 0;
    for fault in FAULTS {
        for step in STEPS {
            for millis in [0, 700, 3_000] {
                let scenario = format!("{fault:?}, after {millis} ms {step:?}");
                let mut case = Case::new(scenario, cases + 1);
                case.fault(fault, 0);
                case.run(millis);
                case.step(step);
                case.run(9_000);
                case.finish();
                cases += 1;
            }
        }
    }
    println!("cells: {cases}");
}

#[test]
fn pairs_of_faults() {
    let mut cases = 0;
    for first in FAULTS {
        for second in FAULTS {
            for millis in [0, 1_500] {
                let scenario = format!("{first:?}, after {millis} ms {second:?}");
                let mut case = Case::new(scenario, cases + 1_000);
                case.fault(first, 0);
                case.run(millis);
                case.fault(second, 1);
                case.run(9_000);
                case.finish();
                cases += 1;
            }
        }
    }
    println!("cells: {cases}");
}

#[test]
fn drain_under_faults() {
    // Guards against requests to a server that is taken out while something else fails: after three
    // seconds no connected entry may choose it.
    let mut cases = 0;
    for fault in FAULTS {
        for millis in [0, 300, 1_500] {
            let scenario = format!("{fault:?}, after {millis} ms a drain");
            let mut case = Case::new(scenario, cases + 5_000);
            case.fault(fault, 0);
            case.run(millis);
            let agent = case.small.agents[3];
            case.small
                .fleet
                .send_agent_input(agent, AnnounceInput::Drain);
            case.small.run_secs(3);
            let host = case.small.host(agent);
            for entry in case.small.entries.clone() {
                let chosen = case.small.routable(entry).contains(&host);
                let connected = case.is_connected(entry, agent);
                let stalled = fault == Fault::EntryStalls && entry == case.small.entries[1];
                assert!(
                    !chosen || !connected || stalled,
                    "{} at {entry}",
                    case.scenario
                );
            }
            cases += 1;
        }
    }
    println!("cells: {cases}");
}
