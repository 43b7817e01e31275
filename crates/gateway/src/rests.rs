//! Rests that servers ask for in their answers, and servers that are leaving.

use snipemast_core::prelude::*;
use snipemast_placement::Choice;
use snipemast_platform::response::{ResponseHead, Rest};
use snipemast_registry::LeavingServer;

use crate::send::Job;
use crate::state::State;

impl Job {
    /// Records the rest that a server asks this host for.
    pub(crate) fn record_rest(&self, choice: &Choice, rest: &Rest) {
        let Some(span) = rest.span() else {
            return;
        };
        if let Rest::Unreadable(_, text) = rest {
            let detail = format_args!("{}: rest {text:?} can't be read", choice.server);
            self.log_problem(Event::AnswerFailed, detail);
        }
        let (state, server) = (&self.state, &choice.server);
        let now = state.clock.now();
        let mut servers = state.servers.lock();
        servers.record_rest(now, server, choice.start, span);
        drop(servers);
        state.metrics.count_rest(server);
        let detail = format_args!("for {span}, answer to {}", self.name);
        state.journal.record(Event::RestAsked, server, detail);
    }

    /// Whether a server asked for rest after it was chosen, while the request was waiting for a
    /// connection.
    pub(crate) fn is_resting_now(&self, choice: &Choice, now: Moment) -> bool {
        let servers = self.state.servers.lock();
        let resting = servers.is_resting(now, &choice.server, choice.start);
        drop(servers);
        if resting {
            let detail = format_args!("{} asked for rest meanwhile", choice.server);
            self.log_problem(Event::RequestRetried, detail);
        }
        resting
    }

    /// Records that a server accepted a request that was sent at `sent`.
    pub(crate) fn record_accepted(&self, choice: &Choice, sent: Moment) {
        let (state, server) = (&self.state, &choice.server);
        let mut servers = state.servers.lock();
        let first = servers.record_accepted(sent, server, choice.start);
        drop(servers);
        if first {
            let detail = format_args!("took {}", self.name);
            state.journal.record(Event::RestEnded, server, detail);
        }
    }

    /// Records that a server said that it is leaving.
    pub(crate) fn record_leaving(&self, choice: &Choice, reply: &ResponseHead) {
        if !reply.leaving {
            return;
        }
        let (state, server) = (&self.state, &choice.server);
        let now = state.clock.now();
        let is_new = state
            .registry
            .lock()
            .record_leaving(now, server, choice.start);
        if is_new {
            let mut servers = state.servers.lock();
            servers.record_leaving(now, server, choice.start);
            drop(servers);
            let detail = format_args!("answer to {}", self.name);
            state.journal.record(Event::LeavingTold, server, detail);
        }
    }
}

impl State {
    /// Returns the leaving servers that are reported to the leader.
    pub(crate) fn unreported_leaving(&self) -> Vec<LeavingServer> {
        let now = self.clock.now();
        self.registry.lock().unreported_leaving(now)
    }
}
