//! Admission to one pool: how much runs at once, and who goes next.

use std::collections::HashMap;

use snipemast_core::prelude::*;

use crate::fair::{FairQueue, Priority, Ticket, Waiting};
use crate::refusal::{Reason, Refusal};

/// How a lane bounds what runs and what waits.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LanePolicy {
    /// Requests in flight, a slot of the pool: a little over 1 keeps the slots full.
    pub fill: f64,
    /// What a workspace below its share may take beyond the bound, as a part of it.
    pub reserve: f64,
    /// The part of the slots that stand free elsewhere which may be taken.
    pub grab: f64,
    /// The time for which a workspace may save up its share.
    pub credit: Span,
    /// The most requests of one workspace that wait.
    pub queue: usize,
    /// The most requests that wait.
    pub total: usize,
}

impl Default for LanePolicy {
    fn default() -> Self {
        Self {
            fill: 1.4,
            reserve: 0.1,
            grab: 1.0,
            credit: Span::from_secs(3),
            queue: 256,
            total: 8_192,
        }
    }
}

/// A request at the door.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// Who pays.
    pub workspace: WorkspaceId,
    /// The workspace's share under contention.
    pub weight: f64,
    /// Its order within the workspace.
    pub priority: Priority,
    /// The tokens that it asks for, or 1 for a call of a plain service.
    pub tokens: f64,
    /// When its answer is of no use any more.
    pub deadline: Moment,
}

/// What a lane says to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It may run.
    Run,
    /// It waits; the lane calls this ticket.
    Wait(Ticket),
    /// It is not let in.
    Refused(Refusal),
}

/// What becomes of a request that waited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Dequeued {
    /// It may run.
    Run(Ticket),
    /// It is refused.
    Refused(Ticket, Refusal),
}

/// The pool as it is now.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PoolCapacity {
    /// The slots that are this entry's part.
    pub own_slots: f64,
    /// The slots of the pool that stand free, by what reports say.
    pub free_slots: f64,
}

#[derive(Debug, Default)]
struct Tenant {
    weight: f64,
    running: u32,
}

/// A request that ran.
#[derive(Debug, Clone, PartialEq)]
pub struct Departure {
    /// Who paid.
    pub workspace: WorkspaceId,
    /// The tokens that it asked for when it came.
    pub asked: f64,
    /// The tokens that it got, or what it asked for where that is not known.
    pub got: f64,
    /// How long it ran, or nothing where that says nothing of the pool.
    pub took: Option<Span>,
}

/// Admission to one pool at one entry.
#[derive(Debug, Default)]
pub struct Lane {
    policy: LanePolicy,
    queue: FairQueue,
    late: Vec<Waiting>,
    tenants: HashMap<WorkspaceId, Tenant>,
    running: u32,
    next: u64,
    /// Seconds that an asked token takes, fading.
    pace: f64,
    /// Tokens that an entry's part of the pool gets through a second.
    drain: f64,
}

impl Lane {
    /// An empty lane.
    pub fn new(policy: LanePolicy) -> Self {
        Self {
            policy,
            ..Self::default()
        }
    }

    /// How many requests run.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// How many requests wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// How many requests of a workspace wait and run.
    pub fn of(&self, workspace: &WorkspaceId) -> (usize, u32) {
        let running = self.tenants.get(workspace).map_or(0, |t| t.running);
        (self.queue.len_of(workspace), running)
    }

    /// The workspaces that have something here.
    pub fn tenants(&self) -> impl Iterator<Item = &WorkspaceId> {
        self.tenants.keys()
    }

