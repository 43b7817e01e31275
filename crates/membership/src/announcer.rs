//! The state machine of an agent, which decides at which entries it holds leases and when it renews
//! them.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use snipemast_core::prelude::*;

use crate::card::AgentCard;
use crate::message::{AgentMessage, LeaseReply, Load};
use crate::node::Token;

/// How many learned entries an agent remembers besides its seeds.
const MAX_LEARNED: usize = 16;

/// An agent that has learned of fewer entries asks for others with every renewal.
const MIN_LEARNED: usize = 3;

/// The probability with which any other renewal asks for other entries.
const ASK_PROBABILITY: f64 = 1.0 / 16.0;

/// How many calls in a row may time out before an agent leaves an entry.
const MAX_MISSES: u32 = 2;

/// How many timeouts in a row lengthen the delay before the next call.
const MAX_BACKOFF_MISSES: u32 = 10;

/// The longest delay between two attempts of an agent that finds no entry.
const MAX_RETRY_DELAY: Span = Span::from_secs(4);

/// The bounds and intervals of an agent's leases.
#[derive(Debug, Clone)]
pub struct AnnounceTuning {
    /// How many leases the agent holds at once.
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

/// An input of an announcer.
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
    /// The backend server's description changed.
    Info(Box<ServerInfo>),
    /// The backend server reported its load.
    Load(Load),
    /// The agent ends.
    Leave,
}

/// An action that an announcer requests.
#[derive(Debug, Clone)]
pub enum AnnounceOutput {
    /// Call an entry; the call ends with [`AnnounceInput::Answered`] or
    /// [`AnnounceInput::TimedOut`].
    Send {
        /// The call.
        token: Token,
        /// The address of the entry.
        to: SocketAddr,
        /// The message to send.
        message: Box<AgentMessage>,
        /// How long the answer may take.
        timeout: Span,
    },
    /// Another process runs under the agent's name.
    Superseded {
        /// The other process.
        by: ProcessId,
        /// The address at which it listens.
        address: SocketAddr,
    },
}

/// An entry that holds a lease or was chosen to hold one.
#[derive(Debug, Clone)]
struct Holder {
    address: SocketAddr,
    /// The number of the latest description that the entry knows, if it holds a lease.
    enrolled: Option<u64>,
    /// The number of calls in a row that timed out.
    misses: u32,
    /// When the next call is due.
    due: Moment,
    /// Whether a call awaits its answer.
    waiting: bool,
}

/// The leases of one agent.
#[derive(Debug)]
pub struct Announcer {
    card: AgentCard,
    load: Load,
    tuning: AnnounceTuning,
    seeds: Vec<SocketAddr>,
    /// The entries that answers have named, the latest last.
    learned: VecDeque<SocketAddr>,
    /// The entries that failed, with the moment until which they are not chosen again.
    avoided: BTreeMap<SocketAddr, Moment>,
    holders: Vec<Holder>,
    /// The calls that await answers: the entry, and the number of the description at the time.
    calls: BTreeMap<Token, (SocketAddr, u64)>,
    rng: StdRng,
    last_token: u64,
    retry_delay: Span,
    /// When entries are next chosen, if there are too few.
    retry_at: Moment,
    ended: bool,
    outputs: Vec<AnnounceOutput>,
}

