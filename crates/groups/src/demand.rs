//! The demand for experts, out of what a sample of a group's ranks counts.
//!
//! Load answered: 72 ranks with 12 layers of 144 experts, on links of 8 Mbit/s. All counts of all ranks
//! would be half a megabyte a look; the differences of 18 ranks are some 30 kB, and tell the demand
//! to a few hundredths.

use snipemast_core::data;
use snipemast_core::prelude::*;

/// How many ranks are asked for their counts at a look.
const SAMPLE: usize = 18;

/// How long the demand of earlier looks counts: 0.6 of it are left after 0.2 s. Demand shifts within
/// seconds, and a fifth of one holds enough choices to tell.
const MEMORY: Span = Span::from_millis(390);

data! {
    /// What a rank tells of its counts.
    pub struct Counted {
        /// The place in the rank's counting that this leads up to.
        pub place: u64,
        /// How often each expert was chosen since the place that was asked from, all layers one after
        /// another; nothing where the rank does not know that place.
        pub chosen: Option<Vec<u64>>,
    }
}

/// A rank's side: tells what was counted since it told last.
#[derive(Debug)]
pub struct Tally {
    place: u64,
    told: Vec<u64>,
}

impl Tally {
    /// A tally that told nothing; `first` is a number that no earlier one of this rank began with.
    pub fn new(first: u64) -> Self {
        Self {
            place: first,
            told: Vec::new(),
        }
    }

    /// Tells what was chosen since a place, out of all that was counted since the rank started.
    pub fn tell(&mut self, since: u64, counts: Vec<u64>) -> Counted {
        let known = since == self.place && self.told.len() == counts.len();
        let chosen = known.then(|| {
            let both = counts.iter().zip(&self.told);
            both.map(|(now, before)| now.saturating_sub(*before))
                .collect()
        });
        self.told = counts;
        self.place = self.place.wrapping_add(1);
        Counted {
            place: self.place,
            chosen,
        }
    }
}

/// The lead's side: sums up what the sampled ranks tell.
#[derive(Debug, Clone)]
pub struct Demand {
    /// By layer and expert.
    sums: Vec<Vec<f64>>,
    /// By rank: the place up to which its counts are known.
    places: Vec<u64>,
    last: Option<Moment>,
}

impl Demand {
    /// No demand is known yet, for so many layers and ranks.
    pub fn new(layers: usize, ranks: usize) -> Self {
        Self {
            sums: vec![Vec::new(); layers],
            places: vec![0; ranks],
            last: None,
        }
    }

    /// The place to ask a rank from; nothing where its counts aren't wanted.
    ///
    /// One rank out of each block is sampled, not always the same one of its block: ranks that follow
    /// one another may lie in availability zones by turns.
    pub fn place(&self, rank: usize) -> Option<u64> {
        let block = self.places.len().div_ceil(SAMPLE).max(1);
        let sampled = rank % block == (rank / block) % block;
        sampled.then(|| self.places.get(rank).copied()).flatten()
    }

    /// Lets earlier demand fade.
    pub fn fade(&mut self, now: Moment) {
        let since = self.last.replace(now).map(|last| last.until(now));
        let span = since.unwrap_or_default();
        let left = (-span.as_secs_f64() / MEMORY.as_secs_f64()).exp();
        for sum in self.sums.iter_mut().flatten() {
            *sum *= left;
        }
    }

    /// Adds what a rank told.
    pub fn add(&mut self, rank: usize, counted: &Counted) {
        let Some(place) = self.places.get_mut(rank) else {
            return;
        };
        *place = counted.place;
        let layers = self.sums.len().max(1);
        let Some(chosen) = &counted.chosen else {
            return;
        };
        if chosen.is_empty() || !chosen.len().is_multiple_of(layers) {
            return;
        }
        let experts = chosen.len() / layers;
        for (sums, chosen) in self.sums.iter_mut().zip(chosen.chunks(experts)) {
            sums.resize(experts, 0.0);
            for (sum, chosen) in sums.iter_mut().zip(chosen) {
                *sum += *chosen as f64;
            }
        }
    }

    /// The demand by layer and expert, in choices.
    pub fn sums(&self) -> &[Vec<f64>] {
        &self.sums
    }

    /// All choices that count.
    pub fn total(&self) -> f64 {
        self.sums.iter().flatten().sum()
    }
}