    /// Takes a request at the door.
    pub fn arrive(&mut self, now: Moment, arrival: Arrival, room: PoolCapacity) -> Decision {
        self.drain = self.drained(room);
        let weights = self.queue.weights().max(arrival.weight);
        self.queue
            .allow(self.policy.credit.as_secs_f64() * self.drain / weights);
        let idle = self.queue.len_of(&arrival.workspace) == 0;
        if (self.queue.is_empty() && self.has_room(room)) || (idle && self.is_owed(&arrival, room))
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

    /// Takes out what may run now, and what it is too late for; call again until it is empty.
    pub fn dequeue(&mut self, now: Moment, room: PoolCapacity) -> Option<Dequeued> {
        // Before anything starts: work past its deadline would hold a slot that work in time
        // needs, and under a burst of such work all of the pool's output would be of no use.
        self.late.extend(self.queue.expire(now));
        if let Some(late) = self.late.pop() {
            self.tidy(&late.workspace);
            let refusal = Refusal {
                reason: Reason::Deadline,
                retry: self.retry(0.0),
            };
            return Some(Dequeued::Refused(late.ticket, refusal));
        }
        if !self.has_room(room) {
            return None;
        }
        let waiting = self.queue.pop()?;
        self.start(&waiting.workspace, 0.0);
        Some(Dequeued::Run(waiting.ticket))
    }

    /// Forgets a request that waited: its caller left or it is past its deadline.
    pub fn abandon(&mut self, ticket: Ticket) {
        if let Some(waiting) = self.queue.remove(ticket) {
            self.tidy(&waiting.workspace);
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
        if let Some(tenant) = self.tenants.get_mut(workspace) {
            tenant.running = tenant.running.saturating_sub(1);
            weight = tenant.weight;
        }
        if got != asked {
            self.queue.charge(workspace, weight, got - asked);
        }
        if let Some(took) = took {
            let pace = took.as_secs_f64() / asked.max(1.0);
            let part = if self.pace == 0.0 { 1.0 } else { 0.05 };
            self.pace += (pace - self.pace) * part;
        }
        self.tidy(workspace);
    }

    /// The next moment at which something that waits is past its use.
    pub fn next_expiry(&self) -> Option<Moment> {
        self.queue.next_expiry()
    }

    /// What a request that comes now would wait, were it let in.
    pub fn wait(&self, workspace: &WorkspaceId, weight: f64, tokens: f64) -> Span {
        let ahead = self.queue.len_of(workspace) as f64 + 1.0;
        let mut weights = self.queue.weights();
        if ahead <= 1.0 {
            weights += weight;
        }
        let part = weight / weights.max(weight);
        seconds(ahead * tokens / (self.drain * part).max(1e-3))
    }

    fn has_room(&self, room: PoolCapacity) -> bool {
        let bound = room.own_slots * self.policy.fill + room.free_slots * self.policy.grab;
        f64::from(self.running) < bound.max(1.0)
    }

    /// Whether a workspace runs less than its weight's part, and the reserve has room.
    ///
    /// A workspace within its share should not feel another's flood. Its request does not wait
    /// for a slot to come free; it goes into the small reserve at once.
    fn is_owed(&self, arrival: &Arrival, room: PoolCapacity) -> bool {
        let bound = room.own_slots * self.policy.fill;
        let reserve = bound * (1.0 + self.policy.reserve);
        if f64::from(self.running) >= reserve {
            return false;
        }
        let known = self.tenants.get(&arrival.workspace);
        let running = known.map_or(0, |t| t.running);
        let mut weights: f64 = self.tenants.values().map(|t| t.weight).sum();
        if known.is_none() {
            weights += arrival.weight;
        }
        f64::from(running + 1) <= bound * arrival.weight / weights.max(arrival.weight)
    }

    fn refusal(&self, now: Moment, arrival: &Arrival) -> Option<Refusal> {
        let waiting = self.queue.len_of(&arrival.workspace);
        let wait = self.wait(&arrival.workspace, arrival.weight, arrival.tokens);
        if waiting >= self.policy.queue || self.queue.len() >= self.policy.total {
            return Some(Refusal {
                reason: Reason::Queue,
                retry: self.retry(wait.as_secs_f64()),
            });
        }
        let left = self.latest(arrival).since(now);
        if self.pace > 0.0 && wait > left {
            let over = wait.as_secs_f64() - left.as_secs_f64();
            return Some(Refusal {
                reason: Reason::Deadline,
                retry: self.retry(over),
            });
        }
        None
    }

    /// The latest start at which the answer would still come in time.
    fn latest(&self, arrival: &Arrival) -> Moment {
        arrival.deadline - seconds(self.pace * arrival.tokens)
    }

    fn enqueue(&mut self, arrival: Arrival) -> Ticket {
        self.next += 1;
        let ticket = Ticket(self.next);
        let latest = self.latest(&arrival);
        let tenant = self.tenants.entry(arrival.workspace.clone()).or_default();
        tenant.weight = arrival.weight;
        let Arrival {
            workspace,
            weight,
            priority,
            tokens,
            ..
        } = arrival;
        let waiting = Waiting {
            ticket,
            workspace,
            priority,
            cost: tokens,
            latest,
        };
        self.queue.push(weight, waiting);
        ticket
    }

    fn start(&mut self, workspace: &WorkspaceId, weight: f64) {
        self.running += 1;
        let tenant = self.tenants.entry(workspace.clone()).or_default();
        tenant.running += 1;
        if weight > 0.0 {
            tenant.weight = weight;
        }
    }

    fn tidy(&mut self, workspace: &WorkspaceId) {
        let idle = self.tenants.get(workspace).is_some_and(|t| t.running == 0);
        if idle && self.queue.len_of(workspace) == 0 {
            self.tenants.remove(workspace);
        }
        if self.tenants.is_empty() {
            self.queue.tidy();
        }
    }

    /// Tokens a second: what runs at once, over the time that a token takes.
    fn drained(&self, room: PoolCapacity) -> f64 {
        let at_once = (room.own_slots * self.policy.fill)
            .max(f64::from(self.running))
            .max(1.0);
        at_once / self.pace.max(1e-6)
    }

    /// When a caller should come back: after the time that it is over, and no sooner than a slot
    /// is likely to come free.
    fn retry(&self, over: f64) -> Span {
        seconds(over.max(0.1))
    }
}

fn seconds(value: f64) -> Span {
    Span::from_micros((value.clamp(0.0, 3_600.0) * 1e6) as u64)
}
