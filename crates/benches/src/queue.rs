//! A simulator of servers with continuous batching, under a virtual clock.
//!
//! It models only what the routing bench needs: each server runs a batch in steps, a step takes
//! longer the more requests are in the batch and the more prompts join it, and requests beyond the
//! server's slots wait. The policy of an entry implements [`Entry`].

use std::collections::{BinaryHeap, VecDeque};

use snipemast_core::prelude::*;
use snipemast_routing::hash::{index_below, mix};
use snipemast_routing::Summary;

/// Microseconds of virtual time.
pub type Micros = u64;

/// One request of a caller.
#[derive(Debug, Clone, Copy)]
pub struct Job {
    /// The request's number.
    pub id: usize,
    /// The entry that receives the request.
    pub entry: usize,
    /// The workspace that the request counts for.
    pub workspace: usize,
    /// The hash of the prompt's prefix.
    pub prefix: u64,
    /// Number of tokens of the answer.
    pub tokens: u32,
    /// When the caller sent the request.
    pub arrived: Micros,
    /// When the answer becomes useless to the caller.
    pub deadline: Micros,
    /// How often the caller has sent the request before.
    pub retries: u32,
    /// Whether the request first arrived within the measured time.
    pub counted: bool,
}

/// What an entry does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Sends a request to a server.
    Send(usize, usize),
    /// Refuses a request; the caller retries after the given time.
    Refuse(usize, Micros),
}

/// The policy of one entry, driven by the simulator.
pub trait Entry {
    /// Whether requests past their deadline are cancelled at the server.
    const CANCELS: bool;

    /// Handles the arrival of a request.
    fn arrive(&mut self, now: Micros, job: &Job, out: &mut Vec<Step>);
    /// Handles the first token of an answer, which carries the server's load.
    fn first(&mut self, now: Micros, job: &Job, server: usize, took: Micros, load: &LoadReport);
    /// Handles the end of a request at a server, whether it succeeded or not.
    fn ended(&mut self, now: Micros, job: &Job, server: usize, end: &End, out: &mut Vec<Step>);
    /// Handles a server's load report.
    fn report(&mut self, now: Micros, server: usize, load: &LoadReport);
    /// Handles news from membership of whether a server accepts work.
    fn member(&mut self, now: Micros, server: usize, takes: bool);
    /// Runs periodic work.
    fn tick(&mut self, now: Micros, out: &mut Vec<Step>);

    /// Returns the demand summary for the other entries, once a second.
    fn summary(&mut self, _now: Micros) -> Option<Summary> {
        None
    }

    /// Handles the demand summary of another entry.
    fn merge(&mut self, _now: Micros, _summary: &Summary) {}
}

/// How a request at a server ended.
#[derive(Debug, Clone, Copy)]
pub struct End {
    /// Whether the answer was complete.
    pub whole: bool,
    /// Whether the request failed because of the server.
    pub failed: bool,
    /// How long the request was at the server.
    pub took: Micros,
    /// The server's load.
    pub load: LoadReport,
}

/// A fault or a planned change of a server, given by its number.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// Steps take the given number of times as long, and load reports show it.
    Slow(usize, f64),
    /// The server runs no steps, but its load reports look healthy.
    Stall(usize),
    /// The server dies and loses all its work.
    Down(usize),
    /// The server is back, with an empty cache.
    Up(usize),
    /// The server announces that it is draining.
    Drain(usize),
}

/// The parameters of one simulation.
#[derive(Debug, Clone)]
pub struct Setup {
    /// Number of entries.
    pub entries: usize,
    /// Number of servers.
    pub servers: usize,
    /// Requests that a server runs at once.
    pub slots: u32,
    /// Duration of a step without requests, in microseconds.
    pub base: f64,
    /// Time that each running request adds to a step, in microseconds.
    pub each: f64,
    /// Time that a prompt without a cached prefix adds to a step, in microseconds.
    pub prompt: f64,
    /// Mean number of tokens of an answer.
    pub tokens: f64,
    /// Requests a second, each with the time from which it applies.
    pub rates: Vec<(Micros, f64)>,
    /// Age of load reports and summaries on arrival.
    pub lag: Micros,
    /// Interval between load reports.
    pub report_interval: Micros,
    /// Time from a request's arrival to its deadline.
    pub deadline: Micros,
    /// How often a caller retries a request that was late, lost or refused.
    pub retries: u32,
    /// Relative demand of each workspace.
    pub workspaces: Vec<f64>,
    /// Number of distinct prefixes.
    pub prefixes: usize,
    /// Times of faults.
    pub faults: Vec<(Micros, Fault)>,
    /// Simulated time.
    pub length: Micros,
    /// Warm-up time, after which measuring begins.
    pub warmup: Micros,
    /// Seed of all random draws.
    pub seed: u64,
}

