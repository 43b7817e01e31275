//! Holds the routing state in shards, each under its own lock, and chooses servers out of it.

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

/// The number of shards; a model or service belongs to one.
const SHARDS: usize = 8;

/// How often the view is taken over; a member that is missed is looked for at once.
const SYNC: Span = Span::from_millis(50);

/// The backend servers of one pool and tier that an entry keeps to, where there are twice as many.
const SUBSET: usize = 24;
/// How often the progress of an answer is told.
const TELL: Span = Span::from_millis(100);

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

/// Takes the view over again and again.
pub async fn sync_forever(shared: Arc<Shared>) {
    loop {
        shared.chooser.sync(&shared.registry.members());
        shared.chooser.sit(seat(&shared));
        smol::Timer::after(SYNC.as_duration()).await;
    }
}

/// The entry's seat: its place by name among the entries of its zone that membership knows.
fn seat(shared: &Shared) -> Option<Subset> {
    let zone = &shared.settings.zone;
    let number = shared.gossip.look(|_, node| {
        let rows = node.table().rows().values();
        let here = rows.filter(|row| row.card.zone == *zone);
        here.map(|row| &row.card.process.host)
            .position(|host| *host == shared.process.host)
    });
    number.flatten().map(|number| Subset::new(number, SUBSET))
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
    /// An entry at this place that knows no server yet.
    pub fn new(place: Location, process: &ProcessId, journal: Journal) -> Self {
        let seed = stable_hash(process);
        let shard = |n| Mutex::new(Router::new(place.clone(), seed.wrapping_add(n)));
        Self {
            clock: Clock::new(),
            journal,
            shards: (0..SHARDS as u64).map(shard).collect(),
            members: RwLock::default(),
        }
    }

    /// Takes the entry's seat among the entries of its zone, or none for all servers.
    pub fn sit(&self, seat: Option<Subset>) {
        for shard in &self.shards {
            shard.lock().set_subset(seat);
        }
    }

    /// Takes the view as it is now: what is new, changed or gone.
    pub fn sync(&self, members: &[Arc<Member>]) {
        for member in members {
            self.update(member);
        }
        // A choice takes a shard's lock first and then this one, so no shard is locked under it.
        let mut gone = Vec::new();
        self.members.write().retain(|host, _| {
            let stays = members.iter().any(|m| m.announce.agent.host == *host);
            if !stays {
                gone.push(host.clone());
            }
            stays
        });
        for host in gone {
            self.remove(&host);
        }
    }

    /// Takes what one agent announced, where it is new.
    pub fn update(&self, member: &Arc<Member>) {
        let host = &member.announce.agent.host;
        let first = {
            let mut known = self.members.write();
            let old = known.insert(host.clone(), Arc::clone(member));
            if old.as_ref().is_some_and(|o| Arc::ptr_eq(o, member)) {
                return;
            }
            known.len() == 1
        };
        let now = self.clock.now();
        let announce = &member.announce;
        // The first servers that a starting entry learns of were there before it.
        let fresh = !first && now.as_micros() > Span::from_secs(5).as_micros();
        for shard in self.shards_of(&announce.info) {
            let mut router = self.shards[shard].lock();
            router.upsert(now, facts(member), fresh);
            router.record_load(now, host, &announce.load);
        }
    }

    fn remove(&self, host: &HostId) {
        for shard in &self.shards {
            shard.lock().remove(host);
        }
    }

    /// Chooses a backend server and counts a request as sent to it.
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
            self.journal_notice(&notice);
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
            told: AtomicU64::new(now.as_micros()),
            how: RequestEnd::Neutral,
        })
    }

    /// The slots of all servers that take work for this, and the requests that run or wait there.
    pub fn capacity(&self, wanted: &Wanted) -> Option<(f64, f64)> {
        self.shards[shard_of(wanted)]
            .lock()
            .capacity(self.clock.now(), wanted)
    }

    /// The servers that are ejected.
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

    fn journal_notice(&self, notice: &Notice) {
        match notice {
            Notice::Ejected(server, cause) => {
                let why = match cause {
                    EjectionCause::Failures => "it failed requests in a row",
                    EjectionCause::Stalled => "it has work and shows no progress",
                };
                self.journal.record(Event::ServerEjected, server, why);
            }
            Notice::Returned(server) => {
                self.journal.record(Event::ServerReturned, server, "");
            }
            Notice::Spilled(near, begun) => {
                let what = if *begun { "begun" } else { "ended" };
                self.journal
                    .record(Event::ZoneSpilled, format_args!("{near:?}"), what);
            }
        }
    }

    fn shards_of(&self, info: &ServerInfo) -> Vec<usize> {
        let wanted = info.offers.iter().flat_map(Wanted::offered_by);
        let mut shards: Vec<_> = wanted.map(|w| shard_of(&w)).collect();
        shards.sort_unstable();
        shards.dedup();
        shards
    }
}

/// A server that was chosen, and a request that counts as in flight there until this is dropped.
#[derive(Debug)]
pub struct Picked {
    chooser: Arc<Chooser>,
    member: Arc<Member>,
    shard: usize,
    slot: ServerIndex,
    sent: Moment,
    /// When its progress was last told, in microseconds.
    told: AtomicU64,
    how: RequestEnd,
}

impl Picked {
    /// The member that was chosen.
    pub fn member(&self) -> &Arc<Member> {
        &self.member
    }

    /// Notes the first sign of the server's answer.
    pub fn first(&self) {
        let now = self.chooser.clock.now();
        let mut router = self.chooser.shards[self.shard].lock();
        router.record_first(now, self.slot, now.since(self.sent));
    }

    /// Notes that the answer moved on; a heartbeat of the agent is no such sign.
    pub fn moved(&self) {
        let now = self.chooser.clock.now();
        // A lock for each token would cost more than the token.
        let last = Moment::from_micros(self.told.load(Ordering::Relaxed));
        if now.since(last) > TELL {
            self.told.store(now.as_micros(), Ordering::Relaxed);
            self.chooser.shards[self.shard]
                .lock()
                .record_progress(now, self.slot);
        }
    }

    /// Takes the load report that came with the answer.
    pub fn report(&self, load: &LoadReport) {
        let now = self.chooser.clock.now();
        let host = &self.member.announce.agent.host;
        self.chooser.shards[self.shard]
            .lock()
            .record_load(now, host, load);
    }

    /// Says how the request ended; unsaid, it says nothing of the server.
    pub fn done(&mut self, how: RequestEnd) {
        self.how = how;
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
            .record_end(now, self.slot, agent, self.how);
    }
}

fn shard_of(wanted: &Wanted) -> usize {
    (wanted.family() % SHARDS as u64) as usize
}

fn facts(member: &Member) -> ServerFacts {
    let announce = &member.announce;
    ServerFacts {
        agent: announce.agent.clone(),
        zone: announce.zone.clone(),
        region: announce.region.clone(),
        info: announce.info.clone(),
        draining: announce.draining,
    }
}
