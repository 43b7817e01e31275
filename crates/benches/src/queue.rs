//! A small fake of servers that batch continuously, under a virtual clock.
//!
//! It holds no more than the routing bench needs: each server runs a batch in steps, the step's
//! time grows with the batch and with the prompts that it takes in, and requests over its slots
//! wait. Entries are whatever implements [`Entry`].

use std::collections::{BinaryHeap, VecDeque};

use snipemast_core::prelude::*;
use snipemast_routing::hash::{index_below, mix};
use snipemast_routing::Summary;

/// Microseconds of virtual time.
pub type Micros = u64;

/// One request of a caller.
#[derive(Debug, Clone, Copy)]
pub struct Job {
    /// Its number.
    pub id: usize,
    /// The entry that takes it.
    pub entry: usize,
    /// Who pays.
    pub workspace: usize,
    /// The prefix of its prompt.
    pub prefix: u64,
    /// The tokens that it generates.
    pub tokens: u32,
    /// When its caller sent it.
    pub arrived: Micros,
    /// When its answer is of no use any more.
    pub deadline: Micros,
    /// How often its caller has sent it before.
    pub again: u32,
    /// Whether it first arrived while it was measured.
    pub counted: bool,
}

/// What an entry does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// It sends a request to a server.
    Send(usize, usize),
    /// It refuses a request; the caller comes back after this long.
    Refuse(usize, Micros),
}

/// One entry's policy, as the fake drives it.
pub trait Entry {
    /// Whether requests past their deadline are cancelled at the server.
    const CANCELS: bool;

    /// A request arrives.
    fn arrive(&mut self, now: Micros, job: &Job, out: &mut Vec<Step>);
    /// The first token of an answer arrives, with the server's load.
    fn first(&mut self, now: Micros, job: &Job, server: usize, took: Micros, load: &LoadReport);
    /// A request at a server ended, well or not.
    fn ended(&mut self, now: Micros, job: &Job, server: usize, end: &End, out: &mut Vec<Step>);
    /// A report of a server arrives.
    fn report(&mut self, now: Micros, server: usize, load: &LoadReport);
    /// Membership says that a server takes work or not.
    fn member(&mut self, now: Micros, server: usize, takes: bool);
    /// Some time has passed.
    fn tick(&mut self, now: Micros, out: &mut Vec<Step>);

    /// What it tells the others each second.
    fn summary(&mut self, _now: Micros) -> Option<Summary> {
        None
    }

    /// What another entry tells it.
    fn merge(&mut self, _now: Micros, _summary: &Summary) {}
}

/// How a request at a server ended.
#[derive(Debug, Clone, Copy)]
pub struct End {
    /// Whether it was answered in whole.
    pub whole: bool,
    /// Whether the server failed it.
    pub failed: bool,
    /// How long it was there.
    pub took: Micros,
    /// The server's load.
    pub load: LoadReport,
}

/// What happens to a server at a time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// Its steps take this many times as long; its reports say so.
    Slow(usize, f64),
    /// It makes no steps, and its reports still look well.
    Stall(usize),
    /// It is gone with all its work.
    Down(usize),
    /// It is back, with a cold cache.
    Up(usize),
    /// It says that it takes no more work.
    Drain(usize),
}

/// One experiment.
#[derive(Debug, Clone)]
pub struct Setup {
    /// The entries.
    pub entries: usize,
    /// The servers.
    pub servers: usize,
    /// Requests that a server runs at once.
    pub slots: u32,
    /// A step's time without a request, in microseconds.
    pub base: f64,
    /// What each request adds to a step.
    pub each: f64,
    /// What a prompt that is not cached adds to a step.
    pub prompt: f64,
    /// The mean of the tokens of a request.
    pub tokens: f64,
    /// Requests a second, and when that changes.
    pub rates: Vec<(Micros, f64)>,
    /// How old reports are when they arrive.
    pub lag: Micros,
    /// How often reports are made.
    pub pace: Micros,
    /// The time a request gets.
    pub deadline: Micros,
    /// How often a caller sends again what was late or refused.
    pub again: u32,
    /// The demand of each workspace, relative to the others.
    pub workspaces: Vec<f64>,
    /// The distinct prefixes.
    pub prefixes: usize,
    /// Faults and their times.
    pub faults: Vec<(Micros, Fault)>,
    /// How long it takes.
    pub length: Micros,
    /// The time from which on it is measured.
    pub warm: Micros,
    /// The seed of everything random.
    pub seed: u64,
}

