//! Messages to and from other voters over HTTP.
//!
//! Questions go out as requests, one batch at a time on a few connections; answers go back as
//! the responses, so that a heartbeat costs one exchange.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use async_channel::{Receiver, Sender};
use futures_lite::FutureExt;
use parking_lot::Mutex;
use smol::Task;

use snipemast_control::{Envelope, Input, Message, VoterId};
use snipemast_core::prelude::*;
use snipemast_wire::control::{path, Batch};
use snipemast_wire::Peer;

use super::engine::Request;
use super::{task, VoterShared};

/// How many messages may wait for a peer; later ones are lost, and sent again by the protocol.
const QUEUE: usize = 256;
/// How many batches may be under way to one peer.
const LANES: usize = 3;
/// How long a request waits for its answers at the other side.
const ANSWER_WAIT: Span = Span::from_millis(400);
/// How long a request waits for a further answer once it has one.
const NEXT_WAIT: Span = Span::from_millis(2);
/// How long a batch may take until the connection counts as dead.
const DEADLINE: Span = Span::from_millis(1_500);

/// The connections to all other voters.
pub(super) struct Links {
    own: VoterId,
    shared: Arc<VoterShared>,
    links: Mutex<BTreeMap<VoterId, Link>>,
    answers: Mutex<BTreeMap<VoterId, Answers>>,
}

struct Link {
    peer: Arc<Peer>,
    queue: Sender<Envelope>,
    _lanes: Vec<Task<()>>,
}

#[derive(Clone)]
struct Answers {
    sender: Sender<Envelope>,
    receiver: Receiver<Envelope>,
}

impl Links {
    pub(super) fn new(own: VoterId, shared: Arc<VoterShared>) -> Self {
        Self {
            own,
            shared,
            links: Mutex::default(),
            answers: Mutex::default(),
        }
    }

    /// Sends a message; where a queue is full or an address not known, it is lost.
    pub(super) fn send(&self, address: Option<SocketAddr>, envelope: Envelope) {
        let queue = if is_answer(&envelope.message) {
            self.answers(envelope.to).sender
        } else {
            let Some(address) = address else {
                return;
            };
            self.queue(envelope.to, address)
        };
        let _ = queue.try_send(envelope);
    }

    /// Takes a batch and waits a little for as many answers as it brought questions.
    ///
    /// Failure guarded against: one exchange takes along the answer that another waits for. It
    /// shows as a patch that takes half a second on an idle log: the other exchange holds its lane
    /// until its wait ends. An exchange takes no more answers than it brought questions.
    pub(super) async fn receive(&self, batch: Batch) -> Batch {
        let answers = self.answers(batch.from).receiver;
        let wanted = batch.envelopes.len();
        for envelope in batch.envelopes {
            self.input(envelope);
        }
        let mut envelopes = Vec::new();
        let mut wait = ANSWER_WAIT;
        while envelopes.len() < wanted {
            let Some(envelope) = within(wait, answers.recv()).await else {
                break;
            };
            envelopes.push(envelope);
            // One answer may speak for several questions, so the next is not waited for as long.
            wait = NEXT_WAIT;
        }
        Batch {
            from: self.own,
            envelopes,
        }
    }

    /// The connections to a voter.
    pub(super) fn peer(&self, id: VoterId, address: SocketAddr) -> Arc<Peer> {
        self.queue(id, address);
        Arc::clone(&self.links.lock()[&id].peer)
    }

    /// Closes every connection.
    pub(super) fn close(&self) {
        self.links.lock().clear();
    }

    fn input(&self, envelope: Envelope) {
        // A full queue loses the message; the protocol sends it again.
        let _ = self
            .shared
            .inputs
            .try_send(Request::Input(Input::Receive(envelope)));
    }

    fn answers(&self, to: VoterId) -> Answers {
        let mut answers = self.answers.lock();
        let fresh = || {
            let (sender, receiver) = async_channel::bounded(QUEUE);
            Answers { sender, receiver }
        };
        answers.entry(to).or_insert_with(fresh).clone()
    }

    fn queue(&self, to: VoterId, address: SocketAddr) -> Sender<Envelope> {
        let mut links = self.links.lock();
        let known = links.get(&to).filter(|l| l.peer.address() == address);
        if let Some(link) = known {
            return link.queue.clone();
        }
        let (queue, envelopes) = async_channel::bounded(QUEUE);
        let peer = Arc::new(Peer::new(address));
        let lane = || {
            let (own, shared) = (self.own, Arc::clone(&self.shared));
            task(run_lane(own, Arc::clone(&peer), envelopes.clone(), shared))
        };
        let lanes = (0..LANES).map(|_| lane()).collect();
        links.insert(
            to,
            Link {
                peer,
                queue: queue.clone(),
                _lanes: lanes,
            },
        );
        queue
    }
}

/// Sends batches one after the other.
async fn run_lane(
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
            .call::<_, Batch>(path::MESSAGES, &batch, DEADLINE)
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

/// The next answer, or none once the wait is over.
async fn within(wait: Span, answer: async_channel::Recv<'_, Envelope>) -> Option<Envelope> {
    let late = async {
        smol::Timer::after(wait.as_duration()).await;
        None
    };
    let answer = async { answer.await.ok() };
    answer.or(late).await
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
