//! Ids, units, errors, clocks and events that all packages share.
//!
//! - [`macros`](crate::data): the derives that plain data types share, and the id newtypes.
//! - [`ids`]: ids of hosts, processes, requests and configuration objects.
//! - [`units`]: sizes, durations and rates, and how settings write them.
//! - [`time`]: points in monotonic time, passed into the packages that make decisions.
//! - [`hash`]: mixing of numbers, the source of pseudo-random choices.
//! - [`hlc`]: hybrid logical clocks, which order the events of different processes.
//! - [`departures`]: servers that deregistered.
//! - [`evacuation`]: availability zones that operators have evacuated.
//! - [`events`]: the numbered events and the bounded ring buffer that keeps them.
//! - [`outcome`]: whether a request ran, as far as its caller may conclude.
//! - [`priority`]: the priority of workspaces and routes.
//! - [`recent`]: a map with a fixed capacity.
//! - [`server`]: what a backend server offers and reports.
//! - [`starts`]: a map of values by backend server and start.
//! - [`log_budget`]: how many log lines of each kind are written in a second.
//! - [`logs`]: structured logs with one numbered event per line.

mod macros;

pub mod departures;
pub mod evacuation;
pub mod events;
pub mod hash;
pub mod hlc;
pub mod ids;
pub mod log_budget;
pub mod logs;
pub mod outcome;
pub mod prelude;
pub mod priority;
pub mod recent;
pub mod server;
pub mod starts;
pub mod time;
pub mod units;

#[doc(hidden)]
pub use serde;
