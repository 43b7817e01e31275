//! How reports of a server are ordered: of its starts, and within one start.

use snipemast_core::prelude::*;

use crate::announcement::Standing;
use crate::table::SILENCE_TIMEOUT;

/// What was last heard of one start of a server.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Report {
    pub(crate) start: Incarnation,
    pub(crate) sequence: u64,
    pub(crate) standing: Standing,
    pub(crate) heard: Moment,
}

impl Report {
    /// Whether it is of a later start than another report, of the same server or of one at its
    /// address.
    ///
    /// Starts are ordered by the time that servers give for them. A clock that is set back between
    /// two starts reverses this order, so a start that is heard long after the other one fell
    /// silent counts as the later one.
    pub(crate) fn outranks(&self, other: &Self) -> bool {
        if self.start == other.start {
            return self.heard > other.heard;
        }
        if self.start > other.start {
            return other.heard < self.heard + SILENCE_TIMEOUT;
        }
        self.heard >= other.heard + SILENCE_TIMEOUT
    }

    /// Returns the standing after a further report of the same start, or `None` if that report is
    /// outdated.
    pub(crate) fn merged_standing(&self, report: &Self) -> Option<Standing> {
        let outdated = report.sequence <= self.sequence;
        if self.standing == Standing::Gone {
            return (!outdated && report.refutes(self)).then_some(report.standing);
        }
        if report.standing == Standing::Gone {
            let refuted = self.sequence > report.sequence && self.refutes(report);
            return (!refuted).then_some(Standing::Gone);
        }
        if outdated && report.standing <= self.standing {
            return None;
        }
        Some(match self.standing {
            // A server that is draining goes on draining until it restarts.
            Standing::Draining => report.standing.max(Standing::Draining),
            _ => report.standing,
        })
    }

    /// Whether it shows that a goodbye was not from this start.
    ///
    /// The goodbye of the previous start may be delayed and cross the first heartbeats of this one,
    /// which goes on announcing itself.
    fn refutes(&self, goodbye: &Self) -> bool {
        self.standing != Standing::Gone && self.heard >= goodbye.heard + SILENCE_TIMEOUT
    }
}
