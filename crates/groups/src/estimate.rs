//! Popularity of experts, from reports that lag and have gaps.
//!
//! Two averages of each expert's share are kept, a fast one and a slow one. Where they differ by
//! no more than sampling explains, that is noise and both go on. Where they differ by more, it is
//! a burst until it has lasted; then it is drift, and the slow average takes the fast one's value.

use std::fmt;

use snipemast_core::data;
use snipemast_core::prelude::*;

/// Standard deviations beyond which a difference is not noise.
const SIGMAS: f64 = 4.0;

data! {
    /// How the averages follow the reports.
    #[derive(Copy)]
    pub struct Smoothing {
        /// The time constant of the fast average.
        pub fast: Span,
        /// The time constant of the slow average.
        pub slow: Span,
        /// How long a difference lasts before it is drift.
        pub lasting: Span,
    }

    /// Tokens that each expert of each layer took, as one report counts them.
    pub struct Counts {
        /// When the counting ended.
        pub at: Moment,
        /// By layer and expert.
        pub layers: Vec<Vec<u32>>,
    }

    /// What the popularity of an expert does.
    #[derive(Copy, Default, Hash)]
    pub enum Trend {
        /// It differs by no more than sampling explains.
        #[default]
        Steady,
        /// It differs, and has not lasted yet.
        Burst,
        /// It differed so long that the estimate followed.
        Drift,
    }

    /// How many experts show each trend.
    #[derive(Copy, Default)]
    pub struct Trends {
        /// Noise only.
        pub steady: u32,
        /// Bursts.
        pub bursts: u32,
        /// Lasting drift, just followed.
        pub drifts: u32,
    }
}

impl fmt::Display for Trends {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            steady,
            bursts,
            drifts,
        } = self;
        write!(f, "{steady} steady, {bursts} bursts, {drifts} drifts")
    }
}

impl Default for Smoothing {
    fn default() -> Self {
        Self {
            fast: Span::from_secs(15),
            slow: Span::from_secs(120),
            lasting: Span::from_secs(30),
        }
    }
}

impl Smoothing {
    /// The pace that suits a group's two weights: the more disturbance weighs, the longer a
    /// difference must last before it is followed.
    pub fn from_weights(skew: u32, disturbance: u32) -> Self {
        let part = f64::from(disturbance) / f64::from((skew + disturbance).max(1));
        let span = |longest: f64| Span::from_micros((longest * part * 1e6) as u64 + 1_000_000);
        Self {
            fast: span(15.0),
            slow: span(120.0),
            lasting: span(30.0),
        }
    }
}

/// One expert's averages.
#[derive(Debug, Clone, Copy, Default)]
struct Track {
    fast: f64,
    slow: f64,
    since: Option<Moment>,
    trend: Trend,
}

/// The popularity of every expert of a group.
#[derive(Debug, Clone)]
pub struct Popularity {
    pace: Smoothing,
    last: Option<Moment>,
    tracks: Vec<Vec<Track>>,
    shares: Vec<Vec<f64>>,
    late: u64,
}

impl Popularity {
    /// Nothing is known yet.
    pub fn new(pace: Smoothing) -> Self {
        Self {
            pace,
            last: None,
            tracks: Vec::new(),
            shares: Vec::new(),
            late: 0,
        }
    }

    /// Takes a report; one that others overtook is dropped and counted.
    pub fn record(&mut self, counts: &Counts) {
        match self.last {
            Some(last) if counts.at <= last => {
                self.late += 1;
                return;
            }
            // After a gap the new report weighs more: what it replaces is older.
            Some(last) => self.follow(counts, counts.at.since(last)),
            None => self.begin(counts),
        }
        self.last = Some(counts.at);
        self.publish();
    }

    /// Each expert's share of its layer's load, by layer.
    pub fn shares(&self) -> &[Vec<f64>] {
        &self.shares
    }

    /// How old the newest report is.
    pub fn age(&self, now: Moment) -> Option<Span> {
        self.last.map(|last| now.since(last))
    }

    /// Reports that came after later ones.
    pub fn late(&self) -> u64 {
        self.late
    }

    /// How many experts of a layer show each trend.
    pub fn trends(&self, layer: usize) -> Trends {
        let mut trends = Trends::default();
        for track in self.tracks.get(layer).into_iter().flatten() {
            match track.trend {
                Trend::Steady => trends.steady += 1,
                Trend::Burst => trends.bursts += 1,
                Trend::Drift => trends.drifts += 1,
            }
        }
        trends
    }

    fn begin(&mut self, counts: &Counts) {
        self.tracks = counts.layers.iter().map(|l| first_tracks(l)).collect();
    }

    fn follow(&mut self, counts: &Counts, elapsed: Span) {
        let fast = weight(elapsed, self.pace.fast);
        let slow = weight(elapsed, self.pace.slow);
        let lasting = self.pace.lasting;
        for (tracks, layer) in self.tracks.iter_mut().zip(&counts.layers) {
            let total = total(layer);
            // A layer that took no token tells nothing about its experts.
            if total < 1.0 {
                continue;
            }
            for (track, count) in tracks.iter_mut().zip(layer) {
                let share = f64::from(*count) / total;
                track.fast += fast * (share - track.fast);
                track.judge(counts.at, lasting, total, fast);
                // The first report of a burst already stays out of the slow average.
                if track.trend == Trend::Steady {
                    track.slow += slow * (share - track.slow);
                }
            }
        }
    }

    fn publish(&mut self) {
        let shares = |tracks: &Vec<Track>| {
            let sum: f64 = tracks.iter().map(|t| t.slow).sum();
            tracks.iter().map(|t| t.slow / sum.max(1e-12)).collect()
        };
        self.shares = self.tracks.iter().map(shares).collect();
    }
}

impl Track {
    /// Tells noise, burst and lasting drift apart.
    ///
    /// Failure guarded against: experts are moved for a burst and moved back after it, which
    /// costs weight loads twice and disturbs requests for nothing.
    fn judge(&mut self, now: Moment, lasting: Span, total: f64, fast: f64) {
        let seen = total * (2.0 - fast) / fast;
        let share = self.slow.max(1.0 / total);
        let noise = SIGMAS * (share * (1.0 - share).max(0.0) / seen).sqrt();
        // A difference of a tenth moves nothing worth moving, however sure it is.
        if (self.fast - self.slow).abs() <= noise.max(0.1 * self.slow) {
            self.since = None;
            self.trend = Trend::Steady;
            return;
        }
        let since = *self.since.get_or_insert(now);
        if now.since(since) >= lasting {
            self.slow = self.fast;
            self.since = None;
            self.trend = Trend::Drift;
        } else {
            self.trend = Trend::Burst;
        }
    }
}

fn first_tracks(layer: &[u32]) -> Vec<Track> {
    let total = total(layer).max(1.0);
    layer
        .iter()
        .map(|count| {
            let share = f64::from(*count) / total;
            Track {
                fast: share,
                slow: share,
                ..Track::default()
            }
        })
        .collect()
}

fn total(layer: &[u32]) -> f64 {
    layer.iter().map(|c| f64::from(*c)).sum()
}

/// The weight of a new sample in an average with this time constant.
fn weight(elapsed: Span, constant: Span) -> f64 {
    1.0 - (-elapsed.as_secs_f64() / constant.as_secs_f64().max(1e-9)).exp()
}
