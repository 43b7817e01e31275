//! Estimates the demand for experts from the counts of a sample of a group's ranks.
//!
//! With 72 ranks, 12 layers of 144 experts and links of 8 Mbit/s, all counts of all ranks would be
//! half a megabyte for each poll. The differences of 18 ranks are some 30 kB and show the demand
//! with an error of a few hundredths.

use snipemast_core::data;
use snipemast_core::prelude::*;

/// How many ranks report their counts in a poll.
const SAMPLED_RANKS: usize = 18;

/// The time constant with which the demand of earlier polls decays: 0.6 of it are left after 0.2 s.
/// Demand shifts within seconds, and a fifth of a second holds enough choices to estimate it.
const DECAY_TIME: Span = Span::from_millis(390);

/// The demand has shifted where the share of choices that went to other experts than before exceeds
/// `SHIFT_SHARE` plus `SHIFT_FACTOR` times the usual share. Two polls of one demand differ by
/// chance, and the fewer ranks are counted, the more they differ.
const SHIFT_SHARE: f64 = 0.05;
const SHIFT_FACTOR: f64 = 1.5;

/// The initial value of the usual share, and the weight of each poll in its average.
const INITIAL_CHANGE: f64 = 0.08;
const CHANGE_WEIGHT: f64 = 0.1;

/// The fewest choices of a poll that are compared with earlier ones.
const MIN_CHOICES: u64 = 4_000;

data! {
    /// A rank's report of its counts.
    pub struct CountReport {
        /// The point in the rank's counting up to which this report counts.
        #[serde(rename = "place")]
        pub cursor: u64,
        /// How often each expert was chosen since the requested cursor, all layers one after
        /// another; `None` where the rank does not know that cursor.
        pub chosen: Option<Vec<u64>>,
    }
}

/// The rank's side: reports what was counted since its last report.
#[derive(Debug)]
pub struct Tally {
    cursor: u64,
    reported: Vec<u64>,
}

impl Tally {
    /// Creates a tally that has reported nothing. No earlier tally of this rank may have begun with
    /// the cursor `first`.
    pub fn new(first: u64) -> Self {
        Self {
            cursor: first,
            reported: Vec::new(),
        }
    }

    /// Notes that the rank has restarted and counts from 0 again.
    pub fn reset(&mut self) {
        self.reported.clear();
        self.cursor = self.cursor.wrapping_add(1);
    }

    /// Returns the report of the choices since a cursor, given all counts since the rank started.
    pub fn report(&mut self, since: u64, counts: Vec<u64>) -> CountReport {
        let known = since == self.cursor && self.reported.len() == counts.len();
        let chosen = known.then(|| {
            let both = counts.iter().zip(&self.reported);
            both.map(|(now, before)| now.saturating_sub(*before))
                .collect()
        });
        self.reported = counts;
        self.cursor = self.cursor.wrapping_add(1);
        CountReport {
            cursor: self.cursor,
            chosen,
        }
    }
}

/// The lead's side: sums up the reports of the sampled ranks.
#[derive(Debug, Clone)]
pub struct Demand {
    /// The decayed choices, by layer and expert.
    sums: Vec<Vec<f64>>,
    /// The choices reported in the current poll, by layer and expert.
    polled: Vec<Vec<u64>>,
    /// The cursor up to which the counts of each rank are known.
    cursors: Vec<u64>,
    last: Option<Moment>,
    /// The usual share of choices that go to other experts from one poll to the next.
    usual_change: f64,
}

impl Demand {
    /// Creates an unknown demand for this many layers and ranks.
    pub fn new(layers: usize, ranks: usize) -> Self {
        Self {
            sums: vec![Vec::new(); layers],
            polled: vec![Vec::new(); layers],
            cursors: vec![0; ranks],
            last: None,
            usual_change: INITIAL_CHANGE,
        }
    }

