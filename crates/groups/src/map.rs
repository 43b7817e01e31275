//! Expert maps: which rank holds which expert of which layer, and the moves between two maps.

use std::fmt;

use snipemast_core::data;

/// Marks a slot that holds no expert.
pub const EMPTY: u16 = u16::MAX;

/// The most slots of a map whose shape another process names: some 200 times as many as 192 ranks with
/// 10 sets of 384 experts have, and 8 MB.
const MAX_SLOTS: u64 = 1 << 22;

data! {
    /// One layer of an expert map, with the same number of slots on each rank.
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
        /// The expert that is evicted, or [`EMPTY`].
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
    /// Creates a layer of empty slots.
    pub fn new(ranks: u16, slots: u16) -> Self {
        let count = usize::from(ranks) * usize::from(slots);
        Self {
            ranks,
            slots,
            held: vec![EMPTY; count],
        }
    }

    /// Creates a layer with the experts assigned to the ranks round-robin, each once. The remaining
    /// slots stay empty.
    ///
    /// # Panics
    ///
    /// Panics where the experts don't fit into the slots.
    pub fn round_robin(ranks: u16, slots: u16, experts: u16) -> Self {
        let mut layer = Self::new(ranks, slots);
        assert!(usize::from(experts) <= layer.held.len());
        for expert in 0..experts {
            layer.set(expert % ranks, expert / ranks, expert);
        }
        layer
    }

    /// Creates a layer in which one rank holds the given experts, and each other expert is on one
    /// of the other ranks. Returns `None` where there is no such layer: the rank is none of the
    /// ranks, or the experts don't fit.
    pub fn from_rank(rank: u16, held: &[u16], ranks: u16, experts: u16) -> Option<Self> {
        let others: Vec<u16> = (0..ranks).filter(|r| *r != rank).collect();
        let rest: Vec<u16> = (0..experts).filter(|e| !held.contains(e)).collect();
        if rank >= ranks || (others.is_empty() && !rest.is_empty()) {
            return None;
        }
        let slots = held.len().max(rest.len().div_ceil(others.len().max(1)));
        let mut layer = Self::new(ranks, u16::try_from(slots).ok()?);
        for (slot, expert) in held.iter().enumerate() {
            layer.set(rank, slot as u16, *expert);
        }
        for (number, expert) in rest.into_iter().enumerate() {
            let (slot, other) = (number / others.len(), number % others.len());
            layer.set(others[other], slot as u16, expert);
        }
        Some(layer)
    }

    /// Returns the number of ranks.
    pub fn ranks(&self) -> u16 {
        self.ranks
    }

    /// Returns the number of slots of each rank.
    pub fn slots(&self) -> u16 {
        self.slots
    }

    /// Returns the expert in a slot, or [`EMPTY`].
    pub fn expert_at(&self, rank: u16, slot: u16) -> u16 {
        self.held[self.index(rank, slot)]
    }

    /// Puts an expert, or [`EMPTY`], into a slot.
    pub fn set(&mut self, rank: u16, slot: u16, expert: u16) {
        let index = self.index(rank, slot);
        self.held[index] = expert;
    }

    /// Returns the experts in all slots of one rank, including [`EMPTY`] ones.
    pub fn rank_slots(&self, rank: u16) -> &[u16] {
        let start = self.index(rank, 0);
        &self.held[start..start + usize::from(self.slots)]
    }

    /// Whether a rank holds an expert.
    pub fn holds(&self, rank: u16, expert: u16) -> bool {
        self.rank_slots(rank).contains(&expert)
    }

    /// Returns the number of replicas of each expert.
    pub fn replicas(&self, experts: usize) -> Vec<u16> {
        let mut counts = vec![0; experts];
        for &expert in self.held.iter().filter(|e| **e != EMPTY) {
            counts[usize::from(expert)] += 1;
        }
        counts
    }

    /// Returns the load of each rank, with every expert's load split evenly over its replicas.
    pub fn rank_loads(&self, loads: &[f64]) -> Vec<f64> {
        self.rank_loads_with(loads, &self.replicas(loads.len()))
    }

    /// Returns the load of each rank, given the number of replicas of each expert.
    pub fn rank_loads_with(&self, loads: &[f64], replicas: &[u16]) -> Vec<f64> {
        (0..self.ranks)
            .map(|rank| {
                let held = self.rank_slots(rank).iter().filter(|e| **e != EMPTY);
                held.map(|&e| loads[usize::from(e)] / f64::from(replicas[usize::from(e)]))
                    .sum()
            })
            .collect()
    }

    /// Returns the moves from this layer to another one of the same shape, and the number of their
    /// weight loads.
    pub fn moves_to(&self, number: u16, other: &Self) -> (Vec<Move>, usize) {
        let mut moves = Vec::new();
        let mut weights = 0;
        for rank in 0..self.ranks {
            for slot in 0..self.slots {
                let (evicts, loads) = (self.expert_at(rank, slot), other.expert_at(rank, slot));
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
    /// Creates a map with the experts of each layer assigned to the ranks round-robin.
    pub fn round_robin(layers: usize, ranks: u16, slots: u16, experts: u16) -> Self {
        Self {
            layers: vec![Layer::round_robin(ranks, slots, experts); layers],
        }
    }

    /// Creates the map of [`round_robin`](Self::round_robin), or returns `None` where the experts
    /// don't fit into the slots or no process could hold that many slots.
    pub fn fitting_round_robin(layers: u16, ranks: u16, slots: u16, experts: u16) -> Option<Self> {
        let held = u64::from(ranks) * u64::from(slots);
        let fits = u64::from(experts) <= held && held * u64::from(layers) <= MAX_SLOTS;
        fits.then(|| Self::round_robin(usize::from(layers), ranks, slots, experts))
    }

    /// Creates a complete map in which one rank holds the given experts, by layer. The other
    /// experts are assigned to the other ranks arbitrarily. Returns `None` where there is no such
    /// map.
    pub fn from_rank(rank: u16, held: &[Vec<u16>], ranks: u16, experts: u16) -> Option<Self> {
        let layers = held.iter();
        let layers = layers.map(|held| Layer::from_rank(rank, held, ranks, experts));
        let layers = layers.collect::<Option<_>>()?;
        Some(Self { layers })
    }

    /// Whether another map has the same number of layers, ranks and slots.
    pub fn is_shaped_like(&self, other: &Self) -> bool {
        let shape = |map: &Self| -> Vec<_> {
            let layers = map.layers.iter();
            layers.map(|l| (l.ranks, l.slots)).collect()
        };
        shape(self) == shape(other)
    }

    /// Whether each rank holds the same experts as in another map, in any order of slots.
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

    /// Returns the experts of all slots, ordered by layer, rank and slot.
    pub fn slots(&self) -> impl Iterator<Item = u16> + '_ {
        self.layers.iter().flat_map(|l| l.held.iter().copied())
    }

    /// Returns all slots mutably, ordered by layer, rank and slot.
    pub fn slots_mut(&mut self) -> impl Iterator<Item = &mut u16> {
        self.layers.iter_mut().flat_map(|l| l.held.iter_mut())
    }

    /// Returns the moves from this map to another one of the same shape.
    pub fn moves_to(&self, other: &Self) -> Vec<Move> {
        let layers = self.layers.iter().zip(&other.layers).enumerate();
        layers
            .flat_map(|(number, (old, new))| old.moves_to(number as u16, new).0)
            .collect()
    }

    /// Returns the map after these moves.
    #[must_use]
    pub fn with_moves(&self, moves: &[Move]) -> Self {
        let mut next = self.clone();
        for m in moves {
            next.layers[usize::from(m.layer)].set(m.rank, m.slot, m.loads);
        }
        next
    }

    /// Whether each layer has as many slots as its ranks say, which a map from a peer may not have.
    pub fn is_sound(&self) -> bool {
        let sound = |l: &Layer| l.held.len() == usize::from(l.ranks) * usize::from(l.slots);
        self.layers.iter().all(sound)
    }

    /// Whether every expert of every layer is held by at least one rank.
    pub fn is_whole(&self, experts: usize) -> bool {
        let whole = |layer: &Layer| layer.replicas(experts).iter().all(|n| *n > 0);
        self.layers.iter().all(whole)
    }
}

/// Returns the number of weight loads of some moves. A move that only empties a slot, or that moves
/// an expert within its rank, loads nothing.
pub fn weight_loads(old: &ExpertMap, moves: &[Move]) -> usize {
    let loads = |m: &&Move| {
        let layer = &old.layers[usize::from(m.layer)];
        m.loads != EMPTY && !layer.holds(m.rank, m.loads)
    };
    moves.iter().filter(loads).count()
}
