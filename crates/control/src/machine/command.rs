//! The commands that the replicated log carries for the state machine, and their replies.

use std::fmt;

use snipemast_config::{Patch, Verdict, WallTime};
use snipemast_core::prelude::*;

data! {
    /// A command for the state machine.
    pub enum Command {
        /// An operator submits a patch.
        Submit(Submission),
    }

    /// A patch with its author and time.
    pub struct Submission {
        /// The patch.
        pub patch: Patch,
        /// The operator whose key came with it; none before the first operator is configured.
        pub author: Option<OperatorId>,
        /// The wall-clock time of the host that received it.
        pub time: WallTime,
    }

    /// The reply to a command.
    pub enum Reply {
        /// The verdict on a patch.
        Verdict(Verdict),
        /// This release does not know the command.
        Unknown,
    }
}

/// The bytes are no command of this release.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CommandError;

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not a command of this release")
    }
}

impl std::error::Error for CommandError {}

impl Command {
    /// Encodes the command for the log.
    pub fn to_bytes(&self) -> Vec<u8> {
        rmp_serde::to_vec_named(self).expect("the command can be encoded")
    }

    /// Decodes a command.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, CommandError> {
        rmp_serde::from_slice(bytes).map_err(|_| CommandError)
    }
}

impl Reply {
    /// Encodes the reply, which the log returns as the verdict on the command.
    pub fn to_bytes(&self) -> Vec<u8> {
        rmp_serde::to_vec_named(self).expect("the reply can be encoded")
    }

    /// Decodes a reply; bytes that are no reply count as [`Reply::Unknown`].
    pub fn from_bytes(bytes: &[u8]) -> Self {
        rmp_serde::from_slice(bytes).unwrap_or(Self::Unknown)
    }
}
