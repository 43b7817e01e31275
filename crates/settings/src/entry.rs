//! The settings of `snipemast serve`.

use std::net::SocketAddr;
use std::path::PathBuf;

use snipemast_config::KeyHash;
use snipemast_core::data;
use snipemast_core::prelude::*;

use crate::address::{check_peers, check_reachable, duplicate_addresses};
use crate::agent::AgentLimits;
use crate::check::Settings;
use crate::fault::{Fault, FaultKind};

data! {
    /// The settings of one entry host.
    #[serde(deny_unknown_fields)]
    pub struct EntrySettings {
        /// The host's name.
        pub host: HostId,
        /// The host's availability zone.
        pub zone: ZoneId,
        /// The host's region.
        pub region: RegionId,
        /// The address at which callers connect.
        pub callers: SocketAddr,
        /// The address at which the system's other processes connect.
        pub own: SocketAddr,
        /// The address at which operators connect. Only control hosts need it.
        #[serde(default)]
        pub operators: Option<SocketAddr>,
        /// The `own` addresses of some other entry hosts.
        #[serde(default)]
        pub seeds: Vec<SocketAddr>,
        /// The settings of the control role, on the few hosts that have it.
        #[serde(default)]
        pub control: Option<ControlSettings>,
        /// The folder of the local copy of the configuration, on hosts with a disk.
        #[serde(default)]
        pub data: Option<PathBuf>,
        /// The address to which metrics are sent, by statsd over UDP.
        #[serde(default)]
        pub statsd: Option<SocketAddr>,
        /// Bounds and timeouts.
        #[serde(default)]
        pub limits: EntryLimits,
    }

    /// The settings of a host's control role.
    #[serde(deny_unknown_fields)]
    pub struct ControlSettings {
        /// The folder of the replicated log.
        #[serde(default)]
        pub data: Option<PathBuf>,
        /// Whether the log of a single voter is kept in memory instead. All patches are lost when
        /// the process ends, so that this is only for demonstrations.
        #[serde(default)]
        pub forgetful: bool,
        /// The `own` addresses of all voters at the first start.
        pub voters: Vec<SocketAddr>,
        /// The hash of the key with write access until the configuration names operators. Without
        /// it, nobody has write access until then.
        #[serde(default)]
        pub operator: Option<KeyHash>,
    }

    /// Bounds and timeouts of an entry host.
    #[serde(deny_unknown_fields, default)]
    pub struct EntryLimits {
        /// The largest request body.
        pub body: Size,
        /// The deadline of a request whose caller names none.
        pub deadline: Span,
        /// The duration of an agent's lease.
        pub lease: Span,
        /// How long the claims of request keys and the suspicions of requests are kept.
        pub hold: Span,
        /// How long a host that is leaving still accepts requests, so that the load balancer in
        /// front of it learns of that first.
        pub notice: Span,
        /// How long a shutdown waits for requests in flight.
        pub shutdown: Span,
        /// How long a connection may be silent before it counts as dead.
        pub silence: Span,
        /// The number of events that are kept in memory.
        pub events: u32,
        /// The number of threads that run the process's tasks, or 0 for one per core.
        pub threads: u32,
        /// The log level: `info`, or `debug` to log the events of single requests too.
        pub log: LogLevel,
    }
}

impl Default for EntryLimits {
    fn default() -> Self {
        Self {
            body: Size::from_mib(8),
            deadline: Span::from_secs(120),
            lease: Span::from_secs(3),
            hold: Span::from_secs(300),
            notice: Span::from_secs(2),
            shutdown: Span::from_secs(60),
            silence: Span::from_secs(2),
            events: 4_096,
            threads: 0,
            log: LogLevel::Info,
        }
    }
}

impl Settings for EntrySettings {
    const SAMPLE: &'static str = r#"
host = "entry-1"
zone = "zone-1"
region = "region-1"
callers = "10.0.0.1:8080"
own = "10.0.0.1:7001"

[control]
data = "/var/lib/snipemast/control"
voters = ["10.0.0.1:7001"]
"#;

    fn conflicts(&self) -> Vec<Fault> {
        let addresses = [
            ("callers", Some(self.callers)),
            ("own", Some(self.own)),
            ("operators", self.operators),
        ];
        let mut faults = duplicate_addresses(addresses);
        faults.extend(check_reachable("own", self.own));
        faults.extend(check_peers("seeds", &self.seeds));
        if let Some(index) = self.seeds.iter().position(|seed| *seed == self.own) {
            let kind = FaultKind::Duplicate("own".into());
            faults.push(Fault::new(format!("seeds[{index}]"), kind));
        }
        if let Some(control) = &self.control {
            faults.extend(control.conflicts(self.own));
        }
        if self.limits != EntryLimits::default() {
            faults.extend(self.limits.conflicts());
        }
        faults
    }
}

impl ControlSettings {
    fn conflicts(&self, own: SocketAddr) -> Vec<Fault> {
        let mut faults = check_peers("control.voters", &self.voters);
        if self.data.is_none() && !self.forgetful {
            faults.push(Fault::new("control.data", FaultKind::Missing));
        }
        if self.forgetful && self.voters.len() > 1 {
            let why = "voters that forget their log could elect two leaders";
            let kind = FaultKind::TooLarge("1".into(), why);
            faults.push(Fault::new("control.voters", kind));
        }
        if self.voters.len().is_multiple_of(2) {
            let kind = FaultKind::EvenVoters(self.voters.len());
            faults.push(Fault::new("control.voters", kind));
        }
        if !self.voters.is_empty() && !self.voters.contains(&own) {
            faults.push(Fault::new("control.voters", FaultKind::NotVoter));
        }
        faults
    }
}

impl EntryLimits {
    fn conflicts(&self) -> Vec<Fault> {
        let agent = AgentLimits::default();
        let mut faults = Vec::new();
        let least = agent.announce.times(2);
        if self.lease < least {
            let why = "agents announce themselves each second, and one announcement may be lost";
            faults.push(Fault::below("limits.lease", least, why));
        }
        let least = agent.beat.times(2);
        if self.silence < least {
            let why = "agents send a heartbeat each half second while a server is silent";
            faults.push(Fault::below("limits.silence", least, why));
        }
        if self.deadline < self.silence {
            let why = "a request must outlive one dead connection";
            faults.push(Fault::below("limits.deadline", self.silence, why));
        }
        if self.hold < self.deadline {
            let why = "a key must outlive every attempt that was made for it";
            faults.push(Fault::below("limits.hold", self.deadline, why));
        }
        if self.body == Size::default() {
            let kind = FaultKind::TooSmall("1B".into(), "no request would fit");
            faults.push(Fault::new("limits.body", kind));
        }
        if self.events == 0 {
            let kind = FaultKind::TooSmall("1".into(), "the time line would be empty");
            faults.push(Fault::new("limits.events", kind));
        }
        faults
    }
}
