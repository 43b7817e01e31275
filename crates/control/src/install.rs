//! Transfer of snapshots from a leader to a follower that is far behind.

use std::sync::Arc;

use snipemast_core::prelude::*;

use crate::apply::StateMachine;
use crate::entry::{Snapshot, Write};
use crate::message::{Message, Position, SnapshotHead};
use crate::node::{Node, NodeEvent};
use crate::voters::VoterId;

/// A snapshot that has arrived in part.
#[derive(Debug, Clone, Hash)]
pub(crate) struct IncomingSnapshot {
    head: SnapshotHead,
    bytes: Vec<u8>,
}

impl<M: StateMachine> Node<M> {
    /// Begins to send the last snapshot to a follower whose next entries are no longer kept.
    pub(crate) fn send_snapshot(&mut self, to: VoterId) {
        let Some(snapshot) = self.log.snapshot().cloned() else {
            return;
        };
        if let Some(progress) = self.leader_state().and_then(|s| s.peers.get_mut(&to)) {
            progress.snapshot = Some((snapshot, 0));
            progress.in_flight = None;
        }
        self.send_piece(to);
    }

    /// Sends the next piece of the snapshot that is being transferred.
    pub(crate) fn send_piece(&mut self, to: VoterId) {
        let chunk = self.timing.chunk_size.as_bytes() as usize;
        let sent = self.now;
        let Some(progress) = self.leader_state().and_then(|s| s.peers.get_mut(&to)) else {
            return;
        };
        let Some((snapshot, received)) = &progress.snapshot else {
            return;
        };
        let from = (*received as usize).min(snapshot.state.len());
        let end = (from + chunk).min(snapshot.state.len());
        let message = Message::Install {
            head: Box::new(snapshot_head(snapshot)),
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
        if !self.accept_leader(from, term) {
            return self.send_mismatched(from, self.log.last_index(), sent);
        }
        let index = head.last.index;
        if index <= self.commit {
            return self.acknowledge(from, index, sent);
        }
        let total = head.total;
        let received = self.add_piece(head, offset, bytes);
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

    /// Adds a piece if it continues what has arrived; returns how many bytes have arrived.
    ///
    /// A piece is used only at its offset in its own snapshot. Otherwise pieces that arrive twice,
    /// late or from two snapshots could be joined into a state that never existed.
    fn add_piece(&mut self, head: SnapshotHead, offset: u64, bytes: &[u8]) -> u64 {
        let same = self.incoming.as_ref().is_some_and(|i| i.head == head);
        if !same {
            self.incoming = Some(IncomingSnapshot {
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

    /// Installs a complete snapshot; returns false if it is damaged.
    fn install(&mut self) -> bool {
        let Some(IncomingSnapshot { head, bytes }) = self.incoming.take() else {
            return false;
        };
        let last = head.last;
        let sound = crc32fast::hash(&bytes) == head.checksum;
        if !sound || self.machine.restore(&bytes).is_err() {
            self.emit(NodeEvent::SnapshotUnreadable(last.index));
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
            self.mark_unsynced_from(last.index.next());
        }
        self.log.install(Arc::new(snapshot));
        self.commit = last.index;
        self.applied = last.index;
        let stored = Box::new(self.to_stored());
        self.write(Write::Replace(stored));
        self.emit(NodeEvent::SnapshotSaved(last.index));
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

fn snapshot_head(snapshot: &Snapshot) -> SnapshotHead {
    SnapshotHead {
        last: Position::new(snapshot.term, snapshot.index),
        voters: snapshot.voters.clone(),
        fence: snapshot.fence,
        total: snapshot.state.len() as u64,
        checksum: crc32fast::hash(&snapshot.state),
    }
}
