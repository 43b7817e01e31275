//! What a gateway believes of each server's load and health, and the servers that it may choose.
//!
//! The load of a server is what this gateway has in flight there, known exactly, and what the other
//! gateways had when they last told. Health comes from this gateway's own requests.
//!
//! - `asked`: what servers ask of gateways.
//! - `health`: what requests show of servers' health.
//! - `open`: which servers may take a request now.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

use snipemast_core::prelude::*;

use crate::allowances::Allowances;
use crate::choice::{AnnouncedServer, Choice, Constraints, Unplaced};
use crate::pick::{Candidate, Freshness, Pick, PickPolicy};
use crate::pools::Pool;
use crate::rests::Rests;
use crate::urgency::{LoadLimits, Urgency};

mod asked;
mod health;
mod open;

pub use health::{ServerFault, STILL};

/// How long the others' counts are believed: four of their usual exchanges.
const OTHERS_AGE: Span = Span::from_millis(1_000);

/// How long a request is taken to be in flight before the first one was answered.
const USUAL: Span = Span::from_secs(1);

/// From this pace on, in hundredths of the usual time, a server is slow: a request on a rank that
/// takes half as long again lengthens every pass of its group by more than the usual unevenness.
const SLOW: u32 = 150;

/// What is believed of each server.
#[derive(Debug)]
pub struct Servers<P = PickPolicy> {
    pick: P,
    /// When a server counts as full.
    room: LoadLimits,
    zone: ZoneId,
    known: BTreeMap<ServerId, Server>,
    /// The pools of each service's servers.
    pools: HashMap<ServiceId, Vec<Pool>>,
    slow: HashMap<ServerId, u32>,
    allowances: Allowances,
    rests: Rests,
    /// For how long a server that leaves may be sent what no other takes.
    drain: Span,
    /// When the other gateways' counts were taken, in the mean.
    counted: Moment,
    /// How long a request is in flight, as a rule.
    usual: HashMap<ServiceId, Span>,
}

#[derive(Debug)]
struct Server {
    offered: AnnouncedServer,
    own: u32,
    others: u32,
    failures: u32,
    strikes: u32,
    out: Moment,
    full: Moment,
    /// When a piece of a stream came last.
    piece: Moment,
    /// Whether it is left out until something comes from it: a host that stands still takes connections too.
    still: bool,
    /// When it was asked last how it is.
    asked: Moment,
}

impl<P: Pick> Servers<P> {
    /// No server yet; those of this zone are preferred among equals.
    pub fn new(zone: ZoneId) -> Self {
        Self {
            pick: P::default(),
            room: LoadLimits::default(),
            zone,
            known: BTreeMap::new(),
            pools: HashMap::new(),
            slow: HashMap::new(),
            allowances: Allowances::new(0),
            rests: Rests::default(),
            drain: Span::default(),
            counted: Moment::ZERO,
            usual: HashMap::new(),
        }
    }

    /// Picks servers in this way.
    pub fn with_pick(mut self, pick: P) -> Self {
        self.pick = pick;
        self
    }

