//! An agent's side of its leases: which entries it announces itself to, and when.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use snipemast_core::prelude::*;

use crate::card::AgentCard;
use crate::message::{AgentMessage, LeaseReply, Load};
use crate::node::Token;

/// How many learnt entries an agent remembers besides its seeds.
const MAX_LEARNT: usize = 16;

/// An agent that knows fewer entries asks for others with every renewal.
const FEW: usize = 3;

/// The share of its renewals with which an agent asks for other entries besides.
const ASKED: f64 = 1.0 / 16.0;

/// Calls without answer in a row until an agent moves away from an entry.
const MAX_MISSES: u32 = 2;

/// The most misses that lengthen the pause until the next call.
const MAX_BACKOFF: u32 = 10;

/// The longest pause of an agent that finds no entry.
const MAX_PAUSE: Span = Span::from_secs(4);

/// How an agent keeps its leases.
#[derive(Debug, Clone)]
pub struct AnnounceTuning {
    /// How many entries hold a lease at once.
    pub lease_count: usize,
    /// How often each lease is renewed.
    pub renew_interval: Span,
    /// How long an entry may take to answer.
    pub timeout: Span,
    /// How long an entry that failed is not chosen again.
    pub failure_backoff: Span,
}

impl Default for AnnounceTuning {
    fn default() -> Self {
        Self {
            lease_count: 2,
            renew_interval: Span::from_secs(1),
            timeout: Span::from_millis(400),
            failure_backoff: Span::from_secs(5),
        }
    }
}

/// What an announcer is told.
#[derive(Debug, Clone)]
pub enum AnnounceInput {
    /// Time has passed; see [`Announcer::next_tick`].
    Tick,
    /// An entry answered.
    Answered(Token, LeaseReply),
    /// An entry gave no answer in time.
    TimedOut(Token),
    /// The agent refuses new dispatches from now on.
    Drain,
    /// The backend server offers something else.
    Info(Box<ServerInfo>),
    /// The backend server's load.
    Load(Load),
    /// The agent ends.
    Leave,
}

/// What an announcer wants done.
#[derive(Debug, Clone)]
pub enum AnnounceOutput {
    /// Tell an entry; answer with [`AnnounceInput::Answered`] or [`AnnounceInput::TimedOut`].
    Send {
        /// The call.
        token: Token,
        /// Which entry.
        to: SocketAddr,
        /// What to say.
        message: Box<AgentMessage>,
        /// How long the answer may take.
        timeout: Span,
    },
    /// Another process runs under the agent's name.
    Superseded {
        /// The other process.
        by: ProcessId,
        /// Where it listens.
        address: SocketAddr,
    },
}

/// One entry that holds or should hold a lease.
#[derive(Debug, Clone)]
struct Home {
    address: SocketAddr,
    enrolled: Option<u64>,
    misses: u32,
    due: Moment,
    waiting: bool,
}

/// The leases of one agent.
#[derive(Debug)]
pub struct Announcer {
    card: AgentCard,
    load: Load,
    tuning: AnnounceTuning,
    seeds: Vec<SocketAddr>,
    learnt: VecDeque<SocketAddr>,
    avoided: BTreeMap<SocketAddr, Moment>,
    homes: Vec<Home>,
    calls: BTreeMap<Token, (SocketAddr, u64)>,
    dice: StdRng,
    counter: u64,
    pause: Span,
    retry: Moment,
    ended: bool,
    out: Vec<AnnounceOutput>,
}

impl Announcer {
    /// The leases of an agent that starts now and holds none.
    pub fn new(
        now: Moment,
        card: AgentCard,
        seeds: Vec<SocketAddr>,
        tuning: AnnounceTuning,
        seed: u64,
    ) -> Self {
        let mut dice = StdRng::seed_from_u64(seed);
        let retry = now + part(tuning.renew_interval, 0.2 * dice.random::<f64>());
        Self {
            card,
            load: Load::default(),
            tuning,
            seeds,
            learnt: VecDeque::new(),
            avoided: BTreeMap::new(),
            homes: Vec::new(),
            calls: BTreeMap::new(),
            dice,
            counter: 0,
            pause: Span::default(),
            retry,
            ended: false,
            out: Vec::new(),
        }
    }

