//! Sending of the replicated log's messages to other voters.

use std::net::SocketAddr;

use async_channel::{bounded, Receiver, Sender};
use parking_lot::Mutex;

use snipemast_control::Envelope;
use snipemast_core::prelude::*;
use snipemast_core::recent::Recent;
use snipemast_net::exec::{pause, spawn};
use snipemast_net::RpcClient;

use crate::peers::{path, Ack, Batch};

/// The number of messages that may wait for one voter; more are dropped, and the log resends them.
const QUEUE_LENGTH: usize = 256;

/// The most voters that have a queue: several times as many as a cluster has. A queue that is dropped ends its task.
const MAX_LINKS: usize = 64;

/// How long a voter may take to receive messages: below its election timeout, so that one lost
/// connection does not depose a leader.
const SEND_TIMEOUT: Span = Span::from_millis(700);

/// The pause after a call that failed.
const RETRY_PAUSE: Span = Span::from_millis(60);

/// One queue and one task for each voter.
#[derive(Debug)]
pub(crate) struct Links {
    /// The address at which this host receives answers.
    own: SocketAddr,
    queues: Mutex<Recent<SocketAddr, Sender<Envelope>>>,
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
        let (own, mut queues) = (self.own, self.queues.lock());
        let queue = queues.get_or_insert_with(to, || {
            let (sender, receiver) = bounded(QUEUE_LENGTH);
            spawn(send_batches(own, to, receiver)).detach();
            sender
        });
        // A full queue means that the voter cannot be reached; the log resends the message.
        let _ = queue.try_send(envelope);
    }
}

/// Sends queued messages to one voter in batches.
async fn send_batches(from: SocketAddr, to: SocketAddr, queue: Receiver<Envelope>) {
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
