//! How many requests a gateway sends to servers that are cold.
//!
//! A server that has just started, or that comes back with others of its availability zone, is idle
//! and looks best to all gateways at once, but tolerates few requests per second. Each gateway sends
//! it at most one request per period, in a short slot of its own. A period is as long as all gateways
//! that share a rate need for one request each; the slots of different gateways are at unrelated
//! times. So the rate holds whatever each gateway's demand is, whether or not the
//! gateways reach each other or a leader.

use std::collections::HashMap;

use snipemast_core::hash::{fraction, mix};
use snipemast_core::prelude::*;
use snipemast_core::starts::StartMap;

use crate::choice::AnnouncedServer;

/// The parts of the rate that a cold server tolerates that the gateways of its own availability zone
/// and all others use. The rest covers slots of several gateways that coincide by chance.
const LOCAL_SHARE: f64 = 0.3;
const REMOTE_SHARE: f64 = 0.12;

/// The longest slot. A slot that isn't used is lost; otherwise gateways whose demand rises together
/// would all use the slots that they have saved.
const MAX_SLOT: Span = Span::from_millis(750);

/// How long a server is treated as cold beyond the time that it says, for the differences in how long
/// heartbeats travel.
const MARGIN: Span = Span::from_millis(500);

/// The most servers that are remembered as cold.
const MAX_STARTS: usize = 4_096;

/// Tracks which servers are cold, and when this gateway may send them requests.
#[derive(Debug, Default)]
pub struct ColdServers {
    /// What a cold server of each service tolerates. Servers of other services are never limited.
    rates: HashMap<ServiceId, Rate>,
    starts: StartMap<ColdStart>,
    gateways: GatewayCounts,
    /// Differs between gateways, so that their slots are at unrelated times.
    seed: u64,
}

/// How many gateways there are; 0 while it is unknown.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct GatewayCounts {
    /// In all availability zones.
    pub all: u32,
    /// In this gateway's availability zone.
    pub local: u32,
}

/// A start of a server that is or may be cold.
#[derive(Debug)]
struct ColdStart {
    until: Moment,
    /// The period in which the last request was sent.
    used_period: Option<u64>,
}

/// This gateway's slots at one server.
#[derive(Debug, Clone, Copy)]
struct Slots {
    /// The interval between the begins of two slots, in microseconds.
    period: u64,
    /// The length of a slot, in microseconds.
    length: u64,
    /// How much earlier than multiples of the period slots begin, in microseconds.
    offset: u64,
}

impl ColdServers {
    /// Creates a tracker in which no server is cold.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            ..Self::default()
        }
    }

    /// Sets what a cold server of each service tolerates.
    pub fn set_rates(&mut self, rates: HashMap<ServiceId, Rate>) {
        self.rates = rates;
    }

    /// Raises the known numbers of gateways. They never fall, because a gateway that isn't seen may
    /// be cut off and still send requests.
    pub fn observe_gateways(&mut self, counts: GatewayCounts) {
        self.gateways.all = self.gateways.all.max(counts.all);
        self.gateways.local = self.gateways.local.max(counts.local);
    }

    /// Records that a start of a server is or may be cold until a moment.
    pub fn record(&mut self, now: Moment, server: &ServerId, start: Incarnation, until: Moment) {
        if until <= now {
            return;
        }
        match self.starts.get_mut(server, start) {
            Some(known) => known.until = known.until.max(until + MARGIN),
            None => {
                let cold = ColdStart {
                    until: until + MARGIN,
                    used_period: None,
                };
                self.starts.insert(server, start, cold);
            }
        }
        self.starts.retain(|_, _, cold| now < cold.until);
        self.starts.evict_lowest(MAX_STARTS, |cold| cold.until);
    }

    /// Returns when a server may be sent the next request, or nothing if it may be sent one now.
    /// `local` is whether it is in this gateway's availability zone.
    pub fn next_send(&self, now: Moment, server: &AnnouncedServer, local: bool) -> Option<Moment> {
        let cold = self.starts.get(&server.server, server.start)?;
        let rate = self.rates.get(&server.pool.service)?;
        if now >= cold.until {
            return None;
        }
        let Some(slots) = self.slots(&server.server, *rate, local) else {
            return Some(cold.until);
        };
        let (period, since) = slots.position(now);
        if since < slots.length && cold.used_period != Some(period) {
            return None;
        }
        let next = now + Span::from_micros(slots.period - since);
        Some(next.min(cold.until))
    }

    /// Records that a request is sent to a server.
    pub fn spend(&mut self, now: Moment, server: &AnnouncedServer, local: bool) {
        let Some(rate) = self.rates.get(&server.pool.service) else {
            return;
        };
        let slots = self.slots(&server.server, *rate, local);
        let cold = self.starts.get_mut(&server.server, server.start);
        if let (Some(slots), Some(cold)) = (slots, cold) {
            cold.used_period = Some(slots.position(now).0);
        }
    }

    /// Returns the rate of requests that all gateways together send to a cold server of a service.
    pub fn used_rate(&self, service: &ServiceId) -> Option<Rate> {
        let rate = self.rates.get(service)?.as_per_second();
        Rate::from_per_second(rate * (LOCAL_SHARE + REMOTE_SHARE))
    }

    /// Returns this gateway's slots at a server, or nothing while it has none because it doesn't know
    /// how many gateways there are.
    fn slots(&self, server: &ServerId, rate: Rate, local: bool) -> Option<Slots> {
        let (gateways, share) = if local {
            (self.gateways.local, LOCAL_SHARE)
        } else {
            (self.gateways.all, REMOTE_SHARE)
        };
        let used = rate.as_per_second() * share;
        let period = ((f64::from(gateways) / used) * 1e6) as u64;
        let bytes = server.as_str().bytes();
        let key = bytes.fold(self.seed, |key, byte| mix(key ^ u64::from(byte)));
        (period > 0).then(|| Slots {
            period,
            length: period.min(MAX_SLOT.as_micros()),
            offset: (fraction(key) * period as f64) as u64,
        })
    }
}

impl Slots {
    /// Returns the number of the period of a moment, and the microseconds since it began.
    fn position(self, now: Moment) -> (u64, u64) {
        let at = now.as_micros() + self.offset;
        (at / self.period, at % self.period)
    }
}
