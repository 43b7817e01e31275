//! One gateway's share of the retry budget.
//!
//! All gateways together may send at most `ratio x requests + slack` retries to a service in any window. Each gateway keeps
//! a token bucket: a request adds `ratio` tokens, a retry takes one, and the bucket holds at most an equal part of the
//! slack. In any span a gateway then spends no more than its bucket held at the beginning and its own requests have added.
//! That adds up to the bound without messages between gateways, however the network is partitioned, callers move and
//! processes start anew, as long as each hears of all gateways before its bucket is full.

use std::collections::{HashMap, VecDeque};

use snipemast_core::prelude::*;

/// The part of the slack that buckets hold. The rest covers requests that were sent some time before a gateway reads them.
const SLACK_SHARE: f64 = 0.9;

/// The bounds of the retries of all gateways.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBounds {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries on top of those.
    pub slack: u32,
    /// The window over which requests and retries are counted.
    pub window: Span,
}

/// One gateway's retry budget for each service. Moments count from the start of its process.
#[derive(Debug)]
pub struct RetryBudget {
    bounds: RetryBounds,
    gateways: u32,
    services: HashMap<ServiceId, Bucket>,
}

/// The retries that may still be sent to a service.
#[derive(Debug, Default)]
struct Bucket {
    tokens: f64,
    /// The retries that were sent in the first window of the process.
    spent_early: f64,
    /// Whether the part of the slack was added that is kept back in that window.
    is_complete: bool,
    /// The last requests, as many as add one token.
    recent: VecDeque<Moment>,
}

impl RetryBudget {
    /// Creates a budget of which nothing is spent.
    pub fn new(bounds: RetryBounds) -> Self {
        Self {
            bounds,
            gateways: 1,
            services: HashMap::new(),
        }
    }

    /// Raises the number of gateways that share the slack. It never falls, because a gateway that
    /// isn't seen may be cut off and still spend its part.
    pub fn observe_gateways(&mut self, count: u32) {
        self.gateways = self.gateways.max(count);
    }

    /// Returns the number of gateways.
    pub fn gateway_count(&self) -> u32 {
        self.gateways
    }

    /// Records a caller's request for a service.
    pub fn record_request(&mut self, now: Moment, service: &ServiceId) {
        let ratio = self.bounds.ratio;
        let depth = self.share().max(1.0);
        let bucket = self.bucket(now, service);
        bucket.tokens = (bucket.tokens + ratio).min(depth);
        bucket.recent.push_back(now);
        if bucket.recent.len() as f64 * ratio > 1.0 {
            bucket.recent.pop_front();
        }
    }

    /// Spends one retry. Returns whether there was one left.
    pub fn try_spend(&mut self, now: Moment, service: &ServiceId) -> bool {
        let held = self.hold_time();
        let ratio = self.bounds.ratio;
        let bucket = self.bucket(now, service);
        let affordable = bucket.tokens >= 1.0 && held.is_none_or(|h| bucket.earns(now, h, ratio));
        if affordable {
            bucket.tokens -= 1.0;
            if !bucket.is_complete {
                bucket.spent_early += 1.0;
            }
        }
        affordable
    }

    /// Returns this gateway's part of the slack.
    fn share(&self) -> f64 {
        f64::from(self.bounds.slack) * SLACK_SHARE / f64::from(self.gateways)
    }

    /// Returns how long a token is valid, if this gateway's part of the slack is less than one.
    ///
    /// All gateways together would then hold more than the slack. So only those hold a token whose requests would add
    /// another one within a part of the window.
    fn hold_time(&self) -> Option<Span> {
        let share = self.share();
        let window = self.bounds.window.as_micros() as f64;
        (share < 1.0).then(|| Span::from_micros((window * share) as u64))
    }

    /// Returns the bucket of a service as it is now.
    ///
    /// An earlier process of this host may have emptied its bucket just before it ended. So the first bucket is empty, and
    /// what is left of the slack is added once that lies a window back.
    fn bucket(&mut self, now: Moment, service: &ServiceId) -> &mut Bucket {
        let (share, window) = (self.share(), self.bounds.window);
        let bucket = self.services.entry(service.clone()).or_default();
        if !bucket.is_complete && now >= Moment::ZERO + window {
            bucket.is_complete = true;
            bucket.tokens = bucket.tokens.max(share - bucket.spent_early);
        }
        bucket.tokens = bucket.tokens.min(share.max(1.0));
        bucket
    }
}

impl Bucket {
    /// Whether the requests within a span add a token.
    fn earns(&self, now: Moment, span: Span, ratio: f64) -> bool {
        let oldest = self.recent.front();
        (self.recent.len() + 1) as f64 * ratio > 1.0 && oldest.is_some_and(|at| now < *at + span)
    }
}
