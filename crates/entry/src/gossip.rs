//! Runs membership's state machine: sends its messages, and updates the registry.

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

/// The interval at which the loads of agents are copied to the registry.
const LOAD_INTERVAL: Span = Span::from_millis(250);

/// The most connection pools that are kept; beyond it all are dropped and opened as needed.
const MAX_PEERS: usize = 1_024;

/// The membership of an entry process.
#[derive(Debug)]
pub struct Gossip {
    clock: Clock,
    node: OnceLock<Mutex<Node>>,
    peers: Mutex<HashMap<SocketAddr, Arc<Peer>>>,
    wake_channel: (Sender<()>, Receiver<()>),
}

impl Gossip {
    /// Creates a membership that has not started, since the process's address is not bound yet.
    pub fn new() -> Self {
        Self {
            clock: Clock::new(),
            node: OnceLock::new(),
            peers: Mutex::default(),
            wake_channel: async_channel::bounded(1),
        }
    }

    /// Starts membership with the address at which others reach this process.
    pub fn start(&self, shared: &Shared, address: SocketAddr) {
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
        // A process starts membership once; a second call changes nothing.
        let _ = self.node.set(Mutex::new(node));
    }

    /// Reads the state machine under its lock, if membership has started.
    pub fn with_node<T>(&self, read: impl FnOnce(Moment, &Node) -> T) -> Option<T> {
        let node = self.node.get()?;
        Some(read(self.clock.now(), &node.lock()))
    }

    /// Publishes a value that membership's packets carry; a later value of the topic replaces it.
    pub fn publish(&self, shared: &Arc<Shared>, topic: Topic, value: Vec<u8>, life: Span) {
        self.handle(shared, Input::Publish(topic, value, life));
    }

    /// Returns the values that entries published, by source.
    pub fn values(&self, topic: Topic) -> Vec<(ProcessId, Vec<u8>)> {
        let read = |_, node: &Node| {
            let values = node.piggyback().values(topic);
            values.map(|(s, v)| (s.clone(), v.to_vec())).collect()
        };
        self.with_node(read).unwrap_or_default()
    }

    /// Tells the others that this process is draining.
    pub fn drain(&self, shared: &Arc<Shared>) {
        self.handle(shared, Input::Drain);
    }

    /// Tells the others that this process ends now.
    pub fn leave(&self, shared: &Arc<Shared>) {
        self.handle(shared, Input::Leave);
    }

    /// Answers an exchange that another entry began.
    pub fn answer_exchange(&self, shared: &Arc<Shared>, packet: Packet) -> Option<Packet> {
        match self.handle(shared, Input::Asked(Box::new(packet)))? {
            NodeAnswer::Packet(packet) => Some(*packet),
            NodeAnswer::Lease(_) => None,
        }
    }

    /// Answers an agent's message about its lease.
    pub fn answer_agent(&self, shared: &Arc<Shared>, message: AgentMessage) -> Option<LeaseReply> {
        match self.handle(shared, Input::Agent(message))? {
            NodeAnswer::Lease(reply) => Some(reply),
            NodeAnswer::Packet(_) => None,
        }
    }

    fn handle(&self, shared: &Arc<Shared>, input: Input) -> Option<NodeAnswer> {
        let node = self.node.get()?;
        let now = self.clock.now();
        let mut outputs = {
            let mut node = node.lock();
            let outputs = node.handle(now, input);
            self.apply_views(now, shared, &node, &outputs);
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
                Output::Reply(packet) => answer = Some(NodeAnswer::Packet(packet)),
                Output::Lease(reply) => answer = Some(NodeAnswer::Lease(reply)),
                Output::Event {
                    event,
                    subject,
                    detail,
                } => shared.journal.record(event, subject, detail),
                Output::Changed(_) => {}
            }
        }
        // If the channel is full, the loop already has a wake-up pending.
        let _ = self.wake_channel.0.try_send(());
        answer
    }

    /// Applies changed views to the registry, under the node's lock.
    fn apply_views(&self, now: Moment, shared: &Shared, node: &Node, outputs: &[Output]) {
        for output in outputs {
            if let Output::Changed(hosts) = output {
                for host in hosts {
                    self.apply_view(now, shared, node, host);
                }
            }
        }
    }

    fn apply_view(&self, now: Moment, shared: &Shared, node: &Node, host: &HostId) {
        match node.agent_view(host) {
            Some(view) if view.reach != snipemast_membership::Reach::CutOff => {
                let load = load_of(now, node, &view);
                shared.registry.update(announcement(view.card, load));
            }
            _ => shared.registry.remove(host),
        }
    }

    /// Copies loads that are newer than the registry's.
    fn update_loads(&self, shared: &Shared) {
        let Some(node) = self.node.get() else {
            return;
        };
        let now = self.clock.now();
        let node = node.lock();
        for view in node.agents().filter(AgentView::is_routable) {
            let load = load_of(now, &node, &view);
            shared.registry.update_load(&view.card.agent, load);
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
        let peer = self.peer_at(to, shared.journal.ring());
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

    fn peer_at(&self, address: SocketAddr, ring: &Arc<Ring>) -> Arc<Peer> {
        let mut peers = self.peers.lock();
        if peers.len() >= MAX_PEERS {
            peers.clear();
        }
        let peer = peers
            .entry(address)
            .or_insert_with(|| Arc::new(Peer::new(address).with_ring(Arc::clone(ring))));
        Arc::clone(peer)
    }

    fn time_to_wake(&self) -> Span {
        let left = self.with_node(|now, node| now.until(node.next_tick()));
        left.unwrap_or(LOAD_INTERVAL).min(LOAD_INTERVAL)
    }
}

impl Default for Gossip {
    fn default() -> Self {
        Self::new()
    }
}

/// The state machine's answer to a message.
enum NodeAnswer {
    Packet(Box<Packet>),
    Lease(LeaseReply),
}

/// Runs membership's timers and copies loads at a fixed interval.
pub async fn gossip_forever(shared: Arc<Shared>) {
    let gossip = &shared.gossip;
    let mut loads_due = Moment::ZERO;
    loop {
        let sleep = async {
            smol::Timer::after(gossip.time_to_wake().as_duration()).await;
        };
        let woken = async {
            // The sender is part of the process's state, so the channel never closes.
            let _ = gossip.wake_channel.1.recv().await;
        };
        sleep.or(woken).await;
        let due = gossip.with_node(|now, node| now >= node.next_tick());
        if due == Some(true) {
            gossip.handle(&shared, Input::Tick);
        }
        let now = gossip.clock.now();
        if now >= loads_due {
            loads_due = now + LOAD_INTERVAL;
            gossip.update_loads(&shared);
        }
    }
}

/// Returns an agent's load: its own if it is in this zone, else the mean of its pool.
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

fn announcement(card: &AgentCard, load: LoadReport) -> Announce {
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