    /// Tells this gateway apart from others that believe the same.
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.allowances = Allowances::new(seed);
        self.rests = Rests::new(seed);
        self
    }

    /// Sends servers that leave, for so long, what no other takes.
    pub fn with_drain(mut self, drain: Span) -> Self {
        self.drain = drain;
        self
    }

    /// Takes a server for full once it has so many requests in flight.
    pub fn with_room(mut self, room: LoadLimits) -> Self {
        self.room = room;
        self
    }

    /// Sets the servers that may be sent to; what is known of those that stay is kept. Tells where
    /// servers took requests that are gone or have started again.
    ///
    /// Failure guarded against: a server crashes and starts again under its id, and the requests that its
    /// earlier start had, its failures and its pace keep requests away from it.
    pub fn set_announced(&mut self, offered: Vec<AnnouncedServer>) -> Vec<SocketAddr> {
        let mut before = std::mem::take(&mut self.known);
        let mut left = Vec::new();
        for offered in offered {
            let known = before.remove(&offered.server);
            let server = match known {
                Some(known) if known.is(&offered) => Server { offered, ..known },
                known => {
                    left.extend(known.map(|s| s.offered.address));
                    self.slow.remove(&offered.server);
                    Server::new(offered)
                }
            };
            self.known.insert(server.offered.server.clone(), server);
        }
        left.extend(before.into_values().map(|s| s.offered.address));
        let pools: BTreeSet<&Pool> = self.known.values().map(|s| &s.offered.pool).collect();
        self.pools.clear();
        for pool in pools {
            let service = self.pools.entry(pool.service.clone()).or_default();
            service.push(pool.clone());
        }
        left
    }

    /// Sets what the other gateways had in flight when they told, and how long ago that was in the mean.
    pub fn set_other_counts(
        &mut self,
        now: Moment,
        age: Span,
        counts: impl Iterator<Item = (ServerId, u32)>,
    ) {
        self.counted = now - age;
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
    /// Answers the load of a group with one slow rank: all ranks wait for it in each pass, and it
    /// takes its factor longer for each request that it runs itself. So it gets none, as long as
    /// most of its group is as fast as usual.
    fn is_shunned(&self, offered: &AnnouncedServer) -> bool {
        let slow = |id: &ServerId| self.slow.get(id).is_some_and(|pace| *pace >= SLOW);
        if !slow(&offered.server) {
            return false;
        }
        let same = self.known.values().map(|s| &s.offered);
        let same = same.filter(|o| o.pool == offered.pool);
        let (all, bad) = same.fold((0, 0), |(all, bad), o| {
            (all + 1, bad + usize::from(slow(&o.server)))
        });
        2 * bad <= all
    }

    /// What this gateway has in flight.
    pub fn in_flight(&self) -> impl Iterator<Item = (&ServerId, u32)> {
        let busy = self.known.iter().filter(|(_, s)| s.own > 0);
        busy.map(|(id, s)| (id, s.own))
    }

    /// The pools of a service's servers.
    pub fn pools(&self, service: &ServiceId) -> &[Pool] {
        self.pools.get(service).map_or(&[], Vec::as_slice)
    }

    /// Chooses a server for a request, and counts it there.
    ///
    /// `chance` differs from request to request, and between gateways that believe the same.
    pub fn choose(
        &mut self,
        now: Moment,
        wanted: Constraints<'_>,
        turn: Urgency,
        chance: u64,
    ) -> Result<Choice, Unplaced> {
        let fresh = self.freshness(now, wanted.service);
        let open = self.open(now, wanted, turn);
        let due = self.due(now, &open);
        let picked = due.or_else(|| self.pick.pick(&open.candidates, fresh, chance));
        let picked = picked.map(|place| (open.servers[place].clone(), open.candidates[place]));
        let (unplaced, passed, rested) = (open.unplaced, open.passed, open.rested);
        let limited: Vec<ServerId> = open.limited.into_iter().cloned().collect();
        for server in &limited {
            self.allowances.note_demand(now, server);
        }
        let (id, Candidate { own, others, .. }) = picked.ok_or(unplaced)?;
        let server = self.known.get_mut(&id).ok_or(Unplaced::Nobody)?;
        server.own += 1;
        let start = server.offered.start;
        self.allowances.spend(now, &id);
        self.rests.spend(now, &id, start);
        Ok(Choice {
            pool: server.offered.pool.clone(),
            start,
            address: server.offered.address,
            load: own + others,
            age: fresh.age,
            limited: self.allowances.is_limited(&id),
            leaving: server.offered.leaving_since.is_some(),
            passed,
            rested,
            server: id,
        })
    }

    /// What the other gateways have in flight at a server, as far as that is believed.
    fn others(&self, now: Moment, server: &Server) -> u32 {
        let fresh = now < self.counted + OTHERS_AGE;
        if fresh {
            server.others
        } else {
            0
        }
    }

    fn freshness(&self, now: Moment, service: &ServiceId) -> Freshness {
        let usual = self.usual.get(service);
        Freshness {
            age: self.counted.until(now),
            usual: usual.copied().unwrap_or(USUAL),
        }
    }

    /// A request was answered in whole, after it was in flight for a span.
    pub fn record_completion(&mut self, service: &ServiceId, took: Span) {
        /// Over how many answers the usual time is a mean.
        const FOLLOWED: u64 = 16;
        let usual = self.usual.entry(service.clone()).or_insert(took);
        *usual = usual.following(took, FOLLOWED);
    }

    /// A request at a start of a server has ended, however.
    pub fn release(&mut self, server: &ServerId, start: Incarnation) {
        if let Some(server) = self.get(server, start) {
            server.own = server.own.saturating_sub(1);
        }
    }

    /// A server, if it has not started again since.
    fn get(&mut self, server: &ServerId, start: Incarnation) -> Option<&mut Server> {
        let known = self.known.get_mut(server);
        known.filter(|s| s.offered.start == start)
    }

    /// Whether a start of a server may be sent to.
    pub fn knows(&self, id: &ServerId, start: Incarnation) -> bool {
        let known = self.known.get(id);
        known.is_some_and(|s| s.offered.start == start)
    }
}

impl Server {
    fn new(offered: AnnouncedServer) -> Self {
        Self {
            offered,
            own: 0,
            others: 0,
            failures: 0,
            strikes: 0,
            out: Moment::ZERO,
            full: Moment::ZERO,
            piece: Moment::ZERO,
            still: false,
            asked: Moment::ZERO,
        }
    }

    /// Whether this is what a server offers: the same start of it, at the same place.
    fn is(&self, offered: &AnnouncedServer) -> bool {
        self.offered.start == offered.start && self.offered.address == offered.address
    }
}
