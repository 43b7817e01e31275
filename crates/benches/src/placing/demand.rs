//! The demand of callers: kinds of requests, a burst of one kind, and shifts of the demand for experts.

use snipemast_core::prelude::*;

/// One kind of request.
#[derive(Debug, Clone, PartialEq)]
pub struct Kind {
    /// The part of all requests that are of this kind.
    pub share: f64,
    /// The priority; the least one goes first.
    pub priority: u8,
    /// Time within which the first piece must arrive.
    pub objective: Span,
    /// Pieces of an answer; a running request gets one in each pass.
    pub pieces: usize,
    /// How long a request waits at its gateway for a server. Without patience it fails at once.
    pub patience: Span,
}

/// A time in which one kind of request comes more often.
#[derive(Debug, Clone, PartialEq)]
pub struct Burst {
    /// The index of the kind.
    pub kind: usize,
    /// How many times as many requests of the kind come.
    pub factor: f64,
    /// When the burst begins.
    pub from: Moment,
    /// When the burst ends.
    pub until: Moment,
}

/// Shifts of the demand for experts: passes are long until the expert map has followed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Shifts {
    /// The time from one shift to the next.
    pub interval: Span,
    /// How long passes are long after a shift.
    pub lasting: Span,
    /// How many times as long a pass lasts in that time, but for the prompts that it reads.
    pub ratio: f64,
}

impl Shifts {
    /// Returns how many times as long as usual a pass lasts that begins now.
    pub fn ratio_at(&self, now: Moment) -> f64 {
        let whole = now.since(Moment::ZERO).as_micros();
        let interval = self.interval.as_micros();
        // The first shift comes after one interval.
        let is_shifted = whole >= interval && whole % interval < self.lasting.as_micros();
        if is_shifted {
            self.ratio
        } else {
            1.0
        }
    }

    /// Returns the pace of passes over a whole interval, compared with passes on an even map.
    pub fn mean_pace(&self) -> f64 {
        let shifted = self.lasting.as_micros() as f64 / self.interval.as_micros() as f64;
        1.0 - shifted + shifted / self.ratio
    }
}

/// What callers ask for.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Demand {
    /// The kinds of requests.
    pub kinds: Vec<Kind>,
    /// A burst of one kind.
    pub burst: Option<Burst>,
    /// Shifts of the demand for experts.
    pub shifts: Option<Shifts>,
}

impl Demand {
    /// Returns three kinds: an urgent one, a usual one, and one that may wait a second.
    pub fn of_three(pieces: usize) -> Self {
        let kind = |share, priority, objective, pieces| Kind {
            share,
            priority,
            objective: Span::from_millis(objective),
            pieces,
            patience: Span::from_millis(3_000),
        };
        Self {
            kinds: vec![
                kind(0.3, 0, 400, pieces),
                kind(0.4, 1, 500, pieces),
                kind(0.3, 2, 1_000, pieces),
            ],
            ..Self::default()
        }
    }

    /// Returns one kind of requests that must begin in 400 ms.
    pub fn of_one(pieces: usize) -> Self {
        let mut demand = Self::of_three(pieces);
        demand.kinds.truncate(1);
        demand.kinds[0].share = 1.0;
        demand
    }

    /// Sets a burst of the last kind.
    pub fn with_burst(mut self, factor: f64, from: Moment, until: Moment) -> Self {
        self.burst = Some(Burst {
            kind: self.kinds.len() - 1,
            factor,
            from,
            until,
        });
        self
    }

    /// Sets shifts each three seconds, after which passes last `ratio` times as long for 0.6 s.
    pub fn with_shifts(mut self, ratio: f64) -> Self {
        self.shifts = Some(Shifts {
            interval: Span::from_secs(3),
            lasting: Span::from_millis(600),
            ratio,
        });
        self
    }

    /// Returns how many times as many requests as usual arrive now, over all kinds.
    pub fn factor(&self, now: Moment) -> f64 {
        self.weights(now).sum()
    }

    /// Returns the kind of a request that arrives now. `point` is a random number from 0 to 1.
    pub fn pick(&self, now: Moment, point: f64) -> usize {
        let mut left = point * self.factor(now);
        let last = self.kinds.len() - 1;
        let found = self.weights(now).position(|weight| {
            left -= weight;
            left < 0.0
        });
        found.unwrap_or(last)
    }

    fn weights(&self, now: Moment) -> impl Iterator<Item = f64> + '_ {
        let kinds = self.kinds.iter().enumerate();
        kinds.map(move |(index, kind)| kind.share * self.burst_factor(now, index))
    }

    fn burst_factor(&self, now: Moment, kind: usize) -> f64 {
        let burst = self.burst.as_ref().filter(|b| b.kind == kind);
        let burst = burst.filter(|b| (b.from..b.until).contains(&now));
        burst.map_or(1.0, |b| b.factor)
    }
}