    /// Carries over the demand for the same layers that was known before the group formed again.
    ///
    /// A group that forms after an outage begins with map 0, whose fullest rank has a multiple of
    /// the mean load, just when all waiting requests arrive at once. Estimating the demand first
    /// would keep it on that map for longer.
    pub fn carry_over(&mut self, before: &Self) {
        if before.sums.len() == self.sums.len() {
            self.sums.clone_from(&before.sums);
        }
    }

    /// Returns the cursor from which to ask a rank for its counts, or `None` where it is not
    /// sampled.
    ///
    /// One rank of each block is sampled, at a different place in each block, because consecutive
    /// ranks may lie in the availability zones by turns.
    pub fn sample_cursor(&self, rank: usize) -> Option<u64> {
        let block = self.cursors.len().div_ceil(SAMPLED_RANKS).max(1);
        let sampled = rank % block == (rank / block) % block;
        sampled.then(|| self.cursors.get(rank).copied()).flatten()
    }

    /// Adds a rank's report to the current poll.
    pub fn add(&mut self, rank: usize, report: &CountReport) {
        let Some(cursor) = self.cursors.get_mut(rank) else {
            return;
        };
        *cursor = report.cursor;
        let layers = self.polled.len().max(1);
        let Some(chosen) = &report.chosen else {
            return;
        };
        if chosen.is_empty() || !chosen.len().is_multiple_of(layers) {
            return;
        }
        let experts = chosen.len() / layers;
        for (polled, chosen) in self.polled.iter_mut().zip(chosen.chunks(experts)) {
            polled.resize(experts, 0);
            for (sum, chosen) in polled.iter_mut().zip(chosen) {
                *sum += chosen;
            }
        }
    }

    /// Ends the current poll and adds it to the demand. Returns false while the demand is shifting.
    ///
    /// Failure guarded against: a map is computed for a mixture of the demands before and after a
    /// shift. It fits neither, and delays the right map by a whole switch. The demand before a
    /// shift is dropped at once, and no map is planned from a poll during which the demand shifted.
    pub fn finish_poll(&mut self, now: Moment) -> bool {
        let since = self.last.replace(now).map(|last| last.until(now));
        let total: u64 = self.polled.iter().flatten().sum();
        let changed = self.changed_share();
        let shifted =
            total >= MIN_CHOICES && changed > SHIFT_SHARE + SHIFT_FACTOR * self.usual_change;
        if total >= MIN_CHOICES && !shifted {
            self.usual_change += CHANGE_WEIGHT * (changed - self.usual_change);
        }
        let span = since.unwrap_or_default();
        let left = match shifted {
            true => 0.0,
            false => (-span.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp(),
        };
        for (sums, polled) in self.sums.iter_mut().zip(&mut self.polled) {
            sums.resize(polled.len(), 0.0);
            for (sum, polled) in sums.iter_mut().zip(polled) {
                *sum = *sum * left + std::mem::take(polled) as f64;
            }
        }
        !shifted
    }

    /// Returns the share of this poll's choices that went to other experts than before.
    fn changed_share(&self) -> f64 {
        let layers = self.sums.iter().zip(&self.polled);
        let changed = layers.map(|(sums, polled)| {
            let before: f64 = sums.iter().sum();
            let now: u64 = polled.iter().sum();
            if before == 0.0 || now == 0 {
                return 0.0;
            }
            let both = sums.iter().zip(polled);
            let differences = both.map(|(b, n)| (b / before - *n as f64 / now as f64).abs());
            differences.sum::<f64>() / 2.0
        });
        changed.sum::<f64>() / self.sums.len().max(1) as f64
    }

    /// Returns the demand by layer and expert, in choices.
    pub fn sums(&self) -> &[Vec<f64>] {
        &self.sums
    }

    /// Returns the total of the demand, in choices.
    pub fn total(&self) -> f64 {
        self.sums.iter().flatten().sum()
    }
}
