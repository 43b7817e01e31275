//! The state of a group as its lead knows it.

use std::net::SocketAddr;
use std::sync::Arc;

use snipemast_core::prelude::*;
use snipemast_groups::demand::Demand;
use snipemast_groups::draft::{Base, Draft};
use snipemast_groups::map::{ExpertMap, Layer};
use snipemast_groups::switch::{RankState, Switch};
use snipemast_routes::engine::Experts;

use crate::peers::{RankReport, StateQuery};

/// The highest pace, in hundredths of the usual time, at which a rank doesn't count as slow.
const USUAL_PACE: u32 = 110;

/// In how many polls each rank of an idle group is queried once, where the group has more than
/// [`FULL_POLL_RANKS`] ranks: 72 answers to each poll took the lead's whole processor.
const POLL_TURNS: usize = 4;
/// The most ranks that are all queried in each poll.
const FULL_POLL_RANKS: usize = 18;

/// A group as its lead knows it.
pub(crate) struct Group {
    /// The group's incarnation.
    pub(crate) epoch: GroupIncarnation,
    /// The switch under way.
    pub(crate) switch: Switch,
    /// The map in force.
    pub(crate) map: Arc<ExpertMap>,
    /// The version of the map in force.
    pub(crate) version: MapVersion,
    /// The base that ranks share with this lead, slot by slot; nothing where an earlier lead sent the map.
    pub(crate) base: Option<Base>,
    /// The map that the group switches to.
    pub(crate) next: Option<Arc<ExpertMap>>,
    /// The demand for experts.
    pub(crate) demand: Demand,
    /// Whether the demand has settled since its last shift.
    pub(crate) settled: bool,
    /// The processes beside the ranks.
    pub(crate) addresses: Vec<SocketAddr>,
    /// The last known states of the ranks.
    pub(crate) states: Vec<RankState>,
    /// The start of each rank that belongs to the group.
    starts: Vec<Incarnation>,
    /// How long each rank takes, in hundredths of the usual time.
    paces: Vec<u32>,
    /// The number of polls so far.
    polls: usize,
}

impl Group {
    /// Creates a group from the reports of all of its ranks, in their order, and the map in force.
    pub(crate) fn new(
        lead: Ballot,
        addresses: Vec<SocketAddr>,
        seen: &[RankReport],
        (map, base): (ExpertMap, Option<Base>),
    ) -> Self {
        let ranks = seen.len();
        Self {
            epoch: seen[0].state.epoch,
            switch: Switch::new(ranks, lead),
            demand: Demand::new(map.layers.len(), ranks),
            settled: false,
            map: Arc::new(map),
            base,
            version: seen[0].state.map,
            next: None,
            addresses,
            states: seen.iter().map(|s| s.state).collect(),
            starts: seen.iter().map(|s| s.start).collect(),
            paces: seen.iter().map(|s| s.pace).collect(),
            polls: 0,
        }
    }

    /// Returns the queries of the next poll: to all ranks, or to those that count choices and a part of the others.
    pub(crate) fn queries(&mut self, all: bool) -> Vec<(SocketAddr, StateQuery)> {
        self.polls += 1;
        let turn = self.polls % POLL_TURNS;
        let all = all || self.addresses.len() <= FULL_POLL_RANKS;
        let ranks = self.addresses.iter().enumerate();
        let queries = ranks.filter_map(|(rank, address)| {
            let counted = self.demand.sample_cursor(rank);
            let wanted = all || counted.is_some() || rank % POLL_TURNS == turn;
            let query = StateQuery {
                experts: false,
                counted,
            };
            wanted.then_some((*address, query))
        });
        queries.collect()
    }

    /// Takes ranks' reports; returns false where they belong to another formation of the group.
    pub(crate) fn apply_reports(&mut self, now: Moment, seen: &[(SocketAddr, RankReport)]) -> bool {
        let same = seen.iter().all(|(address, seen)| {
            let known = self.addresses.get(seen.rank);
            let restarted = self.starts.get(seen.rank) != Some(&seen.start);
            known == Some(address) && !restarted && seen.state.epoch == self.epoch
        });
        if !same {
            return false;
        }
        for (_, seen) in seen {
            self.states[seen.rank] = seen.state;
            self.paces[seen.rank] = seen.pace;
            if let Some(counted) = &seen.counted {
                self.demand.add(seen.rank, counted);
            }
        }
        self.settled = self.demand.finish_poll(now);
        true
    }

