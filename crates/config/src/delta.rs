//! The difference between two versions, as a value that can be sent, applied and combined.

use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;

use snipemast_core::prelude::*;

use crate::document::{Config, Group, Model, Operator, Server, Service, Workspace};
use crate::section::Section;

/// The result of applying a delta.
pub type Result<T> = std::result::Result<T, DeltaError>;

/// A delta that does not fit the configuration it was applied to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeltaError {
    /// The delta starts from another version.
    Gap {
        /// The version that the delta was applied to.
        have: Version,
        /// The version that the delta starts from.
        from: Version,
    },
    /// The delta does not lead to a later version.
    Backward,
}

impl fmt::Display for DeltaError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Gap { have, from } => {
                write!(f, "the delta starts from version {from}, not from {have}")
            }
            Self::Backward => f.write_str("the delta does not lead to a later version"),
        }
    }
}

impl std::error::Error for DeltaError {}

data! {
    /// The changes of one section: the entries that are set and the names that are removed.
    #[serde(bound(
        serialize = "K: serde::Serialize, V: serde::Serialize",
        deserialize = "K: serde::Deserialize<'de> + Ord, V: serde::Deserialize<'de>"
    ))]
    pub struct Changes<K: Ord, V> {
        /// The entries that are new or different.
        pub set: Section<K, V>,
        /// The names whose entries are removed.
        pub removed: BTreeSet<K>,
    }

    /// The changes that lead from one version to a later one.
    #[serde(deny_unknown_fields)]
    pub struct Delta {
        /// The version that the delta starts from.
        pub from: Version,
        /// The version that the delta leads to.
        pub to: Version,
        /// The changes of operators.
        #[serde(default, skip_serializing_if = "Changes::is_empty")]
        pub operators: Changes<OperatorId, Operator>,
        /// The changes of workspaces.
        #[serde(default, skip_serializing_if = "Changes::is_empty")]
        pub workspaces: Changes<WorkspaceId, Workspace>,
        /// The changes of services.
        #[serde(default, skip_serializing_if = "Changes::is_empty")]
        pub services: Changes<ServiceId, Service>,
        /// The changes of models.
        #[serde(default, skip_serializing_if = "Changes::is_empty")]
        pub models: Changes<ModelId, Model>,
        /// The changes of groups.
        #[serde(default, skip_serializing_if = "Changes::is_empty")]
        pub groups: Changes<GroupId, Group>,
        /// The changes of backend servers.
        #[serde(default, skip_serializing_if = "Changes::is_empty")]
        pub servers: Changes<ServerId, Server>,
        /// The whole keeper table if it changed.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub keepers: Option<Vec<[HostId; 3]>>,
    }
}

impl<K: Ord + Clone, V: PartialEq> Changes<K, V> {
    /// Returns the changes that lead from one section to another.
    pub fn between(old: &Section<K, V>, new: &Section<K, V>) -> Self {
        let mut changes = Self::default();
        if old.is_same(new) {
            return changes;
        }
        for name in new.keys() {
            let (Some(entry), before) = (new.get_shared(name), old.get_shared(name)) else {
                continue;
            };
            if before.is_none_or(|b| !Arc::ptr_eq(b, entry) && b != entry) {
                changes.set.insert_shared(name.clone(), Arc::clone(entry));
            }
        }
        let dropped = old.keys().filter(|name| !new.contains_key(name));
        changes.removed = dropped.cloned().collect();
        changes
    }

    /// Applies the changes to a section.
    pub fn apply(&self, section: &mut Section<K, V>) {
        for name in &self.removed {
            section.remove(name);
        }
        for name in self.set.keys() {
            if let Some(entry) = self.set.get_shared(name) {
                section.insert_shared(name.clone(), Arc::clone(entry));
            }
        }
    }

    /// Adds later changes of the same section.
    pub fn extend(&mut self, later: &Self) {
        for name in &later.removed {
            self.set.remove(name);
            self.removed.insert(name.clone());
        }
        for name in later.set.keys() {
            self.removed.remove(name);
            if let Some(entry) = later.set.get_shared(name) {
                self.set.insert_shared(name.clone(), Arc::clone(entry));
            }
        }
    }

    /// Returns the names of the entries that are set or removed.
    pub fn names(&self) -> impl Iterator<Item = &K> {
        self.set.keys().chain(&self.removed)
    }
}

impl<K: Ord + Clone + fmt::Display, V: PartialEq> Changes<K, V> {
    fn push_paths(&self, section: &str, paths: &mut Vec<String>) {
        paths.extend(self.names().map(|name| format!("{section}.{name}")));
    }
}

