//! The entry host process, which accepts callers' requests and returns complete answers.
//!
//! - [`admit`]: admission of requests by limits, fair shares and early refusal.
//! - [`process`]: the process's life cycle: start, drain and stop.
//! - [`shared`]: the state that all requests of the process share.
//! - [`gossip`]: sends and receives membership's messages.
//! - [`registry`]: the agents that requests can be sent to.
//! - [`choose`]: the routing state, in shards, and the choice of a server.
//! - [`front`]: the HTTP interface for callers.
//! - [`relay`]: passes a request to a backend server and its answer back to the caller.
//! - [`attempt`]: performs the connections, timers and choices that one request's state machine asks for.
//! - [`keys`]: idempotency keys and suspected requests: this entry's keeper, and its claims at other keepers.
//! - [`own`]: the HTTP interface for the system's own processes.
//! - [`control`]: the control role of this host, or the forwarding of patches to a host that has it.
//! - [`desk`]: the HTTP interface for operators.
//! - [`metrics`]: reports the metrics at a fixed interval.
//! - [`timeline`]: collects and merges the events of every known process.
//! - [`follow`]: fetches the configuration from the hosts that the settings name.
//! - [`orders`]: sends the control leader's orders and collects fencing numbers.
//! - [`spread`]: serves the configuration to the processes that poll for it.
//! - [`copy`]: the copy of the configuration on the local disk.
//! - [`voter`]: one voter of the replicated log, which is the control role.

pub mod admit;
pub mod attempt;
pub mod choose;
pub mod control;
pub mod copy;
pub mod desk;
pub mod follow;
pub mod front;
pub mod gossip;
pub mod keys;
pub mod metrics;
pub mod orders;
pub mod own;
pub mod process;
pub mod registry;
pub mod relay;
pub mod shared;
pub mod spread;
pub mod timeline;
pub mod voter;

pub use process::{Entry, EntryError};
pub use shared::Shared;
