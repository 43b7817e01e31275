//! Keeps room at servers for requests that can't wait.
//!
//! All ranks of a group take each forward pass together, so each stream that runs lengthens the
//! pauses of all others, and after a shift of the demand for experts they exceed what callers are
//! promised if servers are full. During a burst of one kind of request, the other kinds find
//! servers full as well. So where several kinds of request compete for a service, those that can
//! wait without being late, those of the least urgent route, and those that are late whatever
//! happens are sent only to servers with some room left. The others use that room.

use std::collections::{BTreeMap, HashMap};

use snipemast_core::prelude::*;

use crate::urgency::{RequestClass, Urgency};

/// How long a kind of request counts as in use after its last request.
const KIND_AGE: Span = Span::from_secs(10);

/// How many requests a server may have in flight to be sent another one, in hundredths of its
/// slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadLimits {
    /// The limit for a request that can be on time.
    pub full: u32,
    /// The limit for a late request. What lies above is left to those that can be on time.
    pub late: u32,
    /// The limit for a request that yields to others, if several kinds compete.
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

/// Decides which requests yield to others, and up to which load servers are filled.
///
/// The limits never grow as urgency falls, so a request that finds no place leaves none to less
/// urgent ones.
#[derive(Debug, Clone, Default)]
pub struct Reserve {
    limits: LoadLimits,
    /// When a request of each kind was last seen, by service.
    seen: HashMap<ServiceId, BTreeMap<Kind, Moment>>,
}

/// What tells the kinds of request of a service apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Kind {
    priority: Priority,
    can_wait: bool,
}

impl Kind {
    /// Whether this is of the least urgent route among several.
    fn is_least(&self, seen: &BTreeMap<Kind, Moment>) -> bool {
        let priorities = || seen.keys().map(|kind| kind.priority);
        priorities().min() < priorities().max() && priorities().max() == Some(self.priority)
    }
}

impl Reserve {
    /// Creates a reserve with these limits.
    pub fn new(limits: LoadLimits) -> Self {
        Self {
            limits,
            seen: HashMap::new(),
        }
    }

    /// Records a caller's request for a service. Returns whether it is of the least urgent route
    /// among several.
    pub fn record_request(
        &mut self,
        now: Moment,
        service: &ServiceId,
        class: &RequestClass,
    ) -> bool {
        let kind = Kind {
            priority: class.priority.route,
            can_wait: class.can_wait(),
        };
        let Some(seen) = self.seen.get_mut(service) else {
            let seen = BTreeMap::from([(kind, now)]);
            self.seen.insert(service.clone(), seen);
            return false;
        };
        seen.insert(kind, now);
        seen.retain(|_, last| now < *last + KIND_AGE);
        kind.is_least(seen)
    }

    /// Forgets the services for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(&ServiceId) -> bool) {
        self.seen.retain(|service, _| keep(service));
    }

    /// Whether some kinds of request of a service yield and others don't.
    fn is_contended(&self, service: &ServiceId) -> bool {
        let Some(seen) = self.seen.get(service) else {
            return false;
        };
        let yields = |kind: &Kind| kind.can_wait || kind.is_least(seen);
        seen.keys().any(yields) && !seen.keys().all(yields)
    }

    /// Returns the load up to which servers are sent a request of this urgency, in hundredths of
    /// their slots.
    pub fn limit_for(&self, service: &ServiceId, urgency: Urgency) -> u32 {
        let LoadLimits {
            full,
            late,
            yielding,
        } = self.limits;
        let competing = self.is_contended(service);
        match urgency {
            Urgency::Resumed | Urgency::InTime(_) => full,
            Urgency::Yielding(_) if competing => full.min(yielding),
            Urgency::Yielding(_) => full,
            Urgency::Late(_) if competing => full.min(late).min(yielding),
            Urgency::Late(_) => full.min(late),
        }
    }
}
