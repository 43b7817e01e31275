//! Benches and the load and experiment tool.
