//! The shell around membership: sends what the state machine wants sent, and keeps the registry.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};

use async_channel::{Receiver, Sender};
use futures_lite::FutureExt;
use parking_lot::Mutex;

use snipemast_core::prelude::*;
use snipemast_membership::{
    AgentCard, AgentMessage, AgentView, Input, LeaseReply, Node, NodeCard, Output, Packet, Token,
    Topic, Tuning,
};
use snipemast_wire::gossip::{path, Packed};
use snipemast_wire::{spawn, Announce, Peer};

use crate::shared::Shared;

/// How often the loads of agents are taken over into the registry.
const LOADS: Span = Span::from_millis(250);

/// The most connections pools that are kept; beyond it all are dropped and opened as needed.
const MAX_PEERS: usize = 1_024;

/// Membership of an entry process.
#[derive(Debug)]
pub struct Gossip {
    clock: Clock,
    node: OnceLock<Mutex<Node>>,
    peers: Mutex<HashMap<SocketAddr, Arc<Peer>>>,
    woken: (Sender<()>, Receiver<()>),
}

impl Gossip {
    /// Membership that has not begun: the process's address is not bound yet.
    pub fn new() -> Self {
        Self {
            clock: Clock::new(),
            node: OnceLock::new(),
            peers: Mutex::default(),
            woken: async_channel::bounded(1),
        }
    }

    /// Begins, with the address under which others reach this process.
    pub fn begin(&self, shared: &Shared, address: SocketAddr) {
        let settings = &shared.settings;
        let card = NodeCard {
            process: shared.process.clone(),
            address,
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            draining: false,
        };
        let tuning = Tuning {
            lease: settings.limits.lease,
            ..Tuning::default()
        };
        let seed = snipemast_routing::hash::stable_hash(&shared.process);
        let seeds = settings.seeds.clone();
        let node = Node::new(self.clock.now(), card, seeds, tuning, seed);
        // A process begins once; a second word changes nothing.
        let _ = self.node.set(Mutex::new(node));
    }

    /// Looks at the state machine, where membership has begun.
    pub fn look<T>(&self, look: impl FnOnce(Moment, &Node) -> T) -> Option<T> {
        let node = self.node.get()?;
        Some(look(self.clock.now(), &node.lock()))
    }

    /// Publishes a value that spreads with membership; a later one of the topic replaces it.
    pub fn publish(&self, shared: &Arc<Shared>, topic: Topic, value: Vec<u8>, life: Span) {
        self.handle(shared, Input::Publish(topic, value, life));
    }

    /// The values that entries published, by source.
    pub fn values(&self, topic: Topic) -> Vec<(ProcessId, Vec<u8>)> {
        let read = |_, node: &Node| {
            let values = node.piggyback().values(topic);
            values.map(|(s, v)| (s.clone(), v.to_vec())).collect()
        };
        self.look(read).unwrap_or_default()
    }

    /// Tells the others that this process is on its way out.
    pub fn drain(&self, shared: &Arc<Shared>) {
        self.handle(shared, Input::Drain);
    }

    /// Tells the others that this process ends now.
    pub fn leave(&self, shared: &Arc<Shared>) {
        self.handle(shared, Input::Leave);
    }

    /// Answers an exchange that another entry began.
    pub fn exchange(&self, shared: &Arc<Shared>, packet: Packet) -> Option<Packet> {
        match self.handle(shared, Input::Asked(Box::new(packet)))? {
            Answer::Packet(packet) => Some(*packet),
            Answer::Lease(_) => None,
        }
    }

    /// Answers an agent.
    pub fn lease(&self, shared: &Arc<Shared>, message: AgentMessage) -> Option<LeaseReply> {
        match self.handle(shared, Input::Agent(message))? {
            Answer::Lease(reply) => Some(reply),
            Answer::Packet(_) => None,
        }
    }

    fn handle(&self, shared: &Arc<Shared>, input: Input) -> Option<Answer> {
        let node = self.node.get()?;
        let now = self.clock.now();
        let mut outputs = {
            let mut node = node.lock();
            let outputs = node.handle(now, input);
            self.take_views(now, shared, &node, &outputs);
            outputs
        };
        let mut answer = None;
        for output in outputs.drain(..) {
            match output {
                Output::Send {
                    token,
                    to,
                    packet,
                    timeout,
                } => self.send(shared, token, to, &packet, timeout),
                Output::Reply(packet) => answer = Some(Answer::Packet(packet)),
                Output::Lease(reply) => answer = Some(Answer::Lease(reply)),
                Output::Event {
                    event,
                    subject,
                    detail,
                } => shared.journal.record(event, subject, detail),
                Output::Changed(_) => {}
            }
        }
        // A full channel means that the loop will look at its next deadline anyway.
        let _ = self.woken.0.try_send(());
        answer
    }

