//! Ids of hosts, processes, requests and configuration objects.

use std::fmt;
use std::str::FromStr;

use crate as snipemast_core;
use crate::data;

/// The result of parsing an id.
pub type Result<T> = std::result::Result<T, IdError>;

/// The longest name that is accepted, in characters.
pub const MAX_NAME: usize = 64;

/// Why a text is not an id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IdError {
    /// The type that was asked for.
    pub kind: &'static str,
    /// The text that was refused.
    pub text: String,
}

impl fmt::Display for IdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} is not a valid {}", self.text, self.kind)
    }
}

impl std::error::Error for IdError {}

crate::name_ids! {
    /// A host that runs one process of the system.
    HostId;
    /// An availability zone.
    ZoneId;
    /// A region, which holds availability zones.
    RegionId;
    /// A workspace: the customer a request is billed to.
    WorkspaceId;
    /// A backend server: one rank of a model engine, or a plain service.
    ServerId;
    /// A service that callers address by name.
    ServiceId;
    /// A model that callers address by name.
    ModelId;
    /// An adapter loaded on top of a model.
    AdapterId;
    /// A group of ranks that step together.
    GroupId;
    /// An operator's own id for one patch, by which a resend is known.
    PatchId;
    /// An operator.
    OperatorId;
    /// A caller's key for one non-idempotent request.
    RequestKey;
}

crate::number_ids! {
    /// The start of a process: a later one is larger.
    Incarnation;
    /// The version of the configuration.
    Version;
    /// A term of office of a control leader.
    Term;
    /// A fencing number: orders with a lower one than seen are refused.
    Fence;
    /// A position in the replicated log, from 1.
    Index;
    /// A lock-step step of a group.
    Step;
    /// The version of a group's expert map.
    MapVersion;
    /// The start of a group on a set of ranks.
    GroupIncarnation;
    /// A ballot of a group's recovery.
    Ballot;
}

data! {
    /// A process: a host and the incarnation that runs on it.
    #[derive(PartialOrd, Ord, Hash)]
    pub struct ProcessId {
        /// The host.
        pub host: HostId,
        /// The start of the process on that host.
        pub incarnation: Incarnation,
    }

    /// One attempt to run a request: unique over all entries and their restarts.
    #[derive(PartialOrd, Ord, Hash)]
    pub struct DispatchId {
        /// The entry that made the attempt.
        pub entry: ProcessId,
        /// A counter within that incarnation of the entry.
        pub counter: u64,
    }

    /// One request of a caller, with all its attempts.
    #[derive(PartialOrd, Ord, Hash)]
    pub struct RequestId {
        /// The entry that took the request.
        pub entry: ProcessId,
        /// A counter within that incarnation of the entry.
        pub counter: u64,
    }
}

impl ProcessId {
    /// Names a process.
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
            .ok_or_else(|| refused("ProcessId", text))?;
        Ok(Self::new(host.parse()?, incarnation.parse()?))
    }
}

macro_rules! counted_id {
    ($name:ident) => {
        impl $name {
            /// Names the attempt or request with this counter.
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
                    .ok_or_else(|| refused(stringify!($name), text))?;
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

/// Checks the text of a name.
#[doc(hidden)]
pub fn check_name(kind: &'static str, text: String) -> Result<String> {
    let fits = !text.is_empty() && text.len() <= MAX_NAME;
    let clean = text
        .bytes()
        .all(|b| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'_' | b'-'));
    if fits && clean {
        Ok(text)
    } else {
        Err(refused(kind, &text))
    }
}

/// Parses a bare number.
#[doc(hidden)]
pub fn parse_number(kind: &'static str, text: &str) -> Result<u64> {
    text.parse().map_err(|_| refused(kind, text))
}

fn refused(kind: &'static str, text: &str) -> IdError {
    IdError {
        kind,
        text: text.chars().take(MAX_NAME).collect(),
    }
}
