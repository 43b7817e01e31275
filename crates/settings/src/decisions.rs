//! The policies by which a gateway decides.

use snipemast_core::data;
use snipemast_placement::pick::PickPolicy;
use snipemast_placement::servers::FailingServers;
use snipemast_placement::urgency::QueueOrder;
use snipemast_placement::LoadLimits;

use crate::check::Settings;
use crate::fault::{Fault, FaultKind};

data! {
    /// The policies by which a gateway decides. The defaults hold for gateways without a file.
    #[serde(deny_unknown_fields, default)]
    pub struct Decisions {
        /// The policy by which a server is picked.
        pub placing: PickPolicy,
        /// The number of polls per second for the requests in flight at others that the leading
        /// controller answers. All gateways share it.
        pub polls: u32,
        /// Which requests go first, in the gateway's queue and at a server that has more than it can
        /// run at once.
        pub order: QueueOrder,
        /// Whether prompts wait while the passes of an engine are temporarily long.
        pub holding: bool,
        /// How servers that fail more often than others are treated.
        pub failing: FailingServers,
        /// The number of requests in flight from which on a server counts as full, in percent of
        /// its slots.
        pub full: u32,
        /// The same bound for requests that are already late, if requests that can still be on time
        /// go first.
        pub late: u32,
        /// The same bound for requests that yield to others: those that can wait without being late,
        /// and those of the least urgent route among several.
        pub yielding: u32,
    }
}

impl Default for Decisions {
    fn default() -> Self {
        Self {
            placing: PickPolicy::default(),
            polls: 600,
            order: QueueOrder::default(),
            holding: true,
            failing: FailingServers::default(),
            full: LoadLimits::default().full,
            late: LoadLimits::default().late,
            yielding: LoadLimits::default().yielding,
        }
    }
}

impl Settings for Decisions {
    const SAMPLE: &'static str = "";

    fn conflicts(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        if self.polls == 0 {
            let kind = FaultKind::TooSmall("1".into(), "gateways would know nothing of each other");
            faults.push(Fault::new("polls", kind));
        }
        if self.full < 100 {
            let kind = FaultKind::TooSmall("100".into(), "servers would stand idle");
            faults.push(Fault::new("full", kind));
        }
        for (key, limit) in [("late", self.late), ("yielding", self.yielding)] {
            if limit == 0 {
                let kind = FaultKind::TooSmall("1".into(), "no server would ever take them");
                faults.push(Fault::new(key, kind));
            }
        }
        faults
    }
}
