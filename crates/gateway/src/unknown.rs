//! Unknown headers in servers' answers.
//!
//! Servers may begin to ask for something in a header that this code does not know. Nothing would
//! follow it, so each such header is counted and logged.

use std::collections::BTreeSet;

use hyper::HeaderMap;
use parking_lot::Mutex;

use snipemast_core::prelude::*;
use snipemast_placement::Choice;
use snipemast_platform::response::unknown_headers;

use crate::send::Job;

/// The most headers that are told apart.
const MAX_HEADERS: usize = 32;

/// The name under which the other headers are counted.
const OTHERS: &str = "others";

/// The unknown headers that were seen so far.
#[derive(Debug, Default)]
pub(crate) struct UnknownHeaders {
    seen: Mutex<BTreeSet<String>>,
}

impl UnknownHeaders {
    /// Records a header. Returns the name under which it is counted, and whether that name is new.
    fn record<'a>(&self, name: &'a str) -> (&'a str, bool) {
        let mut seen = self.seen.lock();
        let name = if seen.len() < MAX_HEADERS || seen.contains(name) {
            name
        } else {
            OTHERS
        };
        (name, seen.insert(name.to_owned()))
    }
}

impl Job {
    /// Counts the unknown headers of an answer, and logs each name once.
    pub(crate) fn record_unknown_headers(&self, choice: &Choice, headers: &HeaderMap) {
        let state = &self.state;
        for name in unknown_headers(headers) {
            let (name, first) = state.unknown.record(name.as_str());
            state.metrics.count_unknown_header(name);
            if first {
                let detail = format_args!("answer of {} to {}", choice.server, self.name);
                state.journal.record(Event::HeaderUnknown, name, detail);
            }
        }
    }
}
