//! Replication: the leader's entries, the followers' acknowledgements, the commit.

use snipemast_core::prelude::*;

use crate::apply::StateMachine;
use crate::entry::{LogEntry, Payload, Write};
use crate::message::{Message, Position};
use crate::node::{Node, NodeEvent, Refusal, Ticket};
use crate::role::Role;
use crate::voters::VoterId;

/// A batch that was not acknowledged is sent again after so many heartbeats.
const RESEND_BEATS: u64 = 2;

impl<M: StateMachine> Node<M> {
    pub(crate) fn propose(&mut self, ticket: Ticket, command: Vec<u8>) {
        if let Err(refusal) = self.may_append() {
            return self.answer(ticket, Err(refusal));
        }
        let index = self.append_own(Payload::Command(command));
        if let Some(office) = self.office() {
            office.waiting.insert(index, ticket);
        }
    }

    /// Whether a command may enter the log now.
    ///
    /// Failure guarded against: a leader in a minority takes a patch and lets its operator wait
    /// for an election timeout. Without a majority's recent answer it says so at once.
    pub(crate) fn may_append(&self) -> Result<(), Refusal> {
        let Role::Leader(office) = &self.role else {
            return Err(match self.leader {
                None if !self.is_sheltered() => Refusal::NoQuorum,
                leader => Refusal::NotLeader { leader },
            });
        };
        let contact = self.contact(office).unwrap_or(office.began);
        if self.now >= contact + self.timing.lease {
            return Err(Refusal::NoQuorum);
        }
        if office.waiting.len() >= self.timing.max_waiting as usize {
            return Err(Refusal::Busy);
        }
        Ok(())
    }

    /// Adds an entry of this leader to its log and sends it on.
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

    /// Speaks to every follower when a heartbeat is due.
    pub(crate) fn beat(&mut self) {
        let (now, heartbeat) = (self.now, self.timing.heartbeat);
        let Some(office) = self.office() else {
            return;
        };
        if now < office.beat {
            return;
        }
        office.beat = now + heartbeat;
        let resend = heartbeat.times(RESEND_BEATS);
        let peers: Vec<VoterId> = office.peers.keys().copied().collect();
        for progress in office.peers.values_mut() {
            if progress.batch.is_some_and(|(_, sent)| now >= sent + resend) {
                progress.batch = None;
            }
        }
        for peer in peers {
            self.send_next(peer);
        }
    }

    /// Sends to every follower that has no batch under way.
    fn send_idle(&mut self) {
        let Some(office) = self.office() else {
            return;
        };
        let idle = office
            .peers
            .iter()
            .filter(|(_, p)| p.batch.is_none() && p.snapshot.is_none());
        let idle: Vec<VoterId> = idle.map(|(id, _)| *id).collect();
        for peer in idle {
            self.send_next(peer);
        }
    }

