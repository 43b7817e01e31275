//! The thread that owns the voter and its clock.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender};
use std::sync::Arc;

use snipemast_control::{Envelope, Input, Node, NodeEvent, Output, StateMachine, Write};
use snipemast_core::prelude::*;
use snipemast_wire::control::{Submitted, VoterStatus};

use super::links::Links;
use super::VoterShared;

/// The longest time that the thread sleeps.
const MAX_SLEEP: Span = Span::from_secs(1);

/// A request to the voter's thread.
pub(super) enum Request {
    /// Handles an input.
    Input(Input),
    /// Checks which writes the disk has synced.
    Wake,
    /// Ends the thread.
    Stop,
}

/// The progress of the disk thread.
#[derive(Debug, Default)]
pub(super) struct DiskState {
    /// The number of the last synced write.
    pub(super) synced: AtomicU64,
    /// Whether a write failed.
    pub(super) failed: AtomicBool,
}

/// The part of a voter that its thread owns, apart from the node.
pub(super) struct Engine<F> {
    pub(super) shared: Arc<VoterShared>,
    pub(super) links: Arc<Links>,
    requests: Receiver<Request>,
    watch: F,
}

impl<F> Engine<F> {
    pub(super) fn new(
        shared: Arc<VoterShared>,
        links: Arc<Links>,
        requests: Receiver<Request>,
        watch: F,
    ) -> Self {
        Self {
            shared,
            links,
            requests,
            watch,
        }
    }

    /// Runs the node until the role ends.
    pub(super) fn run<M: StateMachine>(
        mut self,
        mut node: Node<M>,
        disk: &DiskState,
        writes: &Sender<(u64, Write)>,
    ) where
        F: FnMut(&M),
    {
        (self.watch)(node.machine());
        let mut last_synced = 0;
        loop {
            let input = match self.next_request(node.next_tick()) {
                Request::Input(input) => input,
                Request::Wake => Input::Tick,
                Request::Stop => break,
            };
            if self.shared.status.lock().ended || disk.failed.load(Ordering::Acquire) {
                break;
            }
            let applied = node.applied_index();
            self.step(&mut node, input, writes);
            let synced = disk.synced.load(Ordering::Acquire);
            if synced > last_synced {
                last_synced = synced;
                self.step(&mut node, Input::Synced { write: synced }, writes);
            }
            if node.applied_index() > applied {
                (self.watch)(node.machine());
            }
            self.publish(&node);
        }
        self.shared.end_role();
    }

    /// Waits for the next request, or returns a wake-up when the voter's next timer is due.
    fn next_request(&self, wake: Moment) -> Request {
        let left = self.shared.clock.now().until(wake).min(MAX_SLEEP);
        match self.requests.recv_timeout(left.as_duration()) {
            Ok(request) => request,
            Err(RecvTimeoutError::Timeout) => Request::Wake,
            Err(RecvTimeoutError::Disconnected) => Request::Stop,
        }
    }

    /// Passes an input to the node, and performs its outputs.
    fn step<M: StateMachine>(
        &mut self,
        node: &mut Node<M>,
        input: Input,
        writes: &Sender<(u64, Write)>,
    ) {
        let now = self.shared.clock.now();
        for output in node.handle(now, input) {
            match output {
                // A disk thread that ended has set its failure flag, which ends the role.
                Output::Write { number, write } => drop(writes.send((number, write))),
                Output::Send(envelope) => self.send(node, envelope),
                Output::Answer { ticket, answer } => {
                    let answer = answer.map_or_else(Submitted::Refused, Submitted::Verdict);
                    self.shared.complete(ticket, answer);
                }
                Output::Event(event) => self.record_event(&event),
            }
        }
    }

    fn send<M: StateMachine>(&self, node: &Node<M>, envelope: Envelope) {
        let location = node.voters().location(envelope.to);
        self.links.send(location.map(|l| l.address), envelope);
    }

    /// Publishes the node's status and the lease of its fencing number.
    fn publish<M: StateMachine>(&self, node: &Node<M>) {
        let fence_lease = node.lease_end().map(|end| (Fence(node.term().get()), end));
        *self.shared.fence_lease.lock() = fence_lease;
        let mut status = self.shared.status.lock();
        *status = VoterStatus {
            voter: node.id(),
            term: node.term(),
            leader: node.leader(),
            last: node.log().last_index(),
            durable: node.durable_index(),
            commit: node.commit_index(),
            applied: node.applied_index(),
            fence: node.fence(),
            voters: node.voters().clone(),
            ended: status.ended,
        };
    }

    fn record_event(&self, event: &NodeEvent) {
        let journal = &self.shared.journal;
        let voter = self.shared.control_host.lock().voter;
        match event {
            NodeEvent::Elected(term) => journal.record(Event::LeaderElected, voter, term),
            NodeEvent::LeaderReady(fence) => {
                journal.record(Event::LeaderElected, voter, format_args!("fence {fence}"))
            }
            NodeEvent::SteppedDown(term) => journal.record(Event::LeaderEnded, voter, term),
            NodeEvent::VotersChanged(voters) => {
                let (voters, learners) = (voters.voters.len(), voters.learners.len());
                let detail = format_args!("{voters} voters, {learners} learners");
                journal.record(Event::VoterChanged, voter, detail);
            }
            NodeEvent::MajorityReplaced(index) => {
                let detail = format_args!("alone from {index} on, a majority was lost");
                journal.record(Event::VoterChanged, voter, detail);
            }
            NodeEvent::SnapshotSaved(index) => journal.record(Event::SnapshotWritten, voter, index),
            NodeEvent::Regressed(peer) => {
                journal.record(Event::StorageRefused, peer, "it lost what it acknowledged");
            }
            NodeEvent::Outdated(peer) => {
                journal.record(Event::IdentityClash, peer, "an older start speaks");
            }
            NodeEvent::Contradicted(index) => {
                journal.record(
                    Event::StorageRefused,
                    voter,
                    format_args!("{index} is committed otherwise"),
                );
            }
            NodeEvent::SnapshotUnreadable(index) => {
                journal.record(
                    Event::StorageRefused,
                    voter,
                    format_args!("snapshot {index}"),
                );
            }
        }
    }
}
