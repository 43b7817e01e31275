//! A model of a fleet under requests that crash servers, or parts of prompts that do: what all gateways together send.

use std::collections::{HashMap, HashSet};

use snipemast_core::prelude::*;
use snipemast_registry::crashes::{answer_crash_poll, has_crash_update};
use snipemast_registry::CrashExchange;
use snipemast_requests::crashes::EndedRun;
use snipemast_requests::{AttemptHash, Causes, CrashTable, CrashVerdict, Fingerprint};

/// A step of the model, in ms.
const STEP: u64 = 50;

/// How long a prompt is read before its answer begins, in ms.
const READING: u64 = 250;

/// How long an answer lasts, in ms.
const ANSWER: u64 = 2_000;

/// How long a server goes on after an answer has begun before this acquits the request's parts, in ms.
const SURVIVAL: u64 = 250;

/// How long a group is out after one of its servers has ended, in ms.
const OUTAGE: u64 = 3_500;

/// How long after that end the other streams of the group break off, in ms.
const STALL: u64 = 1_500;

/// How long a request waits for a server, in ms.
const PATIENCE: u64 = 3_000;

/// The requests a second for each server.
const RATE: f64 = 4.7;

/// The number of requests that a server runs at once.
const SLOTS: usize = 12;

/// The crashes after which requests with a crashing part must not be sent any more.
pub(crate) const PART_CRASHES: usize = 5;

/// The crashes after which a crashing request must not be sent any more.
pub(crate) const REQUEST_CRASHES: usize = 3;

/// How long that may take to be known to all gateways, in ms.
const PROPAGATION: u64 = 3_000;

/// The number of sends that are allowed after that.
pub(crate) const LATE_SENDS: usize = 3;

/// Of so many sound requests one comes in copies.
const POPULAR_SHARE: usize = 20;

/// The number of different sound requests that come in copies.
const POPULAR_REQUESTS: usize = 40;

/// How long after a break a caller tries again, in ms.
const CALLER_PAUSE: u64 = 50;

/// When requests with crashing parts begin to come, in ms.
const BEGIN: u64 = 5_000;

/// When the model ends, in ms.
const END: u64 = 45_000;

/// A pseudo-random sequence.
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    fn below(&mut self, bound: usize) -> usize {
        (self.next() % bound.max(1) as u64) as usize
    }

    fn share(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1_u64 << 53) as f64
    }
}

/// The size of a fleet, and what goes wrong in it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Scenario {
    pub(crate) seed: u64,
    pub(crate) gateways: usize,
    pub(crate) servers: usize,
    /// The number of servers of a group; all stall when one of them ends.
    pub(crate) group: usize,
    /// The number of parts that crash servers.
    pub(crate) causes: usize,
    /// The share of requests with one of them.
    pub(crate) share: f64,
    /// What of a request crashes servers.
    pub(crate) cause: Cause,
    /// Whether a third of the servers end twice for another reason.
    pub(crate) other_ends: bool,
    /// Whether gateways restart, a few each second.
    pub(crate) restarts: bool,
}

/// What of a request crashes servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Cause {
    /// A part of its prompt.
    Part,
    /// The whole request, which comes in copies.
    Request,
    /// The same, while gateways don't tell each other of copies.
    UnsharedRequest,
}

#[derive(Debug, Clone)]
struct Request {
    gateway: usize,
    /// The number of the caller's attempt.
    attempt: u32,
    causes: Causes,
    /// What of it crashes servers, if anything does.
    cause: Option<usize>,
    arrived: u64,
}

#[derive(Debug, Clone)]
struct Run {
    request: Request,
    sent: u64,
    survived: bool,
}

#[derive(Debug, Clone)]
struct Server {
    start: u64,
    ended: Option<u64>,
    runs: Vec<Run>,
}

struct Gateway {
    table: CrashTable,
    exchanges: Vec<CrashExchange>,
    waiting: Vec<Request>,
}

struct Controller {
    epoch: u64,
    table: CrashTable,
}

