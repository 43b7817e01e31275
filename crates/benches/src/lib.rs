//! Benches and the load and experiment tool.
//!
//! - [`traces`]: expert popularity over time, and baselines of rebalancing.

pub mod traces;
