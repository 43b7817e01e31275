//! Admission to one pool: how many requests run at once, and which one is next.

use std::collections::HashMap;

use snipemast_core::prelude::*;

use crate::fair::{FairQueue, Priority, QueuedRequest, Ticket};
use crate::refusal::{Reason, Refusal};

/// The bounds on the requests of a lane that run and that wait.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LanePolicy {
    /// The requests in flight per slot of the pool. A little over 1 keeps the slots full.
    pub slot_factor: f64,
    /// The part of the bound that workspaces below their share may take beyond it.
    pub reserve: f64,
    /// The part of the pool's free slots that may be taken in addition to the entry's own.
    pub free_part: f64,
    /// The time for which a workspace may save up its share.
    pub saving_time: Span,
    /// The most requests of one workspace that wait.
    pub max_queue: usize,
    /// The most requests that wait in total.
    pub max_total: usize,
}

impl Default for LanePolicy {
    fn default() -> Self {
        Self {
            slot_factor: 1.4,
            reserve: 0.1,
            free_part: 1.0,
            saving_time: Span::from_secs(3),
            max_queue: 256,
            max_total: 8_192,
        }
    }
}

/// A request that arrives at a lane.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// The workspace that pays.
    pub workspace: WorkspaceId,
    /// The weight of the workspace's share under contention.
    pub weight: f64,
    /// The priority within the workspace.
    pub priority: Priority,
    /// The tokens that the request asks for, or 1 for a call of a plain service.
    pub tokens: f64,
    /// The moment after which the answer is of no use.
    pub deadline: Moment,
}

/// What a lane decides for a request that arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The request may run.
    Run,
    /// The request waits, and the lane dequeues it later under this ticket.
    Wait(Ticket),
    /// The request is refused.
    Refused(Refusal),
}

/// A request that waited and is taken out of the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Dequeued {
    /// The request may run.
    Run(Ticket),
    /// The request is refused.
    Refused(Ticket, Refusal),
}

/// The current capacity of a pool.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PoolCapacity {
    /// The slots of the pool that are this entry's share.
    pub own_slots: f64,
    /// The free slots of the pool, by the load reports.
    pub free_slots: f64,
}

/// The running requests of one workspace, and its weight.
#[derive(Debug, Default)]
struct WorkspaceState {
    weight: f64,
    running: u32,
}

/// A request that ran and has ended.
#[derive(Debug, Clone, PartialEq)]
pub struct Departure {
    /// The workspace that paid.
    pub workspace: WorkspaceId,
    /// The tokens that the request asked for when it arrived.
    pub asked: f64,
    /// The tokens that the request got, or those that it asked for if that is not known.
    pub got: f64,
    /// The time that the request ran, if that shows how fast the pool is.
    pub took: Option<Span>,
}

/// Admission to one pool at one entry.
#[derive(Debug, Default)]
pub struct Lane {
    policy: LanePolicy,
    queue: FairQueue,
    expired: Vec<QueuedRequest>,
    workspaces: HashMap<WorkspaceId, WorkspaceState>,
    running: u32,
    last_ticket: u64,
    /// The seconds per requested token, as a moving average.
    token_seconds: f64,
    /// The tokens per second that the entry's share of the pool gets through.
    throughput: f64,
}

impl Lane {
    /// Creates an empty lane.
    pub fn new(policy: LanePolicy) -> Self {
        Self {
            policy,
            ..Self::default()
        }
    }

    /// Returns the number of requests that run.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns the number of requests that wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of a workspace's requests that wait, and that run.
    pub fn workspace_counts(&self, workspace: &WorkspaceId) -> (usize, u32) {
        let running = self.workspaces.get(workspace).map_or(0, |t| t.running);
        (self.queue.workspace_len(workspace), running)
    }

    /// Returns the workspaces that have requests in the lane.
    pub fn workspaces(&self) -> impl Iterator<Item = &WorkspaceId> {
        self.workspaces.keys()
    }

