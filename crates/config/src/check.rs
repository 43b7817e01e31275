//! Finds every fault of a document or a change, each with its path.

use std::collections::HashMap;
use std::fmt;

use snipemast_core::data;
use snipemast_core::prelude::*;

use crate::delta::Delta;
use crate::document::{Config, Operator, Role, Service, Workspace};
use crate::secret::KeyHash;

/// The largest weight of a workspace.
const MAX_WEIGHT: u32 = 1_000_000;

data! {
    /// One fault of a document or patch.
    pub struct Fault {
        /// The dotted path from the document's root.
        pub path: String,
        /// What is wrong.
        pub kind: FaultKind,
    }

    /// What is wrong at a path.
    #[serde(rename_all = "kebab-case")]
    pub enum FaultKind {
        /// The value does not have the form that the path requires.
        Malformed(String),
        /// The value names something that the document doesn't define.
        Dangling(String),
        /// The value is out of its bounds.
        Impossible(String),
        /// The value must be unique but also occurs at another path.
        Doubled(String),
        /// The path can't be patched.
        ReadOnly,
        /// There is no field of this name.
        Unknown,
        /// A required field is missing.
        Missing,
    }
}

impl Fault {
    /// Creates a fault at a path.
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
            Self::Unknown => f.write_str("nothing has a field of this name"),
            Self::Missing => f.write_str("is missing"),
        }
    }
}

/// Finds every fault of a whole document.
pub fn check(config: &Config) -> Vec<Fault> {
    let empty = Config::default();
    let mut delta = Delta::between(&empty, config);
    delta.to = config.version.max(Version::new(1));
    let mut faults = Vec::new();
    check_change(&empty, config, &delta, &mut faults);
    faults
}

/// Finds every fault that a change brings into a document without faults.
///
/// Only what the change can have broken is checked: of the workspaces, which are many, those that
/// it names; the other sections, which are small and refer to each other, in full.
pub fn check_change(before: &Config, after: &Config, delta: &Delta, faults: &mut Vec<Fault>) {
    for (id, workspace) in &delta.workspaces.set {
        check_workspace(id, workspace, faults);
    }
    check_keys(before, after, delta, faults);
    check_operators(after, faults);
    for (id, service) in &after.services {
        check_service(after, id, service, faults);
    }
    check_groups(after, faults);
    check_servers(after, faults);
    check_keepers(before, after, faults);
}

fn impossible(path: String, why: &str) -> Fault {
    Fault::new(path, FaultKind::Impossible(why.into()))
}

fn check_workspace(id: &WorkspaceId, workspace: &Workspace, faults: &mut Vec<Fault>) {
    let path = format!("workspaces.{id}");
    if workspace.weight == 0 {
        let why = "a weight of 0 gives no share";
        faults.push(impossible(format!("{path}.weight"), why));
    }
    if workspace.weight > MAX_WEIGHT {
        let why = "a weight is at most 1000000";
        faults.push(impossible(format!("{path}.weight"), why));
    }
    let limits = &workspace.limits;
    if limits.concurrency == Some(0) {
        let why = "0 requests in flight admit nothing";
        faults.push(impossible(format!("{path}.limits.concurrency"), why));
    }
    for (name, rate) in [("requests", limits.requests), ("tokens", limits.tokens)] {
        if rate.is_some_and(|r| r.as_per_second() <= 0.0) {
            let why = "a rate of 0 admits nothing";
            faults.push(impossible(format!("{path}.limits.{name}"), why));
        }
    }
}

/// Finds keys that several workspaces hold, which would let one read the other's answers.
fn check_keys(before: &Config, after: &Config, delta: &Delta, faults: &mut Vec<Fault>) {
    let mut seen: HashMap<&KeyHash, String> = HashMap::new();
    for (id, workspace) in &delta.workspaces.set {
        for (n, key) in workspace.keys.iter().enumerate() {
            let path = format!("workspaces.{id}.keys.{n}");
            let other = seen
                .insert(key, path.clone())
                .or_else(|| untouched_owner(before, after, delta, key));
            if let Some(other) = other {
                faults.push(Fault::new(path, FaultKind::Doubled(other)));
            }
        }
    }
}

/// Returns the path of a key in a workspace that the change doesn't touch.
fn untouched_owner(
    before: &Config,
    after: &Config,
    delta: &Delta,
    key: &KeyHash,
) -> Option<String> {
    let owner = before.workspace_of(key)?;
    if delta.workspaces.set.contains_key(owner) {
        return None;
    }
    let keys = &after.workspaces.get(owner)?.keys;
    let n = keys.iter().position(|k| k == key)?;
    Some(format!("workspaces.{owner}.keys.{n}"))
}

