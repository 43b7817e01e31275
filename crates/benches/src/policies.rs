//! The policies that the routing bench compares: the product's router, and four baselines.

use std::collections::HashMap;

use snipemast_core::prelude::*;
use snipemast_requests::RetryBudget;
use snipemast_routing::hash::{index_below, mix};
use snipemast_routing::{
    Arrival, Decision, Demands, Departure, Dequeued, Lane, LanePolicy, Location, PoolCapacity,
    Prefix, Priority, Query, RequestEnd, Router, RoutingPolicy, ServerFacts, ServerIndex, Subset,
    Summary, Ticket, Topic, Wanted,
};

use crate::queue::{End, Entry, Job, Micros, Step};

/// How a baseline chooses a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rule {
    /// A random server.
    Random,
    /// The servers in turn.
    RoundRobin,
    /// The server with the least reported load.
    LeastReport,
    /// The server with the lower reported load of two random ones.
    TwoReports,
}

/// A baseline, which sends every request at once.
#[derive(Debug)]
pub struct Baseline {
    rule: Rule,
    up: Vec<bool>,
    loads: Vec<u32>,
    next: usize,
    draws: u64,
}

impl Baseline {
    /// Creates a baseline for a number of servers.
    pub fn new(rule: Rule, servers: usize, seed: u64) -> Self {
        let next = index_below(mix(seed), servers);
        Self {
            rule,
            up: vec![true; servers],
            loads: vec![0; servers],
            next,
            draws: seed,
        }
    }

    fn draw_server(&mut self) -> usize {
        loop {
            self.draws = mix(self.draws);
            let at = index_below(self.draws, self.up.len());
            if self.up[at] {
                return at;
            }
        }
    }

    fn next_in_turn(&mut self) -> usize {
        loop {
            self.next = (self.next + 1) % self.up.len();
            if self.up[self.next] {
                return self.next;
            }
        }
    }

    fn pick(&mut self) -> usize {
        match self.rule {
            Rule::Random => self.draw_server(),
            Rule::RoundRobin => self.next_in_turn(),
            Rule::LeastReport => {
                let start = self.draw_server();
                let count = self.up.len();
                let all = (0..count)
                    .map(|n| (start + n) % count)
                    .filter(|&at| self.up[at]);
                all.min_by_key(|&at| self.loads[at]).unwrap_or(start)
            }
            Rule::TwoReports => {
                let (a, b) = (self.draw_server(), self.draw_server());
                if self.loads[b] < self.loads[a] {
                    b
                } else {
                    a
                }
            }
        }
    }
}

impl Entry for Baseline {
    const CANCELS: bool = false;

    fn arrive(&mut self, _: Micros, job: &Job, out: &mut Vec<Step>) {
        out.push(Step::Send(job.id, self.pick()));
    }

    fn first(&mut self, _: Micros, _: &Job, _: usize, _: Micros, _: &LoadReport) {}

    fn ended(&mut self, _: Micros, _: &Job, _: usize, _: &End, _: &mut Vec<Step>) {}

    fn report(&mut self, _: Micros, server: usize, load: &LoadReport) {
        self.loads[server] = load.total();
    }

    fn member(&mut self, _: Micros, server: usize, takes: bool) {
        self.up[server] = takes;
    }

    fn tick(&mut self, _: Micros, _: &mut Vec<Step>) {}
}

/// Options of the product's policy.
#[derive(Debug, Clone)]
pub struct Options {
    /// The policy for the choice of a server.
    pub policy: RoutingPolicy,
    /// The policy for admission; `None` sends every request at once.
    pub lane: Option<LanePolicy>,
    /// Size of the subset of servers that an entry uses; `None` uses all.
    pub subset: Option<usize>,
    /// Number of availability zones that entries and servers are spread over.
    pub zones: usize,
    /// Whether a request prefers servers that have its prefix cached.
    pub prefix: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            policy: RoutingPolicy::default(),
            lane: Some(LanePolicy::default()),
            subset: None,
            zones: 3,
            prefix: true,
        }
    }
}

