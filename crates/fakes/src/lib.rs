//! Small stand-ins at the interfaces, which serve real HTTP on loopback.
//!
//! - [`engine`]: a model engine that speaks the protocol of `docs/SERVERS.md`.
//! - [`service`]: a plain service that counts what it ran.

pub mod engine;
pub mod service;

pub use engine::FakeEngine;
pub use service::FakeService;
