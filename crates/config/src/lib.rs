//! The versioned configuration: its document, the patches that change it, and their checks.
//!
//! - [`document`]: workspaces, services, models and groups, as one [`Config`].
//! - [`section`]: maps of named entries that versions share until one of them changes.
//! - [`patch`]: changes to a numbered version, which are accepted or refused as a whole.
//! - [`merge`]: JSON merge patches (RFC 7396).
//! - [`strict`]: a JSON parser that refuses duplicate fields.
//! - [`check`]: finds every fault of a document, each with its path.
//! - [`delta`]: the difference between two versions, as a value of its own.
//! - [`news`]: the messages by which processes pass new versions on.
//! - [`follower`]: polls other processes to keep this one at the newest version.
//! - [`census`]: counts which processes have which version in force.
//! - [`index`]: finds the workspace that owns a bearer key.
//! - [`wishes`]: the actions that bring a backend server to its configured state.
//! - [`secret`]: hashes of bearer keys, compared in constant time.
//! - [`wall`]: wall-clock times, which are only displayed and never decided on.

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
pub use follower::{AskId, Follower, FollowerTimeouts};
pub use news::{Ask, DeltaLog, News, Reply, Snapshot, SnapshotHead};
pub use patch::{Change, Patch, Refusal, Verdict};
pub use secret::KeyHash;
pub use section::Section;
pub use wall::WallTime;
