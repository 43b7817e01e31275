//! Interfaces towards the platform: balancer, weight store, metrics sink.
