//! The control role: a replicated log of configuration changes and the state machines on top of it.
//!
//! The log follows the Raft protocol, with pre-vote, check-quorum, leader leases and learners.
//!
//! - [`machine`]: the state machine that applies patches to a configuration.
//! - [`documents`]: the state machine that replaces whole configurations; the highest version is in
//!   force.
//! - [`history`]: the latest changes of that configuration, and [`log_end`]: what the next one is written against.
//! - [`roster`]: the membership change that a leader makes next on its own.
//! - [`forming`]: how the first voters form a cluster, once.
//! - [`apply`]: the trait that a state machine on the replicated log implements.
//! - [`node`]: one voter of the replicated log, without disk, network or clock; its code is split
//!   over `election`, `replicate`, `install` (snapshots), `change` (membership) and `role`.
//! - [`voters`]: the voters and learners, and the rules for changing them.
//! - [`entry`]: the entries of the log and the state that a disk holds.
//! - [`log`]: the log in memory.
//! - [`message`]: the messages between voters.
//! - [`timing`]: timeouts, limits and the random number generator of a voter.
//! - [`storage`]: the trait through which a voter writes to a disk.
//! - [`disk`]: a voter's data folder, made of [`record`]s, an [`identity`] and small [`files`].
//! - [`force`]: replacement of a majority that was lost for good.

pub mod apply;
pub mod disk;
pub mod documents;
pub mod entry;
pub mod files;
pub mod force;
pub mod forming;
pub mod history;
pub mod identity;
pub mod log;
pub mod log_end;
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
mod install;
mod replicate;
mod role;

pub use apply::{RestoreError, StateMachine};
pub use disk::{DiskStorage, Recovery};
pub use entry::{HardState, LogEntry, Payload, Snapshot, StoredState, Write};
pub use machine::ConfigMachine;
pub use message::{Envelope, Message};
pub use node::{Input, Node, NodeEvent, NodeParams, Output, Refusal, Ticket};
pub use storage::{MemoryStorage, Storage, StorageError};
pub use timing::{SplitMix64, Timing};
pub use voters::{ChangeError, ClusterId, Location, VoterChange, VoterId, Voters};
