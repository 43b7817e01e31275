//! The stages of a switch.

use std::collections::BTreeSet;
use std::sync::Arc;

use snipemast_core::prelude::*;

use crate::map::ExpertMap;
use crate::order::RankState;

/// The stage that a switch has reached, and what is known of its ranks.
#[derive(Debug, Clone)]
pub(super) enum Stage {
    /// No switch is under way.
    Idle,
    /// The ranks copy the experts that they lack.
    Preparing {
        until: Moment,
        map: Arc<ExpertMap>,
        /// How many ranks could not decode the draft.
        undecoded: usize,
        /// The ranks that have not reported that their copy is complete.
        pending: BTreeSet<usize>,
        /// Until when those reports are awaited without polling the ranks.
        poll_after: Moment,
    },
    /// The holder is ordered to hold the group.
    Holding,
    /// The group is held, and all ranks but the lead's own are being armed.
    Arming {
        step: Step,
        since: Moment,
        pending: BTreeSet<usize>,
    },
    /// All other ranks are armed, and the holder is told that the lead's own rank is next.
    Pledging { step: Step, since: Moment },
    /// The lead's own rank is being armed.
    ArmingOwn { step: Step, since: Moment },
    /// The group was held by another lead, and its holder is asked whether that lead ordered a go.
    /// `alike` tells whether all ranks were armed for the same map.
    Asking { holds: Vec<Hold>, alike: bool },
    /// The group is held, and every rank is being disarmed.
    Aborting {
        holds: Vec<Hold>,
        pending: BTreeSet<usize>,
    },
    /// The group is being released. `armed` is the step at which every rank takes the map over, if
    /// they are armed.
    Releasing {
        holds: Vec<Hold>,
        armed: Option<Step>,
    },
    /// The group runs, and the new map is awaited.
    Settling { step: Step },
}

/// A rank that holds the group, and the step at which it does.
pub(super) type Hold = (usize, Step);

/// The lead's own rank.
pub(super) const OWN_RANK: usize = 0;

/// Returns every hold that the ranks report.
pub(super) fn holds(states: &[RankState]) -> Vec<Hold> {
    let ranks = states.iter().enumerate();
    ranks
        .filter_map(|(rank, s)| Some((rank, s.held?)))
        .collect()
}
