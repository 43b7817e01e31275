//! The split of fleet-wide limits among entries, by the demand that each observes.
//!
//! Entries tell each other small [`Summary`]s through the membership exchange. An entry's share
//! of a limit is its part of the demand, plus an equal part of a small rest so that a first
//! request finds some room anywhere.

use std::collections::{BTreeMap, HashMap, VecDeque};

use snipemast_core::prelude::*;

use crate::bucket::Pace;
use crate::hash::stable_hash;

/// The most items of a summary, so that its size has a bound.
pub const ITEMS: usize = 64;
/// The part of each limit that is split equally.
const EQUAL: f64 = 0.1;
/// How many summaries are remembered.
const TOLD: usize = 8;
/// How many times the pace an entry may be silent before its part counts as cut off.
const SILENT: u64 = 5;
/// Rates are told in thousandths.
const SCALE: f64 = 1_000.0;

data! {
    /// What a limit is about, as a hash that every entry computes alike.
    #[derive(Copy, PartialOrd, Ord, Hash)]
    #[serde(transparent)]
    pub struct Topic(pub u64);

    /// One entry's demand for one thing.
    #[derive(Copy)]
    pub struct Demand {
        /// The thing.
        pub topic: Topic,
        /// Thousandths a second.
        pub rate: u32,
    }

    /// One entry's demands, to be told to the others.
    pub struct Summary {
        /// The entry.
        pub entry: ProcessId,
        /// Grows with each summary of the entry's incarnation.
        pub number: u64,
        /// The largest demands.
        pub items: Vec<Demand>,
    }
}

impl Topic {
    /// The limits of a workspace.
    pub fn workspace(workspace: &WorkspaceId) -> Self {
        Self(stable_hash(&("workspace", workspace)))
    }

    /// The capacity of a pool.
    pub fn pool(family: u64) -> Self {
        Self(stable_hash(&("pool", family)))
    }
}

#[derive(Debug)]
struct Other {
    entry: ProcessId,
    number: u64,
    heard: Moment,
    rates: HashMap<Topic, f64>,
    /// The parts that it had when it went silent.
    lost: Option<HashMap<Topic, f64>>,
}

/// The demands of all entries, as one of them knows them.
#[derive(Debug)]
pub struct Demands {
    entry: ProcessId,
    /// The time that a summary needs to reach every other.
    pace: Span,
    number: u64,
    own: HashMap<Topic, Pace>,
    /// What was told lately, the last first.
    told: VecDeque<Told>,
    /// The least that was told since all others surely heard.
    settled: HashMap<Topic, f64>,
    others: BTreeMap<HostId, Other>,
    /// The sums over the others that are not cut off.
    sums: HashMap<Topic, f64>,
    live: usize,
    /// How things stood lately, the last first.
    known: VecDeque<Known>,
}

#[derive(Debug)]
struct Told {
    at: Moment,
    rates: HashMap<Topic, f64>,
}

#[derive(Debug)]
struct Known {
    at: Moment,
    /// The part of each limit that was not set aside, where that was not the whole.
    free: HashMap<Topic, f64>,
    own: HashMap<Topic, f64>,
    sums: HashMap<Topic, f64>,
    live: usize,
}

impl Demands {
    /// Nothing is known but that this entry exists.
    pub fn new(entry: ProcessId) -> Self {
        Self {
            entry,
            pace: Span::from_secs(1),
            number: 0,
            own: HashMap::new(),
            told: VecDeque::new(),
            settled: HashMap::new(),
            others: BTreeMap::new(),
            sums: HashMap::new(),
            live: 0,
            known: VecDeque::new(),
        }
    }

    /// Takes the time that a summary needs to reach every other, which grows with their number.
    pub fn set_interval(&mut self, pace: Span) {
        self.pace = pace;
    }

    /// How often a summary should be told.
    pub fn interval(&self) -> Span {
        self.pace
    }

    /// Counts what a request asks for, whether or not it is let in.
    pub fn record(&mut self, now: Moment, topic: Topic, amount: f64) {
        self.own.entry(topic).or_default().add(now, amount);
    }

