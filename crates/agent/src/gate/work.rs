//! Runs a dispatch on the backend server and keeps its answer.

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

/// The largest piece that is read from the backend server at once.
const PIECE: usize = 16 << 10;
/// Bytes that no entry has read before the backend server's answer is not read on.
const WINDOW: u64 = 256 << 10;
/// How long an answer is kept going that no entry reads.
const ORPHAN: Span = Span::from_secs(10);
/// How often a wait looks whether it should go on.
const STEP: Span = Span::from_millis(100);

/// One dispatch at work.
#[derive(Debug)]
pub(super) struct Work {
    gate: Arc<Gate>,
    id: DispatchId,
    request: RequestId,
    keyed: bool,
    suspect: bool,
    left: Span,
    ring: Receiver<()>,
    restarts: u32,
    life: u64,
}

/// How a dispatch's work ended.
enum Ended {
    Finished,
    Failed(Failure),
    Refused(RefusalReason),
    /// Someone else ended it.
    Stopped,
}

impl Work {
    /// The work at a dispatch that the ledger took.
    pub(super) fn new(gate: Arc<Gate>, dispatch: &Dispatch, ring: Receiver<()>) -> Self {
        let restarts = gate.load().restarts;
        let life = gate.crashes.lock().life();
        Self {
            gate,
            restarts,
            life,
            id: dispatch.id.clone(),
            request: dispatch.request.clone(),
            keyed: dispatch.keyed,
            suspect: dispatch.suspect,
            left: dispatch.left,
            ring,
        }
    }

    /// Runs it to its end, and stays until its answer has been read or nobody comes for it.
    pub(super) async fn run(mut self, call: Call) {
        let clock = Clock::new();
        let end = clock.now() + self.left;
        let ended = self.perform(call, &clock, end).await;
        self.conclude(ended);
        if self.suspect {
            self.gate.free_suspect(&self.id);
        }
        self.linger().await;
        self.gate.shards.leave(&self.id);
    }

    async fn perform(&mut self, call: Call, clock: &Clock, end: Moment) -> Ended {
        let engine = self.gate.engine.clone();
        let id = self.id.clone();
        let called = async { Some(engine.call(&id, call).await) };
        let answer = match self.unless_stopped(called, clock, end).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(report)) => return self.unanswered(&report).await,
            Err(ended) => return ended,
        };
        self.keep(answer, clock, end).await
    }

    async fn keep(&mut self, mut answer: Answer, clock: &Clock, end: Moment) -> Ended {
        let (status, headers) = (answer.status(), answer.headers());
        let gate = Arc::clone(&self.gate);
        gate.crashes.lock().up();
        gate.shards
            .change(&self.id, |l| l.set_head(&self.id, status, headers));
        let mut buffer = vec![0; PIECE];
        loop {
            let read = async { Some(answer.read(&mut buffer).await) };
            let count = match self.unless_stopped(read, clock, end).await {
                Ok(Ok(0)) => return Ended::Finished,
                Ok(Ok(count)) => count,
                Ok(Err(_)) => return Ended::Failed(self.broken().await),
                Err(ended) => {
                    answer.abort();
                    return ended;
                }
            };
            let piece = &buffer[..count];
            if !gate.shards.change(&self.id, |l| l.append(&self.id, piece)) {
                answer.abort();
                return Ended::Stopped;
            }
            if let Err(ended) = self.make_room(clock, end).await {
                answer.abort();
                return ended;
            }
        }
    }

    /// Waits for work, but not past the deadline and not for work that was stopped.
    async fn unless_stopped<T>(
        &self,
        work: impl Future<Output = Option<T>>,
        clock: &Clock,
        end: Moment,
    ) -> Result<T, Ended> {
        let late = async {
            smol::Timer::after(clock.now().until(end).as_duration()).await;
            None
        };
        let stopped = async {
            while self.gate.shards.is_running(&self.id) {
                // The signal lives as long as the dispatch; its loss means the same.
                if self.ring.recv().await.is_err() {
                    break;
                }
            }
            None
        };
        match work.or(stopped).or(late).await {
            Some(done) => Ok(done),
            None if !self.gate.shards.is_running(&self.id) => Err(Ended::Stopped),
            None => Err(Ended::Failed(Failure::Late)),
        }
    }

    /// Waits while readers are too far behind.
    ///
    /// Failure guarded against: a slow or silent entry. It shows as an answer that grows in
    /// memory without being read; the backend server's answer is not read on meanwhile, and
    /// one that nobody comes for is stopped, so nobody pays for tokens that no one reads.
    async fn make_room(&self, clock: &Clock, end: Moment) -> Result<(), Ended> {
        let mut alone = Span::default();
        loop {
            let readers = self.gate.shards.readers(&self.id);
            if readers.behind <= WINDOW || (self.keyed && !readers.present) {
                return Ok(());
            }
            if clock.now() >= end {
                return Err(Ended::Failed(Failure::Late));
            }
            if alone >= ORPHAN {
                return Err(Ended::Failed(Failure::Cancelled));
            }
            self.rest().await;
            if !self.gate.shards.is_running(&self.id) {
                return Err(Ended::Stopped);
            }
            alone = match readers.present {
                true => Span::default(),
                false => Span::from_micros(alone.as_micros() + STEP.as_micros()),
            };
        }
    }

    /// Waits for a signal or a step of time.
    async fn rest(&self) {
        let rung = async {
            // A lost signal is as good as one that rings.
            let _ = self.ring.recv().await;
        };
        let step = async {
            smol::Timer::after(STEP.as_duration()).await;
        };
        rung.or(step).await;
    }

    async fn unanswered(&mut self, report: &error_stack::Report<EngineError>) -> Ended {
        if refused_connection(report) {
            return Ended::Refused(RefusalReason::Unreachable);
        }
        Ended::Failed(self.broken().await)
    }

    async fn broken(&self) -> Failure {
        self.gate.broken(self.life, self.restarts).await
    }

    fn conclude(&self, ended: Ended) {
        let (gate, id) = (&self.gate, &self.id);
        match ended {
            Ended::Finished => {
                let load = gate.load();
                gate.shards.change(id, |l| l.finish(id, load));
                gate.journal
                    .record(Event::DispatchFinished, &self.request, id);
            }
            Ended::Failed(reason) => {
                if let Failure::Died(_) = reason {
                    gate.journal.record(Event::ServerDied, &gate.process, id);
                }
                gate.shards.change(id, |l| l.fail(id, reason));
                gate.journal
                    .record(Event::DispatchFailed, &self.request, reason);
            }
            Ended::Refused(reason) => {
                gate.shards.change(id, |l| l.refuse(id, reason));
                gate.journal
                    .record(Event::DispatchRefused, &self.request, reason);
            }
            Ended::Stopped => gate
                .journal
                .record(Event::DispatchCancelled, &self.request, id),
        }
    }

    /// Stays until a reader has come to the end of the answer, or none comes.
    async fn linger(&self) {
        let clock = Clock::new();
        let end = clock.now() + ORPHAN;
        loop {
            let readers = self.gate.shards.readers(&self.id);
            if readers.ended || (!readers.present && clock.now() >= end) {
                return;
            }
            self.rest().await;
        }
    }
}

/// Whether the backend server refused the connection: then the call surely did not reach it.
fn refused_connection(report: &error_stack::Report<EngineError>) -> bool {
    let source = report.downcast_ref::<trillium_client::Error>();
    matches!(source, Some(trillium_client::Error::Io(e)) if e.kind() == io::ErrorKind::ConnectionRefused)
}