/// What an experiment gave.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    /// Waits for a slot, from arrival at the entry, in microseconds.
    pub waits: Vec<Micros>,
    /// Times to the first token.
    pub firsts: Vec<Micros>,
    /// Mean times between tokens.
    pub betweens: Vec<Micros>,
    /// Times to the whole answer, by workspace.
    pub wholes: Vec<Vec<Micros>>,
    /// Tokens of answers in time, a second of virtual time each.
    pub good: Vec<f64>,
    /// Requests that arrived for the first time.
    pub asked: u64,
    /// ... and were answered in time.
    pub met: u64,
    /// Requests that entries sent to a server a second time.
    pub resent: u64,
    /// Prompts found in a cache.
    pub hits: u64,
    /// Tokens asked for and given in time, by workspace.
    pub shares: Vec<(f64, f64)>,
    /// Requests started at each server.
    pub started: Vec<u64>,
    /// Requests sent to each server in each tenth of a second.
    pub sends: Vec<Vec<u32>>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Return(usize),
    StepEnd(usize, u32),
    Deadline(usize),
    Measure,
    Deliver,
    Fault(usize),
    Member(usize, bool),
    Tick,
    Tell,
    Hear,
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
    /// Counts its lives, so that a step of an earlier one does not count.
    life: u32,
    step: Micros,
}

/// Prefixes that a server's cache holds.
const CACHE: usize = 32;
/// How long membership takes to notice a server that died.
const NOTICE: Micros = 1_500_000;
/// How long a server's own word takes to arrive.
const WORD: Micros = 200_000;
/// How often entries tell each other their demands.
const TELL: Micros = 1_000_000;
/// How often entries get to look around.
const TICK: Micros = 20_000;

