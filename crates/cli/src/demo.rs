//! The command `demo`: an entry host with the control role, agents and fake backend servers, all in one
//! process on loopback.

use std::fmt;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;

use error_stack::{Report, ResultExt};
use serde_json::{json, Value};
use trillium_client::{Client, KnownHeaderName};
use trillium_smol::ClientConfig;

use snipemast_agent::Agent;
use snipemast_callers::problem::REQUEST_HEADER;
use snipemast_config::{KeyHash, Patch};
use snipemast_core::prelude::*;
use snipemast_entry::timeline::collect;
use snipemast_entry::Entry;
use snipemast_fakes::{FakeEngine, FakeService};
use snipemast_operators::timeline::TimelineQuery;
use snipemast_settings::agent::AgentLimits;
use snipemast_settings::entry::EntryLimits;
use snipemast_settings::{AgentSettings, ControlSettings, EntrySettings};
use snipemast_wire::{listen, spawn, ServerHandle};

use crate::args::DemoArgs;
use crate::exit;
use crate::serve::start_incarnation;
use crate::servers::run_servers;
use crate::timeline::table;

/// The result of one step of the demonstration.
type Result<T> = std::result::Result<T, Report<DemoError>>;

/// The key of the demonstration's workspace.
const KEY: &str = "demo-key";

/// A made-up bordereau that serves as prompt.
const BORDEREAU: &str = "treaty,period,ceded premium,paid losses\n\
    QS-2026-01,2026Q3,120000,45000\n\
    XL-2026-07,2026Q3,80000,0\n";

/// The reason why a step of the demonstration failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DemoError {
    /// A part of the fleet did not start.
    Start,
    /// A patch was refused.
    Patch,
    /// A request got no complete answer.
    Request,
}

impl fmt::Display for DemoError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Start => "a part of the fleet did not start",
            Self::Patch => "a patch was refused",
            Self::Request => "a request got no complete answer",
        })
    }
}

impl std::error::Error for DemoError {}

/// Runs the demonstration.
pub(crate) fn demo(args: &DemoArgs) -> ExitCode {
    if args.servers {
        return run_servers();
    }
    match smol::block_on(run(args.serve)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("snipemast: {report:?}");
            ExitCode::from(exit::UNREACHABLE)
        }
    }
}

async fn run(keep_running: bool) -> Result<()> {
    let mut fleet = Fleet::start().await?;
    fleet.patch(json!({
        "workspaces": { "cordillera": { "keys": [KeyHash::from_key(KEY)] } },
        "models": { "lector-1": { "version": "1" }, "lector-2": { "version": "1" } },
        "services": {
            "lector": { "kind": "model", "model": "lector-1" },
            "mesa": { "kind": "plain" },
        },
    }))?;
    println!("callers connect to http://{}", fleet.entry.callers());
    if keep_running {
        fleet.print_hint();
        smol::future::pending::<()>().await;
    }
    fleet.ask_model("a first reading").await?;
    fleet.ask_service().await?;
    println!("\n== a patch sends lector to another model");
    fleet.patch(json!({ "services": { "lector": { "model": "lector-2" } } }))?;
    fleet.ask_model("a reading after the patch").await?;
    println!("\n== one of the two servers of lector-2 drains");
    fleet.agents[2].drain();
    smol::Timer::after(Span::from_millis(300).as_duration()).await;
    fleet.ask_model("a reading after the drain").await?;
    fleet.print_timeline().await;
    fleet.stop().await;
    Ok(())
}

/// The text of an answer and the id of its request.
struct Answer {
    text: String,
    request: String,
}

/// A small fleet in this process.
struct Fleet {
    entry: Entry,
    agents: Vec<Agent>,
    fakes: Vec<ServerHandle>,
    patches: u64,
}

impl Fleet {
    async fn start() -> Result<Self> {
        let settings = entry_settings();
        let journal = journal(&settings.host);
        let entry = Entry::start(settings, start_incarnation(), journal)
            .await
            .change_context(DemoError::Start)?;
        let mut fleet = Self {
            entry,
            agents: Vec::new(),
            fakes: Vec::new(),
            patches: 0,
        };
        for (number, model) in ["lector-1", "lector-1", "lector-2", "lector-2"]
            .iter()
            .enumerate()
        {
            let offer = Offer::Model {
                model: id(model),
                version: "1".into(),
                adapters: Vec::new(),
            };
            let info = server_info(&format!("engine-{number}"), offer);
            let fake = listen(loopback(), FakeEngine::new(info)).await;
            fleet
                .add_agent(fake.change_context(DemoError::Start)?, number)
                .await?;
        }
        let info = server_info(
            "desk-0",
            Offer::Service {
                service: id("mesa"),
            },
        );
        let fake = listen(loopback(), FakeService::new(info)).await;
        fleet
            .add_agent(fake.change_context(DemoError::Start)?, 4)
            .await?;
        fleet.wait_for_members().await;
        Ok(fleet)
    }

    async fn add_agent(&mut self, fake: ServerHandle, number: usize) -> Result<()> {
        let settings = agent_settings(number, fake.address(), self.entry.own());
        let journal = journal(&settings.host);
        let agent = Agent::start(settings, start_incarnation(), journal).await;
        self.agents.push(agent.change_context(DemoError::Start)?);
        self.fakes.push(fake);
        Ok(())
    }

