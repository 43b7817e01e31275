//! Admission of requests: limits of workspaces, fair shares of pools and early refusal.
//!
//! `snipemast_routing` makes the decisions. This module keeps their state in shards under locks,
//! and tells a waiting request its decision over a channel.
//!
//! - [`demand`]: the demand of one request.
//! - `turn`: a lane with its waiting requests.
//! - [`tell`]: the exchange of demands with other entries.

pub mod demand;
pub mod tell;
mod turn;

use std::collections::HashMap;
use std::sync::Arc;

use async_channel::bounded;
use parking_lot::Mutex;

use snipemast_callers::problem::{Problem, ProblemKind};
use snipemast_config::Config;
use snipemast_core::prelude::*;
use snipemast_routing::hash::stable_hash;
use snipemast_routing::{
    Arrival, Decision, Demands, HeldWorkspace, LaneStatus, LimitShare, LimitStatus, Limiter,
    PoolCapacity, Prefix, Reason, Refusal, Summary, Topic, Wanted, Wish, WishPolicy, Wishes,
};

use crate::choose::Chooser;
use crate::shared::Shared;

pub use demand::Demand;
pub use tell::exchange_demands_forever;
use turn::{Arrived, Waiting, WaitingLane};

/// The number of shards that lanes, and likewise accounts, are divided into.
const SHARDS: usize = 8;
/// The interval at which lanes with waiting requests are checked for capacity that others freed.
const CHECK_INTERVAL: Span = Span::from_millis(20);
/// The number of checks from one cleanup to the next.
const CHECKS_PER_CLEANUP: u64 = 50;

/// The admission state of an entry process.
#[derive(Debug)]
pub struct Admission {
    clock: Clock,
    journal: Journal,
    chooser: Arc<Chooser>,
    lanes: Box<[Mutex<HashMap<Wanted, WaitingLane>>]>,
    accounts: Box<[Mutex<Limiter>]>,
    demands: Mutex<Demands>,
    wishes: Mutex<Wishes>,
}

/// Admits a request, at once or after a wait, or returns the reason for its refusal.
pub async fn admit(shared: &Shared, config: &Config, demand: Demand) -> Result<Admitted, Problem> {
    let admission = &shared.admission;
    if shared.chooser.capacity(&demand.wanted).is_none() {
        shared.chooser.sync(&shared.registry.members());
    }
    let outcome = admission.admit(config, &demand).await;
    outcome.map_err(|refusal| {
        admission.record_refusal(&demand.workspace, refusal);
        problem(refusal)
    })
}

/// Converts a refusal to the problem that the caller gets.
fn problem(refusal: Refusal) -> Problem {
    let kind = match refusal.reason {
        Reason::Requests | Reason::Tokens | Reason::Concurrency | Reason::Queue => {
            ProblemKind::Limited
        }
        Reason::Deadline | Reason::Unloaded => ProblemKind::Unavailable,
    };
    Problem::new(kind, refusal.reason).with_retry(refusal.retry)
}

/// Checks at a fixed interval whether waiting requests may run.
pub async fn admit_forever(shared: Arc<Shared>) {
    for check in 0_u64.. {
        smol::Timer::after(CHECK_INTERVAL.as_duration()).await;
        shared.admission.check_lanes();
        if check % CHECKS_PER_CLEANUP == 0 {
            shared.admission.clean_up();
        }
    }
}

impl Admission {
    /// Creates the state of a process that has admitted nothing yet.
    pub fn new(process: &ProcessId, chooser: Arc<Chooser>, journal: Journal) -> Self {
        Self {
            clock: Clock::new(),
            journal,
            chooser,
            lanes: (0..SHARDS).map(|_| Mutex::default()).collect(),
            accounts: (0..SHARDS).map(|_| Mutex::default()).collect(),
            demands: Mutex::new(Demands::new(process.clone())),
            wishes: Mutex::new(Wishes::new(WishPolicy::default())),
        }
    }

    /// Sets the interval of the exchange, the time that a summary needs to reach every other entry.
    pub fn set_summary_interval(&self, interval: Span) {
        self.demands.lock().set_interval(interval);
    }

    /// Returns this entry's demands, which membership carries to the others about once a second.
    pub fn summary(&self) -> Summary {
        self.demands.lock().next_summary(self.clock.now())
    }

    /// Merges another entry's demands, as membership carried them.
    pub fn merge(&self, summary: &Summary) {
        self.demands.lock().merge(self.clock.now(), summary);
    }

    /// Releases the share of an entry that is known to have ended, not merely to be cut off.
    pub fn forget(&self, host: &HostId) {
        self.demands.lock().forget(host);
    }

    /// Returns the model loads that control should order, within the platform's budget.
    pub fn due_loads(&self) -> Vec<Wish> {
        self.wishes.lock().due_loads(self.clock.now())
    }

