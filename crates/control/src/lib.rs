//! The control role: which configuration is in force.
//!
//! - [`machine`]: the state machine that patches are applied to.
//! - [`documents`]: the state machine of whole configurations, the highest number in force.
//! - [`roster`]: which change of the voters a leader makes next by itself.
//! - [`forming`]: how the first voters become a cluster, once.
//! - [`apply`]: what the replicated log asks of a state machine.
//! - [`node`]: one voter of the replicated log, without disk, wire or clock.
//!   `election`, `replicate`, `install`, `change` and `role` are its parts.
//! - [`voters`]: who votes, and how that may change.
//! - [`entry`]: what stands in the log and on the disk.
//! - [`log`]: the log in memory.
//! - [`message`]: what voters say to each other.
//! - [`timing`]: timeouts, bounds and chance.
//! - [`storage`]: what a voter asks of a disk.
//! - [`disk`]: a voter's data folder, out of [`record`], [`identity`] and small `files`.
//! - [`force`]: replacement of a majority that was lost for good.

pub mod apply;
pub mod disk;
pub mod documents;
pub mod entry;
pub mod force;
pub mod forming;
pub mod identity;
pub mod log;
pub mod machine;
pub mod message;
pub mod node;
pub mod record;
pub mod roster;
pub mod storage;
pub mod timing;
pub mod voters;

mod change;
mod election;
mod files;
mod install;
mod replicate;
mod role;

pub use apply::{RestoreError, StateMachine};
pub use disk::{DiskStorage, Recovery};
pub use entry::{Hard, LogEntry, Payload, Snapshot, StoredState, Write};
pub use machine::ConfigMachine;
pub use message::{Envelope, Message};
pub use node::{Input, Node, NodeEvent, NodeParams, Output, Refusal, Ticket};
pub use storage::{MemoryStorage, Storage, StorageError};
pub use timing::{SplitMix64, Timing};
pub use voters::{ChangeError, ClusterId, Location, VoterChange, VoterId, Voters};
