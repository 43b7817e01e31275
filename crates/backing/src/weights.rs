//! The rate-limited weight store, and the order in which loads from it are granted.
//!
//! [`Budget`] is a sans-I/O token bucket that all groups share; [`WeightStore`] is the interface of
//! the client. Servers that have not loaded their model yet take precedence over groups that are
//! formed again, and those over loads ahead of a rebalancing switch.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::future::Future;

use error_stack::Report;

use snipemast_core::data;
use snipemast_core::prelude::*;

/// The result of a load.
pub type Result<T> = std::result::Result<T, Report<WeightError>>;

snipemast_core::number_ids! {
    /// The id of a load that was requested from a budget.
    LoadId;
}

data! {
    /// The urgency of a load, in descending order.
    #[derive(Copy, PartialOrd, Ord, Hash)]
    pub enum Urgency {
        /// The load of a server that answers no requests until its model is loaded.
        Serve,
        /// The load of a group that is held until it is formed again.
        Form,
        /// The load of a running group, ahead of a switch to another expert map.
        Ahead,
    }

    /// A request to load weights.
    #[derive(Hash)]
    pub struct LoadRequest {
        /// The id of the load.
        pub load: LoadId,
        /// The group that loads; loads of the same urgency are shared evenly between groups.
        pub group: GroupId,
        /// The size of the weights.
        pub size: Size,
        /// The urgency of the load.
        pub urgency: Urgency,
    }

    /// The rate limit of the store.
    #[derive(Copy, Hash)]
    pub struct Quota {
        /// The number of bytes per second.
        pub rate: Size,
        /// The number of bytes that may be loaded at once after a pause.
        pub burst: Size,
        /// The bytes of the burst that loads ahead of a switch leave for others.
        pub reserve: Size,
        /// The maximum number of waiting requests of each urgency.
        pub queue: u32,
    }
}

/// An input of a budget.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BudgetInput {
    /// A load is requested.
    Request(LoadRequest),
    /// A load is cancelled, of which this much was not read.
    Cancel(LoadId, Size),
    /// Time has passed.
    Tick,
}

/// A decision of a budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BudgetOutput {
    /// The load may begin.
    Grant(LoadId),
    /// Too many requests are waiting; the load may be requested again later.
    Refuse(LoadId),
    /// The budget needs a tick at this moment.
    Wake(Moment),
}

/// The budget of the weight store, which all groups share.
#[derive(Debug, Clone)]
pub struct Budget {
    quota: Quota,
    /// The bytes in the bucket, below 0 where a large load left a debt.
    level: i64,
    last_refill: Moment,
    waiting: BTreeMap<Urgency, VecDeque<LoadRequest>>,
    /// The bytes that were granted to each group so far.
    granted_bytes: BTreeMap<GroupId, u64>,
    /// The sizes of the latest granted loads.
    granted: BTreeMap<LoadId, Size>,
}

impl Budget {
    /// Creates a budget with a full bucket.
    pub fn new(quota: Quota) -> Self {
        Self {
            quota,
            level: quota.burst.as_bytes() as i64,
            last_refill: Moment::ZERO,
            waiting: BTreeMap::new(),
            granted_bytes: BTreeMap::new(),
            granted: BTreeMap::new(),
        }
    }

    /// Handles an input, and returns which loads may begin and when to tick again.
    pub fn handle(&mut self, now: Moment, input: BudgetInput) -> Vec<BudgetOutput> {
        self.refill(now);
        let mut out = Vec::new();
        match input {
            BudgetInput::Request(request) => self.enqueue(request, &mut out),
            BudgetInput::Cancel(load, unread) => self.cancel(load, unread),
            BudgetInput::Tick => {}
        }
        self.grant(&mut out);
        out.extend(self.next_tick(now).map(BudgetOutput::Wake));
        out
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.values().map(VecDeque::len).sum()
    }

    fn refill(&mut self, now: Moment) {
        let elapsed = now.since(self.last_refill).as_micros();
        let gained = u128::from(elapsed) * u128::from(self.quota.rate.as_bytes()) / 1_000_000;
        // Time that gains less than a byte is left for the next call.
        if gained > 0 {
            let full = self.quota.burst.as_bytes() as i64;
            let gained = i64::try_from(gained).unwrap_or(i64::MAX);
            self.level = self.level.saturating_add(gained).min(full);
            self.last_refill = now;
        }
    }

