//! The choice of the next membership change, so that the leader replaces lost disks on its own.
//!
//! A host that returns with an empty disk, or a new host in place of another, asks to join. It is
//! added as a learner and becomes a voter once it has caught up. Only then is the silent voter
//! removed, so that the log is never held by fewer disks than before.

use std::collections::BTreeMap;

use snipemast_core::prelude::*;

use crate::voters::{Location, VoterChange, VoterId, Voters};

/// How long a voter must be silent before a learner replaces it: longer than a restart of its
/// process or a lost packet takes, and well below the time within which a second host may be lost.
pub const SILENCE_LIMIT: Span = Span::from_millis(1_200);

/// How long a learner may be silent before it is removed.
pub const LEARNER_SILENCE_LIMIT: Span = Span::from_secs(10);

/// The health of another voter or learner, as the leader knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Health {
    /// How long ago the latest message that it has acknowledged was sent; if it has never answered,
    /// how long the leader has sent to it.
    pub silence: Span,
    /// Whether its disk holds every committed entry.
    pub caught_up: bool,
}

/// The state of the members from which the next change is chosen.
#[derive(Debug, Clone)]
pub struct Roster<'a> {
    /// The leader.
    pub leader: VoterId,
    /// The number of voters that the cluster should have.
    pub target_size: usize,
    /// The voters and learners in force.
    pub voters: &'a Voters,
    /// The health of the other members.
    pub health: &'a BTreeMap<VoterId, Health>,
    /// The hosts that ask to join.
    pub joining: &'a BTreeMap<VoterId, Location>,
}

impl Roster<'_> {
    /// Returns the next change, if one is due.
    pub fn next_change(&self) -> Option<VoterChange> {
        self.remove_surplus()
            .or_else(|| self.promote_learner())
            .or_else(|| self.add_newcomer())
            .or_else(|| self.remove_abandoned())
    }

    /// Removes a surplus voter: one whose address another member has taken over, else a silent one.
    fn remove_surplus(&self) -> Option<VoterChange> {
        if self.voters.voters.len() <= self.target_size {
            return None;
        }
        let others = || {
            self.voters
                .voters
                .iter()
                .filter(|(id, _)| **id != self.leader)
        };
        let dead = others().find(|(id, location)| self.is_replaced(**id, location));
        let silent = || others().find(|(id, _)| self.is_silent(**id));
        let (id, _) = dead.or_else(silent)?;
        Some(VoterChange::Remove { id: *id })
    }

    /// Promotes a learner that has caught up, if its vote is needed.
    fn promote_learner(&self) -> Option<VoterChange> {
        let votes = &self.voters.voters;
        let short = votes.len() < self.target_size;
        let missing = votes.iter().any(|(id, location)| {
            *id != self.leader && (self.is_silent(*id) || self.is_replaced(*id, location))
        });
        let due = short || (missing && votes.len() == self.target_size);
        if !due {
            return None;
        }
        let mut learners = self.voters.learners.keys();
        let ready = learners.find(|id| {
            let change = VoterChange::Promote { id: **id };
            let health = self.health.get(id);
            let caught_up = health.is_some_and(|h| h.caught_up) && !self.is_silent(**id);
            caught_up && self.voters.with_change(&change).is_ok()
        });
        ready.map(|id| VoterChange::Promote { id: *id })
    }

    /// Adds a host that asks to join as a learner.
    fn add_newcomer(&self) -> Option<VoterChange> {
        let new = self
            .joining
            .iter()
            .find(|(id, _)| !self.voters.is_member(**id));
        new.map(|(id, location)| VoterChange::Learn {
            id: *id,
            location: location.clone(),
        })
    }

    /// Removes a learner that has been silent for too long.
    fn remove_abandoned(&self) -> Option<VoterChange> {
        let gone = |id: &&VoterId| self.silence(**id) >= LEARNER_SILENCE_LIMIT;
        let id = self.voters.learners.keys().find(gone)?;
        Some(VoterChange::Remove { id: *id })
    }

    /// Whether the member is silent and another one with the same address is not; then its disk is
    /// gone.
    fn is_replaced(&self, id: VoterId, location: &Location) -> bool {
        let all = self.voters.voters.iter().chain(&self.voters.learners);
        let mut others = all.filter(|(other, _)| **other != id);
        others.any(|(other, s)| {
            s.address == location.address && !self.is_silent(*other) && self.is_silent(id)
        })
    }

    fn is_silent(&self, id: VoterId) -> bool {
        self.silence(id) >= SILENCE_LIMIT
    }

    fn silence(&self, id: VoterId) -> Span {
        // The leader itself, and a member that it does not send to yet, do not count as silent.
        self.health.get(&id).map_or(Span::default(), |h| h.silence)
    }
}
