//! Tests of membership over loopback, with three entries of one zone and several agents.

use std::net::SocketAddr;

use snipemast_agent::Agent;
use snipemast_core::prelude::*;
use snipemast_entry::Entry;
use snipemast_fakes::FakeEngine;
use snipemast_tests::{agent_settings, entry_settings, id, info, journal, loopback, pause};
use snipemast_wire::{listen, ServerHandle};

/// The number of attempts, 20 ms apart, that a test waits for a state.
const ATTEMPTS: usize = 1_500;

/// Entries, agents and their fake backend servers.
struct Zone {
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    fakes: Vec<ServerHandle>,
}

impl Zone {
    async fn start(entries: usize) -> Self {
        let mut zone = Self {
            entries: Vec::new(),
            agents: Vec::new(),
            fakes: Vec::new(),
        };
        for number in 0..entries {
            zone.add_entry(number).await;
        }
        zone
    }

    async fn add_entry(&mut self, number: usize) {
        let mut settings = entry_settings(&format!("entry-{number}"));
        settings.seeds = self.entries.iter().map(Entry::own).take(1).collect();
        settings.control = None;
        settings.operators = None;
        let journal = journal(&settings.host);
        let entry = Entry::start(settings, Incarnation::new(1), journal).await;
        self.entries.push(entry.expect("an entry starts on port 0"));
    }

    async fn add_agent(&mut self, number: usize, seeds: Vec<SocketAddr>) {
        let name = format!("engine-{number}");
        let offer = Offer::Model {
            model: id("lector-1"),
            version: "1".into(),
            adapters: Vec::new(),
        };
        let fake = listen(loopback(), FakeEngine::new(info(&name, offer))).await;
        let fake = fake.expect("a fake starts on port 0");
        let mut settings = agent_settings(&name, fake.address(), loopback());
        settings.seeds = seeds;
        let journal = journal(&settings.host);
        let agent = Agent::start(settings, Incarnation::new(1), journal).await;
        self.agents.push(agent.expect("an agent starts on port 0"));
        self.fakes.push(fake);
    }

    /// Waits until every entry routes to exactly these agents, and panics after some time.
    async fn wait_routable(&self, wanted: &[&str]) {
        for _ in 0..ATTEMPTS {
            if self.entries.iter().all(|e| routable(e) == wanted) {
                return;
            }
            pause(20).await;
        }
        let views: Vec<_> = self.entries.iter().map(routable).collect();
        panic!("the entries do not route to {wanted:?}: {views:?}");
    }
}

/// Returns the agents that an entry routes requests to.
fn routable(entry: &Entry) -> Vec<String> {
    let members = entry.shared().registry.members();
    let accepting = members.iter().filter(|m| !m.announce.draining);
    accepting
        .map(|m| m.announce.agent.host.to_string())
        .collect()
}

/// Guards against an agent that only the one entry in its settings can route to.
#[test]
fn known_everywhere() {
    smol::block_on(async {
        let mut zone = Zone::start(3).await;
        let seed = zone.entries[2].own();
        for number in 0..4 {
            zone.add_agent(number, vec![seed]).await;
        }
        zone.wait_routable(&["engine-0", "engine-1", "engine-2", "engine-3"])
            .await;
    });
}

/// Guards against agents that are lost when the one entry in their settings ends. They must have moved to
/// entries that they learned of.
#[test]
fn agents_move() {
    smol::block_on(async {
        let mut zone = Zone::start(3).await;
        let seed = zone.entries[0].own();
        for number in 0..4 {
            zone.add_agent(number, vec![seed]).await;
        }
        let all = ["engine-0", "engine-1", "engine-2", "engine-3"];
        zone.wait_routable(&all).await;
        zone.entries.remove(0).stop().await;
        // This is longer than a lease, so the agents that remain have renewed theirs at another entry.
        pause(3_500).await;
        zone.wait_routable(&all).await;
    });
}

/// Guards against an entry that still routes to a server which is drained for maintenance.
#[test]
fn drain_everywhere() {
    smol::block_on(async {
        let mut zone = Zone::start(3).await;
        let seed = zone.entries[1].own();
        for number in 0..3 {
            zone.add_agent(number, vec![seed]).await;
        }
        zone.wait_routable(&["engine-0", "engine-1", "engine-2"])
            .await;
        zone.agents[1].drain();
        zone.wait_routable(&["engine-0", "engine-2"]).await;
    });
}
