//! Which rank holds which expert of which layer, and how one map differs from another.

use std::fmt;

use snipemast_core::data;

/// The mark of a slot that holds no expert.
pub const EMPTY: u16 = u16::MAX;

data! {
    /// One layer of an expert map: a bounded number of slots on each rank.
    #[derive(Hash)]
    pub struct Layer {
        ranks: u16,
        slots: u16,
        held: Vec<u16>,
    }

    /// An expert map: which experts each rank holds, layer by layer.
    #[derive(Default, Hash)]
    pub struct ExpertMap {
        /// The layers, in the model's order.
        pub layers: Vec<Layer>,
    }

    /// A change of one slot: what is loaded into it, and what it evicts.
    #[derive(Copy, Hash, PartialOrd, Ord)]
    pub struct Move {
        /// The layer.
        pub layer: u16,
        /// The rank whose slot changes.
        pub rank: u16,
        /// The slot on that rank.
        pub slot: u16,
        /// The expert that is loaded, or [`EMPTY`].
        pub loads: u16,
        /// The expert that gives way, or [`EMPTY`].
        pub evicts: u16,
    }
}

impl fmt::Display for Move {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            layer,
            rank,
            slot,
            loads,
            evicts,
        } = self;
        write!(f, "layer {layer}: rank {rank} slot {slot} loads {loads}")?;
        if *evicts != EMPTY {
            write!(f, " and evicts {evicts}")?;
        }
        Ok(())
    }
}

impl Layer {
    /// A layer of empty slots.
    pub fn new(ranks: u16, slots: u16) -> Self {
        let count = usize::from(ranks) * usize::from(slots);
        Self {
            ranks,
            slots,
            held: vec![EMPTY; count],
        }
    }

    /// A layer with the experts dealt out in turn, each once; slots that remain stay empty.
    ///
    /// # Panics
    ///
    /// Where the experts don't fit into the slots.
    pub fn round_robin(ranks: u16, slots: u16, experts: u16) -> Self {
        let mut layer = Self::new(ranks, slots);
        assert!(usize::from(experts) <= layer.held.len());
        for expert in 0..experts {
            layer.set(expert % ranks, expert / ranks, expert);
        }
        layer
    }

    /// A layer in which one rank holds what is given, and each other expert is on one other rank.
    ///
    /// # Panics
    ///
    /// Where the one rank is the only one and does not hold every expert.
    pub fn from_rank(rank: u16, held: &[u16], ranks: u16, experts: u16) -> Self {
        let others: Vec<u16> = (0..ranks).filter(|r| *r != rank).collect();
        let rest: Vec<u16> = (0..experts).filter(|e| !held.contains(e)).collect();
        assert!(rest.is_empty() || !others.is_empty());
        let slots = held.len().max(rest.len().div_ceil(others.len().max(1)));
        let mut layer = Self::new(ranks, slots as u16);
        for (slot, expert) in held.iter().enumerate() {
            layer.set(rank, slot as u16, *expert);
        }
        for (number, expert) in rest.into_iter().enumerate() {
            let (slot, other) = (number / others.len(), number % others.len());
            layer.set(others[other], slot as u16, expert);
        }
        layer
    }

    /// How many ranks there are.
    pub fn ranks(&self) -> u16 {
        self.ranks
    }

    /// How many slots each rank has.
    pub fn slots(&self) -> u16 {
        self.slots
    }

    /// What a slot holds, or [`EMPTY`].
    pub fn at(&self, rank: u16, slot: u16) -> u16 {
        self.held[self.index(rank, slot)]
    }

    /// Puts an expert, or [`EMPTY`], into a slot.
    pub fn set(&mut self, rank: u16, slot: u16, expert: u16) {
        let index = self.index(rank, slot);
        self.held[index] = expert;
    }

    /// All slots of one rank.
    pub fn rank_slots(&self, rank: u16) -> &[u16] {
        let start = self.index(rank, 0);
        &self.held[start..start + usize::from(self.slots)]
    }

    /// Whether a rank holds an expert.
    pub fn holds(&self, rank: u16, expert: u16) -> bool {
        self.rank_slots(rank).contains(&expert)
    }

    /// How many replicas each expert has.
    pub fn replicas(&self, experts: usize) -> Vec<u16> {
        let mut counts = vec![0; experts];
        for &expert in self.held.iter().filter(|e| **e != EMPTY) {
            counts[usize::from(expert)] += 1;
        }
        counts
    }

    /// The load of each rank, where every expert's load is split evenly over its replicas.
    pub fn rank_loads(&self, loads: &[f64]) -> Vec<f64> {
        self.rank_loads_with(loads, &self.replicas(loads.len()))
    }

