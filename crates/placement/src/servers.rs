//! What a gateway believes of each server's load and health, and its choice.
//!
//! The load of a server is what this gateway has in flight there, known exactly, and what the other
//! gateways had when they last told. Health comes from this gateway's own requests.

use std::collections::HashMap;
use std::net::SocketAddr;

use snipemast_core::prelude::*;

/// How long the others' counts are believed: four of their usual exchanges.
const OTHERS_AGE: Span = Span::from_millis(1_000);

/// How long a server is left out after its first failure in a row, and at most. The first is about
/// two heartbeats of the engine's group, the last a restart of a server.
const OUT_FIRST: Span = Span::from_millis(400);
const OUT_LONGEST: Span = Span::from_millis(3_200);

/// Failures of requests in a row (not of connections) before a server is left out: one in three
/// hundred healthy answers is an error, and three in a row then come once in 27 million.
const FAILURES: u32 = 3;

/// A server may have this many times its slots in flight before it counts as full: what waits in
/// its own queue begins without a round trip, and it refuses what is beyond that.
const FULL: f64 = 1.5;

/// How long a server may show nothing of a stream before it is asked whether it alone stands still: some times
/// the longest pass, so that the rest of the 2 s that callers wait is enough for another server. Where the
/// host of a rank froze three times a day, that day earned 0.31 to 0.38 of its worth, and 0.23 to 0.28
/// before this and before the group went on without that host (7 and 4 plays).
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

/// One server as a request is placed.
#[derive(Debug, Clone)]
pub struct Choice {
    /// The server.
    pub server: ServerId,
    /// Which start of it.
    pub start: Incarnation,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// What was believed to be in flight there.
    pub load: u32,
    /// How old the other gateways' part of that is.
    pub age: Span,
    /// The next best server, if there was one, and what was believed to be in flight there.
    pub next: Option<(ServerId, u32)>,
}

/// Why no server is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unplaced {
    /// None is known that may be sent to.
    Nobody,
    /// All are left out after failures.
    AllOut,
    /// All have as much as they should.
    AllFull,
    /// The service is out.
    Out,
}

/// A server that may be sent to, as it announced itself.
#[derive(Debug, Clone)]
pub struct Offered {
    /// The server.
    pub server: ServerId,
    /// Which start of it.
    pub start: Incarnation,
    /// Its service.
    pub service: ServiceId,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// How many requests it runs at once.
    pub slots: u32,
}

/// What is believed of each server.
#[derive(Debug)]
pub struct Servers {
    zone: ZoneId,
    known: HashMap<ServerId, Server>,
    slow: HashMap<ServerId, u32>,
}

#[derive(Debug)]
struct Server {
    offered: Offered,
    own: u32,
    others: u32,
    told: Moment,
    failures: u32,
    strikes: u32,
    out: Moment,
    full: Moment,
    /// When a piece of a stream came last.
    piece: Moment,
    /// Whether it is left out until a piece comes from it: a host that stands still takes connections too.
    still: bool,
    /// When it was asked last how it is.
    asked: Moment,
}

impl Servers {
    /// No server yet; those of this zone are preferred among equals.
    pub fn new(zone: ZoneId) -> Self {
        Self {
            zone,
            known: HashMap::new(),
            slow: HashMap::new(),
        }
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
        left
    }

