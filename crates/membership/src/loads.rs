//! Loads of agents within the zone, and summaries of pools across zones.

use std::collections::BTreeMap;

use snipemast_core::prelude::*;

use crate::message::{AgentLoad, Load, PoolSummary};
use crate::table::Table;

/// How long after its last transmission a load or summary that didn't change is sent again.
const REFRESH_INTERVAL: Span = Span::from_secs(30);

/// The known loads.
#[derive(Debug, Default)]
pub struct Loads {
    agents: BTreeMap<HostId, KnownLoad>,
    /// The summaries that other zones sent, by their zone and offer.
    pools: BTreeMap<(ZoneId, String), (PoolSummary, Moment)>,
    /// The summaries that were last sent, by the receiving zone and the offer.
    sent_pools: BTreeMap<(ZoneId, String), (PoolSummary, Moment)>,
}

#[derive(Debug)]
struct KnownLoad {
    load: Load,
    /// When the load was reported.
    at: Moment,
    /// The load that is being sent to peers.
    sent_load: Load,
    /// When `sent_load` was adopted.
    sent_at: Moment,
    /// How often `sent_load` has been sent.
    sent: u32,
}

impl Loads {
    /// Records an agent's load, whose age is part of it.
    pub fn record(&mut self, now: Moment, host: &HostId, load: Load) {
        let at = now - Span::from_millis(load.age.into());
        let Some(known) = self.agents.get_mut(host) else {
            let known = KnownLoad {
                load,
                at,
                sent_load: load,
                sent_at: now,
                sent: 0,
            };
            self.agents.insert(host.clone(), known);
            return;
        };
        if at <= known.at {
            return;
        }
        known.load = load;
        known.at = at;
        if is_significant(known.sent_load, load) || now.since(known.sent_at) > REFRESH_INTERVAL {
            known.sent_load = load;
            known.sent_at = now;
            known.sent = 0;
        }
    }

    /// Records an agent's load that a peer reported. An old load of an agent without an owner is ignored, so that peers don't
    /// send each other the loads of gone agents for good.
    pub fn record_reported(&mut self, now: Moment, table: &Table, host: &HostId, load: Load) {
        let age = Span::from_millis(load.age.into());
        if age < REFRESH_INTERVAL || table.is_owned(host) {
            self.record(now, host, load);
        }
    }

    /// Returns an agent's load with its current age.
    pub fn load(&self, now: Moment, host: &HostId) -> Option<LoadReport> {
        let known = self.agents.get(host)?;
        let report = LoadReport::from(known.load);
        Some(LoadReport {
            age: now.since(known.at),
            ..report
        })
    }

    /// Forgets the load of an agent that is gone.
    pub fn forget(&mut self, host: &HostId) {
        self.agents.remove(host);
    }

    /// Picks changed loads for a peer of the zone, the latest first.
    pub fn pick(&mut self, now: Moment, retransmits: u32, budget: &mut usize) -> Vec<AgentLoad> {
        let mut fresh: Vec<_> = self
            .agents
            .iter_mut()
            .filter(|(_, k)| k.sent < retransmits)
            .collect();
        fresh.sort_by_key(|(_, k)| std::cmp::Reverse(k.at));
        let mut picked = Vec::new();
        for (host, known) in fresh {
            let size = host.as_str().len() + 12;
            if size > *budget {
                break;
            }
            *budget -= size;
            known.sent += 1;
            let age = u32::try_from(now.since(known.at).as_millis()).unwrap_or(u32::MAX);
            picked.push(AgentLoad {
                host: host.clone(),
                load: Load { age, ..known.load },
            });
        }
        picked
    }

    /// Returns the summaries of other zones' pools, with their ages.
    pub fn pools(&self, now: Moment) -> impl Iterator<Item = (&PoolSummary, Span)> {
        self.pools.values().map(move |(p, at)| (p, now.since(*at)))
    }

    /// Records a zone's summary of a pool.
    pub fn record_pool(&mut self, now: Moment, pool: PoolSummary) {
        let key = (pool.zone.clone(), pool.offer.clone());
        self.pools.insert(key, (pool, now));
    }

    /// Forgets summaries that are older than a span, and what is due to be sent again anyway: old loads of agents without an
    /// owner, and the record of old transmissions.
    pub fn expire(&mut self, now: Moment, table: &Table, keep: Span) {
        self.pools.retain(|_, (_, at)| now.since(*at) < keep);
        let is_due = |at: Moment| now.since(at) >= REFRESH_INTERVAL;
        self.agents
            .retain(|host, known| !is_due(known.at) || table.is_owned(host));
        self.sent_pools.retain(|_, (_, at)| !is_due(*at));
    }

    /// Returns the hosts of the agents whose load is known.
    pub fn hosts(&self) -> impl Iterator<Item = &HostId> {
        self.agents.keys()
    }

    /// Returns the number of summaries whose transmission is remembered.
    pub fn sent_count(&self) -> usize {
        self.sent_pools.len()
    }

    /// Picks the summaries of the own zone's pools that changed since they were last sent to
    /// another zone.
    pub fn pick_pools(
        &mut self,
        now: Moment,
        table: &Table,
        zones: (&ZoneId, &ZoneId),
        budget: &mut usize,
    ) -> Vec<PoolSummary> {
        let (own, other) = zones;
        let mut picked = Vec::new();
        for pool in self.summaries(table, own) {
            let key = (other.clone(), pool.offer.clone());
            let size = pool.offer.len() + own.as_str().len() + 12;
            let previous = self.sent_pools.get(&key);
            let same = previous.is_some_and(|(p, at)| {
                p.servers == pool.servers
                    && p.load.abs_diff(pool.load) * 8 <= p.load.max(8)
                    && now.since(*at) < REFRESH_INTERVAL
            });
            if same || size > *budget {
                continue;
            }
            *budget -= size;
            self.sent_pools.insert(key, (pool.clone(), now));
            picked.push(pool);
        }
        picked
    }

    fn summaries(&self, table: &Table, zone: &ZoneId) -> Vec<PoolSummary> {
        let mut pools: BTreeMap<String, PoolSummary> = BTreeMap::new();
        for host in table.agents() {
            let Some(card) = table.agent(host) else {
                continue;
            };
            if card.draining || card.zone != *zone {
                continue;
            }
            let load = self.agents.get(host).map_or(0, |k| k.load.total());
            for offer in &card.info.offers {
                let pool = pools
                    .entry(offer.to_string())
                    .or_insert_with(|| PoolSummary {
                        zone: zone.clone(),
                        offer: offer.to_string(),
                        servers: 0,
                        slots: 0,
                        load: 0,
                    });
                pool.servers += 1;
                pool.slots += card.info.slots;
                pool.load += load;
            }
        }
        pools.into_values().collect()
    }
}

/// Whether a load differs enough to be sent: it changed by about a half, or the engine restarted.
fn is_significant(sent_load: Load, load: Load) -> bool {
    let scale = |l: Load| u32::BITS - l.total().leading_zeros();
    scale(sent_load) != scale(load) || sent_load.restarts != load.restarts
}