    async fn wait_for_members(&self) {
        while self.entry.shared().registry.members().len() < self.agents.len() {
            smol::Timer::after(Span::from_millis(10).as_duration()).await;
        }
    }

    fn patch(&mut self, set: serde_json::Value) -> Result<()> {
        self.patches += 1;
        let patch = Patch {
            id: id(&format!("demo-{}", self.patches)),
            base: self.entry.shared().config().version,
            reason: "the demonstration".into(),
            set,
        };
        match self.entry.shared().submit(&patch) {
            Some(snipemast_config::Verdict::Accepted { version }) => {
                println!("patch {} is in force as version {version}", patch.id);
                Ok(())
            }
            _ => Err(Report::new(DemoError::Patch)),
        }
    }

    async fn ask_model(&self, title: &str) -> Result<()> {
        println!("\n== {title}: a bordereau of 2 lines to lector");
        let body = json!({ "model": "lector", "prompt": BORDEREAU, "max_tokens": 8 });
        let answer = self.call("/v1/completions", Some(body.to_string())).await?;
        let document: Value = serde_json::from_str(&answer.text).unwrap_or_default();
        let text = document["choices"][0]["text"].as_str();
        println!("   answer  {}", text.unwrap_or(&answer.text));
        self.print_route(&answer).await;
        Ok(())
    }

    async fn ask_service(&self) -> Result<()> {
        println!("\n== a lookup of a treaty by mesa");
        let path = "/services/mesa/treaties/QS-2026-01";
        let answer = self.call(path, None).await?;
        println!("   answer  {}", answer.text);
        self.print_route(&answer).await;
        Ok(())
    }

    /// Prints the hosts that a request passed, as its events name them.
    async fn print_route(&self, answer: &Answer) {
        let query = TimelineQuery {
            request: Some(answer.request.clone()),
            since: None,
        };
        let timeline = collect(self.entry.shared(), &query).await;
        let mut hosts: Vec<&str> = Vec::new();
        for record in &timeline.records {
            let host = record.process.host.as_str();
            if hosts.last() != Some(&host) {
                hosts.push(host);
            }
        }
        println!("   request {}", answer.request);
        println!("   route   {}", hosts.join(" > "));
    }

    async fn call(&self, path: &str, body: Option<String>) -> Result<Answer> {
        let client = Client::new(ClientConfig::default());
        let url = format!("http://{}{path}", self.entry.callers());
        let conn = match body {
            Some(body) => client.post(url.as_str()).with_body(body),
            None => client.get(url.as_str()),
        };
        let conn =
            conn.with_request_header(KnownHeaderName::Authorization, format!("Bearer {KEY}"));
        let mut conn = conn.await.change_context(DemoError::Request)?;
        let text = conn
            .response_body()
            .read_string()
            .await
            .change_context(DemoError::Request)?;
        if conn.status().is_some_and(|s| s.is_success()) {
            let request = conn.response_headers().get_str(REQUEST_HEADER);
            let request = request.unwrap_or_default().to_string();
            Ok(Answer { text, request })
        } else {
            Err(Report::new(DemoError::Request).attach(text))
        }
    }

    fn print_hint(&self) {
        let address = self.entry.callers();
        println!(
            "try: curl -s http://{address}/v1/completions -H 'Authorization: Bearer {KEY}' \
             -d '{{\"model\":\"lector\",\"prompt\":\"hello\",\"stream\":true}}'"
        );
    }

    async fn print_timeline(&self) {
        println!("\n== the time line of all processes (seconds since the first event)");
        let timeline = collect(self.entry.shared(), &TimelineQuery::default()).await;
        print!("{}", table(&timeline));
    }

    async fn stop(self) {
        self.entry.stop().await;
        let stops: Vec<_> = self.agents.into_iter().map(|a| spawn(a.stop())).collect();
        for stop in stops {
            stop.await;
        }
    }
}

fn entry_settings() -> EntrySettings {
    EntrySettings {
        host: id("entry-0"),
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
        limits: EntryLimits {
            notice: Span::default(),
            shutdown: Span::from_secs(2),
            ..EntryLimits::default()
        },
    }
}

fn agent_settings(number: usize, server: SocketAddr, seed: SocketAddr) -> AgentSettings {
    AgentSettings {
        host: id(&format!("agent-{number}")),
        zone: id("pichincha"),
        region: id("sierra"),
        own: loopback(),
        server,
        seeds: vec![seed],
        statsd: None,
        limits: AgentLimits {
            announce: Span::from_millis(100),
            ..AgentLimits::default()
        },
    }
}

pub(crate) fn server_info(name: &str, offer: Offer) -> ServerInfo {
    ServerInfo {
        server: id(name),
        offers: vec![offer],
        capabilities: Capabilities::default(),
        rank: None,
        slots: 8,
    }
}

fn journal(host: &HostId) -> Journal {
    let process = ProcessId::new(host.clone(), start_incarnation());
    Journal::silent(Arc::new(Ring::new(process, 1_024)))
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

pub(crate) fn id<T: std::str::FromStr<Err = snipemast_core::ids::IdError>>(text: &str) -> T {
    text.parse().expect("the demonstration's names are valid")
}
