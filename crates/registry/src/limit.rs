//! A server's limit on the requests that it accepts from all gateways together, as its answers name
//! it.

use std::fmt;

use snipemast_core::data;
use snipemast_core::prelude::*;

data! {
    /// The limit that one answer of a server names, with ages instead of moments so that
    /// processes can exchange it.
    #[derive(Copy)]
    pub struct LimitEntry {
        /// The start of the server that answered.
        pub start: Incarnation,
        /// The limit, or `None` if the answer names none.
        pub rate: Option<Rate>,
        /// How long ago the request was sent.
        pub sent: Span,
        /// How long ago the answer arrived.
        pub seen: Span,
    }
}

impl LimitEntry {
    /// Converts an update to the form in which it is passed on at a moment.
    pub fn new(update: &LimitUpdate, now: Moment) -> Self {
        Self {
            start: update.start,
            rate: update.rate,
            sent: now.since(update.sent),
            seen: now.since(update.seen),
        }
    }

    /// Converts the entry back to the update, for an entry that was received at a moment.
    pub fn to_update(&self, now: Moment) -> LimitUpdate {
        LimitUpdate {
            start: self.start,
            rate: self.rate,
            sent: now - self.sent,
            seen: now - self.seen,
        }
    }
}

/// The limit that one answer of a server names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitUpdate {
    /// The start of the server that answered.
    pub start: Incarnation,
    /// The limit, or `None` if the answer names none.
    pub rate: Option<Rate>,
    /// When the request was sent; the server began the answer later than this.
    pub sent: Moment,
    /// When the answer arrived.
    pub seen: Moment,
}

impl LimitUpdate {
    /// Whether this update names another limit than a known one of the same start, and replaces it.
    ///
    /// Failure guarded against: an answer that was begun before the server named a limit arrives
    /// after the answer that names it, and ends the limit. A higher limit, or none, therefore
    /// counts only if the request of its answer was sent after the lower limit was seen. A lower
    /// limit holds at once, unless it is older than everything that is known.
    pub fn replaces(&self, known: &Self) -> bool {
        if self.is_below(known) {
            known.sent <= self.seen
        } else {
            self.rate != known.rate && self.sent > known.seen
        }
    }

    /// Adopts the later moments of another answer that names the same limit.
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
    /// The update that holds.
    pub(crate) update: LimitUpdate,
    /// Whether this start has ever named a limit.
    pub(crate) named: bool,
}

impl KnownLimit {
    /// Creates the limit from the first update of a start.
    pub(crate) fn new(update: LimitUpdate) -> Self {
        Self {
            update,
            named: update.rate.is_some(),
        }
    }

    /// Applies a further update of the same start; returns whether the limit changed.
    pub(crate) fn apply(&mut self, update: LimitUpdate) -> bool {
        let changed = update.replaces(&self.update);
        if changed {
            self.update = update;
            self.named = true;
        } else if update.rate == self.update.rate {
            self.update.confirm(&update);
        }
        changed
    }
}

/// Returns the event and its detail for a limit that changed, with the source of the change.
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
