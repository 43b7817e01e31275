//! Messages to and from other voters over HTTP.
//!
//! Messages that need an answer are sent as requests, in batches over a few connections. Answers
//! return as the responses, so that a heartbeat costs one exchange.

use std::net::SocketAddr;
use std::sync::Arc;

use async_channel::{Receiver, Sender};
use parking_lot::Mutex;
use smol::Task;

use snipemast_control::{Envelope, Input, Message, VoterId};
use snipemast_core::prelude::*;
use snipemast_core::recent::Recent;
use snipemast_wire::control::{path, Batch};
use snipemast_wire::{AnswerQueue, Peer};

use super::engine::Request;
use super::{spawn_task, VoterShared};

/// The most messages that may wait for a peer; later ones are dropped, and the protocol resends
/// them.
const MAX_QUEUED: usize = 256;
/// The most voters that have a connection, and the most that have a queue of answers: several times as many as a cluster
/// has.
const MAX_PEERS: usize = 64;
/// The most batches that may be in flight to one peer.
const MAX_BATCHES: usize = 3;
/// How long a request waits for its first answer at the receiver.
const ANSWER_WAIT: Span = Span::from_millis(400);
/// How long a request waits for each further answer.
const NEXT_WAIT: Span = Span::from_millis(2);
/// How long a batch may take before its connection counts as broken.
const BATCH_TIMEOUT: Span = Span::from_millis(1_500);

/// The connections to all other voters.
pub(super) struct Links {
    own: VoterId,
    shared: Arc<VoterShared>,
    links: Mutex<Recent<VoterId, Link>>,
    answers: Mutex<Recent<VoterId, AnswerQueue<Envelope>>>,
}

struct Link {
    peer: Arc<Peer>,
    queue: Sender<Envelope>,
    _senders: Vec<Task<()>>,
}

impl Links {
    pub(super) fn new(own: VoterId, shared: Arc<VoterShared>) -> Self {
        Self {
            own,
            shared,
            links: Mutex::new(Recent::new(MAX_PEERS)),
            answers: Mutex::new(Recent::new(MAX_PEERS)),
        }
    }

    /// Queues a message; it is dropped if the queue is full or the address is unknown.
    pub(super) fn send(&self, address: Option<SocketAddr>, envelope: Envelope) {
        if is_answer(&envelope.message) {
            return self.answer_queue(envelope.to).push(envelope);
        }
        let Some(address) = address else {
            return;
        };
        let queue = self.with_link(envelope.to, address, |link| link.queue.clone());
        let _ = queue.try_send(envelope);
    }

    /// Handles a batch, and waits briefly for as many answers as the batch has messages.
    pub(super) async fn receive(&self, batch: Batch) -> Batch {
        let answers = self.answer_queue(batch.from);
        let pass = |envelope| self.pass_to_voter(envelope);
        let envelopes = answers.exchange(batch.envelopes, pass, ANSWER_WAIT, NEXT_WAIT);
        Batch {
            from: self.own,
            envelopes: envelopes.await,
        }
    }

    /// Returns the connections to a voter.
    pub(super) fn peer(&self, id: VoterId, address: SocketAddr) -> Arc<Peer> {
        self.with_link(id, address, |link| Arc::clone(&link.peer))
    }

    /// Closes every connection.
    pub(super) fn close(&self) {
        self.links.lock().clear();
    }

    fn pass_to_voter(&self, envelope: Envelope) {
        // If the queue is full, the message is dropped and the protocol resends it.
        let _ = self
            .shared
            .inputs
            .try_send(Request::Input(Input::Receive(envelope)));
    }

    /// Returns the queue of answers that wait for a voter's next requests.
    fn answer_queue(&self, to: VoterId) -> AnswerQueue<Envelope> {
        let mut answers = self.answers.lock();
        answers
            .get_or_insert_with(to, || AnswerQueue::new(MAX_QUEUED))
            .clone()
    }

    /// Reads the connections to a voter, which are made anew if its address is new.
    fn with_link<T>(&self, to: VoterId, address: SocketAddr, read: impl FnOnce(&Link) -> T) -> T {
        let mut links = self.links.lock();
        let link = links.get_or_insert_with(to, || self.connect(address));
        if link.peer.address() != address {
            *link = self.connect(address);
        }
        read(link)
    }

    fn connect(&self, address: SocketAddr) -> Link {
        let (queue, envelopes) = async_channel::bounded(MAX_QUEUED);
        let peer = Arc::new(Peer::new(address));
        let start_sender = || {
            let (own, shared) = (self.own, Arc::clone(&self.shared));
            spawn_task(send_batches(
                own,
                Arc::clone(&peer),
                envelopes.clone(),
                shared,
            ))
        };
        let _senders = (0..MAX_BATCHES).map(|_| start_sender()).collect();
        Link {
            peer,
            queue,
            _senders,
        }
    }
}

/// Sends the queued messages in batches, one batch after the other.
async fn send_batches(
    own: VoterId,
    peer: Arc<Peer>,
    queue: Receiver<Envelope>,
    shared: Arc<VoterShared>,
) {
    while let Ok(first) = queue.recv().await {
        let rest = std::iter::from_fn(|| queue.try_recv().ok());
        let envelopes = std::iter::once(first).chain(rest).collect();
        let batch = Batch {
            from: own,
            envelopes,
        };
        match peer
            .call::<_, Batch>(path::MESSAGES, &batch, BATCH_TIMEOUT)
            .await
        {
            Ok(answers) => {
                for envelope in answers.envelopes {
                    let _ = shared
                        .inputs
                        .try_send(Request::Input(Input::Receive(envelope)));
                }
            }
            Err(_) => peer.retire(),
        }
    }
}

fn is_answer(message: &Message) -> bool {
    match message {
        Message::PreVoted { .. }
        | Message::Voted { .. }
        | Message::Matched { .. }
        | Message::Mismatched { .. }
        | Message::Installed { .. } => true,
        Message::PreVote { .. }
        | Message::Vote { .. }
        | Message::Append { .. }
        | Message::Install { .. } => false,
    }
}
