//! The gate: takes dispatches, passes them to the backend server, frames the answer.

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::Arc;

use futures_lite::{AsyncReadExt, FutureExt};
use trillium::{async_trait, Conn, Handler, Status};

use snipemast_core::prelude::*;
use snipemast_servers::{Answer, Engine};
use snipemast_settings::agent::AgentLimits;
use snipemast_wire::frame::{Failure, Refused};
use snipemast_wire::message::path;
use snipemast_wire::serve::{malformed, message, reply, stream};
use snipemast_wire::{pipe, spawn, Dispatch, Frame, FrameWriter, PipeWriter};

/// The pieces of an answer that wait for a slow entry before the engine's answer is not read on.
const PIPE_BOUND: usize = 16;
/// The largest piece that is read from the backend server at once.
const PIECE: usize = 16 << 10;

/// The one gate in front of a backend server.
#[derive(Debug)]
pub struct Gate {
    process: ProcessId,
    engine: Engine,
    limits: AgentLimits,
    journal: Journal,
    draining: AtomicBool,
    running: AtomicU32,
}

impl Gate {
    /// A gate in front of this engine.
    pub fn new(process: ProcessId, engine: Engine, limits: AgentLimits, journal: Journal) -> Self {
        let draining = AtomicBool::new(false);
        Self {
            process,
            engine,
            limits,
            journal,
            draining,
            running: AtomicU32::new(0),
        }
    }

    /// The agent's process.
    pub fn process(&self) -> &ProcessId {
        &self.process
    }

    /// The backend server behind the gate.
    pub fn engine(&self) -> &Engine {
        &self.engine
    }

    /// The agent's journal.
    pub fn journal(&self) -> &Journal {
        &self.journal
    }

    /// Refuses new dispatches from now on.
    pub fn drain(&self) {
        if !self.draining.swap(true, Ordering::SeqCst) {
            self.journal.record(Event::DrainBegun, &self.process, "");
        }
    }

    /// Whether new dispatches are refused.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Waits until nothing is in flight; false where the bound passed first.
    pub async fn wait_empty(&self, bound: Span) -> bool {
        let step = Span::from_millis(10);
        let mut waited = Span::default();
        while self.running.load(Ordering::SeqCst) > 0 {
            if waited >= bound {
                return false;
            }
            smol::Timer::after(step.as_duration()).await;
            waited = Span::from_micros(waited.as_micros() + step.as_micros());
        }
        true
    }

    /// Whether the dispatch is refused, and why.
    fn refusal(&self, dispatch: &Dispatch) -> Option<Refused> {
        if dispatch.agent != self.process {
            Some(Refused::Incarnation)
        } else if self.is_draining() {
            Some(Refused::Draining)
        } else if dispatch.left == Span::default() {
            Some(Refused::Late)
        } else {
            None
        }
    }

    /// Runs a dispatch and writes its frames.
    async fn run(&self, dispatch: Dispatch, frames: PipeWriter) {
        let Dispatch {
            id, call, request, ..
        } = dispatch;
        self.journal.record(Event::DispatchAccepted, &request, &id);
        if frames
            .send(FrameWriter::accepted(id.clone()))
            .await
            .is_err()
        {
            return;
        }
        let work = async { self.engine.call(&id, call).await.ok() };
        let Some(answer) = self.beating(work, &frames).await else {
            self.fail(&request, &frames, Failure::Broken).await;
            return;
        };
        self.relay(&request, answer, &frames).await;
    }

    /// Waits for work, with a beat to the entry whenever it takes long.
    async fn beating<T>(
        &self,
        work: impl std::future::Future<Output = Option<T>>,
        frames: &PipeWriter,
    ) -> Option<T> {
        let beats = async {
            loop {
                smol::Timer::after(self.limits.beat.as_duration()).await;
                if frames
                    .send(FrameWriter::encode(&Frame::Beat))
                    .await
                    .is_err()
                {
                    return None;
                }
            }
        };
        work.or(beats).await
    }

    async fn relay(&self, request: &RequestId, mut answer: Answer, frames: &PipeWriter) {
        let head = Frame::Head {
            status: answer.status(),
            headers: answer.headers(),
        };
        if frames.send(FrameWriter::encode(&head)).await.is_err() {
            answer.abort();
            return;
        }
        let mut offset = 0;
        let mut buffer = vec![0; PIECE];
        loop {
            let read = async { Some(answer.read(&mut buffer).await) };
            let count = match self.beating(read, frames).await {
                Some(Ok(count)) => count,
                Some(Err(_)) => return self.fail(request, frames, Failure::Broken).await,
                None => return answer.abort(),
            };
            if count == 0 {
                break;
            }
            let data = Frame::Data {
                offset,
                bytes: buffer[..count].to_vec(),
            };
            offset += count as u64;
            if frames.send(FrameWriter::encode(&data)).await.is_err() {
                return answer.abort();
            }
        }
        let end = Frame::End {
            total: offset,
            checksum: 0,
            load: LoadReport::default(),
        };
        // An entry that left before the end needs no end.
        let _ = frames.send(FrameWriter::encode(&end)).await;
        self.journal
            .record(Event::DispatchFinished, request, offset);
    }

    async fn fail(&self, request: &RequestId, frames: &PipeWriter, reason: Failure) {
        self.journal.record(Event::DispatchFailed, request, reason);
        // An entry that left needs no reason.
        let _ = frames
            .send(FrameWriter::encode(&Frame::Failed { reason }))
            .await;
    }
}

/// Serves the gate to the system's own processes.
#[derive(Debug)]
pub struct GateHandler {
    gate: Arc<Gate>,
}

impl GateHandler {
    /// Serves this gate.
    pub fn new(gate: Arc<Gate>) -> Self {
        Self { gate }
    }

    async fn dispatch(&self, mut conn: Conn) -> Conn {
        let Some(dispatch) = message::<Dispatch>(&mut conn).await else {
            return malformed(conn);
        };
        let gate = Arc::clone(&self.gate);
        if let Some(reason) = gate.refusal(&dispatch) {
            gate.journal
                .record(Event::DispatchRefused, &dispatch.request, reason);
            return conn.ok(FrameWriter::encode(&Frame::Refused { reason }));
        }
        gate.running.fetch_add(1, Ordering::SeqCst);
        let (writer, reader) = pipe(PIPE_BOUND);
        spawn(async move {
            gate.run(dispatch, writer).await;
            gate.running.fetch_sub(1, Ordering::SeqCst);
        })
        .detach();
        stream(conn, reader)
    }

    async fn events(&self, mut conn: Conn) -> Conn {
        let Some(since) = message::<Stamp>(&mut conn).await else {
            return malformed(conn);
        };
        reply(conn, &self.gate.journal.ring().since(since))
    }
}

#[async_trait]
impl Handler for GateHandler {
    async fn run(&self, conn: Conn) -> Conn {
        match conn.path() {
            path::DISPATCH => self.dispatch(conn).await,
            path::EVENTS => self.events(conn).await,
            _ => conn.with_status(Status::NotFound).halt(),
        }
    }
}
