//! Tracks which pools are out, and decides what happens to requests that can't be sent.
//!
//! When a group of an engine loses a rank, every rank refuses all requests until the group has
//! formed again some seconds later. Sending a request to one rank after another would only spend
//! the retry budget. So requests go to other groups. Where there is none, one request at a time is
//! sent as a probe, and the others wait or come back, as long as they can still be answered in
//! time.

use std::collections::HashMap;

use snipemast_core::prelude::*;

use crate::pools::{GroupState, Pool};

/// How often a gateway probes a service that is out. With nine gateways this is some 100 sends in
/// an outage of six seconds, which is within their retry budget.
pub const PROBE_INTERVAL: Span = Span::from_millis(500);

/// The additional delay before a probe while requests can go to another pool.
const EXTRA_PROBE_DELAY: Span = Span::from_secs(5);

/// The assumed time of a stream whose caller does not say how long it is: from its first token to
/// its end, plus some tenths of a second of waiting for a slot.
pub const DEFAULT_STREAM_TIME: Span = Span::from_millis(2_300);

/// How long the callers of a stream wait at least for its next piece before they give up.
const MIN_CALLER_WAIT: Span = Span::from_secs(2);

/// Callers wait this many times the objective of their route, if that is longer.
const WAIT_PER_OBJECTIVE: u64 = 4;

/// Callers wait this many times the pause that their route promises, if that is longer.
const WAIT_PER_PAUSE: u64 = 8;

/// The part of the callers' wait that is left to the first token: some 0.2 s, and as much again.
const FIRST_TOKEN_TIME: Span = Span::from_millis(400);

/// A caller comes back after at most its remaining time divided by this.
pub(crate) const RETRY_DIVISOR: u64 = 3;

/// The pools of a service that a request may be sent to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AllowedPools {
    /// All pools except these.
    AllExcept(Vec<Pool>),
    /// Only this pool, to probe whether it answers again.
    Probe(Pool),
    /// No pool, because all are out.
    NoPool,
}

impl AllowedPools {
    /// Whether a request may be sent to a pool of its service.
    pub fn allows(&self, pool: &Pool) -> bool {
        match self {
            Self::AllExcept(out) => !out.contains(pool),
            Self::Probe(probed) => probed == pool,
            Self::NoPool => false,
        }
    }
}

/// What happens to a request that can't be sent now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Deferral {
    /// The caller is told to come back after this span.
    RetryLater(Span),
    /// The request waits in the gateway for at most this span.
    Queue(Span),
    /// The request is refused, because it can't be answered in time.
    Refuse,
}

/// The pools that are out.
#[derive(Debug, Clone, Default)]
pub struct Outages {
    out: HashMap<Pool, PoolOutage>,
    /// The state of each group that its sidecars last reported.
    reported: HashMap<Pool, GroupState>,
}

#[derive(Debug, Clone, Copy)]
struct PoolOutage {
    /// When the pool is probed next.
    next_probe: Moment,
    /// When the last probe was due.
    last_due: Moment,
    /// The epoch of the group that refused a request; none if the pool is out because its ranks
    /// reported a stall.
    refused_epoch: Option<GroupIncarnation>,
}

impl PoolOutage {
    fn new(now: Moment, refused_epoch: Option<GroupIncarnation>) -> Self {
        let next_probe = now + PROBE_INTERVAL;
        Self {
            next_probe,
            last_due: next_probe,
            refused_epoch,
        }
    }
}

impl Outages {
    /// Creates a tracker in which no pool is out.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a server said that no server of its pool can run anything. Returns whether the
    /// pool was open before.
    pub fn mark_out(&mut self, now: Moment, pool: &Pool) -> bool {
        let epoch = self.reported.get(pool).map(|group| group.epoch);
        let out = PoolOutage::new(now, Some(epoch.unwrap_or_default()));
        self.out.insert(pool.clone(), out).is_none()
    }

    /// Records that a server answered. Returns whether its pool was out.
    pub fn mark_open(&mut self, pool: &Pool) -> bool {
        self.out.remove(pool).is_some()
    }

    /// Applies the group state that sidecars report. Returns whether it takes the pool out or opens
    /// it again.
    ///
    /// A group that refused a request is open again only in a later epoch, because a report of the
    /// epoch that refused may be older than the refusal. A report that repeats the last one is
    /// ignored: a request may have shown meanwhile that the group is running, while newer reports
    /// of its ranks don't come through.
    pub fn apply_report(
        &mut self,
        now: Moment,
        pool: &Pool,
        group: GroupState,
    ) -> Option<ReportedChange> {
        if self.reported.insert(pool.clone(), group) == Some(group) {
            return None;
        }
        match (self.out.get(pool), group.running) {
            (None, false) => {
                self.out.insert(pool.clone(), PoolOutage::new(now, None));
                Some(ReportedChange::Stalled)
            }
            (Some(out), true) if out.refused_epoch.is_none_or(|epoch| epoch < group.epoch) => {
                self.out.remove(pool);
                Some(ReportedChange::Resumed)
            }
            _ => None,
        }
    }

