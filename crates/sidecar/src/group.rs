//! What a lead knows of its group.

use std::net::SocketAddr;
use std::sync::Arc;

use snipemast_core::prelude::*;
use snipemast_groups::demand::Demand;
use snipemast_groups::draft::{Base, Draft};
use snipemast_groups::map::{ExpertMap, Layer};
use snipemast_groups::switch::{RankState, Switch};
use snipemast_routes::engine::Experts;

use crate::peers::{RankReport, StateQuery};

/// The pace, in hundredths, up to which a rank is as fast as usual.
const USUAL: u32 = 110;

/// In how many looks every rank of a group is looked at that is idle, where it has more than
/// [`FEW`] ranks: 72 answers at each look took the lead's whole processor.
const TURNS: usize = 4;
const FEW: usize = 18;

/// What is known of a group.
pub(crate) struct Group {
    /// Its incarnation.
    pub(crate) epoch: GroupIncarnation,
    /// What is under way.
    pub(crate) switch: Switch,
    /// The map in force, and its number.
    pub(crate) map: Arc<ExpertMap>,
    pub(crate) version: MapVersion,
    /// By what ranks know it, slot by slot; nothing where an earlier lead told it.
    pub(crate) base: Option<Base>,
    /// The map that is being brought into force.
    pub(crate) next: Option<Arc<ExpertMap>>,
    /// The demand for experts.
    pub(crate) demand: Demand,
    /// Whether it has settled since its last shift.
    pub(crate) settled: bool,
    /// The processes beside the ranks.
    pub(crate) addresses: Vec<SocketAddr>,
    /// The ranks' states, as last seen.
    pub(crate) states: Vec<RankState>,
    /// Which start of each rank belongs to the group.
    starts: Vec<Incarnation>,
    /// How much longer than usual each rank takes, in hundredths.
    paces: Vec<u32>,
    /// Counts the looks.
    looks: usize,
}

impl Group {
    /// A group whose ranks were all seen, in their order, and the map in force.
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
            looks: 0,
        }
    }

    /// Whom to ask what at the next look: all ranks, or those that count and a part of the others.
    pub(crate) fn queries(&mut self, all: bool) -> Vec<(SocketAddr, StateQuery)> {
        self.looks += 1;
        let turn = self.looks % TURNS;
        let all = all || self.addresses.len() <= FEW;
        let ranks = self.addresses.iter().enumerate();
        let asked = ranks.filter_map(|(rank, address)| {
            let counted = self.demand.sample_cursor(rank);
            let wanted = all || counted.is_some() || rank % TURNS == turn;
            let query = StateQuery {
                experts: false,
                counted,
            };
            wanted.then_some((*address, query))
        });
        asked.collect()
    }

    /// Takes what ranks said; false where they are not the group that is known.
    pub(crate) fn take(&mut self, now: Moment, seen: &[(SocketAddr, RankReport)]) -> bool {
        let same = seen.iter().all(|(address, seen)| {
            let known = self.addresses.get(seen.rank);
            let again = self.starts.get(seen.rank) != Some(&seen.start);
            known == Some(address) && !again && seen.state.epoch == self.epoch
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

    /// Whether nothing is under way on any rank, and the map that is known is in force.
    pub(crate) fn is_steady(&self) -> bool {
        let mut states = self.states.iter();
        states.all(|s| s.map == self.version && s.armed.is_none() && s.held.is_none())
    }

    /// The map that all ranks have in force, where it is another one than is known.
    pub(crate) fn other_map(&self) -> Option<MapVersion> {
        let other = self.states[0].map;
        let all = self.states.iter().all(|s| s.map == other);
        (all && other != self.version).then_some(other)
    }

    /// A map as ranks are told it: by its difference from the one in force, where they know that as this lead does.
    pub(crate) fn draft(&self, map: &Arc<ExpertMap>) -> Draft {
        match self.base {
            Some(base) => Draft::new(base, &self.map, map),
            None => Draft::Whole(Arc::clone(map)),
        }
    }

    /// The highest map number on any rank.
    pub(crate) fn highest(&self) -> MapVersion {
        let highest = self.states.iter().map(RankState::highest_map);
        highest.max().unwrap_or_default()
    }

    /// How much longer than usual each rank takes, as a factor.
    pub(crate) fn paces(&self) -> Vec<f64> {
        self.paces.iter().map(|p| f64::from(*p) / 100.0).collect()
    }

    /// The processes beside ranks that are slow, with their paces in hundredths.
    pub(crate) fn slow(&self) -> Vec<(SocketAddr, u32)> {
        let both = self.addresses.iter().zip(&self.paces);
        let slow = both.filter(|(_, pace)| **pace > USUAL);
        slow.map(|(address, pace)| (*address, *pace)).collect()
    }
}

/// The map that a group has in force, and by what its ranks know it; nothing where they did not say what they
/// hold.
pub(crate) fn map_in_force(
    experts: &Experts,
    seen: &[RankReport],
) -> Option<(ExpertMap, Option<Base>)> {
    let held = held_map(experts, seen);
    if seen[0].state.map != MapVersion(0) {
        return Some((held?, None));
    }
    let (base, first) = first_map(experts, seen.len());
    match held {
        // The same ranks hold the same experts, in other slots at most.
        Some(held) if !first.has_same_holders(&held) => Some((held, None)),
        _ => Some((first, Some(base))),
    }
}

/// The map that a group begins with: experts dealt out in turn.
fn first_map(experts: &Experts, ranks: usize) -> (Base, ExpertMap) {
    let (layers, ranks) = (experts.sets as u16, ranks as u16);
    let (slots, experts) = (experts.places as u16, experts.count as u16);
    let base = Base::RoundRobin {
        layers,
        ranks,
        slots,
        experts,
    };
    let map = ExpertMap::round_robin(usize::from(layers), ranks, slots, experts);
    (base, map)
}

/// The map out of what each rank says it holds; nothing where one did not say.
fn held_map(experts: &Experts, seen: &[RankReport]) -> Option<ExpertMap> {
    let (sets, places) = (experts.sets as usize, experts.places as u16);
    let usual = |held: &Vec<u16>| held.iter().all(|e| u32::from(*e) < experts.count);
    let whole = |s: &RankReport| s.experts.len() == sets && s.experts.iter().all(usual);
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
