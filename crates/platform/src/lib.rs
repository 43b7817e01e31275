//! Interfaces towards the platform: balancer, weight store, metrics sink.
//!
//! - [`metrics`]: counters and gauges, sent to a statsd address.

pub mod metrics;
