//! Detects slow and stalled ranks, as opposed to ranks with hot experts.
//!
//! A hot expert shows in the number of tokens of its ranks, a slow rank in its time per token.
//! Moving experts helps only against the former.

use std::fmt;

use snipemast_core::data;
use snipemast_core::prelude::*;

/// The ratio to the median time per token from which a rank is slow.
const SLOW_RATIO: f64 = 1.5;
/// The ratio to the median time per token from which a rank is stalled.
const STALLED_RATIO: f64 = 8.0;

data! {
    /// How a rank keeps pace with its group.
    #[derive(Copy, Default, Hash)]
    pub enum Health {
        /// It takes about the median time per token.
        #[default]
        Sound,
        /// It takes this many hundredths of the median time per token.
        Slow(u32),
        /// It makes hardly any progress.
        Stalled,
    }

    /// The work of a rank in a step.
    #[derive(Copy, Default)]
    pub struct Work {
        /// The number of tokens over all layers.
        pub tokens: u64,
        /// The time that it was busy, not counting the wait for other ranks.
        pub busy: Span,
    }
}

impl fmt::Display for Health {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Sound => f.write_str("sound"),
            Self::Slow(hundredths) => write!(f, "slow: {hundredths} % of the median time a token"),
            Self::Stalled => f.write_str("stalled"),
        }
    }
}

/// Returns the health of every rank, compared with the median time per token.
pub fn rank_health(works: &[Work]) -> Vec<Health> {
    let mut times: Vec<f64> = works.iter().map(time_per_token).collect();
    let each = times.clone();
    times.sort_by(f64::total_cmp);
    let median = times.get(times.len() / 2).copied().unwrap_or_default();
    each.into_iter()
        .map(|t| health(t / median.max(1e-9)))
        .collect()
}

fn time_per_token(work: &Work) -> f64 {
    work.busy.as_micros() as f64 / work.tokens.max(1) as f64
}

fn health(ratio: f64) -> Health {
    if ratio >= STALLED_RATIO {
        Health::Stalled
    } else if ratio >= SLOW_RATIO {
        Health::Slow((ratio * 100.0) as u32)
    } else {
        Health::Sound
    }
}
