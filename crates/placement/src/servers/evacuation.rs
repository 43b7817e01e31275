//! Evacuated availability zones, and servers that are or may be cold.

use std::collections::{BTreeSet, HashMap};

use snipemast_core::prelude::*;

use super::Servers;
use crate::choice::AnnouncedServer;
use crate::pick::Pick;

impl<P: Pick> Servers<P> {
    /// Sets the evacuated availability zones, whose servers are sent nothing.
    ///
    /// The servers of a zone that is taken back may have turned cold since their last heartbeats, and
    /// look idle to all gateways at once. They are treated as cold until their next heartbeats.
    pub fn set_evacuated(&mut self, now: Moment, zones: BTreeSet<ZoneId>) {
        let returned: Vec<ZoneId> = self.evacuated.difference(&zones).cloned().collect();
        self.evacuated = zones;
        let servers = self.known.values().map(|s| &s.announced);
        for server in servers.filter(|s| returned.contains(&s.zone)) {
            let until = now + self.settle;
            self.cold.record(now, &server.server, server.start, until);
        }
        self.update_pools();
    }

    /// Sets how many requests per second a cold server of each service tolerates. Servers of services
    /// that are not listed tolerate as many as warm ones.
    pub fn set_cold_rates(&mut self, rates: HashMap<ServiceId, Rate>) {
        self.cold.set_rates(rates);
    }

    /// Returns when the first of a service's cold servers may be sent a request.
    pub fn next_cold_send(&self, now: Moment, service: &ServiceId) -> Option<Moment> {
        let remaining = self.remaining(service);
        remaining
            .filter_map(|s| self.cold.next_send(now, s, self.is_local(s)))
            .min()
    }

    /// Returns the rate of requests that a service's servers take from all gateways while they are
    /// cold.
    pub fn cold_capacity(&self, service: &ServiceId) -> Rate {
        let each = self.cold.used_rate(service);
        self.remaining(service).filter_map(|_| each).sum()
    }

    /// Whether a server is in an evacuated availability zone.
    pub(super) fn is_evacuated(&self, announced: &AnnouncedServer) -> bool {
        self.evacuated.contains(&announced.zone)
    }
}