/// The result of a simulation.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    /// Times from arrival at the entry to a slot, in microseconds.
    pub waits: Vec<Micros>,
    /// Times from arrival to the first token.
    pub first_token_times: Vec<Micros>,
    /// Mean time between tokens, for each answer.
    pub token_gaps: Vec<Micros>,
    /// Times from arrival to the complete answer, by workspace.
    pub answer_times: Vec<Vec<Micros>>,
    /// Tokens of answers within their deadlines, for each second of virtual time.
    pub good_tokens: Vec<f64>,
    /// Requests, counted at their first arrival.
    pub asked: u64,
    /// Counted requests that were answered within their deadlines.
    pub met: u64,
    /// Requests that entries sent to a server a second time.
    pub resent: u64,
    /// Prompts whose prefix was in the server's cache.
    pub hits: u64,
    /// Tokens requested, and tokens delivered within deadlines, by workspace.
    pub shares: Vec<(f64, f64)>,
    /// Requests started at each server.
    pub started: Vec<u64>,
    /// Requests sent to each server in each tenth of a second.
    pub sends: Vec<Vec<u32>>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Retry(usize),
    StepEnd(usize, u32),
    Deadline(usize),
    MakeReports,
    DeliverReports,
    Fault(usize),
    Member(usize, bool),
    Tick,
    SendSummaries,
    DeliverSummaries,
}

#[derive(Debug, Clone, Copy)]
struct Run {
    job: usize,
    left: u32,
    sent: Micros,
    begun: Micros,
    first: bool,
}

#[derive(Debug, Default)]
struct Server {
    running: Vec<Run>,
    waiting: VecDeque<Run>,
    cache: VecDeque<u64>,
    stepping: bool,
    down: bool,
    stalled: bool,
    slow: f64,
    /// Counts restarts, so that the end of a step from before a restart is ignored.
    start: u32,
    step: Micros,
}

/// Number of prefixes in a server's cache.
const CACHE_SIZE: usize = 32;
/// Time in which membership detects a dead server.
const DETECTION_DELAY: Micros = 1_500_000;
/// Time until entries know a server's own announcement.
const ANNOUNCE_DELAY: Micros = 200_000;
/// Interval at which entries send each other demand summaries.
const SUMMARY_INTERVAL: Micros = 1_000_000;
/// Interval of the entries' periodic work.
const TICK_INTERVAL: Micros = 20_000;

/// Runs a simulation.
pub fn run<E: Entry>(setup: &Setup, entries: Vec<E>) -> Outcome {
    let mut world = World::new(setup, entries);
    world.run();
    world.outcome
}

struct World<'a, E> {
    setup: &'a Setup,
    entries: Vec<E>,
    servers: Vec<Server>,
    jobs: Vec<Job>,
    /// The server that each job is at, if any.
    places: Vec<Option<usize>>,
    done: Vec<bool>,
    events: BinaryHeap<std::cmp::Reverse<(Micros, u64, Event)>>,
    count: u64,
    draws: u64,
    reports: VecDeque<Vec<LoadReport>>,
    summaries: VecDeque<Vec<Summary>>,
    cumulative_demand: Vec<f64>,
    out: Vec<Step>,
    outcome: Outcome,
}

impl<'a, E: Entry> World<'a, E> {
    fn new(setup: &'a Setup, entries: Vec<E>) -> Self {
        let server = || Server {
            slow: 1.0,
            step: setup.base as Micros,
            ..Server::default()
        };
        let mut sum = 0.0;
        let cumulative_demand = setup.workspaces.iter().map(|w| {
            sum += w;
            sum
        });
        let seconds = (setup.length / 1_000_000 + 1) as usize;
        let outcome = Outcome {
            good_tokens: vec![0.0; seconds],
            shares: vec![(0.0, 0.0); setup.workspaces.len()],
            answer_times: vec![Vec::new(); setup.workspaces.len()],
            started: vec![0; setup.servers],
            sends: vec![vec![0; setup.servers]; seconds * 10],
            ..Outcome::default()
        };
        Self {
            setup,
            entries,
            servers: (0..setup.servers).map(|_| server()).collect(),
            jobs: Vec::new(),
            places: Vec::new(),
            done: Vec::new(),
            events: BinaryHeap::new(),
            count: 0,
            draws: setup.seed,
            reports: VecDeque::new(),
            summaries: VecDeque::new(),
            cumulative_demand: cumulative_demand.collect(),
            out: Vec::new(),
            outcome,
        }
    }

