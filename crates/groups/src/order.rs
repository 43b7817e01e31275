//! The orders that a lead gives to the ranks of a group, and their outcomes.

use snipemast_core::data;
use snipemast_core::prelude::*;

use crate::draft::Draft;

data! {
    /// An order to a rank.
    pub enum Order {
        /// Copies the experts of a map that the rank lacks. The outcome is `Done` where the copy
        /// has begun and `Prepared` where it is complete.
        Prepare {
            /// The map's number.
            version: MapVersion,
            /// The map. The outcome is `Untold` where the rank's sidecar does not know the base of
            /// the draft.
            draft: Draft,
        },
        /// Keeps the group from beginning a step. The rank chooses the step, because what the lead
        /// knows of the group is some steps old.
        Hold {
            /// How many steps after the current one the group is held.
            ahead: u64,
        },
        /// Asks whether a [`Go`](Self::Go) was ordered for a step that the rank is held at. The
        /// outcome is `Done` where none was and none will be, `Refused` where one was, and `Untold`
        /// where the sidecar started after the hold.
        Settle {
            /// The step.
            step: Step,
        },
        /// Announces that the lead's own rank is about to be armed for a step. From now on only the
        /// lead settles the switch.
        Pledge {
            /// The step.
            step: Step,
        },
        /// Arms the rank: it takes a prepared map over when a step begins.
        Arm {
            /// The map's number.
            version: MapVersion,
            /// The step.
            step: Step,
        },
        /// Makes sure that the rank is not armed: cancels an arming, and outdates one that is on
        /// its way.
        ///
        /// The order does not contain a map. With the old map of 17 kB in it, it took 4.4 s to
        /// leave for all of 192 ranks over a link of 6 Mbit/s, and the held group stood still for
        /// as long.
        Disarm {
            /// A map number that no rank has had, under which the rank may prepare what it already
            /// holds.
            unused: MapVersion,
        },
        /// Releases the group from a hold.
        Go {
            /// The step that the group is held at.
            step: Step,
        },
    }

    /// The outcome of an order.
    #[derive(Copy)]
    pub enum Outcome {
        /// The order is carried out.
        Done,
        /// The copy of the map is complete.
        Prepared,
        /// The group is held at this step.
        Held(Step),
        /// The order is not carried out and never will be.
        Refused,
        /// The outcome is in doubt: the order may be carried out, now or later.
        Unsure,
        /// The rank's sidecar lacks the knowledge that the order needs.
        Untold,
        /// A later lead has given orders since and settles what is under way.
        Overtaken,
    }

    /// The state that a rank reports.
    #[derive(Copy)]
    pub struct RankState {
        /// The group's incarnation.
        pub epoch: GroupIncarnation,
        /// Whether the group is running.
        pub open: bool,
        /// The last step that has begun.
        pub step: Step,
        /// The map in force.
        pub map: MapVersion,
        /// The map whose copy is complete.
        pub prepared: Option<MapVersion>,
        /// The map that the rank is armed to take over.
        pub armed: Option<MapVersion>,
        /// The step that the rank holds the group at.
        pub held: Option<Step>,
    }
}

/// A phase of a lead's work. Outcomes of orders of another phase are ignored.
///
/// Failure guarded against: a lead loses its group and adopts it again, and a rank's late answer
/// that it was armed for the previous switch is counted for the current one. Each lead has its own
/// ballot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Phase {
    lead: Ballot,
    number: u64,
}

impl Phase {
    /// Returns the first phase of a lead.
    pub(crate) fn first(lead: Ballot) -> Self {
        Self { lead, number: 0 }
    }

    /// Returns the phase after this one.
    #[must_use]
    pub(crate) fn next(self) -> Self {
        let number = self.number + 1;
        Self { number, ..self }
    }
}

/// An order for a rank. Its outcome is reported with the same phase.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RankOrder {
    /// The rank; the lead's own is 0.
    pub rank: usize,
    /// The phase that the order belongs to.
    pub phase: Phase,
    /// The incarnation of the group that it is meant for.
    pub epoch: GroupIncarnation,
    /// The order.
    pub order: Order,
}

impl RankState {
    /// Returns the highest number among the maps in force, prepared and armed.
    pub fn highest_map(&self) -> MapVersion {
        let other = self.prepared.max(self.armed);
        self.map.max(other.unwrap_or_default())
    }
}
