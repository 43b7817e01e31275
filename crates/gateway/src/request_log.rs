//! What is logged and measured of one request.

use std::sync::Arc;

use parking_lot::Mutex;

use snipemast_core::prelude::*;
use snipemast_placement::Choice;

use crate::metrics::{Ended, Phase};
use crate::order::{OrderedRequest, WaitCount};
use crate::send::Job;
use crate::state::State;

/// Log lines that were left out because the log was full. They are logged if the request runs into
/// a problem.
#[derive(Debug, Default)]
pub(crate) struct UnloggedLines(Mutex<Vec<String>>);

/// A wait for a place. Dropping it ends and measures the wait.
#[derive(Debug)]
pub(crate) struct Wait {
    state: Arc<State>,
    since: Moment,
    ahead: usize,
    count: WaitCount,
}

/// The times of an answer as it is passed on.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AnswerTimes {
    first: Span,
    last: Moment,
    gap: Span,
}

impl Job {
    /// Returns how long ago the request arrived.
    pub(crate) fn age(&self) -> Span {
        self.state.clock.now().since(self.started)
    }

    /// Returns the request as it is ordered among others. `last` is the last event that its caller
    /// has got.
    pub(crate) fn ordered(&self, last: Option<u64>) -> OrderedRequest<'_> {
        OrderedRequest {
            service: &self.service,
            urgency: self.urgency(last),
            priority: self.class.priority,
        }
    }

    /// Records that the request begins to wait for a place.
    pub(crate) fn begin_wait(&self) -> Wait {
        let (state, order) = (&self.state, self.ordered(self.ask.last_event));
        let since = state.clock.now();
        let waiting = &state.waiting;
        Wait {
            state: Arc::clone(state),
            since,
            ahead: waiting.count_ahead(since, &self.service, order.urgency),
            count: state.metrics.order.begin_wait(order),
        }
    }

    /// Records that a server was chosen, perhaps after a wait. `last` is the last event that the
    /// caller has got.
    pub(crate) fn record_routed(
        &self,
        choice: &Choice,
        retry: bool,
        last: Option<u64>,
        wait: Option<&Wait>,
    ) {
        let (state, age, order) = (&self.state, self.age(), self.ordered(last));
        state.metrics.count_send(retry);
        state.metrics.order.count_placement(order);
        if choice.limited {
            state.metrics.count_limited_send(&choice.server);
        }
        if choice.leaving {
            state.metrics.count_leaving_send(&choice.server);
        }
        if !retry {
            state.metrics.observe(Phase::Placed, age);
        }
        let waited = wait.map_or_else(String::new, |wait| {
            format!(", waited {} behind {}", wait.span(), wait.ahead())
        });
        let detail = format!(
            "{} of {} by {}, version {}: {} in flight, told {} ago, {} passed at their limits, {} at rest; {age} after its arrival, {order}{waited}",
            choice.server,
            self.service,
            self.route.name,
            state.version(),
            choice.load,
            choice.load_age,
            choice.skipped_limited,
            choice.skipped_resting,
        );
        let journal = &state.journal;
        if !journal.record_routine(Event::RequestRouted, &self.name, &detail) {
            self.unlogged.0.lock().push(detail);
        }
    }

    /// Logs the lines that were left out, because the request ran into a problem.
    pub(crate) fn log_unlogged(&self) {
        for detail in self.unlogged.0.lock().drain(..) {
            let journal = &self.state.journal;
            journal.log_deferred(Event::RequestRouted, &self.name, detail);
        }
    }

    /// Logs a problem of this request.
    pub(crate) fn log_problem(&self, event: Event, detail: impl std::fmt::Display) {
        self.log_unlogged();
        self.state.journal.record(event, &self.name, detail);
    }

    /// Records that an answer begins.
    pub(crate) fn record_begun(&self) -> AnswerTimes {
        let first = self.age();
        self.state.metrics.observe(Phase::First, first);
        AnswerTimes {
            first,
            last: self.state.clock.now(),
            gap: Span::default(),
        }
    }

    /// Records that a server sent a piece of a stream.
    pub(crate) fn record_piece(&self, choice: &Choice, now: Moment) {
        let mut servers = self.state.servers.lock();
        servers.record_piece(now, &choice.server, choice.start);
    }

    /// Records the pause before a piece of a stream.
    pub(crate) fn record_pause(&self, choice: &Choice, pause: Span) {
        let Some(pause_target) = self.route.gap else {
            return;
        };
        let now = self.state.clock.now();
        let mut passes = self.state.passes.lock();
        if passes.record_pause(now, &choice.pool, pause, pause_target) {
            self.state.shortened.notify(usize::MAX);
        }
    }

    /// Records that an answer was passed on in full.
    pub(crate) fn record_delivered(&self, server: &ServerId, times: &AnswerTimes) {
        let (metrics, whole) = (&self.state.metrics, self.age());
        metrics.observe(Phase::Whole, whole);
        metrics.observe(Phase::Gap, times.gap);
        let slow = self.route.gap.is_some_and(|gap| times.gap > gap);
        let late = match (times.first > self.route.objective, slow) {
            (true, true) => Some("first and pause"),
            (true, false) => Some("first"),
            (false, true) => Some("pause"),
            (false, false) => None,
        };
        metrics.count_end(if late.is_some() {
            Ended::Late
        } else {
            Ended::OnTime
        });
        let (first, gap) = (times.first, times.gap);
        let detail =
            format!("{server}: first after {first}, longest pause {gap}, whole after {whole}");
        if let Some(late) = late {
            self.log_problem(Event::AnswerLate, format_args!("{detail}, late: {late}"));
        } else {
            let journal = &self.state.journal;
            journal.record_routine(Event::AnswerDelivered, &self.name, detail);
        }
    }
}

impl Wait {
    /// Returns how long the request has waited.
    fn span(&self) -> Span {
        self.state.clock.now().since(self.since)
    }

    /// Returns how many requests that were at least as urgent waited when this one began to.
    pub(crate) const fn ahead(&self) -> usize {
        self.ahead
    }
}

impl Drop for Wait {
    fn drop(&mut self) {
        self.count.observe(self.span());
    }
}

impl AnswerTimes {
    /// Records a piece of the answer. Returns the pause since the one before it.
    pub(crate) fn record_piece(&mut self, now: Moment) -> Span {
        let pause = now.since(self.last);
        self.gap = self.gap.max(pause);
        self.last = now;
        pause
    }
}
