//! Decides whether a gateway reads the requests of a new connection.
//!
//! The load balancer may hand one gateway the new connections of a whole availability zone or region. A
//! request that was read and is served late is lost to its caller, while one that was never read goes to
//! another gateway at once. So a gateway reads no more than its processor gets done, which shows in how long
//! its tasks take turns.

use snipemast_core::prelude::*;

/// How long a turn of all tasks may take before the process counts as overloaded. It is longer than a process
/// stands still that has used up its share of a processor for a tenth of a second.
const MAX_DELAY: Span = Span::from_millis(150);

/// How long every turn has to take so long: a long task, such as a large configuration, is no overload.
const OVERLOAD_TIME: Span = Span::from_millis(500);

/// How long a turn may take while the process is overloaded for it to read a new connection.
const TARGET_DELAY: Span = Span::from_millis(50);

/// How old a measured turn may be before the next one is measured.
const MAX_AGE: Span = Span::from_millis(25);

/// How many connections are read between two measured turns while the process is overloaded.
const MAX_READ: u32 = 8;

/// How many are read between two measured turns while turns are long: more than come in a long task on a usual day.
const MAX_SLOW_READ: u32 = 64;

/// How long no connection has to be closed before the process no longer counts as overloaded.
const CALM_TIME: Span = Span::from_secs(2);

/// The part of the connections that must have no request in progress again before new ones count as possible.
const ROOM_SHARE: f64 = 0.1;

/// What happens to a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Its requests are read.
    Read,
    /// It is closed unread, because the process is overloaded. All tasks' last turn took this long.
    Overloaded(Span),
    /// It is closed unread, because there are too many connections.
    Full,
}

/// Decides which new connections are read.
#[derive(Debug, Clone)]
pub struct Intake {
    max_connections: usize,
    /// When a turn was last measured, and how long it took.
    measured: Moment,
    delay: Span,
    /// Since when every turn has taken too long.
    slow_since: Option<Moment>,
    /// When a connection was last closed, or the overload found, while there is one.
    overloaded: Option<Moment>,
    /// How many connections were read since a turn was measured.
    read: u32,
    /// Whether connections were closed because all others had requests in progress.
    full: bool,
}

impl Intake {
    /// Creates an intake for at most this many connections at once.
    pub fn new(max_connections: usize) -> Self {
        Self {
            max_connections,
            measured: Moment::ZERO,
            delay: Span::default(),
            slow_since: None,
            overloaded: None,
            read: 0,
            full: false,
        }
    }

    /// Whether there are as many connections as there may be, so that an idle one has to go before another is read.
    pub fn has_most(&self, open: usize) -> bool {
        open >= self.max_connections
    }

    /// Records how many connections have a request in progress.
    pub fn record_busy(&mut self, busy: usize) {
        let room = self.max_connections as f64 * (1.0 - ROOM_SHARE);
        self.full &= busy as f64 > room;
    }

    /// Whether new connections can't be read, since all others have requests in progress. It holds on until some part of
    /// them has none, so that the load balancer isn't told one thing and the other in turn.
    pub fn is_full(&self) -> bool {
        self.full
    }

    /// Whether the next decision needs a turn of all tasks to be measured before it.
    pub fn needs_measure(&self, now: Moment) -> bool {
        now.since(self.measured) >= MAX_AGE
    }

    /// Records how long a turn of all tasks took that ended now.
    pub fn record_turn(&mut self, now: Moment, delay: Span) {
        (self.measured, self.delay, self.read) = (now, delay, 0);
        if delay <= MAX_DELAY {
            self.slow_since = None;
            return;
        }
        // It began this much earlier.
        let since = *self.slow_since.get_or_insert(now - delay);
        if now.since(since) >= OVERLOAD_TIME {
            self.overloaded.get_or_insert(now);
        }
    }

    /// Whether the process is overloaded.
    pub fn is_overloaded(&self) -> bool {
        self.overloaded.is_some()
    }

    /// Whether callers should leave the connections that they keep open, because turns are long although new
    /// connections are closed.
    pub fn sheds_kept(&self) -> bool {
        self.is_overloaded() && self.delay > MAX_DELAY
    }

    /// Decides about a new connection, beside this many open ones.
    pub fn decide(&mut self, now: Moment, open: usize) -> Admission {
        if self.has_most(open) {
            self.full = true;
            return Admission::Full;
        }
        let Some(last) = self.overloaded else {
            self.read += 1;
            if self.slow_since.is_none() || self.read <= MAX_SLOW_READ {
                return Admission::Read;
            }
            self.overloaded = Some(now);
            return Admission::Overloaded(self.delay);
        };
        if self.delay > TARGET_DELAY || self.read >= MAX_READ {
            self.overloaded = Some(now);
            return Admission::Overloaded(self.delay);
        }
        self.read += 1;
        if now.since(last) >= CALM_TIME {
            self.overloaded = None;
        }
        Admission::Read
    }
}
