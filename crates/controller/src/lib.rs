//! A controller: the sockets, disk and clock of a control host on the platform.
//!
//! - [`process`]: starts the parts of a controller and stops them.
//! - [`state`]: the state that the parts share.
//! - `voter`: runs the node of the replicated log, with `disk` for writes and `links` for messages.
//! - `submit`: submissions to the log, and the configurations that it holds.
//! - `departures`: deregistrations that outlast all processes.
//! - `join`: finds the cluster, or forms it on the first start, and asks to join it.
//! - `unknown_senders`: the senders of announcements that are refused.
//! - `peers`: the messages of calls between controllers.
//! - `api`: the HTTP interface for operators, servers and the system's own processes.
//! - `evacuation`: operators' orders to evacuate an availability zone, and to take it back.
//! - `crashes`: requests that crash servers, as gateways tell of them.
//! - `spread`: the answers to polls of gateways and other controllers.

pub mod process;
pub mod state;

mod api;
mod crashes;
mod departures;
mod disk;
mod evacuation;
mod join;
mod links;
mod peers;
mod spread;
mod submit;
mod unknown_senders;
mod voter;

pub use process::run;
