//! Messages between voters, and from other hosts to the control leader.

pub use snipemast_control::forming::{ControlHost, Hello};
use snipemast_control::{Envelope, Refusal, VoterChange, VoterId, Voters};
use snipemast_core::data;
use snipemast_core::prelude::*;

/// Paths of the messages between control hosts.
pub mod path {
    /// A control host asks another who it is: [`Hello`](super::Hello).
    pub const HELLO: &str = "/own/control/hello";
    /// A voter speaks to another: [`Batch`](super::Batch), answered by another.
    pub const MESSAGES: &str = "/own/control/messages";
    /// A command for the leader: [`Submit`](super::Submit).
    pub const SUBMIT: &str = "/own/control/submit";
    /// A change of the voters for the leader: [`Change`](super::Change).
    pub const CHANGE: &str = "/own/control/change";
    /// What a control host knows of the log: answered by [`VoterStatus`](super::VoterStatus).
    pub const STATUS: &str = "/own/control/status";
}

data! {
    /// Messages to one voter, or its answers.
    pub struct Batch {
        /// Who sends them.
        pub from: VoterId,
        /// The messages, oldest first.
        pub envelopes: Vec<Envelope>,
    }

    /// A command for the leader.
    pub struct Submit {
        /// The command.
        #[serde(with = "serde_bytes")]
        pub command: Vec<u8>,
        /// The time left to its deadline when it was sent.
        pub left: Span,
    }

    /// A change of the voters for the leader.
    pub struct Change {
        /// The change.
        pub change: VoterChange,
        /// The time left to its deadline when it was sent.
        pub left: Span,
    }

    /// The leader's answer.
    pub enum Submitted {
        /// The verdict of the state machine.
        Verdict(#[serde(with = "serde_bytes")] Vec<u8>),
        /// Why there is none.
        Refused(Refusal),
        /// The control role has ended on that host.
        Ended,
    }

    /// What a control host knows of the log.
    pub struct VoterStatus {
        /// Its id.
        pub voter: VoterId,
        /// Its term.
        pub term: Term,
        /// The leader, as far as it knows.
        pub leader: Option<VoterId>,
        /// The last place of its log.
        pub last: Index,
        /// How far its own disk is synced.
        pub durable: Index,
        /// How far the log is committed, as far as it knows.
        pub commit: Index,
        /// How far it is applied.
        pub applied: Index,
        /// The highest fencing number in the committed log.
        pub fence: Fence,
        /// The voters in force.
        pub voters: Voters,
        /// Whether the role has ended on this host, because its disk failed.
        pub ended: bool,
    }
}
