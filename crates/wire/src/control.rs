//! The messages between voters, and from other hosts to the control leader.

pub use snipemast_control::forming::{ControlHost, Hello};
use snipemast_control::{Envelope, Refusal, VoterChange, VoterId, Voters};
use snipemast_core::data;
use snipemast_core::prelude::*;

/// Paths of the messages between control hosts.
pub mod path {
    /// A control host asks another for its identity: [`Hello`](super::Hello).
    pub const HELLO: &str = "/own/control/hello";
    /// A voter sends messages to another: [`Batch`](super::Batch), answered by another batch.
    pub const MESSAGES: &str = "/own/control/messages";
    /// A command is submitted to the leader: [`Submit`](super::Submit).
    pub const SUBMIT: &str = "/own/control/submit";
    /// A change of the voters is submitted to the leader: [`Change`](super::Change).
    pub const CHANGE: &str = "/own/control/change";
    /// A control host is asked for its view of the log; it answers with
    /// [`VoterStatus`](super::VoterStatus).
    pub const STATUS: &str = "/own/control/status";
}

data! {
    /// The messages to one voter, or its answers.
    pub struct Batch {
        /// The voter that sends them.
        pub from: VoterId,
        /// The messages, oldest first.
        pub envelopes: Vec<Envelope>,
    }

    /// A command for the leader.
    pub struct Submit {
        /// The command.
        #[serde(with = "serde_bytes")]
        pub command: Vec<u8>,
        /// The time left until its deadline when it was sent.
        pub left: Span,
    }

    /// A change of the voters for the leader.
    pub struct Change {
        /// The change.
        pub change: VoterChange,
        /// The time left until its deadline when it was sent.
        pub left: Span,
    }

    /// The leader's answer to a [`Submit`] or a [`Change`].
    pub enum Submitted {
        /// The result from the state machine.
        Verdict(#[serde(with = "serde_bytes")] Vec<u8>),
        /// The reason why the leader refused.
        Refused(Refusal),
        /// The control role on that host has ended.
        Ended,
    }

    /// A control host's view of the log.
    pub struct VoterStatus {
        /// The id of the voter.
        pub voter: VoterId,
        /// The current term of the voter.
        pub term: Term,
        /// The leader, if the voter knows one.
        pub leader: Option<VoterId>,
        /// The index of the last entry in its log.
        pub last: Index,
        /// The index up to which its log is synced to its disk.
        pub durable: Index,
        /// The highest index that it knows to be committed.
        pub commit: Index,
        /// The index up to which it has applied the log.
        pub applied: Index,
        /// The highest fencing number in the committed log.
        pub fence: Fence,
        /// The voters in force.
        pub voters: Voters,
        /// Whether the control role on this host has ended because its disk failed.
        pub ended: bool,
    }
}
