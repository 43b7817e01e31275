//! Three entries that share agents.

use std::net::SocketAddr;

use serde_json::{json, Value};
use trillium_client::{Client, Conn, KnownHeaderName};
use trillium_smol::ClientConfig;

use snipemast_agent::Agent;
use snipemast_config::{KeyHash, Patch, Verdict};
use snipemast_core::prelude::*;
use snipemast_entry::Entry;
use snipemast_settings::EntrySettings;
use snipemast_wire::ServerHandle;

use crate::{agent_settings, entry_settings, id, journal, loopback, pause, KEY};

/// How long claims are held. Keepers wait this long after all of them have started.
const CLAIM_HOLD: Span = Span::from_secs(3);

/// Three entries, of which the first has the control role.
#[derive(Debug)]
pub struct Zones {
    /// The entries.
    pub entries: Vec<Entry>,
    /// The agents, in the order in which they were added.
    pub agents: Vec<Agent>,
    settings: Vec<EntrySettings>,
}

impl Zones {
    /// Starts the entries, each of which is a keeper of the claims of every key.
    pub async fn start(services: Value) -> Self {
        let mut zones = Self {
            entries: Vec::new(),
            agents: Vec::new(),
            settings: Vec::new(),
        };
        for n in 0..3 {
            let mut settings = entry_settings(&format!("entry-{n}"));
            settings.limits.hold = CLAIM_HOLD;
            settings.limits.notice = Span::from_millis(200);
            if let Some(first) = zones.entries.first() {
                settings.seeds = vec![first.own()];
                settings.control = None;
                settings.operators = None;
            }
            let entry = start(&settings, 1).await;
            // A restarted entry uses the same addresses.
            settings.own = entry.own();
            settings.callers = entry.callers();
            zones.settings.push(settings);
            zones.entries.push(entry);
        }
        zones.configure(services).await;
        zones
    }

    async fn configure(&self, mut set: Value) {
        set["workspaces"] = json!({ "cordillera": { "keys": [KeyHash::from_key(KEY)] } });
        set["keepers"] = json!([["entry-0", "entry-1", "entry-2"]]);
        let patch = Patch {
            id: id("patch-1"),
            base: Version::new(0),
            reason: String::new(),
            set,
        };
        let verdict = self.entries[0].shared().submit(&patch);
        let version = Version::new(1);
        assert_eq!(verdict, Some(Verdict::Accepted { version }));
        for entry in &self.entries {
            while entry.shared().config().version < version {
                pause(10).await;
            }
        }
    }

    /// Waits until every entry can answer as a keeper.
    pub async fn keepers_ready(&self) {
        for entry in &self.entries {
            let shared = entry.shared();
            let known = || shared.gossip.with_node(|_, node| node.table().rows().len());
            while !shared.keys.is_ready(shared) || known() < Some(3) {
                pause(20).await;
            }
        }
    }

    /// Adds an agent in front of a backend server and waits until every entry knows it.
    pub async fn add_agent(&mut self, name: &str, server: SocketAddr) {
        let agent = self.start_agent(name, server, 1).await;
        self.agents.push(agent);
        self.agents_known().await;
    }

    async fn start_agent(&self, name: &str, server: SocketAddr, incarnation: u64) -> Agent {
        let mut settings = agent_settings(name, server, self.entries[0].own());
        settings.seeds = self.entries.iter().map(Entry::own).collect();
        let journal = journal(&settings.host);
        let agent = Agent::start(settings, Incarnation::new(incarnation), journal).await;
        agent.expect("an agent starts on port 0")
    }

    /// Waits until every entry knows every agent.
    pub async fn agents_known(&self) {
        for entry in &self.entries {
            while entry.shared().registry.members().len() < self.agents.len() {
                pause(10).await;
            }
        }
    }

    /// Stops an agent and starts its next incarnation.
    pub async fn restart_agent(&mut self, place: usize, server: SocketAddr) {
        let old = self.agents.remove(place);
        let process = old.gate().process().clone();
        old.stop().await;
        let next = process.incarnation.get() + 1;
        let agent = self.start_agent(process.host.as_str(), server, next).await;
        self.agents.insert(place, agent);
        let process = self.agents[place].gate().process().clone();
        for entry in &self.entries {
            let knows = || {
                let members = entry.shared().registry.members();
                members.iter().any(|m| m.announce.agent == process)
            };
            while !knows() {
                pause(10).await;
            }
        }
    }

    /// Stops an entry and starts its next incarnation at the same addresses.
    pub async fn restart_entry(&mut self, place: usize) {
        let old = self.entries.remove(place);
        let next = old.shared().process.incarnation.get() + 1;
        old.stop().await;
        let entry = start(&self.settings[place], next).await;
        while entry.shared().config().version < Version::new(1)
            || entry.shared().registry.members().len() < self.agents.len()
        {
            pause(10).await;
        }
        self.entries.insert(place, entry);
    }

    /// Builds a request to an entry, with the workspace's key.
    pub fn request(&self, entry: usize, method: &str, path: &str) -> Conn {
        request(self.entries[entry].callers(), method, path)
    }
}

/// Builds a request to an address, with the workspace's key.
pub fn request(address: SocketAddr, method: &str, path: &str) -> Conn {
    let url = format!("http://{address}{path}");
    let method: trillium_client::Method = method.parse().expect("a method");
    Client::new(ClientConfig::default())
        .build_conn(method, url.as_str())
        .with_request_header(KnownHeaderName::Authorization, format!("Bearer {KEY}"))
}

/// Serves a fake backend server on any free port.
pub async fn serve(fake: impl trillium::Handler) -> ServerHandle {
    let fake = snipemast_wire::listen(loopback(), fake).await;
    fake.expect("a fake starts on port 0")
}

async fn start(settings: &EntrySettings, incarnation: u64) -> Entry {
    let journal = journal(&settings.host);
    let entry = Entry::start(settings.clone(), Incarnation::new(incarnation), journal).await;
    entry.expect("an entry starts")
}
