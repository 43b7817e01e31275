//! Runs a dispatch on the backend server and stores its answer.

use std::future::Future;
use std::io;
use std::sync::Arc;

use async_channel::Receiver;
use futures_lite::{AsyncReadExt, FutureExt};

use snipemast_core::prelude::*;
use snipemast_servers::{Answer, EngineError};
use snipemast_wire::frame::{Failure, RefusalReason};
use snipemast_wire::{Call, Dispatch};

use super::Gate;

/// The most bytes that are read from the backend server at once.
const MAX_READ_BYTES: usize = 16 << 10;
/// The most bytes of an answer that no entry has read before reading from the backend server pauses.
const MAX_UNREAD_BYTES: u64 = 256 << 10;
/// How long a dispatch goes on while no entry reads its answer.
const ORPHAN_TIMEOUT: Span = Span::from_secs(10);
/// How often a wait checks whether it should go on.
const CHECK_INTERVAL: Span = Span::from_millis(100);

/// The work of one dispatch.
#[derive(Debug)]
pub(super) struct DispatchWork {
    gate: Arc<Gate>,
    id: DispatchId,
    request: RequestId,
    keyed: bool,
    suspect: bool,
    left: Span,
    wakeups: Receiver<()>,
    /// The restarts that the backend server had reported when the dispatch began.
    restarts: u32,
    /// The deaths of the backend server when the dispatch began.
    deaths: u64,
}

/// How a dispatch's work ended.
enum WorkOutcome {
    Finished,
    Failed(Failure),
    Refused(RefusalReason),
    /// The dispatch was stopped elsewhere, such as by a cancellation.
    Stopped,
}

impl DispatchWork {
    /// Creates the work of a dispatch that the ledger has accepted.
    pub(super) fn new(gate: Arc<Gate>, dispatch: &Dispatch, wakeups: Receiver<()>) -> Self {
        let restarts = gate.load().restarts;
        let deaths = gate.crashes.lock().deaths();
        Self {
            gate,
            restarts,
            deaths,
            id: dispatch.id.clone(),
            request: dispatch.request.clone(),
            keyed: dispatch.keyed,
            suspect: dispatch.suspect,
            left: dispatch.left,
            wakeups,
        }
    }

    /// Runs the dispatch to its end, and waits until its answer has been read or no reader comes.
    pub(super) async fn run(mut self, call: Call) {
        let clock = Clock::new();
        let end = clock.now() + self.left;
        let outcome = self.call_server(call, &clock, end).await;
        self.record_outcome(outcome);
        if self.suspect {
            self.gate.release_suspect(&self.id);
        }
        self.await_last_reader().await;
        self.gate.shards.remove_tasks(&self.id);
    }

