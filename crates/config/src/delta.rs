//! What changed between two versions, as a value of its own.

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
    /// It starts from another version.
    Gap {
        /// The version in hand.
        have: Version,
        /// The version that the delta starts from.
        from: Version,
    },
    /// It does not lead forward.
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
    /// The change of one section: entries set, and names removed.
    #[serde(bound(
        serialize = "K: serde::Serialize, V: serde::Serialize",
        deserialize = "K: serde::Deserialize<'de> + Ord, V: serde::Deserialize<'de>"
    ))]
    pub struct Changes<K: Ord, V> {
        /// The entries that are new or different.
        pub set: Section<K, V>,
        /// The names that have no entry any more.
        pub removed: BTreeSet<K>,
    }

    /// The change from one version to a later one.
    #[serde(deny_unknown_fields)]
    pub struct Delta {
        /// The version that it starts from.
        pub from: Version,
        /// The version that it leads to.
        pub to: Version,
        /// Changed operators.
        #[serde(default, skip_serializing_if = "Changes::is_empty")]
        pub operators: Changes<OperatorId, Operator>,
        /// Changed workspaces.
        #[serde(default, skip_serializing_if = "Changes::is_empty")]
        pub workspaces: Changes<WorkspaceId, Workspace>,
        /// Changed services.
        #[serde(default, skip_serializing_if = "Changes::is_empty")]
        pub services: Changes<ServiceId, Service>,
        /// Changed models.
        #[serde(default, skip_serializing_if = "Changes::is_empty")]
        pub models: Changes<ModelId, Model>,
        /// Changed groups.
        #[serde(default, skip_serializing_if = "Changes::is_empty")]
        pub groups: Changes<GroupId, Group>,
        /// Changed servers.
        #[serde(default, skip_serializing_if = "Changes::is_empty")]
        pub servers: Changes<ServerId, Server>,
        /// The keeper table, where it changed.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub keepers: Option<Vec<[HostId; 3]>>,
    }
}

impl<K: Ord + Clone, V: PartialEq> Changes<K, V> {
    /// What leads from one section to another.
    pub fn between(old: &Section<K, V>, new: &Section<K, V>) -> Self {
        let mut changes = Self::default();
        if old.is_same(new) {
            return changes;
        }
        for name in new.keys() {
            let (Some(entry), before) = (new.share(name), old.share(name)) else {
                continue;
            };
            if before.is_none_or(|b| !Arc::ptr_eq(b, entry) && b != entry) {
                changes.set.put(name.clone(), Arc::clone(entry));
            }
        }
        let gone = old.keys().filter(|name| !new.contains_key(name));
        changes.removed = gone.cloned().collect();
        changes
    }

    /// Brings a section forward.
    pub fn apply(&self, section: &mut Section<K, V>) {
        for name in &self.removed {
            section.remove(name);
        }
        for name in self.set.keys() {
            if let Some(entry) = self.set.share(name) {
                section.put(name.clone(), Arc::clone(entry));
            }
        }
    }

    /// Adds a later change of the same section.
    pub fn extend(&mut self, later: &Self) {
        for name in &later.removed {
            self.set.remove(name);
            self.removed.insert(name.clone());
        }
        for name in later.set.keys() {
            self.removed.remove(name);
            if let Some(entry) = later.set.share(name) {
                self.set.put(name.clone(), Arc::clone(entry));
            }
        }
    }

    /// The names that are set or removed.
    pub fn names(&self) -> impl Iterator<Item = &K> {
        self.set.keys().chain(&self.removed)
    }
}

impl<K: Ord + Clone + fmt::Display, V: PartialEq> Changes<K, V> {
    fn list(&self, section: &str, paths: &mut Vec<String>) {
        paths.extend(self.names().map(|name| format!("{section}.{name}")));
    }
}

impl<K: Ord, V> Changes<K, V> {
    /// Whether nothing changes.
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
    /// A delta that changes nothing but the version.
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

    /// What leads from one version to another.
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

    /// The configuration that the delta leads to.
    ///
    /// Failure guarded against: a delta that is applied to another version than the one it was
    /// made from, which shows as entries of two versions in force at once. The versions are
    /// compared first, and the result is a new value: nobody sees it half done.
    pub fn apply(&self, config: &Config) -> Result<Config> {
        let mut next = config.clone();
        self.apply_in_place(&mut next)?;
        let names = self.workspaces.names();
        next.owners = config
            .owners
            .changed(&config.workspaces, &next.workspaces, names);
        Ok(next)
    }

    /// Brings a configuration that nobody else reads forward in place.
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

    /// Adds the delta that follows, so that both are applied at once.
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

    /// One delta out of several that follow each other, from a version on; nothing where none
    /// of them starts there.
    pub fn combined<'a>(deltas: impl Iterator<Item = &'a Self>, from: Version) -> Option<Self> {
        let mut later = deltas.skip_while(|d| d.from < from);
        let mut joined = later.next().filter(|d| d.from == from)?.clone();
        for delta in later {
            joined.extend(delta).ok()?;
        }
        Some(joined)
    }

    /// The names that change, as dotted paths.
    pub fn paths(&self) -> Vec<String> {
        let mut paths = Vec::new();
        self.operators.list("operators", &mut paths);
        self.workspaces.list("workspaces", &mut paths);
        self.services.list("services", &mut paths);
        self.models.list("models", &mut paths);
        self.groups.list("groups", &mut paths);
        self.servers.list("servers", &mut paths);
        if self.keepers.is_some() {
            paths.push("keepers".into());
        }
        paths
    }
}
