//! Rate limits that servers name in their answers, the demand that is reported to the leader, and
//! the leader's grants.

use std::fmt;

use snipemast_core::prelude::*;
use snipemast_placement::allowances::GrantLease;
use snipemast_placement::Choice;
use snipemast_platform::response::Limit;
use snipemast_registry::grants::grant_lease;
use snipemast_registry::limit::limit_change_event;
use snipemast_registry::{Demand, Grant, LimitEntry, LimitUpdate, Table};

use crate::send::Job;
use crate::state::State;

/// The lowest limit that is applied. With a lower one, the end of the limit would hardly be
/// noticed, and this rate is within what servers tolerate beyond their limits.
const MIN_LIMIT: Rate = Rate::from_millis(250);

/// How long the end of a limit is reported: some polls of the leader, and an election.
const END_REPORT_TIME: Span = Span::from_secs(10);

impl Job {
    /// Records the limit that an answer names, or its end. `sent` is when the request was sent.
    pub(crate) fn record_limit(&self, choice: &Choice, limit: &Limit, sent: Moment) {
        let rate = match limit {
            Limit::Unnamed => None,
            Limit::Named(rate) => Some(MIN_LIMIT.max(*rate)),
            Limit::Unreadable(text) => {
                let detail = format_args!("{}: limit {text} can't be read", choice.server);
                self.log_problem(Event::AnswerFailed, detail);
                return;
            }
        };
        let (state, server) = (&self.state, &choice.server);
        let now = state.clock.now();
        let update = LimitUpdate {
            start: choice.start,
            rate,
            sent,
            seen: now,
        };
        let mut registry = state.registry.lock();
        let before = registry.limit(server);
        if !registry.record_limit(server, update) {
            return;
        }
        let limits = named_limits(&registry);
        drop(registry);
        state.servers.lock().set_limits(now, limits);
        let source = format_args!("answer to {}, sent {} ago", self.name, sent.until(now));
        state.log_limit(server, before, rate, source);
    }
}

/// Returns the limits that servers name.
pub(crate) fn named_limits(registry: &Table) -> Vec<(ServerId, Rate)> {
    let named = registry.limits();
    let named = named.filter_map(|(id, update)| Some((id.clone(), update.rate?)));
    named.collect()
}

impl State {
    /// Returns the limits and the demand that are reported to the leader.
    pub(crate) fn limit_demands(&self) -> Vec<Demand> {
        let now = self.clock.now();
        let registry = self.registry.lock();
        let is_reported =
            |update: &LimitUpdate| update.rate.is_some() || now < update.seen + END_REPORT_TIME;
        let limits = registry.limits().filter(|(_, update)| is_reported(update));
        let mut demands: Vec<Demand> = limits
            .map(|(server, update)| Demand {
                server: server.clone(),
                limit: LimitEntry::new(update, now),
                count: 0,
            })
            .collect();
        drop(registry);
        let mut servers = self.servers.lock();
        for demand in &mut demands {
            demand.count = servers.demand(now, &demand.server);
        }
        demands
    }

    /// Applies the grants of the leader, which were asked for at `asked`.
    pub(crate) fn apply_grants(&self, asked: Moment, grants: Vec<Grant>) {
        let now = self.clock.now();
        let registry = self.registry.lock();
        let granted = grants.into_iter().filter_map(|grant| {
            let known = registry.get(&grant.server)?;
            if known.announcement.start != grant.start {
                return None;
            }
            let rate = registry.limit(&grant.server)?;
            let granted = GrantLease {
                count: grant.count,
                due: grant.due,
                until: asked + grant_lease(rate),
            };
            Some((grant.server, granted))
        });
        let granted: Vec<(ServerId, GrantLease)> = granted.collect();
        drop(registry);
        for (server, granted) in &granted {
            self.metrics.count_grant(server, granted.count);
        }
        self.servers.lock().add_grants(now, granted.into_iter());
    }

    /// Logs that a server's limit changed, and where this was learned.
    pub(crate) fn log_limit(
        &self,
        server: &ServerId,
        before: Option<Rate>,
        rate: Option<Rate>,
        source: impl fmt::Display,
    ) {
        let (event, detail) = limit_change_event(before, rate, source);
        self.journal.record(event, server, detail);
    }
}
