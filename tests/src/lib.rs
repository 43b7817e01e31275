//! Fleets over loopback, for tests and benches of whole request paths.
//!
//! - [`Fleet`]: one entry with the control role, agents and fake backend servers, in this process.
//! - [`soak`]: the real programs as processes, with faults injected from outside.
//! - [`wired`]: a fleet whose agents are reached through fake wires, which delay, double, silence or reset
//!   what they carry.
//! - [`zones`]: three entries that share agents.

pub mod soak;
pub mod wired;
pub mod zones;

use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;

use serde_json::{json, Value};
use trillium::Handler;
use trillium_client::{Client, Conn, KnownHeaderName};
use trillium_smol::ClientConfig;

use snipemast_agent::Agent;
use snipemast_config::{KeyHash, Patch, Verdict};
use snipemast_core::ids::IdError;
use snipemast_core::prelude::*;
use snipemast_entry::Entry;
use snipemast_fakes::{FakeEngine, FakeService};
use snipemast_settings::agent::AgentLimits;
use snipemast_settings::entry::EntryLimits;
use snipemast_settings::{AgentSettings, ControlSettings, EntrySettings};
use snipemast_wire::{listen, ServerHandle};

/// The key of the fleet's one workspace.
pub const KEY: &str = "workspace-key";

/// One entry with the control role, agents and fake backend servers, all in this process.
#[derive(Debug)]
pub struct Fleet {
    /// The entry.
    pub entry: Entry,
    /// The agents, in the order in which they were added.
    pub agents: Vec<Agent>,
    fakes: Vec<ServerHandle>,
    patches: u64,
}

/// An answer to a request.
#[derive(Debug)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The `Snipemast-Outcome` header.
    pub outcome: Option<String>,
    /// The body.
    pub body: String,
}

impl Answer {
    /// Parses the body as a JSON document.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).expect("the body is JSON")
    }
}

impl Fleet {
    /// Starts an entry with the control role and one workspace.
    pub async fn start() -> Self {
        Self::start_with(entry_settings("entry-0")).await
    }

    /// Starts an entry with these settings and one workspace.
    pub async fn start_with(settings: EntrySettings) -> Self {
        let journal = journal(&settings.host);
        let entry = Entry::start(settings, Incarnation::new(1), journal).await;
        let entry = entry.expect("an entry starts on port 0");
        let mut fleet = Self {
            entry,
            agents: Vec::new(),
            fakes: Vec::new(),
            patches: 0,
        };
        let keys = [KeyHash::from_key(KEY)];
        fleet.patch(json!({ "workspaces": { "cordillera": { "keys": keys } } }));
        fleet
    }

    /// Adds a model engine and its agent.
    pub async fn add_engine(&mut self, name: &str, model: &str) {
        let offer = Offer::Model {
            model: id(model),
            version: "1".into(),
            adapters: Vec::new(),
        };
        self.add_fake(name, FakeEngine::new(info(name, offer)))
            .await;
    }

    /// Adds a backend server of any kind and its agent.
    pub async fn add_fake(&mut self, name: &str, fake: impl Handler) {
        let fake = listen(loopback(), fake).await;
        self.add_agent(name, fake.expect("a fake starts on port 0"))
            .await;
    }

    /// Returns the address of a backend server, by the order in which it was added.
    pub fn fake(&self, place: usize) -> SocketAddr {
        self.fakes[place].address()
    }

    /// Adds a plain service and its agent.
    pub async fn add_service(&mut self, name: &str, service: &str) {
        let fake = FakeService::new(info(
            name,
            Offer::Service {
                service: id(service),
            },
        ));
        let fake = listen(loopback(), fake).await;
        self.add_agent(name, fake.expect("a fake starts on port 0"))
            .await;
    }

    async fn add_agent(&mut self, name: &str, fake: ServerHandle) {
        self.add_beside(name, fake.address()).await;
        self.fakes.push(fake);
    }

