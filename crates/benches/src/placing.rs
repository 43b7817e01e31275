//! Gateways that place requests on a group's ranks, under a virtual clock.
//!
//! The gateways run the product's own choice. Before them stands a model of an engine's group: ranks with
//! slots and a queue, and passes that all ranks take together, each as long as the fullest rank's part.
//! Gateways tell one controller what they have in flight and hear the sum of the others'.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use snipemast_core::hash::{fraction, index_below, mix};
use snipemast_core::prelude::*;
use snipemast_placement::choice::{AnnouncedServer, Constraints};
use snipemast_placement::outage::AllowedPools;
use snipemast_placement::pick::Pick;
use snipemast_placement::servers::{ServerFault, Servers};
use snipemast_placement::{Pool, Urgency};

/// The way between two hosts.
const WAY: Span = Span::from_millis(1);

/// How many servers a request is sent to at most.
const SENDS: usize = 3;

/// One experiment.
#[derive(Debug, Clone)]
pub struct Setup {
    /// How many gateways there are.
    pub gateways: usize,
    /// Over how many availability zones gateways and ranks are spread.
    pub zones: usize,
    /// How many ranks the group has.
    pub ranks: usize,
    /// How many requests a rank runs at once.
    pub slots: usize,
    /// How many more wait at a rank before it refuses.
    pub queue: usize,
    /// Requests a second.
    pub rate: f64,
    /// How long a gateway's poll for the others' counts waits.
    pub wait: Span,
    /// How long a pass takes without requests, in ms.
    pub base: f64,
    /// What each request of the fullest rank adds to a pass, in ms.
    pub each: f64,
    /// How many ms a prompt takes to be read.
    pub prompt: f64,
    /// How many pieces an answer has.
    pub pieces: usize,
    /// The time within which the first piece is to come.
    pub objective: Span,
    /// How long it is played.
    pub length: Span,
    /// The seed of everything random.
    pub seed: u64,
}

impl Setup {
    /// 9 gateways before 16 ranks of 12 slots, which run two thirds of what they can.
    pub fn small() -> Self {
        Self {
            gateways: 9,
            ranks: 16,
            slots: 12,
            rate: 75.0,
            ..Self::middle()
        }
    }

    /// 40 gateways before 63 ranks of 10 slots, which run half of what they can.
    pub fn middle() -> Self {
        Self {
            gateways: 40,
            zones: 3,
            ranks: 63,
            slots: 10,
            queue: 5,
            rate: 220.0,
            wait: Span::from_millis(250),
            base: 36.0,
            each: 2.2,
            prompt: 14.0,
            pieces: 23,
            objective: Span::from_millis(400),
            length: Span::from_secs(10),
            seed: 7,
        }
    }

    /// 149 gateways before 192 ranks of 6 slots, in five availability zones.
    pub fn large() -> Self {
        Self {
            gateways: 149,
            zones: 5,
            ranks: 192,
            slots: 6,
            queue: 3,
            rate: 469.0,
            pieces: 17,
            objective: Span::from_millis(500),
            ..Self::middle()
        }
    }
}

/// What callers and ranks saw.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Outcome {
    /// How many requests there were.
    pub requests: usize,
    /// Those whose first piece came late, as a part of all.
    pub late: f64,
    /// Those that waited for a slot while another rank had two free, as a part of all.
    pub waited: f64,
    /// Arrivals that ranks refused, as a part of all arrivals.
    pub refused: f64,
    /// Requests that no rank took, as a part of all.
    pub failed: f64,
    /// The fullest rank over half a second against the mean of all ranks, in the mean.
    pub fullest: f64,
    /// The mean of the requests in flight at a rank.
    pub load: f64,
}

/// Plays an experiment with one way to pick a server.
pub fn play<P: Pick>(setup: &Setup) -> Outcome {
    let mut world = World::<P>::new(setup);
    world.run();
    world.outcome()
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    /// A request arrives at some gateway.
    Arrival,
    /// A pass ends, and the next one begins.
    Pass,
    /// A gateway's counts reach the controller.
    Poll(usize),
    /// The others' counts reach a gateway.
    News(usize),
}

#[derive(Debug, Clone)]
struct Request {
    gateway: usize,
    arrived: Moment,
    pieces: usize,
}

