//! What the configuration asks of a backend server that it does not have yet.

use std::fmt;

use snipemast_core::prelude::*;

use crate::document::{Config, ServerRole};

data! {
    /// Something that a model engine is ordered to do.
    #[derive(PartialOrd, Ord, Hash)]
    #[serde(tag = "do", rename_all = "lowercase", deny_unknown_fields)]
    pub enum Action {
        /// Load a model, with these adapters; another version of it makes way.
        Load {
            /// The model.
            model: ModelId,
            /// The version of its weights.
            version: String,
            /// The adapters on top.
            adapters: Vec<AdapterId>,
        },
        /// Take another role.
        Role {
            /// The role.
            role: ServerRole,
        },
    }
}

impl Action {
    /// Whether it reads from the weight store.
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

/// The actions that lead a server to what the configuration asks of it.
///
/// Servers don't announce their role, so that a role is asked for whenever one is configured;
/// its order's id keeps it from being carried out twice.
pub fn pending_actions(config: &Config, info: &ServerInfo) -> Vec<Action> {
    let Some(server) = config.servers.get(&info.server) else {
        return Vec::new();
    };
    let role = server.role.map(|role| Action::Role { role });
    let missing = server.models.iter().filter_map(|id| {
        let model = config.models.get(id)?;
        let wish = Action::Load {
            model: id.clone(),
            version: model.version.clone(),
            adapters: model.adapters.clone(),
        };
        (!info.offers.iter().any(|offer| has(offer, &wish))).then_some(wish)
    });
    role.into_iter().chain(missing).collect()
}

fn has(offer: &Offer, wish: &Action) -> bool {
    match (offer, wish) {
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
