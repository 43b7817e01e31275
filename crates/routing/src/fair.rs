//! A queue that shares its output among workspaces by weight, and lets none of them starve.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use snipemast_core::prelude::*;

/// The order of requests within one workspace.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Priority {
    /// Someone waits for the answer.
    High,
    /// The usual priority.
    #[default]
    Normal,
    /// The request can wait.
    Low,
}

/// The oldest request of a workspace goes first once in this many, whatever its priority.
const OLDEST_FIRST_EVERY: u64 = 8;

/// The number of a request in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// A request that waits in the queue.
#[derive(Debug, Clone, PartialEq)]
pub struct QueuedRequest {
    /// Its number in the queue.
    pub ticket: Ticket,
    /// Its workspace.
    pub workspace: WorkspaceId,
    /// Its order within the workspace.
    pub priority: Priority,
    /// Its expected cost, in tokens.
    pub cost: f64,
    /// The latest moment at which starting it is still useful.
    pub latest_start: Moment,
}

/// The waiting requests of one workspace.
#[derive(Debug, Default)]
struct Flow {
    weight: f64,
    virtual_time: f64,
    served: u64,
    queue: VecDeque<QueuedRequest>,
}

/// A queue with start-time fair queueing.
///
/// Each workspace has a virtual time, which each of its requests advances by its cost divided by
/// the weight of the workspace. The workspace with the lowest virtual time is next.
#[derive(Debug, Default)]
pub struct FairQueue {
    flows: HashMap<WorkspaceId, Flow>,
    /// The workspaces with waiting requests, by their virtual times as ordered bits.
    order: BTreeSet<(u64, WorkspaceId)>,
    /// The waiting requests, by the latest moments to start them.
    expiry: BTreeSet<(Moment, Ticket)>,
    /// The workspaces of the waiting requests.
    workspaces: BTreeMap<Ticket, WorkspaceId>,
    virtual_clock: f64,
    max_credit: f64,
}

impl FairQueue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of requests that wait.
    pub fn len(&self) -> usize {
        self.workspaces.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.workspaces.is_empty()
    }

    /// Returns the number of requests of a workspace that wait.
    pub fn workspace_len(&self, workspace: &WorkspaceId) -> usize {
        self.flows.get(workspace).map_or(0, |f| f.queue.len())
    }

    /// Returns the sum of the weights of the workspaces with waiting requests.
    pub fn total_weight(&self) -> f64 {
        let waiting = self.flows.values().filter(|f| !f.queue.is_empty());
        waiting.map(|f| f.weight).sum()
    }

    /// Sets the most cost per weight that a workspace saves up while it is idle.
    ///
    /// Without savings, a workspace whose demand is just within its share would wait after each
    /// of its own small bursts. Without a bound, one that was idle for an hour could take all of
    /// the output.
    pub fn set_max_credit(&mut self, credit: f64) {
        self.max_credit = credit.max(0.0);
    }

    /// Returns the virtual time that a workspace starts from after it was idle.
    fn idle_start(&self) -> f64 {
        (self.virtual_clock - self.max_credit).max(0.0)
    }

    /// Adds a request of a workspace with this weight.
    pub fn push(&mut self, weight: f64, waiting: QueuedRequest) {
        let workspace = waiting.workspace.clone();
        self.expiry.insert((waiting.latest_start, waiting.ticket));
        self.workspaces.insert(waiting.ticket, workspace.clone());
        let start = self.idle_start();
        let flow = self.flows.entry(workspace.clone()).or_default();
        flow.weight = weight;
        if flow.queue.is_empty() {
            flow.virtual_time = flow.virtual_time.max(start);
            self.order.insert((flow.virtual_time.to_bits(), workspace));
        }
        flow.queue.push_back(waiting);
    }

    /// Charges a workspace for a request that did not wait, or whose cost was not as expected.
    pub fn charge(&mut self, workspace: &WorkspaceId, weight: f64, cost: f64) {
        let start = self.idle_start();
        let flow = self.flows.entry(workspace.clone()).or_default();
        flow.weight = weight;
        let old = flow.virtual_time;
        flow.virtual_time = (flow.virtual_time.max(start) + cost / weight.max(1e-6)).max(0.0);
        let new = flow.virtual_time;
        if !flow.queue.is_empty() {
            self.order.remove(&(old.to_bits(), workspace.clone()));
            self.order.insert((new.to_bits(), workspace.clone()));
        }
    }

    /// Takes out the next request.
    pub fn pop(&mut self) -> Option<QueuedRequest> {
        let (bits, workspace) = self.order.pop_first()?;
        self.virtual_clock = self.virtual_clock.max(f64::from_bits(bits));
        let flow = self.flows.get_mut(&workspace)?;
        let index = next_position(flow);
        let waiting = flow.queue.remove(index)?;
        flow.served += 1;
        flow.virtual_time += waiting.cost / flow.weight.max(1e-6);
        if !flow.queue.is_empty() {
            self.order.insert((flow.virtual_time.to_bits(), workspace));
        }
        self.expiry.remove(&(waiting.latest_start, waiting.ticket));
        self.workspaces.remove(&waiting.ticket);
        Some(waiting)
    }

    /// Takes out a request whose caller disconnected.
    pub fn remove(&mut self, ticket: Ticket) -> Option<QueuedRequest> {
        let workspace = self.workspaces.remove(&ticket)?;
        let flow = self.flows.get_mut(&workspace)?;
        let index = flow.queue.iter().position(|w| w.ticket == ticket)?;
        let waiting = flow.queue.remove(index)?;
        if flow.queue.is_empty() {
            self.order.remove(&(flow.virtual_time.to_bits(), workspace));
        }
        self.expiry.remove(&(waiting.latest_start, ticket));
        Some(waiting)
    }

    /// Takes out the requests that it is no longer useful to start.
    pub fn expire(&mut self, now: Moment) -> Vec<QueuedRequest> {
        let mut late = Vec::new();
        while let Some(&(latest_start, ticket)) = self.expiry.first() {
            if latest_start >= now {
                break;
            }
            self.expiry.pop_first();
            late.extend(self.remove(ticket));
        }
        late
    }

    /// Returns the next moment at which a request may expire.
    pub fn next_expiry(&self) -> Option<Moment> {
        self.expiry.first().map(|(latest_start, _)| *latest_start)
    }

    /// Forgets the workspaces that are idle and whose requests so far are paid for.
    pub fn forget_idle(&mut self) {
        let start = self.idle_start();
        self.flows
            .retain(|_, f| !f.queue.is_empty() || f.virtual_time > start);
    }
}

/// Returns the position of the next request of a workspace.
///
/// The highest priority goes first. Every few requests the oldest one does, because a steady
/// stream of high priority would otherwise hold back a low one forever.
fn next_position(flow: &Flow) -> usize {
    if flow.served % OLDEST_FIRST_EVERY == OLDEST_FIRST_EVERY - 1 {
        return 0;
    }
    let best = flow
        .queue
        .iter()
        .enumerate()
        .min_by_key(|(n, w)| (w.priority, *n));
    best.map_or(0, |(n, _)| n)
}