/// Runs an experiment.
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
    /// Where a job is, or that it is done.
    places: Vec<Option<usize>>,
    done: Vec<bool>,
    events: BinaryHeap<std::cmp::Reverse<(Micros, u64, Event)>>,
    count: u64,
    draws: u64,
    reports: VecDeque<Vec<LoadReport>>,
    told: VecDeque<Vec<Summary>>,
    cumulated: Vec<f64>,
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
        let cumulated = setup.workspaces.iter().map(|w| {
            sum += w;
            sum
        });
        let seconds = (setup.length / 1_000_000 + 1) as usize;
        let outcome = Outcome {
            good: vec![0.0; seconds],
            shares: vec![(0.0, 0.0); setup.workspaces.len()],
            wholes: vec![Vec::new(); setup.workspaces.len()],
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
            told: VecDeque::new(),
            cumulated: cumulated.collect(),
            out: Vec::new(),
            outcome,
        }
    }

    fn run(&mut self) {
        self.at(0, Event::Arrive);
        self.at(0, Event::Measure);
        self.at(0, Event::Tick);
        self.at(0, Event::Tell);
        for n in 0..self.setup.faults.len() {
            self.at(self.setup.faults[n].0, Event::Fault(n));
        }
        while let Some(std::cmp::Reverse((now, _, event))) = self.events.pop() {
            if now >= self.setup.length {
                break;
            }
            self.handle(now, event);
        }
    }

    fn at(&mut self, time: Micros, event: Event) {
        self.count += 1;
        self.events
            .push(std::cmp::Reverse((time, self.count, event)));
    }

    fn handle(&mut self, now: Micros, event: Event) {
        match event {
            Event::Arrive => self.arrive(now),
            Event::Return(job) => self.offer(now, job),
            Event::StepEnd(server, life) => self.step_end(now, server, life),
            Event::Deadline(job) => self.late(now, job),
            Event::Measure => self.measure(now),
            Event::Deliver => self.deliver(now),
            Event::Fault(n) => self.fault(now, self.setup.faults[n].1),
            Event::Member(server, takes) => {
                for entry in &mut self.entries {
                    entry.member(now, server, takes);
                }
            }
            Event::Tick => self.tick(now),
            Event::Tell => self.tell(now),
            Event::Hear => self.hear(now),
        }
    }

    fn draw(&mut self) -> u64 {
        self.draws = self.draws.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix(self.draws)
    }

    fn unit(&mut self) -> f64 {
        ((self.draw() >> 11) as f64 + 0.5) / (1u64 << 53) as f64
    }

    fn arrive(&mut self, now: Micros) {
        let rates = &self.setup.rates;
        let rate = rates
            .iter()
            .rfind(|(from, _)| *from <= now)
            .map_or(1.0, |r| r.1);
        let gap = -self.unit().ln() / rate.max(1e-9) * 1e6;
        self.at(now + gap as Micros + 1, Event::Arrive);
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
        let total = self.cumulated.last().copied().unwrap_or(1.0);
        let point = self.unit() * total;
        let workspace = self
            .cumulated
            .partition_point(|c| *c < point)
            .min(self.cumulated.len() - 1);
        // Log-normal lengths: most answers are short and some are long.
        let (a, b) = (self.unit(), self.unit());
        let normal = (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos();
        let spread: f64 = 0.7;
        let tokens = setup.tokens * (spread * normal - spread * spread / 2.0).exp();
        // The square skews prefixes towards a few.
        let skewed = self.unit() * self.unit();
        let prefix = (skewed * setup.prefixes as f64) as u64;
        Job {
            id: 0,
            entry: index_below(self.draw(), setup.entries),
            workspace,
            prefix: mix(prefix),
            tokens: (tokens as u32).clamp(1, 4_000),
            arrived: now,
            deadline: now + setup.deadline,
            again: 0,
            counted: now >= setup.warm && now + setup.deadline < setup.length,
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
        self.at(job.deadline, Event::Deadline(id));
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
                    self.come_back(now, job, after);
                }
            }
        }
        self.out = steps;
    }

    /// The caller of a request that was late, lost or refused sends it again, a few times.
    fn come_back(&mut self, now: Micros, id: usize, after: Micros) {
        let old = self.jobs[id];
        if old.again >= self.setup.again {
            return;
        }
        let at = now + after.max(1_000);
        let job = Job {
            arrived: at,
            deadline: at + self.setup.deadline,
            again: old.again + 1,
            ..old
        };
        let id = self.add(job);
        self.at(at, Event::Return(id));
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
            if now >= setup.warm {
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
        // Reports give the mean of the last steps.
        server.step = (server.step * 7 + step) / 8;
        server.stepping = true;
        let (end, life) = (now + step, server.life);
        self.at(end, Event::StepEnd(at, life));
    }

    fn step_end(&mut self, now: Micros, at: usize, life: u32) {
        if self.servers[at].life != life || self.servers[at].stalled {
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
                if now >= self.setup.warm {
                    self.outcome.firsts.push(now - job.arrived);
                }
            }
            if run.left == 0 {
                self.servers[at].running.swap_remove(n);
                self.end(now, run.job, at, true, false, run.sent);
                self.count_whole(now, &job, &run);
            } else {
                n += 1;
            }
        }
        self.step_begin(now, at);
    }

    fn count_whole(&mut self, now: Micros, job: &Job, run: &Run) {
        if now <= job.deadline {
            self.outcome.good[(now / 1_000_000) as usize] += f64::from(job.tokens);
        }
        if now < self.setup.warm {
            return;
        }
        self.outcome
            .betweens
            .push((now - run.begun) / Micros::from(job.tokens.max(1)));
        self.outcome.wholes[job.workspace].push(now - job.arrived);
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
        let again = |s: &Step| matches!(s, Step::Send(job, _) if *job == id);
        if whole {
            self.done[id] = true;
        } else if failed && self.out.iter().any(again) {
            self.outcome.resent += 1;
        } else if failed && !self.done[id] {
            // The caller sees a failure, and sends again.
            self.done[id] = true;
            self.come_back(now, id, 0);
        }
        self.carry_out(now);
    }

    fn late(&mut self, now: Micros, id: usize) {
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
        self.come_back(now, id, 0);
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

    fn measure(&mut self, now: Micros) {
        let reports = (0..self.servers.len()).map(|at| self.load(at)).collect();
        self.reports.push_back(reports);
        self.at(now + self.setup.lag, Event::Deliver);
        self.at(now + self.setup.pace, Event::Measure);
    }

    fn deliver(&mut self, now: Micros) {
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
        self.at(now + TICK, Event::Tick);
        for n in 0..self.entries.len() {
            self.entries[n].tick(now, &mut self.out);
            self.carry_out(now);
        }
    }

    fn tell(&mut self, now: Micros) {
        let told: Vec<_> = self
            .entries
            .iter_mut()
            .filter_map(|e| e.summary(now))
            .collect();
        self.told.push_back(told);
        self.at(now + self.setup.lag, Event::Hear);
        self.at(now + TELL, Event::Tell);
    }

    fn hear(&mut self, now: Micros) {
        let Some(told) = self.told.pop_front() else {
            return;
        };
        for entry in &mut self.entries {
            for summary in &told {
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
                self.at(now + NOTICE, Event::Member(at, false));
            }
            Fault::Up(at) => {
                self.servers[at].down = false;
                self.at(now + WORD, Event::Member(at, true));
            }
            Fault::Drain(at) => self.at(now + WORD, Event::Member(at, false)),
        }
    }

    fn down(&mut self, now: Micros, at: usize) {
        let slow = self.servers[at].slow;
        let life = self.servers[at].life + 1;
        let step = self.setup.base as Micros;
        let fresh = Server {
            slow,
            life,
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
    } else if cache.len() == CACHE {
        cache.pop_front();
    }
    cache.push_back(prefix);
    found.is_some()
}
