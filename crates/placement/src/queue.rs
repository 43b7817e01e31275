//! Decides which of the requests that wait for a place at a server may try next.
//!
//! A gateway has one queue for each service. One request at a time has the turn and looks for a
//! place. If it finds one, the next request has the turn at once; if not, it stays where it is, and
//! nobody looks until something may have freed a place.
//!
//! The most urgent request is first. The more urgent a request is, the fuller a server may be for
//! it, so where the first one finds no place, none behind it would. A request that finds no place
//! for a reason of its own, because no retry is left, passes the turn on.

use std::collections::{BTreeMap, HashMap};

use snipemast_core::prelude::*;

use crate::choice::Unplaced;
use crate::urgency::{RequestClass, Urgency};

/// The most requests of a service that wait in a gateway: several times what a gateway is sent
/// within the longest wait.
pub const MAX_WAITING: usize = 512;

/// After this many places of others, the next one is for the oldest request that waits, whatever
/// its urgency.
const PLACES_BEFORE_OLDEST: u64 = 7;

/// How long a request that has no retry left lets others go first. Retries are earned by other
/// requests, not by places that become free.
const SPENT_PAUSE: Span = Span::from_millis(60);

/// How long the usage of a workspace is remembered after the last of its requests has left.
const USAGE_RETENTION: Span = Span::from_secs(5);

/// The number of a waiting request, which no other request of the process has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// How the urgency of a waiting request is found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ranking {
    /// The urgency stays the same.
    Fixed(Urgency),
    /// The request becomes late while it waits.
    Aging {
        /// When its caller first asked.
        asked: Moment,
        /// What else decides its urgency.
        class: RequestClass,
    },
}

impl Ranking {
    /// Returns the urgency at a moment.
    pub fn urgency(self, now: Moment) -> Urgency {
        match self {
            Self::Fixed(urgency) => urgency,
            Self::Aging { asked, class } => Urgency::new(now.since(asked), &class),
        }
    }
}

/// A request that waits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitingRequest {
    /// Its workspace.
    pub workspace: Option<String>,
    /// How its urgency is found.
    pub ranking: Ranking,
    /// When it arrived at the gateway.
    pub arrival: Moment,
    /// Why it waits.
    pub unplaced: Unplaced,
}

/// The right to look for a place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Turn {
    /// The request that has the turn.
    pub ticket: Ticket,
    /// The urgency that decides how full a server may be. In the oldest request's turn it is at
    /// least that of a request that can be on time: with a lower limit it would find nothing while
    /// others fill servers.
    pub urgency: Urgency,
}

/// What became of a request that joined a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Joined {
    /// It waits.
    Waits,
    /// It waits, and this less urgent request is refused instead.
    Replaces(Ticket),
    /// It is refused, because the queue is full of requests that are at least as urgent.
    Refused,
}

/// The requests of one service that wait in a gateway.
#[derive(Debug)]
pub struct PlaceQueue {
    waiting: BTreeMap<Ticket, Entry>,
    usages: HashMap<Option<String>, WorkspaceUsage>,
    /// The number of places that others got since the oldest request had one.
    since_oldest: u64,
    /// The most places that a workspace had been given before its last one, where a workspace
    /// starts that begins to wait while no other does.
    virtual_time: u64,
    holder: Option<Ticket>,
    /// Whether a place may have become free since the holder got the turn.
    woken: bool,
    /// Why the last request found no place.
    blocked: Unplaced,
}

#[derive(Debug)]
struct Entry {
    request: WaitingRequest,
    /// Until when the request lets others go first, if it last passed the turn on.
    passed_until: Option<Moment>,
}

/// What a workspace was given.
#[derive(Debug)]
struct WorkspaceUsage {
    waiting: usize,
    served: u64,
    /// When the last of its requests left.
    idle_since: Moment,
}

impl Default for PlaceQueue {
    fn default() -> Self {
        Self::new()
    }
}

