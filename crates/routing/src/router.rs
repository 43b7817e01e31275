//! The table of servers, and the choice of one for a request.

use std::collections::{BTreeMap, HashMap};

use snipemast_core::prelude::*;

use crate::hash::{mix, stable_hash};
use crate::health::{Health, RequestEnd};
use crate::load::Load;
use crate::pick::ChoiceInput;
use crate::pool::{Location, Pool};
use crate::query::{Choice, EjectionCause, NoServer, Notice, Query, RoutingPolicy, ServerIndex};
use crate::server::{Server, ServerFacts};
use crate::subset::Subset;
use crate::wanted::Wanted;

/// The table of servers of one entry, and the choice among them.
#[derive(Debug)]
pub struct Router {
    pub(crate) policy: RoutingPolicy,
    pub(crate) servers: Vec<Option<Server>>,
    pub(crate) pools: HashMap<Wanted, Pool>,
    pub(crate) location: Location,
    pub(crate) subset: Option<Subset>,
    pub(crate) hosts: BTreeMap<HostId, u32>,
    groups: BTreeMap<GroupId, u32>,
    pub(crate) group_steps: Vec<f64>,
    seed: u64,
    choices: u64,
    pub(crate) notices: Vec<Notice>,
}

impl Router {
    /// Creates an empty table for an entry at this location.
    ///
    /// The seed must differ between entries, so that they draw different servers.
    pub fn new(location: Location, seed: u64) -> Self {
        Self {
            policy: RoutingPolicy::default(),
            servers: Vec::new(),
            pools: HashMap::new(),
            location,
            subset: None,
            hosts: BTreeMap::new(),
            groups: BTreeMap::new(),
            group_steps: Vec::new(),
            seed,
            choices: 0,
            notices: Vec::new(),
        }
    }

    /// Replaces the policy by which servers are compared.
    #[must_use]
    pub fn with_policy(mut self, policy: RoutingPolicy) -> Self {
        self.policy = policy;
        self
    }

    /// Sets the subset of servers that the entry keeps to, or none for all servers.
    pub fn set_subset(&mut self, subset: Option<Subset>) {
        if self.subset != subset {
            self.subset = subset;
            self.rebuild_pools();
        }
    }

    /// Adds or updates a server by what its agent announced.
    ///
    /// `fresh` is true if the server itself is new, and not only this entry's knowledge of it. A
    /// restarted entry must not treat all servers as cold.
    pub fn upsert(&mut self, now: Moment, facts: ServerFacts, fresh: bool) -> ServerIndex {
        if let Some(&index) = self.hosts.get(&facts.agent.host) {
            if self.refresh_facts(now, index, &facts) {
                return ServerIndex(index);
            }
            self.remove(&facts.agent.host);
        }
        let group = facts.info.rank.as_ref().map(|r| self.group_index(&r.group));
        let index = self.free_index();
        self.hosts.insert(facts.agent.host.clone(), index);
        self.servers[index as usize] = Some(Server {
            load: Load::new(),
            health: Health::new(now, fresh),
            suspect: false,
            seed: stable_hash(&facts.info.server),
            group,
            facts,
        });
        self.rebuild_pools();
        ServerIndex(index)
    }

    /// Updates the facts of a known server. Returns false if they are those of another process.
    fn refresh_facts(&mut self, now: Moment, index: u32, facts: &ServerFacts) -> bool {
        let Some(server) = self.servers[index as usize].as_mut() else {
            return false;
        };
        if server.facts.agent != facts.agent {
            return false;
        }
        let listed = server.facts.has_same_pools(facts);
        if server.facts.draining && !facts.draining {
            server.health.record_restart(now);
        }
        server.facts = facts.clone();
        if !listed {
            let group = facts.info.rank.as_ref().map(|r| r.group.clone());
            let group = group.map(|g| self.group_index(&g));
            if let Some(server) = self.servers[index as usize].as_mut() {
                server.group = group;
            }
            self.rebuild_pools();
        }
        true
    }

    /// Removes the server of a host.
    pub fn remove(&mut self, host: &HostId) {
        if let Some(index) = self.hosts.remove(host) {
            self.servers[index as usize] = None;
            self.rebuild_pools();
        }
    }

    /// Sets whether membership suspects that the server of a host is dead.
    pub fn set_suspect(&mut self, host: &HostId, suspect: bool) {
        if let Some(server) = self.server_on(host) {
            server.suspect = suspect;
        }
    }

    /// Records a load report of the server of a host.
    pub fn record_load(&mut self, now: Moment, host: &HostId, report: &LoadReport) {
        let Some(server) = self.server_on(host) else {
            return;
        };
        let before = server.load.restarts();
        server.load.apply_report(now, report);
        if report.restarts > before && server.load.restarts() == report.restarts {
            server.health.record_restart(now);
        }
    }