impl<K: Ord, V> Changes<K, V> {
    /// Whether there are no changes.
    pub fn is_empty(&self) -> bool {
        self.set.is_empty() && self.removed.is_empty()
    }
}

impl<K: Ord, V> Default for Changes<K, V> {
    fn default() -> Self {
        Self {
            set: Section::default(),
            removed: BTreeSet::new(),
        }
    }
}

impl Delta {
    /// Creates a delta that changes only the version number.
    pub fn new(from: Version, to: Version) -> Self {
        Self {
            from,
            to,
            operators: Changes::default(),
            workspaces: Changes::default(),
            services: Changes::default(),
            models: Changes::default(),
            groups: Changes::default(),
            servers: Changes::default(),
            keepers: None,
        }
    }

    /// Returns the delta that leads from one version to another.
    pub fn between(old: &Config, new: &Config) -> Self {
        Self {
            from: old.version,
            to: new.version,
            operators: Changes::between(&old.operators, &new.operators),
            workspaces: Changes::between(&old.workspaces, &new.workspaces),
            services: Changes::between(&old.services, &new.services),
            models: Changes::between(&old.models, &new.models),
            groups: Changes::between(&old.groups, &new.groups),
            servers: Changes::between(&old.servers, &new.servers),
            keepers: (old.keepers != new.keepers).then(|| new.keepers.clone()),
        }
    }

    /// Returns the configuration that the delta leads to.
    ///
    /// A delta that is applied to another version than the one it starts from would bring entries
    /// of two versions into force at once. The versions are therefore compared first, and the
    /// result is a new value, so that no reader sees it half applied.
    pub fn apply(&self, config: &Config) -> Result<Config> {
        let mut next = config.clone();
        self.apply_in_place(&mut next)?;
        let names = self.workspaces.names();
        next.owners = config
            .owners
            .updated(&config.workspaces, &next.workspaces, names);
        Ok(next)
    }

    /// Applies the delta to a configuration that no one else reads.
    ///
    /// Unlike [`Delta::apply`], this doesn't update the index of key owners, which is then not used
    /// if the workspaces change.
    pub fn apply_in_place(&self, config: &mut Config) -> Result<()> {
        if self.from != config.version {
            return Err(DeltaError::Gap {
                have: config.version,
                from: self.from,
            });
        }
        if self.to <= self.from {
            return Err(DeltaError::Backward);
        }
        config.version = self.to;
        self.operators.apply(&mut config.operators);
        self.workspaces.apply(&mut config.workspaces);
        self.services.apply(&mut config.services);
        self.models.apply(&mut config.models);
        self.groups.apply(&mut config.groups);
        self.servers.apply(&mut config.servers);
        if let Some(keepers) = &self.keepers {
            config.keepers = keepers.clone();
        }
        Ok(())
    }

    /// Appends the delta that follows this one, so that both are applied together.
    pub fn extend(&mut self, later: &Self) -> Result<()> {
        if later.from != self.to {
            return Err(DeltaError::Gap {
                have: self.to,
                from: later.from,
            });
        }
        self.to = later.to;
        self.operators.extend(&later.operators);
        self.workspaces.extend(&later.workspaces);
        self.services.extend(&later.services);
        self.models.extend(&later.models);
        self.groups.extend(&later.groups);
        self.servers.extend(&later.servers);
        if later.keepers.is_some() {
            self.keepers.clone_from(&later.keepers);
        }
        Ok(())
    }

    /// Combines consecutive deltas into one that starts from `from`.
    ///
    /// Returns `None` if none of them starts there, or if there is a gap between two of them.
    pub fn combined<'a>(deltas: impl Iterator<Item = &'a Self>, from: Version) -> Option<Self> {
        let mut later = deltas.skip_while(|d| d.from < from);
        let mut combined = later.next().filter(|d| d.from == from)?.clone();
        for delta in later {
            combined.extend(delta).ok()?;
        }
        Some(combined)
    }

    /// Returns the dotted paths of all changed entries.
    pub fn paths(&self) -> Vec<String> {
        let mut paths = Vec::new();
        self.operators.push_paths("operators", &mut paths);
        self.workspaces.push_paths("workspaces", &mut paths);
        self.services.push_paths("services", &mut paths);
        self.models.push_paths("models", &mut paths);
        self.groups.push_paths("groups", &mut paths);
        self.servers.push_paths("servers", &mut paths);
        if self.keepers.is_some() {
            paths.push("keepers".into());
        }
        paths
    }
}
