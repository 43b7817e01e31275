//! A simulator of gateways that place requests on a group's ranks, under a virtual clock.
//!
//! The gateways choose servers with the product's own code. They send to a model of an engine's group:
//! ranks have slots and a queue, and all ranks run a forward pass together, which lasts as long as the
//! fullest rank needs. Gateways report their requests in flight to one controller and receive the sum of
//! the others' counts.
//!
//! - [`demand`]: kinds of requests, a burst of one kind, shifts of the demand for experts.
//! - [`admission`]: ways to decide which requests a gateway lets in.
//! - [`callers`]: what callers get, by kind of request.
//! - `setup`: the parameters of a simulation.
//! - `waiting`: requests that wait at gateways.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use snipemast_core::hash::{fraction, index_below, mix};
use snipemast_core::prelude::*;
use snipemast_placement::choice::{AnnouncedServer, Constraints};
use snipemast_placement::outage::AllowedPools;
use snipemast_placement::pick::Pick;
use snipemast_placement::servers::{ServerFault, Servers};
use snipemast_placement::{Pool, Urgency};

pub mod admission;
pub mod callers;
pub mod demand;
mod setup;
mod waiting;

pub use setup::Setup;

use admission::{Gate, PROMISED_PAUSE};
use callers::{Callers, CallersOutcome, End};
use demand::Kind;

/// The one-way delay between two hosts.
const ONE_WAY_DELAY: Span = Span::from_millis(1);

/// The most servers that one request is sent to.
const MAX_SENDS: usize = 3;

/// The result of a simulation, as callers and ranks see it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Outcome {
    /// Number of requests.
    pub requests: usize,
    /// Share of requests whose first piece came after the objective.
    pub late: f64,
    /// Share of requests that waited for a slot while another rank had two free.
    pub waited: f64,
    /// Share of arrivals at ranks that were refused.
    pub refused: f64,
    /// Share of requests that no rank accepted.
    pub failed: f64,
    /// Load of the fullest rank relative to the mean of all ranks, averaged over windows of half a second.
    pub fullest: f64,
    /// Mean number of requests in flight at a rank.
    pub load: f64,
}

/// Runs a simulation in which gateways pick servers by `P`.
pub fn simulate<P: Pick>(setup: &Setup) -> Outcome {
    let mut world = World::<P>::new(setup);
    world.run();
    world.outcome()
}

/// Runs a simulation and returns what callers get.
pub fn simulate_callers<P: Pick>(setup: &Setup) -> CallersOutcome {
    let mut world = World::<P>::new(setup);
    world.run();
    world.callers.outcome(setup.capacity())
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A request arrives at some gateway.
    Arrival,
    /// A pass ends, and the next one begins.
    Pass,
    /// A gateway's poll reaches the controller with its counts.
    Poll(usize),
    /// The answer to a gateway's poll arrives with the others' counts.
    Reply(usize),
    /// A gateway looks for places for the requests that wait there.
    Look(usize),
}

#[derive(Debug, Clone)]
struct Request {
    gateway: usize,
    kind: usize,
    urgency: Urgency,
    arrived: Moment,
    pieces: usize,
    /// Whether the first piece or a later one came too late.
    late: bool,
}

#[derive(Debug, Default)]
struct Rank {
    running: Vec<Request>,
    waiting: VecDeque<Request>,
    /// Requests in flight, summed over the passes of the current window.
    sum: usize,
}

type Counts = BTreeMap<ServerId, u32>;

struct World<'a, P> {
    setup: &'a Setup,
    now: Moment,
    queue: BinaryHeap<Reverse<(Moment, u64, Event)>>,
    number: u64,
    gateways: Vec<Servers<P>>,
    gates: Vec<Gate>,
    kinds: Vec<Kind>,
    reported: Vec<(Moment, Counts)>,
    /// How many requests of each kind wait at each gateway, as last reported.
    reported_waiting: Vec<Vec<usize>>,
    callers: Callers,
    pass_began: Moment,
    ids: Vec<ServerId>,
    pool: Pool,
    ranks: Vec<Rank>,
    window: (Moment, usize),
    fullest: Vec<f64>,
    counters: Counters,
}

