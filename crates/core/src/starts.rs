//! What is known of single starts of servers, which may start again under their ids.

use std::collections::HashMap;

use crate::ids::{Incarnation, ServerId};

/// A value for each start of a server.
#[derive(Debug, Clone)]
pub struct StartMap<T> {
    /// Few starts of one server are known at once.
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
    /// Nothing is known.
    pub fn new() -> Self {
        Self::default()
    }

    /// What is known of a start.
    pub fn get(&self, server: &ServerId, start: Incarnation) -> Option<&T> {
        let mut starts = self.servers.get(server)?.iter();
        starts.find(|(s, _)| *s == start).map(|(_, value)| value)
    }

    /// The same, to be changed.
    pub fn get_mut(&mut self, server: &ServerId, start: Incarnation) -> Option<&mut T> {
        let mut starts = self.servers.get_mut(server)?.iter_mut();
        starts.find(|(s, _)| *s == start).map(|(_, value)| value)
    }

    /// Sets what is known of a start.
    pub fn insert(&mut self, server: &ServerId, start: Incarnation, value: T) {
        match self.get_mut(server, start) {
            Some(known) => *known = value,
            None => {
                let starts = self.servers.entry(server.clone()).or_default();
                starts.push((start, value));
            }
        }
    }

    /// Forgets a start.
    pub fn remove(&mut self, server: &ServerId, start: Incarnation) {
        let Some(starts) = self.servers.get_mut(server) else {
            return;
        };
        starts.retain(|(s, _)| *s != start);
        if starts.is_empty() {
            self.servers.remove(server);
        }
    }

    /// Keeps the starts for which a condition holds.
    pub fn retain(&mut self, holds: impl Fn(&ServerId, Incarnation, &T) -> bool) {
        self.servers.retain(|server, starts| {
            starts.retain(|(start, value)| holds(server, *start, value));
            !starts.is_empty()
        });
    }

    /// All that is known.
    pub fn iter(&self) -> impl Iterator<Item = (&ServerId, Incarnation, &T)> {
        self.servers.iter().flat_map(|(server, starts)| {
            let starts = starts.iter();
            starts.map(move |(start, value)| (server, *start, value))
        })
    }

    /// Forgets the starts whose values are the least, until no more than so many are known.
    pub fn evict_lowest<K: Ord>(&mut self, most: usize, key: impl Fn(&T) -> K) {
        while self.count() > most {
            let least = self.iter().min_by_key(|(_, _, value)| key(value));
            let Some((server, start)) = least.map(|(server, start, _)| (server.clone(), start))
            else {
                return;
            };
            self.remove(&server, start);
        }
    }

    fn count(&self) -> usize {
        self.servers.values().map(Vec::len).sum()
    }
}