    /// The entry's summary, to be told to every other about once a second.
    pub fn next_summary(&mut self, now: Moment) -> Summary {
        self.own
            .retain(|_, pace| pace.per_second(now) > 1.0 / SCALE);
        let mut items: Vec<_> = self
            .own
            .iter()
            .map(|(&topic, pace)| Demand {
                topic,
                rate: scaled(pace.per_second(now)),
            })
            .collect();
        items.sort_by_key(|d| (std::cmp::Reverse(d.rate), d.topic));
        items.truncate(ITEMS);
        self.number += 1;
        self.told.push_front(Told {
            at: now,
            rates: rates(&items),
        });
        self.told.truncate(TOLD);
        self.set_aside_silent(now);
        Summary {
            entry: self.entry.clone(),
            number: self.number,
            items,
        }
    }

    /// Takes another entry's summary; an earlier one than the last is passed over.
    pub fn merge(&mut self, now: Moment, summary: &Summary) {
        if summary.entry.host == self.entry.host {
            return;
        }
        let order = (summary.entry.incarnation, summary.number);
        let known = self.others.get(&summary.entry.host);
        if known.is_some_and(|o| (o.entry.incarnation, o.number) >= order) {
            return;
        }
        let other = Other {
            entry: summary.entry.clone(),
            number: summary.number,
            heard: now,
            rates: rates(&summary.items),
            lost: None,
        };
        self.forget(&summary.entry.host);
        self.count(&other);
        self.others.insert(summary.entry.host.clone(), other);
    }

    /// Gives an entry's part back to the others: membership says that it is gone, not cut off.
    pub fn forget(&mut self, host: &HostId) {
        if let Some(other) = self.others.remove(host) {
            self.discount(&other);
        }
    }

    /// Sets aside the parts of entries that have gone silent; to be called about once a second.
    ///
    /// They may be cut off and go on serving. If both sides split the whole limit among
    /// themselves, the fleet would let in a multiple of it; so a side keeps to the part that its
    /// own entries had when all were last heard, until the others are heard again or known to be
    /// gone.
    pub fn set_aside_silent(&mut self, now: Moment) {
        let live = self.others.values().filter(|o| o.lost.is_none());
        let heard = live.map(|o| o.heard).min().unwrap_or(Moment::NEVER);
        self.settled = self.settled_by(heard);
        self.remember(now);
        let is_silent =
            |o: &Other| o.lost.is_none() && now.since(o.heard) > self.pace.times(SILENT);
        let silent = self.others.values().filter(|o| is_silent(o));
        let hosts: Vec<_> = silent.map(|o| o.entry.host.clone()).collect();
        for host in hosts {
            let Some(mut other) = self.others.remove(&host) else {
                continue;
            };
            self.discount(&other);
            other.lost = Some(self.parts_of(&other));
            self.others.insert(host, other);
        }
    }

    /// This entry's share of a limit, from 0 to 1.
    ///
    /// A demand that rises counts only once all others surely have heard of it, one that falls at
    /// once: while they have not heard, their shares have not shrunk yet. So nothing rises while
    /// some other is silent, and a partition can't make both sides take more.
    pub fn share(&self, now: Moment, topic: Topic) -> f64 {
        let mut own = self.present(now, topic);
        if self.live > 0 {
            own = own.min(rate(&self.settled, topic));
        }
        let others = rate(&self.sums, topic);
        let count = 1.0 + self.live as f64;
        self.free(topic) * split(own, own + others, count)
    }

    /// The sum of all entries' demands for a thing, a second.
    pub fn total(&self, now: Moment, topic: Topic) -> f64 {
        self.present(now, topic) + rate(&self.sums, topic)
    }

    /// This entry's part of a whole number; the parts of all entries that know the same sum up to
    /// it.
    pub fn allot(&self, topic: Topic, whole: u32) -> u32 {
        let live = self.others.values().filter(|o| o.lost.is_none());
        let mut all: Vec<_> = live
            .map(|o| (&o.entry.host, rate(&o.rates, topic)))
            .collect();
        let own = self.last_told().map_or(0.0, |told| rate(told, topic));
        all.push((&self.entry.host, own));
        all.sort_by_key(|(host, _)| stable_hash(&(topic.0, host)));
        let (sum, count) = (all.iter().map(|(_, r)| r).sum::<f64>(), all.len() as f64);
        let whole = f64::from(whole) * self.free(topic);
        let mut before = 0.0;
        for (host, rate) in all {
            let after = before + whole * split(rate, sum, count);
            if *host == self.entry.host {
                // The slack keeps rounding errors from losing a whole one.
                return ((after + 1e-6).floor() - (before + 1e-6).floor()) as u32;
            }
            before = after;
        }
        0
    }

