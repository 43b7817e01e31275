//! A new map on its way to many ranks, told as its difference from one that they know.
//!
//! Load answered: 192 ranks with 10 sets of 384 experts, behind links of 6 Mbit/s. A whole map takes 17 kB there,
//! and passed on by relays it was 0.5 s until the last rank began to copy; what changes takes some 2 kB.

use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

use snipemast_core::data;
use snipemast_core::prelude::*;

use crate::map::ExpertMap;

/// How many maps a rank's process remembers: the one in force, the one that is prepared, and one that was given up.
const REMEMBERED: usize = 3;

data! {
    /// A map that the changes of a draft start from.
    #[derive(Copy)]
    pub enum Base {
        /// The one that a group begins with: the experts of each layer dealt out in turn.
        #[serde(rename = "Dealt")]
        RoundRobin {
            /// How many layers.
            layers: u16,
            /// How many ranks.
            ranks: u16,
            /// How many slots each rank has.
            slots: u16,
            /// How many experts a layer has.
            experts: u16,
        },
        /// One that was told before, in the same incarnation of the group.
        #[serde(rename = "Told")]
        Known(MapVersion),
    }

    /// A slot that holds another expert: how many slots lie between it and the one before, and the expert.
    #[derive(Copy)]
    pub struct Change(u32, u16);

    /// A map, whole or as its difference from another one.
    pub enum Draft {
        /// The whole map.
        Whole(Arc<ExpertMap>),
        /// What is different.
        Changed {
            /// From which map.
            base: Base,
            /// In the order of the slots.
            changes: Vec<Change>,
            /// The digest of the map that this leads to.
            digest: u64,
        },
    }
}

impl Draft {
    /// A map as its difference from a base, whose content is given; whole where the two have different shapes.
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
        }
    }
}

/// The maps that a rank's process was told last.
#[derive(Debug, Clone, Default)]
pub struct Told(VecDeque<(GroupIncarnation, MapVersion, Arc<ExpertMap>)>);

impl Told {
    /// The map that a draft stands for, which is remembered; nothing where its base is not known.
    ///
    /// Failure guarded against: a group forms again, its new lead gives a number out that an earlier one gave to
    /// another map, and two ranks take different maps for one. Maps of another incarnation are not used, and
    /// the digest tells whether the outcome is the map that was meant.
    pub fn read(
        &mut self,
        epoch: GroupIncarnation,
        version: MapVersion,
        draft: &Draft,
    ) -> Option<Arc<ExpertMap>> {
        let map = match draft {
            Draft::Whole(map) => Arc::clone(map),
            Draft::Changed {
                base,
                changes,
                digest: meant,
            } => {
                let mut map = self.base(epoch, base)?;
                let mut slots = map.slots_mut();
                for Change(between, expert) in changes {
                    *slots.nth(*between as usize)? = *expert;
                }
                drop(slots);
                if digest(&map) != *meant {
                    return None;
                }
                Arc::new(map)
            }
        };
        if self.0.len() == REMEMBERED {
            self.0.pop_front();
        }
        self.0.push_back((epoch, version, Arc::clone(&map)));
        Some(map)
    }

    fn base(&self, epoch: GroupIncarnation, base: &Base) -> Option<ExpertMap> {
        match *base {
            Base::RoundRobin {
                layers,
                ranks,
                slots,
                experts,
            } => {
                let fits = u32::from(experts) <= u32::from(ranks) * u32::from(slots);
                fits.then(|| ExpertMap::round_robin(usize::from(layers), ranks, slots, experts))
            }
            Base::Known(version) => {
                let mut told = self.0.iter().rev();
                let known = told.find(|(e, v, _)| (*e, *v) == (epoch, version));
                known.map(|(_, _, map)| ExpertMap::clone(map))
            }
        }
    }
}

fn digest(map: &ExpertMap) -> u64 {
    let mut hasher = DefaultHasher::new();
    map.hash(&mut hasher);
    hasher.finish()
}
