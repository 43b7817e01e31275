//! Membership changes: one at a time, and only a learner that has caught up may become a voter.

use snipemast_core::prelude::*;

use crate::apply::StateMachine;
use crate::entry::Payload;
use crate::node::{Node, NodeEvent, Refusal, Ticket};
use crate::role::{Progress, Role};
use crate::voters::{ChangeError, VoterChange, VoterId, Voters};

impl<M: StateMachine> Node<M> {
    /// Appends a membership change to the log, or refuses it.
    pub(crate) fn change(&mut self, ticket: Ticket, change: VoterChange) {
        let next = self.check_can_append().and_then(|()| {
            let checked = self.check_change(&change);
            checked.map_err(Refusal::Change)
        });
        match next {
            Err(refusal) => self.answer(ticket, Err(refusal)),
            Ok(voters) => self.append_change(ticket, voters),
        }
    }

    /// Returns the voters after the change, or why it may not be made now.
    ///
    /// Three failures are guarded against. Two changes at once could have majorities that do not
    /// overlap. A leader that has committed nothing yet could add a change beside one of the
    /// previous leader. A promoted learner that still lacks the log would make the majority wait
    /// for its disk, and entries would be lost if a second host failed right after a repair.
    fn check_change(&self, change: &VoterChange) -> Result<Voters, ChangeError> {
        let Role::Leader(state) = &self.role else {
            return Err(ChangeError::Early);
        };
        if !state.ready {
            return Err(ChangeError::Early);
        }
        if self.log.voters_index() > self.commit {
            return Err(ChangeError::Pending);
        }
        let next = self.log.voters().with_change(change)?;
        if let VoterChange::Promote { id } = change {
            self.check_learner(state.peers.get(id))?;
        }
        Ok(next)
    }

    /// Checks that a learner answers and holds every committed entry.
    fn check_learner(&self, progress: Option<&Progress>) -> Result<(), ChangeError> {
        let (held, acked) = progress.map_or((Index(0), None), |p| (p.matched, p.last_acked));
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
        if let Some(state) = self.leader_state() {
            for peer in voters.others(id) {
                let peers = &mut state.peers;
                peers
                    .entry(peer)
                    .or_insert_with(|| Progress::new(last, now));
            }
        }
        let index = self.append_own(Payload::Voters(voters));
        if let Some(state) = self.leader_state() {
            state.waiting.insert(index, ticket);
        }
        // With fewer voters, enough disks may hold the entry already.
        self.advance_commit();
    }

    /// Applies a committed set of voters; members that left it are sent nothing more.
    pub(crate) fn apply_voters(&mut self, voters: Voters) {
        let current: Vec<VoterId> = self.log.voters().others(self.id);
        if let Some(state) = self.leader_state() {
            state.peers.retain(|peer, _| current.contains(peer));
        }
        self.emit(NodeEvent::VotersChanged(voters));
    }

    /// Marks the leader as ready once the first entry of its term is committed; from then on it may
    /// issue its fencing number.
    pub(crate) fn mark_ready(&mut self, term: Term) {
        if term != self.hard.term {
            return;
        }
        let Some(state) = self.leader_state() else {
            return;
        };
        state.ready = true;
        self.emit(NodeEvent::LeaderReady(Fence(term.get())));
    }

    /// Steps down if a committed change has removed this leader from the voters.
    pub(crate) fn step_down_if_removed(&mut self) {
        let is_applied = self.log.voters_index() <= self.applied;
        if is_applied && self.is_leader() && !self.log.voters().is_voter(self.id) {
            self.step_down();
        }
    }
}
