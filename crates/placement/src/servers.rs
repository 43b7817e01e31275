//! A gateway's view of each server's load and health, and the choice of a server.
//!
//! The load of a server is what this gateway has in flight there, which is known exactly, and what
//! the other gateways had when they last reported it. The health is what this gateway's own
//! requests show.
//!
//! - `asked`: what servers ask of gateways: limits, rests, and leaving.
//! - `evacuation`: evacuated availability zones, and servers that may be cold.
//! - `health`: what requests show of servers' health.
//! - `outliers`: servers that fail far more requests than others, and the few that try them again.
//! - `open`: which servers may take a request now.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

use snipemast_core::prelude::*;

use crate::allowances::Allowances;
use crate::choice::{AnnouncedServer, Choice, Constraints, Unplaced};
use crate::cold::ColdServers;
use crate::pick::{Candidate, Freshness, Pick, PickPolicy};
use crate::pools::Pool;
use crate::reserve::{LoadLimits, Reserve};
use crate::rests::Rests;
use crate::urgency::{RequestClass, Urgency};

use outliers::Outliers;

mod asked;
mod evacuation;
mod health;
mod open;
mod outliers;

pub use health::{ServerFault, SILENCE_LIMIT};
pub use outliers::{FailingServers, OutlierChanges};

/// The age up to which the other gateways' counts are used: four of their usual exchanges.
const MAX_COUNT_AGE: Span = Span::from_millis(1_000);

/// The assumed time of a request in flight before the first one of its service is answered.
const DEFAULT_DURATION: Span = Span::from_secs(1);

/// The pace from which a server counts as slow, in hundredths of the usual time. A request on a
/// rank that takes half as long again lengthens every pass of its group by more than the usual
/// unevenness.
const SLOW_PACE: u32 = 150;

/// The gateway's view of all servers.
#[derive(Debug)]
pub struct Servers<P = PickPolicy> {
    pick: P,
    reserve: Reserve,
    zone: ZoneId,
    known: BTreeMap<ServerId, Server>,
    /// The pools of each service's servers.
    pools: HashMap<ServiceId, Vec<Pool>>,
    slow: HashMap<ServerId, u32>,
    allowances: Allowances,
    rests: Rests,
    cold: ColdServers,
    outliers: Outliers,
    /// The availability zones whose servers may be sent nothing.
    evacuated: BTreeSet<ZoneId>,
    /// How long a server that may have turned cold unnoticed is treated as cold: until its next
    /// heartbeats have told.
    settle: Span,
    /// How long a server that is leaving still serves. For a part of that it may be sent requests
    /// that no other server takes.
    drain: Span,
    /// When the other gateways' counts were taken, on average.
    counted_at: Moment,
    /// How long a request of each service is usually in flight.
    usual_durations: HashMap<ServiceId, Span>,
}

#[derive(Debug)]
struct Server {
    announced: AnnouncedServer,
    own: u32,
    others: u32,
    failures: u32,
    ejections: u32,
    ejected_until: Moment,
    full_until: Moment,
    /// When the server last sent a piece of a stream.
    last_piece: Moment,
    /// Whether the server is left out until it sends something. A frozen host still accepts
    /// connections.
    frozen: bool,
    /// When a health check of the server last began.
    last_check: Moment,
}

impl<P: Pick> Servers<P> {
    /// Creates a view without servers. Servers of this zone are preferred among equals.
    pub fn new(zone: ZoneId) -> Self {
        Self {
            pick: P::default(),
            reserve: Reserve::default(),
            zone,
            known: BTreeMap::new(),
            pools: HashMap::new(),
            slow: HashMap::new(),
            allowances: Allowances::new(0),
            rests: Rests::default(),
            cold: ColdServers::default(),
            outliers: Outliers::default(),
            evacuated: BTreeSet::new(),
            settle: Span::default(),
            drain: Span::default(),
            counted_at: Moment::ZERO,
            usual_durations: HashMap::new(),
        }
    }

    /// Sets the policy that picks servers.
    pub fn with_pick(mut self, pick: P) -> Self {
        self.pick = pick;
        self
    }

