//! Calls between controllers.

use std::net::SocketAddr;

use snipemast_control::documents::{Submission, Verdict};
use snipemast_control::{Envelope, Location, VoterId};
use snipemast_core::data;

/// The paths of the calls.
pub(crate) mod path {
    /// Messages of the replicated log: a [`Batch`](super::Batch).
    pub(crate) const LOG: &str = "/log";
    /// Who are you? [`Hello`](snipemast_control::forming::Hello).
    pub(crate) const HELLO: &str = "/hello";
    /// Let me be a voter: [`Join`](super::Join).
    pub(crate) const JOIN: &str = "/join";
    /// A whole configuration for the leader.
    pub(crate) const SUBMIT: &str = "/submit";
    /// The newest configuration, from the leader.
    pub(crate) const READ: &str = "/read";
}

data! {
    /// It was taken.
    pub(crate) struct Done {}

    /// Messages of the replicated log.
    pub(crate) struct Batch {
        /// Where the sender takes answers: a voter that learns only does not know the others yet.
        pub(crate) from: SocketAddr,
        /// The messages.
        pub(crate) envelopes: Vec<Envelope>,
    }

    /// A voter that is none yet, or hears no leader.
    pub(crate) struct Join {
        /// Its voter.
        pub(crate) voter: VoterId,
        /// Where it is.
        #[serde(rename = "seat")]
        pub(crate) location: Location,
    }

    /// Where to ask instead.
    pub(crate) struct Joined {
        /// The leader, where the one that was asked does not lead.
        pub(crate) leader: Option<SocketAddr>,
    }

    /// What became of a submission.
    pub(crate) enum Submitted {
        /// The leader's log settled it.
        Settled(Verdict),
        /// It has no verdict; it may be sent again.
        Unsettled,
    }

    /// The newest configuration.
    pub(crate) enum Read {
        /// This one.
        Newest(Submission),
        /// Whoever was asked can't be sure.
        Unsure,
    }
}