#[derive(Debug, Default)]
struct Counters {
    requests: usize,
    arrivals: usize,
    refused: usize,
    failed: usize,
    late: usize,
    waited: usize,
    active: usize,
    passes: usize,
}

impl<'a, P: Pick> World<'a, P> {
    fn new(setup: &'a Setup) -> Self {
        let pool = Pool {
            service: ServiceId::new("lector").expect("a valid service name"),
            group: None,
        };
        let names = (0..setup.ranks).map(|n| ServerId::new(format!("i-{n}")));
        let ids: Vec<ServerId> = names.map(|id| id.expect("a valid server name")).collect();
        let zone =
            |n: usize| ZoneId::new(format!("z{}", n % setup.zones)).expect("a valid zone name");
        let announced = |n: usize| AnnouncedServer {
            server: ids[n].clone(),
            start: Incarnation(0),
            pool: pool.clone(),
            address: std::net::SocketAddr::from(([10, 0, (n / 250) as u8, (n % 250) as u8], 80)),
            zone: zone(n),
            slots: setup.slots as u32,
            leaving_since: None,
            cold_until: Moment::ZERO,
        };
        let gateway = |n: usize| {
            let mut servers = Servers::new(zone(n));
            servers.set_announced(Moment::ZERO, (0..setup.ranks).map(announced).collect());
            servers
        };
        let kinds = setup.kinds();
        /// The time before measuring begins, and that which answers are given to end in.
        const MARGIN: Span = Span::from_secs(5);
        let measured = (Moment::ZERO + MARGIN, Moment::ZERO + setup.length - MARGIN);
        let burst_end = setup.demand.burst.as_ref().map(|b| b.until);
        let mut world = Self {
            setup,
            now: Moment::ZERO,
            queue: BinaryHeap::new(),
            number: 0,
            gateways: (0..setup.gateways).map(gateway).collect(),
            gates: vec![Gate::new(setup.way, setup.pass_model()); setup.gateways],
            callers: Callers::new(kinds.len(), measured, burst_end),
            reported_waiting: vec![vec![0; kinds.len()]; setup.gateways],
            kinds,
            pass_began: Moment::ZERO,
            reported: vec![(Moment::ZERO, Counts::new()); setup.gateways],
            ids,
            pool,
            ranks: (0..setup.ranks).map(|_| Rank::default()).collect(),
            window: (Moment::ZERO, 0),
            fullest: Vec::new(),
            counters: Counters::default(),
        };
        world.schedule(Span::default(), Event::Arrival);
        world.schedule(Span::default(), Event::Pass);
        for gateway in 0..setup.gateways {
            let first = setup.wait.as_micros() * gateway as u64 / setup.gateways as u64;
            world.schedule(Span::from_micros(first), Event::Poll(gateway));
        }
        world.schedule_looks();
        world
    }

    fn run(&mut self) {
        let end = Moment::ZERO + self.setup.length;
        while let Some(Reverse((at, _, event))) = self.queue.pop() {
            if at >= end {
                return;
            }
            self.now = at;
            match event {
                Event::Arrival => self.arrive(),
                Event::Pass => self.pass(),
                Event::Poll(gateway) => self.send_counts(gateway),
                Event::Reply(gateway) => self.receive_counts(gateway),
                Event::Look(gateway) => self.look(gateway),
            }
        }
    }

    fn schedule(&mut self, after: Span, event: Event) {
        self.number += 1;
        let at = self.now + after;
        self.queue.push(Reverse((at, self.number, event)));
    }

    fn next_random(&mut self) -> u64 {
        self.number += 1;
        mix(mix(self.setup.seed) ^ self.number)
    }

