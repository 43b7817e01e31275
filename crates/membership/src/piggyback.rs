//! Small values of other packages that are piggybacked on the exchanges of membership.
//!
//! A source publishes one value per topic: opaque bytes that expire, ordered by (incarnation,
//! sequence). A later value of the same source replaces the earlier one, so merging takes the
//! maximum and any order of arrival gives the same result.

use std::collections::btree_map::Entry;
use std::collections::BTreeMap;
use std::fmt;

use snipemast_core::data;
use snipemast_core::prelude::*;

/// The result of publishing a value.
pub type Result<T> = std::result::Result<T, PublishError>;

/// The maximum size of a value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_024;

/// How many values of other processes one topic keeps: with the largest values, 8 MB. Values of further sources are dropped
/// and counted.
pub const MAX_SOURCES: usize = 8_192;

/// How long a value may live without being published again.
pub const MAX_LIFETIME: Span = Span::from_secs(3_600);

data! {
    /// The subject of a value.
    #[derive(Copy, PartialOrd, Ord, Hash)]
    pub enum Topic {
        /// Requests that crash the servers that run them.
        Suspicion,
        /// Versions in force, of the configuration and of expert maps.
        Versions,
        /// Demand that counts towards the limits of workspaces.
        Demand,
    }

    /// One value as it is sent.
    pub struct PiggybackValue {
        /// The value's topic.
        pub topic: Topic,
        /// The process that published it.
        pub source: ProcessId,
        /// The number of the value among the source's values of the topic.
        pub sequence: u64,
        /// The time until the value expires.
        pub left: Span,
        /// The value.
        pub value: Vec<u8>,
    }
}

impl Topic {
    /// All topics, the most urgent first.
    pub const ALL: [Self; 3] = [Self::Suspicion, Self::Versions, Self::Demand];

    /// Returns how far values of the topic travel.
    pub const fn scope(self) -> Scope {
        match self {
            // Limits hold for the whole fleet. Zones that didn't hear of each other's demand would
            // each admit the whole limit.
            Self::Suspicion | Self::Versions | Self::Demand => Scope::Everywhere,
        }
    }

    /// Returns how often one process sends a value. A value that is soon published again may miss a
    /// few peers.
    pub(crate) const fn retransmits(self) -> u32 {
        match self {
            Self::Suspicion => 8,
            Self::Versions => 4,
            Self::Demand => 2,
        }
    }

    /// Whether a new value is sent at once instead of with the next round.
    pub const fn is_urgent(self) -> bool {
        matches!(self, Self::Suspicion)
    }
}

/// How far a value travels.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// To every entry.
    Everywhere,
    /// To entries of the same zone.
    Zone,
}

/// The reason why a value can't be published.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PublishError {
    /// The value has more than [`MAX_VALUE_BYTES`] bytes.
    Oversized(usize),
}

impl fmt::Display for PublishError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Oversized(length) => {
                write!(
                    f,
                    "a value of {length} bytes exceeds the maximum of {MAX_VALUE_BYTES} bytes"
                )
            }
        }
    }
}

impl std::error::Error for PublishError {}

/// The values that one process knows, including its own.
#[derive(Debug, Default)]
pub struct PiggybackStore {
    stored: BTreeMap<Topic, BTreeMap<HostId, StoredValue>>,
    dropped: DroppedValues,
}

/// The values for which there was no room.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DroppedValues {
    /// How many there were.
    pub count: u64,
    /// The source of the last one.
    pub last: Option<ProcessId>,
}

#[derive(Debug)]
struct StoredValue {
    item: PiggybackValue,
    expires: Moment,
    /// How often this process has sent the value.
    sent: u32,
}

