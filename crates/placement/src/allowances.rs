//! What this gateway may send to servers that name limits.
//!
//! A request is sent where the leader has granted one. A gateway that reaches no leader sends so seldom that
//! all gateways together stay at a small part of the limit, wherever a cut runs between them.

use std::collections::{HashMap, VecDeque};

use snipemast_core::hash::{fraction, mix};
use snipemast_core::prelude::*;

/// How long after the leader's last word a gateway counts as without one: two of the longest pauses between polls.
const SILENT: Span = Span::from_secs(1);

/// The part of a limit that gateways without a leader may send, all together.
const ALONE: f64 = 0.1;

/// For how long a request that found a limited server counts as demand: what is granted is of use for
/// about as long.
const FRESH: Span = Span::from_millis(500);

/// Requests that may be sent to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Granted {
    /// How many.
    pub count: u32,
    /// Whether one is to be sent as soon as there is a request.
    pub due: bool,
    /// Until when.
    pub until: Moment,
}

/// What may be sent to each server that names a limit; any number to the others.
#[derive(Debug)]
pub struct Allowances {
    servers: HashMap<ServerId, Allowance>,
    /// How many gateways there are; 0 while that isn't known.
    gateways: u32,
    /// When the leader was heard last.
    heard: Moment,
    /// Differs between gateways, so that those which lose the leader at once don't send at once.
    seed: u64,
}

#[derive(Debug)]
struct Allowance {
    rate: Rate,
    granted: VecDeque<Granted>,
    /// When the server was found to name a limit.
    known: Moment,
    /// When a request was sent there without a grant.
    alone: Option<Moment>,
    /// When requests found this server.
    asked: VecDeque<Moment>,
}

impl Allowances {
    /// No server names a limit.
    pub fn new(seed: u64) -> Self {
        Self {
            servers: HashMap::new(),
            gateways: 0,
            heard: Moment::ZERO,
            seed,
        }
    }

    /// Sets the limits that servers name; one that isn't named is over.
    pub fn set_limits(&mut self, now: Moment, limits: Vec<(ServerId, Rate)>) {
        let mut before = std::mem::take(&mut self.servers);
        for (id, rate) in limits {
            let known = before.remove(&id);
            let mut allowance = known.unwrap_or_else(|| Allowance::new(now, rate));
            // What was granted was a part of the higher limit.
            if rate < allowance.rate {
                allowance.granted.clear();
            }
            allowance.rate = rate;
            self.servers.insert(id, allowance);
        }
    }

    /// Takes note of how many gateways there are; it only ever grows, because one that is not seen may be cut off and
    /// send all the same.
    pub fn see_gateways(&mut self, count: u32) {
        self.gateways = self.gateways.max(count);
    }

    /// Takes what the leader grants to this gateway.
    pub fn set_grants(&mut self, now: Moment, grants: impl Iterator<Item = (ServerId, Granted)>) {
        self.heard = now;
        for (id, granted) in grants {
            if let Some(allowance) = self.servers.get_mut(&id) {
                allowance.granted.retain(|g| g.is_valid(now));
                allowance.granted.push_back(granted);
            }
        }
    }

    /// Whether a server names a limit.
    pub fn is_limited(&self, server: &ServerId) -> bool {
        self.servers.contains_key(server)
    }

    /// The limit that a server names.
    pub fn rate(&self, server: &ServerId) -> Option<Rate> {
        self.servers.get(server).map(|allowance| allowance.rate)
    }

    /// Whether a request may be sent to a server now.
    pub fn admits(&self, now: Moment, server: &ServerId) -> bool {
        let allowance = self.servers.get(server);
        allowance.is_none_or(|a| a.granted(now) > 0 || self.admits_alone(now, a))
    }

    /// Whether a request is to be sent to a server rather than to another one.
    pub fn is_due(&self, now: Moment, server: &ServerId) -> bool {
        let allowance = self.servers.get(server);
        allowance.is_some_and(|a| a.valid(now).any(|granted| granted.due))
    }

    /// A request is sent to a server.
    pub fn spend(&mut self, now: Moment, server: &ServerId) {
        if let Some(allowance) = self.servers.get_mut(server) {
            if !allowance.spend(now) {
                allowance.alone = Some(now);
            }
        }
    }

    /// A request found a server that names a limit.
    pub fn note_demand(&mut self, now: Moment, server: &ServerId) {
        /// The most that counts.
        const MOST: usize = 256;
        if let Some(allowance) = self.servers.get_mut(server) {
            allowance.asked.push_back(now);
            if allowance.asked.len() > MOST {
                allowance.asked.pop_front();
            }
        }
    }

    /// How many more requests this gateway would send to a server within a lease.
    pub fn demand(&mut self, now: Moment, server: &ServerId) -> u32 {
        let Some(allowance) = self.servers.get_mut(server) else {
            return 0;
        };
        while allowance.asked.front().is_some_and(|at| now >= *at + FRESH) {
            allowance.asked.pop_front();
        }
        let asked = allowance.asked.len() as u32;
        asked.saturating_sub(allowance.granted(now))
    }

    /// Whether one may be sent without a grant: the leader was not heard for long, and it is this gateway's time.
    fn admits_alone(&self, now: Moment, allowance: &Allowance) -> bool {
        if self.gateways == 0 {
            return false;
        }
        let all = allowance.rate.as_per_second() * ALONE;
        let period = f64::from(self.gateways) / all;
        let first = SILENT.as_secs_f64() + period * fraction(mix(self.seed));
        let silent = self.heard.max(allowance.known).until(now);
        let again = |last: Moment| last.until(now).as_secs_f64() >= period;
        silent.as_secs_f64() >= first && allowance.alone.is_none_or(again)
    }
}

impl Granted {
    fn is_valid(&self, now: Moment) -> bool {
        now < self.until && self.count > 0
    }
}

impl Allowance {
    fn new(known: Moment, rate: Rate) -> Self {
        Self {
            rate,
            granted: VecDeque::new(),
            known,
            alone: None,
            asked: VecDeque::new(),
        }
    }

    /// What was granted and may be used still.
    fn valid(&self, now: Moment) -> impl Iterator<Item = &Granted> {
        self.granted.iter().filter(move |g| g.is_valid(now))
    }

    fn granted(&self, now: Moment) -> u32 {
        self.valid(now).map(|granted| granted.count).sum()
    }

    /// Uses one of what was granted; false where there is none.
    fn spend(&mut self, now: Moment) -> bool {
        self.granted.retain(|g| g.is_valid(now));
        let due = self.granted.iter().position(|g| g.due);
        let Some(used) = self.granted.get_mut(due.unwrap_or(0)) else {
            return false;
        };
        used.count -= 1;
        used.due = false;
        true
    }
}
