//! The metrics of who is served first: what was placed, waited and was refused, by urgency.

use std::collections::BTreeSet;
use std::fmt;

use parking_lot::Mutex;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use snipemast_core::prelude::*;
use snipemast_placement::choice::Unplaced;
use snipemast_placement::{RequestPriority, Urgency};

/// The most services that are told apart. Configurations have fewer, but services come and go over
/// a process's life.
const MAX_SERVICES: usize = 256;

/// The name under which the other services are counted.
const OTHERS: &str = "others";

/// The least urgent priority that is told apart. Those beyond it count as this one.
const LAST_PRIORITY: u8 = 9;

/// The bounds of the buckets of waits, in seconds: up to the longest that a request waits for
/// usual objectives.
const WAIT_BUCKETS: [f64; 9] = [0.01, 0.03, 0.06, 0.1, 0.2, 0.4, 0.8, 1.6, 4.0];

/// A request as the metrics tell it apart.
#[derive(Debug, Clone, Copy)]
pub struct OrderedRequest<'a> {
    /// Its service.
    pub service: &'a ServiceId,
    /// How urgent it is.
    pub urgency: Urgency,
    /// The priorities of its workspace and route.
    pub priority: RequestPriority,
}

impl fmt::Display for OrderedRequest<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let RequestPriority { workspace, route } = self.priority;
        let urgency = self.urgency.name();
        write!(f, "{urgency}, priority {workspace}/{route}")
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    service: String,
    urgency: &'static str,
    workspace_priority: u32,
    route_priority: u32,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RefusalLabels {
    service: String,
    urgency: &'static str,
    workspace_priority: u32,
    route_priority: u32,
    reason: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabel {
    service: String,
}

/// The metrics of who is served first.
#[derive(Debug)]
pub struct OrderMetrics {
    placements: Family<RequestLabels, Counter>,
    waits: Family<RequestLabels, Histogram>,
    refusals: Family<RefusalLabels, Counter>,
    waiting: Family<ServiceLabel, Gauge>,
    services: Mutex<BTreeSet<String>>,
}

/// A request that is counted as waiting until this is dropped.
#[derive(Debug)]
pub struct WaitCount {
    waiting: Gauge,
    waits: Histogram,
}

impl OrderMetrics {
    /// Creates metrics that have counted nothing.
    pub fn new(registry: &mut Registry) -> Self {
        let buckets = || Histogram::new(WAIT_BUCKETS);
        let waits = Family::new_with_constructor(buckets as fn() -> Histogram);
        let (placements, refusals) = (Family::default(), Family::default());
        let waiting = Family::default();
        registry.register(
            "placements",
            "Places that requests got at servers, by urgency",
            Family::clone(&placements),
        );
        registry.register(
            "wait_seconds",
            "Waits for a place that ended, by the urgency at their start",
            Family::clone(&waits),
        );
        registry.register(
            "refusals",
            "Requests that were refused for want of a place, by urgency and reason",
            Family::clone(&refusals),
        );
        registry.register(
            "waiting_requests",
            "Requests that wait for a place now",
            Family::clone(&waiting),
        );
        Self {
            placements,
            waits,
            refusals,
            waiting,
            services: Mutex::default(),
        }
    }

    /// Counts a place that a request got.
    pub fn count_placement(&self, request: OrderedRequest<'_>) {
        self.placements.get_or_create(&self.labels(request)).inc();
    }

    /// Counts a request that is refused.
    pub fn count_refusal(&self, request: OrderedRequest<'_>, reason: Unplaced) {
        let labels = self.labels(request);
        let labels = RefusalLabels {
            service: labels.service,
            urgency: labels.urgency,
            workspace_priority: labels.workspace_priority,
            route_priority: labels.route_priority,
            reason: format!("{reason:?}"),
        };
        self.refusals.get_or_create(&labels).inc();
    }

    /// Counts a request as waiting until the returned value is dropped.
    pub fn begin_wait(&self, request: OrderedRequest<'_>) -> WaitCount {
        let labels = self.labels(request);
        let waits = self.waits.get_or_create(&labels).clone();
        let service = labels.service;
        let waiting = self
            .waiting
            .get_or_create(&ServiceLabel { service })
            .clone();
        waiting.inc();
        WaitCount { waiting, waits }
    }

    fn labels(&self, request: OrderedRequest<'_>) -> RequestLabels {
        let number = |priority: Priority| u32::from(priority.get().min(LAST_PRIORITY));
        RequestLabels {
            service: self.service_name(request.service),
            urgency: request.urgency.name(),
            workspace_priority: number(request.priority.workspace),
            route_priority: number(request.priority.route),
        }
    }

    /// Returns the name under which a service is counted.
    fn service_name(&self, service: &ServiceId) -> String {
        let mut services = self.services.lock();
        let name = service.as_str();
        if !services.contains(name) {
            if services.len() >= MAX_SERVICES {
                return OTHERS.to_owned();
            }
            services.insert(name.to_owned());
        }
        name.to_owned()
    }
}

impl WaitCount {
    /// Records how long the request has waited.
    pub fn observe(&self, span: Span) {
        self.waits.observe(span.as_secs_f64());
    }
}

impl Drop for WaitCount {
    fn drop(&mut self) {
        self.waiting.dec();
    }
}
