//! Availability zones that operators have evacuated: no request is sent to their servers.

use std::collections::BTreeSet;
use std::fmt;

use crate as snipemast_core;
use crate::data;
use crate::ids::ZoneId;

data! {
    /// An operator's order to evacuate an availability zone, or to take it back.
    pub struct EvacuationOrder {
        /// The availability zone.
        pub zone: ZoneId,
        /// Whether it is evacuated from now on; otherwise it is taken back.
        pub evacuated: bool,
    }

    /// The evacuated availability zones.
    ///
    /// They are numbered, so that a process recognizes news that is older than what it has.
    #[derive(Default)]
    pub struct Evacuations {
        /// A number that rises with each change; 0 before the first one.
        pub revision: u64,
        /// The evacuated availability zones.
        pub zones: BTreeSet<ZoneId>,
    }
}

impl Evacuations {
    /// Carries out an order; returns whether it changed anything.
    pub fn apply(&mut self, order: &EvacuationOrder) -> bool {
        let changed = if order.evacuated {
            self.zones.insert(order.zone.clone())
        } else {
            self.zones.remove(&order.zone)
        };
        if changed {
            self.revision += 1;
        }
        changed
    }

    /// Takes over newer evacuations, and returns the orders that lead to them; none if they aren't
    /// newer.
    ///
    /// Failure guarded against: a controller that was frozen or cut off, or a late answer, brings back
    /// a zone that is still evacuated.
    pub fn update(&mut self, other: Self) -> Vec<EvacuationOrder> {
        if other.revision <= self.revision {
            return Vec::new();
        }
        let before = std::mem::replace(self, other);
        let changed = before.zones.symmetric_difference(&self.zones);
        let orders = changed.map(|zone| EvacuationOrder {
            zone: zone.clone(),
            evacuated: self.zones.contains(zone),
        });
        orders.collect()
    }
}

impl fmt::Display for EvacuationOrder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let change = if self.evacuated {
            "evacuated"
        } else {
            "taken back"
        };
        write!(f, "{} {change}", self.zone)
    }
}
