//! Searches one layer for a few changes of slots that balance its ranks.

use crate::map::{Layer, Move, EMPTY};
use crate::pack::pack;

/// A change is sought between the `EXTREME` fullest ranks and the `PARTNERS` least full ones, and
/// the other way round.
const EXTREME: usize = 2;
const PARTNERS: usize = 12;

/// The state of a layer after some changes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Point {
    /// The number of moves up to here.
    pub moves: usize,
    /// The number of weight loads among them.
    pub loads: usize,
    /// The load of the fullest rank, with the mean at 1.
    pub fullest: f64,
    /// The gap between the fullest and the least full rank, with the mean at 1.
    pub gap: f64,
}

/// A sequence of moves, the best first, and the state of the layer after each prefix.
#[derive(Debug, Clone, Default)]
pub struct Path {
    /// The moves, in the order in which they are made.
    pub moves: Vec<Move>,
    /// The layer before any move, and after each change.
    pub points: Vec<Point>,
}

/// The tolerances with which a layer is repacked, in addition to the search from its current state.
const TOLERANCES: [f64; 3] = [0.02, 0.08, 0.25];
/// The most weight loads of the search that follows a repack.
const POLISH_LOADS: usize = 8;

/// Returns alternative paths that balance a layer: a few changes of its current state, and repacks
/// that keep more or less of it.
pub fn candidate_paths(number: u16, layer: &Layer, shares: &[f64], bound: usize) -> Vec<Path> {
    let mut paths = vec![search(number, layer, shares, bound)];
    for tolerance in TOLERANCES {
        let packed = pack(layer, shares, tolerance);
        paths.push(
            search(number, &packed, shares, POLISH_LOADS)
                .after_pack(number, layer, &packed, shares),
        );
    }
    paths
}

impl Path {
    /// Returns the path from the old layer, given this path from the packed one.
    fn after_pack(self, number: u16, old: &Layer, packed: &Layer, shares: &[f64]) -> Self {
        let mut layer = packed.clone();
        for m in &self.moves {
            layer.set(m.rank, m.slot, m.loads);
        }
        let before = Search::new(number, old, shares).point(0, 0);
        let (moves, loads) = old.moves_to(number, &layer);
        let after = Search::new(number, &layer, shares).point(moves.len(), loads);
        Self {
            moves,
            points: vec![before, after],
        }
    }
}

/// A change of one or two slots, each given by rank, slot and new expert.
#[derive(Debug, Clone, Copy)]
struct Change {
    first: (u16, u16, u16),
    second: Option<(u16, u16, u16)>,
    gain: f64,
}

/// The state of a search.
#[derive(Debug)]
struct Search<'a> {
    number: u16,
    layer: Layer,
    shares: &'a [f64],
    replicas: Vec<u16>,
    /// The ranks that hold each expert.
    holders: Vec<Vec<u16>>,
    /// The time that each rank takes.
    loads: Vec<f64>,
    /// The factor by which each rank is slower than usual.
    paces: Vec<f64>,
    mean: f64,
    /// For each expert, the gain of its holders from one more replica elsewhere.
    replica_gains: Vec<f64>,
    /// For each expert, the gain of its holders from one replica less.
    removal_gains: Vec<f64>,
}

/// Searches for changes until none helps or this many weights are loaded.
///
/// Each change relieves one of the fullest ranks: it places a replica of one of its experts on a
/// rank with little load, moves the expert there, or swaps it for a smaller one. The best change is
/// the one that reduces the sum of squares of the loads most for each weight load.
pub fn search(number: u16, layer: &Layer, shares: &[f64], bound: usize) -> Path {
    search_paced(number, layer, shares, &[], bound)
}

/// Searches like [`search`], where a slow rank takes longer for the same load by a factor.
///
/// `paces` holds the factor of each rank; ranks beyond its end are as fast as usual.
pub fn search_paced(
    number: u16,
    layer: &Layer,
    shares: &[f64],
    paces: &[f64],
    bound: usize,
) -> Path {
    search_while(number, layer, shares, paces, |point| point.loads < bound)
}

/// Searches like [`search_paced`], for as long as `keep_going` returns true for the last point.
pub fn search_while(
    number: u16,
    layer: &Layer,
    shares: &[f64],
    paces: &[f64],
    mut keep_going: impl FnMut(&Point) -> bool,
) -> Path {
    let mut search = Search::new(number, layer, shares).with_paces(paces);
    let mut path = Path::default();
    let mut point = search.point(0, 0);
    path.points.push(point);
    while keep_going(&point) {
        let Some(change) = search.best() else { break };
        let loads = point.loads + search.apply(change, &mut path.moves);
        point = search.point(path.moves.len(), loads);
        path.points.push(point);
    }
    path
}

impl<'a> Search<'a> {
    fn new(number: u16, layer: &Layer, shares: &'a [f64]) -> Self {
        let total: f64 = shares.iter().sum();
        let mut search = Self {
            number,
            layer: layer.clone(),
            shares,
            replicas: layer.replicas(shares.len()),
            holders: holders(layer, shares.len()),
            loads: layer.rank_loads(shares),
            paces: vec![1.0; usize::from(layer.ranks())],
            mean: (total / f64::from(layer.ranks())).max(1e-12),
            replica_gains: Vec::new(),
            removal_gains: Vec::new(),
        };
        search.update_gains();
        search
    }

