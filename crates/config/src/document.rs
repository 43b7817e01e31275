//! The configuration document that operators patch: who may call what, and what serves the calls.

use snipemast_core::data;
use snipemast_core::prelude::*;

use crate::index::KeyIndex;
use crate::secret::KeyHash;
use crate::section::Section;

/// The workspaces of a configuration.
pub type Workspaces = Section<WorkspaceId, Workspace>;

data! {
    /// One numbered version of the whole configuration.
    #[derive(Default)]
    #[serde(deny_unknown_fields, default)]
    pub struct Config {
        /// The number of this version; 0 is the empty configuration.
        pub version: Version,
        /// The operators, who may read or patch the configuration.
        pub operators: Section<OperatorId, Operator>,
        /// The workspaces, whose callers may send requests.
        pub workspaces: Workspaces,
        /// The services that callers address by name.
        pub services: Section<ServiceId, Service>,
        /// The models that engines can load.
        pub models: Section<ModelId, Model>,
        /// The groups of ranks that execute steps together.
        pub groups: Section<GroupId, Group>,
        /// The settings of single backend servers.
        #[serde(skip_serializing_if = "Section::is_empty")]
        pub servers: Section<ServerId, Server>,
        /// The three hosts that keep the claims of each shard of request keys.
        pub keepers: Vec<[HostId; 3]>,
        /// The index of the workspaces' keys, built on first use.
        #[serde(skip)]
        pub owners: KeyIndex,
    }

    /// An operator's key and role.
    #[serde(deny_unknown_fields)]
    pub struct Operator {
        /// The hash of the operator's key.
        pub key: KeyHash,
        /// What the operator may do.
        pub role: Role,
    }

    /// What an operator may do.
    #[derive(Copy)]
    #[serde(rename_all = "lowercase")]
    pub enum Role {
        /// The operator may read the configuration, the status and the timeline.
        Read,
        /// The operator may also submit patches.
        Write,
    }

    /// A customer, whose callers share keys and limits.
    #[serde(deny_unknown_fields)]
    pub struct Workspace {
        /// Hashes of the bearer keys that callers present.
        pub keys: Vec<KeyHash>,
        /// The workspace's share under contention, relative to other workspaces.
        #[serde(default = "one")]
        pub weight: u32,
        /// The upper bounds of what the workspace may use.
        #[serde(default)]
        pub limits: Limits,
        /// The preferred region.
        #[serde(default)]
        pub home: Option<RegionId>,
    }

    /// The upper bounds of one workspace across the whole fleet.
    #[derive(Default)]
    #[serde(deny_unknown_fields, default)]
    pub struct Limits {
        /// The number of requests per second.
        pub requests: Option<Rate>,
        /// The number of generated tokens per second.
        pub tokens: Option<Rate>,
        /// The number of requests in flight.
        pub concurrency: Option<u32>,
    }

    /// A service that callers address by name.
    #[serde(tag = "kind", rename_all = "lowercase", deny_unknown_fields)]
    pub enum Service {
        /// A model, optionally with an adapter.
        Model {
            /// The model that serves the calls.
            model: ModelId,
            /// The adapter to apply to the model.
            #[serde(default)]
            adapter: Option<AdapterId>,
            /// Whether calls may be repeated; by default they may.
            #[serde(default = "yes")]
            idempotent: bool,
        },
        /// A service without a model.
        Plain {
            /// The path prefixes whose calls may be repeated regardless of their method.
            #[serde(default)]
            idempotent: Vec<String>,
        },
    }

    /// A model that engines load.
    #[serde(deny_unknown_fields)]
    pub struct Model {
        /// The version of the weights.
        pub version: String,
        /// The adapters that may be loaded with the model.
        #[serde(default)]
        pub adapters: Vec<AdapterId>,
    }

    /// A group of ranks that serve a model together.
    #[serde(deny_unknown_fields)]
    pub struct Group {
        /// The model that the group serves.
        pub model: ModelId,
        /// The backend servers in rank order.
        pub ranks: Vec<ServerId>,
        /// The rebalancer's weights.
        #[serde(default)]
        pub weights: GroupWeights,
        /// Whether moves of experts are suspended.
        #[serde(default)]
        pub frozen: bool,
    }

    /// The settings of one backend server.
    #[derive(Default)]
    #[serde(deny_unknown_fields, default)]
    pub struct Server {
        /// Whether the server itself refuses orders with an old fencing number; if `None`, what
        /// the server announces counts.
        pub fencing: Option<bool>,
        /// The role that the server should have.
        pub role: Option<ServerRole>,
        /// The models that the server should have loaded. A model that is not listed is not
        /// unloaded for that reason.
        pub models: Vec<ModelId>,
    }

    /// Which part of a request a model engine runs.
    #[derive(Copy, PartialOrd, Ord, Hash)]
    #[serde(rename_all = "lowercase")]
    pub enum ServerRole {
        /// The engine runs whole requests.
        Whole,
        /// The engine processes prompts and passes their KV caches on.
        Prefill,
        /// The engine generates tokens from KV caches that others filled.
        Decode,
    }

    /// The rebalancer's weights, each from 0 to 1000.
    #[derive(Copy)]
    #[serde(deny_unknown_fields)]
    pub struct GroupWeights {
        /// The weight of skew between ranks.
        pub skew: u32,
        /// The weight of moves, of loading model weights and of disturbed requests.
        pub disturbance: u32,
    }
}

impl Default for GroupWeights {
    fn default() -> Self {
        Self {
            skew: 500,
            disturbance: 500,
        }
    }
}

impl Config {
    /// Returns the workspace that a bearer key belongs to.
    pub fn workspace_of(&self, key: &KeyHash) -> Option<&WorkspaceId> {
        self.owners.owner(&self.workspaces, key)
    }

    /// Returns the operator that a bearer key belongs to.
    pub fn operator_of(&self, key: &KeyHash) -> Option<(&OperatorId, &Operator)> {
        self.operators.iter().find(|(_, o)| o.key.matches(key))
    }
}

pub(crate) fn one() -> u32 {
    1
}

pub(crate) fn yes() -> bool {
    true
}
