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
use snipemast_registry::{CrashExchange, CrashUpdate, StartState};
use snipemast_requests::crashes::EndedRun;
use snipemast_requests::{AttemptHash, Causes, CrashTable, CrashVerdict, Fingerprint};

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

/// How long a connection to a server stays open after others broke until the server counts as alive: longer than an
/// engine cleans up before it ends.
const ALIVE_TIME: Span = Span::from_millis(500);

/// How long an answer goes on after its first event until it counts as shown that the request doesn't crash
/// servers. Those that crash end theirs within a forward pass or two of beginning to write.
const SURVIVAL_TIME: Span = Span::from_millis(250);

/// What was seen of the beginning of a server's answer.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Beginning {
    /// When the first part came that can be passed on.
    shown: Option<Moment>,
    /// Whether it was recorded that the server went on.
    survived: bool,
}

impl Beginning {
    /// Records that a part came that can be passed on. Returns whether it is the first one.
    pub(crate) fn show(&mut self, now: Moment) -> bool {
        let is_first = self.shown.is_none();
        self.shown.get_or_insert(now);
        is_first
    }

    /// Returns when the answer will have gone on for long enough, if that is still to come.
    pub(crate) fn survival_due(&self) -> Option<Moment> {
        let shown = self.shown.filter(|_| !self.survived)?;
        Some(shown + SURVIVAL_TIME)
    }

    /// Whether the answer went on for long enough until a moment.
    fn went_on(&self, until: Moment) -> bool {
        let due = self.shown.map(|at| at + SURVIVAL_TIME);
        due.is_some_and(|due| due <= until)
    }

    /// Records that the server went on after the answer had begun.
    pub(crate) fn record_survival(&mut self, job: &Job) {
        let Some(shown) = self.shown else {
            return;
        };
        if !std::mem::replace(&mut self.survived, true) {
            job.record_survival(shown);
        }
    }
}

/// A run of a request whose connection broke.
#[derive(Debug, Clone)]
pub(crate) struct BrokenRun {
    /// What may have ended its server.
    pub(crate) causes: Causes,
    /// The parts of its prompt that other requests may share.
    pub(crate) parts: Vec<PartId>,
    /// The name of the request in logs.
    pub(crate) name: String,
    /// When the request arrived here.
    pub(crate) arrived: Moment,
    pub(crate) sent: Moment,
    /// What was seen of the beginning of its answer.
    pub(crate) beginning: Beginning,
    pub(crate) broke: Moment,
}

impl fmt::Display for BrokenRun {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let parts: Vec<&str> = self.parts.iter().map(PartId::as_str).collect();
        let after = self.broke.since(self.sent);
        let request = self.causes.request;
        write!(f, "{request} with the parts {}, ", parts.join(" "))?;
        write!(f, "broken {after} after it was sent, ")?;
        match self.beginning.shown {
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
    pub(crate) fn next_poll(&self, now: Moment, exchange: &CrashExchange) -> Option<CrashUpdate> {
        exchange.next_poll(now, &self.table.lock())
    }

    /// Returns the numbers of requests and of parts of prompts that may be sent to no server any more.
    pub(crate) fn quarantined(&self) -> (usize, usize) {
        let table = self.table.lock();
        let all = table.quarantined().count();
        let parts = table.quarantined().filter(|c| table.is_part(c)).count();
        (all - parts, parts)
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
        news: Option<CrashUpdate>,
    ) {
        let now = self.clock.now();
        let mut table = self.crashes.table.lock();
        let merged = exchange.handle_answer(now, epoch, &mut table, news);
        drop(table);
        for record in merged {
            self.log_verdict(&record.cause, format_args!("told by {controller}"));
        }
    }

    /// Logs what is known of a request or part whose record changed, and wakes requests that wait, because one of
    /// them may be quarantined now.
    fn log_verdict(&self, cause: &Fingerprint, source: impl fmt::Display) {
        self.crashes.changed.notify(usize::MAX);
        // Wakes requests in flight, which record whether they are copies of the request.
        self.recheck.notify(usize::MAX);
        let now = self.clock.now();
        let table = self.crashes.table.lock();
        let (verdict, record) = (table.verdict(cause), table.record(now, cause));
        drop(table);
        let Some(record) = record else {
            return;
        };
        let event = match verdict {
            CrashVerdict::Clear if record.survived.is_some() => Event::RequestCleared,
            CrashVerdict::Clear | CrashVerdict::Suspect | CrashVerdict::Undecided => {
                Event::RequestSuspected
            }
            CrashVerdict::Quarantined => Event::RequestQuarantined,
        };
        let detail = format_args!("{source}: {record}");
        self.journal.record(event, cause, detail);
    }
}

fn key(choice: &Choice) -> (ServerId, Incarnation) {
    (choice.server.clone(), choice.start)
}

impl Job {
    /// Returns the fingerprints of the request, which are the same each time that its caller sends it, and of the
    /// parts that it shares with others.
    pub(crate) fn causes(&self) -> &Causes {
        self.causes.get_or_init(|| {
            let host = self.headers.get(hyper::header::HOST);
            let host = host.and_then(|h| h.to_str().ok()).unwrap_or("");
            let place = format!("{}{}", host.to_ascii_lowercase(), self.uri);
            let workspace = self.workspace.as_deref().unwrap_or("");
            let method = self.method.as_str();
            let request = Fingerprint::for_request(workspace, method, &place, &self.body);
            let parts = self.ask.shared_parts.iter();
            let parts = parts.map(|part| Fingerprint::for_part(&self.service, part));
            Causes::new(request).with_parts(parts.collect())
        })
    }

