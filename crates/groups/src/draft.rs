//! Encodes a new map for many ranks as its difference from one that they know.
//!
//! With 192 ranks, 10 sets of 384 experts and links of 6 Mbit/s, a full map takes 17 kB, and even
//! with relays it takes 0.5 s until the last rank begins to copy. The difference takes some 2 kB.

use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

use xxhash_rust::xxh3::Xxh3;

use snipemast_core::data;
use snipemast_core::prelude::*;

use crate::map::ExpertMap;

/// How many maps a rank's sidecar remembers: the one in force, the one that is prepared, and one
/// that was given up.
const MAX_KNOWN: usize = 3;

data! {
    /// The map that the changes of a draft start from.
    #[derive(Copy)]
    pub enum Base {
        /// The map that a group begins with, which assigns the experts of each layer round-robin.
        #[serde(rename = "Dealt")]
        RoundRobin {
            /// The number of layers.
            layers: u16,
            /// The number of ranks.
            ranks: u16,
            /// The number of slots of each rank.
            slots: u16,
            /// The number of experts of a layer.
            experts: u16,
        },
        /// A map that the rank was sent before, in the same incarnation of the group.
        #[serde(rename = "Told")]
        Known(MapVersion),
    }

    /// A slot whose expert changes: the number of unchanged slots since the previous change, and
    /// the new expert.
    #[derive(Copy)]
    pub struct Change(u32, u16);

    /// A map for the ranks, either in full or as its difference from another map.
    pub enum Draft {
        /// The full map.
        Whole(Arc<ExpertMap>),
        /// The difference from another map.
        Changed {
            /// The map that the changes start from.
            base: Base,
            /// The changed slots, in order.
            changes: Vec<Change>,
            /// The hash of the resulting map by the standard library of the sender's toolchain, for
            /// processes that don't know the checksum.
            digest: u64,
            /// The [`checksum`] of the resulting map. Earlier releases send none.
            #[serde(default)]
            checksum: Option<u64>,
        },
    }
}

impl Draft {
    /// Encodes a map as its difference from a base with the given content, or in full where the two
    /// have different shapes.
    pub fn new(base: Base, from: &ExpertMap, map: &Arc<ExpertMap>) -> Self {
        if !from.is_shaped_like(map) {
            return Self::Whole(Arc::clone(map));
        }
        let mut changes = Vec::new();
        let mut between = 0;
        for (before, after) in from.slots().zip(map.slots()) {
            if before == after {
                between += 1;
            } else {
                changes.push(Change(between, after));
                between = 0;
            }
        }
        Self::Changed {
            base,
            changes,
            digest: digest(map),
            checksum: Some(checksum(map)),
        }
    }
}

/// The maps that a rank was sent last.
#[derive(Debug, Clone, Default)]
pub struct KnownMaps(VecDeque<(GroupIncarnation, MapVersion, Arc<ExpertMap>)>);

impl KnownMaps {
    /// Decodes a draft and remembers its map. Returns `None` where the base of the draft is not
    /// known, or the map is not the intended one or has no sound shape.
    ///
    /// Failure guarded against: a group forms again, its new lead uses a number that an earlier
    /// lead used for another map, and two ranks decode one draft to different maps. Maps of another
    /// incarnation are not used, and the checksum shows whether the result is the intended map.
    pub fn decode(
        &mut self,
        epoch: GroupIncarnation,
        version: MapVersion,
        draft: &Draft,
    ) -> Option<Arc<ExpertMap>> {
        let map = match draft {
            Draft::Whole(map) if !map.is_sound() => return None,
            Draft::Whole(map) => Arc::clone(map),
            Draft::Changed {
                base,
                changes,
                digest: expected,
                checksum: expected_sum,
            } => {
                let mut map = self.base_map(epoch, base)?;
                let mut slots = map.slots_mut();
                for Change(between, expert) in changes {
                    *slots.nth(*between as usize)? = *expert;
                }
                drop(slots);
                let intended = match expected_sum {
                    Some(sum) => checksum(&map) == *sum,
                    None => digest(&map) == *expected,
                };
                if !intended {
                    return None;
                }
                Arc::new(map)
            }
        };
        if self.0.len() == MAX_KNOWN {
            self.0.pop_front();
        }
        self.0.push_back((epoch, version, Arc::clone(&map)));
        Some(map)
    }

    fn base_map(&self, epoch: GroupIncarnation, base: &Base) -> Option<ExpertMap> {
        match *base {
            Base::RoundRobin {
                layers,
                ranks,
                slots,
                experts,
            } => ExpertMap::fitting_round_robin(layers, ranks, slots, experts),
            Base::Known(version) => {
                let mut latest = self.0.iter().rev();
                let known = latest.find(|(e, v, _)| (*e, *v) == (epoch, version));
                known.map(|(_, _, map)| ExpertMap::clone(map))
            }
        }
    }
}

/// Returns the XXH3 hash of a map, which is the same in all processes: of the number of ranks and
/// slots of each layer and its experts, as little-endian numbers of 16 bits.
pub fn checksum(map: &ExpertMap) -> u64 {
    let mut hasher = Xxh3::new();
    for layer in &map.layers {
        hasher.update(&layer.ranks().to_le_bytes());
        hasher.update(&layer.slots().to_le_bytes());
        for rank in 0..layer.ranks() {
            for expert in layer.rank_slots(rank) {
                hasher.update(&expert.to_le_bytes());
            }
        }
    }
    hasher.digest()
}

fn digest(map: &ExpertMap) -> u64 {
    let mut hasher = DefaultHasher::new();
    map.hash(&mut hasher);
    hasher.finish()
}
