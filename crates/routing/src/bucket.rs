//! Token buckets and decaying rates.

use snipemast_core::prelude::*;

/// A token bucket, which fills at a rate up to its depth.
///
/// A correction of an earlier amount may leave its level below zero.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bucket {
    rate: f64,
    depth: f64,
    level: f64,
    filled_at: Moment,
}

impl Bucket {
    /// Creates a full bucket with this rate per second and this depth.
    pub fn new(now: Moment, rate: f64, depth: f64) -> Self {
        Self {
            rate,
            depth,
            level: depth,
            filled_at: now,
        }
    }

    /// Changes the rate and depth. What is over the new depth is lost.
    pub fn resize(&mut self, now: Moment, rate: f64, depth: f64) {
        self.fill(now);
        self.rate = rate;
        self.depth = depth;
        self.level = self.level.min(depth);
    }

    /// Takes an amount, or returns the time until the bucket has enough for it.
    ///
    /// A full bucket also grants an amount over its depth, which could never be taken otherwise.
    /// Its level is then below zero.
    pub fn take(&mut self, now: Moment, amount: f64) -> Result<(), Span> {
        self.fill(now);
        let needed = amount.min(self.depth);
        // The sum of many small fills falls short of a whole by rounding.
        if self.level + 1e-9 >= needed {
            self.level -= amount;
            return Ok(());
        }
        Err(self.time_for(needed - self.level))
    }

    /// Takes the amount by which an estimate was too low, or gives back a negative amount.
    pub fn adjust(&mut self, now: Moment, amount: f64) {
        self.fill(now);
        self.level = (self.level - amount).min(self.depth);
    }

    /// Whether the bucket is filled up to its depth.
    pub fn is_full(&self, now: Moment) -> bool {
        self.level_at(now) >= self.depth
    }

    fn level_at(&self, now: Moment) -> f64 {
        let passed = now.since(self.filled_at).as_secs_f64();
        (self.level + passed * self.rate).min(self.depth)
    }

    fn fill(&mut self, now: Moment) {
        self.level = self.level_at(now);
        self.filled_at = self.filled_at.max(now);
    }

    fn time_for(&self, amount: f64) -> Span {
        let seconds = amount / self.rate.max(1e-6);
        Span::from_micros((seconds.min(3_600.0) * 1e6).ceil() as u64)
    }
}

/// A rate of events that decays exponentially with time.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct DecayingRate {
    sum: f64,
    at: Moment,
}

/// The time in seconds in which the weight of an event falls to about a third.
const DECAY_SECONDS: f64 = 2.0;

impl DecayingRate {
    /// Adds an amount at this moment.
    pub fn add(&mut self, now: Moment, amount: f64) {
        self.sum = self.decayed_sum(now) + amount;
        self.at = self.at.max(now);
    }

    /// Returns the current amount per second.
    pub fn per_second(&self, now: Moment) -> f64 {
        self.decayed_sum(now) / DECAY_SECONDS
    }

    fn decayed_sum(&self, now: Moment) -> f64 {
        self.sum * (-now.since(self.at).as_secs_f64() / DECAY_SECONDS).exp()
    }
}
