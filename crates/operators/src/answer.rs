//! The JSON shapes of the answers.

use serde_json::Value;

use snipemast_config::{Census, Fault, ProcessVersion, Refusal, Verdict};
use snipemast_core::prelude::*;
use snipemast_routing::LimitStatus;

data! {
    /// What became of a patch.
    #[serde(tag = "outcome", rename_all = "lowercase")]
    pub enum VerdictAnswer {
        /// It is in force, whole.
        Accepted {
            /// As this version.
            version: Version,
        },
        /// It was made against another version; nothing of it is in force.
        Conflict {
            /// The version in force.
            current: Version,
        },
        /// It has faults; nothing of it is in force.
        Faulty {
            /// Each of them.
            faults: Vec<FaultLine>,
        },
        /// Its id was used before, for another patch; nothing of it is in force.
        Reused,
    }

    /// One fault.
    pub struct FaultLine {
        /// Where, as a dotted path.
        pub path: String,
        /// What is wrong.
        pub fault: String,
    }

    /// What a patch would come to.
    pub struct DryRunAnswer {
        /// The verdict that it would get now.
        pub verdict: VerdictAnswer,
        /// What it would change, where it would be accepted.
        pub change: Option<Value>,
    }

    /// One version of the history.
    pub struct HistoryLine {
        /// The version.
        pub version: Version,
        /// The patch that made it.
        pub patch: Option<PatchId>,
        /// Who submitted it.
        pub author: Option<OperatorId>,
        /// When, in RFC 3339.
        pub time: String,
        /// Why.
        pub reason: String,
        /// The names that it changed, as dotted paths.
        pub touched: Vec<String>,
    }

    /// What a host knows.
    pub struct StatusReport {
        /// What this process has in force.
        pub standing: ProcessVersion,
        /// Whether a source of the configuration answers it.
        pub linked: bool,
        /// The highest fencing number that it heard of.
        pub fence: Fence,
        /// Requests in flight.
        pub running: u64,
        /// Whether it is on its way out.
        pub draining: bool,
        /// Who has which version, of those that ask this process.
        pub census: Census,
        /// The agents that announced themselves here.
        pub members: Vec<MemberLine>,
        /// Who is held back and why, and what waits where.
        #[serde(default)]
        pub limits: LimitStatus,
    }

    /// One agent and its backend server.
    pub struct MemberLine {
        /// The agent.
        pub agent: String,
        /// Its availability zone.
        pub zone: ZoneId,
        /// The backend server.
        pub server: ServerId,
        /// What it offers.
        pub offers: Vec<Offer>,
        /// Whether it takes no new work.
        pub draining: bool,
        /// Its load.
        pub load: LoadReport,
    }
}

impl VerdictAnswer {
    /// The HTTP status that goes with it.
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
