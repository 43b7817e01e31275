//! The messages between entries and agents, and the paths of the common messages.

use std::net::SocketAddr;

use snipemast_core::data;
use snipemast_core::prelude::*;

pub use snipemast_requests::suspicion::{KnownFacts, SuspicionEntry};
pub use snipemast_requests::{AttemptStatus, Header};

/// Paths of the messages on the HTTP server of each process.
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
    /// A host forwards an operator's patch to the leader: [`PatchAsk`](crate::config::PatchAsk).
    pub const PATCH: &str = "/own/patch";
    /// An entry asks a keeper of request keys: [`KeeperAsk`](snipemast_requests::KeeperAsk).
    pub const KEEPER: &str = "/own/keeper";
    /// An entry tells another which requests it suspects: [`Suspected`](super::Suspected).
    pub const SUSPECTED: &str = "/own/suspected";
    /// A process is asked for its events since a [`Stamp`](snipemast_core::hlc::Stamp).
    pub const EVENTS: &str = "/own/events";
}

data! {
    /// An agent's announcement of itself and its backend server.
    pub struct Announce {
        /// The agent.
        pub agent: ProcessId,
        /// The address where the agent listens.
        pub address: SocketAddr,
        /// The availability zone of the agent.
        pub zone: ZoneId,
        /// The region of the agent.
        pub region: RegionId,
        /// The description of its backend server.
        pub info: ServerInfo,
        /// The load of its backend server.
        pub load: LoadReport,
        /// Whether the agent is draining and refuses new dispatches.
        pub draining: bool,
    }

    /// An HTTP request to a backend server.
    pub struct Call {
        /// The HTTP method.
        pub method: String,
        /// The path and query on the backend server.
        pub path: String,
        /// The headers to forward.
        pub headers: Vec<Header>,
        /// The body.
        #[serde(with = "serde_bytes")]
        pub body: Vec<u8>,
    }

    /// One attempt to run a request, addressed to one incarnation of an agent.
    pub struct Dispatch {
        /// The attempt.
        pub id: DispatchId,
        /// The request that the attempt belongs to.
        pub request: RequestId,
        /// The agent that it is addressed to; another incarnation refuses it.
        pub agent: ProcessId,
        /// The time left until its deadline when it was sent.
        pub left: Span,
        /// The workspace that the request is billed to.
        pub workspace: WorkspaceId,
        /// The minimum time for which the agent must remember the attempt.
        pub keep: Span,
        /// Whether the request may run more than once.
        pub idempotent: bool,
        /// Whether a resend may ask for the answer after the caller has gone.
        pub keyed: bool,
        /// Whether the request is suspected of crashing backend servers.
        pub suspect: bool,
        /// The request to the backend server.
        pub call: Call,
    }

    /// Asks for the rest of an answer from an offset.
    pub struct ResumeFrom {
        /// The attempt.
        pub id: DispatchId,
        /// The agent that accepted the attempt.
        pub agent: ProcessId,
        /// How many bytes of the answer's body have arrived.
        pub offset: u64,
    }

    /// Asks what became of an attempt. If it never arrived, its id is barred before the answer is sent.
    pub struct Settle {
        /// The attempt.
        pub id: DispatchId,
        /// The agent that the attempt was sent to.
        pub agent: ProcessId,
        /// How long the sender may still use the id.
        pub keep: Span,
    }

    /// The agent's answer about an attempt.
    pub struct Settlement {
        /// The attempt.
        pub id: DispatchId,
        /// What became of the attempt.
        pub settled: AttemptStatus,
    }

    /// What an entry knows about requests that crash servers, and the facts that it sends to another.
    pub struct Suspected {
        /// How much the entry knows from each source.
        pub known: KnownFacts,
        /// The facts that the other entry lacks.
        pub delta: Vec<SuspicionEntry>,
    }

    /// Stops an attempt because nobody reads its answer. If it never arrived, its id is barred.
    pub struct Cancel {
        /// The attempt.
        pub id: DispatchId,
        /// The agent that the attempt was sent to.
        pub agent: ProcessId,
        /// How long the sender may still use the id.
        pub keep: Span,
    }
}
