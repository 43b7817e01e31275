//! A fleet whose agents are reached through fake wires, which delay, double, silence or reset what they
//! carry.

use std::sync::Arc;

use serde_json::json;
use trillium_client::Conn;

use snipemast_agent::Agent;
use snipemast_core::prelude::*;
use snipemast_fakes::{FakeEngine, FakeProxy, FakeService};
use snipemast_wire::{listen, ServerHandle};

use crate::{agent_settings, id, info, journal, loopback, pause, Fleet};

/// An agent that is reached through a wire.
#[derive(Debug)]
pub struct WiredAgent {
    /// The wire.
    pub wire: FakeProxy,
    /// The agent.
    pub agent: Agent,
    _fake: ServerHandle,
}

/// A fleet whose agents are reached through wires.
#[derive(Debug)]
pub struct Wired {
    /// The entry, with the control role.
    pub fleet: Fleet,
    /// The agents, in the order in which they were added.
    pub agents: Vec<WiredAgent>,
    service: Option<FakeService>,
}

impl Wired {
    /// Starts an entry for one model and one plain service.
    pub async fn start() -> Self {
        let mut fleet = Fleet::start().await;
        fleet.patch(json!({
            "models": { "lector-1": { "version": "1" } },
            "services": {
                "lector": { "kind": "model", "model": "lector-1" },
                "mesa": { "kind": "plain" },
            },
        }));
        Self {
            fleet,
            agents: Vec::new(),
            service: None,
        }
    }

    /// Adds a model engine of the model `lector`.
    pub async fn add_engine(&mut self, name: &str) {
        let offer = Offer::Model {
            model: id("lector-1"),
            version: "1".into(),
            adapters: Vec::new(),
        };
        let engine = FakeEngine::new(info(name, offer)).with_pace(Span::from_millis(40));
        let fake = listen(loopback(), engine).await.expect("port 0");
        self.add(name, fake).await;
    }

    /// Adds a server of the plain service `mesa`. All of its servers share one count of runs.
    pub async fn add_service(&mut self, name: &str) {
        let offer = Offer::Service {
            service: id("mesa"),
        };
        let service = self.service.get_or_insert_with(|| {
            FakeService::new(info(name, offer)).with_pace(Span::from_millis(10))
        });
        let service = service.clone();
        let fake = listen(loopback(), service).await.expect("port 0");
        self.add(name, fake).await;
    }

    async fn add(&mut self, name: &str, fake: ServerHandle) {
        let wire = FakeProxy::start().await.expect("port 0");
        let settings = agent_settings(name, fake.address(), self.fleet.entry.own());
        let journal = journal(&settings.host);
        let advertised = Some(wire.address());
        let agent =
            Agent::start_advertised(settings, Incarnation::new(1), journal, advertised).await;
        let agent = agent.expect("an agent starts on port 0");
        wire.set_target(agent.address());
        self.agents.push(WiredAgent {
            wire,
            agent,
            _fake: fake,
        });
        while self.fleet.entry.shared().registry.members().len() < self.agents.len() {
            pause(5).await;
        }
    }

    /// Builds a request for a stream of this many tokens.
    pub fn stream(&self, tokens: u32) -> Conn {
        let body =
            json!({ "model": "lector", "prompt": "p", "max_tokens": tokens, "stream": true });
        let request = self.fleet.request("POST", "/v1/completions");
        request.with_body(body.to_string())
    }

    /// Builds an order, a request that may not run twice.
    pub fn order(&self, body: &str) -> Conn {
        let request = self.fleet.request("POST", "/services/mesa/orders");
        request.with_body(body.to_string())
    }

    /// Returns how often an order ran.
    pub fn runs_of(&self, body: &str) -> u64 {
        self.service.as_ref().map_or(0, |s| s.runs_of(body))
    }

    /// Returns how many orders ran.
    pub fn runs(&self) -> u64 {
        self.service.as_ref().map_or(0, FakeService::runs)
    }

    /// Returns how often the entry recorded an event.
    pub fn events(&self, event: Event) -> usize {
        let ring = Arc::clone(self.fleet.entry.shared().journal.ring());
        let records = ring.since(Stamp::default());
        records.iter().filter(|r| r.event == event).count()
    }
}
