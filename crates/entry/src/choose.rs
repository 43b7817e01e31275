//! The routing state, in shards with a lock each, and the choice of a backend server from it.

use std::collections::BTreeMap;
use std::ops::Deref;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use parking_lot::{Mutex, RwLock};

use snipemast_core::prelude::*;
use snipemast_routing::hash::stable_hash;
use snipemast_routing::{
    EjectionCause, Location, NoServer, Notice, Prefix, Query, RequestEnd, Router, ServerFacts,
    ServerIndex, Subset, Wanted,
};

use crate::registry::Member;
use crate::shared::Shared;

/// The number of shards; each model or service belongs to one.
const SHARDS: usize = 8;

/// The interval at which the registry's members are copied.
///
/// A request that finds no server copies them at once.
const SYNC_INTERVAL: Span = Span::from_millis(50);

/// The number of backend servers of one pool and tier that an entry restricts itself to, if there
/// are at least twice as many.
const SUBSET_SERVERS: usize = 24;
/// The shortest interval between two progress records of one answer.
const PROGRESS_INTERVAL: Span = Span::from_millis(100);

/// Chooses a backend server and counts a request as sent to it until the pick is dropped.
pub fn choose(
    shared: &Shared,
    wanted: &Wanted,
    prefix: Option<Prefix>,
    tried: &[ProcessId],
) -> Result<Picked, NoServer> {
    let chooser = &shared.chooser;
    chooser.choose(wanted, prefix, tried).or_else(|_| {
        chooser.sync(&shared.registry.members());
        chooser.choose(wanted, prefix, tried)
    })
}

/// Copies the registry's members and the entry's subset at a fixed interval.
pub async fn sync_forever(shared: Arc<Shared>) {
    loop {
        shared.chooser.sync(&shared.registry.members());
        shared.chooser.set_subset(own_subset(&shared));
        smol::Timer::after(SYNC_INTERVAL.as_duration()).await;
    }
}

/// Returns the entry's subset of servers, numbered by its place by name among the known entries of
/// its zone.
fn own_subset(shared: &Shared) -> Option<Subset> {
    let zone = &shared.settings.zone;
    let number = shared.gossip.with_node(|_, node| {
        let rows = node.table().rows().values();
        let here = rows.filter(|row| row.card.zone == *zone);
        here.map(|row| &row.card.process.host)
            .position(|host| *host == shared.process.host)
    });
    number
        .flatten()
        .map(|number| Subset::new(number, SUBSET_SERVERS))
}

/// The routing state of an entry process.
#[derive(Debug)]
pub struct Chooser {
    clock: Clock,
    journal: Journal,
    shards: Box<[Mutex<Router>]>,
    members: RwLock<BTreeMap<HostId, Arc<Member>>>,
}

impl Chooser {
    /// Creates the state of an entry at this location that knows no server yet.
    pub fn new(location: Location, process: &ProcessId, journal: Journal) -> Self {
        let seed = stable_hash(process);
        let shard = |n| Mutex::new(Router::new(location.clone(), seed.wrapping_add(n)));
        Self {
            clock: Clock::new(),
            journal,
            shards: (0..SHARDS as u64).map(shard).collect(),
            members: RwLock::default(),
        }
    }

    /// Sets the subset of servers that the entry uses, or `None` for all servers.
    pub fn set_subset(&self, subset: Option<Subset>) {
        for shard in &self.shards {
            shard.lock().set_subset(subset);
        }
    }

    /// Updates the routing state to these members: adds new ones, updates changed ones and removes
    /// the others.
    pub fn sync(&self, members: &[Arc<Member>]) {
        for member in members {
            self.update(member);
        }
        // A choice locks a shard first and then the members, so no shard may be locked here.
        let mut removed = Vec::new();
        self.members.write().retain(|host, _| {
            let is_known = members.iter().any(|m| m.announce.agent.host == *host);
            if !is_known {
                removed.push(host.clone());
            }
            is_known
        });
        for host in removed {
            self.remove(&host);
        }
    }

    /// Applies what one agent announced, if it changed.
    pub fn update(&self, member: &Arc<Member>) {
        let host = &member.announce.agent.host;
        let is_first = {
            let mut known = self.members.write();
            let old = known.insert(host.clone(), Arc::clone(member));
            if old.as_ref().is_some_and(|o| Arc::ptr_eq(o, member)) {
                return;
            }
            known.len() == 1
        };
        let now = self.clock.now();
        let announce = &member.announce;
        // The first servers that a starting entry learns of are older than the entry.
        let is_new = !is_first && now.as_micros() > Span::from_secs(5).as_micros();
        for shard in self.shards_of(&announce.info) {
            let mut router = self.shards[shard].lock();
            router.upsert(now, server_facts(member), is_new);
            router.record_load(now, host, &announce.load);
        }
    }

    fn remove(&self, host: &HostId) {
        for shard in &self.shards {
            shard.lock().remove(host);
        }
    }

