//! A map with a fixed capacity that drops the value whose last use is longest ago.

use std::collections::BTreeMap;

/// The values of the keys that were used last, at most as many as the capacity.
#[derive(Debug, Clone)]
pub struct Recent<K, V> {
    capacity: usize,
    /// The values, each with the number of its last use.
    values: BTreeMap<K, (u64, V)>,
    uses: u64,
}

impl<K: Ord + Clone, V> Recent<K, V> {
    /// Creates a map without values.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            values: BTreeMap::new(),
            uses: 0,
        }
    }

    /// Returns the value of a key without counting it as used.
    pub fn get(&self, key: &K) -> Option<&V> {
        self.values.get(key).map(|(_, value)| value)
    }

    /// Sets the value of a key, and returns the previous one.
    pub fn insert(&mut self, key: K, value: V) -> Option<V> {
        if !self.values.contains_key(&key) {
            self.make_room();
        }
        self.uses += 1;
        let previous = self.values.insert(key, (self.uses, value));
        previous.map(|(_, value)| value)
    }

    /// Returns the value of a key, which is created if there is none.
    pub fn get_or_insert_with(&mut self, key: K, new: impl FnOnce() -> V) -> &mut V {
        if !self.values.contains_key(&key) {
            self.make_room();
        }
        self.uses += 1;
        let (last_use, value) = self.values.entry(key).or_insert_with(|| (0, new()));
        *last_use = self.uses;
        value
    }

    /// Returns the number of values.
    pub fn len(&self) -> usize {
        self.values.len()
    }

    /// Whether there are no values.
    pub fn is_empty(&self) -> bool {
        self.values.is_empty()
    }

    /// Removes all values.
    pub fn clear(&mut self) {
        self.values.clear();
    }

    fn make_room(&mut self) {
        if self.values.len() < self.capacity {
            return;
        }
        let oldest = self.values.iter().min_by_key(|(_, (last_use, _))| last_use);
        if let Some(oldest) = oldest.map(|(key, _)| key.clone()) {
            self.values.remove(&oldest);
        }
    }
}
