//! The rest that servers ask this gateway for when they turn a request away.

use std::collections::HashMap;

use snipemast_core::prelude::*;

/// Until when each server wants nothing from this gateway.
///
/// Kept apart from the servers on offer: a server that is off the news for a while, or moves, still rests.
#[derive(Debug, Default)]
pub struct Rests {
    servers: HashMap<ServerId, Vec<Rest>>,
}

/// The rest of one start of a server.
#[derive(Debug)]
struct Rest {
    start: Incarnation,
    until: Moment,
}

impl Rests {
    /// A server turned a request away and asks for rest.
    pub fn note(&mut self, now: Moment, server: &ServerId, start: Incarnation, span: Span) {
        self.forget(now);
        let until = now + span;
        let rests = self.servers.entry(server.clone()).or_default();
        match rests.iter_mut().find(|rest| rest.start == start) {
            Some(rest) => rest.until = rest.until.max(until),
            None => rests.push(Rest { start, until }),
        }
    }

    /// Whether a server wants nothing now.
    pub fn is_resting(&self, now: Moment, server: &ServerId, start: Incarnation) -> bool {
        let rests = self.servers.get(server).map_or(&[][..], Vec::as_slice);
        let rest = rests.iter().find(|rest| rest.start == start);
        rest.is_some_and(|rest| now < rest.until)
    }

    /// Forgets the rests that are over.
    fn forget(&mut self, now: Moment) {
        self.servers.retain(|_, rests| {
            rests.retain(|rest| now < rest.until);
            !rests.is_empty()
        });
    }
}
