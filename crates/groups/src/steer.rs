//! What groups tell routing: what a request would add to a skewed group, and what to defer.

use snipemast_core::data;
use snipemast_core::prelude::*;

data! {
    /// A group's state, as far as the choice of a group depends on it.
    #[derive(Copy, Default, Hash)]
    pub struct GroupLoad {
        /// The mean time of a step.
        pub step: Span,
        /// The mean gap between fastest and slowest ranks, in thousandths of the mean load.
        pub skew: u32,
        /// Requests that run or wait.
        pub requests: u32,
        /// Requests that it runs at once.
        pub slots: u32,
        /// Whether a rank is slow or stalled, or the group is held.
        pub straggles: bool,
    }
}

impl GroupLoad {
    /// What one more request would cost on this group: the time of its steps, times how full it
    /// is. The fullest rank sets the pace, and a request adds to it what its share of the skew is.
    pub fn added(&self) -> f64 {
        let fill = f64::from(self.requests + 1) / f64::from(self.slots.max(1));
        let pace = 1.0 + f64::from(self.skew) / 1e3;
        self.step.as_secs_f64().max(1e-6) * fill * pace
    }

    /// Whether work of this priority waits for better times: a straggling group takes the most
    /// urgent work only, in the upper half of the priorities from 0 to `highest`.
    pub fn defers(&self, priority: u8, highest: u8) -> bool {
        self.straggles && u16::from(priority) * 2 <= u16::from(highest)
    }
}

/// The group that one more request costs least, where any is there.
pub fn choose<'a, T>(groups: impl Iterator<Item = (&'a T, GroupLoad)>) -> Option<&'a T> {
    let least = groups.min_by(|a, b| a.1.added().total_cmp(&b.1.added()));
    least.map(|(group, _)| group)
}
