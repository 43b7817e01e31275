//! A server's limit on the requests that it takes from all gateways together, as its answers name it.

use snipemast_core::prelude::*;

/// What one answer of a server tells of its limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitWord {
    /// Which start of the server answered.
    pub start: Incarnation,
    /// The limit; nothing where the answer names none.
    pub rate: Option<Rate>,
    /// When the request was sent: the answer was begun later.
    pub sent: Moment,
    /// When the answer came.
    pub seen: Moment,
}

impl LimitWord {
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
    pub fn confirm(&mut self, other: &Self) {
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
