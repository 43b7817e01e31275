//! One gateway's share of the repeats that all gateways together may send to a service.
//!
//! The bound over all gateways in any window is `ratio x requests + slack`. Each gateway spends
//! `ratio` of its own requests, which add up by themselves, and an equal part of the slack. So the
//! sum keeps the bound whoever is cut off from whom, without a word between gateways.

use std::collections::{HashMap, VecDeque};

use snipemast_core::prelude::*;

/// The part of the slack that is spent: the other half is left for processes that restart within
/// a window and know nothing of what they sent before.
const SPENT: f64 = 0.5;

/// The bounds of the repeats over all gateways.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats besides.
    pub slack: u32,
    /// The window over which both are counted.
    pub window: Span,
}

/// One gateway's share, for each service.
#[derive(Debug)]
pub struct Budget {
    bounds: Bounds,
    gateways: u32,
    services: HashMap<ServiceId, Counts>,
}

#[derive(Debug, Default)]
struct Counts {
    requests: VecDeque<Moment>,
    repeats: VecDeque<Moment>,
}

impl Budget {
    /// A budget that has spent nothing.
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            gateways: 1,
            services: HashMap::new(),
        }
    }

    /// Takes note of how many gateways share the slack; it only ever grows, because a gateway
    /// that is not seen may be cut off and spend its part all the same.
    pub fn see_gateways(&mut self, count: u32) {
        self.gateways = self.gateways.max(count);
    }

    /// How many gateways there are.
    pub fn gateways(&self) -> u32 {
        self.gateways
    }

    /// Takes note of a caller's request for a service.
    pub fn note_request(&mut self, now: Moment, service: &ServiceId) {
        let window = self.bounds.window;
        let counts = self.services.entry(service.clone()).or_default();
        counts.forget(now, window);
        counts.requests.push_back(now);
    }

    /// Spends one repeat, if there is one left.
    pub fn spend(&mut self, now: Moment, service: &ServiceId) -> bool {
        let Bounds {
            ratio,
            slack,
            window,
        } = self.bounds;
        let counts = self.services.entry(service.clone()).or_default();
        counts.forget(now, window);
        let share = f64::from(slack) * SPENT / f64::from(self.gateways);
        let allowed = ratio * counts.requests.len() as f64 + share;
        let within = (counts.repeats.len() + 1) as f64 <= allowed;
        if within {
            counts.repeats.push_back(now);
        }
        within
    }
}

impl Counts {
    fn forget(&mut self, now: Moment, window: Span) {
        for times in [&mut self.requests, &mut self.repeats] {
            while times.front().is_some_and(|t| now >= *t + window) {
                times.pop_front();
            }
        }
    }
}