/// Finds operators with the same key, and operators none of whom may write: those could never be
/// changed again.
fn check_operators(config: &Config, faults: &mut Vec<Fault>) {
    let mut seen: HashMap<&KeyHash, &OperatorId> = HashMap::new();
    for (id, operator) in &config.operators {
        if let Some(other) = seen.insert(&operator.key, id) {
            let kind = FaultKind::Doubled(format!("operators.{other}.key"));
            faults.push(Fault::new(format!("operators.{id}.key"), kind));
        }
    }
    let writes = |o: &Operator| o.role == Role::Write;
    if !config.operators.is_empty() && !config.operators.values().any(writes) {
        let why = "no operator could write any more";
        faults.push(impossible("operators".into(), why));
    }
}

fn check_service(config: &Config, id: &ServiceId, service: &Service, faults: &mut Vec<Fault>) {
    match service {
        Service::Model { model, adapter, .. } => {
            let path = format!("services.{id}");
            check_model(config, &path, model, adapter.as_ref(), faults);
        }
        Service::Plain { idempotent } => {
            let prefixes = idempotent.iter().enumerate();
            for (n, _) in prefixes.filter(|(_, prefix)| !prefix.starts_with('/')) {
                let why = "a path prefix begins with /";
                faults.push(impossible(format!("services.{id}.idempotent.{n}"), why));
            }
        }
    }
}

fn check_model(
    config: &Config,
    path: &str,
    model: &ModelId,
    adapter: Option<&AdapterId>,
    faults: &mut Vec<Fault>,
) {
    let Some(definition) = config.models.get(model) else {
        let kind = FaultKind::Dangling(model.to_string());
        faults.push(Fault::new(format!("{path}.model"), kind));
        return;
    };
    if let Some(adapter) = adapter.filter(|a| !definition.adapters.contains(a)) {
        let kind = FaultKind::Dangling(adapter.to_string());
        faults.push(Fault::new(format!("{path}.adapter"), kind));
    }
}

/// Finds faulty groups, among them a backend server that is a rank twice: it would have to execute
/// steps of both ranks at once.
fn check_groups(config: &Config, faults: &mut Vec<Fault>) {
    let mut seen: HashMap<&ServerId, String> = HashMap::new();
    for (id, group) in &config.groups {
        check_model(config, &format!("groups.{id}"), &group.model, None, faults);
        if group.ranks.is_empty() {
            let why = "a group needs a rank";
            faults.push(impossible(format!("groups.{id}.ranks"), why));
        }
        if group.weights.skew.max(group.weights.disturbance) > 1_000 {
            let why = "a weight is at most 1000";
            faults.push(impossible(format!("groups.{id}.weights"), why));
        }
        for (n, server) in group.ranks.iter().enumerate() {
            let path = format!("groups.{id}.ranks.{n}");
            if let Some(other) = seen.insert(server, path.clone()) {
                faults.push(Fault::new(path, FaultKind::Doubled(other)));
            }
        }
    }
}

fn check_servers(config: &Config, faults: &mut Vec<Fault>) {
    for (id, server) in &config.servers {
        for (n, model) in server.models.iter().enumerate() {
            let path = format!("servers.{id}.models.{n}");
            if !config.models.contains_key(model) {
                faults.push(Fault::new(path, FaultKind::Dangling(model.to_string())));
            } else if server.models[..n].contains(model) {
                let first = server.models.iter().position(|m| m == model).unwrap_or(0);
                let kind = FaultKind::Doubled(format!("servers.{id}.models.{first}"));
                faults.push(Fault::new(path, kind));
            }
        }
    }
}

/// Finds faults of the keeper table.
///
/// If a majority of a shard's hosts moved at once, the shard would lose its claims of request keys
/// and a non-idempotent request could run twice. A version may therefore change only one of a
/// shard's three hosts, so that two of them always know its claims.
fn check_keepers(before: &Config, after: &Config, faults: &mut Vec<Fault>) {
    for (n, [a, b, c]) in after.keepers.iter().enumerate() {
        if a == b || b == c || a == c {
            let why = "three different hosts keep a shard";
            faults.push(impossible(format!("keepers.{n}"), why));
        }
    }
    if before.keepers.is_empty() || before.keepers == after.keepers {
        return;
    }
    if before.keepers.len() != after.keepers.len() {
        let why = "the number of shards stays as it was first set";
        faults.push(impossible("keepers".into(), why));
        return;
    }
    for (n, (old, new)) in before.keepers.iter().zip(&after.keepers).enumerate() {
        if new.iter().filter(|host| !old.contains(host)).count() > 1 {
            let why = "a shard moves one host at a time";
            faults.push(impossible(format!("keepers.{n}"), why));
        }
    }
}
