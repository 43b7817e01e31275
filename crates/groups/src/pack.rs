//! Repacks a layer so that its ranks are balanced, and keeps experts in place where that costs
//! little.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

use crate::map::{Layer, EMPTY};

/// Returns a layer whose ranks are balanced. An expert stays where it is as long as its rank then
/// exceeds the least full one by at most `tolerance` times the mean load.
///
/// A tolerance of 0 gives a full repack; the higher the tolerance, the fewer the weight loads.
pub fn pack(old: &Layer, shares: &[f64], tolerance: f64) -> Layer {
    let total: f64 = shares.iter().sum();
    let mean = total / f64::from(old.ranks()).max(1.0);
    let counts = replica_counts(old, shares, tolerance);
    let mut packing = Packing::new(old, tolerance * mean);
    for (load, expert) in by_size(shares, &counts) {
        packing.place(load, expert);
    }
    packing.into_layer()
}

/// Returns the number of replicas of each expert. Spare slots move from where they help least to
/// where they help most, as long as that reduces the largest replica by more than the tolerance.
fn replica_counts(old: &Layer, shares: &[f64], tolerance: f64) -> Vec<u16> {
    let slots = old.ranks() * old.slots();
    let mut counts: Vec<u16> = old.replicas(shares.len());
    counts.iter_mut().for_each(|c| *c = (*c).max(1));
    let mut used: u16 = counts.iter().sum();
    let replica_load = |e: usize, count: u16| shares[e] / f64::from(count.max(1));
    loop {
        let mut hot: Option<(f64, usize)> = None;
        let mut cold: Option<(f64, usize)> = None;
        for (expert, &count) in counts.iter().enumerate() {
            let now = replica_load(expert, count);
            if count < old.ranks() && hot.is_none_or(|(most, _)| now > most) {
                hot = Some((now, expert));
            }
            let after = replica_load(expert, count - 1);
            if count > 1 && cold.is_none_or(|(least, _)| after < least) {
                cold = Some((after, expert));
            }
        }
        let Some((most, hot)) = hot else {
            return counts;
        };
        if used < slots {
            counts[hot] += 1;
            used += 1;
            continue;
        }
        match cold {
            Some((after, cold)) if cold != hot && most > after * (1.0 + tolerance) + 1e-12 => {
                counts[hot] += 1;
                counts[cold] -= 1;
            }
            _ => return counts,
        }
    }
}

/// Returns every replica with its load, the largest first.
fn by_size(shares: &[f64], counts: &[u16]) -> Vec<(f64, u16)> {
    let mut replicas = Vec::new();
    for (expert, (share, count)) in shares.iter().zip(counts).enumerate() {
        let load = share / f64::from(*count);
        replicas.extend((0..*count).map(|_| (load, expert as u16)));
    }
    replicas.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
    replicas
}

/// A layer that is being packed.
#[derive(Debug)]
struct Packing<'a> {
    old: &'a Layer,
    /// The ranks that held each expert in the old layer.
    homes: Vec<Vec<u16>>,
    /// How much fuller than the least full rank the home of an expert may be.
    slack: f64,
    loads: Vec<f64>,
    held: Vec<Vec<u16>>,
    /// The ranks with free slots by load, the least full first; may hold outdated entries.
    open: BinaryHeap<Reverse<Filled>>,
}

/// A rank and its load, ordered by load.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Filled {
    load: f64,
    rank: u16,
}

impl Eq for Filled {}

impl PartialOrd for Filled {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Filled {
    fn cmp(&self, other: &Self) -> Ordering {
        let loads = self.load.total_cmp(&other.load);
        loads.then(self.rank.cmp(&other.rank))
    }
}

impl<'a> Packing<'a> {
    fn new(old: &'a Layer, slack: f64) -> Self {
        let ranks = usize::from(old.ranks());
        let mut homes = Vec::new();
        for rank in 0..old.ranks() {
            for &expert in old.rank_slots(rank).iter().filter(|e| **e != EMPTY) {
                let at = usize::from(expert);
                if homes.len() <= at {
                    homes.resize(at + 1, Vec::new());
                }
                homes[at].push(rank);
            }
        }
        let empty = |rank| Reverse(Filled { load: 0.0, rank });
        Self {
            old,
            homes,
            slack,
            loads: vec![0.0; ranks],
            held: vec![Vec::new(); ranks],
            open: (0..old.ranks()).map(empty).collect(),
        }
    }

    fn place(&mut self, load: f64, expert: u16) {
        // No rank may be left for the last replicas of an expert; one replica less does no harm.
        let Some(least) = self.least_full(expert) else {
            return;
        };
        let homes = self.homes.get(usize::from(expert)).into_iter().flatten();
        let homes = homes.copied().filter(|r| self.accepts(*r, expert));
        let home = homes.min_by(|a, b| self.load(*a).total_cmp(&self.load(*b)));
        let limit = self.load(least) + self.slack;
        let rank = home.filter(|h| self.load(*h) <= limit).unwrap_or(least);
        self.loads[usize::from(rank)] += load;
        self.held[usize::from(rank)].push(expert);
        self.open.push(Reverse(Filled {
            load: self.load(rank),
            rank,
        }));
    }

    /// Returns the least full rank that has room for an expert and does not hold it. Outdated
    /// entries are dropped on the way, because each rank has a newer one.
    fn least_full(&mut self, expert: u16) -> Option<u16> {
        let mut passed = Vec::new();
        let mut found = None;
        while let Some(Reverse(next)) = self.open.pop() {
            let full = self.held[usize::from(next.rank)].len() >= usize::from(self.old.slots());
            if full || next.load < self.load(next.rank) {
                continue;
            }
            passed.push(Reverse(next));
            if self.accepts(next.rank, expert) {
                found = Some(next.rank);
                break;
            }
        }
        self.open.extend(passed);
        found
    }

    fn accepts(&self, rank: u16, expert: u16) -> bool {
        let held = &self.held[usize::from(rank)];
        held.len() < usize::from(self.old.slots()) && !held.contains(&expert)
    }

    fn load(&self, rank: u16) -> f64 {
        self.loads[usize::from(rank)]
    }

    /// Returns the layer. An expert that stays on a rank keeps its slot.
    fn into_layer(self) -> Layer {
        let mut layer = Layer::new(self.old.ranks(), self.old.slots());
        for (rank, held) in (0..self.old.ranks()).zip(&self.held) {
            for slot in 0..self.old.slots() {
                let expert = self.old.expert_at(rank, slot);
                if held.contains(&expert) && !layer.holds(rank, expert) {
                    layer.set(rank, slot, expert);
                }
            }
            let new: Vec<u16> = held
                .iter()
                .copied()
                .filter(|e| !layer.holds(rank, *e))
                .collect();
            let free: Vec<u16> = (0..self.old.slots())
                .filter(|s| layer.expert_at(rank, *s) == EMPTY)
                .collect();
            for (slot, expert) in free.into_iter().zip(new) {
                layer.set(rank, slot, expert);
            }
        }
        layer
    }
}
