//! The load of one backend server, estimated from reports that lag.

use snipemast_core::prelude::*;

/// The number of past counts of own requests that are kept.
const HISTORY_LEN: usize = 16;
/// The time between two kept counts, in microseconds.
const TICK_MICROS: u64 = 128_000;

/// The load of one backend server, as one entry knows it.
///
/// A report has the number of requests that ran and waited when it was measured. The entry's own
/// requests that were in flight *at that time* are subtracted, and its current ones added. A
/// request that was sent since counts at once, and one that ended since no longer counts.
#[derive(Debug, Clone)]
pub struct Load {
    own: u32,
    own_history: [u32; HISTORY_LEN],
    tick: u64,
    others: f64,
    measured: Option<Moment>,
    step: Span,
    restarts: u32,
}

impl Load {
    /// Creates the load of a server that has not reported yet.
    pub fn new() -> Self {
        Self {
            own: 0,
            own_history: [0; HISTORY_LEN],
            tick: 0,
            others: 0.0,
            measured: None,
            step: Span::default(),
            restarts: 0,
        }
    }

    /// Counts a request that was sent to the server.
    pub fn record_sent(&mut self, now: Moment) {
        self.advance(now);
        self.own += 1;
    }

    /// Counts a request that ended.
    pub fn record_end(&mut self, now: Moment) {
        self.advance(now);
        self.own = self.own.saturating_sub(1);
    }

    /// Applies a report, unless a later one was applied before.
    ///
    /// Reports arrive on answers and by gossip, and the slower way would otherwise restore an old
    /// load.
    pub fn apply_report(&mut self, now: Moment, report: &LoadReport) {
        let measured = now - report.age;
        if self.measured.is_some_and(|m| m > measured) {
            return;
        }
        self.advance(now);
        let then = self.own_at(measured);
        self.others = f64::from(report.total()) - f64::from(then);
        self.others = self.others.max(0.0);
        self.measured = Some(measured);
        self.step = smoothed(self.step, report.step);
        self.restarts = report.restarts;
    }

    /// Returns the number of the entry's own requests in flight.
    pub fn own(&self) -> u32 {
        self.own
    }

    /// Returns the number of requests of other entries at the last report.
    pub fn others(&self) -> f64 {
        self.others
    }

    /// Returns the time of an engine step at the last report, smoothed.
    pub fn step(&self) -> Span {
        self.step
    }

    /// Returns the number of engine restarts at the last report.
    pub fn restarts(&self) -> u32 {
        self.restarts
    }

    /// Returns an estimate of the requests that run or wait at the server now.
    ///
    /// The older the report, the more the mean of the pool replaces its count of other entries'
    /// requests. An old low count would otherwise attract every entry to the same server at once.
    pub fn estimate(&self, now: Moment, mean: f64, fade: Span) -> f64 {
        let Some(measured) = self.measured else {
            return f64::from(self.own) + mean;
        };
        let age = now.since(measured).as_micros() as f64;
        let fade = fade.as_micros().max(1) as f64;
        let trust = fade / (fade + age);
        f64::from(self.own) + trust * self.others + (1.0 - trust) * mean
    }

    fn advance(&mut self, now: Moment) {
        let tick = now.as_micros() / TICK_MICROS;
        let missed = tick.saturating_sub(self.tick).min(HISTORY_LEN as u64);
        for n in 0..missed {
            self.own_history[((tick - n) % HISTORY_LEN as u64) as usize] = self.own;
        }
        self.tick = self.tick.max(tick);
    }

    /// Returns the count of own requests at a moment, or the oldest count that is kept.
    fn own_at(&self, moment: Moment) -> u32 {
        // A slot has the count at the start of its tick, which is the end of the tick before.
        let next = moment.as_micros() / TICK_MICROS + 1;
        if next > self.tick {
            return self.own;
        }
        let oldest = (self.tick + 1).saturating_sub(HISTORY_LEN as u64);
        self.own_history[(next.max(oldest) % HISTORY_LEN as u64) as usize]
    }
}

/// Smooths step times, so that one step with a long prompt does not make a server look slow.
fn smoothed(old: Span, new: Span) -> Span {
    if old == Span::default() || new == Span::default() {
        return new;
    }
    Span::from_micros((old.as_micros() * 3 + new.as_micros()) / 4)
}

impl Default for Load {
    fn default() -> Self {
        Self::new()
    }
}