    /// Counts a request as sent to a server.
    pub fn record_sent(&mut self, now: Moment, index: ServerIndex) {
        if let Some(server) = self.server_mut(index) {
            if server.load.own() == 0 {
                server.health.record_progress(now);
            }
            server.load.record_sent(now);
        }
    }

    /// Records the first sign of an answer, and the time that it took.
    pub fn record_first(&mut self, now: Moment, index: ServerIndex, took: Span) {
        if let Some(server) = self.server_mut(index) {
            server.health.record_first(now, took);
        }
    }

    /// Records that an answer made progress.
    pub fn record_progress(&mut self, now: Moment, index: ServerIndex) {
        if let Some(server) = self.server_mut(index) {
            server.health.record_progress(now);
        }
    }

    /// Counts a request as ended.
    ///
    /// Nothing changes if the index now belongs to a server of another agent than `agent`.
    pub fn record_end(
        &mut self,
        now: Moment,
        index: ServerIndex,
        agent: &ProcessId,
        how: RequestEnd,
    ) {
        let policy = self.policy.health;
        let Some(server) = self.server_mut(index) else {
            return;
        };
        if server.facts.agent != *agent {
            return;
        }
        server.load.record_end(now);
        if server.health.record_end(now, how, &policy) {
            self.eject(now, index.0, EjectionCause::Failures);
        }
    }

    /// Returns the servers that are ejected.
    pub fn ejected(&self, now: Moment) -> Vec<ServerId> {
        let servers = self.servers.iter().flatten();
        let ejected = servers.filter(|s| s.health.is_ejected(now));
        ejected.map(|s| s.facts.info.server.clone()).collect()
    }

    /// Returns the changes since the last call that an operator should see.
    pub fn take_notices(&mut self) -> Vec<Notice> {
        std::mem::take(&mut self.notices)
    }

    /// Returns the agent of a server.
    pub fn agent(&self, index: ServerIndex) -> Option<&ProcessId> {
        self.servers
            .get(index.0 as usize)?
            .as_ref()
            .map(|s| &s.facts.agent)
    }

    /// Returns the slots of all servers that accept requests for this model or service, and the
    /// number of requests that run or wait there.
    pub fn capacity(&mut self, now: Moment, wanted: &Wanted) -> Option<(f64, f64)> {
        self.refresh_means(now, wanted);
        let pool = self.pools.get(wanted)?;
        let slots = pool
            .tiers
            .iter()
            .map(|t| t.listed_ratio * t.means.slots)
            .sum();
        let load = pool
            .tiers
            .iter()
            .map(|t| t.listed_ratio * t.means.load * t.means.slots)
            .sum();
        Some((slots, load))
    }

    /// Chooses a server. The caller calls [`record_sent`](Self::record_sent) if it sends a request
    /// there.
    pub fn choose(&mut self, now: Moment, query: &Query<'_>) -> Result<Choice, NoServer> {
        self.refresh_means(now, query.wanted);
        self.choices = self.choices.wrapping_add(1);
        let draw = mix(self.seed ^ self.choices);
        let pool = self.pools.get(query.wanted).ok_or(NoServer::Unloaded)?;
        let input = ChoiceInput {
            policy: &self.policy,
            servers: &self.servers,
            group_steps: &self.group_steps,
            pool,
            query,
            now,
        };
        let found = input.choose(draw);
        if let Some(stalled) = found.stalled {
            self.eject(now, stalled, EjectionCause::Stalled);
        }
        found.choice.ok_or(NoServer::Unfit)
    }

    fn eject(&mut self, now: Moment, index: u32, cause: EjectionCause) {
        if !self.may_eject(now, index) {
            return;
        }
        let policy = self.policy.health;
        if let Some(server) = self.servers[index as usize].as_mut() {
            server.health.eject(now, &policy);
            let notice = Notice::Ejected(server.facts.info.server.clone(), cause);
            self.notices.push(notice);
        }
    }

    fn server_mut(&mut self, index: ServerIndex) -> Option<&mut Server> {
        self.servers.get_mut(index.0 as usize)?.as_mut()
    }

    fn server_on(&mut self, host: &HostId) -> Option<&mut Server> {
        let index = *self.hosts.get(host)?;
        self.servers[index as usize].as_mut()
    }

    fn free_index(&mut self) -> u32 {
        let free = self.servers.iter().position(Option::is_none);
        let index = free.unwrap_or(self.servers.len());
        if index == self.servers.len() {
            self.servers.push(None);
        }
        index as u32
    }

    fn group_index(&mut self, group: &GroupId) -> u32 {
        let next = self.groups.len() as u32;
        let index = *self.groups.entry(group.clone()).or_insert(next);
        self.group_steps.resize(self.groups.len(), 0.0);
        index
    }
}
