//! Which servers run and stall together.
//!
//! Answers a service of many groups: one that is out must not shut the others, and what runs in none of them gets no
//! request. Where nothing is told of groups, all servers of a service are one pool.

use std::collections::{BTreeMap, BTreeSet};

use snipemast_core::prelude::*;
use snipemast_core::server::GroupRank;

/// How many of a group's ranks must be told of for it to count as whole, in hundredths: a process beside a rank may
/// just be starting.
const WHOLE: usize = 75;

/// How many of the ranks that were told of must have stalled for their group to count as stalled, in hundredths, and
/// at least: one process that is mistaken shuts no group, and of a group with little to do few ranks can tell.
const STALLED: usize = 25;
const STALLED_LEAST: usize = 2;

/// The servers of a service that run and stall together: the ranks of a group, or all that belong to none.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Pool {
    /// The service.
    pub service: ServiceId,
    /// The group.
    pub group: Option<GroupId>,
}

/// What is told of one server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Told {
    /// The server.
    pub server: ServerId,
    /// Its service.
    pub service: ServiceId,
    /// Its place in a group, where it is known to have one.
    pub rank: Option<GroupRank>,
}

/// What is known of a group as a whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Forming {
    /// Which forming of it.
    pub epoch: GroupIncarnation,
    /// Whether it goes on.
    pub goes_on: bool,
}

/// The pools of all services.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Pools {
    /// By server; nothing where it gets no request.
    servers: BTreeMap<ServerId, Pool>,
    groups: BTreeMap<Pool, Forming>,
}

impl Pools {
    /// Sorts servers into pools, by what is told of each.
    pub fn new(told: &[Told]) -> Self {
        let mut members: BTreeMap<Pool, Vec<&GroupRank>> = BTreeMap::new();
        for one in told {
            if let Some(rank) = &one.rank {
                members.entry(one.pool()).or_default().push(rank);
            }
        }
        let whole = members.iter().filter_map(|(pool, ranks)| {
            let forming = forming(ranks)?;
            Some((pool.clone(), forming))
        });
        let groups: BTreeMap<Pool, Forming> = whole.collect();
        let grouped: BTreeSet<&ServiceId> = groups.keys().map(|pool| &pool.service).collect();
        let offered = told.iter().filter_map(|one| {
            let pool = one.pool();
            // Where no group is known to be whole, the servers' own refusals decide.
            let open = groups.contains_key(&pool) || !grouped.contains(&one.service);
            open.then(|| (one.server.clone(), pool))
        });
        Self {
            servers: offered.collect(),
            groups,
        }
    }

    /// The pool of a server; nothing where it gets no request.
    pub fn pool(&self, server: &ServerId) -> Option<&Pool> {
        self.servers.get(server)
    }

    /// The groups that are whole.
    pub fn groups(&self) -> impl Iterator<Item = (&Pool, Forming)> {
        self.groups.iter().map(|(pool, forming)| (pool, *forming))
    }
}

impl Told {
    fn pool(&self) -> Pool {
        Pool {
            service: self.service.clone(),
            group: self.rank.as_ref().map(|rank| rank.group.clone()),
        }
    }
}

/// What is known of a group by its ranks; nothing where it is not whole.
fn forming(ranks: &[&GroupRank]) -> Option<Forming> {
    // While a group forms again, some of its ranks tell the epoch before.
    let epoch = ranks.iter().map(|rank| rank.epoch).max()?;
    let members: Vec<&&GroupRank> = ranks.iter().filter(|rank| rank.epoch == epoch).collect();
    let size = members.iter().map(|rank| rank.size as usize).max()?;
    let places: BTreeSet<u32> = members.iter().map(|rank| rank.place).collect();
    if places.len() * 100 < size * WHOLE {
        return None;
    }
    let stalled = members.iter().filter(|rank| !rank.open).count();
    let enough = stalled >= STALLED_LEAST.min(size) && stalled * 100 >= members.len() * STALLED;
    Some(Forming {
        epoch,
        goes_on: !enough,
    })
}
