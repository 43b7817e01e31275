//! The split of fleet-wide limits among entries, by the demand that each observes.
//!
//! Entries send each other small [`Summary`]s through the membership exchange. An entry's share
//! of a limit follows its part of the demand. A small part of the limit is split equally, so that
//! a first request is admitted at any entry.

use std::collections::{BTreeMap, HashMap, VecDeque};

use snipemast_core::prelude::*;

use crate::bucket::DecayingRate;
use crate::hash::stable_hash;

/// The most items of a summary, which bounds its size.
pub const MAX_ITEMS: usize = 64;
/// The part of each limit that is split equally among the entries.
const EQUAL_PART: f64 = 0.1;
/// The number of sent summaries and of snapshots that are kept.
const HISTORY_LEN: usize = 8;
/// The number of intervals without a summary after which an entry counts as cut off.
const SILENT_INTERVALS: u64 = 5;
/// Rates are sent in thousandths.
const RATE_SCALE: f64 = 1_000.0;

data! {
    /// What a limit applies to, as a hash that is the same at every entry.
    #[derive(Copy, PartialOrd, Ord, Hash)]
    #[serde(transparent)]
    pub struct Topic(pub u64);

    /// The demand of one entry for one topic.
    #[derive(Copy)]
    pub struct Demand {
        /// The topic.
        pub topic: Topic,
        /// The demand per second, in thousandths.
        pub rate: u32,
    }

    /// The demands of one entry, which it sends to the others.
    pub struct Summary {
        /// The entry.
        pub entry: ProcessId,
        /// The number of the summary, which grows within an incarnation of the entry.
        pub number: u64,
        /// The largest demands of the entry.
        pub items: Vec<Demand>,
    }
}

impl Topic {
    /// Returns the topic of a workspace's limits.
    pub fn workspace(workspace: &WorkspaceId) -> Self {
        Self(stable_hash(&("workspace", workspace)))
    }

    /// Returns the topic of a pool's capacity.
    pub fn pool(family: u64) -> Self {
        Self(stable_hash(&("pool", family)))
    }
}

/// What is known of another entry.
#[derive(Debug)]
struct OtherEntry {
    entry: ProcessId,
    number: u64,
    last_heard: Moment,
    rates: HashMap<Topic, f64>,
    /// The shares that the entry had when it went silent, which are set aside for it.
    set_aside: Option<HashMap<Topic, f64>>,
}

/// The demands of all entries, as one of them knows them.
#[derive(Debug)]
pub struct Demands {
    entry: ProcessId,
    /// The time that a summary takes to reach every other entry.
    interval: Span,
    number: u64,
    own: HashMap<Topic, DecayingRate>,
    /// The last summaries that were sent, the newest first.
    sent: VecDeque<SentSummary>,
    /// The lowest rates that were sent since the last summary that all others certainly have.
    confirmed: HashMap<Topic, f64>,
    others: BTreeMap<HostId, OtherEntry>,
    /// The sums of the demands of the others that are not cut off.
    sums: HashMap<Topic, f64>,
    live_count: usize,
    /// The last snapshots, the newest first.
    snapshots: VecDeque<Snapshot>,
}

/// The rates of a summary that was sent.
#[derive(Debug)]
struct SentSummary {
    at: Moment,
    rates: HashMap<Topic, f64>,
}

/// The demands and shares at a moment, as this entry knew them.
#[derive(Debug)]
struct Snapshot {
    at: Moment,
    /// The part of each limit that was not set aside, if it was not all of it.
    free: HashMap<Topic, f64>,
    own: HashMap<Topic, f64>,
    sums: HashMap<Topic, f64>,
    live_count: usize,
}

impl Demands {
    /// Creates the demands of an entry that knows of no other one.
    pub fn new(entry: ProcessId) -> Self {
        Self {
            entry,
            interval: Span::from_secs(1),
            number: 0,
            own: HashMap::new(),
            sent: VecDeque::new(),
            confirmed: HashMap::new(),
            others: BTreeMap::new(),
            sums: HashMap::new(),
            live_count: 0,
            snapshots: VecDeque::new(),
        }
    }

    /// Sets the time that a summary takes to reach every other entry.
    ///
    /// It grows with the number of entries.
    pub fn set_interval(&mut self, interval: Span) {
        self.interval = interval;
    }

    /// Returns the interval at which summaries should be sent.
    pub fn interval(&self) -> Span {
        self.interval
    }

    /// Records the demand of a request, whether or not it is admitted.
    pub fn record(&mut self, now: Moment, topic: Topic, amount: f64) {
        self.own.entry(topic).or_default().add(now, amount);
    }