    /// Returns whether the request may be sent to servers.
    pub(crate) fn crash_verdict(&self) -> CrashVerdict {
        let mut table = self.state.crashes.table.lock();
        if table.is_empty() {
            return CrashVerdict::Clear;
        }
        table.refresh(self.state.clock.now());
        table.verdict_for(self.causes())
    }

    /// Records that this attempt is under way, if servers ended under the request.
    pub(crate) fn record_copy(&self) {
        let mut table = self.state.crashes.table.lock();
        if table.is_empty() {
            return;
        }
        let (now, request) = (self.state.clock.now(), self.causes().request);
        let attempt = AttemptHash::new(&self.name);
        let changed = table.record_copy(now, &request, attempt, self.started);
        drop(table);
        if changed {
            let detail = format_args!("{} is under way here", self.name);
            self.state.log_verdict(&request, detail);
        }
    }

    /// Whether the request may be sent to no server any more.
    pub(crate) fn is_quarantined(&self) -> bool {
        self.crash_verdict() == CrashVerdict::Quarantined
    }

    /// Waits until the request may be sent to no server any more.
    pub(crate) async fn await_quarantine(&self) {
        self.await_verdict(|verdict| verdict == CrashVerdict::Quarantined)
            .await;
    }

    /// Waits until it is decided whether the request may be sent to servers.
    pub(crate) async fn await_decision(&self) {
        self.await_verdict(|verdict| verdict != CrashVerdict::Undecided)
            .await;
    }

    async fn await_verdict(&self, holds: impl Fn(CrashVerdict) -> bool) {
        loop {
            let changed = self.state.crashes.changed.listen();
            self.record_copy();
            if holds(self.crash_verdict()) {
                return;
            }
            let next = self.state.crashes.table.lock().next_change();
            let due = async {
                match next {
                    Some(at) => pause(self.state.clock.now().until(at)).await,
                    None => std::future::pending().await,
                }
            };
            futures_lite::future::or(changed, due).await;
        }
    }

    /// Returns what is known of the servers that ended under the request or a part of it, and how much longer that is
    /// remembered.
    pub(crate) fn describe_crashes(&self) -> (String, Span) {
        let (now, causes) = (self.state.clock.now(), self.causes());
        let table = self.state.crashes.table.lock();
        let cause = table.deciding_cause(causes);
        let record = table.record(now, &cause);
        let record = record.map_or_else(String::new, |record| record.to_string());
        let place = causes.parts.iter().position(|part| *part == cause);
        let part = place.and_then(|place| self.ask.shared_parts.get(place));
        let part = part.map_or_else(String::new, |part| format!("its part {part}, "));
        (
            format!("{part}{cause}: {record}"),
            table.time_left(now, &cause),
        )
    }

    /// Records that the request completed, so that it crashes no servers.
    pub(crate) fn record_complete(&self) {
        let (now, request) = (self.state.clock.now(), self.causes().request);
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

    /// Records that a server went on after an answer to the request had begun, so that no part of its prompt crashes
    /// servers.
    fn record_survival(&self, begun: Moment) {
        if self.ask.shared_parts.is_empty() {
            return;
        }
        let now = self.state.clock.now();
        let mut table = self.state.crashes.table.lock();
        let cleared = table.record_survival(now, self.causes(), begun);
        drop(table);
        for part in cleared {
            self.state.log_verdict(&part, "survived here");
        }
    }

    /// Records that the connection broke on which a request was sent to a server, and begins to find
    /// out whether that server ended.
    pub(crate) fn record_broken_run(&self, choice: &Choice, sent: Moment, beginning: Beginning) {
        let run = BrokenRun {
            causes: self.causes().clone(),
            parts: self.ask.shared_parts.clone(),
            name: self.name.clone(),
            arrived: self.started,
            sent,
            beginning,
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
    let ended = EndedRun {
        start: choice.start,
        attempt: AttemptHash::new(&run.name),
        arrived: run.arrived,
        sent: run.sent,
        ended: run.broke,
        went_on: run.beginning.went_on(run.broke),
    };
    let now = state.clock.now();
    let mut table = state.crashes.table.lock();
    let news = table.record_end(now, &run.causes, &choice.server, ended);
    drop(table);
    for cause in news {
        state.log_verdict(&cause, "seen here");
    }
}

/// Finds out why connections to a start of a server broke.
///
/// Whether the server may be sent requests tells nothing: the ranks of a group that isn't whole may
/// not, although they go on.
async fn find_cause(state: &State, choice: &Choice) -> BreakCause {
    for span in TRY_PAUSES {
        pause(span).await;
        let mut tried = connect(choice.address, CONNECT_TIMEOUT).await;
        if let Ok(accepted) = &tried {
            // A server may break its streams off some time before it ends.
            pause(ALIVE_TIME).await;
            if !accepted.is_ready() {
                tried = connect(choice.address, CONNECT_TIMEOUT).await;
            }
        }
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
