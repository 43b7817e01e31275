//! The gateway's metrics, in the Prometheus text format.

use std::fmt::Debug;

use parking_lot::Mutex;
use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use snipemast_core::prelude::*;

use crate::order::OrderMetrics;

/// The bounds of the buckets, in seconds: from a call within an availability zone to the longest
/// that callers wait.
const BUCKETS: [f64; 13] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1.0, 2.0, 4.0, 8.0,
];

/// A part of a request's time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(crate) enum Phase {
    /// From its arrival until it is sent to a server.
    Placed,
    /// From its arrival until an answer begins.
    First,
    /// From its arrival until the answer has ended.
    Whole,
    /// The longest pause between two pieces of an answer.
    Gap,
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(crate) enum Ended {
    /// Its answer was passed on in time.
    OnTime,
    /// Its answer was passed on late.
    Late,
    /// It was refused and has not run.
    Refused,
    /// It has no answer and may have run.
    Unknown,
    /// Its answer broke off.
    Broken,
}

/// Why connections to a server broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(crate) enum BreakCause {
    /// The server ended, without having said that it leaves.
    Ended,
    /// The server ended or is ending, as it had said.
    Leaving,
    /// The server goes on.
    Alive,
    /// The server could not be reached for long enough to tell.
    Unknown,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct BreakLabel {
    cause: BreakCause,
}

/// What became of a new connection of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(crate) enum ConnectionEnd {
    /// Its requests are read.
    Read,
    /// It was closed unread, because this process is overloaded.
    Overloaded,
    /// It was closed unread, because there are too many connections.
    Full,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ConnectionLabel {
    end: ConnectionEnd,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct PhaseLabel {
    phase: Phase,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EndedLabel {
    ended: Ended,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServerLabel {
    server: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct HeaderLabel {
    header: String,
}

fn increment(family: &Family<ServerLabel, Counter>, server: &ServerId, count: u32) {
    let server = server.to_string();
    let counter = family.get_or_create(&ServerLabel { server });
    counter.inc_by(count.into());
}

fn buckets() -> Histogram {
    Histogram::new(BUCKETS)
}

/// The gateway's metrics.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Mutex<Registry>,
    phases: Family<PhaseLabel, Histogram>,
    ended: Family<EndedLabel, Counter>,
    sends: Counter,
    repeats: Counter,
    limited: Family<ServerLabel, Counter>,
    granted: Family<ServerLabel, Counter>,
    rests: Family<ServerLabel, Counter>,
    leaving: Family<ServerLabel, Counter>,
    left_out: Family<ServerLabel, Counter>,
    unknown: Family<HeaderLabel, Counter>,
    breaks: Family<BreakLabel, Counter>,
    connections: Family<ConnectionLabel, Counter>,
    /// The metrics of who is served first.
    pub(crate) order: OrderMetrics,
}

impl Metrics {
    /// Creates metrics that have counted nothing.
    pub(crate) fn new() -> Self {
        let phases = Family::new_with_constructor(buckets as fn() -> Histogram);
        let (ended, sends, repeats) = (Family::default(), Counter::default(), Counter::default());
        let mut registry = Registry::with_prefix("snipemast");
        registry.register(
            "request_seconds",
            "Parts of requests' time",
            Family::clone(&phases),
        );
        registry.register(
            "requests",
            "Requests by how they ended",
            Family::clone(&ended),
        );
        registry.register("sends", "Requests sent to servers", sends.clone());
        registry.register("repeats", "Sends after the first", repeats.clone());
        let mut by_server = |name: &str, help: &str| {
            let family = Family::<ServerLabel, Counter>::default();
            registry.register(name, help, Family::clone(&family));
            family
        };
        let limited = by_server(
            "limited_sends",
            "Requests sent to servers that name a limit",
        );
        let granted = by_server(
            "granted_sends",
            "Requests that the leader granted to servers that name a limit",
        );
        let rests = by_server("rests", "Times that servers asked this host for rest");
        let leaving = by_server(
            "leaving_sends",
            "Requests sent to servers that said that they leave",
        );
        let left_out = by_server(
            "left_out",
            "Times that servers were left out because several hosts saw them fail",
        );
        let unknown = Family::default();
        registry.register(
            "unknown_headers",
            "Answers of servers with a header that this process does not know",
            Family::clone(&unknown),
        );
        let breaks = Family::default();
        registry.register(
            "breaks",
            "Breaks of connections to a server, by their cause",
            Family::clone(&breaks),
        );
        let connections = Family::default();
        registry.register(
            "connections",
            "New connections of callers, by what became of them",
            Family::clone(&connections),
        );
        let order = OrderMetrics::new(&mut registry);
        Self {
            registry: Mutex::new(registry),
            phases,
            ended,
            sends,
            repeats,
            limited,
            granted,
            rests,
            leaving,
            left_out,
            unknown,
            breaks,
            connections,
            order,
        }
    }

    /// Counts requests that the leader granted to a server that names a limit.
    pub(crate) fn count_grant(&self, server: &ServerId, count: u32) {
        increment(&self.granted, server, count);
    }

    /// Counts a request that was sent to a server that names a limit.
    pub(crate) fn count_limited_send(&self, server: &ServerId) {
        increment(&self.limited, server, 1);
    }

    /// Counts a rest that a server asked this host for.
    pub(crate) fn count_rest(&self, server: &ServerId) {
        increment(&self.rests, server, 1);
    }

    /// Counts a request that was sent to a leaving server.
    pub(crate) fn count_leaving_send(&self, server: &ServerId) {
        increment(&self.leaving, server, 1);
    }

    /// Counts a server that is left out because several hosts saw it fail.
    pub(crate) fn count_left_out(&self, server: &ServerId) {
        increment(&self.left_out, server, 1);
    }

    /// Counts an answer with an unknown header.
    pub(crate) fn count_unknown_header(&self, header: &str) {
        let header = header.to_owned();
        self.unknown.get_or_create(&HeaderLabel { header }).inc();
    }

    /// Counts a break of the connections to a server.
    pub(crate) fn count_break(&self, cause: BreakCause) {
        self.breaks.get_or_create(&BreakLabel { cause }).inc();
    }

    /// Counts a new connection of a caller.
    pub(crate) fn count_connection(&self, end: ConnectionEnd) {
        self.connections
            .get_or_create(&ConnectionLabel { end })
            .inc();
    }

    /// Records the duration of a part of a request.
    pub(crate) fn observe(&self, phase: Phase, span: Span) {
        let histogram = self.phases.get_or_create(&PhaseLabel { phase });
        histogram.observe(span.as_secs_f64());
    }

    /// Counts the end of a request.
    pub(crate) fn count_end(&self, ended: Ended) {
        self.ended.get_or_create(&EndedLabel { ended }).inc();
    }

    /// Counts a request that was sent to a server.
    pub(crate) fn count_send(&self, retry: bool) {
        self.sends.inc();
        if retry {
            self.repeats.inc();
        }
    }

    /// Returns all metrics as text. The last line marks the end.
    pub(crate) fn render(&self) -> String {
        let mut text = String::new();
        // Writing to a string never fails.
        let _ = encode(&mut text, &self.registry.lock());
        text
    }
}