    /// Returns the entry's next summary, which is sent to every other entry once per interval.
    pub fn next_summary(&mut self, now: Moment) -> Summary {
        self.own
            .retain(|_, own_rate| own_rate.per_second(now) > 1.0 / RATE_SCALE);
        let mut items: Vec<_> = self
            .own
            .iter()
            .map(|(&topic, own_rate)| Demand {
                topic,
                rate: to_thousandths(own_rate.per_second(now)),
            })
            .collect();
        items.sort_by_key(|d| (std::cmp::Reverse(d.rate), d.topic));
        items.truncate(MAX_ITEMS);
        self.number += 1;
        self.sent.push_front(SentSummary {
            at: now,
            rates: collect_rates(&items),
        });
        self.sent.truncate(HISTORY_LEN);
        self.set_aside_silent(now);
        Summary {
            entry: self.entry.clone(),
            number: self.number,
            items,
        }
    }

    /// Applies the summary of another entry, unless a later one was applied before.
    pub fn merge(&mut self, now: Moment, summary: &Summary) {
        if summary.entry.host == self.entry.host {
            return;
        }
        let order = (summary.entry.incarnation, summary.number);
        let known = self.others.get(&summary.entry.host);
        if known.is_some_and(|o| (o.entry.incarnation, o.number) >= order) {
            return;
        }
        let other = OtherEntry {
            entry: summary.entry.clone(),
            number: summary.number,
            last_heard: now,
            rates: collect_rates(&summary.items),
            set_aside: None,
        };
        self.forget(&summary.entry.host);
        self.add_to_sums(&other);
        self.others.insert(summary.entry.host.clone(), other);
    }

    /// Gives the share of an entry back to the others, as it is gone and not just cut off.
    pub fn forget(&mut self, host: &HostId) {
        if let Some(other) = self.others.remove(host) {
            self.subtract_from_sums(&other);
        }
    }

    /// Sets aside the shares of entries that have gone silent. It is called about once a second.
    ///
    /// Silent entries may be cut off and still admit requests. If each side of a partition split
    /// the whole limit among its own entries, the fleet would admit a multiple of it. A side
    /// therefore keeps to the shares that its entries had when all others were last heard, until
    /// the others are heard again or known to be gone.
    pub fn set_aside_silent(&mut self, now: Moment) {
        let live = self.others.values().filter(|o| o.set_aside.is_none());
        let last_heard = live.map(|o| o.last_heard).min().unwrap_or(Moment::NEVER);
        self.confirmed = self.confirmed_by(last_heard);
        self.take_snapshot(now);
        let is_silent = |o: &OtherEntry| {
            o.set_aside.is_none() && now.since(o.last_heard) > self.interval.times(SILENT_INTERVALS)
        };
        let silent = self.others.values().filter(|o| is_silent(o));
        let hosts: Vec<_> = silent.map(|o| o.entry.host.clone()).collect();
        for host in hosts {
            let Some(mut other) = self.others.remove(&host) else {
                continue;
            };
            self.subtract_from_sums(&other);
            other.set_aside = Some(self.last_shares_of(&other));
            self.others.insert(host, other);
        }
    }

    /// Returns this entry's share of a limit, from 0 to 1.
    ///
    /// A rising demand counts only after all others certainly know of it, because their shares
    /// have not shrunk before. A falling demand counts at once. No share rises while another entry
    /// is silent, so a partition can't make both sides take more.
    pub fn share(&self, now: Moment, topic: Topic) -> f64 {
        let mut own = self.current_rate(now, topic);
        if self.live_count > 0 {
            own = own.min(rate(&self.confirmed, topic));
        }
        let others = rate(&self.sums, topic);
        let count = 1.0 + self.live_count as f64;
        self.available_part(topic) * share_of_demand(own, own + others, count)
    }

    /// Returns the sum of all entries' demands for a topic, per second.
    pub fn total(&self, now: Moment, topic: Topic) -> f64 {
        self.current_rate(now, topic) + rate(&self.sums, topic)
    }

    /// Returns this entry's part of a whole number.
    ///
    /// The parts of all entries that know the same demands add up to the whole number.
    pub fn allot(&self, topic: Topic, whole: u32) -> u32 {
        let live = self.others.values().filter(|o| o.set_aside.is_none());
        let mut all: Vec<_> = live
            .map(|o| (&o.entry.host, rate(&o.rates, topic)))
            .collect();
        let own = self.last_sent().map_or(0.0, |sent| rate(sent, topic));
        all.push((&self.entry.host, own));
        all.sort_by_key(|(host, _)| stable_hash(&(topic.0, host)));
        let (sum, count) = (all.iter().map(|(_, r)| r).sum::<f64>(), all.len() as f64);
        let whole = f64::from(whole) * self.available_part(topic);
        let mut before = 0.0;
        for (host, rate) in all {
            let after = before + whole * share_of_demand(rate, sum, count);
            if *host == self.entry.host {
                // The slack prevents that a rounding error loses a unit.
                return ((after + 1e-6).floor() - (before + 1e-6).floor()) as u32;
            }
            before = after;
        }
        0
    }