    fn present(&self, now: Moment, topic: Topic) -> f64 {
        self.own.get(&topic).map_or(0.0, |p| p.per_second(now))
    }

    fn last_told(&self) -> Option<&HashMap<Topic, f64>> {
        self.told.front().map(|told| &told.rates)
    }

    /// The least that was told since the last time that all others must have heard of: they have
    /// been heard again a good while after it.
    fn settled_by(&self, heard: Moment) -> HashMap<Topic, f64> {
        let sure = self.told.iter().position(|t| t.at + self.pace <= heard);
        let Some(sure) = sure else {
            return HashMap::new();
        };
        let mut least = self.told[sure].rates.clone();
        for told in self.told.iter().take(sure) {
            for (&topic, rate) in &mut least {
                *rate = rate.min(self::rate(&told.rates, topic));
            }
        }
        least
    }

    fn count(&mut self, other: &Other) {
        self.live += 1;
        for (&topic, rate) in &other.rates {
            *self.sums.entry(topic).or_default() += rate;
        }
    }

    fn discount(&mut self, other: &Other) {
        if other.lost.is_some() {
            return;
        }
        self.live -= 1;
        for (topic, rate) in &other.rates {
            if let Some(sum) = self.sums.get_mut(topic) {
                *sum = (*sum - rate).max(0.0);
            }
        }
    }

    /// The part of a limit that is not set aside for entries that are cut off.
    fn free(&self, topic: Topic) -> f64 {
        let lost = self.others.values().filter_map(|o| o.lost.as_ref());
        let sum: f64 = lost.map(|l| l.get(&topic).copied().unwrap_or(0.0)).sum();
        (1.0 - sum).max(0.0)
    }

    /// Keeps how things stand, at most once a second.
    fn remember(&mut self, now: Moment) {
        let due = self
            .known
            .front()
            .is_none_or(|k| now.since(k.at) >= self.pace);
        if due {
            let (own, sums) = (self.settled.clone(), self.sums.clone());
            let lost = self.others.values().filter_map(|o| o.lost.as_ref());
            let topics = lost.flat_map(HashMap::keys);
            let free = topics.map(|&topic| (topic, self.free(topic))).collect();
            let live = self.live;
            self.known.push_front(Known {
                at: now,
                free,
                own,
                sums,
                live,
            });
            self.known.truncate(TOLD);
        }
    }

    /// The parts that an entry had when it was last heard: what the others told since, it does
    /// not know, and it goes on with the part that it had.
    fn parts_of(&self, other: &Other) -> HashMap<Topic, f64> {
        let then = self.known.iter().find(|k| k.at <= other.heard);
        let Some(known) = then.or(self.known.back()) else {
            return HashMap::new();
        };
        let part = |&topic: &Topic| {
            let sum = rate(&known.own, topic) + rate(&known.sums, topic);
            let part = split(rate(&other.rates, topic), sum, 1.0 + known.live as f64);
            (topic, known.free.get(&topic).copied().unwrap_or(1.0) * part)
        };
        known
            .sums
            .keys()
            .chain(known.own.keys())
            .map(part)
            .collect()
    }
}

fn rate(rates: &HashMap<Topic, f64>, topic: Topic) -> f64 {
    rates.get(&topic).copied().unwrap_or(0.0)
}

fn split(rate: f64, sum: f64, count: f64) -> f64 {
    if sum <= 0.0 {
        1.0 / count
    } else {
        (1.0 - EQUAL) * rate / sum + EQUAL / count
    }
}

fn rates(items: &[Demand]) -> HashMap<Topic, f64> {
    items
        .iter()
        .map(|d| (d.topic, f64::from(d.rate) / SCALE))
        .collect()
}

fn scaled(rate: f64) -> u32 {
    (rate * SCALE).round().min(f64::from(u32::MAX)) as u32
}