    /// Decides whether a request that arrives runs, waits or is refused.
    pub fn arrive(&mut self, now: Moment, arrival: Arrival, capacity: PoolCapacity) -> Decision {
        self.throughput = self.current_throughput(capacity);
        let weights = self.queue.total_weight().max(arrival.weight);
        self.queue
            .set_max_credit(self.policy.saving_time.as_secs_f64() * self.throughput / weights);
        let idle = self.queue.workspace_len(&arrival.workspace) == 0;
        if (self.queue.is_empty() && self.has_capacity(capacity))
            || (idle && self.is_below_share(&arrival, capacity))
        {
            self.start(&arrival.workspace, arrival.weight);
            self.queue
                .charge(&arrival.workspace, arrival.weight, arrival.tokens);
            return Decision::Run;
        }
        match self.refusal(now, &arrival) {
            Some(refusal) => Decision::Refused(refusal),
            None => Decision::Wait(self.enqueue(arrival)),
        }
    }

    /// Takes out a request that may run now or that has waited too long.
    ///
    /// It is called again until it returns nothing.
    pub fn dequeue(&mut self, now: Moment, capacity: PoolCapacity) -> Option<Dequeued> {
        // Late requests are taken out first. They would take up slots that other requests need,
        // and after a burst all of the pool's output could be useless.
        self.expired.extend(self.queue.expire(now));
        if let Some(late) = self.expired.pop() {
            self.forget_idle(&late.workspace);
            let refusal = Refusal {
                reason: Reason::Deadline,
                retry: self.retry_delay(0.0),
            };
            return Some(Dequeued::Refused(late.ticket, refusal));
        }
        if !self.has_capacity(capacity) {
            return None;
        }
        let waiting = self.queue.pop()?;
        self.start(&waiting.workspace, 0.0);
        Some(Dequeued::Run(waiting.ticket))
    }

    /// Forgets a request that waited and whose caller disconnected or whose deadline passed.
    pub fn abandon(&mut self, ticket: Ticket) {
        if let Some(waiting) = self.queue.remove(ticket) {
            self.forget_idle(&waiting.workspace);
        }
    }

    /// Counts a request that ran as ended.
    pub fn depart(&mut self, departure: &Departure) {
        let Departure {
            workspace,
            asked,
            got,
            took,
        } = departure;
        self.running = self.running.saturating_sub(1);
        let mut weight = 1.0;
        if let Some(state) = self.workspaces.get_mut(workspace) {
            state.running = state.running.saturating_sub(1);
            weight = state.weight;
        }
        if got != asked {
            self.queue.charge(workspace, weight, got - asked);
        }
        if let Some(took) = took {
            let measured = took.as_secs_f64() / asked.max(1.0);
            let part = if self.token_seconds == 0.0 { 1.0 } else { 0.05 };
            self.token_seconds += (measured - self.token_seconds) * part;
        }
        self.forget_idle(workspace);
    }

    /// Returns the next moment at which a waiting request may be too late.
    pub fn next_expiry(&self) -> Option<Moment> {
        self.queue.next_expiry()
    }

    /// Returns the expected wait of a request that arrives now.
    pub fn expected_wait(&self, workspace: &WorkspaceId, weight: f64, tokens: f64) -> Span {
        let ahead = self.queue.workspace_len(workspace) as f64 + 1.0;
        let mut weights = self.queue.total_weight();
        if ahead <= 1.0 {
            weights += weight;
        }
        let part = weight / weights.max(weight);
        span_from_secs(ahead * tokens / (self.throughput * part).max(1e-3))
    }

    fn has_capacity(&self, capacity: PoolCapacity) -> bool {
        let bound = capacity.own_slots * self.policy.slot_factor
            + capacity.free_slots * self.policy.free_part;
        f64::from(self.running) < bound.max(1.0)
    }

