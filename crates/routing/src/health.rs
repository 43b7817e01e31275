//! The health of a backend server, as seen by one entry: ejection, slow start and stalls.

use snipemast_core::prelude::*;

/// When a server counts as unhealthy, and for how long.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HealthPolicy {
    /// The failures in a row after which a server is ejected.
    pub max_failures: u32,
    /// The largest share of a pool's servers that is ejected at one time.
    pub max_ejected_share: f64,
    /// The length of the first ejection. Each further one takes twice as long.
    pub first_ejection: Span,
    /// The length of the longest ejection.
    pub longest_ejection: Span,
    /// The time for which a server that is new or back gets fewer requests.
    pub slow_start: Span,
    /// The shortest time without progress after which a server with work counts as stalled.
    pub min_stall: Span,
    /// The factor by which the time without progress must also exceed the pool's usual time to
    /// the first sign of an answer.
    pub stall_factor: u64,
}

impl Default for HealthPolicy {
    fn default() -> Self {
        Self {
            max_failures: 5,
            max_ejected_share: 0.34,
            first_ejection: Span::from_secs(2),
            longest_ejection: Span::from_secs(60),
            slow_start: Span::from_secs(5),
            min_stall: Span::from_secs(1),
            stall_factor: 4,
        }
    }
}

/// How a request at a backend server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestEnd {
    /// The server answered the request.
    Answered,
    /// The server failed the request, or the connection went silent.
    Failed,
    /// The request was refused, cancelled or given up, which says nothing about the server.
    Neutral,
}

/// The health of one server, from what one entry has seen of its work.
#[derive(Debug, Clone)]
pub struct Health {
    slow_start_begin: Moment,
    failures: u32,
    ejections: u32,
    ejected_until: Moment,
    is_out: bool,
    last_progress: Moment,
    first_sign: Span,
}

impl Health {
    /// Creates the health of a server that is first seen at this moment.
    ///
    /// A `fresh` server has just started, and its caches are cold. It begins with a slow start.
    pub fn new(now: Moment, fresh: bool) -> Self {
        Self {
            slow_start_begin: if fresh { now } else { Moment::ZERO },
            failures: 0,
            ejections: 0,
            ejected_until: Moment::ZERO,
            is_out: false,
            last_progress: now,
            first_sign: Span::default(),
        }
    }

    /// Records that the server made progress, or got its first request while it was idle.
    pub fn record_progress(&mut self, now: Moment) {
        self.last_progress = now;
    }

    /// Records the first sign of an answer, and the time that it took.
    pub fn record_first(&mut self, now: Moment, took: Span) {
        self.last_progress = now;
        let old = self.first_sign.as_micros();
        let new = if old == 0 {
            took.as_micros()
        } else {
            (old * 7 + took.as_micros()) / 8
        };
        self.first_sign = Span::from_micros(new);
    }

    /// Records how a request ended.
    ///
    /// Returns true if there were too many failures in a row, so that the server should be ejected.
    pub fn record_end(&mut self, now: Moment, how: RequestEnd, policy: &HealthPolicy) -> bool {
        match how {
            RequestEnd::Answered => {
                self.last_progress = now;
                self.failures = 0;
                self.ejections = if now > self.ejected_until + policy.longest_ejection {
                    0
                } else {
                    self.ejections
                };
                false
            }
            RequestEnd::Failed => {
                self.failures += 1;
                self.failures >= policy.max_failures
            }
            RequestEnd::Neutral => false,
        }
    }

    /// Ejects the server, for longer each time.
    pub fn eject(&mut self, now: Moment, policy: &HealthPolicy) {
        let factor = 1 << self.ejections.min(10);
        self.ejected_until = now
            + policy
                .first_ejection
                .times(factor)
                .min(policy.longest_ejection);
        self.slow_start_begin = self.ejected_until;
        self.is_out = true;
        self.ejections += 1;
        self.failures = 0;
        self.last_progress = self.ejected_until;
    }

    /// Records that the server's engine has restarted, after which its caches are cold.
    pub fn record_restart(&mut self, now: Moment) {
        self.slow_start_begin = now;
        self.failures = 0;
        self.last_progress = now;
    }

    /// Returns whether the server is ejected.
    pub fn is_ejected(&self, now: Moment) -> bool {
        now < self.ejected_until
    }

    /// Returns whether an ejection has ended since the last call.
    pub fn take_returned(&mut self, now: Moment) -> bool {
        let back = self.is_out && !self.is_ejected(now);
        self.is_out &= !back;
        back
    }

    /// Returns the end of the last ejection.
    pub fn ejected_until(&self) -> Moment {
        self.ejected_until
    }

    /// Returns the usual time to the first sign of an answer, or zero if it is not known.
    pub fn usual_first_sign(&self) -> Span {
        self.first_sign
    }

    /// Returns whether the server has work and made no progress for much longer than is usual in
    /// the pool.
    pub fn is_stalled(&self, now: Moment, own: u32, usual: Span, policy: &HealthPolicy) -> bool {
        let bound = policy.min_stall.max(usual.times(policy.stall_factor));
        own > 0 && now.since(self.last_progress) > bound
    }

    /// Returns the share of its usual load that the server should carry, which grows up to 1 in a
    /// slow start.
    pub fn ramp(&self, now: Moment, policy: &HealthPolicy) -> f64 {
        if self.slow_start_begin == Moment::ZERO {
            return 1.0;
        }
        let ramp = policy.slow_start.as_micros().max(1) as f64;
        let passed = now.since(self.slow_start_begin).as_micros() as f64;
        (passed / ramp).clamp(0.1, 1.0)
    }
}
