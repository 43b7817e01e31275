//! What answers say of the requests that their servers take.

use std::fmt;

use snipemast_core::prelude::*;
use snipemast_placement::Choice;
use snipemast_platform::response::Limit;
use snipemast_registry::LimitWord;

use crate::send::Job;
use crate::state::State;

impl Job {
    /// Takes note of the limit that an answer names, or of its end; the request was sent at a moment.
    pub(crate) fn note_limit(&self, choice: &Choice, limit: &Limit, sent: Moment) {
        let rate = match limit {
            Limit::Unnamed => None,
            Limit::Named(rate) => Some(*rate),
            Limit::Unreadable(text) => {
                let detail = format_args!("{}: limit {text} can't be read", choice.server);
                self.note_trouble(Event::AnswerFailed, detail);
                return;
            }
        };
        let seen = self.state.clock.now();
        let word = LimitWord {
            start: choice.start,
            rate,
            sent,
            seen,
        };
        let (state, server) = (&self.state, &choice.server);
        let mut registry = state.registry.lock();
        let before = registry.limit(server);
        if !registry.note_limit(server, word) {
            return;
        }
        drop(registry);
        let source = format_args!("answer to {}, sent {} ago", self.name, sent.until(seen));
        state.log_limit(server, before, rate, source);
    }
}

impl State {
    /// Logs that a server's limit is another one, and where that was learnt.
    pub(crate) fn log_limit(
        &self,
        server: &ServerId,
        before: Option<Rate>,
        rate: Option<Rate>,
        source: impl fmt::Display,
    ) {
        let before = before.map_or_else(|| "none".to_owned(), |rate| rate.to_string());
        match rate {
            Some(rate) => {
                let detail = format_args!("{rate}, before: {before}; {source}");
                self.journal.record(Event::LimitNamed, server, detail);
            }
            None => {
                let detail = format_args!("before: {before}; {source}");
                self.journal.record(Event::LimitEnded, server, detail);
            }
        }
    }
}
