//! What is logged of one request, so that its way can be told afterwards.

use parking_lot::Mutex;

use snipemast_core::prelude::*;
use snipemast_placement::Choice;

use crate::metrics::{Ended, Phase};
use crate::send::Job;

/// Lines that were left out of a full log, in case the request comes to grief.
#[derive(Debug, Default)]
pub(crate) struct Unsaid(Mutex<Vec<String>>);

/// The times of an answer as it is passed on.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Pace {
    first: Span,
    last: Moment,
    gap: Span,
}

impl Job {
    /// How long ago the request arrived.
    pub(crate) fn age(&self) -> Span {
        self.state.clock.now().since(self.started)
    }

    /// A server was chosen.
    pub(crate) fn note_routed(&self, choice: &Choice, repeat: bool) {
        let (state, age) = (&self.state, self.age());
        state.metrics.send(repeat);
        if choice.limited {
            state.metrics.send_limited(&choice.server);
        }
        if choice.leaving {
            state.metrics.send_leaving(&choice.server);
        }
        if !repeat {
            state.metrics.took(Phase::Placed, age);
        }
        let detail = format!(
            "{} of {} by {}, version {}: {} in flight, told {} ago, {} passed at their limits, {} at rest; {age} after its arrival",
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
            self.unsaid.0.lock().push(detail);
        }
    }

    /// The request came to grief: what was left out of the log about it is said now.
    pub(crate) fn say(&self) {
        for detail in self.unsaid.0.lock().drain(..) {
            let journal = &self.state.journal;
            journal.log_after(Event::RequestRouted, &self.name, detail);
        }
    }

    /// A trouble with this request.
    pub(crate) fn note_trouble(&self, event: Event, detail: impl std::fmt::Display) {
        self.say();
        self.state.journal.record(event, &self.name, detail);
    }

    /// An answer begins.
    pub(crate) fn note_begun(&self) -> Pace {
        let first = self.age();
        self.state.metrics.took(Phase::First, first);
        Pace {
            first,
            last: self.state.clock.now(),
            gap: Span::default(),
        }
    }

    /// A piece of a stream came from a server.
    pub(crate) fn record_piece(&self, choice: &Choice, now: Moment) {
        let mut servers = self.state.servers.lock();
        servers.record_piece(now, &choice.server, choice.start);
    }

    /// A piece of a stream came after a pause.
    pub(crate) fn note_pause(&self, choice: &Choice, pause: Span) {
        let Some(pause_target) = self.route.gap else {
            return;
        };
        let now = self.state.clock.now();
        let mut passes = self.state.passes.lock();
        if passes.record_pause(now, &choice.pool, pause, pause_target) {
            self.state.shortened.notify(usize::MAX);
        }
    }

    /// An answer was passed on in whole.
    pub(crate) fn note_delivered(&self, server: &ServerId, pace: &Pace) {
        let (metrics, whole) = (&self.state.metrics, self.age());
        metrics.took(Phase::Whole, whole);
        metrics.took(Phase::Gap, pace.gap);
        let slow = self.route.gap.is_some_and(|gap| pace.gap > gap);
        let late = match (pace.first > self.route.objective, slow) {
            (true, true) => Some("first and pause"),
            (true, false) => Some("first"),
            (false, true) => Some("pause"),
            (false, false) => None,
        };
        metrics.end(if late.is_some() {
            Ended::Late
        } else {
            Ended::OnTime
        });
        let (first, gap) = (pace.first, pace.gap);
        let detail =
            format!("{server}: first after {first}, longest pause {gap}, whole after {whole}");
        if let Some(late) = late {
            self.note_trouble(Event::AnswerLate, format_args!("{detail}, late: {late}"));
        } else {
            let journal = &self.state.journal;
            journal.record_routine(Event::AnswerDelivered, &self.name, detail);
        }
    }
}

impl Pace {
    /// A piece of the answer came; how long after the one before it.
    pub(crate) fn piece(&mut self, now: Moment) -> Span {
        let pause = now.since(self.last);
        self.gap = self.gap.max(pause);
        self.last = now;
        pause
    }
}