    fn current_rate(&self, now: Moment, topic: Topic) -> f64 {
        self.own.get(&topic).map_or(0.0, |p| p.per_second(now))
    }

    fn last_sent(&self) -> Option<&HashMap<Topic, f64>> {
        self.sent.front().map(|summary| &summary.rates)
    }

    /// Returns the lowest rates that were sent since the last summary that all others must have.
    ///
    /// A summary has reached the others if all of them were heard an interval or more after it.
    fn confirmed_by(&self, last_heard: Moment) -> HashMap<Topic, f64> {
        let newest = self
            .sent
            .iter()
            .position(|t| t.at + self.interval <= last_heard);
        let Some(newest) = newest else {
            return HashMap::new();
        };
        let mut lowest = self.sent[newest].rates.clone();
        for summary in self.sent.iter().take(newest) {
            for (&topic, rate) in &mut lowest {
                *rate = rate.min(self::rate(&summary.rates, topic));
            }
        }
        lowest
    }

    fn add_to_sums(&mut self, other: &OtherEntry) {
        self.live_count += 1;
        for (&topic, rate) in &other.rates {
            *self.sums.entry(topic).or_default() += rate;
        }
    }

    fn subtract_from_sums(&mut self, other: &OtherEntry) {
        if other.set_aside.is_some() {
            return;
        }
        self.live_count -= 1;
        for (topic, rate) in &other.rates {
            if let Some(sum) = self.sums.get_mut(topic) {
                *sum = (*sum - rate).max(0.0);
            }
        }
    }

    /// Returns the part of a limit that is not set aside for entries that are cut off.
    fn available_part(&self, topic: Topic) -> f64 {
        let set_aside = self.others.values().filter_map(|o| o.set_aside.as_ref());
        let sum: f64 = set_aside
            .map(|l| l.get(&topic).copied().unwrap_or(0.0))
            .sum();
        (1.0 - sum).max(0.0)
    }

    /// Takes a snapshot of the demands, at most once per interval.
    fn take_snapshot(&mut self, now: Moment) {
        let due = self
            .snapshots
            .front()
            .is_none_or(|k| now.since(k.at) >= self.interval);
        if due {
            let (own, sums) = (self.confirmed.clone(), self.sums.clone());
            let set_aside = self.others.values().filter_map(|o| o.set_aside.as_ref());
            let topics = set_aside.flat_map(HashMap::keys);
            let free = topics
                .map(|&topic| (topic, self.available_part(topic)))
                .collect();
            let live_count = self.live_count;
            self.snapshots.push_front(Snapshot {
                at: now,
                free,
                own,
                sums,
                live_count,
            });
            self.snapshots.truncate(HISTORY_LEN);
        }
    }

    /// Returns the shares that an entry had when it was last heard.
    ///
    /// The entry may not know what the others have sent since, and continues with these shares.
    fn last_shares_of(&self, other: &OtherEntry) -> HashMap<Topic, f64> {
        let as_last_heard = self.snapshots.iter().find(|k| k.at <= other.last_heard);
        let Some(snapshot) = as_last_heard.or(self.snapshots.back()) else {
            return HashMap::new();
        };
        let part = |&topic: &Topic| {
            let sum = rate(&snapshot.own, topic) + rate(&snapshot.sums, topic);
            let part = share_of_demand(
                rate(&other.rates, topic),
                sum,
                1.0 + snapshot.live_count as f64,
            );
            (
                topic,
                snapshot.free.get(&topic).copied().unwrap_or(1.0) * part,
            )
        };
        snapshot
            .sums
            .keys()
            .chain(snapshot.own.keys())
            .map(part)
            .collect()
    }
}

fn rate(rates: &HashMap<Topic, f64>, topic: Topic) -> f64 {
    rates.get(&topic).copied().unwrap_or(0.0)
}

/// Returns the share of a limit for one of `count` entries, by its part of the summed demand.
fn share_of_demand(rate: f64, sum: f64, count: f64) -> f64 {
    if sum <= 0.0 {
        1.0 / count
    } else {
        (1.0 - EQUAL_PART) * rate / sum + EQUAL_PART / count
    }
}

fn collect_rates(items: &[Demand]) -> HashMap<Topic, f64> {
    items
        .iter()
        .map(|d| (d.topic, f64::from(d.rate) / RATE_SCALE))
        .collect()
}

fn to_thousandths(rate: f64) -> u32 {
    (rate * RATE_SCALE).round().min(f64::from(u32::MAX)) as u32
}