impl PlaceQueue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self {
            waiting: BTreeMap::new(),
            usages: HashMap::new(),
            since_oldest: 0,
            virtual_time: 0,
            holder: None,
            woken: false,
            blocked: Unplaced::AllFull,
        }
    }

    /// Returns the number of requests that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Whether nothing is left to remember.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.usages.is_empty()
    }

    /// Returns why the last look failed, if a request that is at least as urgent waits. Requests
    /// that passed their turn on hold back nobody.
    pub fn blocks(&self, now: Moment, urgency: Urgency) -> Option<Unplaced> {
        let mut waiting = self.waiting.values();
        let blocked =
            waiting.any(|e| e.passed_until.is_none() && e.request.ranking.urgency(now) <= urgency);
        blocked.then_some(self.blocked)
    }

    /// Returns how many of the requests that wait are at least this urgent.
    pub fn count_ahead(&self, now: Moment, urgency: Urgency) -> usize {
        let waiting = self.waiting.values();
        let ahead = waiting.filter(|e| e.request.ranking.urgency(now) <= urgency);
        ahead.count()
    }

    /// Adds a request, which does not look for a place before it has the turn.
    pub fn join(&mut self, now: Moment, ticket: Ticket, request: WaitingRequest) -> Joined {
        let mut joined = Joined::Waits;
        if self.waiting.len() >= MAX_WAITING {
            let Some(last) = self.last(now, ticket, &request) else {
                return Joined::Refused;
            };
            self.remove(now, last);
            joined = Joined::Replaces(last);
        }
        let start = self.start_usage();
        let usage = self.usages.entry(request.workspace.clone());
        let usage = usage.or_insert(WorkspaceUsage {
            waiting: 0,
            served: start,
            idle_since: now,
        });
        if usage.waiting == 0 {
            usage.served = usage.served.max(start);
        }
        usage.waiting += 1;
        let passes = request.unplaced.is_own();
        if !passes {
            self.blocked = request.unplaced;
        }
        let entry = Entry {
            request,
            passed_until: passes.then_some(now + SPENT_PAUSE),
        };
        self.waiting.insert(ticket, entry);
        joined
    }

    /// Notes that a place may have become free. Returns who has the turn now, unless somebody has
    /// it already.
    pub fn wake(&mut self, now: Moment) -> Option<Turn> {
        self.woken = self.holder.is_some();
        self.next_turn(now)
    }

    /// Notes that a newcomer found a place without waiting, while others wait. Returns who has the
    /// turn now, if the next place is for the oldest request because of that.
    pub fn overtake(&mut self, now: Moment) -> Option<Turn> {
        if self.is_empty() {
            return None;
        }
        self.since_oldest += 1;
        if self.since_oldest == PLACES_BEFORE_OLDEST {
            self.wake(now)
        } else {
            None
        }
    }

    /// Removes a request that found a place. Returns who has the turn next.
    pub fn place(&mut self, now: Moment, ticket: Ticket) -> Option<Turn> {
        let is_oldest = self.oldest(now) == Some(ticket);
        let entry = self.remove(now, ticket)?;
        self.since_oldest = if is_oldest { 0 } else { self.since_oldest + 1 };
        if let Some(usage) = self.usages.get_mut(&entry.request.workspace) {
            self.virtual_time = self.virtual_time.max(usage.served);
            usage.served += 1;
        }
        self.next_turn(now)
    }

    /// Puts back a request that found no place. Returns who has the turn next, if a place may have
    /// become free meanwhile.
    pub fn put_back(&mut self, now: Moment, ticket: Ticket, unplaced: Unplaced) -> Option<Turn> {
        self.blocked = unplaced;
        self.end_turn(ticket);
        if let Some(entry) = self.waiting.get_mut(&ticket) {
            entry.passed_until = None;
        }
        if self.woken {
            self.next_turn(now)
        } else {
            None
        }
    }

    /// Puts back a request that found no place for a reason of its own. Returns who has the turn
    /// next.
    pub fn pass(&mut self, now: Moment, ticket: Ticket) -> Option<Turn> {
        self.end_turn(ticket);
        if let Some(entry) = self.waiting.get_mut(&ticket) {
            entry.passed_until = Some(now + SPENT_PAUSE);
        }
        self.next_turn(now)
    }

    /// Removes a request that waits no longer. Returns who has the turn next, if the request had
    /// it.
    pub fn leave(&mut self, now: Moment, ticket: Ticket) -> Option<Turn> {
        let held = self.holder == Some(ticket);
        self.remove(now, ticket)?;
        if held {
            self.next_turn(now)
        } else {
            None
        }
    }

    /// Forgets the workspaces of which nothing has waited for some seconds.
    pub fn forget(&mut self, now: Moment) {
        self.usages
            .retain(|_, s| s.waiting > 0 || now < s.idle_since + USAGE_RETENTION);
    }

    /// Gives the turn to the next request, unless somebody has it already.
    fn next_turn(&mut self, now: Moment) -> Option<Turn> {
        if self.holder.is_some() {
            return None;
        }
        let ranks = self.open(now).map(|(t, e)| self.rank(now, t, e));
        let (urgency, .., first) = ranks.min()?;
        let turn = if self.since_oldest >= PLACES_BEFORE_OLDEST {
            Turn {
                ticket: self.oldest(now)?,
                urgency: in_time(urgency),
            }
        } else {
            Turn {
                ticket: first,
                urgency,
            }
        };
        self.holder = Some(turn.ticket);
        self.woken = false;
        Some(turn)
    }

    /// Returns the count from which a workspace that begins to wait starts: the lowest of those that
    /// wait, so that it has no credit from before and isn't charged for places of another urgency.
    fn start_usage(&self) -> u64 {
        let waiting = self.usages.values().filter(|s| s.waiting > 0);
        waiting.map(|s| s.served).min().unwrap_or(self.virtual_time)
    }

    /// Returns the requests that don't let others go first.
    fn open(&self, now: Moment) -> impl Iterator<Item = (Ticket, &Entry)> {
        let is_open = move |e: &Entry| e.passed_until.is_none_or(|until| now >= until);
        let open = self.waiting.iter().filter(move |(_, e)| is_open(e));
        open.map(|(t, e)| (*t, e))
    }

    /// Returns the oldest of the requests that don't let others go first.
    fn oldest(&self, now: Moment) -> Option<Ticket> {
        let ages = self.open(now).map(|(t, e)| (e.request.arrival, t));
        ages.min().map(|(_, ticket)| ticket)
    }

    /// Returns the rank of a request; the least one is first. Among equals, the workspace that was
    /// given the fewest places is first.
    fn rank(&self, now: Moment, ticket: Ticket, entry: &Entry) -> (Urgency, u64, Moment, Ticket) {
        let request = &entry.request;
        let usage = self.usages.get(&request.workspace);
        let served = usage.map_or(0, |s| s.served);
        let urgency = request.ranking.urgency(now);
        (urgency, served, request.arrival, ticket)
    }

    /// Returns the request that is refused if one more joins a full queue, or nothing if that is
    /// the new one: the least urgent, and among equals one of the workspace with the most.
    fn last(&self, now: Moment, new: Ticket, request: &WaitingRequest) -> Option<Ticket> {
        let rank = |ticket: Ticket, request: &WaitingRequest, extra: usize| {
            let usage = self.usages.get(&request.workspace);
            let waiting = usage.map_or(0, |s| s.waiting) + extra;
            let urgency = request.ranking.urgency(now);
            (urgency, waiting, request.arrival, ticket)
        };
        let others = self
            .waiting
            .iter()
            .filter(|(t, _)| self.holder != Some(**t));
        let last = others.map(|(t, e)| rank(*t, &e.request, 0)).max()?;
        (last > rank(new, request, 1)).then_some(last.3)
    }

    fn end_turn(&mut self, ticket: Ticket) {
        if self.holder == Some(ticket) {
            self.holder = None;
        }
    }

    fn remove(&mut self, now: Moment, ticket: Ticket) -> Option<Entry> {
        self.end_turn(ticket);
        let entry = self.waiting.remove(&ticket)?;
        if let Some(usage) = self.usages.get_mut(&entry.request.workspace) {
            usage.waiting -= 1;
            usage.idle_since = now;
        }
        Some(entry)
    }
}

/// Returns the urgency of a request of the same priority that can be on time.
const fn in_time(urgency: Urgency) -> Urgency {
    match urgency {
        Urgency::Yielding(priority) | Urgency::Late(priority) => Urgency::InTime(priority),
        Urgency::Resumed | Urgency::InTime(_) => urgency,
    }
}
