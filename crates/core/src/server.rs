//! What a backend server offers and reports, as agents announce it.

use std::fmt;

use crate as snipemast_core;
use crate::data;
use crate::ids::{AdapterId, GroupId, GroupIncarnation, ModelId, ServerId, ServiceId};
use crate::units::Span;

data! {
    /// A backend server's description of itself.
    pub struct ServerInfo {
        /// Its name.
        pub server: ServerId,
        /// What it can answer now.
        pub offers: Vec<Offer>,
        /// What its engine can do.
        pub capabilities: Capabilities,
        /// Its place in a group of ranks.
        #[serde(default)]
        pub rank: Option<Rank>,
        /// Requests that it runs at once before they wait.
        pub slots: u32,
    }

    /// A backend server's place in a forming of its group, as the process beside it tells.
    pub struct GroupRank {
        /// The group.
        pub group: GroupId,
        /// Which forming of it this is.
        pub epoch: GroupIncarnation,
        /// The place in it.
        pub place: u32,
        /// How many ranks the group has.
        pub size: u32,
        /// Whether the rank goes on with its group's passes.
        pub open: bool,
    }

    /// Something that a backend server can answer.
    #[derive(PartialOrd, Ord, Hash)]
    #[serde(tag = "kind", rename_all = "lowercase", deny_unknown_fields)]
    pub enum Offer {
        /// A loaded model.
        Model {
            /// The model.
            model: ModelId,
            /// The version of its weights.
            version: String,
            /// The adapters loaded on top.
            #[serde(default)]
            adapters: Vec<AdapterId>,
        },
        /// A plain service.
        Service {
            /// The service.
            service: ServiceId,
        },
    }

    /// What a backend server's engine can do beyond answering.
    #[derive(Copy, Default)]
    #[serde(deny_unknown_fields, default)]
    pub struct Capabilities {
        /// It refuses orders with an old fencing number by itself.
        pub fencing: bool,
        /// It continues an answer from tokens already delivered.
        pub resume: bool,
        /// It caches prompt prefixes and publishes what it caches.
        pub prefix: bool,
        /// It honours priorities.
        pub priority: bool,
    }

    /// A place in a group of ranks.
    pub struct Rank {
        /// The group.
        pub group: GroupId,
        /// The position, from 0.
        pub number: u32,
    }

    /// A backend server's load, as of some time ago.
    #[derive(Copy, Default)]
    #[serde(deny_unknown_fields, default)]
    pub struct LoadReport {
        /// Requests that run.
        pub running: u32,
        /// Requests that wait.
        pub waiting: u32,
        /// The mean time of a step, or zero where there are no steps.
        pub step: Span,
        /// How old the report was when it was read.
        pub age: Span,
        /// Dead starts: how often the engine came up again since the agent began.
        pub restarts: u32,
    }
}

impl LoadReport {
    /// Requests that run or wait.
    pub const fn total(&self) -> u32 {
        self.running + self.waiting
    }
}

impl fmt::Display for Offer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Model { model, version, .. } => write!(f, "model {model} {version}"),
            Self::Service { service } => write!(f, "service {service}"),
        }
    }
}
