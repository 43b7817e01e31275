//! How a request ended whose answer is not whole.

use std::fmt;

use snipemast_core::data;
use snipemast_core::prelude::*;

use crate::answer::{Failure, RefusalReason};

data! {
    /// Why a request has no whole answer, and whether it ran.
    #[derive(Copy, Hash)]
    pub struct Verdict {
        /// Why the answer is not whole.
        pub reason: Reason,
        /// Whether the request ran on a backend server.
        pub outcome: Outcome,
    }

    /// Why an answer is not whole.
    #[derive(Copy, Hash)]
    pub enum Reason {
        /// No backend server can take the request.
        NoServer,
        /// The agent of the last attempt refused the request.
        Refused(RefusalReason),
        /// The agent of the attempt can't be reached any more.
        Lost,
        /// The backend server failed.
        Failed(Failure),
        /// The bytes that arrived are not the ones that were sent.
        Corrupt,
        /// The answer is longer than what an entry buffers for a caller that doesn't stream.
        TooLong,
        /// The deadline passed.
        Late,
        /// The caller disconnected.
        CallerGone,
        /// The key was used with another body.
        KeyReused,
        /// No majority of the key's keepers can be reached.
        KeyUnsure,
        /// The request crashed backend servers and is quarantined.
        Quarantined,
        /// The request is suspected of crashing backend servers and already runs elsewhere.
        SuspectRuns,
    }
}

impl Verdict {
    /// Creates a verdict.
    pub const fn new(reason: Reason, outcome: Outcome) -> Self {
        Self { reason, outcome }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoServer => f.write_str("no backend server can take the request"),
            Self::Refused(reason) => write!(f, "{reason}"),
            Self::Lost => f.write_str("the agent of the backend server can't be reached"),
            Self::Failed(reason) => write!(f, "{reason}"),
            Self::Corrupt => f.write_str("the answer was damaged on its way"),
            Self::TooLong => f.write_str("the answer is too long to be held; stream it"),
            Self::Late => f.write_str("the deadline passed"),
            Self::CallerGone => f.write_str("the caller left"),
            Self::KeyReused => f.write_str("the key was used with another body"),
            Self::KeyUnsure => f.write_str("no majority of the key's keepers can be reached"),
            Self::SuspectRuns => f.write_str("a suspected request runs once at a time"),
            Self::Quarantined => f.write_str("the request crashed backend servers"),
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({})", self.reason, self.outcome)
    }
}
