//! Estimates the popularity of experts from reports that lag and have gaps.
//!
//! Two averages of each expert's share are kept, a fast one and a slow one. Where they differ by no
//! more than sampling explains, the difference is noise and both continue. A larger difference is a
//! burst at first. Once it has lasted it is drift, and the slow average takes the value of the fast
//! one.

use std::fmt;

use snipemast_core::data;
use snipemast_core::prelude::*;

/// The number of standard deviations beyond which a difference is not noise.
const NOISE_SIGMAS: f64 = 4.0;

data! {
    /// How fast the averages follow the reports.
    #[derive(Copy)]
    pub struct Smoothing {
        /// The time constant of the fast average.
        pub fast: Span,
        /// The time constant of the slow average.
        pub slow: Span,
        /// How long a difference must last before it is drift.
        pub lasting: Span,
    }

    /// A report of the number of tokens of each expert of each layer.
    pub struct Counts {
        /// When the counting ended.
        pub at: Moment,
        /// The number of tokens, by layer and expert.
        pub layers: Vec<Vec<u32>>,
    }

    /// How the popularity of an expert changes.
    #[derive(Copy, Default, Hash)]
    pub enum Trend {
        /// The averages differ by no more than sampling explains.
        #[default]
        Steady,
        /// The averages differ, and the difference has not lasted yet.
        Burst,
        /// The averages differed for so long that the estimate followed.
        Drift,
    }

    /// The number of experts with each trend.
    #[derive(Copy, Default)]
    pub struct Trends {
        /// Experts with noise only.
        pub steady: u32,
        /// Experts with a burst.
        pub bursts: u32,
        /// Experts whose drift the estimate has just followed.
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
    /// Derives the time constants from a group's two weights. The more disturbance weighs, the
    /// longer a difference must last before it is followed.
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

/// The averages of one expert.
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
    smoothing: Smoothing,
    last: Option<Moment>,
    tracks: Vec<Vec<Track>>,
    shares: Vec<Vec<f64>>,
    late_reports: u64,
}

impl Popularity {
    /// Creates an estimate without any report.
    pub fn new(smoothing: Smoothing) -> Self {
        Self {
            smoothing,
            last: None,
            tracks: Vec::new(),
            shares: Vec::new(),
            late_reports: 0,
        }
    }

    /// Adds a report. One that arrives after a later report is dropped and counted.
    pub fn record(&mut self, counts: &Counts) {
        match self.last {
            Some(last) if counts.at <= last => {
                self.late_reports += 1;
                return;
            }
            // After a gap the new report weighs more, because the data that it replaces is older.
            Some(last) => self.update_tracks(counts, counts.at.since(last)),
            None => self.init_tracks(counts),
        }
        self.last = Some(counts.at);
        self.update_shares();
    }

    /// Returns each expert's share of its layer's load, by layer.
    pub fn shares(&self) -> &[Vec<f64>] {
        &self.shares
    }

    /// Returns the age of the newest report.
    pub fn age(&self, now: Moment) -> Option<Span> {
        self.last.map(|last| now.since(last))
    }

    /// Returns the number of reports that arrived after later ones.
    pub fn late_reports(&self) -> u64 {
        self.late_reports
    }

    /// Returns the number of experts of a layer with each trend.
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

    fn init_tracks(&mut self, counts: &Counts) {
        self.tracks = counts.layers.iter().map(|l| first_tracks(l)).collect();
    }

    fn update_tracks(&mut self, counts: &Counts, elapsed: Span) {
        let fast = weight(elapsed, self.smoothing.fast);
        let slow = weight(elapsed, self.smoothing.slow);
        let lasting = self.smoothing.lasting;
        for (tracks, layer) in self.tracks.iter_mut().zip(&counts.layers) {
            let total = total(layer);
            // A layer without tokens tells nothing about its experts.
            if total < 1.0 {
                continue;
            }
            for (track, count) in tracks.iter_mut().zip(layer) {
                let share = f64::from(*count) / total;
                track.fast += fast * (share - track.fast);
                track.update_trend(counts.at, lasting, total, fast);
                // Even the first report of a burst is kept out of the slow average.
                if track.trend == Trend::Steady {
                    track.slow += slow * (share - track.slow);
                }
            }
        }
    }

    fn update_shares(&mut self) {
        let shares = |tracks: &Vec<Track>| {
            let sum: f64 = tracks.iter().map(|t| t.slow).sum();
            tracks.iter().map(|t| t.slow / sum.max(1e-12)).collect()
        };
        self.shares = self.tracks.iter().map(shares).collect();
    }
}

impl Track {
    /// Distinguishes noise, bursts and lasting drift.
    ///
    /// Failure guarded against: experts are moved for a burst and moved back after it, which costs
    /// weight loads twice and disturbs requests for nothing.
    fn update_trend(&mut self, now: Moment, lasting: Span, total: f64, fast: f64) {
        let samples = total * (2.0 - fast) / fast;
        let share = self.slow.max(1.0 / total);
        let noise = NOISE_SIGMAS * (share * (1.0 - share).max(0.0) / samples).sqrt();
        // A difference of up to a tenth is not worth any move, however certain it is.
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

/// Returns the weight of a new sample in an average with this time constant.
fn weight(elapsed: Span, constant: Span) -> f64 {
    1.0 - (-elapsed.as_secs_f64() / constant.as_secs_f64().max(1e-9)).exp()
}