impl PiggybackStore {
    /// Publishes a value of this process, which replaces its last one of the topic.
    pub fn publish(
        &mut self,
        now: Moment,
        source: &ProcessId,
        topic: Topic,
        value: Vec<u8>,
        lifetime: Span,
    ) -> Result<()> {
        if value.len() > MAX_VALUE_BYTES {
            return Err(PublishError::Oversized(value.len()));
        }
        let last = self
            .stored
            .get(&topic)
            .and_then(|values| values.get(&source.host));
        let sequence = last.map_or(1, |k| k.item.sequence.saturating_add(1));
        let item = PiggybackValue {
            topic,
            source: source.clone(),
            sequence,
            left: lifetime,
            value,
        };
        self.merge_within(now, item, MAX_SOURCES + 1);
        Ok(())
    }

    /// Merges a value from a peer; returns whether it is news.
    pub fn merge(&mut self, now: Moment, item: PiggybackValue) -> bool {
        self.merge_within(now, item, MAX_SOURCES)
    }

    /// Returns the values that were dropped since the last call.
    pub fn take_dropped(&mut self) -> DroppedValues {
        std::mem::take(&mut self.dropped)
    }

    fn merge_within(&mut self, now: Moment, mut item: PiggybackValue, most: usize) -> bool {
        if item.value.len() > MAX_VALUE_BYTES || item.left == Span::default() {
            return false;
        }
        item.left = item.left.min(MAX_LIFETIME);
        let values = self.stored.entry(item.topic).or_default();
        let has_room = values.len() < most;
        let expires = now + item.left;
        let fresh = StoredValue {
            item,
            expires,
            sent: 0,
        };
        match values.entry(fresh.item.source.host.clone()) {
            Entry::Occupied(mut entry) if fresh.order_key() > entry.get().order_key() => {
                entry.insert(fresh);
                true
            }
            Entry::Vacant(entry) if has_room => {
                entry.insert(fresh);
                true
            }
            Entry::Vacant(_) => {
                self.dropped.count += 1;
                self.dropped.last = Some(fresh.item.source);
                false
            }
            Entry::Occupied(_) => false,
        }
    }

    /// Returns the values of a topic with their sources.
    pub fn values(&self, topic: Topic) -> impl Iterator<Item = (&ProcessId, &[u8])> {
        let values = self.stored.get(&topic).into_iter();
        values
            .flat_map(BTreeMap::values)
            .map(|k| (&k.item.source, k.item.value.as_slice()))
    }

    /// Removes expired values.
    pub fn expire(&mut self, now: Moment) {
        for values in self.stored.values_mut() {
            values.retain(|_, k| k.expires > now);
        }
    }

    /// Picks values for a peer within a budget of bytes, the most urgent topics first.
    ///
    /// Each value is picked a few times in all; after that, only the peers pass it on.
    pub(crate) fn pick(
        &mut self,
        now: Moment,
        same_zone: bool,
        budget: &mut usize,
    ) -> Vec<PiggybackValue> {
        let mut picked = Vec::new();
        for stored in self.stored.values_mut().flat_map(BTreeMap::values_mut) {
            let travels = same_zone || stored.item.topic.scope() == Scope::Everywhere;
            let size = stored.size();
            if !travels
                || stored.sent >= stored.item.topic.retransmits()
                || stored.expires <= now
                || size > *budget
            {
                continue;
            }
            *budget -= size;
            stored.sent += 1;
            let left = now.until(stored.expires);
            picked.push(PiggybackValue {
                left,
                ..stored.item.clone()
            });
        }
        picked
    }

    /// Returns all values, for a process that has just joined.
    pub(crate) fn all_values(&self, now: Moment, same_zone: bool) -> Vec<PiggybackValue> {
        let travels = |k: &&StoredValue| same_zone || k.item.topic.scope() == Scope::Everywhere;
        let live = self
            .stored
            .values()
            .flat_map(BTreeMap::values)
            .filter(travels);
        live.filter(|k| k.expires > now)
            .map(|k| PiggybackValue {
                left: now.until(k.expires),
                ..k.item.clone()
            })
            .collect()
    }
}

impl StoredValue {
    fn order_key(&self) -> (Incarnation, u64) {
        (self.item.source.incarnation, self.item.sequence)
    }

    /// Returns the approximate size of the value on the wire, in bytes.
    fn size(&self) -> usize {
        self.item.value.len() + self.item.source.host.as_str().len() + 24
    }
}
