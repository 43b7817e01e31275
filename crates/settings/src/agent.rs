//! The settings of `snipemast-agent`.

use std::net::SocketAddr;

use snipemast_core::data;
use snipemast_core::prelude::*;

use crate::address::{check_peers, check_reachable, duplicate_addresses};
use crate::check::Settings;
use crate::entry::EntryLimits;
use crate::fault::{Fault, FaultKind};

data! {
    /// The settings of one agent.
    #[serde(deny_unknown_fields)]
    pub struct AgentSettings {
        /// The host's name.
        pub host: HostId,
        /// The host's availability zone.
        pub zone: ZoneId,
        /// The host's region.
        pub region: RegionId,
        /// The address at which the system's other processes connect.
        pub own: SocketAddr,
        /// The address at which the backend server listens.
        pub server: SocketAddr,
        /// The `own` addresses of some entry hosts of the zone.
        pub seeds: Vec<SocketAddr>,
        /// The address to which metrics are sent, by statsd over UDP.
        #[serde(default)]
        pub statsd: Option<SocketAddr>,
        /// Bounds and timeouts.
        #[serde(default)]
        pub limits: AgentLimits,
    }

    /// Bounds and timeouts of an agent.
    #[serde(deny_unknown_fields, default)]
    pub struct AgentLimits {
        /// The interval at which the agent announces itself.
        pub announce: Span,
        /// The interval at which the agent reads the backend server's load.
        pub report: Span,
        /// The interval at which the agent sends heartbeats while the backend server is silent.
        pub beat: Span,
        /// How long a shutdown waits for dispatches in flight.
        pub shutdown: Span,
        /// The number of dispatches that the ledger keeps.
        pub ledger: u32,
        /// The size of the answers that are kept so that they can be resumed.
        pub answers: Size,
        /// The number of events that are kept in memory.
        pub events: u32,
        /// The number of threads that run the process's tasks, or 0 for one per core.
        pub threads: u32,
        /// The log level: `info`, or `debug` to log the events of single requests too.
        pub log: LogLevel,
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
            threads: 2,
            log: LogLevel::Info,
        }
    }
}

impl Settings for AgentSettings {
    const SAMPLE: &'static str = r#"
host = "agent-1"
zone = "zone-1"
region = "region-1"
own = "10.0.1.1:7101"
server = "127.0.0.1:9000"
seeds = ["10.0.0.1:7001"]
"#;

    fn conflicts(&self) -> Vec<Fault> {
        let mut faults =
            duplicate_addresses([("own", Some(self.own)), ("server", Some(self.server))]);
        faults.extend(check_reachable("own", self.own));
        faults.extend(check_reachable("server", self.server));
        faults.extend(check_peers("seeds", &self.seeds));
        if self.seeds.is_empty() {
            let kind = FaultKind::TooSmall("1".into(), "the agent would announce itself to nobody");
            faults.push(Fault::new("seeds", kind));
        }
        faults.extend(self.limits.conflicts());
        faults
    }
}

impl AgentLimits {
    fn conflicts(&self) -> Vec<Fault> {
        let entry = EntryLimits::default();
        let mut faults = Vec::new();
        for (key, span) in [
            ("limits.announce", self.announce),
            ("limits.report", self.report),
            ("limits.beat", self.beat),
        ] {
            if span == Span::default() {
                let least = Span::from_millis(1);
                faults.push(Fault::below(
                    key,
                    least,
                    "the agent would repeat it without a pause",
                ));
            }
        }
        let most = Span::from_micros(entry.lease.as_micros() / 2);
        if self.announce > most {
            let why = "the lease at entry hosts would expire if one announcement were lost";
            faults.push(Fault::above("limits.announce", most, why));
        }
        let most = Span::from_micros(entry.silence.as_micros() / 2);
        if self.beat > most {
            let why = "entry hosts count a connection without heartbeats as dead";
            faults.push(Fault::above("limits.beat", most, why));
        }
        for (key, count) in [
            ("limits.ledger", self.ledger),
            ("limits.events", self.events),
        ] {
            if count == 0 {
                let kind = FaultKind::TooSmall("1".into(), "nothing would be remembered");
                faults.push(Fault::new(key, kind));
            }
        }
        faults
    }
}
