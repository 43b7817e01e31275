//! Keeps the configuration of a process up to date with a [`Follower`] that polls other processes.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use snipemast_config::follower::{Input, Output};
use snipemast_config::{Census, Config, Delta, Follower, ProcessVersion, Reply};
use snipemast_core::prelude::*;

use crate::config::ConfigPoll;
use crate::message::path;
use crate::peer::Peer;

/// A process that receives its configuration from a follower.
pub trait ConfigSink: Send + Sync {
    /// Returns the clock that the follower uses.
    fn clock(&self) -> &Clock;

    /// Returns the version that the process has in force, and those of the processes that poll it.
    fn versions(&self) -> (ProcessVersion, Census);

    /// Brings a later version of the configuration into force.
    fn apply_config(&self, config: Arc<Config>, delta: Option<Delta>);

    /// Updates whether a source answers, the age of its latest answer, and the highest known
    /// fencing number.
    fn update_link(&self, linked: bool, age: Option<Span>, fence: Fence);
}

/// Polls the sources, the preferred one first, until the process ends.
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
        let delay = sink.clock().now().until(follower.wake());
        smol::Timer::after(delay.as_duration()).await;
    }
}

/// Carries out an output of the follower. A question returns its answer, or that it was lost.
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
