//! Which servers may take a request now, and why the others may not.

use snipemast_core::prelude::*;

use super::{Server, Servers};
use crate::choice::{AnnouncedServer, Constraints, Unplaced};
use crate::pick::{Candidate, Pick};
use crate::urgency::Urgency;

/// A server that is leaving takes requests, if no other server does, for the time that it still
/// serves divided by this. Requests that begin later may not end before the server does.
const DRAIN_DIVISOR: u64 = 2;

/// The servers that may take a request.
#[derive(Debug)]
pub(super) struct OpenServers<'a> {
    pub(super) servers: Vec<&'a ServerId>,
    pub(super) candidates: Vec<Candidate>,
    /// The servers that name limits and that this gateway would send requests to.
    pub(super) limited: Vec<&'a ServerId>,
    /// The number of servers that were skipped because of their limits.
    pub(super) skipped_limited: usize,
    /// The number of servers that were skipped because they rest.
    pub(super) skipped_resting: usize,
    /// The reason why there is no server, if there is none.
    pub(super) unplaced: Unplaced,
}

impl Default for OpenServers<'_> {
    fn default() -> Self {
        Self {
            servers: Vec::new(),
            candidates: Vec::new(),
            limited: Vec::new(),
            skipped_limited: 0,
            skipped_resting: 0,
            unplaced: Unplaced::Nobody,
        }
    }
}

impl<'a> OpenServers<'a> {
    fn add(&mut self, server: &'a ServerId, candidate: Candidate) {
        self.servers.push(server);
        self.candidates.push(candidate);
    }

    fn skip(&mut self, unplaced: Unplaced) {
        self.unplaced = self.unplaced.max(unplaced);
        match unplaced {
            Unplaced::AllLimited => self.skipped_limited += 1,
            Unplaced::AllResting => self.skipped_resting += 1,
            _ => {}
        }
    }
}

