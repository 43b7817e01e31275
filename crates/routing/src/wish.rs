//! Orders to load a model that is asked for and that nothing has loaded.

use std::collections::BTreeMap;

use snipemast_core::prelude::*;

use crate::refusal::{Reason, Refusal};
use crate::wanted::Wanted;

/// How many loads are asked of the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WishPolicy {
    /// Loads that are wished for at one time.
    pub at_once: usize,
    /// How long a load is expected to take.
    pub load: Span,
    /// How long after the last request a wish is forgotten.
    pub forget: Span,
}

impl Default for WishPolicy {
    fn default() -> Self {
        Self {
            at_once: 4,
            load: Span::from_secs(60),
            forget: Span::from_secs(120),
        }
    }
}

data! {
    /// Something that should be loaded.
    pub struct Wish {
        /// What is asked for.
        pub wanted: Wanted,
        /// How many requests asked for it.
        pub asked: u64,
        /// How long ago the first did.
        pub age: Span,
    }
}

#[derive(Debug)]
struct Entry {
    asked: u64,
    first: Moment,
    last: Moment,
}

/// What was asked for and is loaded nowhere.
///
/// A request for it is refused at once with the time that a load is likely to take: a caller that
/// waited in silence could not tell a load from a loss.
#[derive(Debug, Default)]
pub struct Wishes {
    policy: WishPolicy,
    entries: BTreeMap<Wanted, Entry>,
}

impl Wishes {
    /// Nothing is wished for.
    pub fn new(policy: WishPolicy) -> Self {
        Self {
            policy,
            entries: BTreeMap::new(),
        }
    }

    /// Notes a request for something that is loaded nowhere, and says when to come back.
    pub fn record_request(&mut self, now: Moment, wanted: &Wanted) -> Refusal {
        let policy = self.policy;
        self.entries
            .retain(|_, e| now.since(e.last) <= policy.forget);
        let load = policy.load.as_micros();
        let ahead = self.entries.len() / policy.at_once.max(1);
        let retry = if let Some(entry) = self.entries.get_mut(wanted) {
            entry.asked += 1;
            entry.last = now;
            load.saturating_sub(now.since(entry.first).as_micros())
        } else {
            let full = self.entries.len() >= policy.at_once * 16;
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
        // Past the expected time a load may still be under way: look again soon.
        let retry = Span::from_micros(retry).max(Span::from_secs(2));
        Refusal {
            reason: Reason::Unloaded,
            retry,
        }
    }

    /// Forgets what is loaded now.
    pub fn mark_loaded(&mut self, wanted: &Wanted) {
        self.entries.remove(wanted);
    }

    /// The loads to ask for now, the longest waiting first, within the platform's budget.
    pub fn due_loads(&self, now: Moment) -> Vec<Wish> {
        let live = |e: &Entry| now.since(e.last) <= self.policy.forget;
        let mut live: Vec<_> = self.entries.iter().filter(|(_, e)| live(e)).collect();
        live.sort_by_key(|(_, e)| e.first);
        live.truncate(self.policy.at_once);
        let wish = |(wanted, e): (&Wanted, &Entry)| Wish {
            wanted: wanted.clone(),
            asked: e.asked,
            age: now.since(e.first),
        };
        live.into_iter().map(wish).collect()
    }
}
