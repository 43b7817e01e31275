//! Membership over loopback: three entries of one zone and several agents.

use std::net::SocketAddr;

use snipemast_agent::Agent;
use snipemast_core::prelude::*;
use snipemast_entry::Entry;
use snipemast_fakes::FakeEngine;
use snipemast_tests::{agent_settings, entry_settings, id, info, journal, loopback, pause};
use snipemast_wire::{listen, ServerHandle};

/// How many steps of 20 ms a test waits for what must come about.
const STEPS: usize = 1_500;

/// Entries, agents and their fakes.
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

    /// Waits until every entry routes to exactly these agents.
    async fn agree(&self, wanted: &[&str]) {
        for _ in 0..STEPS {
            if self.entries.iter().all(|e| routable(e) == wanted) {
                return;
            }
            pause(20).await;
        }
        let views: Vec<_> = self.entries.iter().map(routable).collect();
        panic!("no agreement on {wanted:?}: {views:?}");
    }
}

fn routable(entry: &Entry) -> Vec<String> {
    let members = entry.shared().registry.members();
    let taking = members.iter().filter(|m| !m.announce.draining);
    taking.map(|m| m.announce.agent.host.to_string()).collect()
}

/// A caller's request may reach any entry. An agent knows but one of them from its settings; all
/// three must be able to route to it.
#[test]
fn known_everywhere() {
    smol::block_on(async {
        let mut zone = Zone::start(3).await;
        let seed = zone.entries[2].own();
        for number in 0..4 {
            zone.add_agent(number, vec![seed]).await;
        }
        zone.agree(&["engine-0", "engine-1", "engine-2", "engine-3"])
            .await;
    });
}

/// The entry that all agents had in their settings ends. Nobody loses an agent: they have moved
/// to entries that they learnt of.
#[test]
fn agents_move() {
    smol::block_on(async {
        let mut zone = Zone::start(3).await;
        let seed = zone.entries[0].own();
        for number in 0..4 {
            zone.add_agent(number, vec![seed]).await;
        }
        let all = ["engine-0", "engine-1", "engine-2", "engine-3"];
        zone.agree(&all).await;
        zone.entries.remove(0).stop().await;
        // Longer than a lease: what still stands was renewed elsewhere.
        pause(3_500).await;
        zone.agree(&all).await;
    });
}

/// A server is drained for maintenance; requests that reach any entry go elsewhere.
#[test]
fn drain_everywhere() {
    smol::block_on(async {
        let mut zone = Zone::start(3).await;
        let seed = zone.entries[1].own();
        for number in 0..3 {
            zone.add_agent(number, vec![seed]).await;
        }
        zone.agree(&["engine-0", "engine-1", "engine-2"]).await;
        zone.agents[1].drain();
        zone.agree(&["engine-0", "engine-2"]).await;
    });
}
