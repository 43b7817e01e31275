//! The typed messages between the system's own processes.

use std::net::SocketAddr;

use snipemast_core::data;
use snipemast_core::prelude::*;

pub use snipemast_requests::suspicion::{KnownFacts, SuspicionEntry};
pub use snipemast_requests::{AttemptStatus, Header};

/// Paths of the messages on each process's HTTP server.
pub mod path {
    /// An entry sends a request to an agent: [`Dispatch`](super::Dispatch).
    pub const DISPATCH: &str = "/own/dispatch";
    /// An entry resumes an answer stream: [`ResumeFrom`](super::ResumeFrom).
    pub const RESUME: &str = "/own/resume";
    /// An entry settles a lost attempt: [`Settle`](super::Settle).
    pub const SETTLE: &str = "/own/settle";
    /// An entry cancels an attempt: [`Cancel`](super::Cancel).
    pub const CANCEL: &str = "/own/cancel";
    /// A process polls for the configuration: [`ConfigPoll`](crate::config::ConfigPoll).
    pub const CONFIG: &str = "/own/config";
    /// An operator's patch on its way to the leader: [`PatchAsk`](crate::config::PatchAsk).
    pub const PATCH: &str = "/own/patch";
    /// A keeper of keys is asked: [`KeeperAsk`](snipemast_requests::KeeperAsk).
    pub const KEEPER: &str = "/own/keeper";
    /// An entry tells another what it suspects: [`Suspected`](super::Suspected).
    pub const SUSPECTED: &str = "/own/suspected";
    /// A process is asked for its events: a [`Stamp`](snipemast_core::hlc::Stamp).
    pub const EVENTS: &str = "/own/events";
}

data! {
    /// An agent's word about itself and its backend server.
    pub struct Announce {
        /// The agent.
        pub agent: ProcessId,
        /// Where the agent listens.
        pub address: SocketAddr,
        /// Its availability zone.
        pub zone: ZoneId,
        /// Its region.
        pub region: RegionId,
        /// What its backend server offers.
        pub info: ServerInfo,
        /// The backend server's load.
        pub load: LoadReport,
        /// Whether it refuses new dispatches.
        pub draining: bool,
    }

    /// What the backend server is asked.
    pub struct Call {
        /// The HTTP method.
        pub method: String,
        /// The path and query on the backend server.
        pub path: String,
        /// The headers to pass on.
        pub headers: Vec<Header>,
        /// The body.
        #[serde(with = "serde_bytes")]
        pub body: Vec<u8>,
    }

    /// One attempt to run a request, addressed to one incarnation of an agent.
    pub struct Dispatch {
        /// The attempt.
        pub id: DispatchId,
        /// The request that it is for.
        pub request: RequestId,
        /// The agent it is meant for: another incarnation refuses it.
        pub agent: ProcessId,
        /// The time left to its deadline when it was sent.
        pub left: Span,
        /// The workspace that pays.
        pub workspace: WorkspaceId,
        /// How long the agent must remember it at least.
        pub keep: Span,
        /// Whether it may run more than once.
        pub idempotent: bool,
        /// Whether a resend may come for the answer after the caller left.
        pub keyed: bool,
        /// Whether the request is suspected of crashing backend servers.
        pub suspect: bool,
        /// What to ask.
        pub call: Call,
    }

    /// Continue the answer of a dispatch from an offset.
    pub struct ResumeFrom {
        /// The attempt.
        pub id: DispatchId,
        /// The agent that took it.
        pub agent: ProcessId,
        /// The bytes of the answer's body that have arrived.
        pub offset: u64,
    }

    /// What became of an attempt? An id that never arrived is barred before the answer.
    pub struct Settle {
        /// The attempt.
        pub id: DispatchId,
        /// The agent it was sent to.
        pub agent: ProcessId,
        /// How long its sender may still use the id.
        pub keep: Span,
    }

    /// The agent's word on an attempt.
    pub struct Settlement {
        /// The attempt.
        pub id: DispatchId,
        /// What became of it.
        pub settled: AttemptStatus,
    }

    /// What an entry knows of requests that crash servers, and what it tells another.
    pub struct Suspected {
        /// How much of each source it knows.
        pub known: KnownFacts,
        /// What it tells.
        pub delta: Vec<SuspicionEntry>,
    }

    /// Stop an attempt: nobody reads its answer. One that never arrived is barred.
    pub struct Cancel {
        /// The attempt.
        pub id: DispatchId,
        /// The agent it was sent to.
        pub agent: ProcessId,
        /// How long its sender may still use the id.
        pub keep: Span,
    }
}
