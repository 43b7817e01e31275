//! What a gateway believes of each server's load and health, and the servers that it may choose.
//!
//! The load of a server is what this gateway has in flight there, known exactly, and what the other
//! gateways had when they last told. Health comes from this gateway's own requests.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

use snipemast_core::prelude::*;

use crate::allowances::{Allowances, Granted};
use crate::choice::{Choice, Offered, Unplaced, Wanted};
use crate::pick::{Candidate, Freshness, Pick, Placing};
use crate::pools::Pool;
use crate::rests::Rests;
use crate::turn::{Room, Turn};

mod open;

/// How long the others' counts are believed: four of their usual exchanges.
const OTHERS_AGE: Span = Span::from_millis(1_000);

/// How long a request is taken to be in flight before the first one was answered.
const USUAL: Span = Span::from_secs(1);

/// How long a server is left out after its first failure in a row, and at most. The first is about
/// two heartbeats of the engine's group, the last a restart of a server.
const OUT_FIRST: Span = Span::from_millis(400);
const OUT_LONGEST: Span = Span::from_millis(3_200);

/// Failures of requests in a row (not of connections) before a server is left out: one in three
/// hundred healthy answers is an error, and three in a row then come once in 27 million.
const FAILURES: u32 = 3;

/// How long a server may show nothing of a stream before it is asked whether it alone stands still: some times
/// the longest pass, so that the rest of the 2 s that callers wait is enough for another server.
pub const STILL: Span = Span::from_millis(900);

/// How long what a server told of itself holds: it is asked again about as often as the group's longest queue
/// empties.
const ASKED: Span = Span::from_millis(1_000);

/// How long a piece of a stream shows that a service goes on: the longest pass, and its way.
const GOING: Span = Span::from_millis(400);

/// From this pace on, in hundredths of the usual time, a server is slow: a request on a rank that
/// takes half as long again lengthens every pass of its group by more than the usual unevenness.
const SLOW: u32 = 150;

/// What went wrong with a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    /// No connection.
    Unreachable,
    /// A connection broke, or the answer was not one.
    Broken,
    /// It answered with a failure of its own.
    Failed,
    /// It refused a request because it is full.
    Full,
    /// It shows nothing while others of its service go on.
    Still,
}

/// What is believed of each server.
#[derive(Debug)]
pub struct Servers<P = Placing> {
    pick: P,
    /// When a server counts as full.
    room: Room,
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
    offered: Offered,
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
            room: Room::default(),
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
    pub fn with_room(mut self, room: Room) -> Self {
        self.room = room;
        self
    }