    /// Lets a caller's new request in, or lets it wait at its gateway.
    fn arrive(&mut self) {
        let pause = -(1.0 - fraction(self.next_random())).ln() / self.rate();
        self.schedule(Span::from_micros((pause * 1e6) as u64), Event::Arrival);
        let gateway = index_below(self.next_random(), self.setup.gateways);
        self.counters.requests += 1;
        let kind = self.next_kind();
        self.callers.arrive(kind, self.now);
        if self.kinds[kind].patience == Span::default() {
            if !self.place(gateway, kind, self.now) {
                self.counters.failed += 1;
                self.callers.end(kind, self.now, 0, End::Refused);
            }
            return;
        }
        self.gates[gateway].waiting.push((kind, self.now));
        self.let_in(gateway);
    }

    fn rate(&self) -> f64 {
        let demand = &self.setup.demand;
        let factor = if demand.kinds.is_empty() {
            1.0
        } else {
            demand.factor(self.now)
        };
        self.setup.rate * factor
    }

    /// Returns the kind of the request that arrives now.
    fn next_kind(&mut self) -> usize {
        if self.kinds.len() == 1 {
            return 0;
        }
        let point = fraction(self.next_random());
        self.setup.demand.pick(self.now, point)
    }

    /// Sends a request from a gateway to one rank after another until one accepts it, and returns whether one
    /// does.
    fn place(&mut self, gateway: usize, kind: usize, arrived: Moment) -> bool {
        let waited = self.now.since(arrived);
        let placed_as = self.gates[gateway].placed_as(self.now, &self.kinds[kind], waited);
        let mut excluded = Vec::new();
        for _ in 0..MAX_SENDS {
            let chance = self.next_random();
            let gate = AllowedPools::AllExcept(Vec::new());
            let wanted = Constraints {
                service: &self.pool.service,
                allowed: &gate,
                excluded: &excluded,
            };
            let servers = &mut self.gateways[gateway];
            let Ok(choice) = servers.choose(self.now, wanted, placed_as, chance) else {
                return false;
            };
            let rank = self.rank_index(&choice.server);
            let request = Request {
                gateway,
                kind,
                urgency: Gate::urgency(&self.kinds[kind], waited),
                arrived,
                pieces: 0,
                late: false,
            };
            if self.offer(rank, request) {
                return true;
            }
            let servers = &mut self.gateways[gateway];
            servers.release(&choice.server, choice.start);
            servers.record_fault(self.now, &choice.server, choice.start, ServerFault::Full);
            excluded.push(choice.server);
        }
        false
    }

    fn rank_index(&self, server: &ServerId) -> usize {
        let place = self.ids.iter().position(|id| id == server);
        place.expect("the server is one of the ranks")
    }

    /// Offers a request to a rank and returns whether the rank accepts it.
    fn offer(&mut self, rank: usize, request: Request) -> bool {
        self.counters.arrivals += 1;
        let slots = self.setup.slots;
        let active = |r: &Rank| r.running.len() + r.waiting.len();
        let occupied = active(&self.ranks[rank]);
        if occupied >= slots + self.setup.queue {
            self.counters.refused += 1;
            return false;
        }
        let free = |r: &Rank| active(r) + 2 <= slots;
        if occupied >= slots && self.ranks.iter().any(free) {
            self.counters.waited += 1;
        }
        // Ranks begin the most urgent requests first, and equals in order of arrival.
        let waiting = &mut self.ranks[rank].waiting;
        let place = waiting.partition_point(|r| r.urgency <= request.urgency);
        waiting.insert(place, request);
        true
    }

    /// Ends the pass of all ranks and begins the next one.
    fn pass(&mut self) {
        let pause = self.now.since(self.pass_began);
        let mut seen = vec![false; self.setup.gateways];
        for rank in 0..self.ranks.len() {
            self.emit_pieces(rank, pause, &mut seen);
        }
        self.pass_began = self.now;
        self.record_pauses(pause, &seen);
        let (mut fullest, mut read) = (0, 0);
        for rank in &mut self.ranks {
            let free = self.setup.slots - rank.running.len();
            let begun = free.min(rank.waiting.len()).min(self.setup.reads);
            rank.running.extend(rank.waiting.drain(..begun));
            fullest = fullest.max(rank.running.len());
            read = read.max(begun);
        }
        let shifts = self.setup.demand.shifts;
        let ratio = shifts.map_or(1.0, |s| s.ratio_at(self.now));
        let streams = self.setup.pass_model().duration(fullest, 0) * ratio;
        let duration = streams + self.setup.prompt * read as f64;
        self.record_load();
        self.schedule(Span::from_micros((duration * 1e3) as u64), Event::Pass);
    }

