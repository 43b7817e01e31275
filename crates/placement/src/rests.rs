//! Tracks the rests that servers ask this gateway for when they refuse a request.
//!
//! A rest is a span in which a server wants no requests from the gateway. An overloaded server
//! refuses many gateways within a moment, so their rests also end within a moment. All gateways
//! would come back at once and be refused again. So each gateway adds jitter to the end of the
//! rest, and begins with one request, followed by more as the server accepts them.

use snipemast_core::hash::{fraction, mix};
use snipemast_core::prelude::*;
use snipemast_core::starts::StartMap;

/// The longest jitter that is added to a rest, as a fraction of the rest and as a span.
const JITTER_FRACTION: f64 = 0.25;
const MAX_JITTER: Span = Span::from_secs(1);

/// How long an unanswered request after a rest keeps others away: the usual time of a prompt.
const UNANSWERED_TIMEOUT: Span = Span::from_millis(500);

/// How long after its end a rest is remembered.
const RETENTION: Span = Span::from_secs(60);

/// The most rests that are remembered at once.
const MAX_RESTS: usize = 4_096;

/// Tracks until when each server rests, and what it may be sent after that.
///
/// This is separate from the table of announced servers: a server that is missing from the news for
/// a while, or moves, still rests. Only a new start of it does not.
#[derive(Debug, Default)]
pub struct Rests {
    servers: StartMap<Rest>,
    /// Differs between gateways, so that they don't come back at once.
    seed: u64,
}

/// The rest of one start of a server.
#[derive(Debug)]
struct Rest {
    until: Moment,
    /// The number of requests that the server may be sent after the rest.
    credits: u32,
    /// The number of requests that the server has accepted after the rest.
    accepted: u32,
    /// When the server was last sent a request after the rest.
    last_sent: Moment,
}

impl Rests {
    /// Creates a tracker in which no server rests.
    pub fn new(seed: u64) -> Self {
        Self {
            servers: StartMap::new(),
            seed,
        }
    }

    /// Records that a server refused a request and asks for rest. If there are several rests, the
    /// latest end counts.
    pub fn record(&mut self, now: Moment, server: &ServerId, start: Incarnation, span: Span) {
        if span == Span::default() {
            return;
        }
        let until = now + span + self.jitter(now, span);
        let known = self.servers.get(server, start);
        let until = known.map_or(until, |rest| rest.until.max(until));
        self.servers.insert(server, start, Rest::new(until));
        let is_recent = |rest: &Rest| now < rest.until + RETENTION;
        self.servers.retain(|_, _, rest| is_recent(rest));
        self.servers.evict_lowest(MAX_RESTS, |rest| rest.until);
    }

    /// Records that a server refused a request and asks for no rest. If it rested before, it gets
    /// no more requests for a moment.
    pub fn record_rejection(&mut self, now: Moment, server: &ServerId, start: Incarnation) {
        if let Some(rest) = self.servers.get_mut(server, start) {
            (rest.credits, rest.last_sent) = (0, now);
        }
    }

    /// Records that a server accepted a request that was sent at `sent`. Returns whether it is the
    /// first one after a rest.
    ///
    /// A request that was sent before the end of a rest says nothing about the time after it.
    pub fn record_accepted(
        &mut self,
        sent: Moment,
        server: &ServerId,
        start: Incarnation,
        slots: u32,
    ) -> bool {
        /// An accepted request allows another one in its place, and one more.
        const CREDITS_PER_REQUEST: u32 = 2;
        let Some(rest) = self.servers.get_mut(server, start) else {
            return false;
        };
        if sent < rest.until {
            return false;
        }
        rest.accepted += 1;
        rest.credits = rest.credits.saturating_add(CREDITS_PER_REQUEST);
        let first = rest.accepted == 1;
        if rest.accepted >= slots {
            self.servers.remove(server, start);
        }
        first
    }

    /// Returns when a server may be sent the next request, or nothing if it may be sent one now.
    pub fn next_send(&self, now: Moment, server: &ServerId, start: Incarnation) -> Option<Moment> {
        let next = self.servers.get(server, start)?.next_send();
        (now < next).then_some(next)
    }

    /// Whether a server rests now.
    pub fn is_resting(&self, now: Moment, server: &ServerId, start: Incarnation) -> bool {
        self.servers
            .get(server, start)
            .is_some_and(|rest| now < rest.until)
    }

    /// Records that a request is sent to a server.
    pub fn spend(&mut self, now: Moment, server: &ServerId, start: Incarnation) {
        if let Some(rest) = self.servers.get_mut(server, start) {
            rest.credits = rest.credits.max(1) - 1;
            rest.last_sent = now;
        }
    }

    /// Returns how much later than asked this gateway comes back.
    fn jitter(&self, now: Moment, span: Span) -> Span {
        let most = (span.as_micros() as f64 * JITTER_FRACTION).min(MAX_JITTER.as_micros() as f64);
        Span::from_micros((most * fraction(mix(self.seed ^ now.as_micros()))) as u64)
    }
}

impl Rest {
    fn new(until: Moment) -> Self {
        Self {
            until,
            credits: 1,
            accepted: 0,
            last_sent: until,
        }
    }

    fn next_send(&self) -> Moment {
        if self.credits > 0 {
            self.until
        } else {
            self.until.max(self.last_sent + UNANSWERED_TIMEOUT)
        }
    }
}
