//! Which gateway may send the next requests to a server that names a limit.
//!
//! Answers the load of hundreds of gateways before a server that takes one request a second from all of
//! them: no equal share is ever a whole request. So the leader grants requests one by one to gateways that
//! ask for them, and a grant is used within a short time or lost.
//!
//! Whoever leads grants no more than a server's limit since it began to lead, and what another leader
//! granted before ends within its [`grant_lease`]. So a server gets in any span `t` at most what its limit allows in
//! `t` and a lease, and one account's savings, whoever leads when.

use std::collections::HashMap;

use snipemast_core::data;
use snipemast_core::prelude::*;

use crate::limit::LimitEntry;

/// How long a grant may be used after its gateway asked: two of the longest pauses between polls, and the time in which
/// the limit allows one more, as a gateway with few requests has none to send at once.
pub fn grant_lease(rate: Rate) -> Span {
    const POLLS: u64 = 1_000;
    const LONGEST: u64 = 4_000;
    let one = 1_000_000 / rate.as_millis().max(1);
    Span::from_millis((POLLS + one).min(LONGEST))
}

/// For how long an account saves what nobody asks for: the longest pause between two polls of a gateway.
const SAVED: Span = Span::from_millis(500);

/// How often one grant is to be used before the gateway takes another server.
const DUE: Span = Span::from_secs(1);

data! {
    /// What a gateway knows of a server's limit, and how many requests it would send there.
    pub struct Demand {
        /// The server.
        pub server: ServerId,
        /// Its limit.
        pub limit: LimitEntry,
        /// How many requests.
        pub count: u32,
    }

    /// How many requests a gateway may send to a server.
    pub struct Grant {
        /// The server.
        pub server: ServerId,
        /// Which start of it.
        pub start: Incarnation,
        /// How many.
        pub count: u32,
        /// Whether one is to be sent as soon as there is a request: nobody has been asked to for long.
        pub due: bool,
    }
}

/// What the leader has granted.
#[derive(Debug, Default)]
pub struct Grants {
    /// The term in which it was granted.
    term: Term,
    accounts: HashMap<ServerId, Account>,
}

/// What may be granted for one server.
#[derive(Debug)]
struct Account {
    start: Incarnation,
    rate: Rate,
    /// Requests that may be granted now.
    saved: f64,
    filled: Moment,
    /// When a grant is due again.
    due: Moment,
    granted: u64,
}

impl Grants {
    /// Grants what a gateway asks for, as far as limits allow; only for who leads for certain.
    ///
    /// `limit` tells a server's start and limit as the leader knows them.
    pub fn grant(
        &mut self,
        now: Moment,
        term: Term,
        demands: &[Demand],
        limit: impl Fn(&ServerId) -> Option<(Incarnation, Rate)>,
    ) -> Vec<Grant> {
        // What an earlier term saved may have been granted by another leader since.
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
            account.fill(now, rate);
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

    /// How many requests were granted for each server that names a limit now.
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
            filled: now,
            due: now,
            granted: 0,
        }
    }

    /// Saves what was allowed since the last time, and follows the limit.
    fn fill(&mut self, now: Moment, rate: Rate) {
        // The lower one of both holds for the time between: a new limit may be as old as that.
        let allowed = self.rate.min(rate).as_per_second() * now.since(self.filled).as_secs_f64();
        let most = (rate.as_per_second() * SAVED.as_secs_f64()).max(1.0);
        self.saved = (self.saved + allowed).min(most);
        self.filled = self.filled.max(now);
        self.rate = rate;
    }

    /// Takes as many as are asked and saved, and whether one is due; nothing where there is none.
    fn take(&mut self, now: Moment, asked: u32) -> Option<(u32, bool)> {
        // Sums of many small parts fall short of a whole by rounding.
        let whole = (self.saved + 1e-9) as u32;
        let count = whole.min(asked);
        if count == 0 {
            return None;
        }
        self.saved -= f64::from(count);
        self.granted += u64::from(count);
        let due = now >= self.due;
        if due {
            self.due = now + DUE;
        }
        Some((count, due))
    }
}
