//! Small fleets for the tests of this crate.
#![allow(dead_code, reason = "each test file uses only a part")]

use std::net::SocketAddr;

use snipemast_core::prelude::*;
use snipemast_fakes::fleet::ProcessIndex;
use snipemast_fakes::{Fleet, Place};

/// The zones of the small fleets, which are in one region.
pub(crate) const ZONES: [&str; 3] = ["pichincha", "cumbaya", "machachi"];

/// Parses a valid id.
pub(crate) fn id<T: std::str::FromStr<Err = snipemast_core::ids::IdError>>(text: &str) -> T {
    text.parse().expect("a valid name")
}

/// Returns a host's place in a zone.
pub(crate) fn place(host: &str, zone: &str) -> Place {
    Place {
        host: id(host),
        zone: id(zone),
        region: id("sierra"),
    }
}

/// Returns a backend server that offers one model.
pub(crate) fn info(name: &str) -> ServerInfo {
    ServerInfo {
        server: id(name),
        offers: vec![Offer::Model {
            model: id("lector-1"),
            version: "1".into(),
            adapters: Vec::new(),
        }],
        capabilities: Capabilities::default(),
        rank: None,
        slots: 8,
    }
}

/// A fleet over the three zones, and the indexes of its entries and agents.
pub(crate) struct SmallFleet {
    pub(crate) fleet: Fleet,
    pub(crate) entries: Vec<ProcessIndex>,
    pub(crate) agents: Vec<ProcessIndex>,
}

impl SmallFleet {
    /// Starts entries and agents, spread over the zones in turn, and lets them join.
    pub(crate) fn start(entries: usize, agents: usize, seed: u64) -> Self {
        Self::start_with(entries, agents, seed, |_| {})
    }

    /// Starts a fleet as [`Self::start`] does, after adjusting its settings.
    pub(crate) fn start_with(
        entries: usize,
        agents: usize,
        seed: u64,
        tune: impl Fn(&mut Fleet),
    ) -> Self {
        let mut small = Self {
            fleet: Fleet::new(seed),
            entries: Vec::new(),
            agents: Vec::new(),
        };
        tune(&mut small.fleet);
        for number in 0..entries {
            small.add_entry(number);
        }
        for number in 0..agents {
            small.add_agent(number);
        }
        small.fleet.run(Span::from_secs(20));
        small
    }

    pub(crate) fn add_entry(&mut self, number: usize) -> ProcessIndex {
        let seeds = self.seeds();
        let zone = ZONES[number % ZONES.len()];
        let place = place(&format!("entry-{number}"), zone);
        let index = self.fleet.add_entry(place, seeds);
        self.entries.push(index);
        index
    }

    pub(crate) fn add_agent(&mut self, number: usize) -> ProcessIndex {
        let zone = ZONES[number % ZONES.len()];
        let name = format!("agent-{number}");
        let seeds = self.zone_seeds(zone);
        let place = place(&name, zone);
        let index = self.fleet.add_agent(place, info(&name), seeds);
        self.agents.push(index);
        index
    }

    /// Returns the addresses of the first three entries.
    pub(crate) fn seeds(&self) -> Vec<SocketAddr> {
        let first = self.entries.iter().take(3);
        first.map(|i| self.fleet.processes[*i].address).collect()
    }

    /// Returns the addresses of two entries of a zone.
    pub(crate) fn zone_seeds(&self, zone: &str) -> Vec<SocketAddr> {
        let processes = self.entries.iter().map(|i| &self.fleet.processes[*i]);
        processes
            .filter(|p| p.place.zone.as_str() == zone)
            .take(2)
            .map(|p| p.address)
            .collect()
    }

    pub(crate) fn host(&self, index: ProcessIndex) -> HostId {
        self.fleet.processes[index].place.host.clone()
    }

    pub(crate) fn run_secs(&mut self, secs: u64) {
        self.fleet.run(Span::from_secs(secs));
    }

    /// Returns the hosts of the agents that an entry would route to.
    pub(crate) fn routable(&self, entry: ProcessIndex) -> Vec<HostId> {
        let Some(node) = self.fleet.node(entry) else {
            return Vec::new();
        };
        let agents = node.agents().filter(|a| a.is_routable());
        agents.map(|a| a.card.agent.host.clone()).collect()
    }

    /// Returns the hosts of the running agents.
    pub(crate) fn living(&self) -> Vec<HostId> {
        let mut hosts: Vec<_> = self.fleet.agents().map(|(i, _)| self.host(i)).collect();
        hosts.sort();
        hosts
    }

    /// Returns the entries that were removed from some table, as the events name them.
    pub(crate) fn removed_entries(&self) -> Vec<String> {
        let removed = self
            .fleet
            .recorded
            .iter()
            .filter(|n| n.event == Event::MemberRemoved && n.subject.starts_with("entry"));
        removed.map(|n| n.subject.clone()).collect()
    }

    pub(crate) fn clear_meters(&mut self) {
        for process in &mut self.fleet.processes {
            process.meter = Default::default();
        }
    }

    /// Asserts that each running entry sees exactly the running agents.
    pub(crate) fn assert_agree(&self, context: &str) {
        for (index, node) in self.fleet.entries() {
            assert_eq!(
                self.routable(index),
                self.living(),
                "{context}: {}",
                node.card().process
            );
        }
    }
}
