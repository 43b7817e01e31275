//! What becomes of requests while servers that run together can run none.
//!
//! Answers the load of an outage: an engine's group that lost a rank refuses everything on every
//! rank until it has formed again, some seconds later. Sending each request to one rank after
//! another only spends the budget of repeats. So requests go to other groups, and where there is none,
//! one request at a time is sent to find out, and the others wait or come back, as long as they can still be
//! answered in time.

use std::collections::HashMap;

use snipemast_core::prelude::*;

use crate::pools::{Forming, Pool};

/// How often a gateway finds out whether the service answers again. With nine gateways that is
/// some 100 sends in an outage of six seconds, within their budget of repeats.
pub const PROBE: Span = Span::from_millis(500);

/// How much longer it takes until then while requests have somewhere else to go.
const SELDOM: Span = Span::from_secs(5);

/// How long a stream takes from its first token to its end, and some tenths of a second of waiting for a place, where
/// its caller does not say how long it is.
pub const SERVED: Span = Span::from_millis(2_300);

/// How long a request waits at most: callers give a stream up that shows nothing for two seconds, and
/// its first token takes some 0.2 s.
pub const LONGEST: Span = Span::from_millis(1_600);

/// A caller comes back after at most this part of the time that it has left.
pub const BACK_PART: u64 = 3;

/// Where a request of a service may be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AllowedPools {
    /// To all pools but these.
    AllExcept(Vec<Pool>),
    /// To this pool, to find out whether it runs anything again.
    Probe(Pool),
    /// Nowhere: all pools are out.
    NoPool,
}

impl AllowedPools {
    /// Whether a request may be sent to a pool of its service.
    pub fn holds(&self, pool: &Pool) -> bool {
        match self {
            Self::AllExcept(out) => !out.contains(pool),
            Self::Probe(probed) => probed == pool,
            Self::NoPool => false,
        }
    }
}

/// What a request does that can't be sent now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Waiting {
    /// Its caller comes back after this span.
    RetryLater(Span),
    /// It waits here, at most for this span.
    Queue(Span),
    /// It can't be answered in time: nothing is gained by waiting.
    Refuse,
}

/// The pools that are out.
#[derive(Debug, Clone, Default)]
pub struct Outages {
    out: HashMap<Pool, Out>,
    /// What processes beside ranks told of groups last.
    told: HashMap<Pool, Forming>,
}

#[derive(Debug, Clone, Copy)]
struct Out {
    /// When it is found out next whether it runs anything.
    probe: Moment,
    /// The forming of the group that refused; nothing where its ranks told that they have stalled.
    refused: Option<GroupIncarnation>,
}

impl Out {
    fn new(now: Moment, refused: Option<GroupIncarnation>) -> Self {
        Self {
            probe: now + PROBE,
            refused,
        }
    }
}

impl Outages {
    /// No pool is out.
    pub fn new() -> Self {
        Self::default()
    }

    /// A server said that no server of its pool can run anything; true where that is news.
    pub fn note_out(&mut self, now: Moment, pool: &Pool) -> bool {
        let epoch = self.told.get(pool).map(|told| told.epoch);
        let out = Out::new(now, Some(epoch.unwrap_or_default()));
        self.out.insert(pool.clone(), out).is_none()
    }

    /// A server answered; true where its pool was out.
    pub fn note_open(&mut self, pool: &Pool) -> bool {
        self.out.remove(pool).is_some()
    }

    /// Takes what processes beside a group's ranks tell; whether that is why its pool is out or open from now on.
    ///
    /// A group that refused is open again once it has formed anew: what is told of the forming that refused may be
    /// older than the refusal. What was told before counts for nothing more: a request may have shown since that the
    /// group goes on, while its ranks' words no longer come through.
    pub fn note_told(&mut self, now: Moment, pool: &Pool, forming: Forming) -> Option<Word> {
        if self.told.insert(pool.clone(), forming) == Some(forming) {
            return None;
        }
        match (self.out.get(pool), forming.goes_on) {
            (None, false) => {
                self.out.insert(pool.clone(), Out::new(now, None));
                Some(Word::Stalled)
            }
            (Some(out), true) if out.refused.is_none_or(|epoch| epoch < forming.epoch) => {
                self.out.remove(pool);
                Some(Word::GoesOn)
            }
            _ => None,
        }
    }

    /// Where a request is sent now that may go to these pools.
    ///
    /// A pool that is out is found out about by one request at a time, and more seldom while another one is open:
    /// then a request loses nothing by not being sent there.
    pub fn gate(&mut self, now: Moment, pools: &[Pool]) -> AllowedPools {
        if self.out.is_empty() {
            return AllowedPools::AllExcept(Vec::new());
        }
        let out = pools.iter().filter(|pool| self.out.contains_key(*pool));
        let out: Vec<Pool> = out.cloned().collect();
        let shut = out.len() == pools.len() && !out.is_empty();
        let patience = if shut { Span::default() } else { SELDOM };
        let due = out.iter().find(|pool| {
            let out = self.out.get(*pool);
            out.is_some_and(|out| now >= out.probe + patience)
        });
        if let Some((pool, out)) = due.and_then(|pool| Some((pool, self.out.get_mut(pool)?))) {
            out.probe = now + PROBE;
            return AllowedPools::Probe(pool.clone());
        }
        if shut {
            AllowedPools::NoPool
        } else {
            AllowedPools::AllExcept(out)
        }
    }
}

/// What became of a pool by what was told of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Word {
    /// It is out: its ranks have stalled.
    Stalled,
    /// It is open again.
    GoesOn,
}

/// A request that can't be sent now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Blocked {
    /// How long its caller still waits.
    pub left: Span,
    /// How long it has waited here.
    pub waited: Span,
    /// How long a caller waits at first.
    pub whole: Span,
    /// How long its answer takes once it is sent.
    pub needed: Span,
}

/// What a request does that can't be sent now.
///
/// It waits here for as long as its caller bears with that and it can still be answered after it. Then
/// a first attempt comes back later by itself; one that came back already is refused, because its
/// caller gives up after that. So a request outlives an outage of 5.3 s in all: 1.6 s here, a third
/// of what is left, and 1.6 s again; 4.3 s where the first attempt was sent back at once.
pub fn waiting(blocked: &Blocked) -> Waiting {
    /// A caller's first attempt has at least this part of the whole time left, in hundredths.
    const FIRST: u64 = 80;
    let had = Span::from_micros(blocked.left.as_micros() + blocked.waited.as_micros());
    let first = had.times(100) >= blocked.whole.times(FIRST);
    let spare = less(blocked.left, blocked.needed).min(less(LONGEST, blocked.waited));
    if spare > Span::default() {
        return Waiting::Queue(spare);
    }
    if first {
        let part = blocked.left.as_micros() / BACK_PART;
        return Waiting::RetryLater(Span::from_micros(part));
    }
    Waiting::Refuse
}

pub(crate) fn less(span: Span, by: Span) -> Span {
    Span::from_micros(span.as_micros().saturating_sub(by.as_micros()))
}
