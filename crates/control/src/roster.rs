//! Which change of the voters a leader makes next, so that lost disks are replaced by themselves.
//!
//! A host that comes back with an empty disk, or a new host in another one's place, asks to
//! join. It learns first, and votes once it has caught up; the voter that fell silent leaves after
//! that, so that the log never stands on fewer disks than before.

use std::collections::BTreeMap;

use snipemast_core::prelude::*;

use crate::voters::{Location, VoterChange, VoterId, Voters};

/// How long a voter must be silent before a learner takes its place: longer than a restart of its
/// process or a lost packet keeps it silent, and well below the time within which a second host
/// may be lost.
pub const SILENT: Span = Span::from_millis(1_200);

/// How long a silent learner is kept.
pub const ABANDONED: Span = Span::from_secs(10);

/// What a leader knows of another voter or learner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Health {
    /// How long ago the last message was sent that it answered; where it never answered, how long
    /// the leader has sent to it.
    pub silent: Span,
    /// Whether its disk holds all that is committed.
    pub current: bool,
}

/// What a leader looks at.
#[derive(Debug, Clone)]
pub struct Roster<'a> {
    /// The leader.
    pub own: VoterId,
    /// How many voters there are to be.
    pub target: usize,
    /// The voters and learners in force.
    pub voters: &'a Voters,
    /// How the others are.
    pub health: &'a BTreeMap<VoterId, Health>,
    /// Who asks to join.
    pub joining: &'a BTreeMap<VoterId, Location>,
}

impl Roster<'_> {
    /// The next change, if one is due.
    pub fn next(&self) -> Option<VoterChange> {
        self.surplus()
            .or_else(|| self.promotion())
            .or_else(|| self.newcomer())
            .or_else(|| self.abandoned())
    }

    /// A voter too many: one whose address another one has taken over, else a silent one.
    fn surplus(&self) -> Option<VoterChange> {
        if self.voters.voters.len() <= self.target {
            return None;
        }
        let others = || self.voters.voters.iter().filter(|(id, _)| **id != self.own);
        let dead = others().find(|(id, location)| self.is_succeeded(**id, location));
        let silent = || others().find(|(id, _)| self.is_silent(**id));
        let (id, _) = dead.or_else(silent)?;
        Some(VoterChange::Remove { id: *id })
    }

    /// A learner that has caught up and whose vote is needed.
    fn promotion(&self) -> Option<VoterChange> {
        let votes = &self.voters.voters;
        let short = votes.len() < self.target;
        let missing = votes.iter().any(|(id, location)| {
            *id != self.own && (self.is_silent(*id) || self.is_succeeded(*id, location))
        });
        let due = short || (missing && votes.len() == self.target);
        if !due {
            return None;
        }
        let mut learners = self.voters.learners.keys();
        let ready = learners.find(|id| {
            let change = VoterChange::Promote { id: **id };
            let health = self.health.get(id);
            let current = health.is_some_and(|h| h.current) && !self.is_silent(**id);
            current && self.voters.with_change(&change).is_ok()
        });
        ready.map(|id| VoterChange::Promote { id: *id })
    }

    fn newcomer(&self) -> Option<VoterChange> {
        let new = self.joining.iter().find(|(id, _)| !self.voters.knows(**id));
        new.map(|(id, location)| VoterChange::Learn {
            id: *id,
            location: location.clone(),
        })
    }

    fn abandoned(&self) -> Option<VoterChange> {
        let gone = |id: &&VoterId| self.silent(**id) >= ABANDONED;
        let id = self.voters.learners.keys().find(gone)?;
        Some(VoterChange::Remove { id: *id })
    }

    /// Whether a learner or voter that joined later has its address: then its disk is gone.
    fn is_succeeded(&self, id: VoterId, location: &Location) -> bool {
        let all = self.voters.voters.iter().chain(&self.voters.learners);
        let mut others = all.filter(|(other, _)| **other != id);
        others.any(|(other, s)| {
            s.address == location.address && !self.is_silent(*other) && self.is_silent(id)
        })
    }

    fn is_silent(&self, id: VoterId) -> bool {
        self.silent(id) >= SILENT
    }

    fn silent(&self, id: VoterId) -> Span {
        // The leader itself, and whoever it does not send to yet, are not silent.
        self.health.get(&id).map_or(Span::default(), |h| h.silent)
    }
}