impl Announcer {
    /// Creates the announcer of an agent that starts now and holds no lease.
    pub fn new(
        now: Moment,
        card: AgentCard,
        seeds: Vec<SocketAddr>,
        tuning: AnnounceTuning,
        seed: u64,
    ) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let retry_at = now + scale(tuning.renew_interval, 0.2 * rng.random::<f64>());
        Self {
            card,
            load: Load::default(),
            tuning,
            seeds,
            learned: VecDeque::new(),
            avoided: BTreeMap::new(),
            holders: Vec::new(),
            calls: BTreeMap::new(),
            rng,
            last_token: 0,
            retry_delay: Span::default(),
            retry_at,
            ended: false,
            outputs: Vec::new(),
        }
    }

    /// Handles an input at a moment; returns the actions to take.
    pub fn handle(&mut self, now: Moment, input: AnnounceInput) -> Vec<AnnounceOutput> {
        match input {
            AnnounceInput::Tick => self.tick(now),
            AnnounceInput::Answered(token, reply) => self.handle_reply(now, token, reply),
            AnnounceInput::TimedOut(token) => self.handle_timeout(now, token),
            AnnounceInput::Drain => {
                self.card.draining = true;
                self.announce_change(now);
            }
            AnnounceInput::Info(info) => {
                if self.card.info != *info {
                    self.card.info = *info;
                    self.announce_change(now);
                }
            }
            AnnounceInput::Load(load) => self.load = load,
            AnnounceInput::Leave => self.leave(),
        }
        std::mem::take(&mut self.outputs)
    }

    /// Returns when the next [`AnnounceInput::Tick`] is due.
    pub fn next_tick(&self) -> Moment {
        if self.ended {
            return Moment::NEVER;
        }
        let ready = self.holders.iter().filter(|h| !h.waiting).map(|h| h.due);
        let first = ready.min().unwrap_or(Moment::NEVER);
        if self.holders.len() < self.tuning.lease_count {
            first.min(self.retry_at)
        } else {
            first
        }
    }

    /// Returns the agent's description of itself.
    pub fn card(&self) -> &AgentCard {
        &self.card
    }

    /// Returns the entries that hold a lease.
    pub fn lease_holders(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        let enrolled = self.holders.iter().filter(|h| h.enrolled.is_some());
        enrolled.map(|h| h.address)
    }

    fn tick(&mut self, now: Moment) {
        if self.ended {
            return;
        }
        if self.holders.len() < self.tuning.lease_count && now >= self.retry_at {
            self.choose_holders(now);
        }
        for index in 0..self.holders.len() {
            if self.holders[index].due <= now && !self.holders[index].waiting {
                self.send_renewal(now, index);
            }
        }
    }

    /// Chooses entries until there are enough of them, or waits if none is left to choose.
    ///
    /// Failure guarded against: all agents of a zone that comes back call at the same moment, again
    /// and again, and the bursts keep the entries from coming up. The delay doubles up to a bound,
    /// and each agent waits for a random part of it.
    fn choose_holders(&mut self, now: Moment) {
        while self.holders.len() < self.tuning.lease_count {
            let Some(address) = self.candidate(now) else {
                self.retry_delay = self
                    .retry_delay
                    .times(2)
                    .max(self.tuning.renew_interval)
                    .min(MAX_RETRY_DELAY);
                let share = 0.5 + 0.5 * self.rng.random::<f64>();
                self.retry_at = now + scale(self.retry_delay, share);
                return;
            };
            self.holders.push(Holder {
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
        let known = self.learned.iter().chain(&self.seeds).copied();
        let mut free: Vec<_> = known
            .filter(|a| !self.avoided.contains_key(a))
            .filter(|a| self.holders.iter().all(|h| h.address != *a))
            .collect();
        free.sort();
        free.dedup();
        if free.is_empty() {
            return None;
        }
        let index = self.rng.random_range(0..free.len());
        Some(free[index])
    }

    fn send_renewal(&mut self, now: Moment, index: usize) {
        let news = self.card.news;
        let ask = self.learned.len() < MIN_LEARNED || self.rng.random::<f64>() < ASK_PROBABILITY;
        let holder = &mut self.holders[index];
        let message = if holder.enrolled == Some(news) {
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
        holder.waiting = true;
        holder.due = now
            + scale(
                self.tuning.renew_interval,
                0.9 + 0.2 * self.rng.random::<f64>(),
            );
        let to = holder.address;
        self.send(to, message);
    }

    fn send(&mut self, to: SocketAddr, message: AgentMessage) {
        self.last_token += 1;
        let token = Token(self.last_token);
        self.calls.insert(token, (to, self.card.news));
        self.outputs.push(AnnounceOutput::Send {
            token,
            to,
            message: Box::new(message),
            timeout: self.tuning.timeout,
        });
    }

    fn handle_reply(&mut self, now: Moment, token: Token, reply: LeaseReply) {
        let Some((address, news)) = self.calls.remove(&token) else {
            return;
        };
        let Some(index) = self.holders.iter().position(|h| h.address == address) else {
            return;
        };
        self.holders[index].waiting = false;
        self.holders[index].misses = 0;
        match reply {
            LeaseReply::Granted {
                leaving, others, ..
            } => {
                self.learn(others);
                self.handle_grant(now, index, news, leaving);
            }
            LeaseReply::Unknown => {
                self.holders[index].enrolled = None;
                self.holders[index].due = now;
            }
            LeaseReply::Busy { others } => {
                self.learn(others);
                self.abandon(now, index);
            }
            LeaseReply::Superseded { by, address } => {
                self.ended = true;
                self.outputs
                    .push(AnnounceOutput::Superseded { by, address });
            }
        }
    }

    fn handle_grant(&mut self, now: Moment, index: usize, news: u64, leaving: bool) {
        self.retry_delay = Span::default();
        // The entry knows the description that the call carried; a newer one goes out with the next
        // call.
        self.holders[index].enrolled = Some(news);
        if leaving && self.candidate(now).is_some() {
            self.abandon(now, index);
        }
    }

    fn handle_timeout(&mut self, now: Moment, token: Token) {
        let Some((address, _)) = self.calls.remove(&token) else {
            return;
        };
        let Some(index) = self.holders.iter().position(|h| h.address == address) else {
            return;
        };
        let holder = &mut self.holders[index];
        holder.waiting = false;
        holder.misses += 1;
        let delay = 50 * u64::from(holder.misses.min(MAX_BACKOFF_MISSES));
        holder.due = now + scale(Span::from_millis(delay), self.rng.random::<f64>());
        // An entry that doesn't answer is better than none, because the link may be the cause.
        if holder.misses >= MAX_MISSES && self.candidate(now).is_some() {
            self.abandon(now, index);
        }
    }

    /// Gives up an entry, so that another one is chosen in its place.
    fn abandon(&mut self, now: Moment, index: usize) {
        let holder = self.holders.remove(index);
        let share = 0.8 + 0.4 * self.rng.random::<f64>();
        let until = now + scale(self.tuning.failure_backoff, share);
        self.avoided.insert(holder.address, until);
        self.retry_at = now;
    }

    fn learn(&mut self, others: Vec<SocketAddr>) {
        for address in others {
            self.learned.retain(|a| *a != address);
            self.learned.push_back(address);
        }
        while self.learned.len() > MAX_LEARNED {
            self.learned.pop_front();
        }
    }

    /// Announces a changed description to all entries at once, without waiting for the next
    /// renewal.
    fn announce_change(&mut self, now: Moment) {
        self.card.news += 1;
        for holder in &mut self.holders {
            holder.due = now;
            holder.waiting = false;
        }
        self.tick(now);
    }

    fn leave(&mut self) {
        self.ended = true;
        let agent = self.card.agent.clone();
        let addresses: Vec<_> = self.lease_holders().collect();
        for address in addresses {
            let agent = agent.clone();
            self.send(address, AgentMessage::Leave { agent });
        }
    }
}

/// Returns a share of a span.
fn scale(span: Span, share: f64) -> Span {
    Span::from_micros((span.as_micros() as f64 * share) as u64)
}
