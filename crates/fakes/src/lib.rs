//! Small stand-ins at the interfaces, which serve real HTTP on loopback.
//!
//! - [`engine`]: a model engine that speaks the protocol of `docs/SERVERS.md`.
//! - [`group`]: the engines of a group, which step in lock-step and record the map of each step.
//! - [`orders`]: what a fake engine makes of orders.
//! - [`wire`]: a TCP wire that goes silent, breaks, delays and doubles.
//! - [`service`]: a plain service that counts what it ran.
//! - [`weights`]: a weight store that is slow, fails or has gaps on demand.
//! - [`fleet`]: the membership of many processes over a virtual wire and clock.
//! - [`links`]: what that wire loses and delays.

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
