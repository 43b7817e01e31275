//! Tests of a group's agents that agree on expert maps over HTTP, in front of a fake group of ranks that step
//! together.

use std::net::SocketAddr;
use std::sync::Arc;

use snipemast_agent::Agent;
use snipemast_core::prelude::*;
use snipemast_fakes::FakeGroup;
use snipemast_groups::agree::Proposal;
use snipemast_groups::map::ExpertMap;
use snipemast_tests::{agent_settings, id, info, journal, loopback, pause};
use snipemast_wire::group::{path, Ack, GroupBody, GroupMessage};
use snipemast_wire::{listen, Peer, ServerHandle};

/// The agents of a group and their engines.
struct Ranks {
    group: FakeGroup,
    agents: Vec<Agent>,
    engines: Vec<ServerHandle>,
}

impl Ranks {
    async fn start(count: u32) -> Self {
        let group = FakeGroup::new(count);
        let mut ranks = Self {
            group,
            agents: Vec::new(),
            engines: Vec::new(),
        };
        for number in 0..count {
            ranks.add(number).await;
        }
        ranks.send_roster().await;
        ranks
    }

    async fn add(&mut self, number: u32) {
        let name = format!("rank-{number}");
        let offer = Offer::Model {
            model: id("lector-1"),
            version: "1".into(),
            adapters: Vec::new(),
        };
        let place = Rank {
            group: id("lector"),
            number,
        };
        let info = ServerInfo {
            rank: Some(place),
            ..info(&name, offer)
        };
        let engine = listen(loopback(), self.group.rank(number, info)).await;
        let engine = engine.expect("an engine starts on port 0");
        self.agents
            .push(start_agent(&name, engine.address(), 1).await);
        self.engines.push(engine);
    }

    /// Sends every agent the addresses of all agents and the fencing number.
    async fn send_roster(&self) {
        let roster: Vec<SocketAddr> = self.agents.iter().map(Agent::address).collect();
        for agent in &self.agents {
            send_message(agent, GroupBody::Roster(roster.clone())).await;
            send_message(agent, GroupBody::Fence(Fence::new(1))).await;
        }
    }

    /// Lets the engines step until they use a version of the map.
    async fn step_until(&self, version: u64) {
        for _ in 0..20_000 {
            self.group.advance();
            let last = self.group.steps().lock().last();
            if last.is_some_and(|(_, v)| v == MapVersion::new(version)) {
                return;
            }
            pause(1).await;
        }
        panic!("the group never steps with map {version}");
    }

    /// Proposes a map to the lead repeatedly until every rank has committed the version.
    async fn propose_until(&self, lead: usize, base: u64, map: &Arc<ExpertMap>, version: u64) {
        for _ in 0..200 {
            let proposal = Proposal {
                fence: Fence::new(1),
                base: MapVersion::new(base),
                map: Arc::clone(map),
            };
            send_message(&self.agents[lead], GroupBody::Propose(proposal)).await;
            for _ in 0..50 {
                self.group.advance();
                pause(1).await;
                if self.versions().iter().all(|v| *v == version) {
                    return;
                }
            }
        }
        panic!(
            "not every rank has committed map {version}: {:?}",
            self.versions()
        );
    }

    /// Returns the version of the map that each rank has committed.
    fn versions(&self) -> Vec<u64> {
        let standing = |a: &Agent| a.rank().and_then(|r| r.committed_map());
        let version = |a: &Agent| standing(a).map_or(0, |s| s.version.get());
        self.agents.iter().map(version).collect()
    }
}

async fn start_agent(name: &str, engine: SocketAddr, start: u64) -> Agent {
    let settings = agent_settings(name, engine, loopback());
    let journal = journal(&settings.host);
    let agent = Agent::start(settings, Incarnation::new(start), journal).await;
    agent.expect("an agent starts on port 0")
}

async fn send_message(agent: &Agent, body: GroupBody) {
    let message = GroupMessage {
        group: id("lector"),
        from: 0,
        body,
    };
    let answer = Peer::new(agent.address())
        .call::<_, Ack>(path::GROUP, &message, Span::from_secs(10))
        .await;
    answer.expect("an agent accepts a message");
}

/// Returns a map that assigns the experts to the ranks in turn.
fn round_robin(experts: u16) -> Arc<ExpertMap> {
    Arc::new(ExpertMap::round_robin(2, 3, 4, experts))
}

/// Guards against a second map that does not follow the first, and against ranks that step with different maps.
#[test]
fn maps_follow() {
    smol::block_on(async {
        let ranks = Ranks::start(3).await;
        send_message(&ranks.agents[0], GroupBody::Appoint).await;
        ranks.propose_until(0, 0, &round_robin(6), 1).await;
        ranks.step_until(1).await;
        ranks.propose_until(0, 1, &round_robin(9), 2).await;
        ranks.step_until(2).await;
        assert_eq!(ranks.group.steps().lock().map_conflict(), None);
    });
}

/// Guards against a group that stays stopped after an agent restarts while its engine runs on. The agent has
/// lost its promises, so the group must form again with its current map.
#[test]
fn restarted_agent_rejoins() {
    smol::block_on(async {
        let mut ranks = Ranks::start(3).await;
        send_message(&ranks.agents[0], GroupBody::Appoint).await;
        ranks.propose_until(0, 0, &round_robin(6), 1).await;
        ranks.step_until(1).await;
        let before = ranks.group.steps().lock().completed();
        let old = ranks.agents.pop().expect("there are three");
        old.stop().await;
        let engine = ranks.engines[2].address();
        ranks.agents.push(start_agent("rank-2", engine, 2).await);
        ranks.send_roster().await;
        for _ in 0..20_000 {
            ranks.group.advance();
            pause(1).await;
            let completed = ranks.group.steps().lock().completed();
            if ranks.versions() == [1, 1, 1] && completed.get() > before.get() + 20 {
                break;
            }
        }
        assert_eq!(ranks.versions(), [1, 1, 1]);
        assert!(ranks.group.steps().lock().completed().get() > before.get() + 20);
        assert_eq!(ranks.group.steps().lock().map_conflict(), None);
    });
}
