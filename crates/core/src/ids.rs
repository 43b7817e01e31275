//! Ids of hosts, processes, requests and configuration objects.

use std::fmt;
use std::str::FromStr;

use crate as snipemast_core;
use crate::data;

/// The result of parsing an id.
pub type Result<T> = std::result::Result<T, IdError>;

/// The length of the longest accepted name, in characters.
pub const MAX_NAME_LENGTH: usize = 64;

/// A text that is not a valid id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IdError {
    /// The expected type.
    pub kind: &'static str,
    /// The rejected text.
    pub text: String,
}

impl fmt::Display for IdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} is not a valid {}", self.text, self.kind)
    }
}

impl std::error::Error for IdError {}

crate::name_ids! {
    /// A host, which runs one process of the system.
    HostId;
    /// An availability zone.
    ZoneId;
    /// A region, which holds availability zones.
    RegionId;
    /// A workspace: the customer that a request is billed to.
    WorkspaceId;
    /// A backend server: one rank of a model engine, or a plain service.
    ServerId;
    /// A service that callers address by name.
    ServiceId;
    /// A model that callers address by name.
    ModelId;
    /// An adapter loaded on top of a model.
    AdapterId;
    /// A group of ranks that run their steps together.
    GroupId;
    /// An operator's own id for a patch, which identifies a resend.
    PatchId;
    /// An operator.
    OperatorId;
    /// A caller's key for one non-idempotent request.
    RequestKey;
    /// A part of a prompt, which several requests may share.
    PartId;
}

crate::number_ids! {
    /// One start of a process; a later start has a larger number.
    Incarnation;
    /// A version of the configuration.
    Version;
    /// The term of a control leader.
    Term;
    /// A fencing number; an order is refused if its number is lower than one already seen.
    Fence;
    /// A position in the replicated log, starting at 1.
    Index;
    /// A step that all ranks of a group run in lock-step.
    Step;
    /// A version of a group's expert map.
    MapVersion;
    /// One start of a group on a set of ranks.
    GroupIncarnation;
    /// A ballot in the recovery of a group.
    Ballot;
}

data! {
    /// A process, identified by its host and its incarnation.
    #[derive(PartialOrd, Ord, Hash)]
    pub struct ProcessId {
        /// The host.
        pub host: HostId,
        /// The incarnation of the process on that host.
        pub incarnation: Incarnation,
    }

    /// One attempt to run a request, unique across all entries and their restarts.
    #[derive(PartialOrd, Ord, Hash)]
    pub struct DispatchId {
        /// The entry that made the attempt.
        pub entry: ProcessId,
        /// A counter within the incarnation of the entry.
        pub counter: u64,
    }

    /// One request of a caller, with all its attempts.
    #[derive(PartialOrd, Ord, Hash)]
    pub struct RequestId {
        /// The entry that received the request.
        pub entry: ProcessId,
        /// A counter within the incarnation of the entry.
        pub counter: u64,
    }
}

impl ProcessId {
    /// Creates the id of a process.
    pub fn new(host: HostId, incarnation: Incarnation) -> Self {
        Self { host, incarnation }
    }
}

impl fmt::Display for ProcessId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.host, self.incarnation)
    }
}

impl FromStr for ProcessId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self> {
        let (host, incarnation) = text
            .rsplit_once(':')
            .ok_or_else(|| invalid_id("ProcessId", text))?;
        Ok(Self::new(host.parse()?, incarnation.parse()?))
    }
}

macro_rules! counted_id {
    ($name:ident) => {
        impl $name {
            /// Creates the id with this counter.
            pub fn new(entry: ProcessId, counter: u64) -> Self {
                Self { entry, counter }
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}:{}", self.entry, self.counter)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self> {
                let (entry, counter) = text
                    .rsplit_once(':')
                    .ok_or_else(|| invalid_id(stringify!($name), text))?;
                Ok(Self::new(
                    entry.parse()?,
                    parse_number(stringify!($name), counter)?,
                ))
            }
        }
    };
}

counted_id!(DispatchId);
counted_id!(RequestId);

/// Checks the length and the characters of a name.
#[doc(hidden)]
pub fn check_name(kind: &'static str, text: String) -> Result<String> {
    let fits = !text.is_empty() && text.len() <= MAX_NAME_LENGTH;
    let valid_chars = text
        .bytes()
        .all(|b| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'_' | b'-'));
    if fits && valid_chars {
        Ok(text)
    } else {
        Err(invalid_id(kind, &text))
    }
}

/// Parses a number without a unit.
#[doc(hidden)]
pub fn parse_number(kind: &'static str, text: &str) -> Result<u64> {
    text.parse().map_err(|_| invalid_id(kind, text))
}

/// Returns the error for an invalid id, with at most [`MAX_NAME_LENGTH`] characters of its text.
fn invalid_id(kind: &'static str, text: &str) -> IdError {
    IdError {
        kind,
        text: text.chars().take(MAX_NAME_LENGTH).collect(),
    }
}
