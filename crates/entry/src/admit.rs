//! Lets requests in: limits of workspaces, fair shares of pools, early refusal.
//!
//! The decisions stand in `snipemast_routing`; here they are held in shards under locks, and a
//! request that waits gets its turn over a channel.
//!
//! - [`demand`]: what a request asks of admission.
//! - `turn`: a lane with those who wait at it.
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
pub use tell::tell_forever;
use turn::{Entered, Gate, Waiting};

/// The number of shards of lanes and of accounts.
const SHARDS: usize = 8;
/// How often lanes look whether room has come free elsewhere.
const LOOK: Span = Span::from_millis(20);
/// How often demands are settled, in looks.
const SETTLE: u64 = 50;

/// The admission state of an entry process.
#[derive(Debug)]
pub struct Admission {
    clock: Clock,
    journal: Journal,
    chooser: Arc<Chooser>,
    lanes: Box<[Mutex<HashMap<Wanted, Gate>>]>,
    accounts: Box<[Mutex<Limiter>]>,
    demands: Mutex<Demands>,
    wishes: Mutex<Wishes>,
}

/// Lets a request in, at once or after a wait, or says why not.
pub async fn admit(shared: &Shared, config: &Config, demand: Demand) -> Result<Admitted, Problem> {
    let admission = &shared.admission;
    if shared.chooser.capacity(&demand.wanted).is_none() {
        shared.chooser.sync(&shared.registry.members());
    }
    let outcome = admission.admit(config, &demand).await;
    outcome.map_err(|refusal| {
        admission.note(&demand.workspace, refusal);
        problem(refusal)
    })
}

/// A refusal in the form that callers get.
fn problem(refusal: Refusal) -> Problem {
    let kind = match refusal.reason {
        Reason::Requests | Reason::Tokens | Reason::Concurrency | Reason::Queue => {
            ProblemKind::Limited
        }
        Reason::Deadline | Reason::Unloaded => ProblemKind::Unavailable,
    };
    Problem::new(kind, refusal.reason).with_retry(refusal.retry)
}

/// Looks again and again whether what waits may run.
pub async fn admit_forever(shared: Arc<Shared>) {
    for look in 0_u64.. {
        smol::Timer::after(LOOK.as_duration()).await;
        shared.admission.look();
        if look % SETTLE == 0 {
            shared.admission.settle();
        }
    }
}

impl Admission {
    /// The state of a process that has let nothing in yet.
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

    /// Takes the time that a summary needs to reach every other entry.
    pub fn set_pace(&self, pace: Span) {
        self.demands.lock().set_interval(pace);
    }

    /// This entry's demands, for the membership exchange to carry about once a second.
    pub fn summary(&self) -> Summary {
        self.demands.lock().next_summary(self.clock.now())
    }

    /// Takes another entry's demands from the membership exchange.
    pub fn merge(&self, summary: &Summary) {
        self.demands.lock().merge(self.clock.now(), summary);
    }

    /// Gives back the part of an entry that is known to be gone, not merely cut off.
    pub fn forget(&self, host: &HostId) {
        self.demands.lock().forget(host);
    }

    /// The loads that control should order, within the platform's budget.
    pub fn orders(&self) -> Vec<Wish> {
        self.wishes.lock().due_loads(self.clock.now())
    }

    async fn admit(
        self: &Arc<Self>,
        config: &Config,
        demand: &Demand,
    ) -> Result<Admitted, Refusal> {
        let account = self.charge(config, demand)?;
        let weight = config
            .workspaces
            .get(&demand.workspace)
            .map_or(1, |w| w.weight);
        let waiting = match self.arrive(demand, f64::from(weight.max(1)))? {
            Entered::Open => return Ok(account.run()),
            Entered::Wait(waiting) => waiting,
        };
        waiting.turn(demand.left).await?;
        Ok(account.run())
    }

    /// Charges the workspace's limits; what is returned gives them back when it is dropped.
    fn charge(self: &Arc<Self>, config: &Config, demand: &Demand) -> Result<Admitted, Refusal> {
        let now = self.clock.now();
        let limits = config.workspaces.get(&demand.workspace).map(|w| &w.limits);
        let limits = limits.cloned().unwrap_or_default();
        let part = self.part(now, demand, limits.concurrency);
        let shard = self.account_of(&demand.workspace);
        let charged =
            self.accounts[shard]
                .lock()
                .admit(now, &demand.workspace, &limits, part, demand.tokens);
        charged.map(|()| Admitted {
            admission: Arc::clone(self),
            demand: demand.clone(),
            begun: now,
            running: false,
            whole: false,
        })
    }