impl<P: Pick> Servers<P> {
    /// Returns the servers that may take a request, and their believed load.
    pub(super) fn open_servers(
        &self,
        now: Moment,
        constraints: Constraints<'_>,
        urgency: Urgency,
    ) -> OpenServers<'_> {
        let load_limit = self.reserve.limit_for(constraints.service, urgency);
        let mut open = OpenServers::default();
        let (mut limited, mut leaving) = (Vec::new(), Vec::new());
        let mut outliers = Vec::new();
        for (id, server) in &self.known {
            if !constraints.concern(&server.announced) || self.is_slow_outlier(&server.announced) {
                continue;
            }
            if constraints.excluded.contains(id) {
                open.skip(Unplaced::AllExcluded);
                continue;
            }
            if self.is_evacuated(&server.announced) {
                open.skip(Unplaced::Evacuated);
                continue;
            }
            if server.announced.leaving_since.is_some() {
                leaving.push((id, server));
                continue;
            }
            if let Some(failed) = self.outliers.failed_percent(id) {
                let first = constraints.excluded.is_empty();
                if first && self.outliers.is_probe_due(now, id) {
                    if let Ok(candidate) = self.admit(now, server, load_limit) {
                        open.add(id, candidate);
                    }
                } else {
                    outliers.push((id, server, failed));
                }
                continue;
            }
            let admitted = self.admit(now, server, load_limit);
            let wants_grant = matches!(admitted, Ok(_) | Err(Unplaced::AllLimited));
            if wants_grant && self.allowances.is_limited(id) {
                limited.push((id, self.is_local(&server.announced)));
            }
            match admitted {
                Ok(candidate) => open.add(id, candidate),
                Err(unplaced) => open.skip(unplaced),
            }
        }
        // Gateways of the server's own zone use it first.
        let free = open.candidates.iter().any(Candidate::is_local_and_free);
        let wanted = limited.into_iter().filter(|(_, local)| *local || !free);
        open.limited = wanted.map(|(id, _)| id).collect();
        if open.servers.is_empty() {
            let serving = leaving
                .into_iter()
                .filter(|(_, server)| self.still_serves(now, server));
            for (id, server) in serving {
                match self.admit(now, server, load_limit) {
                    Ok(candidate) => open.add(id, candidate),
                    Err(unplaced) => open.skip(unplaced),
                }
            }
        }
        // A request that failed at a server isn't sent to one that is known to fail.
        if open.servers.is_empty() && constraints.excluded.is_empty() {
            for (id, server, failed) in outliers {
                let limit = load_limit * 100u32.saturating_sub(failed) / 100;
                match self.admit(now, server, limit) {
                    Ok(candidate) => open.add(id, candidate),
                    Err(unplaced) => open.skip(unplaced),
                }
            }
        }
        open
    }

    /// Whether one of the allowed servers has a free slot, so that a request that moves there
    /// begins at once.
    pub fn has_free_slot(&self, now: Moment, constraints: Constraints<'_>) -> bool {
        /// As many requests as the server runs at once, in hundredths.
        const SLOTS_PERCENT: u32 = 100;
        self.has_open_server(now, constraints, SLOTS_PERCENT)
    }

    /// Whether a request that was sent to a server may move to one of the allowed servers.
    ///
    /// All servers may have queues while one is frozen. A request at a running server may still be
    /// answered there, so it moves only to a free slot. A request at a frozen server is lost there,
    /// and a place in another server's queue is better.
    pub fn may_move(
        &self,
        now: Moment,
        from: &ServerId,
        constraints: Constraints<'_>,
        urgency: Urgency,
    ) -> bool {
        let frozen = self.known.get(from).is_some_and(|server| server.frozen);
        let load_limit = self.reserve.limit_for(constraints.service, urgency);
        self.has_free_slot(now, constraints)
            || frozen && self.has_open_server(now, constraints, load_limit)
    }

    fn has_open_server(&self, now: Moment, constraints: Constraints<'_>, load_limit: u32) -> bool {
        self.known.values().any(|server| {
            constraints.allow(&server.announced)
                && server.announced.leaving_since.is_none()
                && !self.is_evacuated(&server.announced)
                && !self.is_slow_outlier(&server.announced)
                && self
                    .outliers
                    .failed_percent(&server.announced.server)
                    .is_none()
                && self.admit(now, server, load_limit).is_ok()
        })
    }

    /// Returns the believed load of a server if it may be sent a request. The limit is in
    /// hundredths of the server's slots.
    fn admit(&self, now: Moment, server: &Server, load_limit: u32) -> Result<Candidate, Unplaced> {
        let announced = &server.announced;
        if now < server.ejected_until || server.frozen {
            return Err(Unplaced::AllOut);
        }
        let next_send = self
            .rests
            .next_send(now, &announced.server, announced.start);
        if next_send.is_some() {
            return Err(Unplaced::AllResting);
        }
        let local = self.is_local(announced);
        if self.cold.next_send(now, announced, local).is_some() {
            return Err(Unplaced::AllCold);
        }
        let candidate = self.candidate(now, server);
        let load = 100 * (candidate.own + candidate.others);
        if load >= candidate.slots * load_limit || now < server.full_until {
            return Err(Unplaced::AllFull);
        }
        if !self.allowances.admits(now, &announced.server) {
            return Err(Unplaced::AllLimited);
        }
        Ok(candidate)
    }

    /// Whether a server that is leaving still takes requests.
    fn still_serves(&self, now: Moment, server: &Server) -> bool {
        let serving_time = Span::from_micros(self.drain.as_micros() / DRAIN_DIVISOR);
        let leaving = server.announced.leaving_since;
        leaving.is_some_and(|first| now < first + serving_time)
    }

    /// Returns the index of a server that has a free slot and must be sent a request first.
    pub(super) fn due_index(&self, now: Moment, open: &OpenServers<'_>) -> Option<usize> {
        let indexed = open.servers.iter().zip(&open.candidates);
        let mut indexed = indexed.enumerate();
        let due = indexed.find(|(_, (id, candidate))| {
            candidate.has_free_slot() && self.allowances.has_due_grant(now, id)
        });
        due.map(|(index, _)| index)
    }

    fn candidate(&self, now: Moment, server: &Server) -> Candidate {
        Candidate {
            own: server.own,
            others: self.fresh_others(now, server),
            slots: server.announced.slots.max(1),
            same_zone: self.is_local(&server.announced),
        }
    }

    /// Whether a server is in this gateway's availability zone.
    pub(super) fn is_local(&self, announced: &AnnouncedServer) -> bool {
        announced.zone == self.zone
    }
}
