//! Checks of a whole document: every fault is found, each with its path.

use std::collections::BTreeMap;
use std::fmt;

use snipemast_core::data;
use snipemast_core::prelude::*;

use crate::document::{Config, Group, Service};
use crate::secret::KeyHash;

data! {
    /// One fault of a document or patch.
    pub struct Fault {
        /// Where, as a dotted path from the document's root.
        pub path: String,
        /// What is wrong.
        pub kind: FaultKind,
    }

    /// What is wrong at a path.
    #[serde(rename_all = "kebab-case")]
    pub enum FaultKind {
        /// The text does not have the shape that the path asks for.
        Malformed(String),
        /// A name that nothing defines.
        Dangling(String),
        /// A value out of its bounds.
        Impossible(String),
        /// A value that must be unique stands at another path too.
        Doubled(String),
        /// The path can't be patched.
        ReadOnly,
    }
}

impl Fault {
    /// A fault at a path.
    pub fn new(path: impl Into<String>, kind: FaultKind) -> Self {
        Self {
            path: path.into(),
            kind,
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.kind)
    }
}

impl fmt::Display for FaultKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(why) => write!(f, "malformed: {why}"),
            Self::Dangling(name) => write!(f, "nothing defines {name:?}"),
            Self::Impossible(why) => write!(f, "impossible: {why}"),
            Self::Doubled(other) => write!(f, "also stands at {other}"),
            Self::ReadOnly => f.write_str("can't be patched"),
        }
    }
}

/// Finds every fault of a document.
pub fn check(config: &Config) -> Vec<Fault> {
    let mut faults = Vec::new();
    check_keys(config, &mut faults);
    check_weights(config, &mut faults);
    for (id, service) in &config.services {
        check_service(config, id, service, &mut faults);
    }
    for (id, group) in &config.groups {
        check_group(config, id, group, &mut faults);
    }
    check_keepers(config, &mut faults);
    faults
}

/// A key that two workspaces share would let one read the other's answers.
fn check_keys(config: &Config, faults: &mut Vec<Fault>) {
    let mut seen: BTreeMap<&KeyHash, String> = BTreeMap::new();
    for (id, workspace) in &config.workspaces {
        for (n, key) in workspace.keys.iter().enumerate() {
            let path = format!("workspaces.{id}.keys.{n}");
            if let Some(other) = seen.insert(key, path.clone()) {
                faults.push(Fault::new(path, FaultKind::Doubled(other)));
            }
        }
    }
}

fn check_weights(config: &Config, faults: &mut Vec<Fault>) {
    for (id, workspace) in &config.workspaces {
        if workspace.weight == 0 {
            let why = FaultKind::Impossible("a weight of 0 gives no share".into());
            faults.push(Fault::new(format!("workspaces.{id}.weight"), why));
        }
        if workspace.limits.concurrency == Some(0) {
            let why = FaultKind::Impossible("0 requests in flight admit nothing".into());
            faults.push(Fault::new(
                format!("workspaces.{id}.limits.concurrency"),
                why,
            ));
        }
    }
}

fn check_service(config: &Config, id: &ServiceId, service: &Service, faults: &mut Vec<Fault>) {
    let Service::Model { model, adapter, .. } = service else {
        return;
    };
    let Some(found) = config.models.get(model) else {
        let kind = FaultKind::Dangling(model.to_string());
        faults.push(Fault::new(format!("services.{id}.model"), kind));
        return;
    };
    if let Some(adapter) = adapter.as_ref().filter(|a| !found.adapters.contains(a)) {
        let kind = FaultKind::Dangling(adapter.to_string());
        faults.push(Fault::new(format!("services.{id}.adapter"), kind));
    }
}

fn check_group(config: &Config, id: &GroupId, group: &Group, faults: &mut Vec<Fault>) {
    if !config.models.contains_key(&group.model) {
        let kind = FaultKind::Dangling(group.model.to_string());
        faults.push(Fault::new(format!("groups.{id}.model"), kind));
    }
    if group.ranks.is_empty() {
        let kind = FaultKind::Impossible("a group needs a rank".into());
        faults.push(Fault::new(format!("groups.{id}.ranks"), kind));
    }
    if group.weights.skew.max(group.weights.disturbance) > 1_000 {
        let kind = FaultKind::Impossible("a weight is at most 1000".into());
        faults.push(Fault::new(format!("groups.{id}.weights"), kind));
    }
}

fn check_keepers(config: &Config, faults: &mut Vec<Fault>) {
    for (n, [a, b, c]) in config.keepers.iter().enumerate() {
        if a == b || b == c || a == c {
            let kind = FaultKind::Impossible("three different hosts keep a shard".into());
            faults.push(Fault::new(format!("keepers.{n}"), kind));
        }
    }
}
