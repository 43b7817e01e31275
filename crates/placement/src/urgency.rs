//! Which requests begin first at servers that have more than they run.
//!
//! Answers the load after an outage: what waited for it, and what came back, is late whenever it begins, and fills
//! every slot for seconds. Begun in order of arrival it makes all that arrives meanwhile late too. So what can still
//! be on time begins first, and what is late takes the places that are left.

use std::collections::HashMap;

use snipemast_core::data;
use snipemast_core::prelude::*;

/// The part of the objective that may be spent before a request counts as late, in hundredths: its prompt and its
/// first token take the rest.
const SPENT: u64 = 60;

/// How long the longest patience of a route's callers is remembered: it falls when the configuration changes it.
const REMEMBERED: Span = Span::from_secs(30);

data! {
    /// The ways to order requests, as settings name them.
    #[derive(Copy, Default)]
    #[serde(rename_all = "lowercase")]
    pub enum QueueOrder {
        /// As they arrive.
        Arrival,
        /// Those that can still be on time first.
        #[default]
        Lateness,
    }
}

/// When a request begins, against others at the same server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Urgency {
    /// A stream that goes on: its caller has a part of the answer.
    Resumed,
    /// It can still be on time.
    InTime,
    /// It is late whenever it begins.
    Late,
}

impl Urgency {
    /// The turn of a request that has spent so much time since its caller first asked.
    pub fn new(spent: Span, objective: Span) -> Self {
        if spent.times(100) < objective.times(SPENT) {
            Self::InTime
        } else {
            Self::Late
        }
    }
}

/// How much a server may have in flight for a request to be sent there, in hundredths of its slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadLimits {
    /// For one that can be on time.
    pub full: u32,
    /// For one that is late: what lies above is left to those that can be on time.
    pub late: u32,
}

impl LoadLimits {
    /// How much there may be for a request of a turn.
    pub fn bound(self, turn: Urgency) -> u32 {
        match turn {
            Urgency::Resumed | Urgency::InTime => self.full,
            Urgency::Late => self.full.min(self.late),
        }
    }
}

impl Default for LoadLimits {
    /// What waits in a server's own queue begins without a round trip, and it refuses what is beyond that. Late
    /// requests get no place in the queue.
    fn default() -> Self {
        Self {
            full: 150,
            late: 100,
        }
    }
}

/// How long callers of each route wait, which tells those that ask again.
#[derive(Debug, Clone, Default)]
pub struct Patience {
    routes: HashMap<String, Longest>,
}

#[derive(Debug, Clone, Copy)]
struct Longest {
    patience: Span,
    seen: Moment,
}

impl Patience {
    /// How much of its time a caller has spent already that waits for so long from now on.
    ///
    /// A caller that comes back names what is left of its time, and one that asks first the whole of it.
    pub fn spent(&mut self, now: Moment, route: &str, patience: Span) -> Span {
        let first = Longest {
            patience,
            seen: now,
        };
        let Some(longest) = self.routes.get_mut(route) else {
            self.routes.insert(route.to_owned(), first);
            return Span::default();
        };
        if patience >= longest.patience || now >= longest.seen + REMEMBERED {
            *longest = first;
        }
        let spent = longest
            .patience
            .as_micros()
            .saturating_sub(patience.as_micros());
        Span::from_micros(spent)
    }
}
