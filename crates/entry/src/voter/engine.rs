//! The thread that owns the voter and its clock.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender};
use std::sync::Arc;

use snipemast_control::{Envelope, Input, Node, NodeEvent, Output, StateMachine, Write};
use snipemast_core::prelude::*;
use snipemast_wire::control::{Submitted, VoterStatus};

use super::links::Links;
use super::VoterShared;

/// The longest sleep of the thread.
const SLEEP: Span = Span::from_secs(1);

/// What the voter's thread is asked.
pub(super) enum Request {
    /// To take an input.
    Input(Input),
    /// To look what the disk has synced.
    Wake,
    /// To end.
    Stop,
}

/// How far the disk thread has come.
#[derive(Debug, Default)]
pub(super) struct DiskState {
    /// The last write that is synced.
    pub(super) synced: AtomicU64,
    /// Whether a write failed.
    pub(super) failed: AtomicBool,
}

/// The thread's side of a voter, before it has its node.
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
        let mut seen = 0;
        loop {
            let input = match self.wait(node.next_tick()) {
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
            if synced > seen {
                seen = synced;
                self.step(&mut node, Input::Synced { write: synced }, writes);
            }
            if node.applied_index() > applied {
                (self.watch)(node.machine());
            }
            self.publish(&node);
        }
        self.shared.end();
    }

    /// The next request, or a wake-up when the voter's time has come.
    fn wait(&self, wake: Moment) -> Request {
        let left = self.shared.clock.now().until(wake).min(SLEEP);
        match self.requests.recv_timeout(left.as_duration()) {
            Ok(request) => request,
            Err(RecvTimeoutError::Timeout) => Request::Wake,
            Err(RecvTimeoutError::Disconnected) => Request::Stop,
        }
    }

    fn step<M: StateMachine>(
        &mut self,
        node: &mut Node<M>,
        input: Input,
        writes: &Sender<(u64, Write)>,
    ) {
        let now = self.shared.clock.now();
        for output in node.handle(now, input) {
            match output {
                // A disk thread that is gone has set its flag, which ends the role.
                Output::Write { number, write } => drop(writes.send((number, write))),
                Output::Send(envelope) => self.send(node, envelope),
                Output::Answer { ticket, answer } => {
                    let answer = answer.map_or_else(Submitted::Refused, Submitted::Verdict);
                    self.shared.settle(ticket, answer);
                }
                Output::Event(note) => self.record(&note),
            }
        }
    }

    fn send<M: StateMachine>(&self, node: &Node<M>, envelope: Envelope) {
        let seat = node.voters().location(envelope.to);
        self.links.send(seat.map(|s| s.address), envelope);
    }

    fn publish<M: StateMachine>(&self, node: &Node<M>) {
        let office = node.lease_end().map(|end| (Fence(node.term().get()), end));
        *self.shared.office.lock() = office;
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

    fn record(&self, note: &NodeEvent) {
        let journal = &self.shared.journal;
        let voter = self.shared.known.lock().voter;
        match note {
            NodeEvent::Elected(term) => journal.record(Event::LeaderElected, voter, term),
            NodeEvent::LeaderReady(fence) => {
                journal.record(Event::LeaderElected, voter, format_args!("fence {fence}"))
            }
            NodeEvent::SteppedDown(term) => journal.record(Event::LeaderEnded, voter, term),
            NodeEvent::VotersChanged(voters) => {
                let (v, l) = (voters.voters.len(), voters.learners.len());
                let detail = format_args!("{v} voters, {l} learners");
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
