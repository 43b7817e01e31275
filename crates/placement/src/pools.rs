//! Groups servers that run and stall together into pools.
//!
//! A service can have several groups. One that is out must not block the others, and servers that
//! belong to no complete group get no requests. Where no groups are known, all servers of a service
//! form one pool.

use std::collections::{BTreeMap, BTreeSet};

use snipemast_core::prelude::*;
use snipemast_core::server::GroupRank;

/// How many of a group's ranks must be reported for the group to count as complete, in hundredths.
/// The sidecar of a rank may still be starting.
const COMPLETE_PERCENT: usize = 75;

/// How many of the reported ranks must have stalled for their group to count as stalled: in
/// hundredths, and as a number. One mistaken sidecar must not shut a group, and in a group with
/// little to do only few ranks notice a stall.
const STALLED_PERCENT: usize = 25;
const MIN_STALLED_RANKS: usize = 2;

/// The servers of a service that run and stall together: the ranks of one group, or all servers
/// that belong to none.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Pool {
    /// The service.
    pub service: ServiceId,
    /// The group, if the servers belong to one.
    pub group: Option<GroupId>,
}

/// What is known of one server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerReport {
    /// The server's id.
    pub server: ServerId,
    /// The server's service.
    pub service: ServiceId,
    /// The server's rank in a group, if it is known to have one.
    pub rank: Option<GroupRank>,
}

/// The state of a group as a whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GroupState {
    /// The epoch of the group, which grows each time that it forms.
    pub epoch: GroupIncarnation,
    /// Whether the group is running.
    pub running: bool,
}

/// The pools of all services.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Pools {
    /// The pool of each server that gets requests.
    servers: BTreeMap<ServerId, Pool>,
    groups: BTreeMap<Pool, GroupState>,
}

impl Pools {
    /// Sorts servers into pools by what is known of each.
    pub fn new(reports: &[ServerReport]) -> Self {
        let mut members: BTreeMap<Pool, Vec<&GroupRank>> = BTreeMap::new();
        for report in reports {
            if let Some(rank) = &report.rank {
                members.entry(report.pool()).or_default().push(rank);
            }
        }
        let complete = members.iter().filter_map(|(pool, ranks)| {
            let state = group_state(ranks)?;
            Some((pool.clone(), state))
        });
        let groups: BTreeMap<Pool, GroupState> = complete.collect();
        let grouped: BTreeSet<&ServiceId> = groups.keys().map(|pool| &pool.service).collect();
        let in_use = reports.iter().filter_map(|report| {
            let pool = report.pool();
            // Where no group is known to be complete, the servers' own refusals decide.
            let is_used = groups.contains_key(&pool) || !grouped.contains(&report.service);
            is_used.then(|| (report.server.clone(), pool))
        });
        Self {
            servers: in_use.collect(),
            groups,
        }
    }

    /// Returns the pool of a server, or nothing if the server gets no requests.
    pub fn pool(&self, server: &ServerId) -> Option<&Pool> {
        self.servers.get(server)
    }

    /// Returns the groups that are complete.
    pub fn groups(&self) -> impl Iterator<Item = (&Pool, GroupState)> {
        self.groups.iter().map(|(pool, state)| (pool, *state))
    }
}

impl ServerReport {
    fn pool(&self) -> Pool {
        Pool {
            service: self.service.clone(),
            group: self.rank.as_ref().map(|rank| rank.group.clone()),
        }
    }
}

/// Returns the state of the group of these ranks, or nothing if it is not complete.
fn group_state(ranks: &[&GroupRank]) -> Option<GroupState> {
    // While a group forms again, some of its ranks still report the epoch before.
    let epoch = ranks.iter().map(|rank| rank.epoch).max()?;
    let members: Vec<&&GroupRank> = ranks.iter().filter(|rank| rank.epoch == epoch).collect();
    let size = members.iter().map(|rank| rank.size as usize).max()?;
    let places: BTreeSet<u32> = members.iter().map(|rank| rank.place).collect();
    if places.len() * 100 < size * COMPLETE_PERCENT {
        return None;
    }
    let stalled = members.iter().filter(|rank| !rank.open).count();
    let is_stalled =
        stalled >= MIN_STALLED_RANKS.min(size) && stalled * 100 >= members.len() * STALLED_PERCENT;
    Some(GroupState {
        epoch,
        running: !is_stalled,
    })
}
