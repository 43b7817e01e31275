//! Replication: entries from the leader, acknowledgements from followers, and commits.

use snipemast_core::prelude::*;

use crate::apply::StateMachine;
use crate::entry::{LogEntry, Payload, Write};
use crate::message::{Message, Position};
use crate::node::{Node, NodeEvent, Refusal, Ticket};
use crate::role::Role;
use crate::voters::VoterId;

/// The number of heartbeats after which an unacknowledged batch is sent again.
const RESEND_HEARTBEATS: u64 = 2;

impl<M: StateMachine> Node<M> {
    /// Appends a command to the log, or refuses it.
    pub(crate) fn propose(&mut self, ticket: Ticket, command: Vec<u8>) {
        if let Err(refusal) = self.check_can_append() {
            return self.answer(ticket, Err(refusal));
        }
        let index = self.append_own(Payload::Command(command));
        if let Some(state) = self.leader_state() {
            state.waiting.insert(index, ticket);
        }
    }

    /// Checks that an entry may be appended now.
    ///
    /// Without a recent answer from a majority it is refused at once. Otherwise a leader in a
    /// minority would accept a patch and let its operator wait for an election timeout.
    pub(crate) fn check_can_append(&self) -> Result<(), Refusal> {
        let Role::Leader(state) = &self.role else {
            return Err(match self.leader {
                None if !self.hears_leader() => Refusal::NoQuorum,
                leader => Refusal::NotLeader { leader },
            });
        };
        let contact = self.quorum_contact(state).unwrap_or(state.elected_at);
        if self.now >= contact + self.timing.lease {
            return Err(Refusal::NoQuorum);
        }
        if state.waiting.len() >= self.timing.max_waiting as usize {
            return Err(Refusal::Busy);
        }
        Ok(())
    }

    /// Appends an entry of this leader to its log and sends it to the followers.
    pub(crate) fn append_own(&mut self, payload: Payload) -> Index {
        let index = self.log.last_index().next();
        let entry = LogEntry {
            index,
            term: self.hard.term,
            payload,
        };
        self.log.append(vec![entry.clone()]);
        self.write(Write::Append(vec![entry]));
        self.send_idle();
        index
    }

    /// Sends to every follower when a heartbeat is due.
    pub(crate) fn send_heartbeats(&mut self) {
        let (now, heartbeat) = (self.now, self.timing.heartbeat);
        let Some(state) = self.leader_state() else {
            return;
        };
        if now < state.next_heartbeat {
            return;
        }
        state.next_heartbeat = now + heartbeat;
        let resend = heartbeat.times(RESEND_HEARTBEATS);
        let peers: Vec<VoterId> = state.peers.keys().copied().collect();
        for progress in state.peers.values_mut() {
            if progress
                .in_flight
                .is_some_and(|(_, sent)| now >= sent + resend)
            {
                progress.in_flight = None;
            }
        }
        for peer in peers {
            self.send_next(peer);
        }
    }

    /// Sends to every follower that has no batch or snapshot in flight.
    fn send_idle(&mut self) {
        let Some(state) = self.leader_state() else {
            return;
        };
        let idle = state
            .peers
            .iter()
            .filter(|(_, p)| p.in_flight.is_none() && p.snapshot.is_none());
        let idle: Vec<VoterId> = idle.map(|(id, _)| *id).collect();
        for peer in idle {
            self.send_next(peer);
        }
    }

    /// Sends a follower its next entries, a piece of a snapshot, or a heartbeat without entries.
    pub(crate) fn send_next(&mut self, to: VoterId) {
        let base = self.log.base();
        let Some(progress) = self.leader_state().and_then(|s| s.peers.get_mut(&to)) else {
            return;
        };
        if progress.regressed {
            return;
        }
        if progress.snapshot.is_some() {
            return self.send_piece(to);
        }
        let busy = progress.in_flight.is_some();
        let previous = if busy {
            progress.matched.max(base)
        } else {
            Index(progress.next.get() - 1)
        };
        if previous < base {
            return self.send_snapshot(to);
        }
        let bound = if busy {
            0
        } else {
            self.timing.chunk_size.as_bytes() as usize
        };
        self.send_append(to, previous, bound);
    }