#[derive(Debug, Default)]
struct Rank {
    running: Vec<Request>,
    waiting: VecDeque<Request>,
    /// In flight over the half second that is under way, summed by passes.
    sum: usize,
}

type Counts = BTreeMap<ServerId, u32>;

struct World<'a, P> {
    setup: &'a Setup,
    now: Moment,
    queue: BinaryHeap<Reverse<(Moment, u64, Happening)>>,
    number: u64,
    gateways: Vec<Servers<P>>,
    told: Vec<(Moment, Counts)>,
    ids: Vec<ServerId>,
    pool: Pool,
    ranks: Vec<Rank>,
    window: (Moment, usize),
    fullest: Vec<f64>,
    seen: Seen,
}

#[derive(Debug, Default)]
struct Seen {
    requests: usize,
    arrivals: usize,
    refused: usize,
    failed: usize,
    late: usize,
    waited: usize,
    flying: usize,
    passes: usize,
}

impl<'a, P: Pick> World<'a, P> {
    fn new(setup: &'a Setup) -> Self {
        let pool = Pool {
            service: ServiceId::new("lector").expect("a service's name"),
            group: None,
        };
        let names = (0..setup.ranks).map(|n| ServerId::new(format!("i-{n}")));
        let ids: Vec<ServerId> = names.map(|id| id.expect("a server's name")).collect();
        let zone = |n: usize| ZoneId::new(format!("z{}", n % setup.zones)).expect("a zone's name");
        let offered = |n: usize| AnnouncedServer {
            server: ids[n].clone(),
            start: Incarnation(0),
            pool: pool.clone(),
            address: std::net::SocketAddr::from(([10, 0, (n / 250) as u8, (n % 250) as u8], 80)),
            zone: zone(n),
            slots: setup.slots as u32,
            leaving_since: None,
        };
        let gateway = |n: usize| {
            let mut servers = Servers::new(zone(n));
            servers.set_announced((0..setup.ranks).map(offered).collect());
            servers
        };
        let mut world = Self {
            setup,
            now: Moment::ZERO,
            queue: BinaryHeap::new(),
            number: 0,
            gateways: (0..setup.gateways).map(gateway).collect(),
            told: vec![(Moment::ZERO, Counts::new()); setup.gateways],
            ids,
            pool,
            ranks: (0..setup.ranks).map(|_| Rank::default()).collect(),
            window: (Moment::ZERO, 0),
            fullest: Vec::new(),
            seen: Seen::default(),
        };
        world.plan(Span::default(), Happening::Arrival);
        world.plan(Span::default(), Happening::Pass);
        for gateway in 0..setup.gateways {
            let first = setup.wait.as_micros() * gateway as u64 / setup.gateways as u64;
            world.plan(Span::from_micros(first), Happening::Poll(gateway));
        }
        world
    }

    fn run(&mut self) {
        let end = Moment::ZERO + self.setup.length;
        while let Some(Reverse((at, _, happening))) = self.queue.pop() {
            if at >= end {
                return;
            }
            self.now = at;
            match happening {
                Happening::Arrival => self.arrive(),
                Happening::Pass => self.pass(),
                Happening::Poll(gateway) => self.poll(gateway),
                Happening::News(gateway) => self.news(gateway),
            }
        }
    }

    fn plan(&mut self, after: Span, happening: Happening) {
        self.number += 1;
        let at = self.now + after;
        self.queue.push(Reverse((at, self.number, happening)));
    }

    fn chance(&mut self) -> u64 {
        self.number += 1;
        mix(mix(self.setup.seed) ^ self.number)
    }

    /// A caller's request comes to a gateway, and is sent to one rank after another until one takes it.
    fn arrive(&mut self) {
        let pause = -(1.0 - fraction(self.chance())).ln() / self.setup.rate;
        self.plan(Span::from_micros((pause * 1e6) as u64), Happening::Arrival);
        let gateway = index_below(self.chance(), self.setup.gateways);
        self.seen.requests += 1;
        let mut excluded = Vec::new();
        for _ in 0..SENDS {
            let chance = self.chance();
            let gate = AllowedPools::AllExcept(Vec::new());
            let wanted = Constraints {
                service: &self.pool.service,
                allowed: &gate,
                excluded: &excluded,
            };
            let servers = &mut self.gateways[gateway];
            let chosen = servers.choose(self.now, wanted, Urgency::InTime, chance);
            let Ok(choice) = chosen else {
                break;
            };
            let rank = self.place(&choice.server);
            if self.offer(rank, gateway) {
                return;
            }
            let servers = &mut self.gateways[gateway];
            servers.release(&choice.server, choice.start);
            servers.record_fault(self.now, &choice.server, choice.start, ServerFault::Full);
            excluded.push(choice.server);
        }
        self.seen.failed += 1;
    }