    /// Sets what the other gateways have in flight.
    pub fn set_others(&mut self, now: Moment, counts: impl Iterator<Item = (ServerId, u32)>) {
        for server in self.known.values_mut() {
            (server.others, server.told) = (0, now);
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
    /// most of its service is as fast as usual.
    fn is_shunned(&self, offered: &Offered) -> bool {
        let slow = |id: &ServerId| self.slow.get(id).is_some_and(|pace| *pace >= SLOW);
        if !slow(&offered.server) {
            return false;
        }
        let same = self.known.values().map(|s| &s.offered);
        let same = same.filter(|o| o.service == offered.service);
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

    /// Chooses a server of a service, but none of the given ones, and counts the request there.
    ///
    /// `chance` breaks ties between gateways that believe the same.
    pub fn choose(
        &mut self,
        now: Moment,
        service: &ServiceId,
        but: &[ServerId],
        chance: u64,
    ) -> Result<Choice, Unplaced> {
        let mut unplaced = Unplaced::Nobody;
        let mut best: Option<(f64, u64, &mut Server)> = None;
        let mut next = None;
        let shunned: Vec<ServerId> = self
            .slow
            .keys()
            .filter(|id| {
                self.known
                    .get(*id)
                    .is_some_and(|s| self.is_shunned(&s.offered))
            })
            .cloned()
            .collect();
        let zone = &self.zone;
        for server in self.known.values_mut() {
            let offered = &server.offered;
            if offered.service != *service
                || but.contains(&offered.server)
                || shunned.contains(&offered.server)
            {
                continue;
            }
            if now < server.out {
                unplaced = unplaced.max(Unplaced::AllOut);
                continue;
            }
            let load = server.load(now);
            let bound = f64::from(offered.slots.max(1)) * FULL;
            if f64::from(load) >= bound || now < server.full {
                unplaced = Unplaced::AllFull;
                continue;
            }
            /// What a server of another zone counts more, in requests. Requests that stay in their
            /// zone don't meet lossy or cut links, and gateways of other zones count them late. Measured on
            /// quiet days, with 0.5: 0.979 and 0.989 of the credit; with 2: 0.993 and 0.995.
            const AWAY: f64 = 2.0;
            let away = if offered.zone == *zone { 0.0 } else { AWAY };
            let cost = (f64::from(load) + away) / f64::from(offered.slots.max(1));
            let tie = mix(chance, &offered.server);
            if best.as_ref().is_none_or(|(c, t, _)| (cost, tie) < (*c, *t)) {
                next = best.replace((cost, tie, server));
            } else if next.as_ref().is_none_or(|(c, t, _)| (cost, tie) < (*c, *t)) {
                next = Some((cost, tie, server));
            }
        }
        let (_, _, server) = best.ok_or(unplaced)?;
        let load = server.load(now);
        server.own += 1;
        Ok(Choice {
            server: server.offered.server.clone(),
            start: server.offered.start,
            address: server.offered.address,
            load,
            age: server.told.until(now),
            next: next.map(|(_, _, s)| (s.offered.server.clone(), s.load(now))),
        })
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
            if std::mem::take(&mut server.still) {
                server.out = now;
            }
        }
    }

    /// Whether a server has shown nothing since a moment while others of its service go on.
    ///
    /// Failure guarded against: a server's host stands still. What was sent to it waits there until its
    /// caller has given up after 2 s, and is worked on for nobody when the host wakes up. A stream that may
    /// be resumed is sent to another server while its caller still waits.
    pub fn stands_still(&self, now: Moment, server: &ServerId, since: Moment) -> bool {
        let Some(silent) = self.known.get(server).filter(|s| s.piece < since) else {
            return false;
        };
        let same = self.known.values();
        let mut same = same.filter(|s| s.offered.service == silent.offered.service);
        same.any(|s| now < s.piece + GOING && s.piece > since)
    }

    /// Whether a server that shows nothing is asked how it is; by one request at a time.
    pub fn asks(&mut self, now: Moment, server: &ServerId) -> bool {
        let Some(server) = self.known.get_mut(server) else {
            return false;
        };
        let due = now >= server.asked + ASKED && !server.still;
        if due {
            server.asked = now;
        }
        due
    }

    /// Whether a server of a service, but none of the given ones, has a free place: a request that moves there
    /// begins at once.
    pub fn has_free(&self, now: Moment, service: &ServiceId, but: &[ServerId]) -> bool {
        self.known.values().any(|server| {
            let offered = &server.offered;
            offered.service == *service
                && !but.contains(&offered.server)
                && now >= server.out
                && now >= server.full
                && server.load(now) < offered.slots.max(1)
                && !self.is_shunned(offered)
        })
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

    /// Something went wrong with a start of a server; for how long it is left out, if it is.
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
            return None;
        }
        if trouble == Trouble::Still {
            server.still = true;
            server.out = now + OUT_LONGEST;
            return Some(OUT_LONGEST);
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
            told: Moment::ZERO,
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

    fn load(&self, now: Moment) -> u32 {
        let fresh = now < self.told + OTHERS_AGE;
        self.own + if fresh { self.others } else { 0 }
    }
}

impl Unplaced {
    fn max(self, other: Self) -> Self {
        if self == Self::AllFull {
            self
        } else {
            other
        }
    }
}

/// A number that differs from request to request and from server to server.
fn mix(chance: u64, server: &ServerId) -> u64 {
    let start = chance ^ 0xcbf2_9ce4_8422_2325;
    server.as_str().bytes().fold(start, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}
