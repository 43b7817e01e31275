//! The input and the result of a choice, and its policy.

use snipemast_core::prelude::*;

use crate::health::HealthPolicy;
use crate::pool::{Proximity, SpillPolicy};
use crate::prefix::{Prefix, PrefixPolicy};
use crate::wanted::Wanted;

/// How servers are compared in a choice.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RoutingPolicy {
    /// The number of servers that are drawn and compared.
    pub draws: usize,
    /// The age at which a report's count of other entries' requests has half its weight.
    pub trust_half_life: Span,
    /// The age at which the means of a tier are refreshed.
    pub refresh_interval: Span,
    /// When a server counts as unhealthy.
    pub health: HealthPolicy,
    /// When requests spill to servers of the next tier.
    pub spill: SpillPolicy,
    /// The loads up to which a server attracts requests by a cached prefix.
    pub prefix: PrefixPolicy,
}

impl Default for RoutingPolicy {
    fn default() -> Self {
        Self {
            draws: 2,
            trust_half_life: Span::from_millis(1_000),
            refresh_interval: Span::from_millis(20),
            health: HealthPolicy::default(),
            spill: SpillPolicy::default(),
            prefix: PrefixPolicy::default(),
        }
    }
}

/// The position of a server in the table, which is reused after the server has left.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerIndex(pub(crate) u32);

/// What a request needs from the server that is chosen for it.
#[derive(Debug, Clone, Copy)]
pub struct Query<'a> {
    /// The model or service that the server must offer.
    pub wanted: &'a Wanted,
    /// The capabilities that the server's engine must have.
    pub needs: Capabilities,
    /// The prefix of the prompt.
    pub prefix: Option<Prefix>,
    /// The servers that were already tried and are left out.
    pub tried: &'a [ProcessId],
    /// Whether other requests wait at the entry.
    pub backlog: bool,
}

impl<'a> Query<'a> {
    /// Creates a query for a server that offers this model or service.
    pub fn new(wanted: &'a Wanted) -> Self {
        Self {
            wanted,
            needs: Capabilities::default(),
            prefix: None,
            tried: &[],
            backlog: false,
        }
    }

    /// Prefers a server that has this prefix in its cache.
    #[must_use]
    pub fn with_prefix(mut self, prefix: Option<Prefix>) -> Self {
        self.prefix = prefix;
        self
    }

    /// Leaves out the servers that were already tried.
    #[must_use]
    pub fn with_tried(mut self, tried: &'a [ProcessId]) -> Self {
        self.tried = tried;
        self
    }

    /// Sets whether other requests wait at the entry.
    #[must_use]
    pub fn with_backlog(mut self, backlog: bool) -> Self {
        self.backlog = backlog;
        self
    }

    /// Requires a server whose engine has these capabilities.
    #[must_use]
    pub fn with_needs(mut self, needs: Capabilities) -> Self {
        self.needs = needs;
        self
    }
}

/// A server that was chosen.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Choice {
    /// The server.
    pub server: ServerIndex,
    /// The estimated number of requests that run or wait there, per slot.
    pub load: f64,
    /// How near the server is.
    pub proximity: Proximity,
}

/// Why no server was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoServer {
    /// No server offers the model or service.
    Unloaded,
    /// Every server that offers it is draining, lacks a capability or was already tried.
    Unfit,
}

/// A change that an operator should see.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Notice {
    /// A server was ejected.
    Ejected(ServerId, EjectionCause),
    /// A server came back from its ejection.
    Returned(ServerId),
    /// Requests begin to spill out of a tier if true, or stop.
    Spilled(Proximity, bool),
}

/// Why a server was ejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EjectionCause {
    /// The server failed too many requests in a row.
    Failures,
    /// The server has work and makes no progress.
    Stalled,
}