/// The product's policy: the router, and a lane for admission before it.
#[derive(Debug)]
pub struct RouterPolicy {
    options: Options,
    router: Router,
    lane: Option<Lane>,
    demands: Demands,
    budget: RetryBudget,
    wanted: Wanted,
    hosts: Vec<HostId>,
    slots: Vec<ServerIndex>,
    waiting: HashMap<Ticket, Job>,
    names: Vec<WorkspaceId>,
    topic: Topic,
    count: u32,
}

/// Returns a name made of a word and a number.
pub fn name<T: std::str::FromStr>(word: &str, n: usize) -> T
where
    T::Err: std::fmt::Debug,
{
    format!("{word}-{n}")
        .parse()
        .expect("a word and a number make a valid name")
}

/// Returns what server `n` of the bench announces.
pub fn facts(n: usize, zones: usize, slots: u32) -> ServerFacts {
    let offer = Offer::Model {
        model: name("model", 0),
        version: "1".into(),
        adapters: Vec::new(),
    };
    let info = ServerInfo {
        server: name("server", n),
        offers: vec![offer],
        capabilities: Capabilities::default(),
        rank: None,
        slots,
    };
    ServerFacts {
        agent: ProcessId::new(name("host", n), Incarnation::new(1)),
        zone: name("zone", n % zones),
        region: name("region", 0),
        info,
        draining: false,
    }
}

/// Returns what the bench's requests ask for.
pub fn wanted() -> Wanted {
    Wanted::Model {
        model: name("model", 0),
        version: "1".into(),
        adapter: None,
    }
}

impl RouterPolicy {
    /// Creates the policy of entry `n` for a number of servers.
    pub fn new(n: usize, servers: usize, count: u32, workspaces: usize, options: Options) -> Self {
        let zones = options.zones;
        let place = Location {
            zone: name("zone", n % zones),
            region: name("region", 0),
        };
        let mut router = Router::new(place, mix(n as u64)).with_policy(options.policy);
        let all = (0..servers).map(|s| facts(s, zones, count));
        let hosts = all.clone().map(|f| f.agent.host).collect();
        let slots = all.map(|f| router.upsert(Moment::ZERO, f, false)).collect();
        router.set_subset(options.subset.map(|size| Subset::new(n / zones, size)));
        let wanted = wanted();
        let topic = Topic::pool(wanted.family());
        Self {
            lane: options.lane.map(Lane::new),
            router,
            demands: Demands::new(ProcessId::new(name("entry", n), Incarnation::new(1))),
            budget: RetryBudget::new(20),
            wanted,
            hosts,
            slots,
            waiting: HashMap::new(),
            names: (0..workspaces).map(|w| name("workspace", w)).collect(),
            topic,
            count,
            options,
        }
    }

    /// Returns the router.
    pub fn router(&mut self) -> &mut Router {
        &mut self.router
    }

    fn pool_capacity(&mut self, now: Moment) -> PoolCapacity {
        let (slots, load) = self.router.capacity(now, &self.wanted).unwrap_or_default();
        let own_slots = slots * self.demands.share(now, self.topic);
        PoolCapacity {
            own_slots,
            free_slots: (slots - load).max(0.0),
        }
    }

    fn send(&mut self, now: Moment, job: &Job, out: &mut Vec<Step>) {
        let prefix = self.options.prefix.then_some(Prefix(job.prefix));
        let query = Query::new(&self.wanted)
            .with_prefix(prefix)
            .with_backlog(!self.waiting.is_empty());
        let Ok(choice) = self.router.choose(now, &query) else {
            out.push(Step::Refuse(job.id, 1_000_000));
            return;
        };
        self.router.record_sent(now, choice.server);
        let server = self.slots.iter().position(|s| *s == choice.server);
        out.push(Step::Send(
            job.id,
            server.expect("the chosen server is one of the bench's"),
        ));
    }

