//! How the router's table is kept: the lists of its pools, their means, and what may be ejected.

use std::collections::HashMap;

use snipemast_core::prelude::*;

use crate::pick::{group_steps, means};
use crate::pool::{Proximity, TIERS};
use crate::query::Notice;
use crate::router::Router;
use crate::wanted::Wanted;

impl Router {
    /// Whether each pool of the server would keep enough of its servers.
    ///
    /// Where something common to all makes requests fail, every server looks ill; ejecting them
    /// all would turn slow answers into none. The share bounds what a wrong verdict can cost.
    pub(crate) fn may_eject(&self, now: Moment, at: u32) -> bool {
        self.pools.values().all(|pool| {
            let mut of_pool = pool.tiers.iter().flat_map(|t| &t.list);
            if !of_pool.clone().any(|&n| n == at) {
                return true;
            }
            let out = |n: u32| {
                self.servers[n as usize]
                    .as_ref()
                    .is_some_and(|s| s.health.is_ejected(now))
            };
            let bound = (pool.len() as f64 * self.policy.health.share) as usize;
            let count = of_pool.by_ref().filter(|&&n| out(n)).count();
            count < bound
        })
    }

    /// Builds the pools' lists anew: rare, so it may take its time.
    pub(crate) fn relist(&mut self) {
        let spilling: HashMap<Wanted, [bool; TIERS]> = self
            .pools
            .drain()
            .map(|(wanted, pool)| (wanted, pool.tiers.each_ref().map(|t| t.spilling)))
            .collect();
        // In the order of names, so that all entries shuffle the same list.
        for &at in self.hosts.values() {
            let Some(server) = &self.servers[at as usize] else {
                continue;
            };
            let near = Proximity::of(&self.place, server) as usize;
            for wanted in server.wanted() {
                let pool = self.pools.entry(wanted).or_default();
                pool.tiers[near].list.push(at);
            }
        }
        for (wanted, pool) in &mut self.pools {
            for (n, tier) in pool.tiers.iter_mut().enumerate() {
                tier.spilling = spilling.get(wanted).is_some_and(|s| s[n]);
                let all = tier.list.len() as f64;
                if let Some(seat) = self.seat {
                    seat.narrow(&mut tier.list);
                }
                let seed = |at: &u32| self.servers[*at as usize].as_ref().map_or(0, |s| s.seed);
                tier.seeds = tier.list.iter().map(seed).collect();
                tier.cut = all / (tier.list.len() as f64).max(1.0);
            }
        }
    }

    /// Works out the means of a pool's tiers where they are too old.
    pub(crate) fn refresh(&mut self, now: Moment, wanted: &Wanted) {
        let Some(pool) = self.pools.get_mut(wanted) else {
            return;
        };
        let due = |m: Moment| now.since(m) >= self.policy.refresh;
        if !pool.refreshed.is_none_or(due) {
            return;
        }
        pool.refreshed = Some(now);
        for server in pool.tiers.iter().flat_map(|t| &t.list) {
            let Some(server) = self.servers[*server as usize].as_mut() else {
                continue;
            };
            if server.health.take_return(now) {
                let id = server.facts.info.server.clone();
                self.notices.push(Notice::Returned(id));
            }
        }
        group_steps(&mut self.group_steps, &self.servers, pool);
        for (near, tier) in Proximity::ALL.into_iter().zip(&mut pool.tiers) {
            let listed = tier.list.iter();
            let servers = listed.filter_map(|&at| self.servers[at as usize].as_ref());
            tier.means = means(servers, now);
            if let Some(spilling) = tier.judge(&self.policy.spill) {
                self.notices.push(Notice::Spilled(near, spilling));
            }
        }
    }
}
