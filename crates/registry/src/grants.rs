//! Grants: which gateway may send the next requests to a server that names a limit.
//!
//! Hundreds of gateways may send to one server that accepts a single request per second from all of
//! them together, so no equal share of the limit is ever a whole request. The leader therefore
//! grants single requests to the gateways that ask for them. A grant that isn't used within a short
//! time is lost.
//!
//! A leader grants no more than a server's limit since it began to lead, and the grants of another
//! leader end within their [`grant_lease`]. In any span `t`, whoever leads, a server therefore gets
//! at most what its limit allows in `t` plus one lease, and the savings of one account.

use std::collections::HashMap;

use snipemast_core::data;
use snipemast_core::prelude::*;

use crate::limit::LimitEntry;

/// Returns how long a grant may be used after its gateway asked for it.
///
/// This is two of the longest pauses between polls, and the time in which the limit allows one more
/// request, because a gateway with few requests has none to send at once.
pub fn grant_lease(rate: Rate) -> Span {
    const POLL_MILLIS: u64 = 1_000;
    const MAX_MILLIS: u64 = 4_000;
    let one_request = 1_000_000 / rate.as_millis().max(1);
    Span::from_millis((POLL_MILLIS + one_request).min(MAX_MILLIS))
}

/// For how long an account saves requests that no gateway asks for: the longest pause between two
/// polls of a gateway.
const MAX_SAVING: Span = Span::from_millis(500);

/// How often one grant must be used before the gateway sends to another server.
const DUE_INTERVAL: Span = Span::from_secs(1);

data! {
    /// A gateway's view of a server's limit, and how many requests it would send there.
    pub struct Demand {
        /// The server.
        pub server: ServerId,
        /// The server's limit.
        pub limit: LimitEntry,
        /// The number of requests.
        pub count: u32,
    }

    /// How many requests a gateway may send to a server.
    pub struct Grant {
        /// The server.
        pub server: ServerId,
        /// The start of the server that the grant holds for.
        pub start: Incarnation,
        /// The number of requests.
        pub count: u32,
        /// Whether one request must be sent as soon as there is one, because no gateway has been
        /// asked to for a while.
        pub due: bool,
    }
}

/// The requests that the leader has granted.
#[derive(Debug, Default)]
pub struct Grants {
    /// The term in which they were granted.
    term: Term,
    accounts: HashMap<ServerId, Account>,
}

/// What may be granted for one server.
#[derive(Debug)]
struct Account {
    start: Incarnation,
    rate: Rate,
    /// The number of requests that may be granted now.
    saved: f64,
    /// When `saved` was last brought up to date.
    refilled: Moment,
    /// When the next grant is due.
    due: Moment,
    granted: u64,
}

impl Grants {
    /// Grants the requests that a gateway asks for, within the limits.
    ///
    /// Only a controller that is certain to be the leader may call this. `limit` returns a server's
    /// start and limit in the leader's table.
    pub fn grant(
        &mut self,
        now: Moment,
        term: Term,
        demands: &[Demand],
        limit: impl Fn(&ServerId) -> Option<(Incarnation, Rate)>,
    ) -> Vec<Grant> {
        // Another leader may have granted what was saved in an earlier term.
        if self.term != term {
            self.term = term;
            self.accounts.clear();
        }
        self.accounts
            .retain(|id, a| limit(id).is_some_and(|(start, _)| start == a.start));
        let grant = |demand: &Demand| {
            let (start, rate) = limit(&demand.server)?;
            let account = self.accounts.entry(demand.server.clone());
            let account = account.or_insert_with(|| Account::new(now, start, rate));
            account.refill(now, rate);
            let (count, due) = account.take(now, demand.count)?;
            Some(Grant {
                server: demand.server.clone(),
                start,
                count,
                due,
            })
        };
        demands.iter().filter_map(grant).collect()
    }

    /// Returns how many requests were granted for each server that currently names a limit.
    pub fn granted_counts(&self) -> impl Iterator<Item = (&ServerId, u64)> {
        self.accounts
            .iter()
            .map(|(id, account)| (id, account.granted))
    }
}

impl Account {
    fn new(now: Moment, start: Incarnation, rate: Rate) -> Self {
        Self {
            start,
            rate,
            saved: 0.0,
            refilled: now,
            due: now,
            granted: 0,
        }
    }

    /// Adds the requests that the limit allowed since the last call, and adopts the new limit.
    fn refill(&mut self, now: Moment, rate: Rate) {
        // The lower limit counts for the time in between, because the new one may have held
        // throughout it.
        let allowed = self.rate.min(rate).as_per_second() * now.since(self.refilled).as_secs_f64();
        let max_saved = (rate.as_per_second() * MAX_SAVING.as_secs_f64()).max(1.0);
        self.saved = (self.saved + allowed).min(max_saved);
        self.refilled = self.refilled.max(now);
        self.rate = rate;
    }

    /// Takes up to `asked` of the saved requests.
    ///
    /// Returns their number and whether one of them is due, or `None` if no request is saved.
    fn take(&mut self, now: Moment, asked: u32) -> Option<(u32, bool)> {
        // Due to rounding, the sum of many small parts falls short of a whole request.
        let whole = (self.saved + 1e-9) as u32;
        let count = whole.min(asked);
        if count == 0 {
            return None;
        }
        self.saved -= f64::from(count);
        self.granted += u64::from(count);
        let due = now >= self.due;
        if due {
            self.due = now + DUE_INTERVAL;
        }
        Some((count, due))
    }
}