    fn enqueue(&mut self, request: LoadRequest, out: &mut Vec<BudgetOutput>) {
        let queue = self.waiting.entry(request.urgency).or_default();
        let known = queue.iter().any(|a| a.load == request.load);
        if known || self.granted.contains_key(&request.load) {
            return;
        }
        if queue.len() >= self.quota.queue as usize {
            out.push(BudgetOutput::Refuse(request.load));
        } else {
            queue.push_back(request);
        }
    }

    /// Cancels a load, and returns what was granted but not read to the bucket.
    fn cancel(&mut self, load: LoadId, unread: Size) {
        for queue in self.waiting.values_mut() {
            queue.retain(|a| a.load != load);
        }
        if let Some(size) = self.granted.remove(&load) {
            let back = unread.as_bytes().min(size.as_bytes()) as i64;
            let full = self.quota.burst.as_bytes() as i64;
            self.level = (self.level + back).min(full);
        }
    }

    /// Grants the loads that the bucket allows, the most urgent first.
    ///
    /// Failure guarded against: the rebalancing of many groups starves a restarted server that has to
    /// load its model, and its pool answers no requests meanwhile. A less urgent load therefore never
    /// overtakes a waiting one that is more urgent, and loads ahead of a switch leave a reserve.
    fn grant(&mut self, out: &mut Vec<BudgetOutput>) {
        while let Some((urgency, index)) = self.next() {
            let queue = self
                .waiting
                .get_mut(&urgency)
                .expect("the queue of the next load exists");
            let Some(request) = queue.remove(index) else {
                return;
            };
            let size = request.size.as_bytes();
            self.level -= size as i64;
            *self.granted_bytes.entry(request.group).or_default() += size;
            self.record_grant(request.load, request.size);
            out.push(BudgetOutput::Grant(request.load));
        }
    }

    /// Records a grant, to recognize a resent request and to cancel the load; the oldest are dropped.
    fn record_grant(&mut self, load: LoadId, size: Size) {
        self.granted.insert(load, size);
        while self.granted.len() > 4 * self.quota.queue.max(1) as usize {
            self.granted.pop_first();
        }
    }

    /// Returns the place of the next load, if the bucket holds enough for it.
    fn next(&self) -> Option<(Urgency, usize)> {
        let (urgency, queue) = self.waiting.iter().find(|(_, q)| !q.is_empty())?;
        let granted_bytes = |request: &LoadRequest| {
            self.granted_bytes
                .get(&request.group)
                .copied()
                .unwrap_or_default()
        };
        let (index, request) = queue
            .iter()
            .enumerate()
            .min_by_key(|(_, a)| granted_bytes(a))?;
        (self.level >= self.required_level(request)).then_some((*urgency, index))
    }

    /// Returns the level at which a load is granted.
    ///
    /// A load that is larger than the bucket is granted once the bucket is full, and leaves a debt, so
    /// that it is not starved.
    fn required_level(&self, request: &LoadRequest) -> i64 {
        let reserve = match request.urgency {
            Urgency::Serve | Urgency::Form => 0,
            Urgency::Ahead => self.quota.reserve.as_bytes(),
        };
        let full = self.quota.burst.as_bytes();
        (request.size.as_bytes() + reserve).min(full) as i64
    }

    /// Returns the moment at which the bucket will hold enough for the next load.
    fn next_tick(&self, now: Moment) -> Option<Moment> {
        let (_, queue) = self.waiting.iter().find(|(_, q)| !q.is_empty())?;
        let required_level = queue.iter().map(|a| self.required_level(a)).min()?;
        let missing = (required_level - self.level).max(1) as u128;
        let rate = u128::from(self.quota.rate.as_bytes().max(1));
        let wait = (missing * 1_000_000).div_ceil(rate);
        Some(now + Span::from_micros(u64::try_from(wait).unwrap_or(u64::MAX)))
    }
}

/// Why weights could not be loaded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WeightError {
    /// The store did not answer in time.
    Unreachable,
    /// The store has no such weights.
    Missing,
}

impl fmt::Display for WeightError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable => f.write_str("the weight store does not answer in time"),
            Self::Missing => f.write_str("the weight store has no such weights"),
        }
    }
}

impl std::error::Error for WeightError {}

/// The interface of a client of the weight store.
pub trait WeightStore {
    /// Loads the weights of one expert of a model's layer, and returns their size.
    ///
    /// Dropping the future cancels the load.
    fn load(
        &self,
        model: &ModelId,
        layer: u16,
        expert: u16,
    ) -> impl Future<Output = Result<Size>> + Send;
}
