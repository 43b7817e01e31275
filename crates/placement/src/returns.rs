//! Schedules when requests come back if all servers of their service are limited or resting.
//!
//! If all callers were told to come back at once, they would all meet the next grant, or the end of
//! the first rest, together, and all but one of them would be refused. So each caller gets its own
//! time. The times are as far apart as this gateway's part of what the servers take. A request that
//! can still be on time waits in the gateway instead.

use std::collections::HashMap;

use snipemast_core::prelude::*;

use crate::outage::{subtract, Deferral, RETRY_DIVISOR};

/// When the next request of each service comes back.
#[derive(Debug, Default)]
pub struct RetrySchedule {
    next: HashMap<ServiceId, Moment>,
}

/// A request that no server may take now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldRequest {
    /// How long the request has waited in the gateway.
    pub waited: Span,
    /// The time within which its answer should begin.
    pub objective: Span,
    /// How long its caller still waits.
    pub left: Span,
    /// When the servers of its service take the next request.
    pub opens_at: Moment,
    /// The rate that these servers take from then on, all together.
    pub limit: Rate,
    /// The number of gateways that share the rate.
    pub gateways: u32,
}

impl HeldRequest {
    /// Returns the interval between two requests.
    fn interval(&self) -> Span {
        let shares = 1_000 * u64::from(self.gateways);
        Span::from_millis(1_000 * shares / self.limit.as_millis().max(1))
    }
}

impl RetrySchedule {
    /// Gives a request the next free time of its service.
    pub fn schedule(&mut self, now: Moment, service: &ServiceId, held: HeldRequest) -> Deferral {
        let longest = Span::from_micros(held.left.as_micros() / RETRY_DIVISOR);
        let before = self.next.get(service).copied().unwrap_or(Moment::ZERO);
        let due = before.max(now).max(held.opens_at) + held.interval();
        let span = now.until(due);
        // A caller comes back no later than `longest`. Such a request takes no time of the
        // schedule, which then stays as it is.
        if span > longest {
            return Deferral::RetryLater(longest);
        }
        self.next.insert(service.clone(), due);
        if span <= subtract(held.objective, held.waited) {
            Deferral::Queue(span)
        } else {
            Deferral::RetryLater(span)
        }
    }
}
