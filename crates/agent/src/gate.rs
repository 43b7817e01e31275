//! The gate: the one way to a backend server.
//!
//! - [`shards`]: the ledger in shards, each under its own lock, with whom to wake.
//! - `work`: runs a dispatch on the backend server and keeps its answer.
//! - `relay`: reads a kept answer and frames it for an entry.
//! - `crashes`: tells a dead backend server from a broken connection, and counts its deaths.
//! - [`handler`]: the endpoints for the system's own processes.

mod crashes;
pub mod handler;
mod relay;
pub mod shards;
mod work;

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::Arc;

use parking_lot::Mutex;

use snipemast_core::prelude::*;
use snipemast_requests::{LedgerLimits, RefusalReason};
use snipemast_servers::Engine;
use snipemast_settings::agent::AgentLimits;
use snipemast_wire::Dispatch;

use crashes::Crashes;
use shards::Shards;

pub use handler::GateHandler;

/// The longest part of one answer that is kept.
const ANSWER: usize = 1 << 20;

/// The one gate in front of a backend server.
#[derive(Debug)]
pub struct Gate {
    process: ProcessId,
    engine: Engine,
    limits: AgentLimits,
    journal: Journal,
    shards: Shards,
    suspect: Mutex<Option<DispatchId>>,
    load: Mutex<LoadReport>,
    crashes: Mutex<Crashes>,
    draining: AtomicBool,
    running: AtomicU32,
}

impl Gate {
    /// A gate in front of this engine.
    pub fn new(process: ProcessId, engine: Engine, limits: AgentLimits, journal: Journal) -> Self {
        let ledger = LedgerLimits {
            entries: limits.ledger as usize,
            bytes: limits.answers.as_bytes() as usize,
            answer_bytes: ANSWER,
        };
        let shards = Shards::new(&process, ledger);
        Self {
            process,
            engine,
            limits,
            journal,
            shards,
            suspect: Mutex::new(None),
            load: Mutex::default(),
            crashes: Mutex::default(),
            draining: AtomicBool::new(false),
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

    /// The ledger of dispatches.
    pub fn shards(&self) -> &Shards {
        &self.shards
    }

    /// Refuses new dispatches from now on.
    pub fn drain(&self) {
        self.shards.drain();
        if !self.draining.swap(true, Ordering::SeqCst) {
            self.journal.record(Event::DrainBegun, &self.process, "");
        }
    }

    /// Whether new dispatches are refused.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Dispatches that run, or whose answer nobody has read to its end yet.
    pub fn running(&self) -> u32 {
        self.running.load(Ordering::SeqCst)
    }

    /// Waits until nothing is in flight; false where the bound passed first.
    pub async fn wait_empty(&self, bound: Span) -> bool {
        let clock = Clock::new();
        let end = clock.now() + bound;
        while self.running() > 0 {
            if clock.now() >= end {
                return false;
            }
            smol::Timer::after(Span::from_millis(10).as_duration()).await;
        }
        true
    }

    /// Takes the backend server's latest report.
    pub fn report(&self, load: LoadReport) {
        self.crashes.lock().up();
        *self.load.lock() = load;
    }

    /// The latest report, with the gate's own fresh count of what runs.
    pub fn load(&self) -> LoadReport {
        LoadReport {
            running: self.running(),
            waiting: 0,
            ..*self.load.lock()
        }
    }

    /// Counts a piece of work until the guard is dropped.
    fn enter(self: &Arc<Self>) -> InFlight {
        self.running.fetch_add(1, Ordering::SeqCst);
        InFlight {
            gate: Arc::clone(self),
        }
    }

    /// Whether a dispatch is refused before it comes to the ledger, and why.
    ///
    /// Failure guarded against: a request that comes just after its server died is blamed for
    /// the death. It shows as innocent requests under suspicion; until the server answers again
    /// nothing is passed to it.
    fn refusal(&self, dispatch: &Dispatch) -> Option<RefusalReason> {
        if self.crashes.lock().is_down() {
            Some(RefusalReason::Unreachable)
        } else if dispatch.suspect && !self.take_suspect(&dispatch.id) {
            Some(RefusalReason::Suspect)
        } else {
            None
        }
    }

    /// Takes the one place for suspects; false where another suspect has it.
    ///
    /// Failure guarded against: two suspects side by side when the backend server dies again.
    /// It shows as two requests under the same suspicion, of which one is innocent.
    fn take_suspect(&self, id: &DispatchId) -> bool {
        let mut suspect = self.suspect.lock();
        match suspect.as_ref() {
            Some(other) => other == id,
            None => {
                *suspect = Some(id.clone());
                true
            }
        }
    }

    fn free_suspect(&self, id: &DispatchId) {
        let mut suspect = self.suspect.lock();
        if suspect.as_ref() == Some(id) {
            *suspect = None;
        }
    }
}

/// Work in flight.
#[derive(Debug)]
struct InFlight {
    gate: Arc<Gate>,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.gate.running.fetch_sub(1, Ordering::SeqCst);
    }
}
