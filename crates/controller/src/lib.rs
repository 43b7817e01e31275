//! The shell of a control host on the platform: sockets, disk and clock around the decisions.
//!
//! - [`process`]: starts everything, and ends when it is told to.
//! - [`state`]: what the parts share.
//! - `voter`: runs the replicated log's node, with `disk` and `links` at its sides.
//! - `join`: finds the cluster, or forms it on the first start.
//! - `strangers`: who sent announcements that name no server to use.
//! - `peers`: calls between controllers.
//! - `api`: what operators and servers call.
//! - `spread`: what gateways and other controllers poll.

pub mod process;
pub mod state;

mod api;
mod disk;
mod join;
mod links;
mod peers;
mod spread;
mod strangers;
mod voter;

pub use process::run;