    /// Sets a seed that differs between gateways with the same view.
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.allowances = Allowances::new(seed);
        self.rests = Rests::new(seed);
        self.cold = ColdServers::new(seed);
        self.outliers.set_seed(seed);
        self
    }

    /// Sets the interval between two heartbeats of a server.
    pub fn with_heartbeat(mut self, heartbeat: Span) -> Self {
        /// Enough that one may be lost and the next one late.
        const HEARTBEATS: u64 = 3;
        self.settle = heartbeat.times(HEARTBEATS);
        self
    }

    /// Sets how servers that fail more often than others are treated.
    pub fn with_failing(mut self, failing: FailingServers) -> Self {
        self.outliers.set_way(failing);
        self
    }

    /// Sets how long a server that is leaving still serves.
    pub fn with_drain(mut self, drain: Span) -> Self {
        self.drain = drain;
        self
    }

    /// Sets how many requests a server may have in flight before it counts as full.
    pub fn with_load_limits(mut self, load_limits: LoadLimits) -> Self {
        self.reserve = Reserve::new(load_limits);
        self
    }

    /// Records a caller's request for a service. Returns whether it is of the least urgent route
    /// among several.
    pub fn record_request(
        &mut self,
        now: Moment,
        service: &ServiceId,
        class: &RequestClass,
    ) -> bool {
        self.reserve.record_request(now, service, class)
    }

    /// Sets the servers that may be sent requests, and keeps what is known of those that stay.
    /// Returns the addresses of the servers that are gone or have started again.
    ///
    /// This guards against a server that crashes and starts again under the same id: the requests,
    /// failures and pace of its earlier start would keep requests away from it.
    pub fn set_announced(
        &mut self,
        now: Moment,
        announced: Vec<AnnouncedServer>,
    ) -> Vec<SocketAddr> {
        let mut before = std::mem::take(&mut self.known);
        let mut gone = Vec::new();
        for announced in announced {
            let (id, start) = (&announced.server, announced.start);
            self.cold.record(now, id, start, announced.cold_until);
            let known = before.remove(&announced.server);
            let server = match known {
                Some(known) if known.matches(&announced) => Server { announced, ..known },
                known => {
                    gone.extend(known.map(|s| s.announced.address));
                    self.slow.remove(&announced.server);
                    Server::new(announced)
                }
            };
            self.known.insert(server.announced.server.clone(), server);
        }
        gone.extend(before.into_values().map(|s| s.announced.address));
        self.update_pools();
        gone
    }

    /// Updates the pools: those with a server that is not evacuated.
    fn update_pools(&mut self) {
        let usable = self.known.values().map(|s| &s.announced);
        let usable = usable.filter(|s| !self.is_evacuated(s));
        let pools: BTreeSet<&Pool> = usable.map(|s| &s.pool).collect();
        self.pools.clear();
        for pool in pools {
            let service = self.pools.entry(pool.service.clone()).or_default();
            service.push(pool.clone());
        }
        let pools = &self.pools;
        self.reserve.retain(|service| pools.contains_key(service));
    }

    /// Sets the number of requests that the other gateways reported in flight, and the average age
    /// of these reports.
    pub fn set_other_counts(
        &mut self,
        now: Moment,
        age: Span,
        counts: impl Iterator<Item = (ServerId, u32)>,
    ) {
        self.counted_at = now - age;
        for server in self.known.values_mut() {
            server.others = 0;
        }
        for (id, count) in counts {
            if let Some(server) = self.known.get_mut(&id) {
                server.others = count;
            }
        }
    }

    /// Sets the servers that take longer than usual, with their pace in hundredths.
    pub fn set_slow(&mut self, slow: HashMap<ServerId, u32>) {
        self.slow = slow;
    }

    /// Whether a server is left out because it is slow.
    ///
    /// All ranks of a group wait for its slowest one in each pass, and a slow rank lengthens each
    /// pass further for each request that it runs itself. So it gets no requests, as long as most
    /// of its group runs at the usual pace.
    fn is_slow_outlier(&self, announced: &AnnouncedServer) -> bool {
        let slow = |id: &ServerId| self.slow.get(id).is_some_and(|pace| *pace >= SLOW_PACE);
        if !slow(&announced.server) {
            return false;
        }
        let peers = self.known.values().map(|s| &s.announced);
        let peers = peers.filter(|s| s.pool == announced.pool);
        let (all, bad) = peers.fold((0, 0), |(all, bad), s| {
            (all + 1, bad + usize::from(slow(&s.server)))
        });
        2 * bad <= all
    }

    /// Returns the number of requests that this gateway has in flight at each busy server.
    pub fn in_flight(&self) -> impl Iterator<Item = (&ServerId, u32)> {
        let busy = self.known.iter().filter(|(_, s)| s.own > 0);
        busy.map(|(id, s)| (id, s.own))
    }

    /// Returns the number of servers that may be sent requests.
    pub fn count(&self) -> usize {
        self.known.len()
    }

    /// Returns the pools of a service's servers.
    pub fn pools(&self, service: &ServiceId) -> &[Pool] {
        self.pools.get(service).map_or(&[], Vec::as_slice)
    }

    /// Chooses a server for a request, and counts the request there.
    ///
    /// `chance` differs between requests, and between gateways with the same view.
    pub fn choose(
        &mut self,
        now: Moment,
        constraints: Constraints<'_>,
        urgency: Urgency,
        chance: u64,
    ) -> Result<Choice, Unplaced> {
        self.refresh_outliers(now);
        let freshness = self.freshness(now, constraints.service);
        let open = self.open_servers(now, constraints, urgency);
        let due = self.due_index(now, &open);
        let due = due.or_else(|| self.due_probe(now, &open));
        let picked = due.or_else(|| self.pick.pick(&open.candidates, freshness, chance));
        let picked = picked.map(|index| (open.servers[index].clone(), open.candidates[index]));
        let (unplaced, skipped_limited, skipped_resting) =
            (open.unplaced, open.skipped_limited, open.skipped_resting);
        let limited: Vec<ServerId> = open.limited.into_iter().cloned().collect();
        for server in &limited {
            self.allowances.record_demand(now, server);
        }
        let (id, Candidate { own, others, .. }) = picked.ok_or(unplaced)?;
        let server = self.known.get_mut(&id).ok_or(Unplaced::Nobody)?;
        server.own += 1;
        let local = server.announced.zone == self.zone;
        self.cold.spend(now, &server.announced, local);
        let start = server.announced.start;
        self.allowances.spend(now, &id);
        self.rests.spend(now, &id, start);
        self.outliers.spend(now, &id);
        Ok(Choice {
            pool: server.announced.pool.clone(),
            start,
            address: server.announced.address,
            load: own + others,
            load_age: freshness.age,
            limited: self.allowances.is_limited(&id),
            leaving: server.announced.leaving_since.is_some(),
            skipped_limited,
            skipped_resting,
            server: id,
        })
    }

    /// Returns the other gateways' requests in flight at a server, or 0 if the counts are too old.
    fn fresh_others(&self, now: Moment, server: &Server) -> u32 {
        let is_fresh = now < self.counted_at + MAX_COUNT_AGE;
        if is_fresh {
            server.others
        } else {
            0
        }
    }

    fn freshness(&self, now: Moment, service: &ServiceId) -> Freshness {
        let usual = self.usual_durations.get(service);
        Freshness {
            age: self.counted_at.until(now),
            usual_duration: usual.copied().unwrap_or(DEFAULT_DURATION),
        }
    }

    /// Records that a request was answered in full after this time in flight.
    pub fn record_completion(&mut self, service: &ServiceId, took: Span) {
        /// The number of answers over which the usual duration is averaged.
        const DURATION_MEAN_PARTS: u64 = 16;
        let usual = self.usual_durations.entry(service.clone()).or_insert(took);
        *usual = usual.smoothed(took, DURATION_MEAN_PARTS);
    }

    /// Records that a request at a start of a server has ended, whether it succeeded or not.
    pub fn release(&mut self, server: &ServerId, start: Incarnation) {
        if let Some(server) = self.get(server, start) {
            server.own = server.own.saturating_sub(1);
        }
    }

    /// Returns a server, unless it has started again since.
    fn get(&mut self, server: &ServerId, start: Incarnation) -> Option<&mut Server> {
        let known = self.known.get_mut(server);
        known.filter(|s| s.announced.start == start)
    }

    /// Whether a start of a server may be sent requests.
    pub fn knows_start(&self, id: &ServerId, start: Incarnation) -> bool {
        let known = self.known.get(id);
        known.is_some_and(|s| s.announced.start == start)
    }
}

impl Server {
    fn new(announced: AnnouncedServer) -> Self {
        Self {
            announced,
            own: 0,
            others: 0,
            failures: 0,
            ejections: 0,
            ejected_until: Moment::ZERO,
            full_until: Moment::ZERO,
            last_piece: Moment::ZERO,
            frozen: false,
            last_check: Moment::ZERO,
        }
    }

    /// Whether an announcement is of the same start of the server at the same address.
    fn matches(&self, announced: &AnnouncedServer) -> bool {
        self.announced.start == announced.start && self.announced.address == announced.address
    }
}