    fn dequeue_waiting(&mut self, now: Moment, out: &mut Vec<Step>) {
        if self.waiting.is_empty() {
            return;
        }
        loop {
            let capacity = self.pool_capacity(now);
            let Some(dequeued) = self.lane.as_mut().and_then(|l| l.dequeue(now, capacity)) else {
                return;
            };
            match dequeued {
                Dequeued::Run(ticket) => {
                    if let Some(job) = self.waiting.remove(&ticket) {
                        self.send(now, &job, out);
                    }
                }
                Dequeued::Refused(ticket, refusal) => {
                    if let Some(job) = self.waiting.remove(&ticket) {
                        out.push(Step::Refuse(job.id, refusal.retry.as_micros()));
                    }
                }
            }
        }
    }
}

impl Entry for RouterPolicy {
    const CANCELS: bool = true;

    fn arrive(&mut self, now: Micros, job: &Job, out: &mut Vec<Step>) {
        let now = Moment::from_micros(now);
        let tokens = f64::from(job.tokens);
        self.demands.record(now, self.topic, tokens);
        self.budget.earn();
        let capacity = self.pool_capacity(now);
        let Some(lane) = &mut self.lane else {
            return self.send(now, job, out);
        };
        let arrival = Arrival {
            workspace: self.names[job.workspace].clone(),
            weight: 1.0,
            priority: Priority::Normal,
            tokens,
            deadline: Moment::from_micros(job.deadline),
        };
        match lane.arrive(now, arrival, capacity) {
            Decision::Run => self.send(now, job, out),
            Decision::Wait(ticket) => {
                self.waiting.insert(ticket, *job);
            }
            Decision::Refused(refusal) => {
                out.push(Step::Refuse(job.id, refusal.retry.as_micros()));
            }
        }
    }

    fn first(&mut self, now: Micros, _: &Job, server: usize, took: Micros, load: &LoadReport) {
        let now = Moment::from_micros(now);
        self.router
            .record_first(now, self.slots[server], Span::from_micros(took));
        self.router.record_load(now, &self.hosts[server], load);
    }

    fn ended(&mut self, now: Micros, job: &Job, server: usize, end: &End, out: &mut Vec<Step>) {
        let now = Moment::from_micros(now);
        let how = match (end.whole, end.failed) {
            (true, _) => RequestEnd::Answered,
            (_, true) => RequestEnd::Failed,
            _ => RequestEnd::Neutral,
        };
        let agent = ProcessId::new(self.hosts[server].clone(), Incarnation::new(1));
        self.router.record_end(now, self.slots[server], &agent, how);
        if !end.failed {
            self.router.record_load(now, &self.hosts[server], &end.load);
        }
        let tokens = f64::from(job.tokens);
        if end.failed && now.as_micros() < job.deadline && self.budget.spend() {
            return self.send(now, job, out);
        }
        let departure = Departure {
            workspace: self.names[job.workspace].clone(),
            asked: tokens,
            got: tokens,
            took: end.whole.then_some(Span::from_micros(end.took)),
        };
        if let Some(lane) = &mut self.lane {
            lane.depart(&departure);
        }
        self.dequeue_waiting(now, out);
    }

    fn report(&mut self, now: Micros, server: usize, load: &LoadReport) {
        let now = Moment::from_micros(now);
        self.router.record_load(now, &self.hosts[server], load);
    }

    fn member(&mut self, now: Micros, server: usize, takes: bool) {
        let mut facts = facts(server, self.options.zones, self.count);
        facts.draining = !takes;
        self.router.upsert(Moment::from_micros(now), facts, false);
    }

    fn summary(&mut self, now: Micros) -> Option<Summary> {
        Some(self.demands.next_summary(Moment::from_micros(now)))
    }

    fn merge(&mut self, now: Micros, summary: &Summary) {
        self.demands.merge(Moment::from_micros(now), summary);
    }

    fn tick(&mut self, now: Micros, out: &mut Vec<Step>) {
        self.dequeue_waiting(Moment::from_micros(now), out);
    }
}