    /// Takes an input at a moment and says what to do.
    pub fn handle(&mut self, now: Moment, input: AnnounceInput) -> Vec<AnnounceOutput> {
        match input {
            AnnounceInput::Tick => self.tick(now),
            AnnounceInput::Answered(token, reply) => self.answered(now, token, reply),
            AnnounceInput::TimedOut(token) => self.missed(now, token),
            AnnounceInput::Drain => {
                self.card.draining = true;
                self.tell_news(now);
            }
            AnnounceInput::Info(info) => {
                if self.card.info != *info {
                    self.card.info = *info;
                    self.tell_news(now);
                }
            }
            AnnounceInput::Load(load) => self.load = load,
            AnnounceInput::Leave => self.leave(),
        }
        std::mem::take(&mut self.out)
    }

    /// When the next [`AnnounceInput::Tick`] is due.
    pub fn next_tick(&self) -> Moment {
        if self.ended {
            return Moment::NEVER;
        }
        let ready = self.homes.iter().filter(|h| !h.waiting).map(|h| h.due);
        let first = ready.min().unwrap_or(Moment::NEVER);
        if self.homes.len() < self.tuning.lease_count {
            first.min(self.retry)
        } else {
            first
        }
    }

    /// The agent's description of itself.
    pub fn card(&self) -> &AgentCard {
        &self.card
    }

    /// The entries that hold a lease.
    pub fn homes(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        let enrolled = self.homes.iter().filter(|h| h.enrolled.is_some());
        enrolled.map(|h| h.address)
    }

    fn tick(&mut self, now: Moment) {
        if self.ended {
            return;
        }
        if self.homes.len() < self.tuning.lease_count && now >= self.retry {
            self.find_homes(now);
        }
        for index in 0..self.homes.len() {
            if self.homes[index].due <= now && !self.homes[index].waiting {
                self.call(now, index);
            }
        }
    }

    /// Chooses entries until enough hold a lease, or waits where none is left to choose.
    ///
    /// Failure guarded against: every agent of a zone that comes back calls at the same moment,
    /// again and again. It shows as a burst that keeps the entries from coming up. The pause
    /// doubles up to a bound, and each agent waits a random part of it.
    fn find_homes(&mut self, now: Moment) {
        while self.homes.len() < self.tuning.lease_count {
            let Some(address) = self.candidate(now) else {
                self.pause = self
                    .pause
                    .times(2)
                    .max(self.tuning.renew_interval)
                    .min(MAX_PAUSE);
                let share = 0.5 + 0.5 * self.dice.random::<f64>();
                self.retry = now + part(self.pause, share);
                return;
            };
            self.homes.push(Home {
                address,
                enrolled: None,
                misses: 0,
                due: now,
                waiting: false,
            });
        }
    }

    fn candidate(&mut self, now: Moment) -> Option<SocketAddr> {
        self.avoided.retain(|_, until| *until > now);
        let known = self.learnt.iter().chain(&self.seeds).copied();
        let mut free: Vec<_> = known
            .filter(|a| !self.avoided.contains_key(a))
            .filter(|a| self.homes.iter().all(|h| h.address != *a))
            .collect();
        free.sort();
        free.dedup();
        if free.is_empty() {
            return None;
        }
        let index = self.dice.random_range(0..free.len());
        Some(free[index])
    }

