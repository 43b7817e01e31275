//! The numbered configuration: its document, its patches and their checks.
//!
//! - [`document`]: workspaces, services, models and groups, as one [`Config`].
//! - [`section`]: entries by name, which versions share until one of them changes.
//! - [`patch`]: a change against a numbered version, taken whole or refused whole.
//! - [`merge`]: JSON merge patches (RFC 7396).
//! - [`strict`]: JSON in which no object names a field twice.
//! - [`check`]: every fault of a document, each with its path.
//! - [`delta`]: what changed between two versions, as a value of its own.
//! - [`news`]: what processes tell each other about the version in force.
//! - [`follower`]: keeps one process at the newest version it can learn of.
//! - [`census`]: who has which version in force.
//! - [`index`]: the index from bearer keys to workspaces.
//! - [`wishes`]: what the configuration asks of a backend server.
//! - [`secret`]: hashes of keys, compared in constant time.
//! - [`wall`]: wall-clock times, which are shown to people and decide nothing.

pub mod census;
pub mod check;
pub mod delta;
pub mod document;
pub mod follower;
pub mod index;
pub mod merge;
pub mod news;
pub mod patch;
mod read;
pub mod secret;
pub mod section;
pub mod strict;
pub mod wall;
pub mod wishes;

pub use census::{Census, CensusTracker, ProcessVersion};
pub use check::{Fault, FaultKind};
pub use delta::{Changes, Delta, DeltaError};
pub use document::{
    Config, Group, GroupWeights, Limits, Model, Operator, Role, Server, ServerRole, Service,
    Workspace, Workspaces,
};
pub use follower::{AskId, FollowLimits, Follower};
pub use news::{Ask, DeltaLog, News, Reply, Snapshot, SnapshotHead};
pub use patch::{Change, Patch, Refusal, Verdict};
pub use secret::KeyHash;
pub use section::Section;
pub use wall::WallTime;
