//! The load of groups as routing needs it: the cost of one more request, and which requests to
//! defer.

use snipemast_core::data;
use snipemast_core::prelude::*;

data! {
    /// The state of a group, as far as the choice of a group depends on it.
    #[derive(Copy, Default, Hash)]
    pub struct GroupLoad {
        /// The mean duration of a step.
        pub step: Span,
        /// The mean gap between the fastest and the slowest ranks, in thousandths of the mean load.
        pub skew: u32,
        /// The number of requests that run or wait.
        pub requests: u32,
        /// The number of requests that it runs at once.
        pub slots: u32,
        /// Whether a rank is slow or stalled, or the group is held.
        pub straggles: bool,
    }
}

impl GroupLoad {
    /// Returns the cost of one more request on this group: the duration of a step, times how full
    /// the group is, times its skew. The skew counts because the fullest rank sets the pace of the
    /// group.
    pub fn added_cost(&self) -> f64 {
        let fill = f64::from(self.requests + 1) / f64::from(self.slots.max(1));
        let pace = 1.0 + f64::from(self.skew) / 1e3;
        self.step.as_secs_f64().max(1e-6) * fill * pace
    }

    /// Whether the group defers requests of this priority. A straggling group accepts only the more
    /// urgent requests, in the upper half of the priorities from 0 to `highest`.
    pub fn defers(&self, priority: u8, highest: u8) -> bool {
        self.straggles && u16::from(priority) * 2 <= u16::from(highest)
    }
}

/// Returns the group where one more request costs least, or `None` without any group.
pub fn choose_group<'a, T>(groups: impl Iterator<Item = (&'a T, GroupLoad)>) -> Option<&'a T> {
    let least = groups.min_by(|a, b| a.1.added_cost().total_cmp(&b.1.added_cost()));
    least.map(|(group, _)| group)
}
