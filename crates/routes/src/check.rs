//! Finds every fault of a document.

use std::collections::{HashMap, HashSet};
use std::fmt;

use snipemast_core::prelude::*;

use crate::document::{Document, Route, Service};
use crate::host::Host;

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
    /// The prefix of a route does not begin and end with a slash, or no path can begin with it.
    MalformedPrefix(String),
    /// No request can name the host of a route.
    MalformedHost(String),
    /// Two services have the same name.
    DuplicateService(ServiceId),
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
                    "the prefix of route {route} must begin and end with a slash, and hold only characters of a path"
                )
            }
            Self::MalformedHost(route) => {
                write!(f, "no request can name the host of route {route}")
            }
            Self::DuplicateService(service) => write!(f, "service {service} is there twice"),
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
    let services = check_services(&document.services, &mut faults);
    let mut places: HashMap<(&Host, &str), &Route> = HashMap::new();
    for route in &document.routes {
        check_route(route, &services, &mut faults);
        let place = (&route.host, route.prefix.as_str());
        if let Some(other) = places.insert(place, route) {
            let (route, other) = (route.name.clone(), other.name.clone());
            faults.push(Fault::DuplicatePlace { route, other });
        }
    }
    check_keys(document, &mut faults);
    faults
}

/// Finds services that are there twice; returns the names of all.
fn check_services<'a>(services: &'a [Service], faults: &mut Vec<Fault>) -> HashSet<&'a ServiceId> {
    let mut names = HashSet::new();
    for service in services {
        if !names.insert(&service.name) {
            faults.push(Fault::DuplicateService(service.name.clone()));
        }
    }
    names
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
    if !is_path_prefix(&route.prefix) {
        faults.push(Fault::MalformedPrefix(name()));
    }
    if !route.host.is_valid() {
        faults.push(Fault::MalformedHost(name()));
    }
}

/// Whether the path of a request can begin with this prefix. Prefixes are compared as they are written: their case counts,
/// and nothing is decoded.
fn is_path_prefix(prefix: &str) -> bool {
    let is_path_char = |b: u8| b.is_ascii_graphic() && b != b'?' && b != b'#';
    prefix.starts_with('/') && prefix.ends_with('/') && prefix.bytes().all(is_path_char)
}

/// Finds keys that several workspaces have.
fn check_keys(document: &Document, faults: &mut Vec<Fault>) {
    let mut owners: HashMap<&str, usize> = HashMap::new();
    for (number, workspace) in document.workspaces.iter().enumerate() {
        for key in &workspace.keys {
            match owners.insert(key, number) {
                Some(other) if other != number => faults.push(Fault::SharedKey {
                    workspace: workspace.name.clone(),
                    other: document.workspaces[other].name.clone(),
                }),
                _ => {}
            }
        }
    }
}