/// What happened in a scenario.
#[derive(Debug, Default)]
pub(crate) struct Outcome {
    /// When servers ended under requests with each crashing part.
    crashes: HashMap<usize, Vec<u64>>,
    /// When requests with each crashing part reached servers.
    arrivals: HashMap<usize, Vec<u64>>,
    /// Sound parts that some gateway refused at the end.
    pub(crate) refused: HashSet<Fingerprint>,
    /// All sound parts that came.
    pub(crate) sound: HashSet<Fingerprint>,
    /// Whether some gateway refused the first part of a prompt at the end.
    pub(crate) first_refused: bool,
    /// Sound requests that some gateway refused.
    pub(crate) refused_requests: HashSet<Fingerprint>,
}

impl Outcome {
    /// Returns the number of sends that come too late after this number of crashes, of the cause with most of them.
    pub(crate) fn late_sends(&self, allowed: usize) -> usize {
        let late = self.crashes.iter().map(|(cause, crashes)| {
            let Some(last) = crashes.get(allowed - 1) else {
                return 0;
            };
            let arrivals = &self.arrivals[cause];
            arrivals
                .iter()
                .filter(|at| **at > last + PROPAGATION)
                .count()
        });
        late.max().unwrap_or(0)
    }

    /// Returns the largest number of outages of a group that one cause led to.
    pub(crate) fn most_outages(&self) -> usize {
        let outages = self.crashes.values().map(|crashes| {
            let gaps = crashes.windows(2).filter(|pair| pair[1] - pair[0] > STALL);
            1 + gaps.count()
        });
        outages.max().unwrap_or(0)
    }

    pub(crate) fn most_crashes(&self) -> usize {
        self.crashes.values().map(Vec::len).max().unwrap_or(0)
    }
}

pub(crate) struct Fleet {
    scenario: Scenario,
    random: Random,
    now: u64,
    servers: Vec<Server>,
    gateways: Vec<Gateway>,
    controllers: Vec<Controller>,
    /// Until when each group is out, and when its streams break off.
    out: Vec<(u64, u64)>,
    numbers: u32,
    outcome: Outcome,
}

fn part(name: &str) -> Fingerprint {
    let service = ServiceId::new("lector").unwrap();
    Fingerprint::for_part(&service, &PartId::new(name).unwrap())
}

fn moment(millis: u64) -> Moment {
    Moment::from_millis(millis + 1_000_000)
}

impl Fleet {
    pub(crate) fn new(scenario: Scenario) -> Self {
        let controllers = (0..3).map(|n| Controller {
            epoch: n + 1,
            table: CrashTable::new(),
        });
        let server = Server {
            start: 1,
            ended: None,
            runs: Vec::new(),
        };
        Self {
            scenario,
            random: Random(scenario.seed),
            now: 0,
            servers: vec![server; scenario.servers],
            gateways: (0..scenario.gateways).map(|_| Self::gateway()).collect(),
            controllers: controllers.collect(),
            out: vec![(0, 0); scenario.servers.div_ceil(scenario.group)],
            numbers: 0,
            outcome: Outcome::default(),
        }
    }

    fn gateway() -> Gateway {
        Gateway {
            table: CrashTable::new(),
            exchanges: vec![CrashExchange::default(); 3],
            waiting: Vec::new(),
        }
    }

    /// Draws a request: its first part is one of few, and its second one of many, a few of which are in most requests.
    fn draw(&mut self) -> Request {
        self.numbers += 1;
        let first = part(&format!("first{}", self.random.below(3)));
        let subjects = 12 * self.scenario.servers;
        // New subjects come all the time.
        let newest = subjects + self.now as usize / 500;
        let rank = (self.random.share().powi(3) * subjects as f64) as usize;
        let subject = part(&format!("subject{}", newest - rank));
        let active = self.now >= BEGIN;
        let cause = active && self.random.share() < self.scenario.share;
        let cause = cause.then(|| self.random.below(self.scenario.causes));
        let mut parts = vec![first, subject];
        let mut body = self.numbers.to_string();
        let whole = self.scenario.cause != Cause::Part;
        match cause {
            Some(cause) if whole => body = format!("dead{cause}"),
            Some(cause) => parts.insert(1, part(&format!("dead{cause}"))),
            None => {
                self.outcome.sound.insert(subject);
                if whole && self.random.below(POPULAR_SHARE) == 0 {
                    body = format!("popular{}", self.random.below(POPULAR_REQUESTS));
                }
            }
        }
        let request = Fingerprint::for_request("andes", "POST", "/x", body.as_bytes());
        Request {
            gateway: self.random.below(self.scenario.gateways),
            attempt: self.numbers,
            causes: Causes::new(request).with_parts(parts),
            cause,
            arrived: self.now,
        }
    }

