//! Who polls a controller, and what each one has.

use std::collections::{BTreeSet, HashMap};

use snipemast_core::prelude::*;

use crate::news::{Cursor, Flying, Poll, PollerKind, SlowServer};

/// How long after its last poll a poller counts as connected: its longest wait and some round
/// trips, below the time after which the platform's rules expect a host in reach to know.
pub const CONNECTED: Span = Span::from_millis(1_800);

/// How long counts in flight are believed: four of their usual exchanges.
pub const FLYING: Span = Span::from_millis(1_000);

/// Who polls.
#[derive(Debug, Default)]
pub struct Pollers {
    known: HashMap<HostId, Poller>,
}

#[derive(Debug)]
struct Poller {
    kind: PollerKind,
    version: Version,
    cursor: Cursor,
    last: Moment,
    flying: Flying,
    slow: Vec<SlowServer>,
    still: Vec<ServerId>,
}

impl Pollers {
    /// Takes note of a poll; whether the poller has another configuration or more of the table than when
    /// it polled before.
    ///
    /// Load answered: whoever waits until all gateways have something is woken by this alone. Woken by
    /// every poll, with 350 hosts that poll four times a second, 350 waiting answers would be looked
    /// at half a million times a second.
    pub fn record(&mut self, now: Moment, poll: &Poll) -> bool {
        let poller = Poller {
            kind: poll.kind,
            version: poll.version,
            cursor: poll.cursor,
            last: now,
            flying: poll.in_flight.clone(),
            slow: poll.slow.clone(),
            still: poll.silent.clone(),
        };
        let before = self.known.insert(poll.host.clone(), poller);
        before.is_none_or(|b| b.version != poll.version || b.cursor != poll.cursor)
    }

    /// How many gateways are connected.
    pub fn gateway_count(&self, now: Moment) -> u32 {
        self.connected(now).count() as u32
    }

    /// Whether every connected gateway has this version in force.
    pub fn has_version(&self, now: Moment, version: Version) -> bool {
        self.connected(now).all(|p| p.version >= version)
    }

    /// Whether every connected gateway has the table up to this place.
    pub fn has_revision(&self, now: Moment, cursor: Cursor) -> bool {
        let has = |c: Cursor| c.epoch == cursor.epoch && c.revision >= cursor.revision;
        self.connected(now).all(|p| has(p.cursor))
    }

    /// The requests in flight of all gateways but one, and how long ago those told of them, in the mean.
    pub fn in_flight(&self, now: Moment, but: &HostId) -> (Flying, Span) {
        let mut sums = Flying::new();
        let (mut ages, mut told) = (0, 0);
        let fresh = |p: &Poller| p.kind == PollerKind::Gateway && now < p.last + FLYING;
        for (host, poller) in &self.known {
            if host == but || !fresh(poller) {
                continue;
            }
            ages += poller.last.until(now).as_micros();
            told += 1;
            for (server, count) in &poller.flying {
                match sums.get_mut(server) {
                    Some(sum) => *sum += count,
                    None => {
                        sums.insert(server.clone(), *count);
                    }
                }
            }
        }
        (sums, Span::from_micros(ages / told.max(1)))
    }

    /// The slow servers that leads of groups told of.
    pub fn slow_servers(&self, now: Moment) -> Vec<SlowServer> {
        let fresh = self.known.values().filter(|p| now < p.last + CONNECTED);
        fresh.flat_map(|p| p.slow.iter().cloned()).collect()
    }

    /// The servers that answer some gateway nothing.
    pub fn silent_servers(&self, now: Moment) -> Vec<ServerId> {
        let told = self.connected(now).flat_map(|p| &p.still);
        let told: BTreeSet<&ServerId> = told.collect();
        told.into_iter().cloned().collect()
    }

    /// Forgets who has not polled for long.
    pub fn expire(&mut self, now: Moment) {
        self.known.retain(|_, p| now < p.last + CONNECTED.times(4));
    }

    fn connected(&self, now: Moment) -> impl Iterator<Item = &Poller> {
        let gateways = self.known.values();
        gateways.filter(move |p| p.kind == PollerKind::Gateway && now < p.last + CONNECTED)
    }
}
