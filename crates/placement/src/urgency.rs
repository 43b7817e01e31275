//! Decides which requests begin first at servers that have more than they run.
//!
//! After an outage, the requests that waited for its end, or came back, are late whenever they
//! begin, and fill every slot for seconds. In order of arrival, they would make all new requests
//! late too. So requests that can still be on time begin first, and late ones take the remaining
//! slots.

use std::collections::HashMap;

use snipemast_core::data;
use snipemast_core::prelude::*;

use crate::outage::subtract;

/// The part of the objective that may be spent before a request counts as late, in hundredths. The
/// prompt and the first token take the rest.
const LATE_PERCENT: u64 = 60;

/// The time that a request can wait without being late from which on it counts as patient: long
/// enough for a group to follow a shift of the demand for experts.
const PATIENT_SLACK: Span = Span::from_millis(350);

/// How long the longest patience of a route's callers is remembered. It falls when the
/// configuration changes it.
const PATIENCE_RETENTION: Span = Span::from_secs(30);

data! {
    /// The ways to order requests that settings can name.
    #[derive(Copy, Default)]
    #[serde(rename_all = "lowercase")]
    pub enum QueueOrder {
        /// In order of arrival.
        Arrival,
        /// Requests that can still be on time go first.
        Lateness,
        /// The same, and among them those of higher priority.
        #[default]
        Priority,
    }
}

/// The priority of a request: that of its workspace, and among equals that of its route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestPriority {
    /// The priority of the workspace, or that of the route if the workspace has none.
    pub workspace: Priority,
    /// The priority of the route.
    pub route: Priority,
}

impl RequestPriority {
    /// Returns the priority of a workspace's request on a route.
    pub fn new(workspace: Option<Priority>, route: Priority) -> Self {
        Self {
            workspace: workspace.unwrap_or(route),
            route,
        }
    }
}

/// How urgent a request is compared with others of its service. The least one goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Urgency {
    /// A stream that is resumed: its caller has a part of the answer.
    Resumed,
    /// A request that can still be on time.
    InTime(RequestPriority),
    /// A request that can still be on time after it has waited for a while.
    Patient(RequestPriority),
    /// A request that is late whenever it begins.
    Late(RequestPriority),
}

impl Urgency {
    /// Returns the urgency of a request. `spent` is the time since its caller first asked.
    pub fn new(spent: Span, objective: Span, priority: RequestPriority) -> Self {
        let latest = Span::from_micros(objective.as_micros() * LATE_PERCENT / 100);
        let slack = subtract(latest, spent);
        if slack >= PATIENT_SLACK {
            Self::Patient(priority)
        } else if slack > Span::default() {
            Self::InTime(priority)
        } else {
            Self::Late(priority)
        }
    }

    /// Whether the request is late whenever it begins.
    pub const fn is_late(self) -> bool {
        matches!(self, Self::Late(_))
    }
}

impl Default for Urgency {
    /// Returns the urgency of requests that are not ordered.
    fn default() -> Self {
        Self::InTime(RequestPriority::default())
    }
}

/// How long the callers of each route wait, which shows whether a caller asks again.
#[derive(Debug, Clone, Default)]
pub struct CallerPatience {
    routes: HashMap<String, LongestWait>,
}

#[derive(Debug, Clone, Copy)]
struct LongestWait {
    patience: Span,
    seen: Moment,
}

impl CallerPatience {
    /// Returns how much of its time a caller has spent already that waits for `patience` from now
    /// on.
    ///
    /// A caller that comes back names what is left of its time; a caller that asks first names all
    /// of it.
    pub fn time_spent(&mut self, now: Moment, route: &str, patience: Span) -> Span {
        let first = LongestWait {
            patience,
            seen: now,
        };
        let Some(longest) = self.routes.get_mut(route) else {
            self.routes.insert(route.to_owned(), first);
            return Span::default();
        };
        if patience >= longest.patience || now >= longest.seen + PATIENCE_RETENTION {
            *longest = first;
        }
        let spent = longest
            .patience
            .as_micros()
            .saturating_sub(patience.as_micros());
        Span::from_micros(spent)
    }
}
