//! The cache events of a fake model engine. They are numbered, and only the latest are kept.

use std::collections::VecDeque;

use parking_lot::Mutex;
use serde_json::{json, Value};

/// The number of prefixes that fit into the cache.
const MAX_PREFIXES: usize = 64;
/// The number of events that are kept.
const MAX_EVENTS: usize = 256;
/// The number of bytes of a prompt that form its prefix.
const PREFIX_BYTES: usize = 256;

/// The cached prefixes, and the events about them.
#[derive(Debug, Default)]
pub(crate) struct Cache {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// The cached prefixes, least recently used first.
    prefixes: VecDeque<String>,
    events: VecDeque<(u64, &'static str, String)>,
    /// The number of the last event.
    last: u64,
}

impl Cache {
    /// Caches the prefix of a prompt; if the cache is full, the least recently used prefix is dropped.
    pub(crate) fn store(&self, prompt: &str) {
        let length = prompt.len().min(PREFIX_BYTES);
        let prefix = blake3::hash(&prompt.as_bytes()[..length]).to_hex()[..16].to_string();
        let mut state = self.state.lock();
        if let Some(place) = state.prefixes.iter().position(|p| *p == prefix) {
            state.prefixes.remove(place);
            state.prefixes.push_back(prefix);
            return;
        }
        state.record("stored", prefix.clone());
        state.prefixes.push_back(prefix);
        if state.prefixes.len() > MAX_PREFIXES {
            if let Some(dropped) = state.prefixes.pop_front() {
                state.record("dropped", dropped);
            }
        }
    }

    /// Returns the events after a number.
    pub(crate) fn after(&self, number: u64) -> Value {
        let state = self.state.lock();
        let events: Vec<Value> = state
            .events
            .iter()
            .filter(|(n, ..)| *n > number)
            .map(|(n, kind, prefix)| json!({ "number": n, "kind": kind, "prefix": prefix }))
            .collect();
        let oldest = state.events.front().map_or(state.last + 1, |(n, ..)| *n);
        json!({ "oldest": oldest, "next": state.last + 1, "events": events })
    }
}

impl State {
    /// Adds an event and drops the oldest if there are too many.
    fn record(&mut self, kind: &'static str, prefix: String) {
        self.last += 1;
        self.events.push_back((self.last, kind, prefix));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}
