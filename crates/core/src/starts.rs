//! A map of values by backend server and start.
//!
//! A server that starts again keeps its id, so several starts of it can be known at once.

use std::collections::HashMap;

use crate::ids::{Incarnation, ServerId};

/// A map with one value for each known start of a backend server.
#[derive(Debug, Clone)]
pub struct StartMap<T> {
    /// The starts of each server in a list, because only a few are known at once.
    servers: HashMap<ServerId, Vec<(Incarnation, T)>>,
}

impl<T> Default for StartMap<T> {
    fn default() -> Self {
        Self {
            servers: HashMap::new(),
        }
    }
}

impl<T> StartMap<T> {
    /// Creates an empty map.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the value of a start.
    pub fn get(&self, server: &ServerId, start: Incarnation) -> Option<&T> {
        let mut starts = self.servers.get(server)?.iter();
        starts.find(|(s, _)| *s == start).map(|(_, value)| value)
    }

    /// Returns the value of a start for a change.
    pub fn get_mut(&mut self, server: &ServerId, start: Incarnation) -> Option<&mut T> {
        let mut starts = self.servers.get_mut(server)?.iter_mut();
        starts.find(|(s, _)| *s == start).map(|(_, value)| value)
    }

    /// Sets the value of a start.
    pub fn insert(&mut self, server: &ServerId, start: Incarnation, value: T) {
        match self.get_mut(server, start) {
            Some(known) => *known = value,
            None => {
                let starts = self.servers.entry(server.clone()).or_default();
                starts.push((start, value));
            }
        }
    }

    /// Removes a start.
    pub fn remove(&mut self, server: &ServerId, start: Incarnation) {
        let Some(starts) = self.servers.get_mut(server) else {
            return;
        };
        starts.retain(|(s, _)| *s != start);
        if starts.is_empty() {
            self.servers.remove(server);
        }
    }

    /// Keeps only the starts that the predicate accepts.
    pub fn retain(&mut self, keep: impl Fn(&ServerId, Incarnation, &T) -> bool) {
        self.servers.retain(|server, starts| {
            starts.retain(|(start, value)| keep(server, *start, value));
            !starts.is_empty()
        });
    }

    /// Returns all starts with their values.
    pub fn iter(&self) -> impl Iterator<Item = (&ServerId, Incarnation, &T)> {
        self.servers.iter().flat_map(|(server, starts)| {
            let starts = starts.iter();
            starts.map(move |(start, value)| (server, *start, value))
        })
    }

    /// Removes the starts with the lowest keys until at most `limit` are left.
    pub fn evict_lowest<K: Ord>(&mut self, limit: usize, key: impl Fn(&T) -> K) {
        while self.count() > limit {
            let lowest = self.iter().min_by_key(|(_, _, value)| key(value));
            let Some((server, start)) = lowest.map(|(server, start, _)| (server.clone(), start))
            else {
                return;
            };
            self.remove(&server, start);
        }
    }

    /// Returns the number of known starts.
    fn count(&self) -> usize {
        self.servers.values().map(Vec::len).sum()
    }
}
