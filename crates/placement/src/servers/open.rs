//! Which servers may take a request now, and why the others may not.

use snipemast_core::prelude::*;

use super::{Server, Servers};
use crate::choice::{Constraints, Unplaced};
use crate::pick::{Candidate, Pick};
use crate::urgency::Urgency;

/// The part of the time for which a server goes on serving after it said that it leaves, in which it takes what no
/// other takes: what begins later may not end before the server does.
const LEAVING_PART: u64 = 2;

/// The servers that may take a request.
#[derive(Debug)]
pub(super) struct Open<'a> {
    pub(super) servers: Vec<&'a ServerId>,
    pub(super) candidates: Vec<Candidate>,
    /// Those that name limits, and that this gateway would send to.
    pub(super) limited: Vec<&'a ServerId>,
    /// How many were left out because of their limits.
    pub(super) passed: usize,
    /// How many were left out because they rest.
    pub(super) rested: usize,
    /// Why there is none, where there is none.
    pub(super) unplaced: Unplaced,
}

impl Default for Open<'_> {
    fn default() -> Self {
        Self {
            servers: Vec::new(),
            candidates: Vec::new(),
            limited: Vec::new(),
            passed: 0,
            rested: 0,
            unplaced: Unplaced::Nobody,
        }
    }
}

impl<'a> Open<'a> {
    fn take(&mut self, server: &'a ServerId, candidate: Candidate) {
        self.servers.push(server);
        self.candidates.push(candidate);
    }

    fn leave_out(&mut self, unplaced: Unplaced) {
        self.unplaced = self.unplaced.max(unplaced);
        match unplaced {
            Unplaced::AllLimited => self.passed += 1,
            Unplaced::AllResting => self.rested += 1,
            _ => {}
        }
    }
}

impl<P: Pick> Servers<P> {
    /// The servers that may take a request, and what is believed of their load.
    pub(super) fn open(&self, now: Moment, wanted: Constraints<'_>, turn: Urgency) -> Open<'_> {
        let bound = self.room.bound(turn);
        let mut open = Open::default();
        let (mut limited, mut leaving) = (Vec::new(), Vec::new());
        for (id, server) in &self.known {
            if !wanted.holds(&server.offered) || self.is_shunned(&server.offered) {
                continue;
            }
            if server.offered.leaving_since.is_some() {
                leaving.push((id, server));
                continue;
            }
            let admitted = self.admit(now, server, bound);
            let counts = matches!(admitted, Ok(_) | Err(Unplaced::AllLimited));
            if counts && self.allowances.is_limited(id) {
                limited.push((id, self.is_near(server)));
            }
            match admitted {
                Ok(candidate) => open.take(id, candidate),
                Err(unplaced) => open.leave_out(unplaced),
            }
        }
        // Gateways of the server's zone use it first.
        let free = open.candidates.iter().any(Candidate::is_near_and_free);
        let asked = limited.into_iter().filter(|(_, near)| *near || !free);
        open.limited = asked.map(|(id, _)| id).collect();
        if open.servers.is_empty() {
            let serving = leaving
                .into_iter()
                .filter(|(_, server)| self.serves_still(now, server));
            for (id, server) in serving {
                if let Ok(candidate) = self.admit(now, server, bound) {
                    open.take(id, candidate);
                }
            }
        }
        open
    }

    /// Whether one of the wanted servers has a free place: a request that moves there begins at once.
    pub fn has_free(&self, now: Moment, wanted: Constraints<'_>) -> bool {
        /// As many as it runs at once, in hundredths.
        const SLOTS: u32 = 100;
        self.has_place(now, wanted, SLOTS)
    }

    /// Whether a request that was sent to a server may move to one of the wanted servers.
    ///
    /// Load answered: all servers have queues, and one stands still. What waits at a server that goes on may be answered
    /// there yet, so it moves to a free place only; what waits at one that answers nothing is lost there, and a place
    /// in another one's queue is better.
    pub fn may_move(
        &self,
        now: Moment,
        from: &ServerId,
        wanted: Constraints<'_>,
        turn: Urgency,
    ) -> bool {
        let still = self.known.get(from).is_some_and(|server| server.still);
        self.has_free(now, wanted) || still && self.has_place(now, wanted, self.room.bound(turn))
    }

    fn has_place(&self, now: Moment, wanted: Constraints<'_>, bound: u32) -> bool {
        self.known.values().any(|server| {
            wanted.holds(&server.offered)
                && server.offered.leaving_since.is_none()
                && !self.is_shunned(&server.offered)
                && self.admit(now, server, bound).is_ok()
        })
    }

    /// What is believed of the load of a server that may be sent a request; the bound is in hundredths of its slots.
    fn admit(&self, now: Moment, server: &Server, bound: u32) -> Result<Candidate, Unplaced> {
        let offered = &server.offered;
        if now < server.out || server.still {
            return Err(Unplaced::AllOut);
        }
        let opens = self.rests.opens(now, &offered.server, offered.start);
        if opens.is_some() {
            return Err(Unplaced::AllResting);
        }
        let candidate = self.candidate(now, server);
        let load = 100 * (candidate.own + candidate.others);
        if load >= candidate.slots * bound || now < server.full {
            return Err(Unplaced::AllFull);
        }
        if !self.allowances.admits(now, &offered.server) {
            return Err(Unplaced::AllLimited);
        }
        Ok(candidate)
    }

    /// Whether a server that leaves takes requests still.
    fn serves_still(&self, now: Moment, server: &Server) -> bool {
        let serves = Span::from_micros(self.drain.as_micros() / LEAVING_PART);
        let leaving = server.offered.leaving_since;
        leaving.is_some_and(|first| now < first + serves)
    }

    /// The place of a server that has a free slot and is to be sent a request first.
    pub(super) fn due(&self, now: Moment, open: &Open<'_>) -> Option<usize> {
        let places = open.servers.iter().zip(&open.candidates);
        let mut places = places.enumerate();
        let due = places
            .find(|(_, (id, candidate))| candidate.is_free() && self.allowances.is_due(now, id));
        due.map(|(place, _)| place)
    }

    fn candidate(&self, now: Moment, server: &Server) -> Candidate {
        Candidate {
            own: server.own,
            others: self.others(now, server),
            slots: server.offered.slots.max(1),
            near: self.is_near(server),
        }
    }

    fn is_near(&self, server: &Server) -> bool {
        server.offered.zone == self.zone
    }
}
