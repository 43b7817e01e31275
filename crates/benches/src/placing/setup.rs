//! The parameters of a simulation.

use snipemast_core::prelude::*;

use super::admission::{PassModel, Way, USUAL_PROMPTS};
use super::demand::{Demand, Kind};

/// The parameters of one simulation.
#[derive(Debug, Clone)]
pub struct Setup {
    /// Number of gateways.
    pub gateways: usize,
    /// Number of availability zones that gateways and ranks are spread over.
    pub zones: usize,
    /// Number of ranks in the group.
    pub ranks: usize,
    /// Requests that a rank runs at once.
    pub slots: usize,
    /// Requests that wait at a rank before it refuses further ones.
    pub queue: usize,
    /// Requests a second over all gateways.
    pub rate: f64,
    /// How long the controller holds a gateway's poll for the others' counts.
    pub wait: Span,
    /// Duration of a pass without requests, in ms.
    pub base: f64,
    /// Time that each request of the fullest rank adds to a pass, in ms.
    pub each: f64,
    /// Time that each prompt adds to the pass that reads it, in ms.
    pub prompt: f64,
    /// Prompts that a rank reads in one pass at most.
    pub reads: usize,
    /// Pieces of an answer; a running request gets one in each pass.
    pub pieces: usize,
    /// Time within which the first piece must arrive.
    pub objective: Span,
    /// What callers ask for. Without kinds, all requests are alike and fail where no rank accepts them.
    pub demand: Demand,
    /// How gateways let requests in.
    pub way: Way,
    /// The time in which the controller tells the level that it had at the beginning, with that level's age.
    pub frozen: Option<(Moment, Moment)>,
    /// Simulated time.
    pub length: Span,
    /// Seed of all random draws.
    pub seed: u64,
}

impl Setup {
    /// Returns 9 gateways and 16 ranks of 12 slots, at two thirds of their capacity.
    pub fn small() -> Self {
        Self {
            gateways: 9,
            ranks: 16,
            slots: 12,
            rate: 75.0,
            ..Self::middle()
        }
    }

    /// Returns 40 gateways and 63 ranks of 10 slots, at half of their capacity.
    pub fn middle() -> Self {
        Self {
            gateways: 40,
            zones: 3,
            ranks: 63,
            slots: 10,
            queue: 5,
            rate: 220.0,
            wait: Span::from_millis(250),
            base: 36.0,
            each: 2.2,
            prompt: 14.0,
            reads: usize::MAX,
            pieces: 23,
            objective: Span::from_millis(400),
            demand: Demand::default(),
            way: Way::TODAY,
            frozen: None,
            length: Span::from_secs(10),
            seed: 7,
        }
    }

    /// Returns 149 gateways and 192 ranks of 6 slots, in five availability zones.
    pub fn large() -> Self {
        Self {
            gateways: 149,
            zones: 5,
            ranks: 192,
            slots: 6,
            queue: 3,
            rate: 469.0,
            pieces: 17,
            objective: Span::from_millis(500),
            ..Self::middle()
        }
    }

    /// Returns the pieces that the group gives in a second with all slots in use.
    pub fn capacity(&self) -> f64 {
        let pass = self.pass_model().duration(self.slots, USUAL_PROMPTS) / 1e3;
        let pace = self.demand.shifts.map_or(1.0, |s| s.mean_pace());
        (self.ranks * self.slots) as f64 / pass * pace
    }

    /// Sets the rate of requests to this many times the capacity.
    pub fn with_load(mut self, load: f64) -> Self {
        let kinds = self.demand.kinds.iter();
        let pieces: f64 = kinds.map(|k| k.share * k.pieces as f64).sum();
        self.rate = load * self.capacity() / pieces;
        self
    }

    pub(super) fn pass_model(&self) -> PassModel {
        PassModel {
            base: self.base,
            each: self.each,
            prompt: self.prompt,
            slots: self.slots,
        }
    }

    /// Returns the kinds of requests, or one without patience.
    pub(super) fn kinds(&self) -> Vec<Kind> {
        if !self.demand.kinds.is_empty() {
            return self.demand.kinds.clone();
        }
        vec![Kind {
            share: 1.0,
            priority: 0,
            objective: self.objective,
            pieces: self.pieces,
            patience: Span::default(),
        }]
    }
}