    fn call(&mut self, now: Moment, index: usize) {
        let news = self.card.news;
        let ask = self.learnt.len() < FEW || self.dice.random::<f64>() < ASKED;
        let home = &mut self.homes[index];
        let message = if home.enrolled == Some(news) {
            AgentMessage::Renew {
                agent: self.card.agent.clone(),
                news,
                load: self.load,
                ask,
            }
        } else {
            AgentMessage::Enrol {
                card: Box::new(self.card.clone()),
                load: self.load,
            }
        };
        home.waiting = true;
        home.due = now
            + part(
                self.tuning.renew_interval,
                0.9 + 0.2 * self.dice.random::<f64>(),
            );
        let to = home.address;
        self.send(to, message);
    }

    fn send(&mut self, to: SocketAddr, message: AgentMessage) {
        self.counter += 1;
        let token = Token(self.counter);
        self.calls.insert(token, (to, self.card.news));
        self.out.push(AnnounceOutput::Send {
            token,
            to,
            message: Box::new(message),
            timeout: self.tuning.timeout,
        });
    }

    fn answered(&mut self, now: Moment, token: Token, reply: LeaseReply) {
        let Some((address, news)) = self.calls.remove(&token) else {
            return;
        };
        let Some(index) = self.homes.iter().position(|h| h.address == address) else {
            return;
        };
        self.homes[index].waiting = false;
        self.homes[index].misses = 0;
        match reply {
            LeaseReply::Granted {
                leaving, others, ..
            } => {
                self.learn(others);
                self.granted(now, index, news, leaving);
            }
            LeaseReply::Unknown => {
                self.homes[index].enrolled = None;
                self.homes[index].due = now;
            }
            LeaseReply::Busy { others } => {
                self.learn(others);
                self.abandon(now, index);
            }
            LeaseReply::Superseded { by, address } => {
                self.ended = true;
                self.out.push(AnnounceOutput::Superseded { by, address });
            }
        }
    }

    fn granted(&mut self, now: Moment, index: usize, news: u64, leaving: bool) {
        self.pause = Span::default();
        // The entry knows what the call said; what is newer goes out with the next one.
        self.homes[index].enrolled = Some(news);
        if leaving && self.candidate(now).is_some() {
            self.abandon(now, index);
        }
    }

    fn missed(&mut self, now: Moment, token: Token) {
        let Some((address, _)) = self.calls.remove(&token) else {
            return;
        };
        let Some(index) = self.homes.iter().position(|h| h.address == address) else {
            return;
        };
        let home = &mut self.homes[index];
        home.waiting = false;
        home.misses += 1;
        let pause = 50 * u64::from(home.misses.min(MAX_BACKOFF));
        home.due = now + part(Span::from_millis(pause), self.dice.random::<f64>());
        // An entry that gives no answer is better than none: it may be the link that is bad.
        if home.misses >= MAX_MISSES && self.candidate(now).is_some() {
            self.abandon(now, index);
        }
    }

    /// Looks for another entry in the place of this one.
    fn abandon(&mut self, now: Moment, index: usize) {
        let home = self.homes.remove(index);
        let share = 0.8 + 0.4 * self.dice.random::<f64>();
        let until = now + part(self.tuning.failure_backoff, share);
        self.avoided.insert(home.address, until);
        self.retry = now;
    }

    fn learn(&mut self, others: Vec<SocketAddr>) {
        for address in others {
            self.learnt.retain(|a| *a != address);
            self.learnt.push_back(address);
        }
        while self.learnt.len() > MAX_LEARNT {
            self.learnt.pop_front();
        }
    }

    /// Tells every entry at once, without waiting for the next renewal.
    fn tell_news(&mut self, now: Moment) {
        self.card.news += 1;
        for home in &mut self.homes {
            home.due = now;
            home.waiting = false;
        }
        self.tick(now);
    }

    fn leave(&mut self) {
        self.ended = true;
        let agent = self.card.agent.clone();
        let homes: Vec<_> = self.homes().collect();
        for home in homes {
            let agent = agent.clone();
            self.send(home, AgentMessage::Leave { agent });
        }
    }
}

fn part(span: Span, share: f64) -> Span {
    Span::from_micros((span.as_micros() as f64 * share) as u64)
}
