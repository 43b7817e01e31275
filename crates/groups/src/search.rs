//! The search within one layer: few changes of slots that even out its ranks.

use crate::map::{Layer, Move, EMPTY};
use crate::pack::pack;

/// How many of the fullest and of the least full ranks a change is sought between.
const FULL: usize = 2;
const SPARE: usize = 12;

/// The layer after some changes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Point {
    /// How many moves lead here.
    pub moves: usize,
    /// Weight loads among them.
    pub loads: usize,
    /// The fullest rank's load, where the mean is 1.
    pub fullest: f64,
    /// The gap between the fullest and the least full rank, where the mean is 1.
    pub gap: f64,
}

/// The moves that were found, best first, and how far each prefix of them gets.
#[derive(Debug, Clone, Default)]
pub struct Path {
    /// The moves, to be made in this order.
    pub moves: Vec<Move>,
    /// The layer before any move, and after each change.
    pub points: Vec<Point>,
}

/// The patiences with which a layer is packed anew, beside the search from where it is.
const PATIENCES: [f64; 3] = [0.02, 0.08, 0.25];
/// How many weights the search loads at most to even out what was packed.
const POLISH: usize = 8;

/// Ways to even out a layer: few changes from where it is, and packings that keep more or less.
pub fn ways(number: u16, layer: &Layer, shares: &[f64], bound: usize) -> Vec<Path> {
    let mut ways = vec![search(number, layer, shares, bound)];
    for patience in PATIENCES {
        let packed = pack(layer, shares, patience);
        ways.push(search(number, &packed, shares, POLISH).behind(number, layer, &packed, shares));
    }
    ways
}

impl Path {
    /// This path, where the moves that lead to its start come first.
    fn behind(self, number: u16, old: &Layer, packed: &Layer, shares: &[f64]) -> Self {
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

/// One change of one or two slots.
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
    loads: Vec<f64>,
    paces: Vec<f64>,
    mean: f64,
    more: Vec<f64>,
    less: Vec<f64>,
}

/// Seeks changes until none helps or so many weights would be loaded.
///
/// Each change takes from one of the fullest ranks: it puts a replica of one of its experts on a
/// rank that is little loaded, moves the expert there, or swaps it for a smaller one. What counts
/// is the fall of the sum of squares for each weight that is loaded.
pub fn search(number: u16, layer: &Layer, shares: &[f64], bound: usize) -> Path {
    search_paced(number, layer, shares, &[], bound)
}

/// Seeks changes like [`search`], where a slow rank takes a factor longer for the same load.
///
/// `paces` holds each rank's factor; ranks beyond its end are as fast as usual.
pub fn search_paced(
    number: u16,
    layer: &Layer,
    shares: &[f64],
    paces: &[f64],
    bound: usize,
) -> Path {
    search_while(number, layer, shares, paces, |point| point.loads < bound)
}

/// Seeks changes like [`search_paced`], for as long as the last point is worth going on from.
pub fn search_while(
    number: u16,
    layer: &Layer,
    shares: &[f64],
    paces: &[f64],
    mut goes_on: impl FnMut(&Point) -> bool,
) -> Path {
    let mut search = Search::new(number, layer, shares).with_paces(paces);
    let mut path = Path::default();
    let mut point = search.point(0, 0);
    path.points.push(point);
    while goes_on(&point) {
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
            more: Vec::new(),
            less: Vec::new(),
        };
        search.weigh_holders();
        search
    }

    fn with_paces(mut self, paces: &[f64]) -> Self {
        for (own, pace) in self.paces.iter_mut().zip(paces) {
            *own = *pace;
        }
        self.weigh_loads();
        self.weigh_holders();
        self
    }

    /// Works out how long each rank takes.
    fn weigh_loads(&mut self) {
        for rank in 0..self.layer.ranks() {
            self.weigh_load(rank);
        }
    }

    fn weigh_load(&mut self, rank: u16) {
        let held = self.layer.rank_slots(rank).iter().filter(|e| **e != EMPTY);
        let load: f64 = held.map(|expert| self.part(*expert, 0)).sum();
        self.loads[usize::from(rank)] = load * self.paces[usize::from(rank)];
    }

    /// Works out, expert by expert, how its holders fare with one replica more or less.
    fn weigh_holders(&mut self) {
        (self.more, self.less) = (vec![0.0; self.shares.len()], vec![0.0; self.shares.len()]);
        for expert in 0..self.shares.len() as u16 {
            self.weigh_expert(expert);
        }
    }