    /// Takes changes of the view over into the registry while the view stands still.
    fn take_views(&self, now: Moment, shared: &Shared, node: &Node, outputs: &[Output]) {
        for output in outputs {
            if let Output::Changed(hosts) = output {
                for host in hosts {
                    self.take_view(now, shared, node, host);
                }
            }
        }
    }

    fn take_view(&self, now: Moment, shared: &Shared, node: &Node, host: &HostId) {
        match node.agent_view(host) {
            Some(view) if view.reach != snipemast_membership::Reach::CutOff => {
                let load = load_of(now, node, &view);
                shared.registry.update(announce(view.card, load));
            }
            _ => shared.registry.remove(host),
        }
    }

    /// Takes loads over that are newer than the registry's.
    fn take_loads(&self, shared: &Shared) {
        let Some(node) = self.node.get() else {
            return;
        };
        let now = self.clock.now();
        let node = node.lock();
        for view in node.agents().filter(AgentView::is_routable) {
            let load = load_of(now, &node, &view);
            shared.registry.report(&view.card.agent, load);
        }
    }

    fn send(
        &self,
        shared: &Arc<Shared>,
        token: Token,
        to: SocketAddr,
        packet: &Packet,
        timeout: Span,
    ) {
        let peer = self.peer(to, shared.journal.ring());
        let bytes = Packed::new(packet);
        let shared = Arc::clone(shared);
        spawn(async move {
            let answer = peer
                .call::<_, Packed>(path::EXCHANGE, &bytes, timeout)
                .await;
            let packet = answer.ok().and_then(|a| a.unpack::<Packet>().ok());
            let input = match packet {
                Some(packet) => Input::Answered(token, Box::new(packet)),
                None => {
                    peer.retire();
                    Input::TimedOut(token)
                }
            };
            shared.gossip.handle(&shared, input);
        })
        .detach();
    }

    fn peer(&self, address: SocketAddr, ring: &Arc<Ring>) -> Arc<Peer> {
        let mut peers = self.peers.lock();
        if peers.len() >= MAX_PEERS {
            peers.clear();
        }
        let peer = peers
            .entry(address)
            .or_insert_with(|| Arc::new(Peer::new(address).with_ring(Arc::clone(ring))));
        Arc::clone(peer)
    }

    fn wake(&self) -> Span {
        let left = self.look(|now, node| now.until(node.next_tick()));
        left.unwrap_or(LOADS).min(LOADS)
    }
}

impl Default for Gossip {
    fn default() -> Self {
        Self::new()
    }
}

/// What the state machine answers to a message.
enum Answer {
    Packet(Box<Packet>),
    Lease(LeaseReply),
}

/// Runs membership's clock and takes loads over, again and again.
pub async fn gossip_forever(shared: Arc<Shared>) {
    let gossip = &shared.gossip;
    let mut loads = Moment::ZERO;
    loop {
        let sleep = async {
            smol::Timer::after(gossip.wake().as_duration()).await;
        };
        let woken = async {
            // The sender lives as long as the process's state, so the channel never closes.
            let _ = gossip.woken.1.recv().await;
        };
        sleep.or(woken).await;
        let due = gossip.look(|now, node| now >= node.next_tick());
        if due == Some(true) {
            gossip.handle(&shared, Input::Tick);
        }
        let now = gossip.clock.now();
        if now >= loads {
            loads = now + LOADS;
            gossip.take_loads(&shared);
        }
    }
}

/// An agent's load: its own within the zone, its pool's mean from another zone.
fn load_of(now: Moment, node: &Node, view: &AgentView<'_>) -> LoadReport {
    let own = node.loads().load(now, &view.card.agent.host);
    own.or_else(|| pool_mean(now, node, view.card))
        .unwrap_or_default()
}

fn pool_mean(now: Moment, node: &Node, card: &AgentCard) -> Option<LoadReport> {
    let offer = card.info.offers.first()?.to_string();
    let mut pools = node.loads().pools(now);
    let (pool, age) = pools.find(|(p, _)| p.zone == card.zone && p.offer == offer)?;
    Some(LoadReport {
        running: pool.load / pool.servers.max(1),
        age,
        ..LoadReport::default()
    })
}

fn announce(card: &AgentCard, load: LoadReport) -> Announce {
    Announce {
        agent: card.agent.clone(),
        address: card.address,
        zone: card.zone.clone(),
        region: card.region.clone(),
        info: card.info.clone(),
        load,
        draining: card.draining,
    }
}
