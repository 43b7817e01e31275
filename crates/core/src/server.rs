//! What a backend server offers and reports, as its agent announces it.

use std::fmt;

use crate as snipemast_core;
use crate::data;
use crate::ids::{AdapterId, GroupId, GroupIncarnation, ModelId, ServerId, ServiceId};
use crate::units::Span;

data! {
    /// A backend server's own description.
    pub struct ServerInfo {
        /// Its name.
        pub server: ServerId,
        /// The models and services that it can answer for now.
        pub offers: Vec<Offer>,
        /// The capabilities of its engine.
        pub capabilities: Capabilities,
        /// Its place in a group of ranks.
        #[serde(default)]
        pub rank: Option<Rank>,
        /// How many requests it runs at once; further requests wait.
        pub slots: u32,
    }

    /// A backend server's place in one incarnation of its group, as reported by the process beside
    /// it.
    pub struct GroupRank {
        /// The group.
        pub group: GroupId,
        /// The incarnation of the group.
        pub epoch: GroupIncarnation,
        /// The place of the server in the group.
        pub place: u32,
        /// The number of ranks in the group.
        pub size: u32,
        /// Whether the rank takes part in its group's further passes.
        pub open: bool,
    }

    /// A model or service that a backend server can answer for.
    #[derive(PartialOrd, Ord, Hash)]
    #[serde(tag = "kind", rename_all = "lowercase", deny_unknown_fields)]
    pub enum Offer {
        /// A loaded model.
        Model {
            /// The model.
            model: ModelId,
            /// The version of its weights.
            version: String,
            /// The adapters loaded on top of the model.
            #[serde(default)]
            adapters: Vec<AdapterId>,
        },
        /// A plain service.
        Service {
            /// The service.
            service: ServiceId,
        },
    }

    /// The optional capabilities of a backend server's engine.
    #[derive(Copy, Default)]
    #[serde(deny_unknown_fields, default)]
    pub struct Capabilities {
        /// It refuses orders with an old fencing number on its own.
        pub fencing: bool,
        /// It can continue an answer after the tokens already delivered.
        pub resume: bool,
        /// It caches prompt prefixes and publishes what it caches.
        pub prefix: bool,
        /// It respects the priorities of requests.
        pub priority: bool,
    }

    /// A place in a group of ranks.
    pub struct Rank {
        /// The group.
        pub group: GroupId,
        /// The position in the group, starting at 0.
        pub number: u32,
    }

    /// The load of a backend server at some time in the past.
    #[derive(Copy, Default)]
    #[serde(deny_unknown_fields, default)]
    pub struct LoadReport {
        /// The number of requests that run.
        pub running: u32,
        /// The number of requests that wait.
        pub waiting: u32,
        /// The mean time of a step, or zero if the server has no steps.
        pub step: Span,
        /// The age of the report when it was read.
        pub age: Span,
        /// How often the engine has started again since the agent started.
        pub restarts: u32,
    }
}

impl LoadReport {
    /// Returns the number of requests that run or wait.
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