    fn weigh_expert(&mut self, expert: u16) {
        let now = self.part(expert, 0);
        let (fewer, further) = (self.part(expert, -1) - now, self.part(expert, 1) - now);
        let at = usize::from(expert);
        let holders = &self.holders[at];
        let (mut more, mut less) = (0.0, 0.0);
        for &rank in holders {
            more += self.shift(rank, further);
            less += self.shift(rank, fewer);
        }
        (self.more[at], self.less[at]) = (more, less);
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

    fn best(&self) -> Option<Change> {
        let order = self.order();
        let count = order.len();
        let mut best: Option<Change> = None;
        for &from in &order[..FULL.min(count)] {
            for &to in &order[count.saturating_sub(SPARE).max(FULL.min(count))..] {
                self.with_pair(from, to, &mut best);
            }
        }
        for &to in &order[count.saturating_sub(FULL)..] {
            for &from in &order[..SPARE.min(count.saturating_sub(FULL))] {
                self.with_pair(from, to, &mut best);
            }
        }
        best.filter(|c| c.gain > 1e-6 * self.mean * self.mean)
    }

    /// The ranks, of which the fullest and the least full stand first and last, in their order.
    fn order(&self) -> Vec<u16> {
        let falling = |a: &u16, b: &u16| self.load(*b).total_cmp(&self.load(*a));
        let mut order: Vec<u16> = (0..self.layer.ranks()).collect();
        if order.len() <= 2 * SPARE {
            order.sort_unstable_by(falling);
            return order;
        }
        let last = order.len() - SPARE;
        order.select_nth_unstable_by(SPARE, falling);
        order[SPARE..].select_nth_unstable_by(last - SPARE, falling);
        order[..SPARE].sort_unstable_by(falling);
        order[last..].sort_unstable_by(falling);
        order
    }

    fn with_pair(&self, from: u16, to: u16, best: &mut Option<Change>) {
        for slot in 0..self.layer.slots() {
            self.with_slot(from, slot, to, best);
        }
    }

    /// Weighs every change that takes load of one slot to another rank.
    fn with_slot(&self, from: u16, slot: u16, to: u16, best: &mut Option<Change>) {
        let expert = self.layer.at(from, slot);
        if expert == EMPTY || self.layer.holds(to, expert) {
            return;
        }
        for other in 0..self.layer.slots() {
            let old = self.layer.at(to, other);
            let free = old == EMPTY || self.replicas[usize::from(old)] > 1;
            if free {
                self.offer((to, other, expert), None, best);
                self.offer((to, other, expert), Some((from, slot, EMPTY)), best);
            }
            let fits = old != EMPTY && !self.layer.holds(from, old);
            if fits {
                self.offer((to, other, expert), Some((from, slot, old)), best);
            }
        }
    }

    fn offer(
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

    /// The fall of the sum of squares of the ranks' loads.
    fn gain(&self, first: (u16, u16, u16), second: Option<(u16, u16, u16)>) -> f64 {
        let (to, slot, expert) = first;
        let old = self.layer.at(to, slot);
        match second {
            // A swap leaves both experts with as many replicas as before.
            Some((from, _, back)) if back == old && back != EMPTY => {
                let delta = self.part(expert, 0) - self.part(old, 0);
                self.shift(from, -delta) + self.shift(to, delta)
            }
            Some((from, _, _)) => {
                let moved = self.part(expert, 0);
                let (gone, others) = self.eviction(to, old);
                self.shift(from, -moved) + self.shift(to, moved - gone) + others
            }
            None => self.replication(to, old, expert),
        }
    }

    /// One more replica of an expert on a rank, in the place of another expert.
    fn replication(&self, to: u16, old: u16, expert: u16) -> f64 {
        let then = self.part(expert, 1);
        let (gone, others) = self.eviction(to, old);
        self.more[usize::from(expert)] + others + self.shift(to, then - gone)
    }

    /// What a rank loses with an expert, and how the other holders of it fare.
    fn eviction(&self, to: u16, old: u16) -> (f64, f64) {
        if old == EMPTY {
            return (0.0, 0.0);
        }
        let (now, then) = (self.part(old, 0), self.part(old, -1));
        let others = self.less[usize::from(old)] - self.shift(to, then - now);
        (now, others)
    }

    fn part(&self, expert: u16, more: i32) -> f64 {
        let replicas = i32::from(self.replicas[usize::from(expert)]) + more;
        self.shares[usize::from(expert)] / f64::from(replicas.max(1))
    }

    fn shift(&self, rank: u16, by: f64) -> f64 {
        let load = self.load(rank);
        let by = by * self.paces[usize::from(rank)];
        load * load - (load + by) * (load + by)
    }

    fn load(&self, rank: u16) -> f64 {
        self.loads[usize::from(rank)]
    }

    /// Makes a change and returns how many weights it loads.
    fn apply(&mut self, change: Change, moves: &mut Vec<Move>) -> usize {
        let slots = [Some(change.first), change.second];
        let mut loads = 0;
        let (mut touched, mut ranks) = (Vec::new(), Vec::new());
        for (rank, slot, expert) in slots.into_iter().flatten() {
            let old = self.layer.at(rank, slot);
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
        self.weigh_again(&touched, ranks);
        loads
    }

    /// Works out anew what a change of these experts' replicas on these ranks touches: the loads of the experts'
    /// holders, and how all holders fare of what those hold.
    ///
    /// Load answered: 192 ranks with 384 experts a layer, where working out all of them anew for each change took
    /// half of a search.
    fn weigh_again(&mut self, experts: &[u16], mut ranks: Vec<u16>) {
        for expert in experts {
            ranks.extend(&self.holders[usize::from(*expert)]);
        }
        ranks.sort_unstable();
        ranks.dedup();
        for rank in &ranks {
            self.weigh_load(*rank);
        }
        let held = ranks.iter().flat_map(|rank| self.layer.rank_slots(*rank));
        let mut held: Vec<u16> = held.chain(experts).copied().collect();
        held.retain(|e| *e != EMPTY);
        held.sort_unstable();
        held.dedup();
        for expert in held {
            self.weigh_expert(expert);
        }
    }
}

/// The ranks that hold each of so many experts.
fn holders(layer: &Layer, experts: usize) -> Vec<Vec<u16>> {
    let mut holders = vec![Vec::new(); experts];
    for rank in 0..layer.ranks() {
        for &expert in layer.rank_slots(rank).iter().filter(|e| **e != EMPTY) {
            holders[usize::from(expert)].push(rank);
        }
    }
    holders
}
