//! The choice of a server for one request.

use std::collections::{BTreeMap, HashMap};

use snipemast_core::prelude::*;

use crate::hash::{mix, stable_hash};
use crate::health::{Health, RequestEnd};
use crate::load::Load;
use crate::pick::View;
use crate::pool::{Location, Pool};
use crate::prefix::{Hints, Prefix, PrefixPolicy};
use crate::query::{Choice, EjectionCause, NoServer, Notice, Query, RoutingPolicy, ServerIndex};
use crate::server::{Server, ServerFacts};
use crate::subset::Subset;
use crate::wanted::Wanted;

/// One entry's table of servers, and the choice among them.
#[derive(Debug)]
pub struct Router {
    pub(crate) policy: RoutingPolicy,
    pub(crate) servers: Vec<Option<Server>>,
    pub(crate) pools: HashMap<Wanted, Pool>,
    pub(crate) place: Location,
    pub(crate) seat: Option<Subset>,
    pub(crate) hosts: BTreeMap<HostId, u32>,
    groups: BTreeMap<GroupId, u32>,
    pub(crate) group_steps: Vec<f64>,
    hints: Hints,
    seed: u64,
    count: u64,
    pub(crate) notices: Vec<Notice>,
}

impl Router {
    /// An empty table for an entry at this place; the seed makes its draws its own.
    pub fn new(place: Location, seed: u64) -> Self {
        Self {
            policy: RoutingPolicy::default(),
            servers: Vec::new(),
            pools: HashMap::new(),
            place,
            seat: None,
            hosts: BTreeMap::new(),
            groups: BTreeMap::new(),
            group_steps: Vec::new(),
            hints: Hints::new(PrefixPolicy::default().hints),
            seed,
            count: 0,
            notices: Vec::new(),
        }
    }

    /// Weighs servers by this policy.
    #[must_use]
    pub fn with_policy(mut self, policy: RoutingPolicy) -> Self {
        self.policy = policy;
        self.hints = Hints::new(policy.prefix.hints);
        self
    }

    /// Takes the entry's seat among those of its zone, or none for all servers.
    pub fn set_subset(&mut self, seat: Option<Subset>) {
        if self.seat != seat {
            self.seat = seat;
            self.relist();
        }
    }

    /// Takes what an agent announced.
    ///
    /// `fresh` says that the server itself is new, not merely this entry's knowledge of it: a
    /// restarted entry must not treat the whole fleet as cold.
    pub fn upsert(&mut self, now: Moment, facts: ServerFacts, fresh: bool) -> ServerIndex {
        if let Some(&at) = self.hosts.get(&facts.agent.host) {
            if self.refresh_facts(now, at, &facts) {
                return ServerIndex(at);
            }
            self.remove(&facts.agent.host);
        }
        let group = facts.info.rank.as_ref().map(|r| self.group(&r.group));
        let at = self.vacant();
        self.hosts.insert(facts.agent.host.clone(), at);
        self.servers[at as usize] = Some(Server {
            load: Load::new(),
            health: Health::new(now, fresh),
            suspect: false,
            seed: stable_hash(&facts.info.server),
            group,
            facts,
        });
        self.relist();
        ServerIndex(at)
    }

    /// Takes new facts of a known process; false where it is another process.
    fn refresh_facts(&mut self, now: Moment, at: u32, facts: &ServerFacts) -> bool {
        let Some(server) = self.servers[at as usize].as_mut() else {
            return false;
        };
        if server.facts.agent != facts.agent {
            return false;
        }
        let listed = server.facts.is_listed_like(facts);
        if server.facts.draining && !facts.draining {
            server.health.restarted(now);
        }
        server.facts = facts.clone();
        if !listed {
            let group = facts.info.rank.as_ref().map(|r| r.group.clone());
            let group = group.map(|g| self.group(&g));
            if let Some(server) = self.servers[at as usize].as_mut() {
                server.group = group;
            }
            self.relist();
        }
        true
    }

    /// Forgets a server that left.
    pub fn remove(&mut self, host: &HostId) {
        if let Some(at) = self.hosts.remove(host) {
            self.servers[at as usize] = None;
            self.hints.forget_server(at);
            self.relist();
        }
    }

    /// Notes whether membership doubts that a server is alive.
    pub fn set_suspect(&mut self, host: &HostId, suspect: bool) {
        if let Some(server) = self.by_host(host) {
            server.suspect = suspect;
        }
    }

    /// Takes a load report.
    pub fn record_load(&mut self, now: Moment, host: &HostId, report: &LoadReport) {
        let Some(server) = self.by_host(host) else {
            return;
        };
        let before = server.load.restarts();
        server.load.report(now, report);
        if report.restarts > before && server.load.restarts() == report.restarts {
            server.health.restarted(now);
            let at = self.hosts[host];
            self.hints.forget_server(at);
        }
    }

