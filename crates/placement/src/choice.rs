//! The inputs and the result of choosing a server for a request.

use std::net::SocketAddr;

use snipemast_core::prelude::*;

use crate::outage::AllowedPools;
use crate::pools::Pool;

/// The server that was chosen for a request, as the gateway saw it at that time.
#[derive(Debug, Clone)]
pub struct Choice {
    /// The chosen server.
    pub server: ServerId,
    /// The pool that the server runs and stalls with.
    pub pool: Pool,
    /// The start of the server.
    pub start: Incarnation,
    /// The address at which the server takes requests.
    pub address: SocketAddr,
    /// The number of requests that were believed to be in flight at the server.
    pub load: u32,
    /// The age of the other gateways' part of that number.
    pub load_age: Span,
    /// Whether the server names a limit.
    pub limited: bool,
    /// Whether the server announced that it is leaving.
    pub leaving: bool,
    /// The number of servers that were skipped because of their limits.
    pub skipped_limited: usize,
    /// The number of servers that were skipped because they rest.
    pub skipped_resting: usize,
}

/// Restricts the servers that a request may be sent to.
#[derive(Debug, Clone, Copy)]
pub struct Constraints<'a> {
    /// The service of the request.
    pub service: &'a ServiceId,
    /// The pools of the service that may be used.
    pub allowed: &'a AllowedPools,
    /// Servers that may not be used.
    pub excluded: &'a [ServerId],
}

impl Constraints<'_> {
    pub(crate) fn allow(&self, announced: &AnnouncedServer) -> bool {
        self.concern(announced) && !self.excluded.contains(&announced.server)
    }

    /// Whether a server's service and pool are allowed.
    pub(crate) fn concern(&self, announced: &AnnouncedServer) -> bool {
        announced.pool.service == *self.service && self.allowed.allows(&announced.pool)
    }
}

/// The reason why no server was chosen.
///
/// The order matters: where servers are skipped for several reasons, the greatest one is reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Unplaced {
    /// No server is known.
    Nobody,
    /// All servers refused the request before, without running it.
    AllExcluded,
    /// All servers are in evacuated availability zones.
    Evacuated,
    /// All servers are ejected after failures.
    AllOut,
    /// All servers that are not ejected are cold, and this gateway's next turns come later.
    AllCold,
    /// All servers that are not ejected asked this gateway for rest.
    AllResting,
    /// All servers that are not ejected name limits, and have been sent as much as they take.
    AllLimited,
    /// All servers have as many requests as they should.
    AllFull,
    /// The request was sent before, and no retry is left.
    Spent,
    /// The service is out.
    Out,
    /// The answer could no longer end in time.
    TooLong,
    /// Servers ended while they ran the request or others with a part of it, and it is decided soon whether it
    /// crashes them.
    Undecided,
    /// Several servers ended while they ran the request, or others with a part of it.
    Quarantined,
}

impl Unplaced {
    /// Whether the reason lies in what the request has been through, so that other requests may find a server.
    pub fn is_own(self) -> bool {
        matches!(self, Self::AllExcluded | Self::Spent)
    }
}

/// A server that may be sent requests, as it announced itself.
#[derive(Debug, Clone)]
pub struct AnnouncedServer {
    /// The server's id.
    pub server: ServerId,
    /// The start of the server.
    pub start: Incarnation,
    /// The pool that the server runs and stalls with.
    pub pool: Pool,
    /// The address at which the server takes requests.
    pub address: SocketAddr,
    /// The server's availability zone.
    pub zone: ZoneId,
    /// The number of requests that the server runs at once.
    pub slots: u32,
    /// When the server first said in an answer that it is leaving, if it did.
    pub leaving_since: Option<Moment>,
    /// Until when the server is cold, as far as it has said.
    pub cold_until: Moment,
}