    fn with_paces(mut self, paces: &[f64]) -> Self {
        for (own, pace) in self.paces.iter_mut().zip(paces) {
            *own = *pace;
        }
        self.update_loads();
        self.update_gains();
        self
    }

    /// Computes the loads of all ranks.
    fn update_loads(&mut self) {
        for rank in 0..self.layer.ranks() {
            self.update_load(rank);
        }
    }

    fn update_load(&mut self, rank: u16) {
        let held = self.layer.rank_slots(rank).iter().filter(|e| **e != EMPTY);
        let load: f64 = held.map(|expert| self.replica_load(*expert, 0)).sum();
        self.loads[usize::from(rank)] = load * self.paces[usize::from(rank)];
    }

    /// Computes, for each expert, what its holders gain from one replica more or less.
    fn update_gains(&mut self) {
        (self.replica_gains, self.removal_gains) =
            (vec![0.0; self.shares.len()], vec![0.0; self.shares.len()]);
        for expert in 0..self.shares.len() as u16 {
            self.update_expert_gains(expert);
        }
    }

    fn update_expert_gains(&mut self, expert: u16) {
        let now = self.replica_load(expert, 0);
        let (fewer, further) = (
            self.replica_load(expert, -1) - now,
            self.replica_load(expert, 1) - now,
        );
        let at = usize::from(expert);
        let holders = &self.holders[at];
        let (mut more, mut less) = (0.0, 0.0);
        for &rank in holders {
            more += self.shift_gain(rank, further);
            less += self.shift_gain(rank, fewer);
        }
        (self.replica_gains[at], self.removal_gains[at]) = (more, less);
    }

    fn point(&self, moves: usize, loads: usize) -> Point {
        let fullest = self.loads.iter().copied().fold(0.0, f64::max);
        let least = self.loads.iter().copied().fold(f64::INFINITY, f64::min);
        Point {
            moves,
            loads,
            fullest: fullest / self.mean,
            gap: (fullest - least) / self.mean,
        }
    }

    /// Returns the change that gains most for each weight load, where one gains enough.
    fn best(&self) -> Option<Change> {
        let order = self.ranks_by_load();
        let count = order.len();
        let mut best: Option<Change> = None;
        for &from in &order[..EXTREME.min(count)] {
            for &to in &order[count.saturating_sub(PARTNERS).max(EXTREME.min(count))..] {
                self.consider_pair(from, to, &mut best);
            }
        }
        for &to in &order[count.saturating_sub(EXTREME)..] {
            for &from in &order[..PARTNERS.min(count.saturating_sub(EXTREME))] {
                self.consider_pair(from, to, &mut best);
            }
        }
        best.filter(|c| c.gain > 1e-6 * self.mean * self.mean)
    }

    /// Returns the ranks with the fullest ones first and the least full ones last, each part in
    /// falling order of load; the order in between is arbitrary.
    fn ranks_by_load(&self) -> Vec<u16> {
        let falling = |a: &u16, b: &u16| self.load(*b).total_cmp(&self.load(*a));
        let mut order: Vec<u16> = (0..self.layer.ranks()).collect();
        if order.len() <= 2 * PARTNERS {
            order.sort_unstable_by(falling);
            return order;
        }
        let last = order.len() - PARTNERS;
        order.select_nth_unstable_by(PARTNERS, falling);
        order[PARTNERS..].select_nth_unstable_by(last - PARTNERS, falling);
        order[..PARTNERS].sort_unstable_by(falling);
        order[last..].sort_unstable_by(falling);
        order
    }

    fn consider_pair(&self, from: u16, to: u16, best: &mut Option<Change>) {
        for slot in 0..self.layer.slots() {
            self.consider_slot(from, slot, to, best);
        }
    }

    /// Considers every change that moves load of one slot to another rank.
    fn consider_slot(&self, from: u16, slot: u16, to: u16, best: &mut Option<Change>) {
        let expert = self.layer.expert_at(from, slot);
        if expert == EMPTY || self.layer.holds(to, expert) {
            return;
        }
        for other in 0..self.layer.slots() {
            let old = self.layer.expert_at(to, other);
            let free = old == EMPTY || self.replicas[usize::from(old)] > 1;
            if free {
                self.consider((to, other, expert), None, best);
                self.consider((to, other, expert), Some((from, slot, EMPTY)), best);
            }
            let fits = old != EMPTY && !self.layer.holds(from, old);
            if fits {
                self.consider((to, other, expert), Some((from, slot, old)), best);
            }
        }
    }

    /// Replaces the best change where this one gains more for each weight load.
    fn consider(
        &self,
        first: (u16, u16, u16),
        second: Option<(u16, u16, u16)>,
        best: &mut Option<Change>,
    ) {
        let loads = 1 + usize::from(second.is_some_and(|s| s.2 != EMPTY));
        let gain = self.gain(first, second) / loads as f64;
        if best.is_none_or(|b| gain > b.gain) {
            *best = Some(Change {
                first,
                second,
                gain,
            });
        }
    }