    /// Sends a follower its next entries, a piece of a snapshot, or a bare heartbeat.
    pub(crate) fn send_next(&mut self, to: VoterId) {
        let base = self.log.base();
        let Some(progress) = self.office().and_then(|o| o.peers.get_mut(&to)) else {
            return;
        };
        if progress.regressed {
            return;
        }
        if progress.snapshot.is_some() {
            return self.send_piece(to);
        }
        let busy = progress.batch.is_some();
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

    fn send_append(&mut self, to: VoterId, previous: Index, bound: usize) {
        let term = self.log.term_at(previous).expect("the place is kept");
        let entries = if bound == 0 {
            Vec::new()
        } else {
            self.log.after(previous, bound)
        };
        let (sent, commit) = (self.now, self.commit);
        if let Some(progress) = self.office().and_then(|o| o.peers.get_mut(&to)) {
            progress.told = commit;
            if let Some(last) = entries.last() {
                progress.batch = Some((last.index, sent));
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
        if !self.hear_leader(from, term) {
            return self.refuse(from, self.log.last_index(), sent);
        }
        if let Some(hint) = self.mismatch(previous) {
            return self.refuse(from, hint, sent);
        }
        let last = Index(previous.index.get() + entries.len() as u64);
        let bare = entries.is_empty();
        if !self.take_entries(entries) {
            return;
        }
        self.commit = self.commit.max(commit.min(last));
        if bare {
            self.answer_beat(from, last, sent);
        } else {
            self.acknowledge(from, last, sent);
        }
    }

    /// Says where the logs may agree, and in which term this voter is.
    pub(crate) fn refuse(&mut self, to: VoterId, hint: Index, sent: Moment) {
        let last = self.log.last_index();
        self.send_synced(to, Message::Mismatched { hint, last, sent });
    }

    /// Takes note of a leader; false where its term is over.
    pub(crate) fn hear_leader(&mut self, from: VoterId, term: Term) -> bool {
        if term < self.hard.term {
            return false;
        }
        self.follow(term, Some(from));
        self.heard = self.now;
        self.rest();
        true
    }

    /// The last place where the logs may agree, if they differ at the given one.
    fn mismatch(&self, previous: Position) -> Option<Index> {
        if previous.index <= self.commit {
            // What is committed agrees with every leader's log.
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

    /// Adds what is new of a leader's entries; false where they contradict what is committed.
    fn take_entries(&mut self, entries: Vec<LogEntry>) -> bool {
        let differs =
            |e: &LogEntry| e.index > self.log.base() && self.log.term_at(e.index) != Some(e.term);
        let Some(first) = entries.iter().position(differs) else {
            return true;
        };
        let fresh = entries[first..].to_vec();
        let index = fresh[0].index;
        if index <= self.commit {
            self.note(NodeEvent::Contradicted(index));
            return false;
        }
        self.log.append(fresh.clone());
        self.write(Write::Append(fresh));
        true
    }

    /// Says that the log is synced up to here, now or as soon as it is.
    pub(crate) fn acknowledge(&mut self, to: VoterId, index: Index, sent: Moment) {
        let message = Message::Matched { index, sent };
        if self.durable_index() >= index && self.is_sworn() {
            self.send(to, message);
        } else {
            self.send_synced(to, message);
        }
    }

    /// Answers a bare heartbeat with what is synced already.
    ///
    /// Failure guarded against: a slow disk keeps back the answers to heartbeats, and a leader
    /// whom everyone hears steps down. Only a term that is not synced yet keeps them back.
    fn answer_beat(&mut self, to: VoterId, index: Index, sent: Moment) {
        let index = index.min(self.durable_index());
        let message = Message::Matched { index, sent };
        if self.is_sworn() {
            self.send(to, message);
        } else {
            self.send_synced(to, message);
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
        progress.rise(index, now);
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
        if last < progress.matched && sent > progress.risen {
            return self.bar(from);
        }
        progress.acknowledge(sent);
        progress.batch = None;
        let next = hint.max(progress.matched).next();
        if next < progress.next {
            progress.next = next;
            self.send_next(from);
        }
    }

    /// Failure guarded against: a data folder was put back from an older copy, and entries that
    /// were committed by counting its disk are there no longer. It shows as a log shorter than
    /// what was acknowledged, in answer to a message sent after that acknowledgement came. The
    /// voter counts for nothing in this term and must be replaced.
    fn bar(&mut self, peer: VoterId) {
        if let Some(progress) = self.office().and_then(|o| o.peers.get_mut(&peer)) {
            progress.regressed = true;
            progress.matched = Index(0);
            progress.acked = None;
        }
        self.note(NodeEvent::Regressed(peer));
    }

    /// What this leader knows of a follower that answers it in its term.
    pub(crate) fn progress(
        &mut self,
        from: VoterId,
        term: Term,
    ) -> Option<&mut crate::role::Progress> {
        if term != self.hard.term {
            return None;
        }
        self.office()?.peers.get_mut(&from)
    }

    /// Goes on with a follower that still lacks entries or the news of a commit.
    fn send_more(&mut self, to: VoterId) {
        let (last, commit) = (self.log.last_index(), self.commit);
        let Some(progress) = self.office().and_then(|o| o.peers.get_mut(&to)) else {
            return;
        };
        let behind = progress.next <= last || progress.told < commit;
        if progress.batch.is_none() && behind {
            self.send_next(to);
        }
    }

    /// Commits what a majority of the voters has synced, and tells the followers.
    pub(crate) fn advance_commit(&mut self) {
        let own = (self.id, self.durable_index());
        let Role::Leader(office) = &self.role else {
            return;
        };
        let held = |id| match office.peers.get(&id) {
            _ if id == own.0 => own.1,
            Some(progress) => progress.matched,
            None => Index(0),
        };
        let Some(agreed) = self.log.voters().agreed(held) else {
            return;
        };
        let own_term = self.log.term_at(agreed) == Some(self.hard.term);
        if agreed > self.commit && own_term {
            self.commit = agreed;
            self.send_idle();
        }
    }
}