    fn place(&self, server: &ServerId) -> usize {
        let place = self.ids.iter().position(|id| id == server);
        place.expect("the server is one of the ranks")
    }

    /// Whether a rank takes a request.
    fn offer(&mut self, rank: usize, gateway: usize) -> bool {
        self.seen.arrivals += 1;
        let slots = self.setup.slots;
        let flying = |r: &Rank| r.running.len() + r.waiting.len();
        let there = flying(&self.ranks[rank]);
        if there >= slots + self.setup.queue {
            self.seen.refused += 1;
            return false;
        }
        let free = |r: &Rank| flying(r) + 2 <= slots;
        if there >= slots && self.ranks.iter().any(free) {
            self.seen.waited += 1;
        }
        self.ranks[rank].waiting.push_back(Request {
            gateway,
            arrived: self.now,
            pieces: 0,
        });
        true
    }

    /// All ranks end a pass and begin the next one.
    fn pass(&mut self) {
        for rank in 0..self.ranks.len() {
            self.pieces(rank);
        }
        let (mut fullest, mut read) = (0, 0);
        for rank in &mut self.ranks {
            let free = self.setup.slots - rank.running.len();
            let begun = free.min(rank.waiting.len());
            rank.running.extend(rank.waiting.drain(..begun));
            fullest = fullest.max(rank.running.len());
            read = read.max(begun);
        }
        let setup = self.setup;
        let long = setup.base + setup.each * fullest as f64 + setup.prompt * read as f64;
        self.watch();
        self.plan(Span::from_micros((long * 1e3) as u64), Happening::Pass);
    }

    /// Each running request of a rank gets a piece of its answer.
    fn pieces(&mut self, rank: usize) {
        let server = &self.ids[rank];
        let (now, setup) = (self.now, self.setup);
        for request in &mut self.ranks[rank].running {
            request.pieces += 1;
            let late = now.since(request.arrived) > setup.objective;
            if request.pieces == 1 && late {
                self.seen.late += 1;
            }
            if request.pieces == setup.pieces {
                let servers = &mut self.gateways[request.gateway];
                servers.release(server, Incarnation(0));
                servers.record_completion(&self.pool.service, now.since(request.arrived));
            }
        }
        let running = &mut self.ranks[rank].running;
        running.retain(|r| r.pieces < setup.pieces);
    }

    /// Takes note of the load, and of the fullest rank of each half second.
    fn watch(&mut self) {
        for rank in &mut self.ranks {
            let flying = rank.running.len() + rank.waiting.len();
            rank.sum += flying;
            self.seen.flying += flying;
        }
        self.seen.passes += 1;
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

    fn poll(&mut self, gateway: usize) {
        let flying = self.gateways[gateway].in_flight();
        let counts = flying.map(|(id, count)| (id.clone(), count)).collect();
        self.told[gateway] = (self.now, counts);
        let whole = self.setup.wait.as_micros() + WAY.as_micros();
        self.plan(Span::from_micros(whole), Happening::News(gateway));
    }

    fn news(&mut self, gateway: usize) {
        let mut sums = Counts::new();
        let mut ages = 0;
        for (other, (at, counts)) in self.told.iter().enumerate() {
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
        self.gateways[gateway].set_other_counts(self.now, age, sums.into_iter());
        self.plan(WAY, Happening::Poll(gateway));
    }

    fn outcome(&self) -> Outcome {
        let seen = &self.seen;
        let part = |count: usize, of: usize| count as f64 / of.max(1) as f64;
        Outcome {
            requests: seen.requests,
            late: part(seen.late, seen.requests),
            waited: part(seen.waited, seen.requests),
            refused: part(seen.refused, seen.arrivals),
            failed: part(seen.failed, seen.requests),
            fullest: self.fullest.iter().sum::<f64>() / self.fullest.len().max(1) as f64,
            load: part(seen.flying, seen.passes * self.setup.ranks),
        }
    }
}