    /// Adds an agent beside a backend server that listens at this address.
    pub async fn add_beside(&mut self, name: &str, server: SocketAddr) {
        let settings = agent_settings(name, server, self.entry.own());
        let journal = journal(&settings.host);
        let agent = Agent::start(settings, Incarnation::new(1), journal).await;
        self.agents.push(agent.expect("an agent starts on port 0"));
        while self.entry.shared().registry.members().len() < self.agents.len() {
            pause(5).await;
        }
    }

    /// Submits a patch against the version in force and returns the new version.
    ///
    /// # Panics
    ///
    /// If the patch is not accepted.
    pub fn patch(&mut self, set: Value) -> Version {
        self.patches += 1;
        let patch = Patch {
            id: id(&format!("patch-{}", self.patches)),
            base: self.entry.shared().config().version,
            reason: String::new(),
            set,
        };
        match self.entry.shared().submit(&patch) {
            Some(Verdict::Accepted { version }) => version,
            other => panic!("the patch was not accepted: {other:?}"),
        }
    }

    /// Requests a completion of 4 tokens from a model service.
    pub async fn complete(&self, service: &str, stream: bool) -> Answer {
        let body = json!({ "model": service, "prompt": "p", "max_tokens": 4, "stream": stream });
        let conn = self
            .request("POST", "/v1/completions")
            .with_body(body.to_string());
        answer(conn).await
    }

    /// Builds a request with the workspace's key.
    pub fn request(&self, method: &str, path: &str) -> Conn {
        let url = format!("http://{}{path}", self.entry.callers());
        let method: trillium_client::Method = method.parse().expect("a method");
        Client::new(ClientConfig::default())
            .build_conn(method, url.as_str())
            .with_request_header(KnownHeaderName::Authorization, format!("Bearer {KEY}"))
    }
}

/// Sends a request and reads the whole answer.
pub async fn answer(conn: Conn) -> Answer {
    let mut conn = conn.await.expect("the entry answers");
    let status = conn.status().map_or(0, |s| s as u16);
    let outcome = conn
        .response_headers()
        .get_str("snipemast-outcome")
        .map(String::from);
    let body = conn
        .response_body()
        .read_string()
        .await
        .expect("the answer is whole");
    Answer {
        status,
        outcome,
        body,
    }
}

/// Waits for some milliseconds of real time.
pub async fn pause(millis: u64) {
    smol::Timer::after(Span::from_millis(millis).as_duration()).await;
}

/// Returns the settings of an entry on port 0 with the control role.
pub fn entry_settings(host: &str) -> EntrySettings {
    EntrySettings {
        host: id(host),
        zone: id("pichincha"),
        region: id("sierra"),
        callers: loopback(),
        own: loopback(),
        operators: Some(loopback()),
        seeds: Vec::new(),
        control: Some(ControlSettings {
            data: None,
            forgetful: true,
            voters: Vec::new(),
            operator: None,
        }),
        data: None,
        statsd: None,
        limits: EntryLimits::default(),
    }
}

/// Returns the settings of an agent on port 0.
pub fn agent_settings(host: &str, server: SocketAddr, seed: SocketAddr) -> AgentSettings {
    AgentSettings {
        host: id(host),
        zone: id("pichincha"),
        region: id("sierra"),
        own: loopback(),
        server,
        seeds: vec![seed],
        statsd: None,
        limits: AgentLimits {
            announce: Span::from_millis(50),
            ..AgentLimits::default()
        },
    }
}

/// Returns the description of a backend server with one offer.
pub fn info(name: &str, offer: Offer) -> ServerInfo {
    let capabilities = Capabilities::default();
    ServerInfo {
        server: id(name),
        offers: vec![offer],
        capabilities,
        rank: None,
        slots: 8,
    }
}

/// Returns a journal that keeps events and logs nothing.
pub fn journal(host: &HostId) -> Journal {
    let process = ProcessId::new(host.clone(), Incarnation::new(1));
    Journal::silent(Arc::new(Ring::new(process, 1_024)))
}

/// Returns the loopback address with port 0, which stands for any free port.
pub fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Parses an id that is known to be valid.
pub fn id<T: FromStr<Err = IdError>>(text: &str) -> T {
    text.parse().expect("a valid name")
}
