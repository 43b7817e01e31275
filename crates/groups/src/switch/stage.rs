//! The stages of a switch.

use std::collections::BTreeSet;
use std::sync::Arc;

use snipemast_core::prelude::*;

use crate::map::ExpertMap;
use crate::order::RankState;

/// How far a switch is, and what is known of its ranks there.
#[derive(Debug, Clone)]
pub(super) enum Stage {
    /// Nothing is under way.
    Idle,
    /// Ranks copy what is new.
    Preparing {
        until: Moment,
        map: Arc<ExpertMap>,
        /// How many ranks could not read the draft.
        unread: usize,
        /// The ranks that have not said that their copy is complete.
        open: BTreeSet<usize>,
        /// Until when that is awaited without looks.
        told: Moment,
    },
    /// The holder is asked to hold the group.
    Holding,
    /// The group is held; the other ranks are armed.
    Arming {
        step: Step,
        since: Moment,
        open: BTreeSet<usize>,
    },
    /// All others are armed; the holder is told that the own rank is next.
    Pledging { step: Step, since: Moment },
    /// The own rank is armed.
    ArmingOwn { step: Step, since: Moment },
    /// The group was held by another lead, and its holder is asked whether that let it go on; whether all
    /// ranks were seen armed alike.
    Asking { holds: Vec<Hold>, alike: bool },
    /// The group is held; ranks are made sure not to be armed.
    Aborting {
        holds: Vec<Hold>,
        open: BTreeSet<usize>,
    },
    /// The group is let go on; the step at which every rank takes the map over, if they do.
    Releasing {
        holds: Vec<Hold>,
        armed: Option<Step>,
    },
    /// The new map is awaited.
    Settling { step: Step },
}

/// A rank that holds the group, and at which step.
pub(super) type Hold = (usize, Step);

/// The lead's own rank.
pub(super) const OWN: usize = 0;

/// Every hold that ranks tell of.
pub(super) fn holds(states: &[RankState]) -> Vec<Hold> {
    let ranks = states.iter().enumerate();
    ranks
        .filter_map(|(rank, s)| Some((rank, s.held?)))
        .collect()
}