    fn run(&mut self) {
        self.schedule(0, Event::Arrive);
        self.schedule(0, Event::MakeReports);
        self.schedule(0, Event::Tick);
        self.schedule(0, Event::SendSummaries);
        for n in 0..self.setup.faults.len() {
            self.schedule(self.setup.faults[n].0, Event::Fault(n));
        }
        while let Some(std::cmp::Reverse((now, _, event))) = self.events.pop() {
            if now >= self.setup.length {
                break;
            }
            self.handle(now, event);
        }
    }

    fn schedule(&mut self, time: Micros, event: Event) {
        self.count += 1;
        self.events
            .push(std::cmp::Reverse((time, self.count, event)));
    }

    fn handle(&mut self, now: Micros, event: Event) {
        match event {
            Event::Arrive => self.arrive(now),
            Event::Retry(job) => self.offer(now, job),
            Event::StepEnd(server, start) => self.step_end(now, server, start),
            Event::Deadline(job) => self.handle_deadline(now, job),
            Event::MakeReports => self.make_reports(now),
            Event::DeliverReports => self.deliver_reports(now),
            Event::Fault(n) => self.fault(now, self.setup.faults[n].1),
            Event::Member(server, takes) => {
                for entry in &mut self.entries {
                    entry.member(now, server, takes);
                }
            }
            Event::Tick => self.tick(now),
            Event::SendSummaries => self.send_summaries(now),
            Event::DeliverSummaries => self.deliver_summaries(now),
        }
    }

    fn draw(&mut self) -> u64 {
        self.draws = self.draws.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix(self.draws)
    }

    fn next_fraction(&mut self) -> f64 {
        ((self.draw() >> 11) as f64 + 0.5) / (1u64 << 53) as f64
    }

    fn arrive(&mut self, now: Micros) {
        let rates = &self.setup.rates;
        let rate = rates
            .iter()
            .rfind(|(from, _)| *from <= now)
            .map_or(1.0, |r| r.1);
        let gap = -self.next_fraction().ln() / rate.max(1e-9) * 1e6;
        self.schedule(now + gap as Micros + 1, Event::Arrive);
        let job = self.new_job(now);
        let (workspace, tokens) = (job.workspace, job.tokens);
        let id = self.add(job);
        if job.counted {
            self.outcome.asked += 1;
            self.outcome.shares[workspace].0 += f64::from(tokens);
        }
        self.offer(now, id);
    }