    /// Gives each running request of a rank a piece of its answer, and marks the gateways that see a pause.
    fn emit_pieces(&mut self, rank: usize, pause: Span, seen: &mut [bool]) {
        let server = &self.ids[rank];
        let now = self.now;
        for request in &mut self.ranks[rank].running {
            let kind = &self.kinds[request.kind];
            request.pieces += 1;
            if request.pieces == 1 {
                request.late = now.since(request.arrived) > kind.objective;
                self.counters.late += usize::from(request.late);
            } else {
                request.late |= pause > PROMISED_PAUSE;
                seen[request.gateway] = true;
            }
            if request.pieces == kind.pieces {
                let servers = &mut self.gateways[request.gateway];
                servers.release(server, Incarnation(0));
                servers.record_completion(&self.pool.service, now.since(request.arrived));
                let end = if request.late { End::Late } else { End::OnTime };
                self.callers
                    .end(request.kind, request.arrived, kind.pieces, end);
            }
        }
        let kinds = &self.kinds;
        let running = &mut self.ranks[rank].running;
        running.retain(|r| r.pieces < kinds[r.kind].pieces);
    }

    /// Adds up the load, and records the fullest rank of each window of half a second.
    fn record_load(&mut self) {
        for rank in &mut self.ranks {
            let active = rank.running.len() + rank.waiting.len();
            rank.sum += active;
            self.counters.active += active;
        }
        self.counters.passes += 1;
        self.window.1 += 1;
        if self.now < self.window.0 + Span::from_millis(500) {
            return;
        }
        let sums: Vec<usize> = self
            .ranks
            .iter_mut()
            .map(|r| std::mem::take(&mut r.sum))
            .collect();
        let mean = sums.iter().sum::<usize>() as f64 / sums.len() as f64;
        let most = sums.into_iter().max().unwrap_or(0) as f64;
        if mean > 0.0 {
            self.fullest.push(most / mean);
        }
        self.window = (self.now, 0);
    }

    fn send_counts(&mut self, gateway: usize) {
        let active = self.gateways[gateway].in_flight();
        let counts = active.map(|(id, count)| (id.clone(), count)).collect();
        self.reported[gateway] = (self.now, counts);
        self.report_waiting(gateway);
        let whole = self.setup.wait.as_micros() + ONE_WAY_DELAY.as_micros();
        self.schedule(Span::from_micros(whole), Event::Reply(gateway));
    }

    fn receive_counts(&mut self, gateway: usize) {
        let mut sums = Counts::new();
        let mut ages = 0;
        for (other, (at, counts)) in self.reported.iter().enumerate() {
            if other == gateway {
                continue;
            }
            ages += at.until(self.now).as_micros();
            for (id, count) in counts {
                *sums.entry(id.clone()).or_default() += count;
            }
        }
        let others = (self.setup.gateways - 1).max(1) as u64;
        let age = Span::from_micros(ages / others);
        self.tell_level(gateway, &sums);
        self.gateways[gateway].set_other_counts(self.now, age, sums.into_iter());
        self.schedule(ONE_WAY_DELAY, Event::Poll(gateway));
        self.let_in(gateway);
    }

    fn outcome(&self) -> Outcome {
        let counters = &self.counters;
        let part = |count: usize, of: usize| count as f64 / of.max(1) as f64;
        Outcome {
            requests: counters.requests,
            late: part(counters.late, counters.requests),
            waited: part(counters.waited, counters.requests),
            refused: part(counters.refused, counters.arrivals),
            failed: part(counters.failed, counters.requests),
            fullest: self.fullest.iter().sum::<f64>() / self.fullest.len().max(1) as f64,
            load: part(counters.active, counters.passes * self.setup.ranks),
        }
    }
}
