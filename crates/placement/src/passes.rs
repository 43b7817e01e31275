//! Decides whether new prompts are held back while an engine's forward passes are long.
//!
//! All ranks of a group take each forward pass together. After a shift of the demand for experts, a
//! pass takes two to three times as long for the same requests until the expert map has followed.
//! The requests that run already still fit into the pause that callers are promised. Each new
//! prompt lengthens the passes further, and pushes every running stream over that pause by some
//! tens of milliseconds. So new prompts wait in the gateway for the tenths of a second that a
//! switch of the map takes, and are let in together once passes are short again. With an even map,
//! ranks read three prompts each in one pass without harm.
//!
//! Where passes stay long, the demand is above what they can carry, and waiting gains nothing. Then
//! no prompt is held back.

use std::collections::HashMap;

use snipemast_core::prelude::*;

use crate::pools::Pool;

/// The part of the promised pause from which a pass counts as long, in hundredths. Each request
/// that comes in lengthens the next passes by a tenth.
const LONG_PERCENT: u64 = 80;

/// How long passes may stay long before prompts are no longer held back. A switch of the map takes
/// 0.4 to 0.7 s.
const MAX_LONG_TIME: Span = Span::from_millis(800);

/// How long the last pass is taken as current: some passes at their longest.
const PASS_AGE: Span = Span::from_millis(400);

/// The part of a route's objective that a request may wait, in hundredths. The rest is left for its
/// prompt and its first token, which take 0.17 s of the usual 0.4 to 0.5 s.
const HOLD_PERCENT: u64 = 50;

/// The number of pauses over which the usual pause is averaged. Some hundred pieces of streams come
/// in a second.
const PAUSE_MEAN_PARTS: u64 = 32;

/// Tracks the forward passes of each pool.
#[derive(Debug, Clone, Default)]
pub struct PassTimes {
    pools: HashMap<Pool, PoolPasses>,
}

#[derive(Debug, Clone, Copy)]
struct PoolPasses {
    /// When a pass was last seen.
    last: Moment,
    /// Since when passes are long, if they are.
    long_since: Option<Moment>,
    /// The usual pause between two pieces.
    usual_pause: Span,
}

impl PassTimes {
    /// Creates a tracker that has seen no pass.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a stream's pause between two pieces, which took one pass. `pause_target` is the
    /// longest pause that is on time. Returns whether passes have become short again.
    pub fn record_pause(
        &mut self,
        now: Moment,
        pool: &Pool,
        pause: Span,
        pause_target: Span,
    ) -> bool {
        let is_long = pause.times(100) >= pause_target.times(LONG_PERCENT);
        let Some(seen) = self.pools.get_mut(pool) else {
            let long_since = is_long.then_some(now);
            self.pools.insert(
                pool.clone(),
                PoolPasses {
                    last: now,
                    long_since,
                    usual_pause: pause,
                },
            );
            return false;
        };
        seen.last = now;
        seen.usual_pause = seen.usual_pause.smoothed(pause, PAUSE_MEAN_PARTS);
        if is_long {
            seen.long_since.get_or_insert(now);
            return false;
        }
        seen.long_since.take().is_some()
    }

    /// Returns how long a new request is held back at most before it is sent to one of these pools,
    /// if it is. `waited` is how long it has been held back already.
    pub fn hold_time(
        &self,
        now: Moment,
        pools: &[Pool],
        waited: Span,
        objective: Span,
    ) -> Option<Span> {
        if pools.is_empty() || !pools.iter().all(|pool| self.are_passes_long(now, pool)) {
            return None;
        }
        let longest = Span::from_micros(objective.as_micros() * HOLD_PERCENT / 100);
        let left = longest.as_micros().saturating_sub(waited.as_micros());
        (left > 0).then_some(Span::from_micros(left))
    }

    /// Returns the usual pause between two pieces of streams of the fastest of these pools, if one
    /// was seen.
    pub fn usual_pause(&self, pools: &[Pool]) -> Option<Span> {
        let seen = pools.iter().filter_map(|pool| self.pools.get(pool));
        seen.map(|seen| seen.usual_pause).min()
    }

    /// Whether a pool's passes have been long for a short time.
    fn are_passes_long(&self, now: Moment, pool: &Pool) -> bool {
        let seen = self.pools.get(pool);
        let Some((since, last)) = seen.and_then(|seen| Some((seen.long_since?, seen.last))) else {
            return false;
        };
        now < since + MAX_LONG_TIME && now < last + PASS_AGE
    }
}