    /// Returns by how much a change reduces the sum of squares of the ranks' loads.
    fn gain(&self, first: (u16, u16, u16), second: Option<(u16, u16, u16)>) -> f64 {
        let (to, slot, expert) = first;
        let old = self.layer.expert_at(to, slot);
        match second {
            // A swap leaves the number of replicas of both experts unchanged.
            Some((from, _, back)) if back == old && back != EMPTY => {
                let delta = self.replica_load(expert, 0) - self.replica_load(old, 0);
                self.shift_gain(from, -delta) + self.shift_gain(to, delta)
            }
            Some((from, _, _)) => {
                let moved = self.replica_load(expert, 0);
                let (gone, others) = self.eviction(to, old);
                self.shift_gain(from, -moved) + self.shift_gain(to, moved - gone) + others
            }
            None => self.replication_gain(to, old, expert),
        }
    }

    /// Returns the gain of one more replica of an expert on a rank, in place of another expert.
    fn replication_gain(&self, to: u16, old: u16, expert: u16) -> f64 {
        let then = self.replica_load(expert, 1);
        let (gone, others) = self.eviction(to, old);
        self.replica_gains[usize::from(expert)] + others + self.shift_gain(to, then - gone)
    }

    /// Returns the load that a rank loses with an expert, and the gain of the expert's other
    /// holders.
    fn eviction(&self, to: u16, old: u16) -> (f64, f64) {
        if old == EMPTY {
            return (0.0, 0.0);
        }
        let (now, then) = (self.replica_load(old, 0), self.replica_load(old, -1));
        let others = self.removal_gains[usize::from(old)] - self.shift_gain(to, then - now);
        (now, others)
    }

    /// Returns the load of one replica of an expert, with this many more replicas.
    fn replica_load(&self, expert: u16, more: i32) -> f64 {
        let replicas = i32::from(self.replicas[usize::from(expert)]) + more;
        self.shares[usize::from(expert)] / f64::from(replicas.max(1))
    }

    /// Returns by how much a change of a rank's load reduces the square of that load.
    fn shift_gain(&self, rank: u16, by: f64) -> f64 {
        let load = self.load(rank);
        let by = by * self.paces[usize::from(rank)];
        load * load - (load + by) * (load + by)
    }

    fn load(&self, rank: u16) -> f64 {
        self.loads[usize::from(rank)]
    }

    /// Makes a change and returns the number of its weight loads.
    fn apply(&mut self, change: Change, moves: &mut Vec<Move>) -> usize {
        let slots = [Some(change.first), change.second];
        let mut loads = 0;
        let (mut touched, mut ranks) = (Vec::new(), Vec::new());
        for (rank, slot, expert) in slots.into_iter().flatten() {
            let old = self.layer.expert_at(rank, slot);
            ranks.push(rank);
            if old != EMPTY {
                touched.push(old);
                self.replicas[usize::from(old)] -= 1;
                let holders = &mut self.holders[usize::from(old)];
                if let Some(at) = holders.iter().position(|h| *h == rank) {
                    holders.swap_remove(at);
                }
            }
            if expert != EMPTY {
                touched.push(expert);
                self.replicas[usize::from(expert)] += 1;
                self.holders[usize::from(expert)].push(rank);
            }
            moves.push(Move {
                layer: self.number,
                rank,
                slot,
                loads: expert,
                evicts: old,
            });
            self.layer.set(rank, slot, expert);
            loads += usize::from(expert != EMPTY);
        }
        self.update_after(&touched, ranks);
        loads
    }

    /// Updates what depends on the replicas of these experts and on the loads of these ranks: the
    /// loads of the experts' holders, and the gains of every expert that those ranks hold.
    ///
    /// With 192 ranks and 384 experts per layer, recomputing everything for each change took half
    /// of the search.
    fn update_after(&mut self, experts: &[u16], mut ranks: Vec<u16>) {
        for expert in experts {
            ranks.extend(&self.holders[usize::from(*expert)]);
        }
        ranks.sort_unstable();
        ranks.dedup();
        for rank in &ranks {
            self.update_load(*rank);
        }
        let held = ranks.iter().flat_map(|rank| self.layer.rank_slots(*rank));
        let mut held: Vec<u16> = held.chain(experts).copied().collect();
        held.retain(|e| *e != EMPTY);
        held.sort_unstable();
        held.dedup();
        for expert in held {
            self.update_expert_gains(expert);
        }
    }
}

/// Returns the ranks that hold each expert.
fn holders(layer: &Layer, experts: usize) -> Vec<Vec<u16>> {
    let mut holders = vec![Vec::new(); experts];
    for rank in 0..layer.ranks() {
        for &expert in layer.rank_slots(rank).iter().filter(|e| **e != EMPTY) {
            holders[usize::from(expert)].push(rank);
        }
    }
    holders
}
