//! Servers that deregistered, in the order of their deregistrations.

use std::collections::VecDeque;

use crate as snipemast_core;
use crate::data;
use crate::ids::{Incarnation, ServerId};

/// The most departures that are kept: those of a minute in which 3,000 servers leave, and some more. No heartbeat is late by
/// more than some seconds, so none outlasts its server's entry.
pub const MAX_DEPARTURES: usize = 4_096;

data! {
    /// A server that deregistered.
    #[derive(Hash)]
    pub struct Departure {
        /// The server.
        pub server: ServerId,
        /// Its latest start, or a later time where that was not known; `None` in logs of earlier releases.
        pub start: Option<Incarnation>,
    }

    /// The last departures, numbered in their order.
    #[derive(Default, Hash)]
    pub struct Departures {
        /// The number of departures ever.
        count: u64,
        last: VecDeque<Departure>,
    }
}

impl Departures {
    /// Adds departures; the oldest are dropped beyond [`MAX_DEPARTURES`].
    pub fn add(&mut self, departures: Vec<Departure>) {
        self.count += departures.len() as u64;
        self.last.extend(departures);
        let excess = self.last.len().saturating_sub(MAX_DEPARTURES);
        self.last.drain(..excess);
    }

    /// Returns the number of departures ever.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Returns the departures after the first `count`, as far as they are kept.
    pub fn after(&self, count: u64) -> impl Iterator<Item = &Departure> {
        let new = self.count.saturating_sub(count) as usize;
        let skipped = self.last.len().saturating_sub(new);
        self.last.iter().skip(skipped)
    }
}