    /// Sends the entries after an index, up to `bound` bytes; none if that is 0.
    fn send_append(&mut self, to: VoterId, previous: Index, bound: usize) {
        let term = self.log.term_at(previous).expect("the index is kept");
        let entries = if bound == 0 {
            Vec::new()
        } else {
            self.log.entries_after(previous, bound)
        };
        let (sent, commit) = (self.now, self.commit);
        if let Some(progress) = self.leader_state().and_then(|s| s.peers.get_mut(&to)) {
            progress.sent_commit = commit;
            if let Some(last) = entries.last() {
                progress.in_flight = Some((last.index, sent));
            }
        }
        let previous = Position::new(term, previous);
        let message = Message::Append {
            previous,
            entries,
            commit,
            sent,
        };
        self.send(to, message);
    }

    pub(crate) fn on_append(
        &mut self,
        from: VoterId,
        term: Term,
        previous: Position,
        entries: Vec<LogEntry>,
        commit: Index,
        sent: Moment,
    ) {
        if !self.accept_leader(from, term) {
            return self.send_mismatched(from, self.log.last_index(), sent);
        }
        if let Some(hint) = self.find_mismatch(previous) {
            return self.send_mismatched(from, hint, sent);
        }
        let last = Index(previous.index.get() + entries.len() as u64);
        let is_heartbeat = entries.is_empty();
        if !self.append_new(entries) {
            return;
        }
        self.commit = self.commit.max(commit.min(last));
        if is_heartbeat {
            self.answer_heartbeat(from, last, sent);
        } else {
            self.acknowledge(from, last, sent);
        }
    }

    /// Answers a leader with the last index at which the logs may match and this voter's term.
    pub(crate) fn send_mismatched(&mut self, to: VoterId, hint: Index, sent: Moment) {
        let last = self.log.last_index();
        self.send_after_sync(to, Message::Mismatched { hint, last, sent });
    }

    /// Follows the sender as the leader; returns false if its term is over.
    pub(crate) fn accept_leader(&mut self, from: VoterId, term: Term) -> bool {
        if term < self.hard.term {
            return false;
        }
        self.follow(term, Some(from));
        self.last_heard = self.now;
        self.reset_election_timer();
        true
    }

    /// Returns the last index at which the logs may match, if they differ at the given position.
    fn find_mismatch(&self, previous: Position) -> Option<Index> {
        if previous.index <= self.commit {
            // Committed entries match every leader's log.
            return None;
        }
        if previous.index > self.log.last_index() {
            return Some(self.log.last_index());
        }
        let term = self.log.term_at(previous.index);
        if term == Some(previous.term) {
            return None;
        }
        let mut hint = previous.index;
        while hint > self.commit && self.log.term_at(hint) == term {
            hint = Index(hint.get() - 1);
        }
        Some(hint)
    }

    /// Appends those of a leader's entries that are new; returns false if they contradict committed
    /// entries.
    fn append_new(&mut self, entries: Vec<LogEntry>) -> bool {
        let differs =
            |e: &LogEntry| e.index > self.log.base() && self.log.term_at(e.index) != Some(e.term);
        let Some(first) = entries.iter().position(differs) else {
            return true;
        };
        let new_entries = entries[first..].to_vec();
        let index = new_entries[0].index;
        if index <= self.commit {
            self.emit(NodeEvent::Contradicted(index));
            return false;
        }
        self.log.append(new_entries.clone());
        self.write(Write::Append(new_entries));
        true
    }

