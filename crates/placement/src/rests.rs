//! The rest that servers ask this gateway for when they turn a request away.
//!
//! Answers the load of a server in overload before many gateways: it turns them away within a moment, so their rests
//! end within a moment too, and all of them would come back at once, to be turned away again. So each gateway comes
//! back at a moment of its own, with one request at first, and with more as the server takes them.

use snipemast_core::hash::{fraction, mix};
use snipemast_core::prelude::*;
use snipemast_core::starts::Starts;

/// By how much of itself a rest may end later than asked, and the longest such span.
const SPREAD_PART: f64 = 0.25;
const SPREAD: Span = Span::from_secs(1);

/// How long a request after a rest keeps others away that the server shows nothing of: a prompt's usual time.
const LOST: Span = Span::from_millis(500);

/// How long after a rest a server is known to have had one.
const REMEMBERED: Span = Span::from_secs(60);

/// The most rests that are known at once.
const MOST: usize = 4_096;

/// Until when each server wants nothing from this gateway, and what it may be sent after that.
///
/// Kept apart from the servers on offer: a server that is off the news for a while, or moves, still rests. Only a
/// new start of it does not.
#[derive(Debug, Default)]
pub struct Rests {
    servers: Starts<Rest>,
    /// Differs between gateways, so that they don't come back at once.
    seed: u64,
}

/// The rest of one start of a server.
#[derive(Debug)]
struct Rest {
    until: Moment,
    /// How many requests it may be sent after the rest.
    credits: u32,
    /// How many it has taken after the rest.
    taken: u32,
    /// When it was sent one after the rest.
    sent: Moment,
}

impl Rests {
    /// No server rests.
    pub fn new(seed: u64) -> Self {
        Self {
            servers: Starts::new(),
            seed,
        }
    }

    /// A server turned a request away and asks for rest; the longest end that it was told holds.
    pub fn note(&mut self, now: Moment, server: &ServerId, start: Incarnation, span: Span) {
        if span == Span::default() {
            return;
        }
        let until = now + span + self.later(now, span);
        let known = self.servers.get(server, start);
        let until = known.map_or(until, |rest| rest.until.max(until));
        self.servers.insert(server, start, Rest::new(until));
        let fresh = |rest: &Rest| now < rest.until + REMEMBERED;
        self.servers.retain(|_, _, rest| fresh(rest));
        self.servers.shrink(MOST, |rest| rest.until);
    }

    /// A server turned a request away and asks for no rest: after one it gets no more for a moment.
    pub fn note_turned(&mut self, now: Moment, server: &ServerId, start: Incarnation) {
        if let Some(rest) = self.servers.get_mut(server, start) {
            (rest.credits, rest.sent) = (0, now);
        }
    }

    /// A server took a request that was sent at a moment; true where it is the first one after a rest.
    ///
    /// What was sent before the end of a rest tells nothing of the time after it.
    pub fn note_taken(
        &mut self,
        sent: Moment,
        server: &ServerId,
        start: Incarnation,
        slots: u32,
    ) -> bool {
        /// What a request that was taken allows: another one in its place, and one more.
        const WORTH: u32 = 2;
        let Some(rest) = self.servers.get_mut(server, start) else {
            return false;
        };
        if sent < rest.until {
            return false;
        }
        rest.taken += 1;
        rest.credits = rest.credits.saturating_add(WORTH);
        let first = rest.taken == 1;
        if rest.taken >= slots {
            self.servers.remove(server, start);
        }
        first
    }

    /// When a server may be sent the next request; nothing where it may now.
    pub fn opens(&self, now: Moment, server: &ServerId, start: Incarnation) -> Option<Moment> {
        let opens = self.servers.get(server, start)?.opens();
        (now < opens).then_some(opens)
    }

    /// Whether a server wants nothing now.
    pub fn is_resting(&self, now: Moment, server: &ServerId, start: Incarnation) -> bool {
        self.servers
            .get(server, start)
            .is_some_and(|rest| now < rest.until)
    }

    /// A request is sent to a server.
    pub fn spend(&mut self, now: Moment, server: &ServerId, start: Incarnation) {
        if let Some(rest) = self.servers.get_mut(server, start) {
            rest.credits = rest.credits.max(1) - 1;
            rest.sent = now;
        }
    }

    /// How much later than asked this gateway comes back.
    fn later(&self, now: Moment, span: Span) -> Span {
        let most = (span.as_micros() as f64 * SPREAD_PART).min(SPREAD.as_micros() as f64);
        Span::from_micros((most * fraction(mix(self.seed ^ now.as_micros()))) as u64)
    }
}

impl Rest {
    fn new(until: Moment) -> Self {
        Self {
            until,
            credits: 1,
            taken: 0,
            sent: until,
        }
    }

    fn opens(&self) -> Moment {
        if self.credits > 0 {
            self.until
        } else {
            self.until.max(self.sent + LOST)
        }
    }
}
