//! The protocol towards backend servers, as `docs/SERVERS.md` describes it.
//!
//! - [`protocol`]: paths and headers.
//! - [`engine`]: a client for one backend server.
//! - [`orders`]: a client for orders to one model engine.

pub mod engine;
pub mod orders;
pub mod protocol;

pub use engine::{Answer, Engine, EngineError};
