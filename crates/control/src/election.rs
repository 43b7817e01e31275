//! Elections: pre-vote, vote, check-quorum, and stepping down.

use std::collections::BTreeSet;

use snipemast_core::prelude::*;

use crate::apply::StateMachine;
use crate::entry::{HardState, Payload, Write};
use crate::message::{Message, Position};
use crate::node::{Node, NodeEvent, Refusal};
use crate::role::{LeaderState, Progress, Role};
use crate::voters::VoterId;

/// A candidate that was not elected retries after the election timeout divided by this.
const RETRY_FRACTION: u64 = 4;

impl<M: StateMachine> Node<M> {
    /// Restarts the wait for a leader: one election timeout plus a random jitter.
    pub(crate) fn reset_election_timer(&mut self) {
        let jitter = self.rng.span_below(self.timing.election_jitter);
        self.election_due = self.now + self.timing.election_timeout + jitter;
    }

    /// Asks the other voters whether they would vote for this one, without raising the term.
    ///
    /// The term is raised only after a majority has said that it hears no leader. Otherwise a voter
    /// that was cut off would return with a term that it raised alone and depose a leader that all
    /// others hear.
    pub(crate) fn start_pre_vote(&mut self) {
        let part = self.timing.election_timeout.as_micros() / RETRY_FRACTION;
        self.election_due =
            self.now + Span::from_micros(part) + self.rng.span_below(self.timing.election_jitter);
        self.leader = None;
        if self.is_only_voter() {
            return self.start_election();
        }
        self.role = Role::PreCandidate {
            granted: BTreeSet::from([self.id]),
        };
        let next = self.hard.term.next();
        let last = self.last_position();
        for voter in self.other_voters() {
            self.send(voter, Message::PreVote { next, last });
        }
    }

    pub(crate) fn on_pre_vote(&mut self, from: VoterId, next: Term, last: Position) {
        let granted = next > self.hard.term
            && !self.hears_leader()
            && self.log.is_up_to_date(last.term, last.index);
        self.send(from, Message::PreVoted { next, granted });
    }

    pub(crate) fn on_pre_voted(&mut self, from: VoterId, next: Term, granted: bool) {
        let current = next == self.hard.term.next();
        let Role::PreCandidate { granted: so_far } = &mut self.role else {
            return;
        };
        if !current || !granted {
            return;
        }
        so_far.insert(from);
        let elected = self.log.voters().is_quorum(so_far);
        if elected {
            self.start_election();
        }
    }

    /// Raises the term and asks the other voters for their votes.
    fn start_election(&mut self) {
        self.set_hard_state(self.hard.term.next(), Some(self.id));
        self.role = Role::Candidate {
            granted: BTreeSet::from([self.id]),
        };
        if self.is_only_voter() {
            return self.become_leader();
        }
        let last = self.last_position();
        for voter in self.other_voters() {
            self.send_after_sync(voter, Message::Vote { last });
        }
    }

    pub(crate) fn on_vote(&mut self, from: VoterId, term: Term, last: Position) {
        let free = self.hard.vote.is_none_or(|v| v == from);
        let granted = term == self.hard.term
            && free
            && !self.is_leader()
            && self.log.is_up_to_date(last.term, last.index);
        if granted && self.hard.vote.is_none() {
            self.set_hard_state(term, Some(from));
            self.reset_election_timer();
        }
        self.send_after_sync(from, Message::Voted { granted });
    }

    pub(crate) fn on_voted(&mut self, from: VoterId, term: Term, granted: bool) {
        let current = term == self.hard.term;
        let Role::Candidate { granted: so_far } = &mut self.role else {
            return;
        };
        if !current || !granted {
            return;
        }
        so_far.insert(from);
        let elected = self.log.voters().is_quorum(so_far);
        if elected {
            self.become_leader();
        }
    }

    /// Becomes the leader and appends a first entry of its own term.
    ///
    /// A leader counts disks only for entries of its own term; earlier entries are committed along
    /// with them. If it counted disks for an entry of an earlier term, a later leader without that
    /// entry could still overwrite it.
    fn become_leader(&mut self) {
        let (last, now) = (self.log.last_index(), self.now);
        let peers = self.log.voters().others(self.id);
        let peers = peers.into_iter().map(|p| (p, Progress::new(last, now)));
        self.role = Role::Leader(Box::new(LeaderState {
            elected_at: self.now,
            next_heartbeat: self.now + self.timing.heartbeat,
            ready: false,
            peers: peers.collect(),
            waiting: Default::default(),
        }));
        self.leader = Some(self.id);
        self.emit(NodeEvent::Elected(self.hard.term));
        self.append_own(Payload::Office { leader: self.id });
    }

    /// Becomes a follower in this term, of a leader if one is known.
    pub(crate) fn follow(&mut self, term: Term, leader: Option<VoterId>) {
        if term > self.hard.term {
            self.set_hard_state(term, None);
        }
        self.step_down();
        self.role = Role::Follower;
        self.leader = leader;
    }

    /// Steps down if this voter leads; callers that wait learn that their verdict is unknown.
    pub(crate) fn step_down(&mut self) {
        let Role::Leader(state) = &mut self.role else {
            return;
        };
        let waiting = std::mem::take(&mut state.waiting);
        self.role = Role::Follower;
        self.leader = None;
        self.reset_election_timer();
        self.emit(NodeEvent::SteppedDown(self.hard.term));
        for ticket in waiting.into_values() {
            self.answer(ticket, Err(Refusal::Unknown));
        }
    }

    /// Steps down if no majority has answered for one election timeout.
    ///
    /// Otherwise a leader that no majority hears would keep accepting patches, and operators would
    /// wait for verdicts that cannot come.
    pub(crate) fn check_quorum(&mut self) {
        let Role::Leader(state) = &self.role else {
            return;
        };
        let contact = self.quorum_contact(state).unwrap_or(state.elected_at);
        if self.now > contact + self.timing.election_timeout {
            self.step_down();
        }
    }

    /// Returns the latest moment such that a majority has answered a message sent then or later.
    pub(crate) fn quorum_contact(&self, state: &LeaderState) -> Option<Moment> {
        let acked = |id| match state.peers.get(&id) {
            _ if id == self.id => Some(self.now),
            Some(progress) => progress.last_acked,
            None => None,
        };
        self.log.voters().majority_value(acked).flatten()
    }

    /// Whether this voter leads or has heard a leader within the election timeout. If so, it does
    /// not help to depose that leader.
    pub(crate) fn hears_leader(&self) -> bool {
        self.is_leader() || self.now < self.last_heard + self.timing.election_timeout
    }

    fn set_hard_state(&mut self, term: Term, vote: Option<VoterId>) {
        self.hard = HardState { term, vote };
        self.write(Write::Hard(self.hard));
    }

    fn last_position(&self) -> Position {
        Position::new(self.log.last_term(), self.log.last_index())
    }

    fn other_voters(&self) -> Vec<VoterId> {
        let voters = self.log.voters().voters.keys();
        voters.copied().filter(|v| *v != self.id).collect()
    }
}
