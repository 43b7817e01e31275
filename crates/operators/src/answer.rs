//! The JSON shapes of answers to operators.

use serde_json::Value;

use snipemast_config::{Census, Fault, ProcessVersion, Refusal, Verdict};
use snipemast_core::prelude::*;
use snipemast_routing::LimitStatus;

data! {
    /// The verdict on a patch.
    #[serde(tag = "outcome", rename_all = "lowercase")]
    pub enum VerdictAnswer {
        /// The whole patch is in force.
        Accepted {
            /// The version that the patch made.
            version: Version,
        },
        /// The patch was made against another version; no part of it is in force.
        Conflict {
            /// The version in force.
            current: Version,
        },
        /// The patch has faults; no part of it is in force.
        Faulty {
            /// All faults of the patch.
            faults: Vec<FaultLine>,
        },
        /// The patch's id was used before for another patch; no part of it is in force.
        Reused,
    }

    /// One fault of a patch.
    pub struct FaultLine {
        /// The place of the fault, as a dotted path.
        pub path: String,
        /// A description of the fault.
        pub fault: String,
    }

    /// The effect that a patch would have.
    pub struct DryRunAnswer {
        /// The verdict that the patch would get now.
        pub verdict: VerdictAnswer,
        /// What the patch would change, if it would be accepted.
        pub change: Option<Value>,
    }

    /// One version in the history of the configuration.
    pub struct HistoryLine {
        /// The version.
        pub version: Version,
        /// The patch that made the version.
        pub patch: Option<PatchId>,
        /// The operator who submitted the patch.
        pub author: Option<OperatorId>,
        /// The time of the patch, in RFC 3339 format.
        pub time: String,
        /// The reason that the operator gave.
        pub reason: String,
        /// The names that the patch changed, as dotted paths.
        pub touched: Vec<String>,
    }

    /// The state of the system as a host knows it.
    pub struct StatusReport {
        /// The configuration that this process has in force.
        pub standing: ProcessVersion,
        /// Whether a source of the configuration answers this process.
        pub linked: bool,
        /// The highest fencing number that this process has learnt.
        pub fence: Fence,
        /// The number of requests in flight.
        pub running: u64,
        /// Whether this process is draining.
        pub draining: bool,
        /// The versions of the processes that poll this process.
        pub census: Census,
        /// The agents that announced themselves to this process.
        pub members: Vec<MemberLine>,
        /// The workspaces that are held at a limit and why, and the requests that are waiting.
        #[serde(default)]
        pub limits: LimitStatus,
    }

    /// An agent and its backend server.
    pub struct MemberLine {
        /// The agent's name.
        pub agent: String,
        /// The agent's availability zone.
        pub zone: ZoneId,
        /// The backend server.
        pub server: ServerId,
        /// What the server offers.
        pub offers: Vec<Offer>,
        /// Whether the agent is draining and takes no new work.
        pub draining: bool,
        /// The server's load.
        pub load: LoadReport,
    }
}

impl VerdictAnswer {
    /// Returns the HTTP status of the answer.
    pub const fn status(&self) -> u16 {
        match self {
            Self::Accepted { .. } => 200,
            Self::Conflict { .. } | Self::Reused => 409,
            Self::Faulty { .. } => 422,
        }
    }
}

impl From<Verdict> for VerdictAnswer {
    fn from(verdict: Verdict) -> Self {
        match verdict {
            Verdict::Accepted { version } => Self::Accepted { version },
            Verdict::Refused { refusal } => refusal.into(),
        }
    }
}

impl From<Refusal> for VerdictAnswer {
    fn from(refusal: Refusal) -> Self {
        match refusal {
            Refusal::Conflict { current } => Self::Conflict { current },
            Refusal::Faulty { faults } => faults.into(),
            Refusal::Reused => Self::Reused,
        }
    }
}

impl From<Vec<Fault>> for VerdictAnswer {
    fn from(faults: Vec<Fault>) -> Self {
        let line = |fault: Fault| FaultLine {
            path: fault.path,
            fault: fault.kind.to_string(),
        };
        Self::Faulty {
            faults: faults.into_iter().map(line).collect(),
        }
    }
}