    /// Charges the workspace's limits, and waits in the pool's lane if it is full.
    async fn admit(
        self: &Arc<Self>,
        config: &Config,
        demand: &Demand,
    ) -> Result<Admitted, Refusal> {
        let admitted = self.charge(config, demand)?;
        let weight = config
            .workspaces
            .get(&demand.workspace)
            .map_or(1, |w| w.weight);
        let waiting = match self.arrive(demand, f64::from(weight.max(1)))? {
            Arrived::Run => return Ok(admitted.start()),
            Arrived::Wait(waiting) => waiting,
        };
        waiting.wait(demand.left).await?;
        Ok(admitted.start())
    }

    /// Charges the workspace's limits; dropping the result releases them.
    fn charge(self: &Arc<Self>, config: &Config, demand: &Demand) -> Result<Admitted, Refusal> {
        let now = self.clock.now();
        let limits = config.workspaces.get(&demand.workspace).map(|w| &w.limits);
        let limits = limits.cloned().unwrap_or_default();
        let limit_share = self.limit_share(now, demand, limits.concurrency);
        let shard = self.account_shard(&demand.workspace);
        let charged = self.accounts[shard].lock().admit(
            now,
            &demand.workspace,
            &limits,
            limit_share,
            demand.tokens,
        );
        charged.map(|()| Admitted {
            admission: Arc::clone(self),
            demand: demand.clone(),
            started: now,
            running: false,
            completed: false,
        })
    }

    /// Returns this entry's share of the workspace's limits, by the demands that entries published.
    fn limit_share(&self, now: Moment, demand: &Demand, concurrency: Option<u32>) -> LimitShare {
        let topic = Topic::workspace(&demand.workspace);
        let pool = Topic::pool(demand.wanted.family());
        let mut demands = self.demands.lock();
        demands.record(now, topic, demand.tokens);
        demands.record(now, pool, demand.tokens);
        LimitShare {
            share: demands.share(now, topic),
            concurrency: concurrency.map(|whole| demands.allot(topic, whole)),
        }
    }

    /// Enters a request into its pool's lane.
    fn arrive(self: &Arc<Self>, demand: &Demand, weight: f64) -> Result<Arrived, Refusal> {
        let now = self.clock.now();
        let Some(capacity) = self.pool_capacity(now, &demand.wanted) else {
            return Err(self.refuse_unloaded(now, &demand.wanted));
        };
        let arrival = Arrival {
            workspace: demand.workspace.clone(),
            weight,
            priority: demand.priority,
            tokens: demand.tokens,
            deadline: now + demand.left,
        };
        let mut lanes = self.lanes[lane_shard(&demand.wanted)].lock();
        let lane = lanes
            .entry(demand.wanted.clone())
            .or_insert_with(WaitingLane::new);
        match lane.queue.arrive(now, arrival, capacity) {
            Decision::Run => Ok(Arrived::Run),
            Decision::Refused(refusal) => Err(refusal),
            Decision::Wait(ticket) => {
                let (sender, receiver) = bounded(1);
                lane.waiters.insert(ticket, sender);
                Ok(Arrived::Wait(Waiting {
                    admission: Arc::clone(self),
                    demand: demand.clone(),
                    ticket,
                    receiver,
                    admitted: false,
                }))
            }
        }
    }

    /// Returns the refusal for a request that no server can take, and records the wish for a model.
    ///
    /// The caller learns the reason at once instead of waiting without an answer.
    fn refuse_unloaded(&self, now: Moment, wanted: &Wanted) -> Refusal {
        match wanted {
            Wanted::Model { .. } => self.wishes.lock().record_request(now, wanted),
            Wanted::Service(_) => Refusal {
                reason: Reason::Unloaded,
                retry: Span::from_secs(1),
            },
        }
    }

    /// Returns the current capacity of a pool, or `None` if no server offers it.
    fn pool_capacity(&self, now: Moment, wanted: &Wanted) -> Option<PoolCapacity> {
        let (slots, load) = self.chooser.capacity(wanted)?;
        let share = self.demands.lock().share(now, Topic::pool(wanted.family()));
        Some(PoolCapacity {
            own_slots: slots * share,
            free_slots: (slots - load).max(0.0),
        })
    }

    /// Starts the waiting requests of one pool that may run now.
    fn start_waiting(&self, wanted: &Wanted) {
        let now = self.clock.now();
        let mut lanes = self.lanes[lane_shard(wanted)].lock();
        let Some(lane) = lanes.get_mut(wanted) else {
            return;
        };
        if lane.queue.waiting() == 0 {
            return;
        }
        let capacity = self.pool_capacity(now, wanted).unwrap_or_default();
        lane.start_waiting(now, capacity);
    }

