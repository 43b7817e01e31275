//! Whether a backend server does its work: suspicion, ejection, slow start.

use snipemast_core::prelude::*;

/// When a server is held for ill, and for how long.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HealthPolicy {
    /// Failures in a row that eject a server.
    pub failures: u32,
    /// The largest share of a pool that is ejected at one time.
    pub share: f64,
    /// The first ejection; each further one doubles it.
    pub eject: Span,
    /// The longest ejection.
    pub longest: Span,
    /// How long a server that is new or back is spared.
    pub ramp: Span,
    /// A server with work and without a sign of progress for this long is stalled, at least.
    pub stall: Span,
    /// ... and for this many times the pool's usual time to a first sign.
    pub patience: u64,
}

impl Default for HealthPolicy {
    fn default() -> Self {
        Self {
            failures: 5,
            share: 0.34,
            eject: Span::from_secs(2),
            longest: Span::from_secs(60),
            ramp: Span::from_secs(5),
            stall: Span::from_secs(1),
            patience: 4,
        }
    }
}

/// How a request at a backend server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestEnd {
    /// It was answered.
    Answered,
    /// The server failed it, or its connection went silent.
    Failed,
    /// It was refused, cancelled or given up: that says nothing of the server.
    Neutral,
}

/// What one entry has seen of one server's work.
#[derive(Debug, Clone)]
pub struct Health {
    since: Moment,
    row: u32,
    ejections: u32,
    until: Moment,
    out: bool,
    progress: Moment,
    first: Span,
}

impl Health {
    /// A server that came at this moment; a known one that is merely first seen is not spared.
    pub fn new(now: Moment, fresh: bool) -> Self {
        Self {
            since: if fresh { now } else { Moment::ZERO },
            row: 0,
            ejections: 0,
            until: Moment::ZERO,
            out: false,
            progress: now,
            first: Span::default(),
        }
    }

    /// Notes that a request was sent to a server that had nothing to do for this entry.
    pub fn begin(&mut self, now: Moment) {
        self.progress = now;
    }

    /// Notes the first sign of an answer, after this long.
    pub fn first(&mut self, now: Moment, took: Span) {
        self.progress = now;
        let old = self.first.as_micros();
        let new = if old == 0 {
            took.as_micros()
        } else {
            (old * 7 + took.as_micros()) / 8
        };
        self.first = Span::from_micros(new);
    }

    /// Notes how a request ended; true where the failures in a row are now too many.
    pub fn ended(&mut self, now: Moment, how: RequestEnd, policy: &HealthPolicy) -> bool {
        match how {
            RequestEnd::Answered => {
                self.progress = now;
                self.row = 0;
                self.ejections = if now > self.until + policy.longest {
                    0
                } else {
                    self.ejections
                };
                false
            }
            RequestEnd::Failed => {
                self.row += 1;
                self.row >= policy.failures
            }
            RequestEnd::Neutral => false,
        }
    }

    /// Ejects the server, longer each time.
    pub fn eject(&mut self, now: Moment, policy: &HealthPolicy) {
        let factor = 1 << self.ejections.min(10);
        self.until = now + policy.eject.times(factor).min(policy.longest);
        self.since = self.until;
        self.out = true;
        self.ejections += 1;
        self.row = 0;
        self.progress = self.until;
    }

    /// Spares a server whose engine has just come up again: its caches are cold.
    pub fn restarted(&mut self, now: Moment) {
        self.since = now;
        self.row = 0;
        self.progress = now;
    }

    /// Whether the server is ejected.
    pub fn is_ejected(&self, now: Moment) -> bool {
        now < self.until
    }

    /// Whether the ejection has ended since this was last asked.
    pub fn take_return(&mut self, now: Moment) -> bool {
        let back = self.out && !self.is_ejected(now);
        self.out &= !back;
        back
    }

    /// The end of the ejection.
    pub fn until(&self) -> Moment {
        self.until
    }

    /// The usual time to the first sign of an answer, or zero.
    pub fn usual(&self) -> Span {
        self.first
    }

    /// Whether work lies there and nothing has moved for longer than is usual in the pool.
    pub fn is_stalled(&self, now: Moment, own: u32, usual: Span, policy: &HealthPolicy) -> bool {
        let bound = policy.stall.max(usual.times(policy.patience));
        own > 0 && now.since(self.progress) > bound
    }

    /// The share of its load that a server may carry while it is new or back, up to 1.
    pub fn ramp(&self, now: Moment, policy: &HealthPolicy) -> f64 {
        if self.since == Moment::ZERO {
            return 1.0;
        }
        let ramp = policy.ramp.as_micros().max(1) as f64;
        let passed = now.since(self.since).as_micros() as f64;
        (passed / ramp).clamp(0.1, 1.0)
    }
}
