//! Finds the route and the workspace of a request by hash lookups.

use std::collections::HashMap;
use std::sync::Arc;

use snipemast_core::prelude::*;

use crate::document::{CallerLimits, Document, Route, Service, Workspace};
use crate::host::{self, Host};

/// An indexed document.
///
/// The lookup of a route costs at most one hash lookup for each slash of the path, however many
/// routes there are.
#[derive(Debug, Clone)]
pub struct Table {
    version: Version,
    host_routes: HashMap<Host, HashMap<String, Arc<Route>>>,
    keys: HashMap<String, Arc<Workspace>>,
    services: HashMap<ServiceId, Arc<Service>>,
    limits: CallerLimits,
    longest_timeout: Span,
    key_required: bool,
}

/// The route and workspace that match a request.
#[derive(Debug, Clone)]
pub struct Match {
    /// The version of the document.
    pub version: Version,
    /// The route.
    pub route: Arc<Route>,
    /// The workspace of the request's key, or `None` if no key is required and none is known.
    pub workspace: Option<Arc<Workspace>>,
}

/// The reason why a request is denied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denied {
    /// No route has the request's host and a prefix of its path.
    NoRoute,
    /// The request has no key, or one that no workspace has.
    NoKey,
}

impl Table {
    /// Indexes a document. Where it has faults, the later of two routes, services or keys takes the earlier one's place.
    pub fn new(document: Document) -> Self {
        let timeouts = document.routes.iter().map(|r| r.timeout);
        let longest_timeout = timeouts.max().unwrap_or_default();
        let mut host_routes: HashMap<Host, HashMap<String, Arc<Route>>> = HashMap::new();
        for route in document.routes {
            let prefixes = host_routes.entry(route.host.clone()).or_default();
            prefixes.insert(route.prefix.clone(), Arc::new(route));
        }
        let mut keys = HashMap::new();
        let key_required = !document.workspaces.is_empty();
        for workspace in document.workspaces.into_iter().map(Arc::new) {
            for key in &workspace.keys {
                keys.insert(key.clone(), Arc::clone(&workspace));
            }
        }
        let services = document.services.into_iter();
        Self {
            version: document.version,
            host_routes,
            keys,
            services: services.map(|s| (s.name.clone(), Arc::new(s))).collect(),
            limits: document.limits,
            longest_timeout,
            key_required,
        }
    }

    /// Returns the document's version.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the limits on what callers may send.
    pub fn limits(&self) -> &CallerLimits {
        &self.limits
    }

    /// Returns the longest time that callers of any route wait.
    pub fn longest_timeout(&self) -> Span {
        self.longest_timeout
    }

    /// Returns a service by name.
    pub fn service(&self, name: &ServiceId) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Iterates over all services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// Returns the match of a request with this host, path and key.
    pub fn find(&self, host: &str, path: &str, key: Option<&str>) -> Result<Match, Denied> {
        let route = self.route(host, path).ok_or(Denied::NoRoute)?;
        let workspace = key.and_then(|k| self.keys.get(k));
        if self.key_required && !route.public && workspace.is_none() {
            return Err(Denied::NoKey);
        }
        Ok(Match {
            version: self.version,
            route: Arc::clone(route),
            workspace: workspace.cloned(),
        })
    }

    /// Returns the route with the longest prefix of a path.
    ///
    /// The prefixes are tried from the last slash of the path to the first.
    fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let prefixes = self.host_routes.get(host::normalize(host).as_ref())?;
        let path = path.split('?').next().unwrap_or(path);
        let mut ends = path.rmatch_indices('/').map(|(at, _)| at + 1);
        ends.find_map(|end| prefixes.get(&path[..end]))
    }
}
