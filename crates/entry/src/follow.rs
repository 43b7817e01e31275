//! Keeps up with the configuration of a control host.

use std::sync::Arc;

use snipemast_core::prelude::*;
use snipemast_wire::message::path;
use snipemast_wire::{ConfigPoll, ConfigReply, Peer};

use crate::shared::Shared;

/// How long a poll may wait at the other side.
const POLL_WAIT: Span = Span::from_secs(10);
/// How much longer than the wait an answer may take before the connection counts as dead.
const POLL_SLACK: Span = Span::from_secs(2);
/// The pause after a poll that failed.
const PAUSE: Span = Span::from_millis(500);

/// Polls the seeds for later configurations, one seed at a time, again and again.
pub async fn follow_forever(shared: Arc<Shared>) {
    let peers: Vec<Peer> = shared
        .settings
        .seeds
        .iter()
        .copied()
        .map(Peer::new)
        .collect();
    if peers.is_empty() {
        return;
    }
    for peer in peers.iter().cycle() {
        while poll(&shared, peer).await {}
        peer.retire();
        smol::Timer::after(PAUSE.as_duration()).await;
    }
}

/// Polls once; false where the peer did not answer.
async fn poll(shared: &Shared, peer: &Peer) -> bool {
    let message = ConfigPoll {
        after: shared.config().version,
        wait: POLL_WAIT,
    };
    let timeout = Span::from_micros(POLL_WAIT.as_micros() + POLL_SLACK.as_micros());
    match peer
        .call::<_, ConfigReply>(path::CONFIG, &message, timeout)
        .await
    {
        Ok(ConfigReply::Unchanged) => true,
        Ok(ConfigReply::Whole(config)) => {
            shared.apply(Arc::new(*config));
            true
        }
        Err(_) => false,
    }
}
