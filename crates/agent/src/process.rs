//! The life of an agent process: start, announce, drain, stop.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use error_stack::{Report, ResultExt};

use snipemast_core::prelude::*;
use snipemast_servers::Engine;
use snipemast_settings::AgentSettings;
use snipemast_wire::{listen, Listening};

use crate::announce::Announcing;
use crate::gate::{Gate, GateHandler};
use crate::rank::{RankHandler, RankShell};

/// The result of starting an agent.
pub type Result<T> = std::result::Result<T, Report<AgentError>>;

/// An agent that can't start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AgentError {
    /// The address can't be bound.
    Bind(SocketAddr),
    /// The backend server does not describe itself.
    Server(SocketAddr),
}

impl fmt::Display for AgentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Bind(address) => write!(f, "{address} can't be bound"),
            Self::Server(address) => write!(f, "no backend server answers at {address}"),
        }
    }
}

impl std::error::Error for AgentError {}

/// A running agent.
#[derive(Debug)]
pub struct Agent {
    gate: Arc<Gate>,
    listening: Listening,
    announcing: Announcing,
    shutdown: Span,
    rank: Option<Arc<RankShell>>,
}

impl Agent {
    /// Starts an agent: reads its backend server's description, binds and announces itself.
    pub async fn start(
        settings: AgentSettings,
        incarnation: Incarnation,
        journal: Journal,
    ) -> Result<Self> {
        let engine = Engine::new(settings.server);
        let info = engine
            .info()
            .await
            .change_context(AgentError::Server(settings.server))?;
        let process = ProcessId::new(settings.host.clone(), incarnation);
        let gate = Arc::new(Gate::new(process, engine, settings.limits.clone(), journal));
        let rank = info.rank.clone().map(|place| {
            RankShell::new(place, incarnation, settings.server, gate.journal().clone())
        });
        let handlers = (
            rank.clone().map(RankHandler::new),
            GateHandler::new(Arc::clone(&gate)),
        );
        let listening = listen(settings.own, handlers)
            .await
            .change_context(AgentError::Bind(settings.own))?;
        gate.journal()
            .record(Event::ProcessStarted, &settings.host, listening.address());
        let shutdown = settings.limits.shutdown;
        let address = listening.address();
        let announcing = Announcing::start(Arc::clone(&gate), settings, address, info);
        Ok(Self {
            gate,
            listening,
            announcing,
            shutdown,
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

    /// Refuses new dispatches from now on; the announcements spread it.
    pub fn drain(&self) {
        self.gate.drain();
    }

    /// Drains, waits until nothing is in flight or the bound has passed, and ends.
    pub async fn stop(self) {
        self.drain();
        let empty = self.gate.wait_empty(self.shutdown).await;
        let event = if empty {
            Event::ProcessEnded
        } else {
            Event::DrainExpired
        };
        self.gate.journal().record(event, self.gate.process(), "");
        self.announcing.stop().await;
        self.listening.stop().await;
    }
}
