//! The life cycle of an agent process: start, announce, drain, stop.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use error_stack::{Report, ResultExt};
use smol::Task;

use snipemast_backing::metrics::Metrics;
use snipemast_core::prelude::*;
use snipemast_servers::Engine;
use snipemast_settings::AgentSettings;
use snipemast_wire::{listen, spawn, ServerHandle, Stamped};

use crate::announce::AnnounceTask;
use crate::gate::{Gate, GateHandler};
use crate::metrics::report_forever;
use crate::orders::service::{OrderHandler, OrderService};
use crate::rank::{RankDriver, RankHandler};

/// How long entries may take to learn of a drain before the agent checks whether it is idle.
const DRAIN_SPREAD_TIME: Span = Span::from_millis(200);
/// How long writing the last frames may take.
const FLUSH_TIMEOUT: Span = Span::from_secs(5);

/// The result of starting an agent.
pub type Result<T> = std::result::Result<T, Report<AgentError>>;

/// An agent that can't start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AgentError {
    /// The address can't be bound.
    Bind(SocketAddr),
    /// Metrics can't be sent to the address.
    Metrics(SocketAddr),
    /// The backend server does not describe itself.
    Server(SocketAddr),
}

impl fmt::Display for AgentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Bind(address) => write!(f, "{address} can't be bound"),
            Self::Metrics(address) => write!(f, "metrics can't be sent to {address}"),
            Self::Server(address) => write!(f, "no backend server answers at {address}"),
        }
    }
}

impl std::error::Error for AgentError {}

/// A running agent.
#[derive(Debug)]
pub struct Agent {
    gate: Arc<Gate>,
    listening: ServerHandle,
    announce_task: AnnounceTask,
    orders: Arc<OrderService>,
    order_tasks: Vec<Task<()>>,
    shutdown: Span,
    metrics_task: Option<Task<()>>,
    rank: Option<Arc<RankDriver>>,
}

impl Agent {
    /// Starts an agent: reads its backend server's description, binds and announces itself.
    pub async fn start(
        settings: AgentSettings,
        incarnation: Incarnation,
        journal: Journal,
    ) -> Result<Self> {
        Self::start_advertised(settings, incarnation, journal, None).await
    }

    /// Starts an agent that announces another address than the one it binds, where one is given.
    pub async fn start_advertised(
        settings: AgentSettings,
        incarnation: Incarnation,
        journal: Journal,
        advertised: Option<SocketAddr>,
    ) -> Result<Self> {
        let engine = Engine::new(settings.server);
        let info = engine
            .info()
            .await
            .change_context(AgentError::Server(settings.server))?;
        let process = ProcessId::new(settings.host.clone(), incarnation);
        let gate = Arc::new(Gate::new(process, engine, settings.limits.clone(), journal));
        let order_service = OrderService::new(
            gate.process().clone(),
            settings.clone(),
            gate.journal().clone(),
        );
        let order_service = Arc::new(order_service);
        let rank = info.rank.clone().map(|place| {
            RankDriver::new(place, incarnation, settings.server, gate.journal().clone())
        });
        let handler = (
            rank.clone().map(RankHandler::new),
            OrderHandler::new(Arc::clone(&order_service)),
            GateHandler::new(Arc::clone(&gate)),
        );
        let handler = Stamped::new(Arc::clone(gate.journal().ring()), handler);
        let listening = listen(settings.own, handler)
            .await
            .change_context(AgentError::Bind(settings.own))?;
        gate.journal()
            .record(Event::ProcessStarted, &settings.host, listening.address());
        let metrics_task = match settings.statsd {
            Some(address) => {
                let metrics = Metrics::new(address, &settings.host);
                let metrics = metrics.change_context(AgentError::Metrics(address))?;
                Some(spawn(report_forever(Arc::clone(&gate), metrics)))
            }
            None => None,
        };
        let shutdown = settings.limits.shutdown;
        let address = advertised.unwrap_or(listening.address());
        let announce_task = AnnounceTask::start(Arc::clone(&gate), settings, address, info);
        let order_tasks = vec![
            spawn(Arc::clone(&order_service).learn_forever()),
            spawn(Arc::clone(&order_service).follow_forever()),
        ];
        Ok(Self {
            gate,
            listening,
            announce_task,
            orders: order_service,
            order_tasks,
            shutdown,
            metrics_task,
            rank,
        })
    }

    /// Returns the address at which the agent listens.
    pub fn address(&self) -> SocketAddr {
        self.listening.address()
    }

    /// Returns the gate in front of the backend server.
    pub fn gate(&self) -> &Arc<Gate> {
        &self.gate
    }

    /// Returns the driver of the rank, where the backend server is one.
    pub fn rank(&self) -> Option<&Arc<RankDriver>> {
        self.rank.as_ref()
    }

    /// Returns the service that takes orders and follows the configuration.
    pub fn orders(&self) -> &Arc<OrderService> {
        &self.orders
    }

    /// Refuses new dispatches from now on; the announcements inform entries.
    pub fn drain(&self) {
        self.gate.drain();
    }

    /// Drains, waits until nothing is in flight or the shutdown limit has passed, and stops.
    ///
    /// Failure guarded against: a planned restart cuts an answer, so that an entry can't resume its
    /// stream. Entries learn of the drain first and choose other servers; dispatches that still
    /// arrive are refused as not run; and the listener stops last, once its last frames are written.
    pub async fn stop(self) {
        self.drain();
        smol::Timer::after(DRAIN_SPREAD_TIME.as_duration()).await;
        let idle = self.gate.wait_idle(self.shutdown).await;
        self.announce_task.stop().await;
        let written = self.listening.stop_within(FLUSH_TIMEOUT).await;
        let event = if idle && written {
            Event::ProcessEnded
        } else {
            Event::DrainExpired
        };
        self.gate.journal().record(event, self.gate.process(), "");
        if let Some(rank) = &self.rank {
            rank.stop();
        }
        for task in self.order_tasks.into_iter().chain(self.metrics_task) {
            task.cancel().await;
        }
    }
}
