//! What the choice of a server is asked and given, and what it says.

use std::net::SocketAddr;

use snipemast_core::prelude::*;

use crate::outage::AllowedPools;
use crate::pools::Pool;

/// One server as a request is placed.
#[derive(Debug, Clone)]
pub struct Choice {
    /// The server.
    pub server: ServerId,
    /// The servers that it runs and stalls together with.
    pub pool: Pool,
    /// Which start of it.
    pub start: Incarnation,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// What was believed to be in flight there.
    pub load: u32,
    /// How old the other gateways' part of that is.
    pub age: Span,
    /// Whether it names a limit.
    pub limited: bool,
    /// Whether it said that it leaves.
    pub leaving: bool,
    /// How many servers were left out because of their limits.
    pub passed: usize,
    /// How many servers were left out because they rest.
    pub rested: usize,
}

/// Which servers a request may be sent to.
#[derive(Debug, Clone, Copy)]
pub struct Constraints<'a> {
    /// The service.
    pub service: &'a ServiceId,
    /// Which of its pools are open.
    pub allowed: &'a AllowedPools,
    /// Servers that are left out.
    pub excluded: &'a [ServerId],
}

impl Constraints<'_> {
    pub(crate) fn holds(&self, offered: &AnnouncedServer) -> bool {
        offered.pool.service == *self.service
            && self.allowed.holds(&offered.pool)
            && !self.excluded.contains(&offered.server)
    }
}

/// Why no server is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Unplaced {
    /// None is known that may be sent to.
    Nobody,
    /// All are left out after failures.
    AllOut,
    /// All that are not left out after failures asked this gateway for rest.
    AllResting,
    /// All that are not left out name limits, and have been sent what they take.
    AllLimited,
    /// All have as much as they should.
    AllFull,
    /// It was sent already, and no repeat is left.
    Spent,
    /// The service is out.
    Out,
    /// Its answer could not end in time any more.
    TooLong,
}

/// A server that may be sent to, as it announced itself.
#[derive(Debug, Clone)]
pub struct AnnouncedServer {
    /// The server.
    pub server: ServerId,
    /// Which start of it.
    pub start: Incarnation,
    /// The servers that it runs and stalls together with.
    pub pool: Pool,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// How many requests it runs at once.
    pub slots: u32,
    /// When it said first in an answer that it leaves, if it did.
    pub leaving_since: Option<Moment>,
}
