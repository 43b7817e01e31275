//! Test doubles at the interfaces of the system.
//!
//! The engines, the service and the proxy serve real connections on loopback; the fleet runs on a
//! simulated network and clock.
//!
//! - [`engine`]: a model engine that implements the protocol of `docs/SERVERS.md`.
//! - [`group`]: the engines of a group, which run in lock-step and record the map of each step.
//! - [`orders`]: how a fake engine carries out orders.
//! - [`wire`]: a TCP proxy that falls silent, breaks connections, delays data and duplicates it.
//! - [`service`]: a plain service that counts the calls it ran.
//! - [`weights`]: a weight store that is slow or fails on demand.
//! - [`fleet`]: the membership of many processes on a simulated network and clock.
//! - [`links`]: what the simulated network loses and delays.

mod cache;
pub mod engine;
pub mod fleet;
pub mod group;
pub mod links;
pub mod orders;
pub mod service;
mod shape;
pub mod weights;
pub mod wire;

pub use engine::FakeEngine;
pub use fleet::Fleet;
pub use group::FakeGroup;
pub use links::{Links, Place, Side};
pub use service::FakeService;
pub use weights::FakeStore;
pub use wire::{FakeProxy, ProxyMode};
