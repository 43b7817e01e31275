//! Elections: pre-vote, vote, check-quorum, and the end of an office.

use std::collections::BTreeSet;

use snipemast_core::prelude::*;

use crate::apply::StateMachine;
use crate::entry::{Hard, Payload, Write};
use crate::message::{Message, Position};
use crate::node::{Node, NodeEvent, Refusal};
use crate::role::{Office, Progress, Role};
use crate::voters::VoterId;

/// A candidate that was not elected tries again after this part of the election timeout.
const RETRY_PART: u64 = 4;

impl<M: StateMachine> Node<M> {
    /// Waits for a leader for one election timeout and a little more by chance.
    pub(crate) fn rest(&mut self) {
        let spread = self.chance.span_below(self.timing.election_jitter);
        self.alarm = self.now + self.timing.election_timeout + spread;
    }

    /// Asks the voters whether they would elect it.
    ///
    /// Failure guarded against: a voter that was cut off comes back with a term it raised alone
    /// and deposes a leader that all others hear. No term is raised before a majority says
    /// that it hears no leader.
    pub(crate) fn stand(&mut self) {
        let part = self.timing.election_timeout.as_micros() / RETRY_PART;
        self.alarm = self.now
            + Span::from_micros(part)
            + self.chance.span_below(self.timing.election_jitter);
        self.leader = None;
        if self.is_alone() {
            return self.campaign();
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
            && !self.is_sheltered()
            && self.log.is_covered_by(last.term, last.index);
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
            self.campaign();
        }
    }

    fn campaign(&mut self) {
        self.swear(self.hard.term.next(), Some(self.id));
        self.role = Role::Candidate {
            granted: BTreeSet::from([self.id]),
        };
        if self.is_alone() {
            return self.take_office();
        }
        let last = self.last_position();
        for voter in self.other_voters() {
            self.send_synced(voter, Message::Vote { last });
        }
    }

    pub(crate) fn on_vote(&mut self, from: VoterId, term: Term, last: Position) {
        let free = self.hard.vote.is_none_or(|v| v == from);
        let granted = term == self.hard.term
            && free
            && !self.is_leader()
            && self.log.is_covered_by(last.term, last.index);
        if granted && self.hard.vote.is_none() {
            self.swear(term, Some(from));
            self.rest();
        }
        self.send_synced(from, Message::Voted { granted });
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
            self.take_office();
        }
    }

    /// Begins an office with an entry of its own term.
    ///
    /// Failure guarded against: a leader counts disks for an entry of an earlier term, and a
    /// later leader without that entry overwrites it. Only entries of its own term are
    /// counted; what stands before them is committed with them.
    fn take_office(&mut self) {
        let (last, now) = (self.log.last_index(), self.now);
        let peers = self.log.voters().others(self.id);
        let peers = peers.into_iter().map(|p| (p, Progress::new(last, now)));
        self.role = Role::Leader(Box::new(Office {
            began: self.now,
            beat: self.now + self.timing.heartbeat,
            ready: false,
            peers: peers.collect(),
            waiting: Default::default(),
        }));
        self.leader = Some(self.id);
        self.note(NodeEvent::Elected(self.hard.term));
        self.append_own(Payload::Office { leader: self.id });
    }

    /// Follows a leader, or nobody yet, in this term.
    pub(crate) fn follow(&mut self, term: Term, leader: Option<VoterId>) {
        if term > self.hard.term {
            self.swear(term, None);
        }
        self.end_office();
        self.role = Role::Follower;
        self.leader = leader;
    }

    /// Ends an office, if it holds one: whoever waits learns that the verdict is not known.
    pub(crate) fn end_office(&mut self) {
        let Role::Leader(office) = &mut self.role else {
            return;
        };
        let waiting = std::mem::take(&mut office.waiting);
        self.role = Role::Follower;
        self.leader = None;
        self.rest();
        self.note(NodeEvent::SteppedDown(self.hard.term));
        for ticket in waiting.into_values() {
            self.answer(ticket, Err(Refusal::Unknown));
        }
    }

    /// Failure guarded against: a leader that no majority hears goes on taking patches, and
    /// operators wait for verdicts that can't come. It steps down after one election timeout.
    pub(crate) fn check_quorum(&mut self) {
        let Role::Leader(office) = &self.role else {
            return;
        };
        let contact = self.contact(office).unwrap_or(office.began);
        if self.now > contact + self.timing.election_timeout {
            self.end_office();
        }
    }

    /// The latest moment by which a majority has answered something sent then or later.
    pub(crate) fn contact(&self, office: &Office) -> Option<Moment> {
        let acked = |id| match office.peers.get(&id) {
            _ if id == self.id => Some(self.now),
            Some(progress) => progress.acked,
            None => None,
        };
        self.log.voters().agreed(acked).flatten()
    }

    /// Whether it hears a leader, or is one: then it helps nobody to depose it.
    pub(crate) fn is_sheltered(&self) -> bool {
        self.is_leader() || self.now < self.heard + self.timing.election_timeout
    }

    fn swear(&mut self, term: Term, vote: Option<VoterId>) {
        self.hard = Hard { term, vote };
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
