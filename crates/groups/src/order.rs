//! What a lead asks of the ranks of a group, and what they say.

use snipemast_core::data;
use snipemast_core::prelude::*;

use crate::draft::Draft;

data! {
    /// What an order asks of a rank.
    pub enum Order {
        /// Copy what is new of a map: `Done` where that has begun, `Prepared` where it is complete.
        Prepare {
            /// The map's number.
            version: MapVersion,
            /// The map; an order is `Untold` where the rank's process does not know what it starts from.
            draft: Draft,
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
        ///
        /// Load answered: 192 ranks, whose map takes 17 kB, behind links of 6 Mbit/s. With the old map in it
        /// this order took 4.4 s to leave for all of them, and a group that had been held as long stood still.
        Disarm {
            /// A number that no rank has had, under which the rank may prepare what it holds already.
            unused: MapVersion,
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
        /// The map is copied in whole.
        Prepared,
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

/// A phase of a lead's work; outcomes of orders of another one are ignored.
///
/// Failure guarded against: a group is lost and taken up again, and a rank's late word that it was
/// armed for the switch before counts for the one under way. Each lead has a ballot of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Phase {
    lead: Ballot,
    number: u64,
}

impl Phase {
    /// The first phase of a lead.
    pub(crate) fn first(lead: Ballot) -> Self {
        Self { lead, number: 0 }
    }

    /// The phase after this one.
    #[must_use]
    pub(crate) fn next(self) -> Self {
        let number = self.number + 1;
        Self { number, ..self }
    }
}

/// An order for a rank; its outcome is told with the same phase.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RankOrder {
    /// The rank; the lead's own is 0.
    pub rank: usize,
    /// Which phase of the work it belongs to.
    pub phase: Phase,
    /// The group's incarnation that it is for.
    pub epoch: GroupIncarnation,
    /// The order.
    pub order: Order,
}

impl RankState {
    /// The highest map number among what is in force, prepared and armed.
    pub fn highest_map(&self) -> MapVersion {
        let other = self.prepared.max(self.armed);
        self.map.max(other.unwrap_or_default())
    }
}
