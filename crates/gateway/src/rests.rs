//! The rest that servers ask for, and their leaving, as answers tell of them.

use snipemast_core::prelude::*;
use snipemast_placement::Choice;
use snipemast_platform::response::{Reply, Rest};
use snipemast_registry::LeavingServer;

use crate::send::Job;
use crate::state::State;

impl Job {
    /// Takes note of the rest that a server asks this host for.
    pub(crate) fn note_rest(&self, choice: &Choice, rest: &Rest) {
        let Some(span) = rest.span() else {
            return;
        };
        if let Rest::Unreadable(_, text) = rest {
            let detail = format_args!("{}: rest {text:?} can't be read", choice.server);
            self.note_trouble(Event::AnswerFailed, detail);
        }
        let (state, server) = (&self.state, &choice.server);
        let now = state.clock.now();
        let mut servers = state.servers.lock();
        servers.note_rest(now, server, choice.start, span);
        drop(servers);
        state.metrics.rest(server);
        let detail = format_args!("for {span}, answer to {}", self.name);
        state.journal.record(Event::RestAsked, server, detail);
    }

    /// Whether a server asked for rest after it was chosen, while the request was on its way to a connection.
    pub(crate) fn rests_since(&self, choice: &Choice, now: Moment) -> bool {
        let servers = self.state.servers.lock();
        let rests = servers.is_resting(now, &choice.server, choice.start);
        drop(servers);
        if rests {
            let detail = format_args!("{} asked for rest meanwhile", choice.server);
            self.note_trouble(Event::RequestRetried, detail);
        }
        rests
    }

    /// Takes note of a server that took a request that was sent at a moment.
    pub(crate) fn note_taken(&self, choice: &Choice, sent: Moment) {
        let (state, server) = (&self.state, &choice.server);
        let mut servers = state.servers.lock();
        let first = servers.note_taken(sent, server, choice.start);
        drop(servers);
        if first {
            let detail = format_args!("took {}", self.name);
            state.journal.record(Event::RestEnded, server, detail);
        }
    }

    /// Takes note of a server that says that it leaves.
    pub(crate) fn note_leaving(&self, choice: &Choice, reply: &Reply) {
        if !reply.leaving {
            return;
        }
        let (state, server) = (&self.state, &choice.server);
        let now = state.clock.now();
        let news = state
            .registry
            .lock()
            .record_leaving(now, server, choice.start);
        if news {
            let mut servers = state.servers.lock();
            servers.note_leaving(now, server, choice.start);
            drop(servers);
            let detail = format_args!("answer to {}", self.name);
            state.journal.record(Event::LeavingTold, server, detail);
        }
    }
}

impl State {
    /// What the leader is told of servers that leave.
    pub(crate) fn unspread_leaving(&self) -> Vec<LeavingServer> {
        let now = self.clock.now();
        self.registry.lock().unreported_leaving(now)
    }
}