    /// Whether a workspace runs less than its share by weight, and the reserve has capacity.
    ///
    /// A flood of requests from one workspace should not slow down another one that is within its
    /// share. A request of the latter does not wait for a free slot but runs at once within the
    /// small reserve.
    fn is_below_share(&self, arrival: &Arrival, capacity: PoolCapacity) -> bool {
        let bound = capacity.own_slots * self.policy.slot_factor;
        let reserve = bound * (1.0 + self.policy.reserve);
        if f64::from(self.running) >= reserve {
            return false;
        }
        let known = self.workspaces.get(&arrival.workspace);
        let running = known.map_or(0, |t| t.running);
        let mut weights: f64 = self.workspaces.values().map(|t| t.weight).sum();
        if known.is_none() {
            weights += arrival.weight;
        }
        f64::from(running + 1) <= bound * arrival.weight / weights.max(arrival.weight)
    }

    /// Returns the refusal of a request that would wait too long or finds a full queue.
    fn refusal(&self, now: Moment, arrival: &Arrival) -> Option<Refusal> {
        let waiting = self.queue.workspace_len(&arrival.workspace);
        let wait = self.expected_wait(&arrival.workspace, arrival.weight, arrival.tokens);
        if waiting >= self.policy.max_queue || self.queue.len() >= self.policy.max_total {
            return Some(Refusal {
                reason: Reason::Queue,
                retry: self.retry_delay(wait.as_secs_f64()),
            });
        }
        let left = self.latest_start(arrival).since(now);
        if self.token_seconds > 0.0 && wait > left {
            let over = wait.as_secs_f64() - left.as_secs_f64();
            return Some(Refusal {
                reason: Reason::Deadline,
                retry: self.retry_delay(over),
            });
        }
        None
    }

    /// Returns the latest start at which the answer would still be in time.
    fn latest_start(&self, arrival: &Arrival) -> Moment {
        arrival.deadline - span_from_secs(self.token_seconds * arrival.tokens)
    }

    fn enqueue(&mut self, arrival: Arrival) -> Ticket {
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        let latest_start = self.latest_start(&arrival);
        let state = self
            .workspaces
            .entry(arrival.workspace.clone())
            .or_default();
        state.weight = arrival.weight;
        let Arrival {
            workspace,
            weight,
            priority,
            tokens,
            ..
        } = arrival;
        let waiting = QueuedRequest {
            ticket,
            workspace,
            priority,
            cost: tokens,
            latest_start,
        };
        self.queue.push(weight, waiting);
        ticket
    }

    fn start(&mut self, workspace: &WorkspaceId, weight: f64) {
        self.running += 1;
        let state = self.workspaces.entry(workspace.clone()).or_default();
        state.running += 1;
        if weight > 0.0 {
            state.weight = weight;
        }
    }

    fn forget_idle(&mut self, workspace: &WorkspaceId) {
        let idle = self
            .workspaces
            .get(workspace)
            .is_some_and(|t| t.running == 0);
        if idle && self.queue.workspace_len(workspace) == 0 {
            self.workspaces.remove(workspace);
        }
        if self.workspaces.is_empty() {
            self.queue.forget_idle();
        }
    }

    /// Returns the tokens per second: the requests that run at once, over the time per token.
    fn current_throughput(&self, capacity: PoolCapacity) -> f64 {
        let at_once = (capacity.own_slots * self.policy.slot_factor)
            .max(f64::from(self.running))
            .max(1.0);
        at_once / self.token_seconds.max(1e-6)
    }

    /// Returns the time after which a caller should retry.
    ///
    /// It is the time by which the request would be late, and not less than a slot is likely to
    /// take to become free.
    fn retry_delay(&self, over: f64) -> Span {
        span_from_secs(over.max(0.1))
    }
}

fn span_from_secs(value: f64) -> Span {
    Span::from_micros((value.clamp(0.0, 3_600.0) * 1e6) as u64)
}
