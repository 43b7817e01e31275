//! Interfaces to backing services: the weight store and the metrics sink.
//!
//! - [`weights`]: the weight store, and the rate limit on it that all groups share.
//! - [`metrics`]: counters and gauges that are sent to a statsd address.

pub mod metrics;
pub mod weights;
