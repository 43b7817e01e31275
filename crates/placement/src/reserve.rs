//! Keeps room at servers for requests that can't wait.
//!
//! All ranks of a group take each forward pass together, so each stream that runs lengthens the
//! pauses of all others, and after a shift of the demand for experts they exceed what callers are
//! promised if servers are full. During a burst of one kind of request, the other kinds find
//! servers full as well. So requests that can wait without being late, requests that are late
//! whatever happens, and those of the least urgent route of a service are sent only to servers with
//! some room left. The others use that room.

use std::collections::{BTreeMap, HashMap};

use snipemast_core::prelude::*;

use crate::urgency::Urgency;

/// How long a route's priority counts as in use after its last request.
const PRIORITY_AGE: Span = Span::from_secs(10);

/// How many requests a server may have in flight to be sent another one, in hundredths of its
/// slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadLimits {
    /// The limit for a request that can be on time.
    pub full: u32,
    /// The limit for a late request. What lies above is left to those that can be on time.
    pub late: u32,
    /// The limit for a request that yields to others: it can wait, or is of the least urgent route
    /// among several.
    pub yielding: u32,
}

impl Default for LoadLimits {
    /// A request in a server's own queue begins without a round-trip, and the server refuses what
    /// is beyond that. Late requests get no place in the queue. With the slots that yielding
    /// requests leave free, a pass stays within the usual promise also on an uneven expert map.
    fn default() -> Self {
        Self {
            full: 150,
            late: 100,
            yielding: 60,
        }
    }
}

/// Decides up to which load servers are filled, by urgency.
#[derive(Debug, Clone, Default)]
pub struct Reserve {
    limits: LoadLimits,
    /// When a request of each route priority was last seen, by service.
    seen: HashMap<ServiceId, BTreeMap<Priority, Moment>>,
}

impl Reserve {
    /// Creates a reserve with these limits.
    pub fn new(limits: LoadLimits) -> Self {
        Self {
            limits,
            seen: HashMap::new(),
        }
    }

    /// Records a caller's request for a service on a route of this priority.
    pub fn record_request(&mut self, now: Moment, service: &ServiceId, priority: Priority) {
        let Some(seen) = self.seen.get_mut(service) else {
            self.seen
                .insert(service.clone(), BTreeMap::from([(priority, now)]));
            return;
        };
        seen.insert(priority, now);
        seen.retain(|_, last| now < *last + PRIORITY_AGE);
    }

    /// Forgets the services for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(&ServiceId) -> bool) {
        self.seen.retain(|service, _| keep(service));
    }

    /// Returns the load up to which servers are sent a request of this urgency, in hundredths of
    /// their slots.
    pub fn limit_for(&self, service: &ServiceId, urgency: Urgency) -> u32 {
        let LoadLimits {
            full,
            late,
            yielding,
        } = self.limits;
        let limit = match urgency {
            Urgency::Resumed => full,
            Urgency::Patient(_) => yielding,
            Urgency::InTime(priority) | Urgency::Late(priority)
                if self.is_least_urgent(service, priority.route) =>
            {
                yielding
            }
            Urgency::InTime(_) => full,
            Urgency::Late(_) => late,
        };
        limit.min(full)
    }

    /// Whether a route's priority is the least urgent one of several in use.
    fn is_least_urgent(&self, service: &ServiceId, priority: Priority) -> bool {
        let Some(seen) = self.seen.get(service) else {
            return false;
        };
        let first = seen.first_key_value().map(|(priority, _)| *priority);
        let last = seen.last_key_value().map(|(priority, _)| *priority);
        first < last && last == Some(priority)
    }
}
