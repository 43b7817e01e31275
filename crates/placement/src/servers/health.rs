//! What this gateway's own requests show of servers' health.

use std::net::SocketAddr;

use snipemast_core::prelude::*;

use super::Servers;
use crate::outcomes::AnswerResult;
use crate::pick::Pick;

/// How long a server is ejected after its first failure in a row, and at most. The first span is
/// about two heartbeats of the engine's group, the last one a restart of a server.
const FIRST_EJECTION: Span = Span::from_millis(400);
const MAX_EJECTION: Span = Span::from_millis(3_200);

/// The number of requests in a row that must fail (failed connections don't count) before a server
/// is ejected. One in three hundred healthy answers is an error, so three in a row come once in 27
/// million.
const MAX_FAILURES: u32 = 3;

/// How long a server may show nothing of a stream before it is checked whether it alone is frozen.
/// This is a multiple of the longest pass, and short enough that the rest of the 2 s that callers
/// wait suffices for another server.
pub const SILENCE_LIMIT: Span = Span::from_millis(900);

/// How long the result of a health check counts. A server is checked again about as often as the
/// group's longest queue empties.
const CHECK_INTERVAL: Span = Span::from_millis(1_000);

/// How long a piece of a stream shows that a server is running: the longest pass plus the network
/// latency.
const PIECE_AGE: Span = Span::from_millis(400);

/// What went wrong with a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerFault {
    /// No connection could be made.
    Unreachable,
    /// A connection broke, or the answer was malformed.
    Broken,
    /// The server answered with an error of its own.
    Failed,
    /// The server said that the time of a request was over, which may have been short.
    Late,
    /// The server refused a request because it is full.
    Full,
    /// The server shows nothing while others of its service are running.
    Still,
}

impl<P: Pick> Servers<P> {
    /// Records that a start of a server sent a piece of a stream.
    pub fn record_piece(&mut self, now: Moment, server: &ServerId, start: Incarnation) {
        if let Some(server) = self.get(server, start) {
            server.last_piece = now;
            server.frozen = false;
        }
    }

    /// Whether a server has shown nothing since a moment while others of its pool are running.
    ///
    /// This guards against a frozen host. What was sent to it waits there until its caller has
    /// given up after 2 s, and is processed for nobody when the host wakes up. A stream that may be
    /// resumed is sent to another server while its caller still waits.
    pub fn seems_frozen(&self, now: Moment, server: &ServerId, since: Moment) -> bool {
        let Some(silent) = self.known.get(server).filter(|s| s.last_piece < since) else {
            return false;
        };
        let pool_servers = self.known.values();
        let mut pool_servers = pool_servers.filter(|s| s.announced.pool == silent.announced.pool);
        pool_servers.any(|s| now < s.last_piece + PIECE_AGE && s.last_piece > since)
    }

    /// Begins a health check of a server that shows nothing, unless one began recently or the server
    /// is resting, evacuated or known to be frozen. Returns whether it does.
    pub fn begin_check(&mut self, now: Moment, id: &ServerId) -> bool {
        let Some(server) = self.known.get_mut(id) else {
            return false;
        };
        let unwanted = self.rests.is_resting(now, id, server.announced.start)
            || self.evacuated.contains(&server.announced.zone);
        let due = now >= server.last_check + CHECK_INTERVAL && !server.frozen && !unwanted;
        if due {
            server.last_check = now;
        }
        due
    }

    /// Whether a start of a server is frozen.
    pub fn is_frozen(&self, id: &ServerId, start: Incarnation) -> bool {
        let known = self.known.get(id);
        known.is_some_and(|s| s.frozen && s.announced.start == start)
    }

    /// Returns the servers that are frozen.
    pub fn frozen(&self) -> impl Iterator<Item = &ServerId> {
        let frozen = self.known.iter().filter(|(_, s)| s.frozen);
        frozen.map(|(id, _)| id)
    }

    /// Begins a health check of a server that another gateway found to be frozen. Returns its start
    /// and address, or nothing if this gateway knows its state or has just checked it.
    ///
    /// This guards against a frozen host that each of many gateways would notice only by losing
    /// requests of its own there. The other gateway may only have lost its path to the server, so
    /// the server is checked first.
    pub fn begin_reported_check(
        &mut self,
        now: Moment,
        id: &ServerId,
    ) -> Option<(Incarnation, SocketAddr)> {
        if !self.begin_check(now, id) {
            return None;
        }
        let server = self.known.get(id)?;
        let known_state = now < server.last_piece + PIECE_AGE || now < server.ejected_until;
        (!known_state).then_some((server.announced.start, server.announced.address))
    }

    /// Records that a frozen start of a server answers again. It may have turned cold meanwhile.
    pub fn mark_answering(&mut self, now: Moment, id: &ServerId, start: Incarnation) {
        if let Some(server) = self.get(id, start) {
            server.frozen = false;
            server.ejected_until = server.ejected_until.min(now);
            self.cold.record(now, id, start, now + self.settle);
        }
    }

    /// Records that a start of a server answered well.
    pub fn record_success(&mut self, server: &ServerId, start: Incarnation) {
        if let Some(server) = self.get(server, start) {
            (server.failures, server.ejections) = (0, 0);
        }
    }

    /// Records that something went wrong with a start of a server. Returns for how long it is
    /// ejected at least, if it is. A frozen server is ejected until it shows something.
    pub fn record_fault(
        &mut self,
        now: Moment,
        id: &ServerId,
        start: Incarnation,
        fault: ServerFault,
    ) -> Option<Span> {
        /// How long a server that said that it is full is not sent requests.
        const FULL_PAUSE: Span = Span::from_millis(60);
        let server = self.get(id, start)?;
        if fault == ServerFault::Full {
            server.full_until = now + FULL_PAUSE;
            self.rests.record_rejection(now, id, start);
            return None;
        }
        if fault == ServerFault::Still {
            let newly_frozen = !std::mem::replace(&mut server.frozen, true);
            return newly_frozen.then_some(MAX_EJECTION);
        }
        server.failures += 1;
        if matches!(fault, ServerFault::Broken | ServerFault::Failed) {
            self.outliers.record(now, id, start, AnswerResult::Failed);
        }
        let server = self.get(id, start)?;
        if fault != ServerFault::Unreachable && server.failures < MAX_FAILURES {
            return None;
        }
        let factor = 1 << server.ejections.min(5);
        let span = FIRST_EJECTION.times(factor).min(MAX_EJECTION);
        server.ejections += 1;
        server.failures = 0;
        server.ejected_until = server.ejected_until.max(now + span);
        Some(span)
    }

    /// Records that a server can be connected to again. It may have turned cold meanwhile, as all
    /// servers of an availability zone do whose power was lost.
    pub fn mark_reachable(&mut self, now: Moment, id: &ServerId) {
        if let Some(server) = self.known.get_mut(id) {
            server.ejected_until = server.ejected_until.min(now);
            let until = now + self.settle;
            self.cold.record(now, id, server.announced.start, until);
        }
    }
}
