//! A server's limit on the requests that it takes from all gateways together, as its answers name it.

use std::fmt;

use snipemast_core::data;
use snipemast_core::prelude::*;

data! {
    /// What one answer of a server tells of its limit, as a process passes it on.
    #[derive(Copy)]
    pub struct LimitEntry {
        /// Which start of the server answered.
        pub start: Incarnation,
        /// The limit; nothing where the answer names none.
        pub rate: Option<Rate>,
        /// How long ago the request was sent.
        pub sent: Span,
        /// How long ago the answer came.
        pub seen: Span,
    }
}

impl LimitEntry {
    /// A word as it is passed on at a moment.
    pub fn new(word: &LimitUpdate, now: Moment) -> Self {
        Self {
            start: word.start,
            rate: word.rate,
            sent: now.since(word.sent),
            seen: now.since(word.seen),
        }
    }

    /// The word, received at a moment.
    pub fn to_update(&self, now: Moment) -> LimitUpdate {
        LimitUpdate {
            start: self.start,
            rate: self.rate,
            sent: now - self.sent,
            seen: now - self.seen,
        }
    }
}

/// What one answer of a server tells of its limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitUpdate {
    /// Which start of the server answered.
    pub start: Incarnation,
    /// The limit; nothing where the answer names none.
    pub rate: Option<Rate>,
    /// When the request was sent: the answer was begun later.
    pub sent: Moment,
    /// When the answer came.
    pub seen: Moment,
}

impl LimitUpdate {
    /// Whether it tells another limit than a word of the same start, and takes its place.
    ///
    /// Failure guarded against: an answer that was begun before the server named a limit comes after the one that
    /// names it, and ends it. So a higher limit, or none, is taken only from an answer whose request was sent after
    /// the lower one was seen; a lower one holds at once, unless it is older than all of what is known.
    pub fn replaces(&self, known: &Self) -> bool {
        if self.is_below(known) {
            known.sent <= self.seen
        } else {
            self.rate != known.rate && self.sent > known.seen
        }
    }

    /// Takes note of another answer that tells the same.
    fn confirm(&mut self, other: &Self) {
        self.sent = self.sent.max(other.sent);
        self.seen = self.seen.max(other.seen);
    }

    fn is_below(&self, other: &Self) -> bool {
        match (self.rate, other.rate) {
            (Some(rate), Some(other)) => rate < other,
            (rate, other) => rate.is_some() && other.is_none(),
        }
    }
}

/// What is known of a server's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct KnownLimit {
    /// What was told last.
    pub(crate) word: LimitUpdate,
    /// Whether this start has named a limit at all.
    pub(crate) named: bool,
}

impl KnownLimit {
    /// What the first word of a start tells.
    pub(crate) fn new(word: LimitUpdate) -> Self {
        Self {
            word,
            named: word.rate.is_some(),
        }
    }

    /// Takes one more word of the same start; true where the limit is another one by it.
    pub(crate) fn take(&mut self, word: LimitUpdate) -> bool {
        let news = word.replaces(&self.word);
        if news {
            self.word = word;
            self.named = true;
        } else if word.rate == self.word.rate {
            self.word.confirm(&word);
        }
        news
    }
}

/// The log's line on a limit that is another one now, and where that was learnt.
pub fn limit_change_event(
    before: Option<Rate>,
    rate: Option<Rate>,
    source: impl fmt::Display,
) -> (Event, String) {
    let before = before.map_or_else(|| "none".to_owned(), |rate| rate.to_string());
    match rate {
        Some(rate) => {
            let detail = format!("{rate}, before: {before}; {source}");
            (Event::LimitNamed, detail)
        }
        None => (Event::LimitEnded, format!("before: {before}; {source}")),
    }
}