    fn arrive(&mut self) {
        let mean = RATE * self.scenario.servers as f64 * STEP as f64 / 1_000.0;
        let count = mean as usize + usize::from(self.random.share() < mean.fract());
        for _ in 0..count {
            let request = self.draw();
            self.gateways[request.gateway].waiting.push(request);
        }
    }

    /// Sends what waits to servers with free slots.
    fn send(&mut self) {
        let now = self.now;
        for gateway in 0..self.gateways.len() {
            for request in std::mem::take(&mut self.gateways[gateway].waiting) {
                if now > request.arrived + PATIENCE {
                    continue;
                }
                if request.arrived > now {
                    self.gateways[gateway].waiting.push(request);
                    continue;
                }
                let table = &mut self.gateways[gateway].table;
                if self.scenario.cause == Cause::Request {
                    let attempt = AttemptHash::new(&request.attempt.to_string());
                    let arrived = moment(request.arrived);
                    table.record_copy(moment(now), &request.causes.request, attempt, arrived);
                }
                table.refresh(moment(now));
                let placed = match table.verdict_for(&request.causes) {
                    CrashVerdict::Quarantined => {
                        if request.cause.is_none() {
                            let refused = &mut self.outcome.refused_requests;
                            refused.insert(request.causes.request);
                        }
                        continue;
                    }
                    CrashVerdict::Undecided => None,
                    CrashVerdict::Suspect | CrashVerdict::Clear => self.choose(),
                };
                let Some(server) = placed else {
                    self.gateways[gateway].waiting.push(request);
                    continue;
                };
                if let Some(cause) = request.cause {
                    let arrivals = self.outcome.arrivals.entry(cause).or_default();
                    arrivals.push(now);
                }
                self.servers[server].runs.push(Run {
                    request,
                    sent: now,
                    survived: false,
                });
            }
        }
    }

    fn choose(&mut self) -> Option<usize> {
        // Ten draws find a free server unless nearly all are busy.
        for _ in 0..10 {
            let server = self.random.below(self.servers.len());
            let open = self.out[server / self.scenario.group].0 <= self.now;
            let found = &self.servers[server];
            if open && found.ended.is_none() && found.runs.len() < SLOTS {
                return Some(server);
            }
        }
        None
    }

    fn run(&mut self) {
        let now = self.now;
        for at in 0..self.servers.len() {
            let stalled = self.out[at / self.scenario.group].0 > now;
            if stalled && now >= self.out[at / self.scenario.group].1 {
                let broken = std::mem::take(&mut self.servers[at].runs);
                self.retry(broken);
            }
            let mut crashed = false;
            for number in 0..self.servers[at].runs.len() {
                let run = &mut self.servers[at].runs[number];
                let begun = run.sent + READING;
                if run.request.cause.is_some() && now >= begun && !stalled {
                    crashed = true;
                }
                if run.request.cause.is_none() && !run.survived && now >= begun + SURVIVAL {
                    run.survived = true;
                    let request = run.request.clone();
                    let table = &mut self.gateways[request.gateway].table;
                    table.record_survival(moment(now), &request.causes, moment(begun));
                }
            }
            if crashed {
                self.end(at);
            } else {
                let runs = &mut self.servers[at].runs;
                let (done, running) = std::mem::take(runs)
                    .into_iter()
                    .partition(|run| now >= run.sent + READING + ANSWER);
                *runs = running;
                self.complete(done);
            }
        }
    }

    fn complete(&mut self, done: Vec<Run>) {
        if self.scenario.cause == Cause::Part {
            return;
        }
        for Run { request, .. } in done {
            let table = &mut self.gateways[request.gateway].table;
            table.record_completion(moment(self.now), request.causes.request);
        }
    }