    /// Sets the servers that may be sent to; what is known of those that stay is kept. Tells where
    /// servers took requests that are gone or have started again.
    ///
    /// Failure guarded against: a server crashes and starts again under its id, and the requests that its
    /// earlier start had, its failures and its pace keep requests away from it.
    pub fn set_offered(&mut self, offered: Vec<Offered>) -> Vec<SocketAddr> {
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
    pub fn set_others(
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

    /// Sets the limits that servers name; one that isn't named is over.
    pub fn set_limits(&mut self, now: Moment, limits: Vec<(ServerId, Rate)>) {
        self.allowances.set_limits(now, limits);
    }

    /// Takes note of how many gateways there are.
    pub fn see_gateways(&mut self, count: u32) {
        self.allowances.see_gateways(count);
    }

    /// Takes what the leader grants to this gateway.
    pub fn set_grants(&mut self, now: Moment, grants: impl Iterator<Item = (ServerId, Granted)>) {
        self.allowances.set_grants(now, grants);
    }

    /// A start of a server turned a request away and asks this gateway for rest.
    pub fn note_rest(&mut self, now: Moment, server: &ServerId, start: Incarnation, span: Span) {
        self.rests.note(now, server, start, span);
    }

    /// A start of a server took a request that was sent at a moment; true where it is the first one after a rest.
    pub fn note_taken(&mut self, sent: Moment, server: &ServerId, start: Incarnation) -> bool {
        let slots = self.get(server, start).map_or(0, |s| s.offered.slots);
        self.rests.note_taken(sent, server, start, slots)
    }

    /// Whether a start of a server wants nothing from this gateway now.
    pub fn is_resting(&self, now: Moment, server: &ServerId, start: Incarnation) -> bool {
        self.rests.is_resting(now, server, start)
    }

    /// When the first of a service's servers that rest may be sent a request.
    pub fn opens(&self, now: Moment, service: &ServiceId) -> Option<Moment> {
        let staying = self.staying(service);
        staying
            .filter_map(|o| self.rests.opens(now, &o.server, o.start))
            .min()
    }

    /// How many requests a service's servers take, as a rule.
    pub fn capacity(&self, service: &ServiceId) -> Rate {
        let staying = self.staying(service);
        let slots: u64 = staying.map(|o| u64::from(o.slots)).sum();
        let usual = self.usual.get(service).copied().unwrap_or(USUAL);
        Rate::from_millis(1_000_000 * slots / usual.as_millis().max(1))
    }

    /// A start of a server said that it leaves.
    pub fn note_leaving(&mut self, now: Moment, server: &ServerId, start: Incarnation) {
        if let Some(server) = self.get(server, start) {
            server.offered.leaving.get_or_insert(now);
        }
    }

    /// How many more requests this gateway would send to a server that names a limit.
    pub fn demand(&mut self, now: Moment, server: &ServerId) -> u32 {
        let known = self.known.get(server).map(|s| &s.offered);
        let spared =
            |o: &Offered| o.leaving.is_some() || self.rests.opens(now, server, o.start).is_some();
        if known.is_some_and(spared) {
            return 0;
        }
        self.allowances.demand(now, server)
    }

    /// What a service's servers take from all gateways, where they name limits.
    pub fn limit(&self, service: &ServiceId) -> Rate {
        let staying = self.staying(service);
        staying
            .filter_map(|o| self.allowances.rate(&o.server))
            .sum()
    }

    /// The servers of a service but those that leave.
    fn staying<'a>(&'a self, service: &'a ServiceId) -> impl Iterator<Item = &'a Offered> {
        let all = self.known.values().map(|s| &s.offered);
        all.filter(move |o| o.pool.service == *service && o.leaving.is_none())
    }

    /// Whether a server is left out because it is slow.
    ///
    /// Answers the load of a group with one slow rank: all ranks wait for it in each pass, and it
    /// takes its factor longer for each request that it runs itself. So it gets none, as long as
    /// most of its group is as fast as usual.
    fn is_shunned(&self, offered: &Offered) -> bool {
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
    pub fn flying(&self) -> impl Iterator<Item = (&ServerId, u32)> {
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
        wanted: Wanted<'_>,
        turn: Turn,
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
            resting: self.rests.is_resting(now, &id, start),
            leaving: server.offered.leaving.is_some(),
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
    pub fn note_whole(&mut self, service: &ServiceId, took: Span) {
        /// Over how many answers the usual time is a mean.
        const FOLLOWED: u64 = 16;
        let usual = self.usual.entry(service.clone()).or_insert(took);
        *usual = usual.following(took, FOLLOWED);
    }

    /// A request at a start of a server has ended, however.
    pub fn end(&mut self, server: &ServerId, start: Incarnation) {
        if let Some(server) = self.get(server, start) {
            server.own = server.own.saturating_sub(1);
        }
    }

    /// A piece of a stream came from a start of a server.
    pub fn note_piece(&mut self, now: Moment, server: &ServerId, start: Incarnation) {
        if let Some(server) = self.get(server, start) {
            server.piece = now;
            server.still = false;
        }
    }

    /// Whether a server has shown nothing since a moment while others of its pool go on.
    ///
    /// Failure guarded against: a server's host stands still. What was sent to it waits there until its
    /// caller has given up after 2 s, and is worked on for nobody when the host wakes up. A stream that may
    /// be resumed is sent to another server while its caller still waits.
    pub fn stands_still(&self, now: Moment, server: &ServerId, since: Moment) -> bool {
        let Some(silent) = self.known.get(server).filter(|s| s.piece < since) else {
            return false;
        };
        let same = self.known.values();
        let mut same = same.filter(|s| s.offered.pool == silent.offered.pool);
        same.any(|s| now < s.piece + GOING && s.piece > since)
    }

    /// Whether a server that shows nothing is asked how it is; by one request at a time.
    pub fn asks(&mut self, now: Moment, id: &ServerId) -> bool {
        let Some(server) = self.known.get_mut(id) else {
            return false;
        };
        let rests = self.rests.is_resting(now, id, server.offered.start);
        let due = now >= server.asked + ASKED && !server.still && !rests;
        if due {
            server.asked = now;
        }
        due
    }

    /// The servers that answer nothing.
    pub fn still(&self) -> impl Iterator<Item = &ServerId> {
        let still = self.known.iter().filter(|(_, s)| s.still);
        still.map(|(id, _)| id)
    }

    /// Where a server is asked how it is that another gateway found to answer nothing; nothing where this gateway
    /// knows of it, or has asked just now.
    ///
    /// Failure guarded against: a host stands still, and each of many gateways finds that out by requests of its own
    /// that are lost there. What another gateway finds may be the path between the two, so it is asked for.
    pub fn asks_told(&mut self, now: Moment, id: &ServerId) -> Option<(Incarnation, SocketAddr)> {
        if !self.asks(now, id) {
            return None;
        }
        let server = self.known.get(id)?;
        let shown = now < server.piece + GOING || now < server.out;
        (!shown).then_some((server.offered.start, server.offered.address))
    }

    /// A start of a server that answered nothing does again.
    pub fn note_answering(&mut self, now: Moment, id: &ServerId, start: Incarnation) {
        if let Some(server) = self.get(id, start) {
            server.still = false;
            server.out = server.out.min(now);
        }
    }

    /// A start of a server answered well.
    pub fn note_success(&mut self, server: &ServerId, start: Incarnation) {
        if let Some(server) = self.get(server, start) {
            (server.failures, server.strikes) = (0, 0);
        }
    }

    /// A server, if it has not started again since.
    fn get(&mut self, server: &ServerId, start: Incarnation) -> Option<&mut Server> {
        let known = self.known.get_mut(server);
        known.filter(|s| s.offered.start == start)
    }

    /// Something went wrong with a start of a server; for how long it is left out at least, if it is. One that stands
    /// still is left out until it shows something.
    pub fn note_trouble(
        &mut self,
        now: Moment,
        id: &ServerId,
        start: Incarnation,
        trouble: Trouble,
    ) -> Option<Span> {
        /// How long a server that said it is full is not asked again.
        const FULL_PAUSE: Span = Span::from_millis(60);
        let server = self.get(id, start)?;
        if trouble == Trouble::Full {
            server.full = now + FULL_PAUSE;
            self.rests.note_turned(now, id, start);
            return None;
        }
        if trouble == Trouble::Still {
            let news = !std::mem::replace(&mut server.still, true);
            return news.then_some(OUT_LONGEST);
        }
        server.failures += 1;
        if trouble != Trouble::Unreachable && server.failures < FAILURES {
            return None;
        }
        let factor = 1 << server.strikes.min(5);
        let span = OUT_FIRST.times(factor).min(OUT_LONGEST);
        server.strikes += 1;
        server.failures = 0;
        server.out = server.out.max(now + span);
        Some(span)
    }

    /// A server can be connected to again.
    pub fn note_reachable(&mut self, now: Moment, id: &ServerId) {
        if let Some(server) = self.known.get_mut(id) {
            server.out = server.out.min(now);
        }
    }

    /// Whether a start of a server may be sent to.
    pub fn knows(&self, id: &ServerId, start: Incarnation) -> bool {
        let known = self.known.get(id);
        known.is_some_and(|s| s.offered.start == start)
    }
}

impl Server {
    fn new(offered: Offered) -> Self {
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
    fn is(&self, offered: &Offered) -> bool {
        self.offered.start == offered.start && self.offered.address == offered.address
    }
}
