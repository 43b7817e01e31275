//! The state that all requests of an entry process share.

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
use crate::spread::Distributor;

/// The retries that may come at once, before the budget's share of the traffic limits them.
const RETRY_RESERVE: u64 = 100;

/// The state of an entry process.
#[derive(Debug)]
pub struct Shared {
    /// The settings that the process started with.
    pub settings: EntrySettings,
    /// The id of the process.
    pub process: ProcessId,
    /// The journal for the process's events.
    pub journal: Journal,
    /// The membership of entries and agents.
    pub gossip: Gossip,
    /// The agents that requests can be sent to.
    pub registry: Registry,
    /// The routing state, which chooses backend servers.
    pub chooser: Arc<Chooser>,
    /// The admission of requests.
    pub admission: Arc<Admission>,
    /// The clock of the requests' deadlines.
    pub clock: Clock,
    /// The budget for retries.
    pub retries: Mutex<RetryBudget>,
    /// The idempotency keys and the suspected requests.
    pub keys: Keys,
    /// The configuration as it is served to other processes.
    pub distributor: Distributor,
    config: ArcSwap<Config>,
    control: OnceLock<Control>,
    counter: AtomicU64,
    draining: AtomicBool,
    closed: AtomicBool,
    running: AtomicU64,
}

impl Shared {
    /// Creates the state of a process that starts now.
    pub fn new(settings: EntrySettings, process: ProcessId, journal: Journal) -> Self {
        let distributor = Distributor::new(Arc::default());
        let location = Location {
            zone: settings.zone.clone(),
            region: settings.region.clone(),
        };
        let chooser = Arc::new(Chooser::new(location, &process, journal.clone()));
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
            distributor,
            config: ArcSwap::from_pointee(Config::default()),
            control: OnceLock::new(),
            counter: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            closed: AtomicBool::new(false),
            running: AtomicU64::new(0),
        }
    }

    /// Returns the configuration in force; a request loads it once and uses it to its end.
    pub fn config(&self) -> Arc<Config> {
        self.config.load_full()
    }

    /// Puts a later configuration into force; an earlier one is ignored.
    pub fn apply(&self, config: Arc<Config>) {
        self.advance(config, None);
    }

    /// Puts a later configuration into force, with the delta that leads to it if it is known.
    ///
    /// Failure guarded against: two tasks apply versions at the same time, the earlier one wins and
    /// the version goes back. The comparison and the switch are one atomic step, and a request that
    /// has loaded a version uses it to its end.
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
        self.distributor.advance(&config, delta);
    }

    /// Returns the control role, on hosts that have it.
    pub fn control(&self) -> Option<&Control> {
        self.control.get()
    }

    /// Sets the control role.
    pub(crate) fn set_control(&self, control: Control) {
        // An entry starts its control role once.
        let _ = self.control.set(control);
    }

    /// Submits a patch and blocks until its verdict, or returns `None` if there is no verdict.
    ///
    /// This is for tests and demonstrations; operators use [`crate::desk`].
    pub fn submit(&self, patch: &Patch) -> Option<Verdict> {
        let submission = Submission::new(patch.clone());
        smol::block_on(control::submit(self, &submission)).ok()
    }

    /// Returns the id for a new request.
    pub fn next_request(&self) -> RequestId {
        RequestId::new(self.process.clone(), self.next_count())
    }

    /// Returns the id for a new attempt.
    pub fn next_dispatch(&self) -> DispatchId {
        DispatchId::new(self.process.clone(), self.next_count())
    }

    fn next_count(&self) -> u64 {
        self.counter.fetch_add(1, Ordering::Relaxed)
    }

    /// Starts draining: the readiness check fails from now on, and the other entries are told.
    pub fn drain(self: &Arc<Self>) {
        if !self.draining.swap(true, Ordering::SeqCst) {
            self.journal.record(Event::DrainBegun, &self.process, "");
            self.gossip.drain(self);
        }
    }

    /// Refuses new requests from now on.
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
    }

    /// Returns whether new requests are refused.
    pub fn is_closed(&self) -> bool {
        self.closed.load(Ordering::SeqCst)
    }

    /// Returns whether the process is draining.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Counts a request as in flight until the guard is dropped.
    pub fn track_request(self: &Arc<Self>) -> InFlight {
        self.running.fetch_add(1, Ordering::SeqCst);
        InFlight {
            shared: Arc::clone(self),
        }
    }

    /// Returns the number of requests in flight.
    pub fn running(&self) -> u64 {
        self.running.load(Ordering::SeqCst)
    }
}

/// Counts one request as in flight until it is dropped.
#[derive(Debug)]
pub struct InFlight {
    shared: Arc<Shared>,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.shared.running.fetch_sub(1, Ordering::SeqCst);
    }
}
