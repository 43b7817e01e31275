//! Headers of answers that nobody here knows.
//!
//! Failure guarded against: servers begin to say what they ask for in a header of which nobody has told us. It goes
//! through unseen, and nobody keeps to it.

use std::collections::BTreeSet;

use hyper::HeaderMap;
use parking_lot::Mutex;

use snipemast_core::prelude::*;
use snipemast_placement::Choice;
use snipemast_platform::response::unknown;

use crate::send::Job;

/// The most headers that are told apart.
const MOST: usize = 32;

/// What stands for the others.
const OTHERS: &str = "others";

/// The headers that were met so far.
#[derive(Debug, Default)]
pub(crate) struct Unknown {
    met: Mutex<BTreeSet<String>>,
}

impl Unknown {
    /// Takes note of a header; its name, or what stands for it, and whether it is met for the first time.
    fn meet<'a>(&self, name: &'a str) -> (&'a str, bool) {
        let mut met = self.met.lock();
        let name = if met.len() < MOST || met.contains(name) {
            name
        } else {
            OTHERS
        };
        (name, met.insert(name.to_owned()))
    }
}

impl Job {
    /// Counts the headers of an answer that nobody here knows, and logs each once.
    pub(crate) fn note_unknown(&self, choice: &Choice, headers: &HeaderMap) {
        let state = &self.state;
        for name in unknown(headers) {
            let (name, first) = state.unknown.meet(name.as_str());
            state.metrics.meet_unknown(name);
            if first {
                let detail = format_args!("answer of {} to {}", choice.server, self.name);
                state.journal.record(Event::HeaderUnknown, name, detail);
            }
        }
    }
}
