//! Requests that crash servers: finds out whether servers ended under requests, and keeps such
//! requests from further servers.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use error_stack::Report;
use event_listener::Event as Signal;
use parking_lot::Mutex;

use snipemast_core::prelude::*;
use snipemast_net::connect::ConnectFailure;
use snipemast_net::exec::{pause, spawn};
use snipemast_net::{connect, ConnectError};
use snipemast_placement::Choice;
use snipemast_registry::{CrashExchange, CrashNews, StartState};
use snipemast_requests::crashes::RunTimes;
use snipemast_requests::{CrashTable, CrashVerdict, Fingerprint};

use crate::metrics::BreakCause;
use crate::send::{Job, CONNECT_TIMEOUT};
use crate::state::State;

/// The pauses before each connection that is tried to a server after others to it broke. Together
/// they last longer than a crashed server takes to start again.
const TRY_PAUSES: [Span; 6] = [
    Span::from_millis(0),
    Span::from_millis(100),
    Span::from_millis(400),
    Span::from_millis(1_000),
    Span::from_millis(2_000),
    Span::from_millis(4_000),
];

/// A run of a request whose connection broke.
#[derive(Debug, Clone)]
pub(crate) struct BrokenRun {
    pub(crate) request: Fingerprint,
    /// The parts of its prompt that other requests may share.
    pub(crate) parts: Vec<PartId>,
    /// The name of the request in logs.
    pub(crate) name: String,
    pub(crate) sent: Moment,
    /// When the first part of its answer came, if one did.
    pub(crate) shown: Option<Moment>,
    pub(crate) broke: Moment,
}

impl fmt::Display for BrokenRun {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let parts: Vec<&str> = self.parts.iter().map(PartId::as_str).collect();
        let after = self.broke.since(self.sent);
        write!(f, "{} with the parts {}, ", self.request, parts.join(" "))?;
        write!(f, "broken {after} after it was sent, ")?;
        match self.shown {
            Some(at) => write!(f, "{} after its first event", self.broke.since(at)),
            None => f.write_str("without an event"),
        }
    }
}

/// The broken runs whose cause is not known yet, by the start of their server.
#[derive(Debug, Default)]
pub(crate) struct BrokenRuns(Mutex<HashMap<(ServerId, Incarnation), Vec<BrokenRun>>>);

impl BrokenRuns {
    /// Adds a run. Returns whether it is the first one of this start.
    fn add(&self, choice: &Choice, run: BrokenRun) -> bool {
        let mut runs = self.0.lock();
        let runs = runs.entry(key(choice)).or_default();
        runs.push(run);
        runs.len() == 1
    }

    /// Removes and returns the runs of a start.
    fn take(&self, choice: &Choice) -> Vec<BrokenRun> {
        self.0.lock().remove(&key(choice)).unwrap_or_default()
    }
}

/// The requests whose servers ended.
#[derive(Debug, Default)]
pub(crate) struct Crashes {
    table: Mutex<CrashTable>,
    /// Wakes requests that wait, because one of them may be quarantined now.
    changed: Signal,
}

impl Crashes {
    /// Returns what the next poll tells a controller.
    pub(crate) fn next_poll(&self, now: Moment, exchange: &CrashExchange) -> Option<CrashNews> {
        exchange.next_poll(now, &self.table.lock())
    }

    /// Returns the number of requests that may be sent to no server any more.
    pub(crate) fn quarantined(&self) -> usize {
        self.table.lock().quarantined().count()
    }

    /// Forgets requests whose servers ended long ago.
    pub(crate) fn forget(&self, now: Moment) {
        self.table.lock().forget(now);
    }
}

impl State {
    /// Merges what a controller's answer told of requests whose servers ended. `epoch` is that of the
    /// controller's table.
    pub(crate) fn merge_crashes(
        &self,
        controller: SocketAddr,
        exchange: &mut CrashExchange,
        epoch: u64,
        news: Option<CrashNews>,
    ) {
        let now = self.clock.now();
        let mut table = self.crashes.table.lock();
        let merged = exchange.handle_answer(now, epoch, &mut table, news);
        drop(table);
        for record in merged {
            self.log_verdict(&record.request, format_args!("told by {controller}"));
        }
    }

    /// Logs what is known of a request whose record changed, and wakes requests that wait if it is
    /// quarantined.
    fn log_verdict(&self, request: &Fingerprint, source: impl fmt::Display) {
        let now = self.clock.now();
        let table = self.crashes.table.lock();
        let (verdict, record) = (table.verdict(request), table.record(now, request));
        drop(table);
        let Some(record) = record else {
            return;
        };
        let event = match verdict {
            CrashVerdict::Clear if record.completed.is_some() => Event::RequestCleared,
            CrashVerdict::Clear | CrashVerdict::Suspect => Event::RequestSuspected,
            CrashVerdict::Quarantined => Event::RequestQuarantined,
        };
        let detail = format_args!("{source}: {record}");
        self.journal.record(event, request, detail);
        if verdict == CrashVerdict::Quarantined {
            self.crashes.changed.notify(usize::MAX);
        }
    }
}

