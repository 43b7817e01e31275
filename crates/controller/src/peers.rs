//! The paths and messages of calls between controllers.

use std::net::SocketAddr;

use snipemast_control::documents::{Submission, Verdict};
use snipemast_control::{Envelope, Location, VoterId};
use snipemast_core::data;

/// The paths of the calls.
pub(crate) mod path {
    /// Messages of the replicated log: a [`Batch`](super::Batch).
    pub(crate) const LOG: &str = "/log";
    /// Asks a controller for its identity: a [`Hello`](snipemast_control::forming::Hello).
    pub(crate) const HELLO: &str = "/hello";
    /// Asks to become a voter: a [`JoinRequest`](super::JoinRequest).
    pub(crate) const JOIN: &str = "/join";
    /// Submits an operator's [`Command`](snipemast_control::documents::Command) to the leader.
    pub(crate) const SUBMIT: &str = "/submit";
    /// Reads the newest configuration from the leader.
    pub(crate) const READ: &str = "/read";
}

data! {
    /// The message was received.
    pub(crate) struct Ack {}

    /// Messages of the replicated log.
    pub(crate) struct Batch {
        /// The address at which the sender receives answers; the recipient may be a learner that
        /// does not know the other members yet.
        pub(crate) from: SocketAddr,
        /// The messages.
        pub(crate) envelopes: Vec<Envelope>,
    }

    /// A request to join, from a host that has no vote yet or hears no leader.
    pub(crate) struct JoinRequest {
        /// The sender's voter id.
        pub(crate) voter: VoterId,
        /// The sender's location.
        #[serde(rename = "seat")]
        pub(crate) location: Location,
    }

    /// The answer to a request to join.
    pub(crate) struct JoinAnswer {
        /// The address of the leader, if the recipient is not the leader.
        pub(crate) leader: Option<SocketAddr>,
    }

    /// The answer to a command.
    pub(crate) enum SubmitAnswer {
        /// The leader has a verdict.
        Settled(Verdict),
        /// There is no verdict; the command may be sent again.
        Unsettled,
    }

    /// The answer to a read of the newest configuration.
    pub(crate) enum ReadAnswer {
        /// The newest configuration.
        Newest(Submission),
        /// The recipient cannot be sure that it has the newest one.
        Unsure,
    }
}
