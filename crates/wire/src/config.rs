//! The messages that spread the configuration.

use snipemast_config::{Ask, Census, ProcessVersion, Verdict};
use snipemast_control::machine::Submission;
use snipemast_core::prelude::*;

data! {
    /// A question about the configuration, and how the asker stands; the answer is a
    /// [`Reply`](snipemast_config::Reply).
    pub struct ConfigPoll {
        /// The question.
        pub ask: Ask,
        /// What the asker has in force.
        pub standing: ProcessVersion,
        /// What those that ask the asker have in force.
        pub below: Census,
    }
}

data! {
    /// An operator's patch on its way to the control leader, passed on from host to host.
    pub struct PatchAsk {
        /// The patch, its author and its time.
        pub submission: Submission,
        /// How many hosts may still pass it on.
        pub hops: u8,
    }

    /// What became of a [`PatchAsk`].
    pub enum PatchAnswer {
        /// It has its verdict.
        Verdict(Verdict),
        /// No majority is in reach; nothing was accepted.
        Minority,
        /// No control host is in reach; nothing was accepted.
        Unreachable,
        /// It may have been accepted; a resend learns.
        Unknown,
    }
}
