//! What a lead asks of the ranks of a group, and what they say.

use std::sync::Arc;

use snipemast_core::data;
use snipemast_core::prelude::*;

use crate::map::ExpertMap;

data! {
    /// What an order asks of a rank.
    pub enum Order {
        /// Copy what is new of a map.
        Prepare {
            /// The map's number.
            version: MapVersion,
            /// The map.
            map: Arc<ExpertMap>,
        },
        /// Keep the group from beginning a step. Which one is up to the rank: what a lead has heard of
        /// the group is some steps old.
        Hold {
            /// How many steps after the one that the rank is in.
            ahead: u64,
        },
        /// Say whether a go was ordered for a step that the rank is held at: `Done` where none was and none will
        /// be, `Refused` where one was, `Untold` where the process is younger than the hold.
        Settle {
            /// The step.
            step: Step,
        },
        /// Know that the lead's own rank is about to be armed for a step: from now on only the lead settles
        /// the switch.
        Pledge {
            /// The step.
            step: Step,
        },
        /// Take a prepared map over as a step begins.
        Arm {
            /// The map's number.
            version: MapVersion,
            /// The step.
            step: Step,
        },
        /// Be surely not armed: take an arming back, and outdate one that is on its way.
        Disarm {
            /// A number that no rank has had, under which the old map may be prepared.
            unused: MapVersion,
            /// The old map.
            old: Arc<ExpertMap>,
        },
        /// Let the group go on.
        Go {
            /// The step that it is held at.
            step: Step,
        },
    }

    /// What became of an order.
    #[derive(Copy)]
    pub enum Outcome {
        /// It holds now.
        Done,
        /// The group is held at a step.
        Held(Step),
        /// It does not hold, and never will.
        Refused,
        /// It may or may not hold, now or later.
        Unsure,
        /// The process can't tell.
        Untold,
        /// A later lead has given orders since, and settles what is under way.
        Overtaken,
    }

    /// What a rank says of itself.
    #[derive(Copy)]
    pub struct RankState {
        /// The group's incarnation.
        pub epoch: GroupIncarnation,
        /// Whether the group runs.
        pub open: bool,
        /// The last step that was begun.
        pub step: Step,
        /// The map in force.
        pub map: MapVersion,
        /// The map that is copied in whole.
        pub prepared: Option<MapVersion>,
        /// The map that will be taken over.
        pub armed: Option<MapVersion>,
        /// The step that the rank holds the group at.
        pub held: Option<Step>,
    }
}

impl RankState {
    /// The highest map number among what is in force, prepared and armed.
    pub fn highest(&self) -> MapVersion {
        let other = self.prepared.max(self.armed);
        self.map.max(other.unwrap_or_default())
    }
}