    /// This entry's part of the workspace's limits, by the demand that entries have told.
    fn part(&self, now: Moment, demand: &Demand, concurrency: Option<u32>) -> LimitShare {
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

    fn arrive(self: &Arc<Self>, demand: &Demand, weight: f64) -> Result<Entered, Refusal> {
        let now = self.clock.now();
        let Some(room) = self.room(now, &demand.wanted) else {
            return Err(self.unloaded(now, &demand.wanted));
        };
        let arrival = Arrival {
            workspace: demand.workspace.clone(),
            weight,
            priority: demand.priority,
            tokens: demand.tokens,
            deadline: now + demand.left,
        };
        let mut lanes = self.lanes[lane_of(&demand.wanted)].lock();
        let gate = lanes.entry(demand.wanted.clone()).or_insert_with(Gate::new);
        match gate.lane.arrive(now, arrival, room) {
            Decision::Run => Ok(Entered::Open),
            Decision::Refused(refusal) => Err(refusal),
            Decision::Wait(ticket) => {
                let (sender, turn) = bounded(1);
                gate.turns.insert(ticket, sender);
                Ok(Entered::Wait(Waiting {
                    admission: Arc::clone(self),
                    demand: demand.clone(),
                    ticket,
                    turn,
                    called: false,
                }))
            }
        }
    }

    /// Never a silent wait for what nothing offers: a model is wished for, and the caller told.
    fn unloaded(&self, now: Moment, wanted: &Wanted) -> Refusal {
        match wanted {
            Wanted::Model { .. } => self.wishes.lock().record_request(now, wanted),
            Wanted::Service(_) => Refusal {
                reason: Reason::Unloaded,
                retry: Span::from_secs(1),
            },
        }
    }

    /// The pool as it is now, or nothing where no server offers what is wanted.
    fn room(&self, now: Moment, wanted: &Wanted) -> Option<PoolCapacity> {
        let (slots, load) = self.chooser.capacity(wanted)?;
        let share = self.demands.lock().share(now, Topic::pool(wanted.family()));
        Some(PoolCapacity {
            own_slots: slots * share,
            free_slots: (slots - load).max(0.0),
        })
    }

    /// Calls what may run now in one pool.
    fn call(&self, wanted: &Wanted) {
        let now = self.clock.now();
        let mut lanes = self.lanes[lane_of(wanted)].lock();
        let Some(gate) = lanes.get_mut(wanted) else {
            return;
        };
        if gate.lane.waiting() == 0 {
            return;
        }
        let room = self.room(now, wanted).unwrap_or_default();
        gate.call(now, room);
    }

    fn look(&self) {
        for shard in &self.lanes {
            let busy = |(wanted, gate): (&Wanted, &Gate)| {
                (gate.lane.waiting() > 0).then(|| wanted.clone())
            };
            let waiting: Vec<_> = shard.lock().iter().filter_map(busy).collect();
            for wanted in waiting {
                self.call(&wanted);
            }
        }
    }

    fn settle(&self) {
        self.demands.lock().set_aside_silent(self.clock.now());
        for wish in self.orders() {
            if self.chooser.capacity(&wish.wanted).is_some() {
                self.wishes.lock().mark_loaded(&wish.wanted);
            }
        }
        for shard in &self.lanes {
            let idle = |g: &Gate| g.lane.waiting() == 0 && g.lane.running() == 0;
            shard
                .lock()
                .retain(|w, g| !idle(g) || self.chooser.capacity(w).is_some());
        }
    }

    fn note(&self, workspace: &WorkspaceId, refusal: Refusal) {
        let now = self.clock.now();
        let shard = self.account_of(workspace);
        if self.accounts[shard]
            .lock()
            .record_refusal(now, workspace, refusal)
        {
            self.journal.record(Event::LimitReached, workspace, refusal);
        }
    }

    fn account_of(&self, workspace: &WorkspaceId) -> usize {
        (stable_hash(workspace) % SHARDS as u64) as usize
    }

    /// Who is held back and why, and what waits where.
    pub fn status(&self) -> LimitStatus {
        let now = self.clock.now();
        let mut status = LimitStatus {
            ejected: self.chooser.ejected(),
            wishes: self.orders(),
            ..LimitStatus::default()
        };
        for shard in &self.accounts {
            let held = shard.lock().held_back(now);
            status
                .held
                .extend(held.into_iter().map(|(workspace, back)| HeldWorkspace {
                    share: percent(self.demands.lock().share(now, Topic::workspace(&workspace))),
                    workspace,
                    reason: back.reason,
                    rate: (back.rate * 60.0).round() as u32,
                    retry: back.retry,
                }));
        }
        for shard in &self.lanes {
            for (wanted, gate) in shard.lock().iter() {
                let room = self.room(now, wanted).unwrap_or_default();
                status.lanes.push(LaneStatus {
                    pool: wanted.to_string(),
                    running: gate.lane.running(),
                    waiting: gate.lane.waiting() as u32,
                    share: room.own_slots.round() as u32,
                    free: room.free_slots.round() as u32,
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

/// A request that was let in; it counts until this is dropped.
#[derive(Debug)]
pub struct Admitted {
    admission: Arc<Admission>,
    demand: Demand,
    begun: Moment,
    running: bool,
    whole: bool,
}

impl Admitted {
    /// The prefix of the request's prompt.
    pub fn prefix(&self) -> Option<Prefix> {
        self.demand.prefix
    }

    /// Says that the request was answered in whole; unsaid, its time says nothing of the pool.
    pub fn finish(&mut self) {
        self.whole = true;
    }

    fn run(mut self) -> Self {
        self.running = true;
        self.begun = self.admission.clock.now();
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
        let shard = self.admission.account_of(workspace);
        if !self.running {
            self.admission.accounts[shard]
                .lock()
                .refund(now, workspace, *tokens);
            return;
        }
        self.admission.accounts[shard]
            .lock()
            .finish(now, workspace, *tokens, *tokens);
        let took = self.whole.then(|| now.since(self.begun));
        if let Some(gate) = self.admission.lanes[lane_of(wanted)].lock().get_mut(wanted) {
            gate.lane.depart(&self.demand.departure(took));
        }
        self.admission.call(wanted);
    }
}

fn percent(part: f64) -> u32 {
    (part * 100.0).round() as u32
}

fn lane_of(wanted: &Wanted) -> usize {
    (wanted.family() % SHARDS as u64) as usize
}