fn key(choice: &Choice) -> (ServerId, Incarnation) {
    (choice.server.clone(), choice.start)
}

impl Job {
    /// Returns the fingerprint of the request, which is the same each time that its caller sends it.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| {
            let host = self.headers.get(hyper::header::HOST);
            let host = host.and_then(|h| h.to_str().ok()).unwrap_or("");
            let place = format!("{}{}", host.to_ascii_lowercase(), self.uri);
            let workspace = self.workspace.as_deref().unwrap_or("");
            Fingerprint::for_request(workspace, self.method.as_str(), &place, &self.body)
        })
    }

    /// Returns whether the request may be sent to servers.
    pub(crate) fn crash_verdict(&self) -> CrashVerdict {
        let table = self.state.crashes.table.lock();
        if table.is_empty() {
            return CrashVerdict::Clear;
        }
        table.verdict(&self.fingerprint())
    }

    /// Whether the request may be sent to no server any more.
    pub(crate) fn is_quarantined(&self) -> bool {
        self.crash_verdict() == CrashVerdict::Quarantined
    }

    /// Waits until the request may be sent to no server any more.
    pub(crate) async fn await_quarantine(&self) {
        loop {
            let changed = self.state.crashes.changed.listen();
            if self.is_quarantined() {
                return;
            }
            changed.await;
        }
    }

    /// Returns what is known of the request's ended servers, and how much longer that is remembered.
    pub(crate) fn describe_crashes(&self) -> (String, Span) {
        let (now, request) = (self.state.clock.now(), self.fingerprint());
        let table = self.state.crashes.table.lock();
        let record = table.record(now, &request);
        let record = record.map_or_else(String::new, |record| record.to_string());
        (
            format!("{request}: {record}"),
            table.time_left(now, &request),
        )
    }

    /// Records that the request completed, so that it crashes no servers.
    pub(crate) fn record_complete(&self) {
        let (now, request) = (self.state.clock.now(), self.fingerprint());
        let cleared = self
            .state
            .crashes
            .table
            .lock()
            .record_completion(now, request);
        if cleared {
            self.state.log_verdict(&request, "completed here");
        }
    }

    /// Records that the connection broke on which a request was sent to a server, and begins to find
    /// out whether that server ended.
    pub(crate) fn record_broken_run(&self, choice: &Choice, sent: Moment, shown: Option<Moment>) {
        let run = BrokenRun {
            request: self.fingerprint(),
            parts: self.ask.shared_parts.clone(),
            name: self.name.clone(),
            sent,
            shown,
            broke: self.state.clock.now(),
        };
        if self.state.broken_runs.add(choice, run) {
            let (state, choice) = (Arc::clone(&self.state), choice.clone());
            spawn(async move { judge(&state, &choice).await }).detach();
        }
    }
}

/// Finds out why connections to a start of a server broke, and records it.
async fn judge(state: &State, choice: &Choice) {
    let begun = state.clock.now();
    let cause = find_cause(state, choice).await;
    let runs = state.broken_runs.take(choice);
    state.metrics.count_break(cause);
    let took = state.clock.now().since(begun);
    let detail = format_args!("{cause:?}, known {took} after {} broken runs", runs.len());
    let event = match cause {
        BreakCause::Ended => Event::ServerDied,
        _ => Event::BreakExplained,
    };
    state.journal.record(event, &choice.server, detail);
    if cause == BreakCause::Ended {
        for run in runs {
            record_crash(state, choice, &run);
        }
    }
}

/// Records that a server ended under a run of a request.
fn record_crash(state: &State, choice: &Choice, run: &BrokenRun) {
    let detail = format_args!("at {}, which ended: {run}", choice.server);
    let journal = &state.journal;
    journal.record(Event::RequestSuspected, &run.name, detail);
    let times = RunTimes {
        sent: run.sent,
        ended: run.broke,
    };
    let mut table = state.crashes.table.lock();
    let is_news = table.record_end(run.request, &choice.server, choice.start, times);
    drop(table);
    if is_news {
        state.log_verdict(&run.request, "seen here");
    }
}

/// Finds out why connections to a start of a server broke.
///
/// Whether the server may be sent requests tells nothing: the ranks of a group that isn't whole may
/// not, although they go on.
async fn find_cause(state: &State, choice: &Choice) -> BreakCause {
    for span in TRY_PAUSES {
        pause(span).await;
        let tried = connect(choice.address, CONNECT_TIMEOUT).await;
        let refused = tried.as_ref().is_err_and(is_refused);
        let registry = state.registry.lock();
        match registry.start_state(&choice.server, choice.start) {
            StartState::Leaving => return BreakCause::Leaving,
            StartState::Replaced => return BreakCause::Ended,
            StartState::Current if tried.is_ok() => return BreakCause::Alive,
            StartState::Current if refused => return BreakCause::Ended,
            StartState::Current => {}
        }
    }
    BreakCause::Unknown
}

fn is_refused(report: &Report<ConnectError>) -> bool {
    report.current_context().failure == ConnectFailure::Refused
}
