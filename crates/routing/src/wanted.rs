//! What a backend server must offer to answer a request.

use std::fmt;

use snipemast_core::prelude::*;

use crate::hash::stable_hash;

data! {
    /// What a backend server must offer to answer a request.
    #[derive(PartialOrd, Ord, Hash)]
    pub enum Wanted {
        /// This model, in this version, with this adapter.
        Model {
            /// The model.
            model: ModelId,
            /// The version.
            version: String,
            /// The adapter.
            adapter: Option<AdapterId>,
        },
        /// This plain service.
        Service(ServiceId),
    }
}

impl Wanted {
    /// Whether an offer answers for it.
    pub fn matches(&self, offer: &Offer) -> bool {
        match (self, offer) {
            (
                Self::Model {
                    model,
                    version,
                    adapter,
                },
                Offer::Model {
                    model: m,
                    version: v,
                    adapters,
                },
            ) => {
                model == m && version == v && adapter.as_ref().is_none_or(|a| adapters.contains(a))
            }
            (Self::Service(service), Offer::Service { service: s }) => service == s,
            _ => false,
        }
    }

    /// Everything that an offer answers for.
    pub fn offered_by(offer: &Offer) -> Vec<Self> {
        match offer {
            Offer::Model {
                model,
                version,
                adapters,
            } => {
                let with = |adapter| Self::Model {
                    model: model.clone(),
                    version: version.clone(),
                    adapter,
                };
                let adapted = adapters.iter().cloned().map(Some);
                std::iter::once(None).chain(adapted).map(with).collect()
            }
            Offer::Service { service } => vec![Self::Service(service.clone())],
        }
    }

    /// A hash of the model or service, the same for every adapter and version of a model.
    pub fn family(&self) -> u64 {
        match self {
            Self::Model { model, .. } => stable_hash(model),
            Self::Service(service) => stable_hash(service),
        }
    }
}

impl fmt::Display for Wanted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Model {
                model,
                version,
                adapter: None,
            } => write!(f, "model {model} {version}"),
            Self::Model {
                model,
                version,
                adapter: Some(adapter),
            } => write!(f, "model {model} {version} with {adapter}"),
            Self::Service(service) => write!(f, "service {service}"),
        }
    }
}
