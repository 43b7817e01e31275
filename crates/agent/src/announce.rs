//! Tells entry hosts what the backend server offers and how loaded it is.

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

/// The longest pause between two looks at the gate: how late a drain may be told.
const LOOK: Span = Span::from_millis(50);

/// How often the backend server is asked again what it offers.
const INFO: Span = Span::from_secs(5);

/// How long the agent's last word may take.
const FAREWELL: Span = Span::from_millis(400);

/// The most answers that wait to be handled.
const BOUND: usize = 64;

/// The most entries whose connections are kept; beyond it all are dropped and opened as needed.
const MAX_PEERS: usize = 64;

/// The task that keeps the agent's leases.
#[derive(Debug)]
pub struct Announcing {
    task: Task<()>,
    inputs: Sender<AnnounceInput>,
}

impl Announcing {
    /// Begins to announce the agent.
    pub fn start(
        gate: Arc<Gate>,
        settings: AgentSettings,
        address: SocketAddr,
        info: ServerInfo,
    ) -> Self {
        let (inputs, handled) = async_channel::bounded(BOUND);
        let shell = Shell::new(gate, settings, address, info, inputs.clone());
        let task = spawn(shell.run(handled));
        Self { task, inputs }
    }

    /// Tells the entries that the agent ends, and stops.
    pub async fn stop(self) {
        // A loop that ended by itself has nobody to tell.
        let _ = self.inputs.send(AnnounceInput::Leave).await;
        smol::Timer::after(FAREWELL.as_duration()).await;
        self.task.cancel().await;
    }
}

struct Shell {
    gate: Arc<Gate>,
    clock: Clock,
    announcer: Announcer,
    report: Span,
    inputs: Sender<AnnounceInput>,
    peers: HashMap<SocketAddr, Arc<Peer>>,
}

impl Shell {
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
        let seed = seed_of(gate.process());
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

    async fn run(mut self, handled: Receiver<AnnounceInput>) {
        let reading = spawn(read_forever(
            Arc::clone(&self.gate),
            self.report,
            self.inputs.clone(),
        ));
        loop {
            let input = self.next(&handled).await;
            self.handle(input);
            if self.gate.is_draining() && !self.announcer.card().draining {
                self.handle(AnnounceInput::Drain);
            }
            if reading.is_finished() {
                return;
            }
        }
    }

    /// The next answer, or a tick when one is due.
    async fn next(&self, handled: &Receiver<AnnounceInput>) -> AnnounceInput {
        let now = self.clock.now();
        let wait = now.until(self.announcer.next_tick()).min(LOOK);
        let tick = async {
            smol::Timer::after(wait.as_duration()).await;
            AnnounceInput::Tick
        };
        let input = async { handled.recv().await.unwrap_or(AnnounceInput::Tick) };
        input.or(tick).await
    }

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
            // An agent that ended waits for no answer.
            let _ = inputs.send(input).await;
        })
        .detach();
    }
}

/// Reads the backend server's load and, more seldom, what it offers.
async fn read_forever(gate: Arc<Gate>, pause: Span, inputs: Sender<AnnounceInput>) {
    let clock = Clock::new();
    let mut again = clock.now() + INFO;
    loop {
        // A server that does not report keeps its last load; the entry's own counts of what it
        // sent carry the choice until the next report.
        let mut news = Vec::new();
        if let Ok(load) = gate.engine().load().await {
            gate.report(load);
            news.push(AnnounceInput::Load(load.into()));
        }
        if clock.now() >= again {
            again = clock.now() + INFO;
            if let Ok(info) = gate.engine().info().await {
                news.push(AnnounceInput::Info(Box::new(info)));
            }
        }
        for input in news {
            if inputs.send(input).await.is_err() {
                return;
            }
        }
        smol::Timer::after(pause.as_duration()).await;
    }
}

/// A seed of its own for each process.
fn seed_of(process: &ProcessId) -> u64 {
    use std::hash::{Hash, Hasher};
    let mut hasher = std::hash::DefaultHasher::new();
    process.hash(&mut hasher);
    hasher.finish()
}