    /// Returns the pools, out of these, that a request may be sent to now.
    ///
    /// A pool that is out is probed by one request at a time. Probes are rarer while another pool
    /// is open, because a request then loses nothing by going there.
    pub fn allowed_pools(&mut self, now: Moment, pools: &[Pool]) -> AllowedPools {
        if self.out.is_empty() {
            return AllowedPools::AllExcept(Vec::new());
        }
        let out = pools.iter().filter(|pool| self.out.contains_key(*pool));
        let out: Vec<Pool> = out.cloned().collect();
        let all_out = out.len() == pools.len() && !out.is_empty();
        let delay = if all_out {
            Span::default()
        } else {
            EXTRA_PROBE_DELAY
        };
        let due = out.iter().find(|pool| {
            let out = self.out.get(*pool);
            out.is_some_and(|out| now >= out.next_probe + delay)
        });
        if let Some((pool, out)) = due.and_then(|pool| Some((pool, self.out.get_mut(pool)?))) {
            out.last_due = std::mem::replace(&mut out.next_probe, now + PROBE_INTERVAL);
            return AllowedPools::Probe(pool.clone());
        }
        if all_out {
            AllowedPools::NoPool
        } else {
            AllowedPools::AllExcept(out)
        }
    }

    /// Gives back a probe that was not sent, so that the next request is the probe.
    pub fn return_probe(&mut self, pool: &Pool) {
        if let Some(out) = self.out.get_mut(pool) {
            out.next_probe = out.last_due;
        }
    }
}

/// How a report changed the state of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportedChange {
    /// The pool is out, because its ranks have stalled.
    Stalled,
    /// The pool is open again.
    Resumed,
}

/// A request that can't be sent now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BlockedRequest {
    /// How long its caller still waits.
    pub left: Span,
    /// How long the request has waited in the gateway.
    pub waited: Span,
    /// How long the callers of its route wait in total.
    pub timeout: Span,
    /// How long its answer takes once it is sent.
    pub answer_time: Span,
    /// How long requests of its route wait in the gateway at most.
    pub longest_wait: Span,
}

/// Returns how long a request waits in the gateway at most, so that its first token comes before
/// its caller gives up. The route names the time within which answers should begin, and may promise
/// a pause between pieces.
pub fn longest_wait(objective: Span, pause_target: Option<Span>) -> Span {
    let for_objective = objective.times(WAIT_PER_OBJECTIVE);
    let for_pause = pause_target.unwrap_or_default().times(WAIT_PER_PAUSE);
    let wait = MIN_CALLER_WAIT.max(for_objective).max(for_pause);
    subtract(wait, FIRST_TOKEN_TIME)
}

/// Decides what happens to a request that can't be sent now.
///
/// The request waits in the gateway for as long as its caller tolerates it and the request can
/// still be answered afterwards. After that, a first attempt is told to come back later. A request
/// that came back already is refused, because its caller gives up after that. This way a request
/// of a route with a timeout of 8 s and an objective of at most 0.5 s survives an outage of 5.3 s in
/// total: 1.6 s here, a third of what is left, and 1.6 s again. It would be 4.3 s if the first
/// attempt were sent back at once.
pub fn defer(blocked: &BlockedRequest) -> Deferral {
    let spare = subtract(blocked.left, blocked.answer_time)
        .min(subtract(blocked.longest_wait, blocked.waited));
    if spare > Span::default() {
        return Deferral::Queue(spare);
    }
    decline(blocked)
}

/// Decides what happens to a request that may not wait: a first attempt is told to come back later,
/// and one that came back already is refused.
pub fn decline(blocked: &BlockedRequest) -> Deferral {
    /// A first attempt has at least this part of its route's timeout left, in hundredths.
    const FIRST_ATTEMPT_PERCENT: u64 = 80;
    let left_at_first = Span::from_micros(blocked.left.as_micros() + blocked.waited.as_micros());
    if left_at_first.times(100) >= blocked.timeout.times(FIRST_ATTEMPT_PERCENT) {
        let part = blocked.left.as_micros() / RETRY_DIVISOR;
        return Deferral::RetryLater(Span::from_micros(part));
    }
    Deferral::Refuse
}

pub(crate) fn subtract(span: Span, by: Span) -> Span {
    Span::from_micros(span.as_micros().saturating_sub(by.as_micros()))
}
