//! Takes orders and passes them on, learns fencing numbers, and follows the configuration.

use std::sync::Arc;

use arc_swap::ArcSwap;
use parking_lot::Mutex;
use trillium::{async_trait, Conn, Handler};

use snipemast_config::{Census, Config, Delta, Follower, ProcessVersion};
use snipemast_core::prelude::*;
use snipemast_servers::orders::{EngineOrder, OrderClient, OrderOutcome};
use snipemast_settings::AgentSettings;
use snipemast_wire::order::{path, FenceAsk, FenceReport, Order, OrderAnswer};
use snipemast_wire::serve::{read_message, reply, reply_malformed};
use snipemast_wire::{ConfigSink, Peer};

use super::{Decision, LoadInterval, OrderGate};

/// How long an agent that can't learn fencing numbers refuses orders after its start: longer than the
/// lease of any control leader, with a margin for clocks that drift.
pub const FENCE_HOLD: Span = Span::from_secs(5);
/// The shortest time between two loads from the weight store.
const LOAD_INTERVAL: Span = Span::from_secs(2);
/// The pause between two requests for fencing numbers, until a majority has answered.
const LEARN_INTERVAL: Span = Span::from_millis(250);
/// How long a control host may take to answer such a request.
const LEARN_TIMEOUT: Span = Span::from_secs(2);
/// The most hosts that may forward such a request.
const MAX_HOPS: u8 = 2;

/// Takes orders and keeps the configuration in force at the agent.
#[derive(Debug)]
pub struct OrderService {
    process: ProcessId,
    settings: AgentSettings,
    journal: Journal,
    clock: Clock,
    gate: Mutex<OrderGate<LoadInterval>>,
    client: OrderClient,
    config: ArcSwap<Config>,
    /// The age of the configuration when it was last reported, and when that was.
    age: Mutex<Option<(Moment, Span)>>,
}

impl OrderService {
    /// Creates the service in front of the settings' backend server.
    pub fn new(process: ProcessId, settings: AgentSettings, journal: Journal) -> Self {
        let clock = Clock::new();
        let rate = LoadInterval::new(LOAD_INTERVAL);
        let gate = OrderGate::new(process.clone(), clock.now(), FENCE_HOLD, rate);
        Self {
            client: OrderClient::new(settings.server),
            process,
            settings,
            journal,
            clock,
            gate: Mutex::new(gate),
            config: ArcSwap::default(),
            age: Mutex::new(None),
        }
    }

    /// Returns the configuration in force at the agent.
    pub fn config(&self) -> Arc<Config> {
        self.config.load_full()
    }

    /// Returns the highest known fencing number.
    pub fn floor(&self) -> Fence {
        self.gate.lock().floor()
    }

    /// Decides on an order, and passes it on where it isn't refused.
    pub async fn handle_order(&self, order: Order) -> OrderAnswer {
        let decision = self.gate.lock().decide(self.clock.now(), &order);
        match decision {
            Decision::Done => OrderAnswer::Done,
            Decision::Refuse(refusal) => {
                self.journal.record(Event::OrderRefused, &order.id, refusal);
                OrderAnswer::Refused(refusal)
            }
            Decision::Pass => self.pass_order(&order).await,
        }
    }

    /// Passes an order on to the backend server and records the result.
    async fn pass_order(&self, order: &Order) -> OrderAnswer {
        self.journal
            .record(Event::OrderPassed, &order.id, &order.action);
        let engine = EngineOrder {
            id: order.id.clone(),
            fence: order.fence,
            action: order.action.clone(),
        };
        let carried = self.client.forward(&engine, order.left).await;
        let done = matches!(carried, Ok(OrderOutcome::Done));
        self.gate.lock().finish(order, done);
        if done {
            OrderAnswer::Done
        } else {
            OrderAnswer::Failed
        }
    }

    /// Asks control hosts for fencing numbers until orders are no longer held back.
    pub async fn learn_forever(self: Arc<Self>) {
        let peers: Vec<Peer> = self.settings.seeds.iter().copied().map(Peer::new).collect();
        for peer in peers.iter().cycle() {
            if self.gate.lock().is_open(self.clock.now()) {
                return;
            }
            let ask = FenceAsk { hops: MAX_HOPS };
            let report = peer.call::<_, FenceReport>(path::FENCES, &ask, LEARN_TIMEOUT);
            if let Ok(report) = report.await {
                self.gate.lock().learn_fences(&report);
            }
            smol::Timer::after(LEARN_INTERVAL.as_duration()).await;
        }
    }

    /// Follows the configuration that the seeds report.
    pub async fn follow_forever(self: Arc<Self>) {
        let seed = snipemast_config::KeyHash::from_key(&self.process.to_string()).prefix();
        let seeds = &self.settings.seeds;
        let follower = Follower::new(seeds.len(), self.config(), seed);
        snipemast_wire::follow_forever(self.as_ref(), seeds, follower).await;
    }
}

impl ConfigSink for OrderService {
    fn clock(&self) -> &Clock {
        &self.clock
    }

    fn versions(&self) -> (ProcessVersion, Census) {
        let now = self.clock.now();
        let age = self.age.lock().map(|(then, age)| {
            let later = now.since(then).as_micros();
            Span::from_micros(age.as_micros() + later)
        });
        let standing = ProcessVersion {
            process: self.process.clone(),
            zone: self.settings.zone.clone(),
            version: self.config.load().version,
            age,
        };
        (standing, Census::default())
    }

    fn apply_config(&self, config: Arc<Config>, _: Option<Delta>) {
        let version = config.version;
        self.config.store(config);
        self.journal.record(Event::VersionApplied, version, "");
    }

    fn update_link(&self, _: bool, age: Option<Span>, fence: Fence) {
        let now = self.clock.now();
        *self.age.lock() = age.map(|age| (now, age));
        self.gate.lock().raise_floor(fence);
    }
}

/// Serves the orders to the system's own processes; other paths go on to the next handler.
#[derive(Debug)]
pub struct OrderHandler {
    service: Arc<OrderService>,
}

impl OrderHandler {
    /// Creates the handler of this service.
    pub fn new(service: Arc<OrderService>) -> Self {
        Self { service }
    }
}

#[async_trait]
impl Handler for OrderHandler {
    async fn run(&self, mut conn: Conn) -> Conn {
        if conn.path() != path::ORDER {
            return conn;
        }
        let Some(order) = read_message::<Order>(&mut conn).await else {
            return reply_malformed(conn);
        };
        reply(conn, &self.service.handle_order(order).await)
    }
}
