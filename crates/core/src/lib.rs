//! Ids, units, errors, clocks and events shared by every package.
//!
//! - [`macros`](crate::data): the derives that most types share, and the id types.
//! - [`ids`]: who and what a message speaks of.
//! - [`units`]: sizes, durations and rates with their text forms.
//! - [`time`]: monotonic moments, passed into the decision packages.
//! - [`hash`]: seeded mixing, for random picks.
//! - [`hlc`]: hybrid logical clocks, which order events over processes.
//! - [`events`]: the numbered events and the bounded ring that keeps them.
//! - [`outcome`]: what a caller may conclude about a request.
//! - [`server`]: what a backend server offers and reports.
//! - [`starts`]: what is known of single starts of servers.
//! - [`log_budget`]: how many log lines of each kind there may be in a second.
//! - [`logs`]: structured logs, one numbered event a line.

mod macros;

pub mod events;
pub mod hash;
pub mod hlc;
pub mod ids;
pub mod log_budget;
pub mod logs;
pub mod outcome;
pub mod prelude;
pub mod server;
pub mod starts;
pub mod time;
pub mod units;

#[doc(hidden)]
pub use serde;
