//! The actions that bring a backend server to its configured state.

use std::fmt;

use snipemast_core::prelude::*;

use crate::document::{Config, ServerRole};

data! {
    /// An action that a model engine is ordered to take.
    #[derive(PartialOrd, Ord, Hash)]
    #[serde(tag = "do", rename_all = "lowercase", deny_unknown_fields)]
    pub enum Action {
        /// Load a model with adapters, in place of any other version of the model.
        Load {
            /// The model.
            model: ModelId,
            /// The version of the model's weights.
            version: String,
            /// The adapters.
            adapters: Vec<AdapterId>,
        },
        /// Take a role.
        Role {
            /// The role.
            role: ServerRole,
        },
    }
}

impl Action {
    /// Whether the action loads weights from the weight store.
    pub fn loads(&self) -> bool {
        matches!(self, Self::Load { .. })
    }
}

impl fmt::Display for Action {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Load { model, version, .. } => write!(f, "load {model} {version}"),
            Self::Role { role } => write!(f, "take the role {role:?}"),
        }
    }
}

/// Returns the actions that bring a backend server to its configured state.
///
/// Servers don't announce their role, so that a configured role is always among the actions. The
/// id of the order prevents that it is carried out twice.
pub fn pending_actions(config: &Config, info: &ServerInfo) -> Vec<Action> {
    let Some(server) = config.servers.get(&info.server) else {
        return Vec::new();
    };
    let role = server.role.map(|role| Action::Role { role });
    let missing = server.models.iter().filter_map(|id| {
        let model = config.models.get(id)?;
        let load = Action::Load {
            model: id.clone(),
            version: model.version.clone(),
            adapters: model.adapters.clone(),
        };
        (!info.offers.iter().any(|offer| fulfils(offer, &load))).then_some(load)
    });
    role.into_iter().chain(missing).collect()
}

/// Whether an offer already fulfils a load action.
fn fulfils(offer: &Offer, action: &Action) -> bool {
    match (offer, action) {
        (
            Offer::Model {
                model,
                version,
                adapters,
            },
            Action::Load {
                model: m,
                version: v,
                adapters: wanted,
            },
        ) => model == m && version == v && wanted.iter().all(|a| adapters.contains(a)),
        _ => false,
    }
}
