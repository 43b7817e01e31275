//! The messages of the protocol, between entries and from agents to entries.

use std::net::SocketAddr;

use snipemast_core::data;
use snipemast_core::prelude::*;

use crate::card::{AgentCard, NodeCard};
use crate::owned::Delta;
use crate::piggyback::PiggybackValue;
use crate::table::Verdict;

data! {
    /// A message between two entries: both the request and the answer of an exchange.
    pub struct Packet {
        /// The sender.
        pub from: NodeCard,
        /// The version of the sender's own set.
        pub version: u64,
        /// The checksum over all of the sender's rows, if the sender has heard no news for a while.
        pub sum: Option<u32>,
        /// What the sender asks for.
        pub ask: Ask,
        /// The versions that the sender has. The receiver sends later rows, and asks for rows of
        /// which it has an earlier version.
        pub marks: Vec<Mark>,
        /// The buckets of rows that the marks list in full.
        pub listed: Vec<u8>,
        /// Verdicts on entries.
        pub verdicts: Vec<Verdict>,
        /// Changes of owned sets, to be passed on.
        pub deltas: Vec<Delta>,
        /// Changes that the receiver has missed, not to be passed on.
        pub sync: Vec<Delta>,
        /// Small values of other packages.
        #[serde(rename = "riders")]
        pub piggyback: Vec<PiggybackValue>,
        /// Loads of agents, within a zone.
        pub loads: Vec<AgentLoad>,
        /// Summaries of pools, across zones.
        pub pools: Vec<PoolSummary>,
    }

    /// What an exchange asks for besides the news.
    pub enum Ask {
        /// Nothing.
        Nothing,
        /// To compare the rows: the checksum of each bucket of rows.
        Compare(Vec<u32>),
        /// All rows, by host, after this one.
        Join(Option<HostId>),
        /// The answer to a join: the host after which the next page starts, if there is one.
        Joined(Option<HostId>),
    }

    /// The version that a process has of one owner's row.
    pub struct Mark {
        /// The owner's host.
        pub host: HostId,
        /// The owner's incarnation, or 0 if it is not known.
        pub incarnation: Incarnation,
        /// The version of the owner's set.
        pub version: u64,
    }

    /// The load of one agent.
    pub struct AgentLoad {
        /// The agent's host.
        pub host: HostId,
        /// The load; its age is the time from the report to the sending of this message.
        pub load: Load,
    }

    /// A backend server's load in compact form.
    #[derive(Copy, Default)]
    pub struct Load {
        /// The number of running requests.
        pub running: u32,
        /// The number of waiting requests.
        pub waiting: u32,
        /// The mean time of a step, in microseconds.
        pub step: u32,
        /// The number of starts of the engine that have died.
        pub restarts: u32,
        /// The age of the report, in milliseconds.
        pub age: u32,
    }

    /// A summary of all backend servers of a zone that have one offer.
    pub struct PoolSummary {
        /// The zone.
        pub zone: ZoneId,
        /// The offer.
        pub offer: String,
        /// The number of servers that accept new work.
        pub servers: u32,
        /// The number of requests that they run at once.
        pub slots: u32,
        /// The number of requests that run or wait.
        pub load: u32,
    }

    /// A message of an agent to an entry.
    pub enum AgentMessage {
        /// The agent describes itself and asks for a lease.
        Enrol {
            /// The agent.
            card: Box<AgentCard>,
            /// The agent's load.
            load: Load,
        },
        /// The agent renews its lease.
        Renew {
            /// The agent.
            agent: ProcessId,
            /// The number of its latest description.
            news: u64,
            /// The agent's load.
            load: Load,
            /// Whether the answer should name other entries.
            ask: bool,
        },
        /// The agent ends.
        Leave {
            /// The agent.
            agent: ProcessId,
        },
    }

    /// An entry's answer to an agent.
    pub enum LeaseReply {
        /// The lease is granted or renewed.
        Granted {
            /// How long the lease runs.
            lease: Span,
            /// Whether the entry is draining, so that the agent should move to another one.
            leaving: bool,
            /// Other entries of the zone; empty in most answers.
            others: Vec<SocketAddr>,
        },
        /// The entry doesn't know the agent's latest description; the agent should enrol.
        Unknown,
        /// The entry has its share of agents; the agent should try another entry.
        Busy {
            /// Other entries of the zone.
            others: Vec<SocketAddr>,
        },
        /// Another process runs under the agent's host name.
        Superseded {
            /// The other process.
            by: ProcessId,
            /// The address at which it listens.
            address: SocketAddr,
        },
    }
}

impl Load {
    /// Returns the number of requests that run or wait.
    pub const fn total(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}

impl From<LoadReport> for Load {
    fn from(report: LoadReport) -> Self {
        let clip = |n: u64| u32::try_from(n).unwrap_or(u32::MAX);
        Self {
            running: report.running,
            waiting: report.waiting,
            step: clip(report.step.as_micros()),
            restarts: report.restarts,
            age: clip(report.age.as_millis()),
        }
    }
}

impl From<Load> for LoadReport {
    fn from(load: Load) -> Self {
        Self {
            running: load.running,
            waiting: load.waiting,
            step: Span::from_micros(load.step.into()),
            age: Span::from_millis(load.age.into()),
            restarts: load.restarts,
        }
    }
}
