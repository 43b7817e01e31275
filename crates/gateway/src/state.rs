//! What the parts of a gateway share.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::Arc;

use event_listener::Event as Signal;
use parking_lot::{Mutex, RwLock};

use snipemast_core::prelude::*;
use snipemast_net::BootClock;
use snipemast_placement::urgency::LoadLimits;
use snipemast_placement::{Budget, Outages, Passes, Patience, Pool, Returns, Servers, Shutdown};
use snipemast_platform::settings::Settings;
use snipemast_registry::Table as Registry;
use snipemast_routes::Table as Routes;
use snipemast_settings::Decisions;

use crate::connections::Connections;
use crate::metrics::Metrics;
use crate::unknown::Unknown;

/// What the parts of a gateway share; each part of the state has a lock of its own.
#[derive(Debug)]
pub struct State {
    pub(crate) settings: Settings,
    pub(crate) decisions: Decisions,
    pub(crate) clock: BootClock,
    pub(crate) journal: Journal,
    pub(crate) metrics: Metrics,
    /// The configuration in force; none until the first one has come.
    routes: RwLock<Option<Arc<Routes>>>,
    /// Wakes who waits for a configuration to come into force.
    pub(crate) applied: Signal,
    pub(crate) registry: Mutex<Registry>,
    pub(crate) servers: Mutex<Servers>,
    pub(crate) budget: Mutex<Budget>,
    pub(crate) outages: Mutex<Outages>,
    pub(crate) patience: Mutex<Patience>,
    /// Wakes requests whose server may be found to answer nothing.
    pub(crate) frozen: Signal,
    /// Wakes requests that wait for a service.
    pub(crate) reopened: Signal,
    pub(crate) returns: Mutex<Returns>,
    pub(crate) passes: Mutex<Passes>,
    /// Wakes requests that wait for short passes.
    pub(crate) shortened: Signal,
    pub(crate) connections: Connections,
    pub(crate) unknown: Unknown,
    pub(crate) shutdown: Mutex<Shutdown>,
    /// Requests in hand.
    active: AtomicU32,
    counter: AtomicU64,
}

/// A request in hand; dropping it counts it out.
#[derive(Debug)]
pub(crate) struct ActiveRequest(Arc<State>);

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.0.active.fetch_sub(1, Ordering::Relaxed);
    }
}

impl State {
    pub(crate) fn new(settings: Settings, decisions: Decisions, journal: Journal) -> Arc<Self> {
        let servers = Servers::new(settings.zone.clone())
            .with_pick(decisions.placing)
            .with_seed(rand::random())
            .with_drain(settings.bounds.drain)
            .with_room(LoadLimits {
                full: decisions.full,
                late: decisions.late,
            });
        let bounds = snipemast_placement::budget::Bounds {
            ratio: settings.bounds.retry_ratio,
            slack: settings.bounds.retry_slack,
            window: settings.bounds.retry_window,
        };
        Arc::new(Self {
            clock: BootClock::new(),
            journal,
            metrics: Metrics::new(),
            routes: RwLock::new(None),
            applied: Signal::new(),
            registry: Mutex::new(Registry::new()),
            servers: Mutex::new(servers),
            budget: Mutex::new(Budget::new(bounds)),
            outages: Mutex::new(Outages::new()),
            patience: Mutex::default(),
            frozen: Signal::new(),
            reopened: Signal::new(),
            returns: Mutex::default(),
            passes: Mutex::new(Passes::new()),
            shortened: Signal::new(),
            connections: Connections::default(),
            unknown: Unknown::default(),
            shutdown: Mutex::new(Shutdown::new()),
            active: AtomicU32::new(0),
            counter: AtomicU64::new(0),
            settings,
            decisions,
        })
    }

    /// The configuration in force.
    pub(crate) fn routes(&self) -> Option<Arc<Routes>> {
        self.routes.read().clone()
    }

    /// The version in force; 0 before the first.
    pub(crate) fn version(&self) -> Version {
        self.routes
            .read()
            .as_ref()
            .map_or(Version(0), |r| r.version())
    }

    /// Puts a configuration into force; false where one as new is in force already.
    ///
    /// Failure guarded against: a controller that lags behind tells an older version, and what a
    /// newer one forbids is allowed again. Versions only rise within a process.
    pub(crate) fn apply(&self, routes: Routes) -> bool {
        let mut current = self.routes.write();
        if current
            .as_ref()
            .is_some_and(|c| c.version() >= routes.version())
        {
            return false;
        }
        *current = Some(Arc::new(routes));
        drop(current);
        self.applied.notify(usize::MAX);
        true
    }

    /// A pool is out or open again: whoever waits for a place looks again.
    pub(crate) fn note_outage(&self, pool: &Pool, event: Event, detail: &str) {
        if event == Event::ServiceReopened {
            self.reopened.notify(usize::MAX);
        }
        let group = pool.group.as_ref().map_or("", GroupId::as_str);
        let detail = format_args!("{group}: {detail}");
        self.journal.record(event, &pool.service, detail);
    }

    /// Counts a request in.
    pub(crate) fn begin_request(self: &Arc<Self>) -> ActiveRequest {
        self.active.fetch_add(1, Ordering::Relaxed);
        ActiveRequest(Arc::clone(self))
    }

    /// How many requests are in hand.
    pub(crate) fn active(&self) -> u32 {
        self.active.load(Ordering::Relaxed)
    }

    /// Whether the process was told to end.
    pub(crate) fn is_leaving(&self) -> bool {
        self.shutdown.lock().is_told()
    }

    /// Whether it may get new connections: it knows a configuration and some server.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_leaving() && self.routes.read().is_some()
    }

    /// A number that no other request of this process has.
    pub(crate) fn next_number(&self) -> u64 {
        self.counter.fetch_add(1, Ordering::Relaxed)
    }
}
