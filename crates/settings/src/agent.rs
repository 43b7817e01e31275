//! The settings of `snipemast-agent`.

use std::net::SocketAddr;

use snipemast_core::data;
use snipemast_core::prelude::*;

data! {
    /// What one agent needs to know before it starts.
    #[serde(deny_unknown_fields)]
    pub struct AgentSettings {
        /// The host's name.
        pub host: HostId,
        /// Its availability zone.
        pub zone: ZoneId,
        /// Its region.
        pub region: RegionId,
        /// Where the system's own processes connect.
        pub own: SocketAddr,
        /// Where the backend server listens.
        pub server: SocketAddr,
        /// The `own` addresses of a few entry hosts of the zone.
        pub seeds: Vec<SocketAddr>,
        /// Where metrics are sent, by statsd over UDP.
        #[serde(default)]
        pub statsd: Option<SocketAddr>,
        /// Bounds and timeouts.
        #[serde(default)]
        pub limits: AgentLimits,
    }

    /// Bounds and timeouts of an agent.
    #[serde(deny_unknown_fields, default)]
    pub struct AgentLimits {
        /// How often the agent announces itself.
        pub announce: Span,
        /// How often it reads the backend server's load.
        pub report: Span,
        /// How often it sends a beat while the backend server is silent.
        pub beat: Span,
        /// How long a shutdown waits for dispatches in flight.
        pub shutdown: Span,
        /// How many dispatches the ledger remembers.
        pub ledger: u32,
        /// How many bytes of answers are kept for resuming.
        pub answers: Size,
        /// How many events the ring keeps.
        pub events: u32,
    }
}

impl Default for AgentLimits {
    fn default() -> Self {
        Self {
            announce: Span::from_secs(1),
            report: Span::from_millis(250),
            beat: Span::from_millis(500),
            shutdown: Span::from_secs(60),
            ledger: 100_000,
            answers: Size::from_mib(16),
            events: 2_048,
        }
    }
}
