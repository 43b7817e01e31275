//! Decides how a process shuts down, so that no answer is cut off and no caller is refused without
//! need.

use snipemast_core::prelude::*;

/// How long requests on open connections are accepted at most after the shutdown begins. A request that
/// comes at the end of it has the rest of the platform's grace period to run; streams take 2 to 4
/// s.
pub const ACCEPT_PERIOD: Span = Span::from_millis(2_600);

/// The part of the grace period in which requests are accepted at most, as a divisor.
const ACCEPTING_PART: u64 = 3;

/// How long the process stays at least. The load balancer checks once a second, gives up after two
/// misses, and sends new connections until then.
pub const MIN_DRAIN: Span = Span::from_millis(3_500);

/// How long before the end of the platform's grace period the process ends, whatever is in flight.
pub const END_MARGIN: Span = Span::from_millis(300);

/// How long before its end the process answers the requests that no server has answered.
pub const ANSWER_TIME: Span = Span::from_millis(200);

/// The state of a process's shutdown.
#[derive(Debug, Clone, Copy, Default)]
pub struct Shutdown {
    begun_at: Option<Moment>,
}

impl Shutdown {
    /// Creates the state of a process that is not shutting down.
    pub fn new() -> Self {
        Self::default()
    }

    /// Begins the shutdown.
    pub fn begin(&mut self, now: Moment) {
        self.begun_at.get_or_insert(now);
    }

    /// Whether the shutdown has begun. The process is then not ready, and closes connections after
    /// answers.
    pub fn has_begun(&self) -> bool {
        self.begun_at.is_some()
    }

    /// Whether the process still accepts requests.
    ///
    /// This guards against a request that comes on a caller's idle connection shortly before the
    /// process must end, so that its answer is cut off. A request that is refused as not run comes
    /// back at once through another entry host.
    pub fn accepts_requests(&self, now: Moment, grace: Span) -> bool {
        let part = Span::from_micros(grace.as_micros() / ACCEPTING_PART);
        self.begun_at
            .is_none_or(|begun_at| now < begun_at + ACCEPT_PERIOD.min(part))
    }

    /// Returns when requests that no server has answered get a final answer, if the process is shutting down.
    ///
    /// This guards against a request that a server still runs when the process ends: its caller would get no answer, and
    /// learn nothing about it.
    pub fn answers_at(&self, grace: Span) -> Option<Moment> {
        let margin = END_MARGIN.as_micros() + ANSWER_TIME.as_micros();
        let rest = Span::from_micros(grace.as_micros().saturating_sub(margin));
        self.begun_at.map(|begun_at| begun_at + rest)
    }

    /// Whether the process may end.
    pub fn may_end(&self, now: Moment, grace: Span, in_flight: u32) -> bool {
        let Some(begun_at) = self.begun_at else {
            return false;
        };
        let expired = now >= begun_at + grace - END_MARGIN;
        expired || (in_flight == 0 && now >= begun_at + MIN_DRAIN)
    }
}
