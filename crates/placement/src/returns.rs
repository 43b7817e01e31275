//! When requests come back that all servers of their service leave no room for, as they name limits or rest.
//!
//! Answers the load of a service in need: told to come back at once, its callers would meet the next grant, or the end
//! of the first rest, in a herd, and all but one of them in vain. So each gets a turn, as far apart as this gateway's part of what the servers
//! take; who can be on time still waits for it here.

use std::collections::HashMap;

use snipemast_core::prelude::*;

use crate::outage::{less, Waiting, BACK_PART};

/// The turns of each service's requests.
#[derive(Debug, Default)]
pub struct Returns {
    next: HashMap<ServiceId, Moment>,
}

/// A request that no server may take now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Held {
    /// How long it has waited here.
    pub waited: Span,
    /// Within which time its answer is to begin.
    pub objective: Span,
    /// How long its caller still waits.
    pub left: Span,
    /// When its service's servers take the next request.
    pub opens: Moment,
    /// What they take from then on, all together.
    pub limit: Rate,
    /// How many gateways share that.
    pub gateways: u32,
}

impl Held {
    /// The pause between two turns.
    fn pause(&self) -> Span {
        let shares = 1_000 * u64::from(self.gateways);
        Span::from_millis(1_000 * shares / self.limit.as_millis().max(1))
    }
}

impl Returns {
    /// Gives a request its turn.
    pub fn turn(&mut self, now: Moment, service: &ServiceId, held: Held) -> Waiting {
        let longest = Span::from_micros(held.left.as_micros() / BACK_PART);
        let before = self.next.get(service).copied().unwrap_or(Moment::ZERO);
        let turn = before.max(now).max(held.opens) + held.pause();
        let span = now.until(turn);
        // A caller comes back no later than that: it gets no turn, and the line stays as long as it is.
        if span > longest {
            return Waiting::RetryLater(longest);
        }
        self.next.insert(service.clone(), turn);
        if span <= less(held.objective, held.waited) {
            Waiting::Queue(span)
        } else {
            Waiting::RetryLater(span)
        }
    }
}