    fn new_job(&mut self, now: Micros) -> Job {
        let setup = self.setup;
        let total = self.cumulative_demand.last().copied().unwrap_or(1.0);
        let point = self.next_fraction() * total;
        let workspace = self
            .cumulative_demand
            .partition_point(|c| *c < point)
            .min(self.cumulative_demand.len() - 1);
        // Log-normal lengths: most answers are short and some are long.
        let (a, b) = (self.next_fraction(), self.next_fraction());
        let normal = (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos();
        let spread: f64 = 0.7;
        let tokens = setup.tokens * (spread * normal - spread * spread / 2.0).exp();
        // The product of two draws makes a few prefixes popular.
        let skewed = self.next_fraction() * self.next_fraction();
        let prefix = (skewed * setup.prefixes as f64) as u64;
        Job {
            id: 0,
            entry: index_below(self.draw(), setup.entries),
            workspace,
            prefix: mix(prefix),
            tokens: (tokens as u32).clamp(1, 4_000),
            arrived: now,
            deadline: now + setup.deadline,
            retries: 0,
            counted: now >= setup.warmup && now + setup.deadline < setup.length,
        }
    }

    fn add(&mut self, job: Job) -> usize {
        let id = self.jobs.len();
        self.jobs.push(Job { id, ..job });
        self.places.push(None);
        self.done.push(false);
        id
    }

    fn offer(&mut self, now: Micros, id: usize) {
        let job = self.jobs[id];
        self.schedule(job.deadline, Event::Deadline(id));
        self.entries[job.entry].arrive(now, &job, &mut self.out);
        self.carry_out(now);
    }

    fn carry_out(&mut self, now: Micros) {
        let mut steps = std::mem::take(&mut self.out);
        for step in steps.drain(..) {
            match step {
                Step::Send(job, server) => self.send(now, job, server),
                Step::Refuse(job, after) => {
                    self.done[job] = true;
                    self.schedule_retry(now, job, after);
                }
            }
        }
        self.out = steps;
    }

    /// Schedules the caller's retry of a late, lost or refused request, unless its retries are used up.
    fn schedule_retry(&mut self, now: Micros, id: usize, after: Micros) {
        let old = self.jobs[id];
        if old.retries >= self.setup.retries {
            return;
        }
        let at = now + after.max(1_000);
        let job = Job {
            arrived: at,
            deadline: at + self.setup.deadline,
            retries: old.retries + 1,
            ..old
        };
        let id = self.add(job);
        self.schedule(at, Event::Retry(id));
    }

    fn send(&mut self, now: Micros, id: usize, server: usize) {
        self.outcome.sends[(now / 100_000) as usize][server] += 1;
        self.places[id] = Some(server);
        if self.servers[server].down {
            self.end(now, id, server, false, true, now);
            return;
        }
        let left = self.jobs[id].tokens;
        let run = Run {
            job: id,
            left,
            sent: now,
            begun: now,
            first: true,
        };
        self.servers[server].waiting.push_back(run);
        self.step_begin(now, server);
    }

    fn step_begin(&mut self, now: Micros, at: usize) {
        let setup = self.setup;
        let server = &mut self.servers[at];
        if server.stepping || server.down || server.stalled {
            return;
        }
        let mut time = setup.base;
        while (server.running.len() as u32) < setup.slots {
            let Some(mut run) = server.waiting.pop_front() else {
                break;
            };
            run.begun = now;
            let job = self.jobs[run.job];
            let hit = cached(&mut server.cache, job.prefix);
            time += setup.prompt * if hit { 0.1 } else { 1.0 };
            if now >= setup.warmup {
                self.outcome.hits += u64::from(hit);
                self.outcome.waits.push(now - job.arrived);
                self.outcome.started[at] += 1;
            }
            server.running.push(run);
        }
        if server.running.is_empty() {
            return;
        }
        time += setup.each * server.running.len() as f64;
        let step = (time * server.slow) as Micros;
        // Load reports give a moving average of step times.
        server.step = (server.step * 7 + step) / 8;
        server.stepping = true;
        let (end, start) = (now + step, server.start);
        self.schedule(end, Event::StepEnd(at, start));
    }

    fn step_end(&mut self, now: Micros, at: usize, start: u32) {
        if self.servers[at].start != start || self.servers[at].stalled {
            return;
        }
        self.servers[at].stepping = false;
        let load = self.load(at);
        let mut n = 0;
        while n < self.servers[at].running.len() {
            let run = &mut self.servers[at].running[n];
            run.left -= 1;
            let (was, run) = (*run, {
                run.first = false;
                *run
            });
            let job = self.jobs[run.job];
            if was.first {
                self.entries[job.entry].first(now, &job, at, now - run.sent, &load);
                if now >= self.setup.warmup {
                    self.outcome.first_token_times.push(now - job.arrived);
                }
            }
            if run.left == 0 {
                self.servers[at].running.swap_remove(n);
                self.end(now, run.job, at, true, false, run.sent);
                self.record_answer(now, &job, &run);
            } else {
                n += 1;
            }
        }
        self.step_begin(now, at);
    }

    fn record_answer(&mut self, now: Micros, job: &Job, run: &Run) {
        if now <= job.deadline {
            self.outcome.good_tokens[(now / 1_000_000) as usize] += f64::from(job.tokens);
        }
        if now < self.setup.warmup {
            return;
        }
        self.outcome
            .token_gaps
            .push((now - run.begun) / Micros::from(job.tokens.max(1)));
        self.outcome.answer_times[job.workspace].push(now - job.arrived);
        if now <= job.deadline {
            let tokens = f64::from(job.tokens);
            if job.counted {
                self.outcome.met += 1;
                self.outcome.shares[job.workspace].1 += tokens;
            }
        }
    }

    fn end(&mut self, now: Micros, id: usize, at: usize, whole: bool, failed: bool, sent: Micros) {
        let job = self.jobs[id];
        self.places[id] = None;
        let end = End {
            whole,
            failed,
            took: now - sent,
            load: self.load(at),
        };
        let mut out = std::mem::take(&mut self.out);
        self.entries[job.entry].ended(now, &job, at, &end, &mut out);
        self.out = out;
        let resends = |s: &Step| matches!(s, Step::Send(job, _) if *job == id);
        if whole {
            self.done[id] = true;
        } else if failed && self.out.iter().any(resends) {
            self.outcome.resent += 1;
        } else if failed && !self.done[id] {
            // The caller sees the failure and retries.
            self.done[id] = true;
            self.schedule_retry(now, id, 0);
        }
        self.carry_out(now);
    }

    fn handle_deadline(&mut self, now: Micros, id: usize) {
        if self.done[id] {
            return;
        }
        self.done[id] = true;
        if let (true, Some(at)) = (E::CANCELS, self.places[id]) {
            let server = &mut self.servers[at];
            let sent = server
                .running
                .iter()
                .chain(&server.waiting)
                .find(|r| r.job == id);
            let sent = sent.map_or(now, |r| r.sent);
            server.running.retain(|r| r.job != id);
            server.waiting.retain(|r| r.job != id);
            self.end(now, id, at, false, false, sent);
        }
        self.schedule_retry(now, id, 0);
    }

    fn load(&self, at: usize) -> LoadReport {
        let server = &self.servers[at];
        LoadReport {
            running: server.running.len() as u32,
            waiting: server.waiting.len() as u32,
            step: Span::from_micros(server.step),
            ..LoadReport::default()
        }
    }

    fn make_reports(&mut self, now: Micros) {
        let reports = (0..self.servers.len()).map(|at| self.load(at)).collect();
        self.reports.push_back(reports);
        self.schedule(now + self.setup.lag, Event::DeliverReports);
        self.schedule(now + self.setup.report_interval, Event::MakeReports);
    }

    fn deliver_reports(&mut self, now: Micros) {
        let Some(reports) = self.reports.pop_front() else {
            return;
        };
        for (at, report) in reports.iter().enumerate() {
            if self.servers[at].down {
                continue;
            }
            let report = LoadReport {
                age: Span::from_micros(self.setup.lag),
                ..*report
            };
            for entry in &mut self.entries {
                entry.report(now, at, &report);
            }
        }
    }

    fn tick(&mut self, now: Micros) {
        self.schedule(now + TICK_INTERVAL, Event::Tick);
        for n in 0..self.entries.len() {
            self.entries[n].tick(now, &mut self.out);
            self.carry_out(now);
        }
    }

    fn send_summaries(&mut self, now: Micros) {
        let summaries: Vec<_> = self
            .entries
            .iter_mut()
            .filter_map(|e| e.summary(now))
            .collect();
        self.summaries.push_back(summaries);
        self.schedule(now + self.setup.lag, Event::DeliverSummaries);
        self.schedule(now + SUMMARY_INTERVAL, Event::SendSummaries);
    }

    fn deliver_summaries(&mut self, now: Micros) {
        let Some(summaries) = self.summaries.pop_front() else {
            return;
        };
        for entry in &mut self.entries {
            for summary in &summaries {
                entry.merge(now, summary);
            }
        }
    }

    fn fault(&mut self, now: Micros, fault: Fault) {
        match fault {
            Fault::Slow(at, factor) => self.servers[at].slow = factor,
            Fault::Stall(at) => self.servers[at].stalled = true,
            Fault::Down(at) => {
                self.down(now, at);
                self.schedule(now + DETECTION_DELAY, Event::Member(at, false));
            }
            Fault::Up(at) => {
                self.servers[at].down = false;
                self.schedule(now + ANNOUNCE_DELAY, Event::Member(at, true));
            }
            Fault::Drain(at) => self.schedule(now + ANNOUNCE_DELAY, Event::Member(at, false)),
        }
    }

    fn down(&mut self, now: Micros, at: usize) {
        let slow = self.servers[at].slow;
        let start = self.servers[at].start + 1;
        let step = self.setup.base as Micros;
        let fresh = Server {
            slow,
            start,
            step,
            down: true,
            ..Server::default()
        };
        let old = std::mem::replace(&mut self.servers[at], fresh);
        for run in old.running.iter().chain(&old.waiting) {
            self.end(now, run.job, at, false, true, run.sent);
        }
    }
}

fn cached(cache: &mut VecDeque<u64>, prefix: u64) -> bool {
    let found = cache.iter().position(|p| *p == prefix);
    if let Some(at) = found {
        cache.remove(at);
    } else if cache.len() == CACHE_SIZE {
        cache.pop_front();
    }
    cache.push_back(prefix);
    found.is_some()
}
