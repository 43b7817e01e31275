//! The gate through which every dispatch reaches the backend server.
//!
//! - [`shards`]: the ledger in shards, each under its own lock, and the tasks to wake.
//! - `work`: runs a dispatch on the backend server and stores its answer.
//! - `relay`: reads a stored answer and sends it to an entry in frames.
//! - `crashes`: distinguishes a dead backend server from a broken connection, and counts its deaths.
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

/// The most bytes of one answer that are kept.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// Accepts dispatches for a backend server, runs them, and keeps their answers.
#[derive(Debug)]
pub struct Gate {
    process: ProcessId,
    engine: Engine,
    limits: AgentLimits,
    journal: Journal,
    shards: Shards,
    /// The dispatch that runs under suspicion; only one may at a time.
    suspect: Mutex<Option<DispatchId>>,
    load: Mutex<LoadReport>,
    crashes: Mutex<Crashes>,
    draining: AtomicBool,
    running: AtomicU32,
}

impl Gate {
    /// Creates a gate in front of this engine.
    pub fn new(process: ProcessId, engine: Engine, limits: AgentLimits, journal: Journal) -> Self {
        let ledger = LedgerLimits {
            entries: limits.ledger as usize,
            bytes: limits.answers.as_bytes() as usize,
            answer_bytes: MAX_ANSWER_BYTES,
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

    /// Returns the agent's process.
    pub fn process(&self) -> &ProcessId {
        &self.process
    }

    /// Returns the backend server behind the gate.
    pub fn engine(&self) -> &Engine {
        &self.engine
    }

    /// Returns the agent's journal.
    pub fn journal(&self) -> &Journal {
        &self.journal
    }

    /// Returns the ledger of dispatches.
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

    /// Returns how many dispatches run or wait for a reader to reach the end of their answer, and how
    /// many relays of answers are open.
    pub fn running(&self) -> u32 {
        self.running.load(Ordering::SeqCst)
    }

    /// Waits until nothing is in flight; returns false where the bound passes first.
    pub async fn wait_idle(&self, bound: Span) -> bool {
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

    /// Records the backend server's latest report.
    pub fn record_load(&self, load: LoadReport) {
        self.crashes.lock().mark_alive();
        *self.load.lock() = load;
    }

    /// Returns the latest report, with the gate's own current count of what runs.
    pub fn load(&self) -> LoadReport {
        LoadReport {
            running: self.running(),
            waiting: 0,
            ..*self.load.lock()
        }
    }

    /// Counts work as in flight until the guard is dropped.
    fn track_work(self: &Arc<Self>) -> InFlight {
        self.running.fetch_add(1, Ordering::SeqCst);
        InFlight {
            gate: Arc::clone(self),
        }
    }

    /// Returns why a dispatch is refused before it enters the ledger, if it is.
    ///
    /// Failure guarded against: a request that arrives just after the server died is blamed for the
    /// death, so that innocent requests come under suspicion. Until the server answers again,
    /// nothing is passed to it.
    fn refusal(&self, dispatch: &Dispatch) -> Option<RefusalReason> {
        if self.crashes.lock().is_down() {
            Some(RefusalReason::Unreachable)
        } else if dispatch.suspect && !self.claim_suspect(&dispatch.id) {
            Some(RefusalReason::Suspect)
        } else {
            None
        }
    }

    /// Takes the one place for suspects; returns false where another suspect has it.
    ///
    /// Failure guarded against: two suspects run side by side when the backend server dies again, and
    /// the innocent one of them stays under the same suspicion as the other.
    fn claim_suspect(&self, id: &DispatchId) -> bool {
        let mut suspect = self.suspect.lock();
        match suspect.as_ref() {
            Some(other) => other == id,
            None => {
                *suspect = Some(id.clone());
                true
            }
        }
    }

    /// Frees the place for suspects where this dispatch has it.
    fn release_suspect(&self, id: &DispatchId) {
        let mut suspect = self.suspect.lock();
        if suspect.as_ref() == Some(id) {
            *suspect = None;
        }
    }
}

/// Counts as work in flight until it is dropped.
#[derive(Debug)]
struct InFlight {
    gate: Arc<Gate>,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.gate.running.fetch_sub(1, Ordering::SeqCst);
    }
}
