//! Simulated fleets of membership state machines, in three sizes, over a virtual network.

use std::net::SocketAddr;

use snipemast_core::prelude::*;
use snipemast_fakes::fleet::{Meter, ProcessIndex};
use snipemast_fakes::{Fleet, Place};

/// The number of hosts of a fleet and how they are spread.
#[derive(Debug, Clone, Copy)]
pub struct Shape {
    /// Number of entries.
    pub entries: usize,
    /// Number of agents.
    pub agents: usize,
    /// Number of availability zones in each region.
    pub zones: usize,
    /// Number of regions.
    pub regions: usize,
    /// Number of different models that the agents offer.
    pub models: usize,
}

impl Shape {
    /// The present fleet.
    pub const TODAY: Self = Self {
        entries: 9,
        agents: 19,
        zones: 3,
        regions: 1,
        models: 2,
    };
    /// A fleet between the present one and the planned one.
    pub const MIDDLE: Self = Self {
        entries: 100,
        agents: 170,
        zones: 2,
        regions: 2,
        models: 8,
    };
    /// The fleet planned for two years from now.
    pub const LATER: Self = Self {
        entries: 350,
        agents: 600,
        zones: 2,
        regions: 2,
        models: 25,
    };

    /// Returns the number of entries and agents.
    pub fn hosts(&self) -> usize {
        self.entries + self.agents
    }
}

/// A running fleet.
#[derive(Debug)]
pub struct Members {
    /// The size of the fleet.
    pub shape: Shape,
    /// The processes and the virtual network.
    pub fleet: Fleet,
    /// Indexes of the entries.
    pub entries: Vec<ProcessIndex>,
    /// Indexes of the agents.
    pub agents: Vec<ProcessIndex>,
}

/// What processes of one role used since the meters were last cleared.
#[derive(Debug, Clone, Copy, Default)]
pub struct Used {
    /// Bytes a second and process, sent and received, with the heads of HTTP and TCP.
    pub bytes: f64,
    /// Bytes a second of the process with the most traffic.
    pub most: f64,
    /// Messages a second and process, sent and received.
    pub messages: f64,
    /// Exchanges and calls a second and process, begun and answered.
    pub calls: f64,
    /// CPU time of the state machine and the codec, as a share of one core.
    pub work: f64,
}

impl Members {
    /// Starts a fleet and runs it until its processes know each other.
    pub fn start(shape: Shape, seed: u64) -> Self {
        Self::start_with(shape, seed, 2)
    }

    /// Starts a fleet whose agents hold `copies` leases each.
    pub fn start_with(shape: Shape, seed: u64, copies: usize) -> Self {
        let mut members = Self {
            shape,
            fleet: Fleet::new(seed),
            entries: Vec::new(),
            agents: Vec::new(),
        };
        members.fleet.announce.lease_count = copies;
        for number in 0..shape.entries {
            let seeds = members.seeds();
            let place = place("entry", number, shape);
            let index = members.fleet.add_entry(place, seeds);
            members.entries.push(index);
        }
        members.fleet.run(Span::from_millis(500));
        for number in 0..shape.agents {
            members.add_agent(number);
        }
        members.run(10);
        members
    }

    /// Whether every entry knows exactly the running entries and agents.
    fn is_settled(fleet: &Fleet) -> bool {
        let living = fleet.agents().count();
        let entries = fleet.entries().count();
        fleet.entries().all(|(_, node)| {
            node.table().rows().len() == entries
                && node.agents().filter(|a| a.is_routable()).count() == living
        })
    }

    /// Adds an agent.
    pub fn add_agent(&mut self, number: usize) -> ProcessIndex {
        let place = place("agent", number, self.shape);
        let seeds = self.zone_seeds(&place.zone);
        let info = info(number, self.shape.models);
        let index = self.fleet.add_agent(place, info, seeds);
        self.agents.push(index);
        index
    }

    /// Restarts an agent or entry under its name.
    pub fn restart(&mut self, index: ProcessIndex, start: u64) {
        let start = Incarnation::new(start);
        if self.entries.contains(&index) {
            let seeds = self.seeds();
            self.fleet.start_entry(index, seeds, start);
        } else {
            let zone = self.fleet.processes[index].place.zone.clone();
            let seeds = self.zone_seeds(&zone);
            let info = info(index - self.shape.entries, self.shape.models);
            self.fleet.start_agent(index, info, seeds, start);
        }
    }

