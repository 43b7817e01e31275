//! What this gateway's own requests show of servers' health.

use std::net::SocketAddr;

use snipemast_core::prelude::*;

use super::Servers;
use crate::pick::Pick;

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

/// What went wrong with a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerFault {
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

impl<P: Pick> Servers<P> {
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

    /// Whether a start of a server answers nothing.
    pub fn is_still(&self, id: &ServerId, start: Incarnation) -> bool {
        let known = self.known.get(id);
        known.is_some_and(|s| s.still && s.offered.start == start)
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

    /// Something went wrong with a start of a server; for how long it is left out at least, if it is. One that stands
    /// still is left out until it shows something.
    pub fn record_fault(
        &mut self,
        now: Moment,
        id: &ServerId,
        start: Incarnation,
        trouble: ServerFault,
    ) -> Option<Span> {
        /// How long a server that said it is full is not asked again.
        const FULL_PAUSE: Span = Span::from_millis(60);
        let server = self.get(id, start)?;
        if trouble == ServerFault::Full {
            server.full = now + FULL_PAUSE;
            self.rests.note_turned(now, id, start);
            return None;
        }
        if trouble == ServerFault::Still {
            let news = !std::mem::replace(&mut server.still, true);
            return news.then_some(OUT_LONGEST);
        }
        server.failures += 1;
        if trouble != ServerFault::Unreachable && server.failures < FAILURES {
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
}
