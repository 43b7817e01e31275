//! The agent beside a backend server: the one gate in front of it.
//!
//! - [`process`]: start, announce, drain, stop.
//! - [`metrics`]: reports the metrics, again and again.
//! - [`gate`]: takes dispatches, passes them to the backend server, frames the answer.
//! - [`orders`]: the gate for orders.
//! - [`announce`]: tells entry hosts what the backend server offers and how loaded it is.
//! - [`rank`]: a rank's part in its group: the shell around the machines of agreement.

pub mod announce;
pub mod gate;
pub mod metrics;
pub mod orders;
pub mod process;
pub mod rank;

pub use process::{Agent, AgentError};
pub use rank::{RankHandler, RankShell};