    /// Runs the fleet for `secs` seconds.
    pub fn run(&mut self, secs: u64) {
        self.fleet.run(Span::from_secs(secs));
    }

    /// Runs until every entry knows exactly the running processes, and returns how long that took; `None` after `secs` seconds.
    pub fn run_until_settled(&mut self, secs: u64) -> Option<Span> {
        let begun = self.fleet.now();
        while self.fleet.now().since(begun) < Span::from_secs(secs) {
            if Self::is_settled(&self.fleet) {
                return Some(self.fleet.now().since(begun));
            }
            self.fleet.run(Span::from_millis(500));
        }
        None
    }

    /// Runs in small steps until `holds` is true, and returns how long that took; `None` after `secs` seconds.
    pub fn run_until(&mut self, secs: u64, holds: impl Fn(&Fleet) -> bool) -> Option<Span> {
        let begun = self.fleet.now();
        while self.fleet.now().since(begun) < Span::from_secs(secs) {
            if holds(&self.fleet) {
                return Some(self.fleet.now().since(begun));
            }
            self.fleet.run(Span::from_millis(20));
        }
        None
    }

    /// Returns the host of a process.
    pub fn host(&self, index: ProcessIndex) -> HostId {
        self.fleet.processes[index].place.host.clone()
    }

    /// Clears all meters and records.
    pub fn clear(&mut self) {
        for process in &mut self.fleet.processes {
            process.meter = Meter::default();
        }
        self.fleet.drops.clear();
        self.fleet.recorded.clear();
        self.fleet.changed.clear();
    }

    /// Returns what the processes used over a span, if each call's heads take `heads` bytes.
    pub fn used(&self, processes: &[ProcessIndex], span: Span, heads: f64) -> Used {
        let secs = span.as_secs_f64();
        let mut used = Used::default();
        for index in processes {
            let meter = self.fleet.processes[*index].meter;
            let calls = (meter.begun + meter.answered) as f64;
            let bytes = (meter.sent + meter.received) as f64 + calls * heads;
            used.bytes += bytes / secs;
            used.most = used.most.max(bytes / secs);
            used.calls += calls / secs;
            used.messages += 2.0 * calls / secs;
            used.work += meter.work_nanos as f64 / 1e9 / secs;
        }
        let count = processes.len().max(1) as f64;
        used.bytes /= count;
        used.calls /= count;
        used.messages /= count;
        used.work /= count;
        used
    }

    fn seeds(&self) -> Vec<SocketAddr> {
        let first = self.entries.iter().take(8);
        first.map(|i| self.fleet.processes[*i].address).collect()
    }

    fn zone_seeds(&self, zone: &ZoneId) -> Vec<SocketAddr> {
        let processes = self.entries.iter().map(|i| &self.fleet.processes[*i]);
        let near: Vec<_> = processes.filter(|p| p.place.zone == *zone).collect();
        // The settings of different hosts list different entries as seeds.
        let first = self.agents.len() * 7;
        let pick = |n: usize| near[(first + n * 13) % near.len()].address;
        (0..4.min(near.len())).map(pick).collect()
    }
}

fn place(kind: &str, number: usize, shape: Shape) -> Place {
    let zone = number % (shape.zones * shape.regions);
    let region = zone / shape.zones;
    Place {
        host: name(&format!("{kind}-{number}")),
        zone: name(&format!("zone-{zone}")),
        region: name(&format!("region-{region}")),
    }
}

fn info(number: usize, models: usize) -> ServerInfo {
    let model = number / 4 % models;
    ServerInfo {
        server: name(&format!("engine-{number}")),
        offers: vec![Offer::Model {
            model: name(&format!("lector-{model}")),
            version: "2026-11".into(),
            adapters: vec![name("cordillera-a"), name("cordillera-b")],
        }],
        capabilities: Capabilities::default(),
        rank: Some(Rank {
            group: name(&format!("group-{}", number / 128)),
            number: (number % 128) as u32,
        }),
        slots: 64,
    }
}

fn name<T: std::str::FromStr<Err = snipemast_core::ids::IdError>>(text: &str) -> T {
    text.parse().expect("a valid name")
}
