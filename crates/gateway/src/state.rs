//! The state that the parts of a gateway share.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::Arc;

use event_listener::Event as Signal;
use parking_lot::{Mutex, RwLock};

use snipemast_core::prelude::*;
use snipemast_net::BootClock;
use snipemast_placement::memory::MemoryBudget;
use snipemast_placement::servers::OutlierChanges;
use snipemast_placement::{
    CallerPatience, LoadLimits, Outages, PassTimes, Pool, RetryBudget, RetrySchedule, Servers,
    Shutdown,
};
use snipemast_platform::settings::Settings;
use snipemast_registry::Table as Registry;
use snipemast_routes::Table as Routes;
use snipemast_settings::Decisions;

use crate::connections::ConnectionPool;
use crate::crashes::{BrokenRuns, Crashes};
use crate::metrics::Metrics;
use crate::queue::WaitingRequests;
use crate::unknown::UnknownHeaders;

/// The state that the parts of a gateway share. Each part of it has its own lock.
#[derive(Debug)]
pub struct State {
    pub(crate) settings: Settings,
    pub(crate) decisions: Decisions,
    pub(crate) clock: BootClock,
    pub(crate) journal: Journal,
    pub(crate) metrics: Metrics,
    /// The configuration in force; none before the first one.
    routes: RwLock<Option<Arc<Routes>>>,
    /// Wakes tasks that wait for a configuration to come into force.
    pub(crate) applied: Signal,
    /// The evacuations in force.
    pub(crate) evacuations: Mutex<Evacuations>,
    pub(crate) registry: Mutex<Registry>,
    pub(crate) servers: Mutex<Servers>,
    pub(crate) budget: Mutex<RetryBudget>,
    pub(crate) outages: Mutex<Outages>,
    pub(crate) patience: Mutex<CallerPatience>,
    /// Wakes requests in flight: a server was found to be frozen, or a record of crashes changed.
    pub(crate) recheck: Signal,
    /// The requests that wait for a place at a server.
    pub(crate) waiting: WaitingRequests,
    pub(crate) retry_schedule: Mutex<RetrySchedule>,
    pub(crate) passes: Mutex<PassTimes>,
    /// Wakes requests that wait for short forward passes.
    pub(crate) shortened: Signal,
    pub(crate) connections: ConnectionPool,
    /// The bytes that requests and answers hold.
    pub(crate) memory: Arc<MemoryBudget>,
    pub(crate) unknown: UnknownHeaders,
    pub(crate) broken_runs: BrokenRuns,
    pub(crate) crashes: Crashes,
    shutdown: Mutex<Shutdown>,
    /// Wakes requests without an answer when the process is about to end.
    pub(crate) ending: Signal,
    /// Whether callers should leave the connections that they keep open.
    shedding: AtomicBool,
    /// Whether no new connection can be read.
    full: AtomicBool,
    /// The number of requests in progress.
    active: AtomicU32,
    request_counter: AtomicU64,
}