    /// Acknowledges the log up to an index, now or as soon as it is synced.
    pub(crate) fn acknowledge(&mut self, to: VoterId, index: Index, sent: Moment) {
        let message = Message::Matched { index, sent };
        if self.durable_index() >= index && self.is_vote_synced() {
            self.send(to, message);
        } else {
            self.send_after_sync(to, message);
        }
    }

    /// Answers a heartbeat with the last index that is already synced.
    ///
    /// Only a term or vote that is not synced yet delays the answer. If a slow disk delayed the
    /// answers to heartbeats, a leader that everyone hears would step down.
    fn answer_heartbeat(&mut self, to: VoterId, index: Index, sent: Moment) {
        let index = index.min(self.durable_index());
        let message = Message::Matched { index, sent };
        if self.is_vote_synced() {
            self.send(to, message);
        } else {
            self.send_after_sync(to, message);
        }
    }

    pub(crate) fn on_matched(&mut self, from: VoterId, term: Term, index: Index, sent: Moment) {
        let (now, last) = (self.now, self.log.last_index());
        let Some(progress) = self.progress(from, term) else {
            return;
        };
        if index > last || progress.regressed {
            return;
        }
        progress.acknowledge(sent);
        progress.advance_to(index, now);
        self.advance_commit();
        self.send_more(from);
    }

    pub(crate) fn on_mismatched(
        &mut self,
        from: VoterId,
        term: Term,
        hint: Index,
        last: Index,
        sent: Moment,
    ) {
        let Some(progress) = self.progress(from, term) else {
            return;
        };
        if last < progress.matched && sent > progress.advanced_at {
            return self.mark_regressed(from);
        }
        progress.acknowledge(sent);
        progress.in_flight = None;
        let next = hint.max(progress.matched).next();
        if next < progress.next {
            progress.next = next;
            self.send_next(from);
        }
    }

    /// Marks a peer as regressed: it is not counted in this term any more and must be replaced.
    ///
    /// A peer regresses when its data folder was restored from an older copy, so that entries which
    /// were committed by counting its disk are gone. Its log is then shorter than what it
    /// acknowledged, in an answer to a message sent after that acknowledgement arrived.
    fn mark_regressed(&mut self, peer: VoterId) {
        if let Some(progress) = self.leader_state().and_then(|s| s.peers.get_mut(&peer)) {
            progress.regressed = true;
            progress.matched = Index(0);
            progress.last_acked = None;
        }
        self.emit(NodeEvent::Regressed(peer));
    }

    /// Returns the progress of a follower that answers in this leader's term.
    pub(crate) fn progress(
        &mut self,
        from: VoterId,
        term: Term,
    ) -> Option<&mut crate::role::Progress> {
        if term != self.hard.term {
            return None;
        }
        self.leader_state()?.peers.get_mut(&from)
    }

    /// Sends more to a follower that still lacks entries or the latest commit index.
    fn send_more(&mut self, to: VoterId) {
        let (last, commit) = (self.log.last_index(), self.commit);
        let Some(progress) = self.leader_state().and_then(|s| s.peers.get_mut(&to)) else {
            return;
        };
        let behind = progress.next <= last || progress.sent_commit < commit;
        if progress.in_flight.is_none() && behind {
            self.send_next(to);
        }
    }

    /// Commits the entries that a majority of the voters has synced, and informs the followers.
    pub(crate) fn advance_commit(&mut self) {
        let own = (self.id, self.durable_index());
        let Role::Leader(state) = &self.role else {
            return;
        };
        let held = |id| match state.peers.get(&id) {
            _ if id == own.0 => own.1,
            Some(progress) => progress.matched,
            None => Index(0),
        };
        let Some(agreed) = self.log.voters().majority_value(held) else {
            return;
        };
        let own_term = self.log.term_at(agreed) == Some(self.hard.term);
        if agreed > self.commit && own_term {
            self.commit = agreed;
            self.send_idle();
        }
    }
}