    /// Whether no rank is armed or held, and all have the known map in force.
    pub(crate) fn is_steady(&self) -> bool {
        let mut states = self.states.iter();
        states.all(|s| s.map == self.version && s.armed.is_none() && s.held.is_none())
    }

    /// Returns the version that all ranks have in force, where it differs from the known one.
    pub(crate) fn differing_map(&self) -> Option<MapVersion> {
        let other = self.states[0].map;
        let all = self.states.iter().all(|s| s.map == other);
        (all && other != self.version).then_some(other)
    }

    /// Returns a map in the form that is sent to ranks: as its difference from the one in force where they share
    /// that with this lead, else whole.
    pub(crate) fn draft(&self, map: &Arc<ExpertMap>) -> Draft {
        match self.base {
            Some(base) => Draft::new(base, &self.map, map),
            None => Draft::Whole(Arc::clone(map)),
        }
    }

    /// Returns the highest map version on any rank.
    pub(crate) fn highest_version(&self) -> MapVersion {
        let highest = self.states.iter().map(RankState::highest_map);
        highest.max().unwrap_or_default()
    }

    /// Returns how long each rank takes, as a factor of the usual time.
    pub(crate) fn pace_factors(&self) -> Vec<f64> {
        self.paces.iter().map(|p| f64::from(*p) / 100.0).collect()
    }

    /// Returns the processes beside slow ranks, with the ranks' paces in hundredths.
    pub(crate) fn slow_ranks(&self) -> Vec<(SocketAddr, u32)> {
        let paced = self.addresses.iter().zip(&self.paces);
        let slow = paced.filter(|(_, pace)| **pace > USUAL_PACE);
        slow.map(|(address, pace)| (*address, *pace)).collect()
    }
}

/// Returns the map that a group has in force, and the base that its ranks share; nothing where they didn't report
/// what they hold, or the configuration names more experts than fit.
pub(crate) fn map_in_force(
    experts: &Experts,
    seen: &[RankReport],
) -> Option<(ExpertMap, Option<Base>)> {
    let held = held_map(experts, seen);
    if seen[0].state.map != MapVersion(0) {
        return Some((held?, None));
    }
    let (base, first) = first_map(experts, seen.len())?;
    match held {
        // Where the same ranks hold the same experts, only the slots may differ from the first map.
        Some(held) if !first.has_same_holders(&held) => Some((held, None)),
        _ => Some((first, Some(base))),
    }
}

/// Returns the map that a group begins with, which assigns experts to ranks round-robin.
fn first_map(experts: &Experts, ranks: usize) -> Option<(Base, ExpertMap)> {
    let (layers, ranks) = (number(experts.sets)?, u16::try_from(ranks).ok()?);
    let (slots, experts) = (number(experts.places)?, number(experts.count)?);
    let base = Base::RoundRobin {
        layers,
        ranks,
        slots,
        experts,
    };
    let map = ExpertMap::fitting_round_robin(layers, ranks, slots, experts)?;
    Some((base, map))
}

/// Returns a number of the configuration, if maps can hold it.
fn number(configured: u32) -> Option<u16> {
    u16::try_from(configured).ok()
}

/// Builds the map from what each rank reports to hold; nothing where a rank didn't report it.
fn held_map(experts: &Experts, seen: &[RankReport]) -> Option<ExpertMap> {
    let (sets, places) = (experts.sets as usize, number(experts.places)?);
    let valid = |held: &Vec<u16>| held.iter().all(|e| u32::from(*e) < experts.count);
    let whole = |s: &RankReport| s.experts.len() == sets && s.experts.iter().all(valid);
    if !seen.iter().all(whole) {
        return None;
    }
    let mut layers = vec![Layer::new(seen.len() as u16, places); sets];
    for (rank, seen) in seen.iter().enumerate() {
        for (set, held) in seen.experts.iter().enumerate() {
            for (slot, expert) in held.iter().enumerate().take(usize::from(places)) {
                layers[set].set(rank as u16, slot as u16, *expert);
            }
        }
    }
    Some(ExpertMap { layers })
}