/// A request in progress. Dropping it removes the request from the count.
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
            .with_failing(decisions.failing)
            .with_drain(settings.bounds.drain)
            .with_heartbeat(settings.heartbeat)
            .with_load_limits(LoadLimits {
                full: decisions.full,
                late: decisions.late,
                yielding: decisions.yielding,
            });
        let bounds = snipemast_placement::budget::RetryBounds {
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
            evacuations: Mutex::default(),
            registry: Mutex::new(Registry::new()),
            servers: Mutex::new(servers),
            budget: Mutex::new(RetryBudget::new(bounds)),
            outages: Mutex::new(Outages::new()),
            patience: Mutex::default(),
            recheck: Signal::new(),
            waiting: WaitingRequests::default(),
            retry_schedule: Mutex::default(),
            passes: Mutex::new(PassTimes::new()),
            shortened: Signal::new(),
            connections: ConnectionPool::default(),
            memory: MemoryBudget::new(settings.max_memory),
            unknown: UnknownHeaders::default(),
            broken_runs: BrokenRuns::default(),
            crashes: Crashes::default(),
            shutdown: Mutex::new(Shutdown::new()),
            ending: Signal::new(),
            shedding: AtomicBool::new(false),
            full: AtomicBool::new(false),
            active: AtomicU32::new(0),
            request_counter: AtomicU64::new(0),
            settings,
            decisions,
        })
    }

    /// Returns the configuration in force.
    pub(crate) fn routes(&self) -> Option<Arc<Routes>> {
        self.routes.read().clone()
    }

    /// Returns the version in force; 0 before the first one.
    pub(crate) fn version(&self) -> Version {
        self.routes
            .read()
            .as_ref()
            .map_or(Version(0), |r| r.version())
    }

    /// Puts a configuration into force. Returns whether it is newer than the current one.
    ///
    /// This guards against a controller that lags behind and sends an older version, which would
    /// allow again what a newer one forbids. Versions only grow within a process.
    pub(crate) fn apply(&self, routes: Routes) -> bool {
        let mut current = self.routes.write();
        if current
            .as_ref()
            .is_some_and(|c| c.version() >= routes.version())
        {
            return false;
        }
        let services = routes.services();
        let cold = services.filter_map(|s| Some((s.name.clone(), s.cold_rate?)));
        self.servers.lock().set_cold_rates(cold.collect());
        *current = Some(Arc::new(routes));
        drop(current);
        self.applied.notify(usize::MAX);
        true
    }

    /// Logs that a pool is out or open again. If it is open again, waiting requests look for a
    /// place again.
    pub(crate) fn log_outage(&self, pool: &Pool, event: Event, detail: &str) {
        if event == Event::ServiceReopened {
            self.waiting.wake(self.clock.now(), &pool.service);
        }
        let group = pool.group.as_ref().map_or("", GroupId::as_str);
        let detail = format_args!("{group}: {detail}");
        self.journal.record(event, &pool.service, detail);
    }

    /// Logs the servers that are left out, or no longer, by what all gateways saw.
    pub(crate) fn log_outliers(&self, changes: &OutlierChanges) {
        for (server, failed) in &changes.put_out {
            self.metrics.count_left_out(server);
            let detail = format_args!("{failed} of 100 answers failed, by several hosts");
            self.journal.record(Event::ServerLeftOut, server, detail);
        }
        for server in &changes.taken_back {
            let detail = "no longer an outlier, by several hosts";
            self.journal.record(Event::ServerTakenBack, server, detail);
        }
    }

    /// Counts a request as in progress until the returned value is dropped.
    pub(crate) fn begin_request(self: &Arc<Self>) -> ActiveRequest {
        self.active.fetch_add(1, Ordering::Relaxed);
        ActiveRequest(Arc::clone(self))
    }

    /// Returns the number of requests in progress.
    pub(crate) fn active_requests(&self) -> u32 {
        self.active.load(Ordering::Relaxed)
    }

    /// Sets whether callers should leave the connections that they keep open.
    pub(crate) fn set_shedding(&self, shedding: bool) {
        self.shedding.store(shedding, Ordering::Relaxed);
    }

    /// Sets whether no new connection can be read, because there are too many with requests in progress.
    pub(crate) fn set_full(&self, full: bool) {
        self.full.store(full, Ordering::Relaxed);
    }

    /// Whether callers should leave the connections that they keep open, because the process is overloaded or
    /// shutting down.
    pub(crate) fn closes_connections(&self) -> bool {
        self.shedding.load(Ordering::Relaxed) || self.is_shutting_down()
    }

    /// Begins the shutdown.
    pub(crate) fn begin_shutdown(&self) {
        self.shutdown.lock().begin(self.clock.now());
    }

    /// Whether the process still accepts requests.
    pub(crate) fn accepts_requests(&self, now: Moment) -> bool {
        let grace = self.settings.bounds.grace;
        self.shutdown.lock().accepts_requests(now, grace)
    }

    /// Returns when the process answers the requests that no server has answered, if it is shutting down.
    pub(crate) fn answers_at(&self) -> Option<Moment> {
        self.shutdown.lock().answers_at(self.settings.bounds.grace)
    }

    /// Whether the process may end, with this many requests in progress.
    pub(crate) fn may_end(&self, now: Moment, in_flight: u32) -> bool {
        let grace = self.settings.bounds.grace;
        self.shutdown.lock().may_end(now, grace, in_flight)
    }

    /// Waits until the process answers the requests that no server has answered.
    pub(crate) async fn await_ending(&self) {
        loop {
            let ending = self.ending.listen();
            let answers_at = self.answers_at();
            if answers_at.is_some_and(|at| self.clock.now() >= at) {
                return;
            }
            ending.await;
        }
    }

    /// Whether the process is shutting down.
    pub(crate) fn is_shutting_down(&self) -> bool {
        self.shutdown.lock().has_begun()
    }

    /// Whether the process may get new connections: it has a configuration, can read them and is not
    /// shutting down.
    pub(crate) fn is_ready(&self) -> bool {
        let full = self.full.load(Ordering::Relaxed);
        !full && !self.is_shutting_down() && self.routes.read().is_some()
    }

    /// Returns a number that no other request of this process has.
    pub(crate) fn next_number(&self) -> u64 {
        self.request_counter.fetch_add(1, Ordering::Relaxed)
    }
}
