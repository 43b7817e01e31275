//! A section of the configuration: named entries that versions share.

use std::collections::btree_map::{self, BTreeMap};
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// A map of named entries that versions share until one of them changes.
///
/// A clone only increments a reference count. A change copies the names and pointers of its
/// section, but no other entry.
pub struct Section<K, V> {
    entries: Arc<BTreeMap<K, Arc<V>>>,
}

impl<K: Ord + Clone, V> Section<K, V> {
    /// Creates an empty section.
    pub fn new() -> Self {
        Self {
            entries: Arc::default(),
        }
    }

    /// Returns the entry of a name.
    pub fn get(&self, name: &K) -> Option<&V> {
        self.entries.get(name).map(Arc::as_ref)
    }

    /// Returns the entry of a name as a pointer that another section can share.
    pub fn get_shared(&self, name: &K) -> Option<&Arc<V>> {
        self.entries.get(name)
    }

    /// Returns the section's own copy of a name.
    pub fn get_key(&self, name: &K) -> Option<&K> {
        self.entries.get_key_value(name).map(|(k, _)| k)
    }

    /// Whether a name has an entry.
    pub fn contains_key(&self, name: &K) -> bool {
        self.entries.contains_key(name)
    }

    /// Iterates over names and entries, ordered by name.
    pub fn iter(&self) -> Iter<'_, K, V> {
        Iter {
            inner: self.entries.iter(),
        }
    }

    /// Iterates over the names, in order.
    pub fn keys(&self) -> impl Iterator<Item = &K> {
        self.entries.keys()
    }

    /// Iterates over the entries, ordered by name.
    pub fn values(&self) -> impl Iterator<Item = &V> {
        self.entries.values().map(Arc::as_ref)
    }

    /// Inserts an entry, or replaces the previous entry of the name.
    pub fn insert(&mut self, name: K, entry: V) {
        self.insert_shared(name, Arc::new(entry));
    }

    /// Inserts a shared entry, or replaces the previous entry of the name.
    pub fn insert_shared(&mut self, name: K, entry: Arc<V>) {
        Arc::make_mut(&mut self.entries).insert(name, entry);
    }

    /// Removes the entry of a name, and returns whether there was one.
    pub fn remove(&mut self, name: &K) -> bool {
        self.contains_key(name) && Arc::make_mut(&mut self.entries).remove(name).is_some()
    }
}

impl<K, V> Section<K, V> {
    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Whether both sections share one copy, in which case they are equal without a comparison of
    /// their entries.
    pub fn is_same(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.entries, &other.entries)
    }
}

impl<K, V> Clone for Section<K, V> {
    fn clone(&self) -> Self {
        Self {
            entries: Arc::clone(&self.entries),
        }
    }
}

impl<K, V> Default for Section<K, V> {
    fn default() -> Self {
        Self {
            entries: Arc::new(BTreeMap::new()),
        }
    }
}

impl<K: fmt::Debug, V: fmt::Debug> fmt::Debug for Section<K, V> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.entries.fmt(f)
    }
}

impl<K: Ord, V: PartialEq> PartialEq for Section<K, V> {
    fn eq(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.entries, &other.entries) || self.entries == other.entries
    }
}

impl<K: Ord, V: Eq> Eq for Section<K, V> {}

impl<K: Ord, V> FromIterator<(K, V)> for Section<K, V> {
    fn from_iter<I: IntoIterator<Item = (K, V)>>(entries: I) -> Self {
        let shared = entries.into_iter().map(|(k, v)| (k, Arc::new(v)));
        Self {
            entries: Arc::new(shared.collect()),
        }
    }
}

impl<K: Ord, V> From<BTreeMap<K, V>> for Section<K, V> {
    fn from(entries: BTreeMap<K, V>) -> Self {
        entries.into_iter().collect()
    }
}

impl<K: Serialize, V: Serialize> Serialize for Section<K, V> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_map(self.entries.iter().map(|(k, v)| (k, v.as_ref())))
    }
}

impl<'de, K, V> Deserialize<'de> for Section<K, V>
where
    K: Deserialize<'de> + Ord,
    V: Deserialize<'de>,
{
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        BTreeMap::<K, V>::deserialize(deserializer).map(Self::from)
    }
}

impl<'a, K: Ord + Clone, V> IntoIterator for &'a Section<K, V> {
    type Item = (&'a K, &'a V);
    type IntoIter = Iter<'a, K, V>;

    fn into_iter(self) -> Iter<'a, K, V> {
        self.iter()
    }
}

/// An iterator over the names and entries of a section, ordered by name.
pub struct Iter<'a, K, V> {
    inner: btree_map::Iter<'a, K, Arc<V>>,
}

impl<'a, K, V> Iterator for Iter<'a, K, V> {
    type Item = (&'a K, &'a V);

    fn next(&mut self) -> Option<Self::Item> {
        self.inner.next().map(|(k, v)| (k, v.as_ref()))
    }
}

impl<K: fmt::Debug, V: fmt::Debug> fmt::Debug for Iter<'_, K, V> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.inner.fmt(f)
    }
}
