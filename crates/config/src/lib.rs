//! The numbered configuration: its document, its patches and their checks.
//!
//! - [`document`]: workspaces, services, models and groups, as one [`Config`](document::Config).
//! - [`patch`]: a change against a numbered version, taken whole or refused whole.
//! - [`check`]: every fault of a document, each with its path.
//! - [`secret`]: hashes of keys, compared in constant time.

pub mod check;
pub mod document;
pub mod patch;
pub mod secret;

pub use check::{Fault, FaultKind};
pub use document::{
    Config, Group, GroupWeights, Limits, Model, Operator, Role, Service, Workspace,
};
pub use patch::{Patch, Refusal, Verdict};
pub use secret::KeyHash;
