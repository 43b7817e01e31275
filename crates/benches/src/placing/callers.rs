//! What callers get, by kind of request.

use snipemast_core::prelude::*;

/// What the callers of one kind get.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct KindOutcome {
    /// Number of requests.
    pub requests: usize,
    /// Share of requests with a first piece within the objective and no pause above the promised one.
    pub on_time: f64,
    /// Share of requests that were answered, late or not.
    pub served: f64,
    /// Share of requests that were refused.
    pub refused: f64,
}

/// What all callers get.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct CallersOutcome {
    /// The outcome of each kind.
    pub kinds: Vec<KindOutcome>,
    /// Share of all requests that were on time.
    pub on_time: f64,
    /// Share of all requests that were refused.
    pub refused: f64,
    /// Pieces of answers that were on time, as a share of what the group can give.
    pub goodput: f64,
    /// Seconds from the end of the burst until few requests wait at gateways, if they do.
    pub calm: f64,
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum End {
    OnTime,
    Late,
    Refused,
}

#[derive(Debug, Clone, Copy, Default)]
struct Count {
    requests: usize,
    on_time: usize,
    served: usize,
    refused: usize,
    good_pieces: usize,
}

/// Counts the requests that arrive in the measured time.
#[derive(Debug)]
pub(super) struct Callers {
    measured: (Moment, Moment),
    kinds: Vec<Count>,
    burst_end: Option<Moment>,
    calm_at: Option<Moment>,
}

impl Callers {
    pub(super) fn new(kinds: usize, measured: (Moment, Moment), burst_end: Option<Moment>) -> Self {
        Self {
            measured,
            kinds: vec![Count::default(); kinds],
            burst_end,
            calm_at: None,
        }
    }

    fn counts(&self, arrived: Moment) -> bool {
        (self.measured.0..self.measured.1).contains(&arrived)
    }

    pub(super) fn arrive(&mut self, kind: usize, arrived: Moment) {
        if self.counts(arrived) {
            self.kinds[kind].requests += 1;
        }
    }

    pub(super) fn end(&mut self, kind: usize, arrived: Moment, pieces: usize, end: End) {
        if !self.counts(arrived) {
            return;
        }
        let count = &mut self.kinds[kind];
        match end {
            End::Refused => count.refused += 1,
            End::Late => count.served += 1,
            End::OnTime => {
                count.served += 1;
                count.on_time += 1;
                count.good_pieces += pieces;
            }
        }
    }

    /// Records how many requests wait at gateways, in hundredths of all slots.
    pub(super) fn record_waiting(&mut self, now: Moment, percent: usize) {
        /// Fewer are let in within one pass.
        const CALM_PERCENT: usize = 2;
        let over = self.burst_end.is_some_and(|end| now >= end);
        if over && percent < CALM_PERCENT {
            self.calm_at.get_or_insert(now);
        }
    }

    /// Returns the figures. `capacity` is the number of pieces that the group can give in a second.
    pub(super) fn outcome(&self, capacity: f64) -> CallersOutcome {
        let part = |count: usize, of: usize| count as f64 / of.max(1) as f64;
        let sum = |count: fn(&Count) -> usize| self.kinds.iter().map(count).sum::<usize>();
        let kind = |count: &Count| KindOutcome {
            requests: count.requests,
            on_time: part(count.on_time, count.requests),
            served: part(count.served, count.requests),
            refused: part(count.refused, count.requests),
        };
        let all = sum(|c| c.requests);
        let seconds = self.measured.1.since(self.measured.0).as_micros() as f64 / 1e6;
        let calm = self.burst_end.map(|end| match self.calm_at {
            Some(at) => at.since(end).as_micros() as f64 / 1e6,
            None => f64::INFINITY,
        });
        CallersOutcome {
            kinds: self.kinds.iter().map(kind).collect(),
            on_time: part(sum(|c| c.on_time), all),
            refused: part(sum(|c| c.refused), all),
            goodput: sum(|c| c.good_pieces) as f64 / seconds / capacity,
            calm: calm.unwrap_or_default(),
        }
    }
}
