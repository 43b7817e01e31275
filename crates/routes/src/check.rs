//! Finds every fault of a document.

use std::collections::{HashMap, HashSet};
use std::fmt;

use snipemast_core::prelude::*;

use crate::document::{Document, Route};

/// A reason why a document can't come into force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// The text can't be read.
    Unreadable(String),
    /// A route names a service that is not in the document.
    UnknownService {
        /// The route.
        route: String,
        /// The service.
        service: ServiceId,
    },
    /// Two routes have the same host and prefix.
    DuplicatePlace {
        /// The later route.
        route: String,
        /// The earlier route.
        other: String,
    },
    /// The weights of a route add up to 0.
    ZeroWeight(String),
    /// The timeout of a route is 0.
    ZeroTimeout(String),
    /// The prefix of a route does not begin and end with a slash.
    MalformedPrefix(String),
    /// Two workspaces have the same key.
    SharedKey {
        /// The later workspace.
        workspace: String,
        /// The earlier workspace.
        other: String,
    },
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(reason) => write!(f, "the configuration can't be read: {reason}"),
            Self::UnknownService { route, service } => {
                write!(f, "route {route} names the unknown service {service}")
            }
            Self::DuplicatePlace { route, other } => {
                write!(f, "route {route} has the host and prefix of route {other}")
            }
            Self::ZeroWeight(route) => write!(f, "the weights of route {route} add up to 0"),
            Self::ZeroTimeout(route) => write!(f, "the timeout of route {route} is 0"),
            Self::MalformedPrefix(route) => {
                write!(
                    f,
                    "the prefix of route {route} must begin and end with a slash"
                )
            }
            Self::SharedKey { workspace, other } => {
                write!(f, "workspace {workspace} has a key of workspace {other}")
            }
        }
    }
}

impl std::error::Error for Fault {}

/// Returns every fault of a document, which may come into force if there is none.
pub fn check(document: &Document) -> Vec<Fault> {
    let mut faults = Vec::new();
    let services: HashSet<&ServiceId> = document.services.iter().map(|s| &s.name).collect();
    let mut places: HashMap<(&str, &str), &Route> = HashMap::new();
    for route in &document.routes {
        check_route(route, &services, &mut faults);
        let place = (route.host.as_str(), route.prefix.as_str());
        if let Some(other) = places.insert(place, route) {
            let (route, other) = (route.name.clone(), other.name.clone());
            faults.push(Fault::DuplicatePlace { route, other });
        }
    }
    check_keys(document, &mut faults);
    faults
}

/// Finds the faults of a single route.
fn check_route(route: &Route, services: &HashSet<&ServiceId>, faults: &mut Vec<Fault>) {
    let name = || route.name.clone();
    for share in route
        .split
        .iter()
        .filter(|s| !services.contains(&s.service))
    {
        let service = share.service.clone();
        faults.push(Fault::UnknownService {
            route: name(),
            service,
        });
    }
    if route.split.iter().all(|s| s.weight == 0) {
        faults.push(Fault::ZeroWeight(name()));
    }
    if route.timeout == Span::default() {
        faults.push(Fault::ZeroTimeout(name()));
    }
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        faults.push(Fault::MalformedPrefix(name()));
    }
}

/// Finds keys that several workspaces have.
fn check_keys(document: &Document, faults: &mut Vec<Fault>) {
    let mut owners: HashMap<&str, &str> = HashMap::new();
    for workspace in &document.workspaces {
        for key in &workspace.keys {
            match owners.insert(key, &workspace.name) {
                Some(other) if other != workspace.name => faults.push(Fault::SharedKey {
                    workspace: workspace.name.clone(),
                    other: other.to_owned(),
                }),
                _ => {}
            }
        }
    }
}
