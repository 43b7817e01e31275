//! Keeps a process at the newest configuration: the [`Follower`] over the wire.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use snipemast_config::follower::{Input, Output};
use snipemast_config::{Census, Config, Delta, Follower, ProcessVersion, Reply};
use snipemast_core::prelude::*;

use crate::config::ConfigPoll;
use crate::message::path;
use crate::peer::Peer;

/// A process that a follower feeds.
pub trait ConfigSink: Send + Sync {
    /// The clock that the follower runs on.
    fn clock(&self) -> &Clock;

    /// What the process has in force, and those that ask it.
    fn versions(&self) -> (ProcessVersion, Census);

    /// Brings a later version into force.
    fn apply_config(&self, config: Arc<Config>, delta: Option<Delta>);

    /// Notes whether a source answers, how old its news is, and the highest fencing number
    /// that was heard of.
    fn update_link(&self, linked: bool, age: Option<Span>, fence: Fence);
}

/// Follows the sources, the preferred one first, for as long as the process lives.
pub async fn follow_forever<S: ConfigSink>(sink: &S, sources: &[SocketAddr], follower: Follower) {
    let peers: Vec<Peer> = sources.iter().copied().map(Peer::new).collect();
    let mut follower = follower;
    let mut queue = VecDeque::new();
    while !peers.is_empty() {
        let now = sink.clock().now();
        queue.extend(follower.handle(now, Input::Tick));
        while let Some(output) = queue.pop_front() {
            let Some(input) = perform(sink, &peers, output).await else {
                continue;
            };
            queue.extend(follower.handle(sink.clock().now(), input));
            let now = sink.clock().now();
            sink.update_link(follower.is_linked(), follower.age(now), follower.fence());
        }
        let rest = sink.clock().now().until(follower.wake());
        smol::Timer::after(rest.as_duration()).await;
    }
}

/// Does what the follower wants; a question comes back with its answer or its loss.
async fn perform<S: ConfigSink>(sink: &S, peers: &[Peer], output: Output) -> Option<Input> {
    match output {
        Output::Send {
            id,
            source,
            ask,
            timeout,
        } => {
            let (standing, below) = sink.versions();
            let poll = ConfigPoll {
                ask,
                standing,
                below,
            };
            let reply = peers[source].call::<_, Reply>(path::CONFIG, &poll, timeout);
            Some(match reply.await {
                Ok(reply) => Input::Reply { ask: id, reply },
                Err(_) => Input::Lost { ask: id },
            })
        }
        Output::Retire { source } => {
            peers[source].retire();
            None
        }
        Output::Apply { config, delta } => {
            sink.apply_config(config, delta.map(|d| *d));
            None
        }
    }
}
