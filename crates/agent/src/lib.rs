//! The agent beside a backend server: every request and order reaches the server through it.
//!
//! - [`process`]: starts, drains and stops the agent.
//! - [`metrics`]: reports the metrics at a fixed interval.
//! - [`gate`]: accepts dispatches, passes them to the backend server, and relays its answers to entries.
//! - [`orders`]: decides which orders reach the backend server.
//! - [`announce`]: announces to entry hosts what the backend server offers and how loaded it is.
//! - [`rank`]: runs the state machines by which the ranks of a group agree on expert maps.

pub mod announce;
pub mod gate;
pub mod metrics;
pub mod orders;
pub mod process;
pub mod rank;

pub use process::{Agent, AgentError};
pub use rank::{RankDriver, RankHandler};