    /// Starts the waiting requests of all pools that may run now.
    fn check_lanes(&self) {
        for shard in &self.lanes {
            let has_waiting = |(wanted, lane): (&Wanted, &WaitingLane)| {
                (lane.queue.waiting() > 0).then(|| wanted.clone())
            };
            let waiting: Vec<_> = shard.lock().iter().filter_map(has_waiting).collect();
            for wanted in waiting {
                self.start_waiting(&wanted);
            }
        }
    }

    /// Sets silent entries aside, marks loaded models, and drops idle accounts and idle lanes without servers.
    fn clean_up(&self) {
        let now = self.clock.now();
        self.demands.lock().set_aside_silent(now);
        for shard in &self.accounts {
            shard.lock().forget_idle(now);
        }
        for wish in self.due_loads() {
            if self.chooser.capacity(&wish.wanted).is_some() {
                self.wishes.lock().mark_loaded(&wish.wanted);
            }
        }
        for shard in &self.lanes {
            let idle = |lane: &WaitingLane| lane.queue.waiting() == 0 && lane.queue.running() == 0;
            shard
                .lock()
                .retain(|wanted, lane| !idle(lane) || self.chooser.capacity(wanted).is_some());
        }
    }

    /// Records a refusal, with an event if it is the first one in a while.
    fn record_refusal(&self, workspace: &WorkspaceId, refusal: Refusal) {
        let now = self.clock.now();
        let shard = self.account_shard(workspace);
        if self.accounts[shard]
            .lock()
            .record_refusal(now, workspace, refusal)
        {
            self.journal.record(Event::LimitReached, workspace, refusal);
        }
    }

    fn account_shard(&self, workspace: &WorkspaceId) -> usize {
        (stable_hash(workspace) % SHARDS as u64) as usize
    }

    /// Returns the workspaces that are held back with their reasons, and the state of each lane.
    pub fn status(&self) -> LimitStatus {
        let now = self.clock.now();
        let mut status = LimitStatus {
            ejected: self.chooser.ejected(),
            wishes: self.due_loads(),
            ..LimitStatus::default()
        };
        for shard in &self.accounts {
            let held = shard.lock().held_back(now);
            status
                .held
                .extend(held.into_iter().map(|(workspace, refused)| HeldWorkspace {
                    share: percent(self.demands.lock().share(now, Topic::workspace(&workspace))),
                    workspace,
                    reason: refused.reason,
                    rate: (refused.rate * 60.0).round() as u32,
                    retry: refused.retry,
                }));
        }
        for shard in &self.lanes {
            for (wanted, lane) in shard.lock().iter() {
                let capacity = self.pool_capacity(now, wanted).unwrap_or_default();
                status.lanes.push(LaneStatus {
                    pool: wanted.to_string(),
                    running: lane.queue.running(),
                    waiting: lane.queue.waiting() as u32,
                    share: capacity.own_slots.round() as u32,
                    free: capacity.free_slots.round() as u32,
                });
            }
        }
        status
            .held
            .sort_by(|a, b| (&a.workspace, a.reason).cmp(&(&b.workspace, b.reason)));
        status.lanes.sort_by(|a, b| a.pool.cmp(&b.pool));
        status
    }
}

/// An admitted request, which counts against its limits until this is dropped.
#[derive(Debug)]
pub struct Admitted {
    admission: Arc<Admission>,
    demand: Demand,
    started: Moment,
    running: bool,
    completed: bool,
}

impl Admitted {
    /// Returns the prefix of the request's prompt.
    pub fn prefix(&self) -> Option<Prefix> {
        self.demand.prefix
    }

    /// Marks the request as answered completely; without it, its duration is not counted for the pool.
    pub fn mark_completed(&mut self) {
        self.completed = true;
    }

    /// Marks the request as running, which starts its duration.
    fn start(mut self) -> Self {
        self.running = true;
        self.started = self.admission.clock.now();
        self
    }
}

impl Drop for Admitted {
    fn drop(&mut self) {
        let Demand {
            workspace,
            tokens,
            wanted,
            ..
        } = &self.demand;
        let now = self.admission.clock.now();
        let shard = self.admission.account_shard(workspace);
        if !self.running {
            self.admission.accounts[shard]
                .lock()
                .refund(now, workspace, *tokens);
            return;
        }
        self.admission.accounts[shard]
            .lock()
            .finish(now, workspace, *tokens, *tokens);
        let took = self.completed.then(|| now.since(self.started));
        if let Some(lane) = self.admission.lanes[lane_shard(wanted)]
            .lock()
            .get_mut(wanted)
        {
            lane.queue.depart(&self.demand.departure(took));
        }
        self.admission.start_waiting(wanted);
    }
}

fn percent(part: f64) -> u32 {
    (part * 100.0).round() as u32
}

fn lane_shard(wanted: &Wanted) -> usize {
    (wanted.family() % SHARDS as u64) as usize
}
