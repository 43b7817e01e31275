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

/// The part of the choices that must go to other experts than before for the demand to have shifted, and
/// how many times what is usual from look to look it must be besides: two looks at one demand differ by chance, and the
/// more so the fewer ranks count.
const SHIFTED: f64 = 0.05;
const TIMES: f64 = 1.5;

/// What is taken for usual at first, and the part of it that each look replaces.
const USUAL: f64 = 0.08;
const REPLACED: f64 = 0.1;

/// The fewest choices of a look that are compared with those before.
const FEW: u64 = 4_000;

data! {
    /// What a rank tells of its counts.
    pub struct CountReport {
        /// The place in the rank's counting that this leads up to.
        #[serde(rename = "place")]
        pub cursor: u64,
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

    /// The rank has started again, and counts anew.
    pub fn reset(&mut self) {
        self.told.clear();
        self.place = self.place.wrapping_add(1);
    }

    /// Tells what was chosen since a place, out of all that was counted since the rank started.
    pub fn report(&mut self, since: u64, counts: Vec<u64>) -> CountReport {
        let known = since == self.place && self.told.len() == counts.len();
        let chosen = known.then(|| {
            let both = counts.iter().zip(&self.told);
            both.map(|(now, before)| now.saturating_sub(*before))
                .collect()
        });
        self.told = counts;
        self.place = self.place.wrapping_add(1);
        CountReport {
            cursor: self.place,
            chosen,
        }
    }
}

/// The lead's side: sums up what the sampled ranks tell.
#[derive(Debug, Clone)]
pub struct Demand {
    /// By layer and expert.
    sums: Vec<Vec<f64>>,
    /// What was told at the look that is under way.
    fresh: Vec<Vec<u64>>,
    /// By rank: the place up to which its counts are known.
    places: Vec<u64>,
    last: Option<Moment>,
    /// The part of the choices that goes elsewhere from look to look, as a rule.
    usual: f64,
}

impl Demand {
    /// No demand is known yet, for so many layers and ranks.
    pub fn new(layers: usize, ranks: usize) -> Self {
        Self {
            sums: vec![Vec::new(); layers],
            fresh: vec![Vec::new(); layers],
            places: vec![0; ranks],
            last: None,
            usual: USUAL,
        }
    }

    /// Takes over what another one knew of the same layers, before the group formed anew.
    ///
    /// Load answered: a group that forms after an outage begins with map 0, whose fullest rank has some times
    /// the mean, and all that waited comes at once. Counting a demand first leaves it there for longer.
    pub fn carry_over(&mut self, before: &Self) {
        if before.sums.len() == self.sums.len() {
            self.sums.clone_from(&before.sums);
        }
    }

    /// The place to ask a rank from; nothing where its counts aren't wanted.
    ///
    /// One rank out of each block is sampled, not always the same one of its block: ranks that follow
    /// one another may lie in availability zones by turns.
    pub fn sample_cursor(&self, rank: usize) -> Option<u64> {
        let block = self.places.len().div_ceil(SAMPLE).max(1);
        let sampled = rank % block == (rank / block) % block;
        sampled.then(|| self.places.get(rank).copied()).flatten()
    }

    /// Adds what a rank told at this look.
    pub fn add(&mut self, rank: usize, counted: &CountReport) {
        let Some(place) = self.places.get_mut(rank) else {
            return;
        };
        *place = counted.cursor;
        let layers = self.fresh.len().max(1);
        let Some(chosen) = &counted.chosen else {
            return;
        };
        if chosen.is_empty() || !chosen.len().is_multiple_of(layers) {
            return;
        }
        let experts = chosen.len() / layers;
        for (fresh, chosen) in self.fresh.iter_mut().zip(chosen.chunks(experts)) {
            fresh.resize(experts, 0);
            for (sum, chosen) in fresh.iter_mut().zip(chosen) {
                *sum += chosen;
            }
        }
    }

    /// Takes all of a look into account; false while the demand is shifting.
    ///
    /// Failure guarded against: a map is made for a mixture of the demand before a shift and after it,
    /// fits neither, and keeps the right one waiting for a whole switch. What was before a shift
    /// is forgotten at once, and a look within which it came is not planned for.
    pub fn finish_poll(&mut self, now: Moment) -> bool {
        let since = self.last.replace(now).map(|last| last.until(now));
        let total: u64 = self.fresh.iter().flatten().sum();
        let moved = self.moved();
        let shifted = total >= FEW && moved > SHIFTED + TIMES * self.usual;
        if total >= FEW && !shifted {
            self.usual += REPLACED * (moved - self.usual);
        }
        let span = since.unwrap_or_default();
        let left = match shifted {
            true => 0.0,
            false => (-span.as_secs_f64() / MEMORY.as_secs_f64()).exp(),
        };
        for (sums, fresh) in self.sums.iter_mut().zip(&mut self.fresh) {
            sums.resize(fresh.len(), 0.0);
            for (sum, fresh) in sums.iter_mut().zip(fresh) {
                *sum = *sum * left + std::mem::take(fresh) as f64;
            }
        }
        !shifted
    }

    /// The part of this look's choices that went to other experts than those before.
    fn moved(&self) -> f64 {
        let layers = self.sums.iter().zip(&self.fresh);
        let moved = layers.map(|(sums, fresh)| {
            let before: f64 = sums.iter().sum();
            let now: u64 = fresh.iter().sum();
            if before == 0.0 || now == 0 {
                return 0.0;
            }
            let both = sums.iter().zip(fresh);
            let apart = both.map(|(b, n)| (b / before - *n as f64 / now as f64).abs());
            apart.sum::<f64>() / 2.0
        });
        moved.sum::<f64>() / self.sums.len().max(1) as f64
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