    /// Takes a server's word that its cache gained or lost a prefix.
    ///
    /// Such events come late and with gaps, so they only ever hint: a gap in their numbers drops
    /// all hints of that server, and an answer that shows no cached tokens drops that one.
    pub fn record_cache_event(&mut self, host: &HostId, number: u64, prefix: Prefix, held: bool) {
        if let Some(&at) = self.hosts.get(host) {
            self.hints.note(at, number, prefix, held);
        }
    }

    /// Takes an answer's word on whether its prefix was found in the cache.
    pub fn reconcile(&mut self, slot: ServerIndex, prefix: Prefix, hit: bool) {
        if !hit {
            self.hints.forget(slot.0, prefix);
        }
    }

    /// Counts a request as sent.
    pub fn record_sent(&mut self, now: Moment, slot: ServerIndex) {
        if let Some(server) = self.server_mut(slot) {
            if server.load.own() == 0 {
                server.health.begin(now);
            }
            server.load.sent(now);
        }
    }

    /// Notes the first sign of an answer, after this long.
    pub fn record_first(&mut self, now: Moment, slot: ServerIndex, took: Span) {
        if let Some(server) = self.server_mut(slot) {
            server.health.first(now, took);
        }
    }

    /// Notes that an answer moved on.
    pub fn record_progress(&mut self, now: Moment, slot: ServerIndex) {
        if let Some(server) = self.server_mut(slot) {
            server.health.begin(now);
        }
    }

    /// Counts a request as ended; `agent` guards against a slot that was reused meanwhile.
    pub fn record_end(
        &mut self,
        now: Moment,
        slot: ServerIndex,
        agent: &ProcessId,
        how: RequestEnd,
    ) {
        let policy = self.policy.health;
        let Some(server) = self.server_mut(slot) else {
            return;
        };
        if server.facts.agent != *agent {
            return;
        }
        server.load.ended(now);
        if server.health.ended(now, how, &policy) {
            self.eject(now, slot.0, EjectionCause::Failures);
        }
    }

    /// The servers that are ejected.
    pub fn ejected(&self, now: Moment) -> Vec<ServerId> {
        let servers = self.servers.iter().flatten();
        let ejected = servers.filter(|s| s.health.is_ejected(now));
        ejected.map(|s| s.facts.info.server.clone()).collect()
    }

    /// What happened since the last call that an operator should see.
    pub fn take_notices(&mut self) -> Vec<Notice> {
        std::mem::take(&mut self.notices)
    }

    /// The agent of a server.
    pub fn agent(&self, slot: ServerIndex) -> Option<&ProcessId> {
        self.servers
            .get(slot.0 as usize)?
            .as_ref()
            .map(|s| &s.facts.agent)
    }

    /// The slots of all servers that take work for this, and how full they are.
    pub fn capacity(&mut self, now: Moment, wanted: &Wanted) -> Option<(f64, f64)> {
        self.refresh(now, wanted);
        let pool = self.pools.get(wanted)?;
        let slots = pool.tiers.iter().map(|t| t.cut * t.means.slots).sum();
        let load = pool
            .tiers
            .iter()
            .map(|t| t.cut * t.means.load * t.means.slots)
            .sum();
        Some((slots, load))
    }

    /// Chooses a server; the caller says [`record_sent`](Self::record_sent) when it goes there.
    pub fn choose(&mut self, now: Moment, query: &Query<'_>) -> Result<Choice, NoServer> {
        self.refresh(now, query.wanted);
        self.count = self.count.wrapping_add(1);
        let draw = mix(self.seed ^ self.count);
        let pool = self.pools.get(query.wanted).ok_or(NoServer::Unloaded)?;
        let view = View {
            policy: &self.policy,
            servers: &self.servers,
            steps: &self.group_steps,
            hints: &self.hints,
            pool,
            query,
            now,
        };
        let found = view.choose(draw);
        if let Some(stalled) = found.stalled {
            self.eject(now, stalled, EjectionCause::Stalled);
        }
        found.choice.ok_or(NoServer::Unfit)
    }

    fn eject(&mut self, now: Moment, at: u32, cause: EjectionCause) {
        if !self.may_eject(now, at) {
            return;
        }
        let policy = self.policy.health;
        if let Some(server) = self.servers[at as usize].as_mut() {
            server.health.eject(now, &policy);
            let notice = Notice::Ejected(server.facts.info.server.clone(), cause);
            self.notices.push(notice);
        }
    }

    fn server_mut(&mut self, slot: ServerIndex) -> Option<&mut Server> {
        self.servers.get_mut(slot.0 as usize)?.as_mut()
    }

    fn by_host(&mut self, host: &HostId) -> Option<&mut Server> {
        let at = *self.hosts.get(host)?;
        self.servers[at as usize].as_mut()
    }

    fn vacant(&mut self) -> u32 {
        let free = self.servers.iter().position(Option::is_none);
        let at = free.unwrap_or(self.servers.len());
        if at == self.servers.len() {
            self.servers.push(None);
        }
        at as u32
    }

    fn group(&mut self, group: &GroupId) -> u32 {
        let next = self.groups.len() as u32;
        let at = *self.groups.entry(group.clone()).or_insert(next);
        self.group_steps.resize(self.groups.len(), 0.0);
        at
    }
}
