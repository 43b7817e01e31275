//! Snapshots on their way from a leader to a follower that is far behind.

use std::sync::Arc;

use snipemast_core::prelude::*;

use crate::apply::StateMachine;
use crate::entry::{Snapshot, Write};
use crate::message::{Message, Position, SnapshotHead};
use crate::node::{Node, NodeEvent};
use crate::voters::VoterId;

/// A snapshot that is arriving.
#[derive(Debug, Clone, Hash)]
pub(crate) struct Incoming {
    head: SnapshotHead,
    bytes: Vec<u8>,
}

impl<M: StateMachine> Node<M> {
    /// Begins to send the last snapshot to a follower whose next entries are gone.
    pub(crate) fn send_snapshot(&mut self, to: VoterId) {
        let Some(snapshot) = self.log.snapshot().cloned() else {
            return;
        };
        if let Some(progress) = self.office().and_then(|o| o.peers.get_mut(&to)) {
            progress.snapshot = Some((snapshot, 0));
            progress.batch = None;
        }
        self.send_piece(to);
    }

    /// Sends the next piece of the snapshot under way.
    pub(crate) fn send_piece(&mut self, to: VoterId) {
        let chunk = self.timing.chunk_size.as_bytes() as usize;
        let sent = self.now;
        let Some(progress) = self.office().and_then(|o| o.peers.get_mut(&to)) else {
            return;
        };
        let Some((snapshot, received)) = &progress.snapshot else {
            return;
        };
        let from = (*received as usize).min(snapshot.state.len());
        let end = (from + chunk).min(snapshot.state.len());
        let message = Message::Install {
            head: Box::new(head_of(snapshot)),
            offset: *received,
            bytes: snapshot.state[from..end].to_vec(),
            sent,
        };
        self.send(to, message);
    }

    pub(crate) fn on_install(
        &mut self,
        from: VoterId,
        term: Term,
        head: SnapshotHead,
        offset: u64,
        bytes: &[u8],
        sent: Moment,
    ) {
        if !self.hear_leader(from, term) {
            return self.refuse(from, self.log.last_index(), sent);
        }
        let index = head.last.index;
        if index <= self.commit {
            return self.acknowledge(from, index, sent);
        }
        let total = head.total;
        let received = self.take_piece(head, offset, bytes);
        if received < total {
            let message = Message::Installed {
                index,
                received,
                sent,
            };
            return self.send(from, message);
        }
        if self.install() {
            self.acknowledge(from, index, sent);
        }
    }

    /// Adds a piece that follows on what has arrived; returns how much has arrived.
    ///
    /// Failure guarded against: pieces come twice, late or of two snapshots and make up a state
    /// that never was. A piece counts at its offset in its own snapshot only.
    fn take_piece(&mut self, head: SnapshotHead, offset: u64, bytes: &[u8]) -> u64 {
        let same = self.incoming.as_ref().is_some_and(|i| i.head == head);
        if !same {
            self.incoming = Some(Incoming {
                head,
                bytes: Vec::new(),
            });
        }
        let Some(incoming) = &mut self.incoming else {
            return 0;
        };
        if offset == incoming.bytes.len() as u64 {
            incoming.bytes.extend_from_slice(bytes);
        }
        incoming.bytes.len() as u64
    }

    /// Brings a whole snapshot into force; false where it is damaged.
    fn install(&mut self) -> bool {
        let Some(Incoming { head, bytes }) = self.incoming.take() else {
            return false;
        };
        let last = head.last;
        let sound = crc32fast::hash(&bytes) == head.checksum;
        if !sound || self.machine.restore(&bytes).is_err() {
            self.note(NodeEvent::SnapshotUnreadable(last.index));
            return false;
        }
        self.fence = self.fence.max(head.fence);
        let snapshot = Snapshot {
            index: last.index,
            term: last.term,
            voters: head.voters,
            fence: self.fence,
            state: bytes,
        };
        if self.log.term_at(last.index) != Some(last.term) {
            self.forget_from(last.index.next());
        }
        self.log.install(Arc::new(snapshot));
        self.commit = last.index;
        self.applied = last.index;
        let stored = Box::new(self.to_stored());
        self.write(Write::Replace(stored));
        self.note(NodeEvent::SnapshotSaved(last.index));
        true
    }

    pub(crate) fn on_installed(
        &mut self,
        from: VoterId,
        term: Term,
        index: Index,
        received: u64,
        sent: Moment,
    ) {
        let Some(progress) = self.progress(from, term) else {
            return;
        };
        progress.acknowledge(sent);
        let Some((snapshot, so_far)) = &mut progress.snapshot else {
            return;
        };
        if snapshot.index == index && received != *so_far {
            *so_far = received;
            self.send_piece(from);
        }
    }
}

fn head_of(snapshot: &Snapshot) -> SnapshotHead {
    SnapshotHead {
        last: Position::new(snapshot.term, snapshot.index),
        voters: snapshot.voters.clone(),
        fence: snapshot.fence,
        total: snapshot.state.len() as u64,
        checksum: crc32fast::hash(&snapshot.state),
    }
}
