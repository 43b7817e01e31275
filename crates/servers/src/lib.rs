//! The protocol towards backend servers, as `docs/SERVERS.md` describes it.
//!
//! - [`protocol`]: paths, headers and JSON shapes.
//! - [`engine`]: a client for one backend server.

pub mod engine;
pub mod protocol;

pub use engine::{Answer, Engine, EngineError};
