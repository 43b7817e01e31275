//! Decides how urgent a request is. The gateway's queue and the servers' own queues take the most
//! urgent requests first.
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

/// A request that can wait for this long without being late yields: long enough for a group to
/// follow a shift of the demand for experts.
const YIELD_SLACK: Span = Span::from_millis(350);

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
        /// The same, and among them those with the lower priority number.
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

/// What decides how urgent a request is, apart from the time that it has waited.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RequestClass {
    /// The time within which the answer should begin.
    pub objective: Span,
    /// The priority of the request.
    pub priority: RequestPriority,
    /// Whether the request is of the least urgent route among several.
    pub least_urgent: bool,
}

impl RequestClass {
    /// Whether a new request can wait for a while without being late.
    pub fn can_wait(&self) -> bool {
        self.slack(Span::default()) >= YIELD_SLACK
    }

    /// Returns how much longer a request can wait without being late. `spent` is the time since its
    /// caller first asked.
    fn slack(&self, spent: Span) -> Span {
        let latest = Span::from_micros(self.objective.as_micros() * LATE_PERCENT / 100);
        subtract(latest, spent)
    }
}

/// How urgent a request is compared with others of its service. Ordered so that
/// the most urgent one is the smallest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Urgency {
    /// A stream that is resumed: its caller has a part of the answer.
    Resumed,
    /// A request that can still be on time.
    InTime(RequestPriority),
    /// A request that can still be on time and yields to others: it can wait for a while without
    /// being late, or is of the least urgent route among several.
    Yielding(RequestPriority),
    /// A request that is late whenever it begins.
    Late(RequestPriority),
}

impl Urgency {
    /// Returns the urgency of a request. `spent` is the time since its caller first asked.
    pub fn new(spent: Span, class: &RequestClass) -> Self {
        let (slack, priority) = (class.slack(spent), class.priority);
        if slack == Span::default() {
            Self::Late(priority)
        } else if class.least_urgent || slack >= YIELD_SLACK {
            Self::Yielding(priority)
        } else {
            Self::InTime(priority)
        }
    }

    /// Returns the name in log lines and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Resumed => "resumed",
            Self::InTime(_) => "in_time",
            Self::Yielding(_) => "yielding",
            Self::Late(_) => "late",
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
