//! Which hosts poll a controller, and what each of them has.

use std::collections::{BTreeSet, HashMap};

use snipemast_core::prelude::*;

use snipemast_placement::outcomes::{OutcomeCount, Suspect, MAX_REPORTED};

use crate::outcomes::{find_suspects, Placed};
use crate::updates::{Cursor, InFlight, Poll, PollerKind, SlowServer};

/// How long after its last poll a poller counts as connected.
///
/// This is its longest wait and some round-trips, and less than the time after which the platform's
/// rules expect a reachable host to know.
pub const POLLER_TIMEOUT: Span = Span::from_millis(1_800);

/// How long counts of requests in flight are valid: four of their usual exchanges.
pub const IN_FLIGHT_TIMEOUT: Span = Span::from_millis(1_000);

/// How often it is found anew which servers fail.
const JUDGE_INTERVAL: Span = Span::from_millis(50);

/// The hosts that poll a controller.
#[derive(Debug, Default)]
pub struct Pollers {
    known: HashMap<HostId, Poller>,
    /// The servers that failed when this was last found, and when that was.
    suspects: Vec<Suspect>,
    judged: Option<Moment>,
}

#[derive(Debug)]
struct Poller {
    kind: PollerKind,
    zone: Option<ZoneId>,
    version: Version,
    cursor: Cursor,
    last: Moment,
    in_flight: InFlight,
    slow: Vec<SlowServer>,
    silent: Vec<ServerId>,
    outcomes: Vec<OutcomeCount>,
}

impl Pollers {
    /// Records a poll; returns whether the poller has another configuration or more of the table
    /// than at its previous poll.
    ///
    /// Whoever waits until all gateways have something is woken only if this returns true. With 350
    /// hosts that poll four times a second, waking for every poll would mean looking at 350 waiting
    /// answers half a million times a second in all.
    pub fn record(&mut self, now: Moment, poll: &Poll) -> bool {
        let poller = Poller {
            kind: poll.kind,
            zone: poll.zone.clone(),
            version: poll.version,
            cursor: poll.cursor,
            last: now,
            in_flight: poll.in_flight.clone(),
            slow: poll.slow.clone(),
            silent: poll.silent.clone(),
            outcomes: poll.outcomes.iter().take(MAX_REPORTED).cloned().collect(),
        };
        let before = self.known.insert(poll.host.clone(), poller);
        before.is_none_or(|b| b.version != poll.version || b.cursor != poll.cursor)
    }

    /// Returns how many gateways are connected.
    pub fn gateway_count(&self, now: Moment) -> u32 {
        self.connected_gateways(now).count() as u32
    }

    /// Returns how many gateways in an availability zone are connected.
    pub fn local_gateway_count(&self, now: Moment, zone: &ZoneId) -> u32 {
        let gateways = self.connected_gateways(now);
        gateways.filter(|p| p.zone.as_ref() == Some(zone)).count() as u32
    }

    /// Whether every connected gateway has this version in force.
    pub fn has_version(&self, now: Moment, version: Version) -> bool {
        self.connected_gateways(now).all(|p| p.version >= version)
    }

    /// Whether every connected gateway has the table up to this revision.
    pub fn has_revision(&self, now: Moment, cursor: Cursor) -> bool {
        self.connected_gateways(now)
            .all(|p| p.cursor.reaches(cursor))
    }

    /// Returns the requests in flight of all gateways but one, and the mean age of their counts.
    pub fn in_flight(&self, now: Moment, except: &HostId) -> (InFlight, Span) {
        let mut sums = InFlight::new();
        let (mut ages, mut reporters) = (0, 0);
        let fresh = |p: &Poller| p.kind == PollerKind::Gateway && now < p.last + IN_FLIGHT_TIMEOUT;
        for (host, poller) in &self.known {
            if host == except || !fresh(poller) {
                continue;
            }
            ages += poller.last.until(now).as_micros();
            reporters += 1;
            for (server, count) in &poller.in_flight {
                match sums.get_mut(server) {
                    Some(sum) => *sum += count,
                    None => {
                        sums.insert(server.clone(), *count);
                    }
                }
            }
        }
        (sums, Span::from_micros(ages / reporters.max(1)))
    }

    /// Returns the slow servers that the leads of groups report.
    pub fn slow_servers(&self, now: Moment) -> Vec<SlowServer> {
        let fresh = self
            .known
            .values()
            .filter(|p| now < p.last + POLLER_TIMEOUT);
        fresh.flat_map(|p| p.slow.iter().cloned()).collect()
    }

    /// Returns the servers that don't answer some gateway.
    pub fn silent_servers(&self, now: Moment) -> Vec<ServerId> {
        let silent = self.connected_gateways(now).flat_map(|p| &p.silent);
        let silent: BTreeSet<&ServerId> = silent.collect();
        silent.into_iter().cloned().collect()
    }

    /// Returns the servers that fail by the reports of several gateways. `servers` returns those
    /// that may be sent requests, and is called only if some gateway reports failures.
    ///
    /// Reports hold all that a gateway saw lately and replace the one before, so a poll that comes
    /// twice counts once, and a controller that begins to lead needs no history.
    pub fn suspects(&mut self, now: Moment, servers: impl FnOnce() -> Vec<Placed>) -> Vec<Suspect> {
        if self.judged.is_some_and(|at| now < at + JUDGE_INTERVAL) {
            return self.suspects.clone();
        }
        let known = self.known.values();
        let fresh = |p: &&Poller| p.kind == PollerKind::Gateway && now < p.last + IN_FLIGHT_TIMEOUT;
        let reports = known.filter(fresh).map(|p| p.outcomes.as_slice());
        let reports: Vec<&[OutcomeCount]> = reports.collect();
        self.suspects = if reports.iter().all(|report| report.is_empty()) {
            Vec::new()
        } else {
            find_suspects(&servers(), &self.suspects, reports.into_iter())
        };
        self.judged = Some(now);
        self.suspects.clone()
    }

    /// Forgets the hosts that have not polled for a long time.
    pub fn expire(&mut self, now: Moment) {
        self.known
            .retain(|_, p| now < p.last + POLLER_TIMEOUT.times(4));
    }

    /// Returns the connected gateways.
    fn connected_gateways(&self, now: Moment) -> impl Iterator<Item = &Poller> {
        let known = self.known.values();
        known.filter(move |p| p.kind == PollerKind::Gateway && now < p.last + POLLER_TIMEOUT)
    }
}
