//! An index that finds the workspace which owns a bearer key.

use std::collections::hash_map::RandomState;
use std::collections::HashMap;
use std::fmt;
use std::hash::BuildHasher;
use std::sync::{Arc, OnceLock};

use snipemast_core::prelude::*;

use crate::document::{Workspace, Workspaces};
use crate::secret::KeyHash;

/// The owners of bearer keys, which are found by a tag and then compared in constant time.
///
/// The index is built on first use and updated from version to version. If it was built for other
/// workspaces than those of a lookup, the lookup scans the workspaces instead.
#[derive(Clone, Default)]
pub struct KeyIndex {
    built: OnceLock<Arc<IndexedKeys>>,
}

struct IndexedKeys {
    /// The indexed workspaces. This reference keeps them from being changed in place.
    workspaces: Workspaces,
    owners: Arc<Owners>,
}

/// Owners by tag.
///
/// The tag is a hash under a random key of this process, so that the duration of a lookup reveals
/// nothing about the stored keys.
#[derive(Clone, Default)]
struct Owners {
    hasher: RandomState,
    by_tag: HashMap<u64, Vec<(KeyHash, WorkspaceId)>>,
}

impl KeyIndex {
    /// Returns the workspace that owns a key.
    pub fn owner<'a>(&self, workspaces: &'a Workspaces, key: &KeyHash) -> Option<&'a WorkspaceId> {
        let built = self
            .built
            .get_or_init(|| Arc::new(IndexedKeys::new(workspaces)));
        if !built.workspaces.is_same(workspaces) {
            return scan(workspaces, key);
        }
        workspaces.get_key(built.owners.get(key)?)
    }

    /// Returns the index for the next version, in which only the workspaces `names` differ.
    pub(crate) fn updated<'a>(
        &self,
        before: &Workspaces,
        after: &Workspaces,
        names: impl Iterator<Item = &'a WorkspaceId>,
    ) -> Self {
        let Some(built) = self.built.get().filter(|b| b.workspaces.is_same(before)) else {
            return Self::default();
        };
        if before.is_same(after) {
            return self.clone();
        }
        let mut owners = Arc::clone(&built.owners);
        for name in names {
            let old = before.get(name).map_or(&[][..], |w| &w.keys);
            let new = after.get(name).map_or(&[][..], |w| &w.keys);
            if old != new {
                Arc::make_mut(&mut owners).replace(name, old, new);
            }
        }
        let workspaces = after.clone();
        Self {
            built: OnceLock::from(Arc::new(IndexedKeys { workspaces, owners })),
        }
    }
}

impl IndexedKeys {
    fn new(workspaces: &Workspaces) -> Self {
        let mut owners = Owners::default();
        for (name, workspace) in workspaces {
            owners.replace(name, &[], &workspace.keys);
        }
        Self {
            workspaces: workspaces.clone(),
            owners: Arc::new(owners),
        }
    }
}

impl Owners {
    /// Returns the owner of a key.
    fn get(&self, key: &KeyHash) -> Option<&WorkspaceId> {
        let bucket = self.by_tag.get(&self.hasher.hash_one(key))?;
        let found = bucket.iter().find(|(k, _)| k.matches(key));
        found.map(|(_, name)| name)
    }

    /// Replaces the keys of a workspace.
    fn replace(&mut self, name: &WorkspaceId, old: &[KeyHash], new: &[KeyHash]) {
        for key in old {
            let tag = self.hasher.hash_one(key);
            if let Some(bucket) = self.by_tag.get_mut(&tag) {
                bucket.retain(|(k, owner)| k != key || owner != name);
                if bucket.is_empty() {
                    self.by_tag.remove(&tag);
                }
            }
        }
        for key in new {
            let tag = self.hasher.hash_one(key);
            let bucket = self.by_tag.entry(tag).or_default();
            bucket.push((*key, name.clone()));
        }
    }
}

/// Finds the owner of a key without an index.
fn scan<'a>(workspaces: &'a Workspaces, key: &KeyHash) -> Option<&'a WorkspaceId> {
    let owns = |w: &Workspace| w.keys.iter().any(|k| k.matches(key));
    workspaces
        .iter()
        .find(|(_, w)| owns(w))
        .map(|(name, _)| name)
}

/// All indexes are equal, because an index holds nothing that its workspaces don't hold.
impl PartialEq for KeyIndex {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl Eq for KeyIndex {}

impl fmt::Debug for KeyIndex {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyIndex")
    }
}
