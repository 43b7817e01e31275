//! The life of an agent process: start, announce, drain, stop.

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

use crate::announce::Announcing;
use crate::gate::{Gate, GateHandler};
use crate::metrics::report_forever;
use crate::orders::service::{OrderHandler, OrderService};
use crate::rank::{RankHandler, RankShell};

/// How long entries may take to hear of a drain before the agent looks whether it is idle.
const SPREAD: Span = Span::from_millis(200);
/// How long the last frames may take to be written.
const FLUSH: Span = Span::from_secs(5);

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
    announcing: Announcing,
    orders: Arc<OrderService>,
    learning: Vec<Task<()>>,
    shutdown: Span,
    reporting: Option<Task<()>>,
    rank: Option<Arc<RankShell>>,
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

    /// Starts an agent that others reach at another address than the one it binds.
    pub async fn start_advertised(
        settings: AgentSettings,
        incarnation: Incarnation,
        journal: Journal,
        reached: Option<SocketAddr>,
    ) -> Result<Self> {
        let engine = Engine::new(settings.server);
        let info = engine
            .info()
            .await
            .change_context(AgentError::Server(settings.server))?;
        let process = ProcessId::new(settings.host.clone(), incarnation);
        let gate = Arc::new(Gate::new(process, engine, settings.limits.clone(), journal));
        let desk = OrderService::new(
            gate.process().clone(),
            settings.clone(),
            gate.journal().clone(),
        );
        let desk = Arc::new(desk);
        let rank = info.rank.clone().map(|place| {
            RankShell::new(place, incarnation, settings.server, gate.journal().clone())
        });
        let handler = (
            rank.clone().map(RankHandler::new),
            OrderHandler::new(Arc::clone(&desk)),
            GateHandler::new(Arc::clone(&gate)),
        );
        let handler = Stamped::new(Arc::clone(gate.journal().ring()), handler);
        let listening = listen(settings.own, handler)
            .await
            .change_context(AgentError::Bind(settings.own))?;
        gate.journal()
            .record(Event::ProcessStarted, &settings.host, listening.address());
        let reporting = match settings.statsd {
            Some(address) => {
                let metrics = Metrics::new(address, &settings.host);
                let metrics = metrics.change_context(AgentError::Metrics(address))?;
                Some(spawn(report_forever(Arc::clone(&gate), metrics)))
            }
            None => None,
        };
        let shutdown = settings.limits.shutdown;
        let address = reached.unwrap_or(listening.address());
        let announcing = Announcing::start(Arc::clone(&gate), settings, address, info);
        let learning = vec![
            spawn(Arc::clone(&desk).learn_forever()),
            spawn(Arc::clone(&desk).follow_forever()),
        ];
        Ok(Self {
            gate,
            listening,
            announcing,
            orders: desk,
            learning,
            shutdown,
            reporting,
            rank,
        })
    }

    /// Where the agent listens.
    pub fn address(&self) -> SocketAddr {
        self.listening.address()
    }

    /// The gate in front of the backend server.
    pub fn gate(&self) -> &Arc<Gate> {
        &self.gate
    }

    /// The rank's part in its group, where the backend server is a rank.
    pub fn rank(&self) -> Option<&Arc<RankShell>> {
        self.rank.as_ref()
    }

    /// The gate for orders, and what the agent knows of the configuration.
    pub fn orders(&self) -> &Arc<OrderService> {
        &self.orders
    }

    /// Refuses new dispatches from now on; the announcements spread it.
    pub fn drain(&self) {
        self.gate.drain();
    }

    /// Drains, waits until nothing is in flight or the bound has passed, and ends.
    ///
    /// Failure guarded against: an answer that is cut by a planned restart. It shows as a stream
    /// that an entry can't resume. The drain spreads first, so that entries choose other servers;
    /// what still comes is refused as not run; and the listener ends last, once its last frames
    /// are written.
    pub async fn stop(self) {
        self.drain();
        smol::Timer::after(SPREAD.as_duration()).await;
        let empty = self.gate.wait_empty(self.shutdown).await;
        self.announcing.stop().await;
        let written = self.listening.stop_within(FLUSH).await;
        let event = if empty && written {
            Event::ProcessEnded
        } else {
            Event::DrainExpired
        };
        self.gate.journal().record(event, self.gate.process(), "");
        if let Some(rank) = &self.rank {
            rank.end();
        }
        for task in self.learning.into_iter().chain(self.reporting) {
            task.cancel().await;
        }
    }
}
