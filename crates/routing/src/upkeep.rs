//! Upkeep of the router's table: its pools, their means, and which servers may be ejected.

use std::collections::HashMap;

use snipemast_core::prelude::*;

use crate::pick::{tier_means, update_group_steps};
use crate::pool::{Proximity, TIERS};
use crate::query::Notice;
use crate::router::Router;
use crate::wanted::Wanted;

impl Router {
    /// Whether each pool of a server would keep enough other servers if it were ejected.
    ///
    /// If requests fail for a reason common to all servers, every one looks unhealthy. Ejecting
    /// them all would turn slow answers into none, so only a share of a pool is ever ejected.
    pub(crate) fn may_eject(&self, now: Moment, index: u32) -> bool {
        self.pools.values().all(|pool| {
            let mut members = pool.tiers.iter().flat_map(|t| &t.servers);
            if !members.clone().any(|&n| n == index) {
                return true;
            }
            let is_ejected = |n: u32| {
                self.servers[n as usize]
                    .as_ref()
                    .is_some_and(|s| s.health.is_ejected(now))
            };
            let bound = (pool.len() as f64 * self.policy.health.max_ejected_share) as usize;
            let count = members.by_ref().filter(|&&n| is_ejected(n)).count();
            count < bound
        })
    }

    /// Builds the pools again. This is rare, so it may be slow.
    pub(crate) fn rebuild_pools(&mut self) {
        let spilling: HashMap<Wanted, [bool; TIERS]> = self
            .pools
            .drain()
            .map(|(wanted, pool)| (wanted, pool.tiers.each_ref().map(|t| t.spilling)))
            .collect();
        // The servers are added in the order of their hosts, so that all entries shuffle the same
        // list.
        for &index in self.hosts.values() {
            let Some(server) = &self.servers[index as usize] else {
                continue;
            };
            let near = Proximity::between(&self.location, server) as usize;
            for wanted in server.offered() {
                let pool = self.pools.entry(wanted).or_default();
                pool.tiers[near].servers.push(index);
            }
        }
        for (wanted, pool) in &mut self.pools {
            for (n, tier) in pool.tiers.iter_mut().enumerate() {
                tier.spilling = spilling.get(wanted).is_some_and(|s| s[n]);
                let all = tier.servers.len() as f64;
                if let Some(subset) = self.subset {
                    subset.narrow(&mut tier.servers);
                }
                let seed =
                    |index: &u32| self.servers[*index as usize].as_ref().map_or(0, |s| s.seed);
                tier.seeds = tier.servers.iter().map(seed).collect();
                tier.listed_ratio = all / (tier.servers.len() as f64).max(1.0);
            }
        }
    }

    /// Refreshes the means of a pool's tiers if they are too old.
    pub(crate) fn refresh_means(&mut self, now: Moment, wanted: &Wanted) {
        let Some(pool) = self.pools.get_mut(wanted) else {
            return;
        };
        let due = |m: Moment| now.since(m) >= self.policy.refresh_interval;
        if !pool.refreshed.is_none_or(due) {
            return;
        }
        pool.refreshed = Some(now);
        for server in pool.tiers.iter().flat_map(|t| &t.servers) {
            let Some(server) = self.servers[*server as usize].as_mut() else {
                continue;
            };
            if server.health.take_returned(now) {
                let id = server.facts.info.server.clone();
                self.notices.push(Notice::Returned(id));
            }
        }
        update_group_steps(&mut self.group_steps, &self.servers, pool);
        for (near, tier) in Proximity::ALL.into_iter().zip(&mut pool.tiers) {
            let listed = tier.servers.iter();
            let servers = listed.filter_map(|&index| self.servers[index as usize].as_ref());
            tier.means = tier_means(servers, now);
            if let Some(spilling) = tier.update_spilling(&self.policy.spill) {
                self.notices.push(Notice::Spilled(near, spilling));
            }
        }
    }
}
