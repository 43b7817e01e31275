//! The descriptions that entries and agents give of themselves.

use std::net::SocketAddr;

use snipemast_core::data;
use snipemast_core::prelude::*;

data! {
    /// An entry's description of itself.
    pub struct NodeCard {
        /// The entry.
        pub process: ProcessId,
        /// The address at which the system's own processes reach it.
        pub address: SocketAddr,
        /// Its availability zone.
        pub zone: ZoneId,
        /// Its region.
        pub region: RegionId,
        /// Whether it is draining.
        pub draining: bool,
    }

    /// An agent's description of itself and its backend server; its load is not part of it.
    pub struct AgentCard {
        /// The agent.
        pub agent: ProcessId,
        /// The address at which it listens.
        pub address: SocketAddr,
        /// Its availability zone.
        pub zone: ZoneId,
        /// Its region.
        pub region: RegionId,
        /// A number that the agent raises whenever its description changes.
        pub news: u64,
        /// Whether it refuses new dispatches.
        pub draining: bool,
        /// What its backend server offers.
        pub info: ServerInfo,
    }
}

impl AgentCard {
    /// Whether this card is newer than another card of the same host.
    ///
    /// Two entries may hold different cards of one agent for a moment. Draining breaks a tie, so
    /// that an entry that hasn't heard of it yet never brings back an agent that is leaving.
    pub fn is_newer_than(&self, other: &Self) -> bool {
        self.order_key() > other.order_key()
    }

    fn order_key(&self) -> (Incarnation, u64, bool) {
        (self.agent.incarnation, self.news, self.draining)
    }
}