    /// Chooses a backend server and counts a request as sent to it.
    ///
    /// Unlike the function [`choose`], this doesn't copy the registry's members.
    pub fn choose(
        self: &Arc<Self>,
        wanted: &Wanted,
        prefix: Option<Prefix>,
        tried: &[ProcessId],
    ) -> Result<Picked, NoServer> {
        let now = self.clock.now();
        let shard = shard_of(wanted);
        let query = Query::new(wanted).with_prefix(prefix).with_tried(tried);
        let mut router = self.shards[shard].lock();
        let choice = router.choose(now, &query);
        for notice in router.take_notices() {
            self.record_notice(&notice);
        }
        let slot = choice?.server;
        let member = {
            let members = self.members.read();
            let agent = router.agent(slot).ok_or(NoServer::Unfit)?;
            let member = members.get(&agent.host).ok_or(NoServer::Unfit)?;
            Arc::clone(member)
        };
        router.record_sent(now, slot);
        drop(router);
        Ok(Picked {
            chooser: Arc::clone(self),
            member,
            shard,
            slot,
            sent: now,
            last_progress: AtomicU64::new(now.as_micros()),
            end: RequestEnd::Neutral,
        })
    }

    /// Returns the slots of all servers that accept requests for this, and the requests that run or
    /// wait there.
    pub fn capacity(&self, wanted: &Wanted) -> Option<(f64, f64)> {
        self.shards[shard_of(wanted)]
            .lock()
            .capacity(self.clock.now(), wanted)
    }

    /// Returns the ejected servers, sorted.
    pub fn ejected(&self) -> Vec<ServerId> {
        let now = self.clock.now();
        let mut ejected: Vec<_> = self
            .shards
            .iter()
            .flat_map(|shard| shard.lock().ejected(now))
            .collect();
        ejected.sort();
        ejected.dedup();
        ejected
    }

    fn record_notice(&self, notice: &Notice) {
        match notice {
            Notice::Ejected(server, cause) => {
                let detail = match cause {
                    EjectionCause::Failures => "it failed requests in a row",
                    EjectionCause::Stalled => "it has work and shows no progress",
                };
                self.journal.record(Event::ServerEjected, server, detail);
            }
            Notice::Returned(server) => {
                self.journal.record(Event::ServerReturned, server, "");
            }
            Notice::Spilled(near, begun) => {
                let change = if *begun { "begun" } else { "ended" };
                self.journal
                    .record(Event::ZoneSpilled, format_args!("{near:?}"), change);
            }
        }
    }

    /// Returns the shards of everything that a server offers.
    fn shards_of(&self, info: &ServerInfo) -> Vec<usize> {
        let wanted = info.offers.iter().flat_map(Wanted::offered_by);
        let mut shards: Vec<_> = wanted.map(|w| shard_of(&w)).collect();
        shards.sort_unstable();
        shards.dedup();
        shards
    }
}

/// A chosen server, at which a request counts as in flight until this is dropped.
#[derive(Debug)]
pub struct Picked {
    chooser: Arc<Chooser>,
    member: Arc<Member>,
    shard: usize,
    slot: ServerIndex,
    sent: Moment,
    /// The time of the last progress record, in microseconds.
    last_progress: AtomicU64,
    end: RequestEnd,
}

impl Picked {
    /// Returns the chosen member.
    pub fn member(&self) -> &Arc<Member> {
        &self.member
    }

    /// Records the first part of the server's answer.
    pub fn record_first(&self) {
        let now = self.chooser.clock.now();
        let mut router = self.chooser.shards[self.shard].lock();
        router.record_first(now, self.slot, now.since(self.sent));
    }

    /// Records that the answer made progress; a heartbeat of the agent is no progress.
    pub fn record_progress(&self) {
        let now = self.chooser.clock.now();
        // Locking for each token would cost more than the token.
        let last = Moment::from_micros(self.last_progress.load(Ordering::Relaxed));
        if now.since(last) > PROGRESS_INTERVAL {
            self.last_progress.store(now.as_micros(), Ordering::Relaxed);
            self.chooser.shards[self.shard]
                .lock()
                .record_progress(now, self.slot);
        }
    }

    /// Records the load report that came with the answer.
    pub fn report(&self, load: &LoadReport) {
        let now = self.chooser.clock.now();
        let host = &self.member.announce.agent.host;
        self.chooser.shards[self.shard]
            .lock()
            .record_load(now, host, load);
    }

    /// Sets how the request ended; without it, the end doesn't count for or against the server.
    pub fn set_end(&mut self, end: RequestEnd) {
        self.end = end;
    }
}

impl Deref for Picked {
    type Target = Member;

    fn deref(&self) -> &Member {
        &self.member
    }
}

impl Drop for Picked {
    fn drop(&mut self) {
        let now = self.chooser.clock.now();
        let agent = &self.member.announce.agent;
        self.chooser.shards[self.shard]
            .lock()
            .record_end(now, self.slot, agent, self.end);
    }
}

fn shard_of(wanted: &Wanted) -> usize {
    (wanted.family() % SHARDS as u64) as usize
}

fn server_facts(member: &Member) -> ServerFacts {
    let announce = &member.announce;
    ServerFacts {
        agent: announce.agent.clone(),
        zone: announce.zone.clone(),
        region: announce.region.clone(),
        info: announce.info.clone(),
        draining: announce.draining,
    }
}