    /// Gateways send requests again that had not begun, and callers whose answers broke off try again at some gateway.
    fn retry(&mut self, broken: Vec<Run>) {
        if self.scenario.cause == Cause::Part {
            return;
        }
        for Run { request, sent, .. } in broken {
            if self.now < sent + READING + STALL {
                self.gateways[request.gateway].waiting.push(request);
                continue;
            }
            self.numbers += 1;
            let gateway = self.random.below(self.scenario.gateways);
            self.gateways[gateway].waiting.push(Request {
                gateway,
                attempt: self.numbers,
                arrived: self.now + CALLER_PAUSE,
                ..request
            });
        }
    }

    /// A server ends, and its group stalls.
    fn end(&mut self, at: usize) {
        let now = self.now;
        let server = &mut self.servers[at];
        if server.ended.is_some() {
            return;
        }
        server.ended = Some(now);
        let (start, runs) = (server.start, std::mem::take(&mut server.runs));
        let id = ServerId::new(format!("i-{at}")).unwrap();
        let crashing = runs.iter().filter(|r| now >= r.sent + READING);
        let causes: HashSet<usize> = crashing.filter_map(|r| r.request.cause).collect();
        for cause in causes {
            self.outcome.crashes.entry(cause).or_default().push(now);
        }
        for run in &runs {
            let ended = EndedRun {
                start: Incarnation(start),
                attempt: AttemptHash::new(&run.request.attempt.to_string()),
                arrived: match self.scenario.cause {
                    Cause::UnsharedRequest => moment(now),
                    Cause::Part | Cause::Request => moment(run.request.arrived),
                },
                sent: moment(run.sent),
                ended: moment(now),
                went_on: run.survived,
            };
            let table = &mut self.gateways[run.request.gateway].table;
            table.record_end(moment(now), &run.request.causes, &id, ended);
        }
        self.retry(runs);
        self.out[at / self.scenario.group] = (now + OUTAGE, now + STALL);
    }

    fn restart_servers(&mut self) {
        for server in &mut self.servers {
            if server.ended.is_some_and(|at| self.now >= at + OUTAGE) {
                server.ended = None;
                server.start += 1;
            }
        }
    }

    fn poll(&mut self) {
        let now = moment(self.now);
        let wait = (20 * self.scenario.gateways as u64 / 9).clamp(50, 500);
        for number in 0..self.gateways.len() {
            for at in 0..self.controllers.len() {
                let interval = if at == 0 { wait } else { 1_000 };
                let due = (self.now / STEP + number as u64).is_multiple_of(interval / STEP);
                let Gateway {
                    table, exchanges, ..
                } = &mut self.gateways[number];
                let Controller {
                    epoch,
                    table: theirs,
                } = &mut self.controllers[at];
                let exchange = &mut exchanges[at];
                let poll = due.then(|| exchange.next_poll(now, table)).flatten();
                if !due
                    && !has_crash_update(*epoch, theirs, exchange.next_poll(now, table).as_ref())
                {
                    continue;
                }
                for record in poll.iter().flat_map(|update| &update.records) {
                    theirs.merge(now, record.clone());
                }
                let answer = answer_crash_poll(now, *epoch, theirs, poll.as_ref());
                exchange.handle_answer(now, *epoch, table, answer);
            }
        }
    }

    fn apply_faults(&mut self) {
        let now = self.now;
        if self.scenario.other_ends && [12_000, 21_000].contains(&now) {
            for _ in 0..self.servers.len() / 3 {
                let server = self.random.below(self.servers.len());
                self.end(server);
            }
        }
        if self.scenario.restarts && now.is_multiple_of(1_000) {
            for _ in 0..self.gateways.len().div_ceil(9) {
                let gateway = self.random.below(self.gateways.len());
                self.gateways[gateway] = Self::gateway();
            }
        }
    }

    /// Plays the scenario to its end.
    pub(crate) fn play(mut self) -> Outcome {
        while self.now < END {
            self.apply_faults();
            self.arrive();
            self.restart_servers();
            self.send();
            self.run();
            self.poll();
            self.now += STEP;
        }
        let first: Vec<Fingerprint> = (0..3).map(|n| part(&format!("first{n}"))).collect();
        for gateway in &self.gateways {
            let quarantined: HashSet<_> = gateway.table.quarantined().copied().collect();
            self.outcome.first_refused |= first.iter().any(|p| quarantined.contains(p));
            let sound = quarantined.intersection(&self.outcome.sound);
            self.outcome.refused.extend(sound.copied());
        }
        self.outcome
    }
}
