//! Whether new prompts stay out of an engine's passes for a moment.
//!
//! Answers the load of a shift of the demand for experts: all ranks of a group take each pass together, and until
//! the map has followed, a pass takes two to three times as long for what it holds. What runs already still
//! fits into the pause that callers are promised; the prompts that go on arriving do not, and
//! push every running stream over it by some tens of milliseconds. So they wait here for the tenths of a
//! second that a switch takes, and are let in together once passes are short again: an even map
//! reads three prompts a rank in a pass without harm.
//!
//! Where passes stay long, the demand is above what they can carry, and waiting gains nothing: then nobody
//! waits.

use std::collections::HashMap;

use snipemast_core::prelude::*;

use crate::pools::Pool;

/// The part of the promised pause from which a pass counts as long, in hundredths: the next ones grow by a tenth
/// for each request that comes in.
const LONG: u64 = 80;

/// How long passes may stay long before nobody waits any more: a switch of the map takes 0.4 to 0.7 s.
const EPISODE: Span = Span::from_millis(800);

/// How long a pass is believed: some passes at their longest.
const FRESH: Span = Span::from_millis(400);

/// The part of a route's objective that a request may wait, in hundredths: the rest is for its prompt and
/// its first token, which take 0.17 s of the usual 0.4 to 0.5 s.
const WAIT: u64 = 50;

/// Over how many pauses the usual one is a mean: some hundred pieces of streams come in a second.
const FOLLOWED: u64 = 32;

/// What is seen of each pool's passes.
#[derive(Debug, Clone, Default)]
pub struct Passes {
    pools: HashMap<Pool, Seen>,
}

#[derive(Debug, Clone, Copy)]
struct Seen {
    /// When a pass was seen last.
    last: Moment,
    /// Since when passes are long, if they are.
    long: Option<Moment>,
    /// The usual pause between two pieces.
    usual: Span,
}

impl Passes {
    /// Nothing was seen yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// A stream paused between two pieces, which took a pass; `promised` is the longest pause on time. True
    /// where passes have become short again.
    pub fn note(&mut self, now: Moment, pool: &Pool, pause: Span, promised: Span) -> bool {
        let long = pause.times(100) >= promised.times(LONG);
        let Some(seen) = self.pools.get_mut(pool) else {
            let long = long.then_some(now);
            self.pools.insert(
                pool.clone(),
                Seen {
                    last: now,
                    long,
                    usual: pause,
                },
            );
            return false;
        };
        seen.last = now;
        seen.usual = seen.usual.following(pause, FOLLOWED);
        if long {
            seen.long.get_or_insert(now);
            return false;
        }
        seen.long.take().is_some()
    }

    /// How long a new request waits at most before it is sent to one of these pools, after it has waited for a span
    /// already; nothing where it is sent now.
    pub fn wait(&self, now: Moment, pools: &[Pool], waited: Span, objective: Span) -> Option<Span> {
        if pools.is_empty() || !pools.iter().all(|pool| self.are_long(now, pool)) {
            return None;
        }
        let whole = Span::from_micros(objective.as_micros() * WAIT / 100);
        let left = whole.as_micros().saturating_sub(waited.as_micros());
        (left > 0).then_some(Span::from_micros(left))
    }

    /// The usual pause between two pieces of streams of these pools, where one was seen: that of the quickest.
    pub fn pause(&self, pools: &[Pool]) -> Option<Span> {
        let seen = pools.iter().filter_map(|pool| self.pools.get(pool));
        seen.map(|seen| seen.usual).min()
    }

    /// Whether a pool's passes are long for a moment.
    fn are_long(&self, now: Moment, pool: &Pool) -> bool {
        let seen = self.pools.get(pool);
        let Some((since, last)) = seen.and_then(|seen| Some((seen.long?, seen.last))) else {
            return false;
        };
        now < since + EPISODE && now < last + FRESH
    }
}
