//! Limits that servers name: what answers tell of them, and what is told of that to the leader.

use std::fmt;

use snipemast_core::prelude::*;
use snipemast_placement::allowances::Granted;
use snipemast_placement::Choice;
use snipemast_platform::response::Limit;
use snipemast_registry::grants::grant_lease;
use snipemast_registry::limit::limit_change_event;
use snipemast_registry::{Demand, Grant, LimitEntry, LimitUpdate, Table};

use crate::send::Job;
use crate::state::State;

/// The lowest limit that is kept to: the end of a lower one would hardly show, and it is within what servers bear
/// beyond their limits.
const LEAST: Rate = Rate::from_millis(250);

/// How long the end of a limit is told: some polls of the leader, and an election.
const TOLD: Span = Span::from_secs(10);

impl Job {
    /// Takes note of the limit that an answer names, or of its end; the request was sent at a moment.
    pub(crate) fn note_limit(&self, choice: &Choice, limit: &Limit, sent: Moment) {
        let rate = match limit {
            Limit::Unnamed => None,
            Limit::Named(rate) => Some(LEAST.max(*rate)),
            Limit::Unreadable(text) => {
                let detail = format_args!("{}: limit {text} can't be read", choice.server);
                self.note_trouble(Event::AnswerFailed, detail);
                return;
            }
        };
        let (state, server) = (&self.state, &choice.server);
        let now = state.clock.now();
        let word = LimitUpdate {
            start: choice.start,
            rate,
            sent,
            seen: now,
        };
        let mut registry = state.registry.lock();
        let before = registry.limit(server);
        if !registry.record_limit(server, word) {
            return;
        }
        let limits = limits(&registry);
        drop(registry);
        state.servers.lock().set_limits(now, limits);
        let source = format_args!("answer to {}, sent {} ago", self.name, sent.until(now));
        state.log_limit(server, before, rate, source);
    }
}

/// The limits that servers name.
pub(crate) fn limits(registry: &Table) -> Vec<(ServerId, Rate)> {
    let named = registry.limits();
    let named = named.filter_map(|(id, word)| Some((id.clone(), word.rate?)));
    named.collect()
}

impl State {
    /// What the leader is told of limits, and asked for.
    pub(crate) fn demands(&self) -> Vec<Demand> {
        let now = self.clock.now();
        let registry = self.registry.lock();
        let told = |word: &LimitUpdate| word.rate.is_some() || now < word.seen + TOLD;
        let limits = registry.limits().filter(|(_, word)| told(word));
        let mut demands: Vec<Demand> = limits
            .map(|(server, word)| Demand {
                server: server.clone(),
                limit: LimitEntry::new(word, now),
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

    /// Takes what the leader grants, which was asked for at a moment.
    pub(crate) fn take_grants(&self, asked: Moment, grants: Vec<Grant>) {
        let now = self.clock.now();
        let registry = self.registry.lock();
        let granted = grants.into_iter().filter_map(|grant| {
            let known = registry.get(&grant.server)?;
            if known.announcement.start != grant.start {
                return None;
            }
            let rate = registry.limit(&grant.server)?;
            let granted = Granted {
                count: grant.count,
                due: grant.due,
                until: asked + grant_lease(rate),
            };
            Some((grant.server, granted))
        });
        let granted: Vec<(ServerId, Granted)> = granted.collect();
        drop(registry);
        for (server, granted) in &granted {
            self.metrics.grant(server, granted.count);
        }
        self.servers.lock().set_grants(now, granted.into_iter());
    }

    /// Logs that a server's limit is another one, and where that was learnt.
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
