//! Changes of the voters: one at a time, and only to a learner that has caught up.

use snipemast_core::prelude::*;

use crate::apply::StateMachine;
use crate::entry::Payload;
use crate::node::{Node, NodeEvent, Refusal, Ticket};
use crate::role::{Progress, Role};
use crate::voters::{ChangeError, VoterChange, VoterId, Voters};

impl<M: StateMachine> Node<M> {
    pub(crate) fn change(&mut self, ticket: Ticket, change: VoterChange) {
        let next = self.may_append().and_then(|()| {
            let checked = self.check_change(&change);
            checked.map_err(Refusal::Change)
        });
        match next {
            Err(refusal) => self.answer(ticket, Err(refusal)),
            Ok(voters) => self.append_change(ticket, voters),
        }
    }

    /// Failures guarded against: two changes at once whose majorities do not overlap; a change
    /// by a leader that has committed nothing yet, beside one of the leader before it; a
    /// promotion that makes the majority wait for a disk that still lacks the log, or that
    /// loses it when a second host goes right after a repair.
    fn check_change(&self, change: &VoterChange) -> Result<Voters, ChangeError> {
        let Role::Leader(office) = &self.role else {
            return Err(ChangeError::Early);
        };
        if !office.ready {
            return Err(ChangeError::Early);
        }
        if self.log.voters_index() > self.commit {
            return Err(ChangeError::Pending);
        }
        let next = self.log.voters().with_change(change)?;
        if let VoterChange::Promote { id } = change {
            self.check_learner(office.peers.get(id))?;
        }
        Ok(next)
    }

    fn check_learner(&self, progress: Option<&Progress>) -> Result<(), ChangeError> {
        let (held, acked) = progress.map_or((Index(0), None), |p| (p.matched, p.acked));
        let alive = acked.is_some_and(|a| self.now < a + self.timing.election_timeout);
        let needed = self.commit;
        if held >= needed && alive {
            Ok(())
        } else {
            Err(ChangeError::Behind { held, needed })
        }
    }

    fn append_change(&mut self, ticket: Ticket, voters: Voters) {
        let (last, now) = (self.log.last_index(), self.now);
        let id = self.id;
        if let Some(office) = self.office() {
            for peer in voters.others(id) {
                let peers = &mut office.peers;
                peers
                    .entry(peer)
                    .or_insert_with(|| Progress::new(last, now));
            }
        }
        let index = self.append_own(Payload::Voters(voters));
        if let Some(office) = self.office() {
            office.waiting.insert(index, ticket);
        }
        // A change to fewer voters may be held by enough disks already.
        self.advance_commit();
    }

    /// A committed set of voters: whoever left it is sent nothing more.
    pub(crate) fn settle_voters(&mut self, voters: Voters) {
        let current: Vec<VoterId> = self.log.voters().others(self.id);
        if let Some(office) = self.office() {
            office.peers.retain(|peer, _| current.contains(peer));
        }
        self.note(NodeEvent::VotersChanged(voters));
    }

    /// The first entry of an office is committed: the leader may give orders.
    pub(crate) fn settle_office(&mut self, term: Term) {
        if term != self.hard.term {
            return;
        }
        let Some(office) = self.office() else {
            return;
        };
        office.ready = true;
        self.note(NodeEvent::LeaderReady(Fence(term.get())));
    }

    /// A leader that a committed change has removed ends its office.
    pub(crate) fn leave_if_removed(&mut self) {
        let settled = self.log.voters_index() <= self.applied;
        if settled && self.is_leader() && !self.log.voters().is_voter(self.id) {
            self.end_office();
        }
    }
}
