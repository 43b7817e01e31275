//! The model or service that a request needs.

use std::fmt;

use snipemast_core::prelude::*;

use crate::hash::stable_hash;

data! {
    /// The model or service that a backend server must offer to answer a request.
    #[derive(PartialOrd, Ord, Hash)]
    pub enum Wanted {
        /// A model in one version, with or without an adapter.
        Model {
            /// The model.
            model: ModelId,
            /// The version.
            version: String,
            /// The adapter.
            adapter: Option<AdapterId>,
        },
        /// A plain service.
        Service(ServiceId),
    }
}

impl Wanted {
    /// Returns whether an offer includes the model or service.
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

    /// Returns everything that an offer includes.
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

    /// Returns a hash of the model or service, which is the same for all versions and adapters of a
    /// model.
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