    /// Calls the backend server and stores its answer.
    async fn call_server(&mut self, call: Call, clock: &Clock, end: Moment) -> WorkOutcome {
        let engine = self.gate.engine.clone();
        let id = self.id.clone();
        let called = async { Some(engine.call(&id, call).await) };
        let answer = match self.await_unless_stopped(called, clock, end).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(report)) => return self.classify_error(&report).await,
            Err(outcome) => return outcome,
        };
        self.store_answer(answer, clock, end).await
    }

    /// Reads an answer into the ledger.
    async fn store_answer(
        &mut self,
        mut answer: Answer,
        clock: &Clock,
        end: Moment,
    ) -> WorkOutcome {
        let (status, headers) = (answer.status(), answer.headers());
        let gate = Arc::clone(&self.gate);
        gate.crashes.lock().mark_alive();
        gate.shards
            .update(&self.id, |l| l.set_head(&self.id, status, headers));
        let mut buffer = vec![0; MAX_READ_BYTES];
        loop {
            let read = async { Some(answer.read(&mut buffer).await) };
            let count = match self.await_unless_stopped(read, clock, end).await {
                Ok(Ok(0)) => return WorkOutcome::Finished,
                Ok(Ok(count)) => count,
                Ok(Err(_)) => return WorkOutcome::Failed(self.diagnose_break().await),
                Err(outcome) => {
                    answer.abort();
                    return outcome;
                }
            };
            let piece = &buffer[..count];
            if !gate.shards.update(&self.id, |l| l.append(&self.id, piece)) {
                answer.abort();
                return WorkOutcome::Stopped;
            }
            if let Err(outcome) = self.wait_for_readers(clock, end).await {
                answer.abort();
                return outcome;
            }
        }
    }

    /// Waits for a future, but not past the deadline and not once the dispatch was stopped.
    async fn await_unless_stopped<T>(
        &self,
        work: impl Future<Output = Option<T>>,
        clock: &Clock,
        end: Moment,
    ) -> Result<T, WorkOutcome> {
        let late = async {
            smol::Timer::after(clock.now().until(end).as_duration()).await;
            None
        };
        let stopped = async {
            while self.gate.shards.is_running(&self.id) {
                // The channel lives as long as the dispatch; its end means the same.
                if self.wakeups.recv().await.is_err() {
                    break;
                }
            }
            None
        };
        match work.or(stopped).or(late).await {
            Some(done) => Ok(done),
            None if !self.gate.shards.is_running(&self.id) => Err(WorkOutcome::Stopped),
            None => Err(WorkOutcome::Failed(Failure::Late)),
        }
    }

    /// Waits while readers are too far behind.
    ///
    /// Failure guarded against: an entry is slow or silent, and an answer that it doesn't read grows in
    /// memory. Meanwhile reading from the backend server pauses, and a dispatch whose answer no entry
    /// comes for is stopped, so that no tokens are paid for that nobody reads.
    async fn wait_for_readers(&self, clock: &Clock, end: Moment) -> Result<(), WorkOutcome> {
        let mut alone = Span::default();
        loop {
            let readers = self.gate.shards.reader_progress(&self.id);
            if readers.unread <= MAX_UNREAD_BYTES || (self.keyed && !readers.present) {
                return Ok(());
            }
            if clock.now() >= end {
                return Err(WorkOutcome::Failed(Failure::Late));
            }
            if alone >= ORPHAN_TIMEOUT {
                return Err(WorkOutcome::Failed(Failure::Cancelled));
            }
            self.wait_step().await;
            if !self.gate.shards.is_running(&self.id) {
                return Err(WorkOutcome::Stopped);
            }
            alone = match readers.present {
                true => Span::default(),
                false => Span::from_micros(alone.as_micros() + CHECK_INTERVAL.as_micros()),
            };
        }
    }

    /// Waits for a wake-up, at most one check interval.
    async fn wait_step(&self) {
        let woken = async {
            // A closed channel counts as a wake-up.
            let _ = self.wakeups.recv().await;
        };
        let step = async {
            smol::Timer::after(CHECK_INTERVAL.as_duration()).await;
        };
        woken.or(step).await;
    }

    /// Returns the outcome of a call that got no answer.
    async fn classify_error(&mut self, report: &error_stack::Report<EngineError>) -> WorkOutcome {
        if refused_connection(report) {
            return WorkOutcome::Refused(RefusalReason::Unreachable);
        }
        WorkOutcome::Failed(self.diagnose_break().await)
    }

    /// Returns how the dispatch failed when its connection broke.
    async fn diagnose_break(&self) -> Failure {
        self.gate.diagnose_break(self.deaths, self.restarts).await
    }

    /// Records the outcome in the ledger and in the journal.
    fn record_outcome(&self, outcome: WorkOutcome) {
        let (gate, id) = (&self.gate, &self.id);
        match outcome {
            WorkOutcome::Finished => {
                let load = gate.load();
                gate.shards.update(id, |l| l.finish(id, load));
                gate.journal
                    .record(Event::DispatchFinished, &self.request, id);
            }
            WorkOutcome::Failed(reason) => {
                if let Failure::Died(_) = reason {
                    gate.journal.record(Event::ServerDied, &gate.process, id);
                }
                gate.shards.update(id, |l| l.fail(id, reason));
                gate.journal
                    .record(Event::DispatchFailed, &self.request, reason);
            }
            WorkOutcome::Refused(reason) => {
                gate.shards.update(id, |l| l.refuse(id, reason));
                gate.journal
                    .record(Event::DispatchRefused, &self.request, reason);
            }
            WorkOutcome::Stopped => {
                gate.journal
                    .record(Event::DispatchCancelled, &self.request, id)
            }
        }
    }

    /// Waits until a reader has reached the end of the answer, or no reader comes.
    async fn await_last_reader(&self) {
        let clock = Clock::new();
        let end = clock.now() + ORPHAN_TIMEOUT;
        loop {
            let readers = self.gate.shards.reader_progress(&self.id);
            if readers.ended || (!readers.present && clock.now() >= end) {
                return;
            }
            self.wait_step().await;
        }
    }
}

/// Whether the backend server refused the connection, so that the call certainly didn't reach it.
fn refused_connection(report: &error_stack::Report<EngineError>) -> bool {
    let source = report.downcast_ref::<trillium_client::Error>();
    matches!(source, Some(trillium_client::Error::Io(e)) if e.kind() == io::ErrorKind::ConnectionRefused)
}
