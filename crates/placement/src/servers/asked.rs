//! What servers ask of gateways: limits, rests, and no new requests while they are leaving.

use snipemast_core::prelude::*;

use super::{Servers, DEFAULT_DURATION};
use crate::allowances::GrantLease;
use crate::choice::AnnouncedServer;
use crate::cold::GatewayCounts;
use crate::pick::Pick;

impl<P: Pick> Servers<P> {
    /// Sets the limits that servers name. The limit of a server that isn't listed has ended.
    pub fn set_limits(&mut self, now: Moment, limits: Vec<(ServerId, Rate)>) {
        self.allowances.set_limits(now, limits);
    }

    /// Raises the known numbers of gateways.
    pub fn observe_gateways(&mut self, counts: GatewayCounts) {
        self.allowances.observe_gateways(counts.all);
        self.cold.observe_gateways(counts);
        self.outliers.observe_gateways(counts.all);
    }

    /// Adds requests that the leader grants to this gateway.
    pub fn add_grants(
        &mut self,
        now: Moment,
        grants: impl Iterator<Item = (ServerId, GrantLease)>,
    ) {
        self.allowances.add_grants(now, grants);
    }

    /// Records that a start of a server refused a request and asks this gateway for rest.
    pub fn record_rest(&mut self, now: Moment, server: &ServerId, start: Incarnation, span: Span) {
        self.rests.record(now, server, start, span);
    }

    /// Records that a start of a server accepted a request that was sent at `sent`. Returns whether
    /// it is the first one after a rest.
    pub fn record_accepted(&mut self, sent: Moment, server: &ServerId, start: Incarnation) -> bool {
        let slots = self.get(server, start).map_or(0, |s| s.announced.slots);
        self.rests.record_accepted(sent, server, start, slots)
    }

    /// Whether a start of a server wants no requests from this gateway now.
    pub fn is_resting(&self, now: Moment, server: &ServerId, start: Incarnation) -> bool {
        self.rests.is_resting(now, server, start)
    }

    /// Returns when the first of a service's resting servers may be sent a request.
    pub fn next_send(&self, now: Moment, service: &ServiceId) -> Option<Moment> {
        let remaining = self.remaining(service);
        remaining
            .filter_map(|s| self.rests.next_send(now, &s.server, s.start))
            .min()
    }

    /// Returns the rate of requests that a service's servers usually take.
    pub fn capacity(&self, service: &ServiceId) -> Rate {
        let remaining = self.remaining(service);
        let slots: u64 = remaining.map(|s| u64::from(s.slots)).sum();
        let usual = self
            .usual_durations
            .get(service)
            .copied()
            .unwrap_or(DEFAULT_DURATION);
        Rate::from_millis(1_000_000 * slots / usual.as_millis().max(1))
    }

    /// Records that a start of a server said that it is leaving.
    pub fn record_leaving(&mut self, now: Moment, server: &ServerId, start: Incarnation) {
        if let Some(server) = self.get(server, start) {
            server.announced.leaving_since.get_or_insert(now);
        }
    }

    /// Returns how many more requests this gateway would send to a server that names a limit.
    pub fn demand(&mut self, now: Moment, server: &ServerId) -> u32 {
        let known = self.known.get(server).map(|s| &s.announced);
        let unavailable = |s: &AnnouncedServer| {
            s.leaving_since.is_some()
                || self.is_evacuated(s)
                || self.rests.next_send(now, server, s.start).is_some()
        };
        if known.is_some_and(unavailable) {
            return 0;
        }
        self.allowances.demand(now, server)
    }

    /// Returns the sum of the limits that a service's servers name.
    pub fn total_limit(&self, service: &ServiceId) -> Rate {
        let remaining = self.remaining(service);
        remaining
            .filter_map(|s| self.allowances.rate(&s.server))
            .sum()
    }

    /// Returns the servers of a service that are neither leaving nor evacuated.
    pub(super) fn remaining<'a>(
        &'a self,
        service: &'a ServiceId,
    ) -> impl Iterator<Item = &'a AnnouncedServer> {
        let all = self.known.values().map(|s| &s.announced);
        let all = all.filter(move |s| s.pool.service == *service && s.leaving_since.is_none());
        all.filter(|s| !self.is_evacuated(s))
    }
}
