//! How many requests a gateway may send to servers that name a rate limit.
//!
//! A gateway sends a request when the leader has granted one. A gateway that reaches no leader
//! sends so rarely that all gateways together stay at a small part of the limit, however the
//! network is partitioned.

use std::collections::{HashMap, VecDeque};

use snipemast_core::hash::{fraction, mix};
use snipemast_core::prelude::*;

/// How long the leader must be silent before a gateway counts as without one: two of the longest
/// pauses between polls.
const LEADER_TIMEOUT: Span = Span::from_secs(1);

/// The part of a limit that gateways without a leader may use, all together.
const UNGRANTED_SHARE: f64 = 0.1;

/// How long a request that looked for a limited server counts as demand. A grant is useful for
/// about as long.
const DEMAND_AGE: Span = Span::from_millis(500);

/// Requests that the leader allows this gateway to send to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GrantLease {
    /// The number of requests.
    pub count: u32,
    /// Whether the next request should be sent to this server rather than to another one.
    pub due: bool,
    /// When the grant expires.
    pub until: Moment,
}

/// Tracks how many requests may be sent to each server that names a limit. The other servers take
/// any number.
#[derive(Debug)]
pub struct Allowances {
    servers: HashMap<ServerId, Allowance>,
    /// The number of gateways; 0 while it is unknown.
    gateways: u32,
    /// When the leader last answered.
    leader_heard: Moment,
    /// Differs between gateways, so that those that lose the leader together don't all send at
    /// once.
    seed: u64,
}

#[derive(Debug)]
struct Allowance {
    rate: Rate,
    grants: VecDeque<GrantLease>,
    /// When this gateway learned that the server names a limit.
    limited_since: Moment,
    /// When a request was last sent to the server without a grant.
    last_ungranted: Option<Moment>,
    /// When requests looked for this server.
    requested: VecDeque<Moment>,
}

impl Allowances {
    /// Creates a tracker in which no server names a limit.
    pub fn new(seed: u64) -> Self {
        Self {
            servers: HashMap::new(),
            gateways: 0,
            leader_heard: Moment::ZERO,
            seed,
        }
    }

    /// Sets the limits that servers name. The limit of a server that isn't listed has ended.
    pub fn set_limits(&mut self, now: Moment, limits: Vec<(ServerId, Rate)>) {
        let mut before = std::mem::take(&mut self.servers);
        for (id, rate) in limits {
            let known = before.remove(&id);
            let mut allowance = known.unwrap_or_else(|| Allowance::new(now, rate));
            // The old grants were parts of the higher limit.
            if rate < allowance.rate {
                allowance.grants.clear();
            }
            allowance.rate = rate;
            self.servers.insert(id, allowance);
        }
    }

    /// Raises the known number of gateways. It never falls, because a gateway that isn't seen may
    /// be cut off and still send requests.
    pub fn observe_gateways(&mut self, count: u32) {
        self.gateways = self.gateways.max(count);
    }

    /// Adds requests that the leader grants to this gateway.
    pub fn add_grants(
        &mut self,
        now: Moment,
        grants: impl Iterator<Item = (ServerId, GrantLease)>,
    ) {
        self.leader_heard = now;
        for (id, granted) in grants {
            if let Some(allowance) = self.servers.get_mut(&id) {
                allowance.grants.retain(|g| g.is_valid(now));
                allowance.grants.push_back(granted);
            }
        }
    }

    /// Whether a server names a limit.
    pub fn is_limited(&self, server: &ServerId) -> bool {
        self.servers.contains_key(server)
    }

    /// Returns the limit that a server names.
    pub fn rate(&self, server: &ServerId) -> Option<Rate> {
        self.servers.get(server).map(|allowance| allowance.rate)
    }

    /// Whether a request may be sent to a server now.
    pub fn admits(&self, now: Moment, server: &ServerId) -> bool {
        let allowance = self.servers.get(server);
        allowance.is_none_or(|a| a.granted_count(now) > 0 || self.admits_ungranted(now, a))
    }

    /// Whether the leader asks that the next request goes to this server rather than to another
    /// one.
    pub fn has_due_grant(&self, now: Moment, server: &ServerId) -> bool {
        let allowance = self.servers.get(server);
        allowance.is_some_and(|a| a.valid_grants(now).any(|granted| granted.due))
    }

    /// Records that a request is sent to a server.
    pub fn spend(&mut self, now: Moment, server: &ServerId) {
        if let Some(allowance) = self.servers.get_mut(server) {
            if !allowance.spend(now) {
                allowance.last_ungranted = Some(now);
            }
        }
    }

    /// Records that a request looked for a server that names a limit.
    pub fn record_demand(&mut self, now: Moment, server: &ServerId) {
        /// The most requests that are counted.
        const MAX_DEMAND: usize = 256;
        if let Some(allowance) = self.servers.get_mut(server) {
            allowance.requested.push_back(now);
            if allowance.requested.len() > MAX_DEMAND {
                allowance.requested.pop_front();
            }
        }
    }

    /// Returns how many more requests this gateway would send to a server within a lease.
    pub fn demand(&mut self, now: Moment, server: &ServerId) -> u32 {
        let Some(allowance) = self.servers.get_mut(server) else {
            return 0;
        };
        while allowance
            .requested
            .front()
            .is_some_and(|at| now >= *at + DEMAND_AGE)
        {
            allowance.requested.pop_front();
        }
        let requested = allowance.requested.len() as u32;
        requested.saturating_sub(allowance.granted_count(now))
    }

    /// Whether a request may be sent without a grant: the leader has been silent for long enough,
    /// and the gateway's own interval is over.
    fn admits_ungranted(&self, now: Moment, allowance: &Allowance) -> bool {
        if self.gateways == 0 {
            return false;
        }
        let all = allowance.rate.as_per_second() * UNGRANTED_SHARE;
        let period = f64::from(self.gateways) / all;
        let first = LEADER_TIMEOUT.as_secs_f64() + period * fraction(mix(self.seed));
        let silent = self.leader_heard.max(allowance.limited_since).until(now);
        let interval_over = |last: Moment| last.until(now).as_secs_f64() >= period;
        silent.as_secs_f64() >= first && allowance.last_ungranted.is_none_or(interval_over)
    }
}

impl GrantLease {
    fn is_valid(&self, now: Moment) -> bool {
        now < self.until && self.count > 0
    }
}

impl Allowance {
    fn new(limited_since: Moment, rate: Rate) -> Self {
        Self {
            rate,
            grants: VecDeque::new(),
            limited_since,
            last_ungranted: None,
            requested: VecDeque::new(),
        }
    }

    /// Returns the grants that can still be used.
    fn valid_grants(&self, now: Moment) -> impl Iterator<Item = &GrantLease> {
        self.grants.iter().filter(move |g| g.is_valid(now))
    }

    fn granted_count(&self, now: Moment) -> u32 {
        self.valid_grants(now).map(|granted| granted.count).sum()
    }

    /// Uses up one granted request. Returns whether there was one.
    fn spend(&mut self, now: Moment) -> bool {
        self.grants.retain(|g| g.is_valid(now));
        let due = self.grants.iter().position(|g| g.due);
        let Some(used) = self.grants.get_mut(due.unwrap_or(0)) else {
            return false;
        };
        used.count -= 1;
        used.due = false;
        true
    }
}
