//! Models that are requested but that no server has loaded, and the loads to ask for.

use std::collections::BTreeMap;

use snipemast_core::prelude::*;

use crate::refusal::{Reason, Refusal};
use crate::wanted::Wanted;

/// How many loads are requested from the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WishPolicy {
    /// The most loads that are requested at one time.
    pub max_loads: usize,
    /// The time that a load is expected to take.
    pub load_time: Span,
    /// The time after the last request at which a wish is forgotten.
    pub forget_after: Span,
}

impl Default for WishPolicy {
    fn default() -> Self {
        Self {
            max_loads: 4,
            load_time: Span::from_secs(60),
            forget_after: Span::from_secs(120),
        }
    }
}

data! {
    /// A model that should be loaded.
    pub struct Wish {
        /// The model that is requested.
        pub wanted: Wanted,
        /// The number of requests for the model.
        pub asked: u64,
        /// The time since the first request for it.
        pub age: Span,
    }
}

/// The requests for one model that no server has loaded.
#[derive(Debug)]
struct Entry {
    asked: u64,
    first: Moment,
    last: Moment,
}

/// The models that are requested but that no server has loaded.
///
/// A request for such a model is refused at once, with the time that a load is likely to take. A
/// caller that waited without an answer could not tell a load from a lost request.
#[derive(Debug, Default)]
pub struct Wishes {
    policy: WishPolicy,
    entries: BTreeMap<Wanted, Entry>,
}

impl Wishes {
    /// Creates an empty set of wishes.
    pub fn new(policy: WishPolicy) -> Self {
        Self {
            policy,
            entries: BTreeMap::new(),
        }
    }

    /// Records a request for something that no server has loaded, and returns its refusal.
    pub fn record_request(&mut self, now: Moment, wanted: &Wanted) -> Refusal {
        let policy = self.policy;
        self.entries
            .retain(|_, e| now.since(e.last) <= policy.forget_after);
        let load = policy.load_time.as_micros();
        let ahead = self.entries.len() / policy.max_loads.max(1);
        let retry = if let Some(entry) = self.entries.get_mut(wanted) {
            entry.asked += 1;
            entry.last = now;
            load.saturating_sub(now.since(entry.first).as_micros())
        } else {
            let full = self.entries.len() >= policy.max_loads * 16;
            if !full {
                let entry = Entry {
                    asked: 1,
                    first: now,
                    last: now,
                };
                self.entries.insert(wanted.clone(), entry);
            }
            load * (1 + ahead as u64)
        };
        // After the expected time a load may still be under way, so the caller retries soon.
        let retry = Span::from_micros(retry).max(Span::from_secs(2));
        Refusal {
            reason: Reason::Unloaded,
            retry,
        }
    }

    /// Forgets a model that is loaded now.
    pub fn mark_loaded(&mut self, wanted: &Wanted) {
        self.entries.remove(wanted);
    }

    /// Returns the loads to request now, the longest waiting first, within the platform's budget.
    pub fn due_loads(&self, now: Moment) -> Vec<Wish> {
        let live = |e: &Entry| now.since(e.last) <= self.policy.forget_after;
        let mut live: Vec<_> = self.entries.iter().filter(|(_, e)| live(e)).collect();
        live.sort_by_key(|(_, e)| e.first);
        live.truncate(self.policy.max_loads);
        let wish = |(wanted, e): (&Wanted, &Entry)| Wish {
            wanted: wanted.clone(),
            asked: e.asked,
            age: now.since(e.first),
        };
        live.into_iter().map(wish).collect()
    }
}
