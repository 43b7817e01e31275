//! Which way a gateway takes each decision that has several.

use snipemast_core::data;
use snipemast_placement::pick::PickPolicy;
use snipemast_placement::urgency::{LoadLimits, QueueOrder};

use crate::check::Settings;
use crate::fault::{Fault, FaultKind};

data! {
    /// The ways of a gateway's decisions; each default is the way that is best over many kinds of deployments.
    #[serde(deny_unknown_fields, default)]
    pub struct Decisions {
        /// How a server is picked.
        pub placing: PickPolicy,
        /// How many polls for what others have in flight the leading controller answers in a second; shared by
        /// the gateways.
        pub polls: u32,
        /// Which requests begin first at a server that has more than it runs.
        pub order: QueueOrder,
        /// Whether prompts wait while an engine's passes are long for a moment.
        pub holding: bool,
        /// How many requests a server may have in flight before it counts as full, in hundredths of its slots.
        pub full: u32,
        /// The same for requests that are late already, where those that can be on time go first.
        pub late: u32,
    }
}

impl Default for Decisions {
    fn default() -> Self {
        Self {
            placing: PickPolicy::default(),
            polls: 600,
            order: QueueOrder::default(),
            holding: true,
            full: LoadLimits::default().full,
            late: LoadLimits::default().late,
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
        faults
    }
}
