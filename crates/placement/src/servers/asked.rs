//! What servers ask of gateways: limits, rests, and to be left alone as they leave.

use snipemast_core::prelude::*;

use super::{Servers, USUAL};
use crate::allowances::Granted;
use crate::choice::AnnouncedServer;
use crate::pick::Pick;

impl<P: Pick> Servers<P> {
    /// Sets the limits that servers name; one that isn't named is over.
    pub fn set_limits(&mut self, now: Moment, limits: Vec<(ServerId, Rate)>) {
        self.allowances.set_limits(now, limits);
    }

    /// Takes note of how many gateways there are.
    pub fn see_gateways(&mut self, count: u32) {
        self.allowances.see_gateways(count);
    }

    /// Takes what the leader grants to this gateway.
    pub fn set_grants(&mut self, now: Moment, grants: impl Iterator<Item = (ServerId, Granted)>) {
        self.allowances.set_grants(now, grants);
    }

    /// A start of a server turned a request away and asks this gateway for rest.
    pub fn note_rest(&mut self, now: Moment, server: &ServerId, start: Incarnation, span: Span) {
        self.rests.note(now, server, start, span);
    }

    /// A start of a server took a request that was sent at a moment; true where it is the first one after a rest.
    pub fn note_taken(&mut self, sent: Moment, server: &ServerId, start: Incarnation) -> bool {
        let slots = self.get(server, start).map_or(0, |s| s.offered.slots);
        self.rests.note_taken(sent, server, start, slots)
    }

    /// Whether a start of a server wants nothing from this gateway now.
    pub fn is_resting(&self, now: Moment, server: &ServerId, start: Incarnation) -> bool {
        self.rests.is_resting(now, server, start)
    }

    /// When the first of a service's servers that rest may be sent a request.
    pub fn opens(&self, now: Moment, service: &ServiceId) -> Option<Moment> {
        let staying = self.staying(service);
        staying
            .filter_map(|o| self.rests.opens(now, &o.server, o.start))
            .min()
    }

    /// How many requests a service's servers take, as a rule.
    pub fn capacity(&self, service: &ServiceId) -> Rate {
        let staying = self.staying(service);
        let slots: u64 = staying.map(|o| u64::from(o.slots)).sum();
        let usual = self.usual.get(service).copied().unwrap_or(USUAL);
        Rate::from_millis(1_000_000 * slots / usual.as_millis().max(1))
    }

    /// A start of a server said that it leaves.
    pub fn note_leaving(&mut self, now: Moment, server: &ServerId, start: Incarnation) {
        if let Some(server) = self.get(server, start) {
            server.offered.leaving_since.get_or_insert(now);
        }
    }

    /// How many more requests this gateway would send to a server that names a limit.
    pub fn demand(&mut self, now: Moment, server: &ServerId) -> u32 {
        let known = self.known.get(server).map(|s| &s.offered);
        let spared = |o: &AnnouncedServer| {
            o.leaving_since.is_some() || self.rests.opens(now, server, o.start).is_some()
        };
        if known.is_some_and(spared) {
            return 0;
        }
        self.allowances.demand(now, server)
    }

    /// What a service's servers take from all gateways, where they name limits.
    pub fn limit(&self, service: &ServiceId) -> Rate {
        let staying = self.staying(service);
        staying
            .filter_map(|o| self.allowances.rate(&o.server))
            .sum()
    }

    /// The servers of a service but those that leave.
    fn staying<'a>(&'a self, service: &'a ServiceId) -> impl Iterator<Item = &'a AnnouncedServer> {
        let all = self.known.values().map(|s| &s.offered);
        all.filter(move |o| o.pool.service == *service && o.leaving_since.is_none())
    }
}
