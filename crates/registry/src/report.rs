//! How reports of a server are ordered: of its starts, and within one start.

use snipemast_core::prelude::*;

use crate::announcement::Standing;
use crate::table::SILENCE_TIMEOUT;

/// The last report of one start of a server.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Report {
    pub(crate) start: Incarnation,
    pub(crate) sequence: u64,
    pub(crate) standing: Standing,
    pub(crate) last_seen: Moment,
}

impl Report {
    /// Whether it is of a later start than another report, of the same server or of one at its
    /// address.
    ///
    /// Starts are ordered by the time that servers give for them. A clock that is set back between
    /// two starts reverses this order, so a start whose heartbeat arrives long after the other one timed
    /// out counts as the later one.
    pub(crate) fn outranks(&self, other: &Self) -> bool {
        if self.start == other.start {
            return self.last_seen > other.last_seen;
        }
        if self.start > other.start {
            return other.last_seen < self.last_seen + SILENCE_TIMEOUT;
        }
        self.last_seen >= other.last_seen + SILENCE_TIMEOUT
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

    /// Whether it shows that a deregistration was not from this start.
    ///
    /// The deregistration of the previous start may be delayed and cross the first heartbeats of this one,
    /// which goes on announcing itself.
    fn refutes(&self, deregistration: &Self) -> bool {
        self.standing != Standing::Gone
            && self.last_seen >= deregistration.last_seen + SILENCE_TIMEOUT
    }
}
