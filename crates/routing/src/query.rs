//! What is asked of the choice, and what it says.

use snipemast_core::prelude::*;

use crate::health::HealthPolicy;
use crate::pool::{Proximity, SpillPolicy};
use crate::prefix::{Prefix, PrefixPolicy};
use crate::wanted::Wanted;

/// How servers are weighed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RoutingPolicy {
    /// How many servers are drawn and compared.
    pub draws: usize,
    /// The age at which half of a report's word on other entries is believed.
    pub fade: Span,
    /// How old a tier's means may be.
    pub refresh: Span,
    /// When a server is held for ill.
    pub health: HealthPolicy,
    /// When requests spill into another zone.
    pub spill: SpillPolicy,
    /// How far a cached prefix may draw requests.
    pub prefix: PrefixPolicy,
}

impl Default for RoutingPolicy {
    fn default() -> Self {
        Self {
            draws: 2,
            fade: Span::from_millis(1_000),
            refresh: Span::from_millis(20),
            health: HealthPolicy::default(),
            spill: SpillPolicy::default(),
            prefix: PrefixPolicy::default(),
        }
    }
}

/// A server's position in the table; it is reused after the server left.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerIndex(pub(crate) u32);

/// What is asked of the choice.
#[derive(Debug, Clone, Copy)]
pub struct Query<'a> {
    /// What the server must offer.
    pub wanted: &'a Wanted,
    /// What its engine must be able to do.
    pub needs: Capabilities,
    /// The prompt's prefix.
    pub prefix: Option<Prefix>,
    /// The servers that were tried and are left out.
    pub tried: &'a [ProcessId],
    /// Whether requests wait at the entry.
    pub backlog: bool,
}

impl<'a> Query<'a> {
    /// Asks for a server that offers this.
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

    /// Leaves out the servers that were tried.
    #[must_use]
    pub fn with_tried(mut self, tried: &'a [ProcessId]) -> Self {
        self.tried = tried;
        self
    }

    /// Says whether requests wait at the entry.
    #[must_use]
    pub fn with_backlog(mut self, backlog: bool) -> Self {
        self.backlog = backlog;
        self
    }

    /// Asks for a server whose engine can do this.
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
    /// Requests that run or wait there, a slot, as far as one can tell.
    pub load: f64,
    /// How near it is.
    pub proximity: Proximity,
}

/// Why no server was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoServer {
    /// Nothing offers it.
    Unloaded,
    /// What offers it is draining, suspect, ejected, unable or tried.
    Unfit,
}

/// Something that an operator should see.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Notice {
    /// A server was ejected.
    Ejected(ServerId, EjectionCause),
    /// A server came back from its ejection.
    Returned(ServerId),
    /// Requests begin to spill out of a tier, or stop.
    Spilled(Proximity, bool),
}

/// Why a server was ejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EjectionCause {
    /// It failed requests in a row.
    Failures,
    /// It has work and shows no progress.
    Stalled,
}
