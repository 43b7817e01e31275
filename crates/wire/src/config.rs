//! The messages that distribute the configuration.

use snipemast_config::{Ask, Census, ProcessVersion, Verdict};
use snipemast_control::machine::Submission;
use snipemast_core::prelude::*;

data! {
    /// A question about the configuration, with the versions that its sender has in force; the
    /// answer is a [`Reply`](snipemast_config::Reply).
    pub struct ConfigPoll {
        /// The question.
        pub ask: Ask,
        /// The version that the sender has in force.
        pub standing: ProcessVersion,
        /// The versions that the processes polling the sender have in force.
        pub below: Census,
    }
}

data! {
    /// An operator's patch, which hosts forward to the control leader.
    pub struct PatchAsk {
        /// The patch, its author and its time.
        pub submission: Submission,
        /// How many hosts may still forward it.
        pub hops: u8,
    }

    /// The answer to a [`PatchAsk`].
    pub enum PatchAnswer {
        /// The leader has decided on the patch.
        Verdict(Verdict),
        /// No majority can be reached; nothing was accepted.
        Minority,
        /// No control host can be reached; nothing was accepted.
        Unreachable,
        /// The patch may have been accepted; a resend returns what became of it.
        Unknown,
    }
}