    /// The load of each rank, where the number of replicas is known already.
    pub fn rank_loads_with(&self, loads: &[f64], replicas: &[u16]) -> Vec<f64> {
        (0..self.ranks)
            .map(|rank| {
                let held = self.rank_slots(rank).iter().filter(|e| **e != EMPTY);
                held.map(|&e| loads[usize::from(e)] / f64::from(replicas[usize::from(e)]))
                    .sum()
            })
            .collect()
    }

    /// The moves that lead from this layer to another of the same shape, and how many weights
    /// they load.
    pub fn moves_to(&self, number: u16, other: &Self) -> (Vec<Move>, usize) {
        let mut moves = Vec::new();
        let mut weights = 0;
        for rank in 0..self.ranks {
            for slot in 0..self.slots {
                let (evicts, loads) = (self.at(rank, slot), other.at(rank, slot));
                if evicts != loads {
                    weights += usize::from(loads != EMPTY && !self.holds(rank, loads));
                    moves.push(Move {
                        layer: number,
                        rank,
                        slot,
                        loads,
                        evicts,
                    });
                }
            }
        }
        (moves, weights)
    }

    fn index(&self, rank: u16, slot: u16) -> usize {
        usize::from(rank) * usize::from(self.slots) + usize::from(slot)
    }
}

impl ExpertMap {
    /// A map with the experts of each layer dealt out in turn.
    pub fn round_robin(layers: usize, ranks: u16, slots: u16, experts: u16) -> Self {
        Self {
            layers: vec![Layer::round_robin(ranks, slots, experts); layers],
        }
    }

    /// A whole map in which one rank holds what is given, by layer; what others hold is made up.
    ///
    /// # Panics
    ///
    /// Where the one rank is the only one and does not hold every expert.
    pub fn from_rank(rank: u16, held: &[Vec<u16>], ranks: u16, experts: u16) -> Self {
        let layers = held.iter();
        Self {
            layers: layers
                .map(|held| Layer::from_rank(rank, held, ranks, experts))
                .collect(),
        }
    }

    /// Whether another map has the same layers, ranks and slots.
    pub fn is_shaped_like(&self, other: &Self) -> bool {
        let shape = |map: &Self| -> Vec<_> {
            let layers = map.layers.iter();
            layers.map(|l| (l.ranks, l.slots)).collect()
        };
        shape(self) == shape(other)
    }

    /// Whether each rank holds the same experts as in another map, in whichever slots.
    pub fn has_same_holders(&self, other: &Self) -> bool {
        let same = |(a, b): (&Layer, &Layer)| {
            (0..a.ranks).all(|rank| {
                let sorted = |layer: &Layer| {
                    let mut held = layer.rank_slots(rank).to_vec();
                    held.sort_unstable();
                    held
                };
                sorted(a) == sorted(b)
            })
        };
        self.is_shaped_like(other) && self.layers.iter().zip(&other.layers).all(same)
    }

    /// What all slots hold: by layer, rank and slot.
    pub fn slots(&self) -> impl Iterator<Item = u16> + '_ {
        self.layers.iter().flat_map(|l| l.held.iter().copied())
    }

    /// All slots, to be changed.
    pub fn slots_mut(&mut self) -> impl Iterator<Item = &mut u16> {
        self.layers.iter_mut().flat_map(|l| l.held.iter_mut())
    }

    /// The moves that lead from this map to another of the same shape.
    pub fn moves_to(&self, other: &Self) -> Vec<Move> {
        let layers = self.layers.iter().zip(&other.layers).enumerate();
        layers
            .flat_map(|(number, (old, new))| old.moves_to(number as u16, new).0)
            .collect()
    }

    /// The map after these moves.
    #[must_use]
    pub fn with_moves(&self, moves: &[Move]) -> Self {
        let mut next = self.clone();
        for m in moves {
            next.layers[usize::from(m.layer)].set(m.rank, m.slot, m.loads);
        }
        next
    }

    /// Whether every expert of every layer is held by at least one rank.
    pub fn is_whole(&self, experts: usize) -> bool {
        let whole = |layer: &Layer| layer.replicas(experts).iter().all(|n| *n > 0);
        self.layers.iter().all(whole)
    }
}

/// Counts the weights that moves load: a slot that is only emptied, or that takes an expert
/// which its rank already holds in another slot of the old map, loads nothing.
pub fn weight_loads(old: &ExpertMap, moves: &[Move]) -> usize {
    let loads = |m: &&Move| {
        let layer = &old.layers[usize::from(m.layer)];
        m.loads != EMPTY && !layer.holds(m.rank, m.loads)
    };
    moves.iter().filter(loads).count()
}
