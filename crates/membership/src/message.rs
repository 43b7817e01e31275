//! The messages of the protocol: entry to entry, and agent to entry.

use std::net::SocketAddr;

use snipemast_core::data;
use snipemast_core::prelude::*;

use crate::card::{AgentCard, NodeCard};
use crate::owned::Delta;
use crate::riders::Rider;
use crate::table::Verdict;

data! {
    /// What two entries tell each other: both the request and the answer of an exchange.
    pub struct Packet {
        /// The sender.
        pub from: NodeCard,
        /// The version of the sender's own set.
        pub version: u64,
        /// The sum over all of the sender's rows, where it has heard no news for a while.
        pub sum: Option<u32>,
        /// What the sender asks for.
        pub ask: Ask,
        /// What the sender has: the receiver sends what is later, or asks for it.
        pub marks: Vec<Mark>,
        /// The buckets of rows that the marks list in full.
        pub listed: Vec<u8>,
        /// Verdicts on entries.
        pub verdicts: Vec<Verdict>,
        /// News of owned sets, to be passed on.
        pub deltas: Vec<Delta>,
        /// Owned sets that the receiver was behind with, for itself alone.
        pub sync: Vec<Delta>,
        /// Small values of other packages.
        pub riders: Vec<Rider>,
        /// Loads of agents, within a zone.
        pub loads: Vec<LoadNote>,
        /// Summaries of pools, across zones.
        pub pools: Vec<PoolNote>,
    }

    /// What an exchange asks for besides the news.
    pub enum Ask {
        /// Nothing.
        Nothing,
        /// To compare: a sum over each bucket of rows.
        Compare(Vec<u32>),
        /// Everything, by host, after this one.
        Join(Option<HostId>),
        /// The answer to a join: whether more follows, after which host.
        Joined(Option<HostId>),
    }

    /// How far a process knows one owner.
    pub struct Mark {
        /// The owner's host.
        pub host: HostId,
        /// Its incarnation, or 0 where it is not known.
        pub incarnation: Incarnation,
        /// The version of its set.
        pub version: u64,
    }

    /// One agent's load.
    pub struct LoadNote {
        /// The agent's host.
        pub host: HostId,
        /// The load; its age counts from the report to the sending.
        pub load: Load,
    }

    /// A backend server's load, small.
    #[derive(Copy, Default)]
    pub struct Load {
        /// Requests that run.
        pub running: u32,
        /// Requests that wait.
        pub waiting: u32,
        /// The mean time of a step, in microseconds.
        pub step: u32,
        /// Dead starts of the engine.
        pub restarts: u32,
        /// How old it is, in milliseconds.
        pub age: u32,
    }

    /// All backend servers of a zone that offer one thing.
    pub struct PoolNote {
        /// The zone.
        pub zone: ZoneId,
        /// What they offer.
        pub offer: String,
        /// How many there are that take new work.
        pub servers: u32,
        /// Requests that they run at once.
        pub slots: u32,
        /// Requests that run or wait.
        pub load: u32,
    }

    /// What an agent tells an entry.
    pub enum AgentMessage {
        /// Who it is; grants a lease.
        Enrol {
            /// The agent.
            card: Box<AgentCard>,
            /// Its load.
            load: Load,
        },
        /// It is still there.
        Renew {
            /// The agent.
            agent: ProcessId,
            /// The number of its latest news.
            news: u64,
            /// Its load.
            load: Load,
            /// Whether the answer should name other entries.
            ask: bool,
        },
        /// It has ended.
        Leave {
            /// The agent.
            agent: ProcessId,
        },
    }

    /// An entry's answer to an agent.
    pub enum LeaseReply {
        /// The lease runs.
        Granted {
            /// For how long.
            lease: Span,
            /// Whether the entry is on its way out, and the agent should move.
            leaving: bool,
            /// Other entries of the zone; empty in most answers.
            others: Vec<SocketAddr>,
        },
        /// The entry does not know the agent in its latest news: it should enrol.
        Unknown,
        /// The entry has its share: the agent should try another.
        Busy {
            /// Other entries of the zone.
            others: Vec<SocketAddr>,
        },
        /// Another process runs under the agent's host name.
        Superseded {
            /// The other process.
            by: ProcessId,
            /// Where it listens.
            address: SocketAddr,
        },
    }
}

impl Load {
    /// Requests that run or wait.
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
