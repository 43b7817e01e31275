//! Slow and stalled ranks, told apart from hot experts.
//!
//! A hot expert shows in the tokens that its ranks take, a slow rank in the time that it needs a
//! token. Only the first is mended by moving experts.

use std::fmt;

use snipemast_core::data;
use snipemast_core::prelude::*;

/// How many times the median time a token makes a rank slow.
const SLOW: f64 = 1.5;
/// How many times the median makes it stalled.
const STALLED: f64 = 8.0;

data! {
    /// How a rank keeps pace with its group.
    #[derive(Copy, Default, Hash)]
    pub enum Health {
        /// It needs about the median time a token.
        #[default]
        Sound,
        /// It needs so many hundredths of the median time a token.
        Slow(u32),
        /// It hardly advances.
        Stalled,
    }

    /// A rank's work in a step: tokens that it took, and the time that it needed.
    #[derive(Copy, Default)]
    pub struct Work {
        /// Tokens over all layers.
        pub tokens: u64,
        /// Busy time, without waiting for other ranks.
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

/// Judges every rank against the median time a token.
pub fn rank_health(works: &[Work]) -> Vec<Health> {
    let mut times: Vec<f64> = works.iter().map(time_a_token).collect();
    let each = times.clone();
    times.sort_by(f64::total_cmp);
    let median = times.get(times.len() / 2).copied().unwrap_or_default();
    each.into_iter()
        .map(|t| health(t / median.max(1e-9)))
        .collect()
}

fn time_a_token(work: &Work) -> f64 {
    work.busy.as_micros() as f64 / work.tokens.max(1) as f64
}

fn health(ratio: f64) -> Health {
    if ratio >= STALLED {
        Health::Stalled
    } else if ratio >= SLOW {
        Health::Slow((ratio * 100.0) as u32)
    } else {
        Health::Sound
    }
}
