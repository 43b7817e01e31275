//! Announces to entry hosts what the backend server offers and how loaded it is.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use async_channel::{Receiver, Sender};
use futures_lite::FutureExt;
use smol::Task;

use snipemast_core::prelude::*;
use snipemast_membership::{
    AgentCard, AgentMessage, AnnounceInput, AnnounceOutput, AnnounceTuning, Announcer, LeaseReply,
};
use snipemast_settings::AgentSettings;
use snipemast_wire::gossip::{path, Packed};
use snipemast_wire::{spawn, Peer};

use crate::gate::Gate;

/// The longest pause between two checks of the gate, and so the longest delay before a drain is announced.
const GATE_CHECK_INTERVAL: Span = Span::from_millis(50);

/// How often the backend server is asked what it offers.
const INFO_INTERVAL: Span = Span::from_secs(5);

/// How long the agent waits for its leave message to reach the entries.
const LEAVE_TIMEOUT: Span = Span::from_millis(400);

/// The most inputs that wait to be handled.
const MAX_INPUTS: usize = 64;

/// The most entries whose connections are kept; beyond that, all are dropped and opened again as needed.
const MAX_PEERS: usize = 64;

/// The task that keeps the agent's leases.
#[derive(Debug)]
pub struct AnnounceTask {
    task: Task<()>,
    inputs: Sender<AnnounceInput>,
}

impl AnnounceTask {
    /// Starts to announce the agent.
    pub fn start(
        gate: Arc<Gate>,
        settings: AgentSettings,
        address: SocketAddr,
        info: ServerInfo,
    ) -> Self {
        let (inputs, received) = async_channel::bounded(MAX_INPUTS);
        let announce_loop = AnnounceLoop::new(gate, settings, address, info, inputs.clone());
        let task = spawn(announce_loop.run(received));
        Self { task, inputs }
    }

    /// Tells the entries that the agent leaves, and stops the task.
    pub async fn stop(self) {
        // A loop that has ended by itself sends nothing.
        let _ = self.inputs.send(AnnounceInput::Leave).await;
        smol::Timer::after(LEAVE_TIMEOUT.as_duration()).await;
        self.task.cancel().await;
    }
}

/// The loop that drives the [`Announcer`].
struct AnnounceLoop {
    gate: Arc<Gate>,
    clock: Clock,
    announcer: Announcer,
    report: Span,
    inputs: Sender<AnnounceInput>,
    peers: HashMap<SocketAddr, Arc<Peer>>,
}

impl AnnounceLoop {
    fn new(
        gate: Arc<Gate>,
        settings: AgentSettings,
        address: SocketAddr,
        info: ServerInfo,
        inputs: Sender<AnnounceInput>,
    ) -> Self {
        let card = AgentCard {
            agent: gate.process().clone(),
            address,
            zone: settings.zone,
            region: settings.region,
            news: 1,
            draining: gate.is_draining(),
            info,
        };
        let tuning = AnnounceTuning {
            renew_interval: settings.limits.announce,
            ..AnnounceTuning::default()
        };
        let clock = Clock::new();
        let seed = process_seed(gate.process());
        let announcer = Announcer::new(clock.now(), card, settings.seeds, tuning, seed);
        Self {
            gate,
            clock,
            announcer,
            report: settings.limits.report,
            inputs,
            peers: HashMap::new(),
        }
    }

    /// Handles inputs until the task that reads the backend server ends.
    async fn run(mut self, received: Receiver<AnnounceInput>) {
        let reader = spawn(read_forever(
            Arc::clone(&self.gate),
            self.report,
            self.inputs.clone(),
        ));
        loop {
            let input = self.next_input(&received).await;
            self.handle(input);
            if self.gate.is_draining() && !self.announcer.card().draining {
                self.handle(AnnounceInput::Drain);
            }
            if reader.is_finished() {
                return;
            }
        }
    }

    /// Returns the next input, or a tick when one is due.
    async fn next_input(&self, received: &Receiver<AnnounceInput>) -> AnnounceInput {
        let now = self.clock.now();
        let wait = now
            .until(self.announcer.next_tick())
            .min(GATE_CHECK_INTERVAL);
        let tick = async {
            smol::Timer::after(wait.as_duration()).await;
            AnnounceInput::Tick
        };
        let input = async { received.recv().await.unwrap_or(AnnounceInput::Tick) };
        input.or(tick).await
    }

    /// Passes an input to the announcer and carries out its outputs.
    fn handle(&mut self, input: AnnounceInput) {
        let now = self.clock.now();
        for output in self.announcer.handle(now, input) {
            match output {
                AnnounceOutput::Send {
                    token,
                    to,
                    message,
                    timeout,
                } => self.send(token, to, &message, timeout),
                AnnounceOutput::Superseded { by, address } => {
                    let detail = format!("{by} at {address}");
                    let subject = self.gate.process();
                    self.gate
                        .journal()
                        .record(Event::IdentityClash, subject, detail);
                }
            }
        }
    }

    /// Sends a message to an entry and queues its answer as an input.
    fn send(
        &mut self,
        token: snipemast_membership::Token,
        to: SocketAddr,
        message: &AgentMessage,
        timeout: Span,
    ) {
        let ring = Arc::clone(self.gate.journal().ring());
        if self.peers.len() >= MAX_PEERS {
            self.peers.clear();
        }
        let peer = self
            .peers
            .entry(to)
            .or_insert_with(|| Arc::new(Peer::new(to).with_ring(ring)));
        let peer = Arc::clone(peer);
        let bytes = Packed::new(message);
        let inputs = self.inputs.clone();
        spawn(async move {
            let answer = peer.call::<_, Packed>(path::LEASE, &bytes, timeout).await;
            let reply = answer.ok().and_then(|a| a.unpack::<LeaseReply>().ok());
            let input = match reply {
                Some(reply) => AnnounceInput::Answered(token, reply),
                None => {
                    peer.retire();
                    AnnounceInput::TimedOut(token)
                }
            };
            // The receiver is gone only where the agent has ended.
            let _ = inputs.send(input).await;
        })
        .detach();
    }
}

/// Reads the backend server's load and, less often, what it offers.
async fn read_forever(gate: Arc<Gate>, pause: Span, inputs: Sender<AnnounceInput>) {
    let clock = Clock::new();
    let mut info_due = clock.now() + INFO_INTERVAL;
    loop {
        // A server that doesn't report keeps its last load. Until the next report, an entry chooses
        // by its own counts of what it sent.
        let mut updates = Vec::new();
        if let Ok(load) = gate.engine().load().await {
            gate.record_load(load);
            updates.push(AnnounceInput::Load(load.into()));
        }
        if clock.now() >= info_due {
            info_due = clock.now() + INFO_INTERVAL;
            if let Ok(info) = gate.engine().info().await {
                updates.push(AnnounceInput::Info(Box::new(info)));
            }
        }
        for input in updates {
            if inputs.send(input).await.is_err() {
                return;
            }
        }
        smol::Timer::after(pause.as_duration()).await;
    }
}

/// Derives a random seed from the process, so that each process has its own.
fn process_seed(process: &ProcessId) -> u64 {
    use std::hash::{Hash, Hasher};
    let mut hasher = std::hash::DefaultHasher::new();
    process.hash(&mut hasher);
    hasher.finish()
}
