//! Sending of the replicated log's messages to other voters.

use std::collections::VecDeque;
use std::net::SocketAddr;

use async_channel::{bounded, Receiver, Sender};
use parking_lot::Mutex;

use snipemast_control::{Envelope, Message};
use snipemast_core::prelude::*;
use snipemast_core::recent::Recent;
use snipemast_net::exec::{pause, spawn};
use snipemast_net::RpcClient;

use crate::peers::{path, Ack, Batch};

/// The number of messages that may wait for one voter; more are dropped, and the log resends them.
const QUEUE_LENGTH: usize = 256;

/// The number of large messages that may wait for one voter.
const LARGE_QUEUE_LENGTH: usize = 4;

/// The most voters that have a queue: several times as many as a cluster has. A queue that is dropped ends its task.
const MAX_LINKS: usize = 64;

/// How long a voter may take to receive messages, or a part of a large one: below its election timeout, so that one lost
/// connection does not depose a leader.
const SEND_TIMEOUT: Span = Span::from_millis(700);

/// The pause after a call that failed.
const RETRY_PAUSE: Span = Span::from_millis(60);

/// The content from which on a message is sent on the connection for large ones.
const LARGE: Size = Size::from_bytes(16 << 10);

/// The connections to each voter.
#[derive(Debug)]
pub(crate) struct Links {
    /// The address at which this host receives answers.
    own: SocketAddr,
    queues: Mutex<Recent<SocketAddr, Queues>>,
}

/// The queues of messages to one voter, each with a connection and a task of its own.
#[derive(Debug)]
struct Queues {
    /// Votes, heartbeats and acknowledgements, which must not wait for large messages.
    small: Sender<Envelope>,
    /// Entries and pieces of snapshots.
    large: Sender<Envelope>,
}

impl Queues {
    fn start(own: SocketAddr, to: SocketAddr) -> Self {
        let (small, small_receiver) = bounded(QUEUE_LENGTH);
        let (large, large_receiver) = bounded(LARGE_QUEUE_LENGTH);
        spawn(send_small(own, to, small_receiver)).detach();
        spawn(send_large(own, to, large_receiver)).detach();
        Self { small, large }
    }
}

impl Links {
    pub(crate) fn new(own: SocketAddr) -> Self {
        Self {
            own,
            queues: Mutex::new(Recent::new(MAX_LINKS)),
        }
    }

    /// Sends a message; it may be lost.
    pub(crate) fn send(&self, to: SocketAddr, envelope: Envelope) {
        let mut queues = self.queues.lock();
        let queues = queues.get_or_insert_with(to, || Queues::start(self.own, to));
        let queue = if is_large(&envelope.message) {
            &queues.large
        } else {
            &queues.small
        };
        // A full queue means that the voter cannot be reached, or that a large message is under way; the log resends the
        // message.
        let _ = queue.try_send(envelope);
    }
}

fn is_large(message: &Message) -> bool {
    let limit = LARGE.as_bytes() as usize;
    match message {
        Message::Append { entries, .. } => {
            entries.iter().map(|e| e.approx_size()).sum::<usize>() > limit
        }
        Message::Install { bytes, .. } => bytes.len() > limit,
        _ => false,
    }
}

/// Sends queued messages to one voter in batches.
async fn send_small(from: SocketAddr, to: SocketAddr, queue: Receiver<Envelope>) {
    let client = RpcClient::new(to);
    while let Ok(first) = queue.recv().await {
        let mut envelopes = vec![first];
        while let Ok(next) = queue.try_recv() {
            envelopes.push(next);
        }
        let batch = Batch { from, envelopes };
        if client
            .call::<_, Ack>(path::LOG, &batch, SEND_TIMEOUT)
            .await
            .is_err()
        {
            // The messages that queued up meanwhile are outdated.
            while queue.try_recv().is_ok() {}
            pause(RETRY_PAUSE).await;
        }
    }
}

/// Sends large messages to one voter, one after another, each in parts.
///
/// The log repeats a message that isn't acknowledged soon. Repeats of one that is still on its way are dropped, or they would
/// delay all that follows.
async fn send_large(from: SocketAddr, to: SocketAddr, queue: Receiver<Envelope>) {
    let client = RpcClient::new(to);
    let mut waiting = VecDeque::new();
    loop {
        let envelope = match waiting.pop_front() {
            Some(envelope) => envelope,
            None => match queue.recv().await {
                Ok(envelope) => envelope,
                Err(_) => return,
            },
        };
        let content = content(&envelope);
        let batch = Batch {
            from,
            envelopes: vec![envelope],
        };
        let call = client.call_in_parts::<_, Ack>(path::LOG, &batch, SEND_TIMEOUT);
        let sent = call.await;
        while let Ok(next) = queue.try_recv() {
            waiting.push_back(next);
        }
        waiting.retain(|next| self::content(next) != content);
        if sent.is_err() {
            pause(RETRY_PAUSE).await;
        }
    }
}

/// What a large message holds: the term, the last index before its entries or of its snapshot, and the offset in that.
fn content(envelope: &Envelope) -> (Term, Index, u64) {
    let (index, offset) = match &envelope.message {
        Message::Append { previous, .. } => (previous.index, 0),
        Message::Install { head, offset, .. } => (head.last.index, *offset),
        _ => (Index(0), 0),
    };
    (envelope.term, index, offset)
}
