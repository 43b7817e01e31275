//! What all requests of an entry process share.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};

use arc_swap::ArcSwap;
use parking_lot::Mutex;

use snipemast_config::{Config, Delta, Patch, Verdict};
use snipemast_control::machine::Submission;
use snipemast_core::prelude::*;
use snipemast_requests::RetryBudget;
use snipemast_routing::Location;
use snipemast_settings::EntrySettings;

use crate::admit::Admission;
use crate::choose::Chooser;
use crate::control::{self, Control};
use crate::gossip::Gossip;
use crate::keys::Keys;
use crate::registry::Registry;
use crate::spread::Spread;

/// Retries that may come at once, before the share of traffic bounds them.
const RETRY_RESERVE: u64 = 100;

/// The state of an entry process.
#[derive(Debug)]
pub struct Shared {
    /// The settings it started with.
    pub settings: EntrySettings,
    /// The process.
    pub process: ProcessId,
    /// Where its events go.
    pub journal: Journal,
    /// Who is there.
    pub gossip: Gossip,
    /// The agents that requests can go to.
    pub registry: Registry,
    /// The choice of a backend server.
    pub chooser: Arc<Chooser>,
    /// Who is let in.
    pub admission: Arc<Admission>,
    /// The clock that requests' deadlines are on.
    pub clock: Clock,
    /// What is left for retries.
    pub retries: Mutex<RetryBudget>,
    /// Keys and suspicions.
    pub keys: Keys,
    /// What passes the configuration on.
    pub spread: Spread,
    config: ArcSwap<Config>,
    control: OnceLock<Control>,
    counter: AtomicU64,
    draining: AtomicBool,
    closed: AtomicBool,
    running: AtomicU64,
}

impl Shared {
    /// The state of a process that starts now.
    pub fn new(settings: EntrySettings, process: ProcessId, journal: Journal) -> Self {
        let spread = Spread::new(Arc::default());
        let place = Location {
            zone: settings.zone.clone(),
            region: settings.region.clone(),
        };
        let chooser = Arc::new(Chooser::new(place, &process, journal.clone()));
        let ring = Arc::clone(journal.ring());
        let keys = Keys::new(&process, settings.limits.hold);
        let admission = Admission::new(&process, Arc::clone(&chooser), journal.clone());
        Self {
            keys,
            settings,
            process,
            journal,
            gossip: Gossip::new(),
            registry: Registry::new(ring),
            chooser,
            admission: Arc::new(admission),
            clock: Clock::new(),
            retries: Mutex::new(RetryBudget::new(RETRY_RESERVE)),
            spread,
            config: ArcSwap::from_pointee(Config::default()),
            control: OnceLock::new(),
            counter: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            closed: AtomicBool::new(false),
            running: AtomicU64::new(0),
        }
    }

    /// The configuration in force; a request loads it once and keeps to it.
    pub fn config(&self) -> Arc<Config> {
        self.config.load_full()
    }

    /// Brings a later configuration into force; an earlier one is passed over.
    pub fn apply(&self, config: Arc<Config>) {
        self.advance(config, None);
    }

    /// Brings a later configuration into force, with what leads to it where that is known.
    ///
    /// Failure guarded against: two tasks bring versions at once and the earlier one wins. It
    /// shows as a version that goes back. The comparison and the switch are one step, and a
    /// request that has loaded a version keeps it to its end.
    pub(crate) fn advance(&self, config: Arc<Config>, delta: Option<Delta>) {
        let version = config.version;
        let previous = self.config.rcu(|current| {
            if config.version > current.version {
                Arc::clone(&config)
            } else {
                Arc::clone(current)
            }
        });
        if version > previous.version {
            self.journal.record(Event::VersionApplied, version, "");
        }
        self.spread.advance(&config, delta);
    }

    /// The control role, on hosts that have it.
    pub fn control(&self) -> Option<&Control> {
        self.control.get()
    }

    /// Begins the control role.
    pub(crate) fn begin_control(&self, control: Control) {
        // An entry starts its control role once.
        let _ = self.control.set(control);
    }

    /// Submits a patch and blocks until its verdict, or returns nothing where there is none.
    ///
    /// For tests and demonstrations; operators come over [`crate::desk`].
    pub fn submit(&self, patch: &Patch) -> Option<Verdict> {
        let submission = Submission::new(patch.clone());
        smol::block_on(control::submit(self, &submission)).ok()
    }

    /// The id of a new request.
    pub fn next_request(&self) -> RequestId {
        RequestId::new(self.process.clone(), self.next_count())
    }

    /// The id of a new attempt.
    pub fn next_dispatch(&self) -> DispatchId {
        DispatchId::new(self.process.clone(), self.next_count())
    }

    fn next_count(&self) -> u64 {
        self.counter.fetch_add(1, Ordering::Relaxed)
    }

    /// Tells the platform's balancer to send nothing more.
    pub fn drain(self: &Arc<Self>) {
        if !self.draining.swap(true, Ordering::SeqCst) {
            self.journal.record(Event::DrainBegun, &self.process, "");
            self.gossip.drain(self);
        }
    }

    /// Takes no new request from now on.
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
    }

    /// Whether new requests are refused.
    pub fn is_closed(&self) -> bool {
        self.closed.load(Ordering::SeqCst)
    }

    /// Whether the process is on its way out.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Counts a request as in flight until the guard is dropped.
    pub fn enter(self: &Arc<Self>) -> InFlight {
        self.running.fetch_add(1, Ordering::SeqCst);
        InFlight {
            shared: Arc::clone(self),
        }
    }

    /// How many requests are in flight.
    pub fn running(&self) -> u64 {
        self.running.load(Ordering::SeqCst)
    }
}

/// A request in flight.
#[derive(Debug)]
pub struct InFlight {
    shared: Arc<Shared>,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.shared.running.fetch_sub(1, Ordering::SeqCst);
    }
}
