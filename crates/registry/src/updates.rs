//! The polls that gateways, sidecars and controllers send to a controller, and its answers.
//!
//! A poll names the state that the poller has. The controller answers as soon as it has changes, or after a
//! bounded wait. The next poll thus acknowledges the previous answer.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};

use snipemast_core::data;
use snipemast_core::hash::mix;
use snipemast_core::prelude::*;
use snipemast_placement::{OutcomeCount, Suspect};

use crate::crashes::CrashUpdate;
use crate::grants::{Demand, Grant};
use crate::last_seen::SeenServer;
use crate::leaving::LeavingServer;
use crate::relays::Coverage;
use crate::table::Entry;

/// The path of a poll.
pub const PATH: &str = "/news";

/// The number of requests in flight, by server.
///
/// It is a plain map to keep the messages short: 149 gateways receive the counts of 198 servers
/// four times a second. With a name for each field they took twice the bytes, 3.7 MB/s of a
/// controller's link and most of it between availability zones.
pub type InFlight = BTreeMap<ServerId, u32>;

data! {
    /// A position in the history of a controller's table.
    #[derive(Copy, Default)]
    pub struct Cursor {
        /// A number that the controller's process draws when it starts.
        pub epoch: u64,
        /// The revision of the table.
        #[serde(rename = "place")]
        pub revision: u64,
    }

    /// The kind of process that polls.
    #[derive(Copy)]
    pub enum PollerKind {
        /// An entry host.
        Gateway,
        /// Another control host.
        Controller,
        /// A process beside a rank.
        Sidecar,
    }

    /// A server that takes longer than usual.
    pub struct SlowServer {
        /// The server.
        pub server: ServerId,
        /// How much longer it takes, in hundredths of the usual time.
        pub pace: u32,
    }

    /// What the poller has, and what it wants.
    pub struct Poll {
        /// The poller's host.
        pub host: HostId,
        /// The poller's kind.
        pub kind: PollerKind,
        /// The poller's availability zone.
        #[serde(default)]
        pub zone: Option<ZoneId>,
        /// The configuration version that the poller has in force.
        pub version: Version,
        /// The highest version that this controller has announced to it.
        #[serde(rename = "told")]
        pub announced: Version,
        /// How much of the controller's table the poller has.
        pub cursor: Cursor,
        /// The [`controllers_digest`] of the controllers that the poller knows of; 0 if it knows none.
        #[serde(default)]
        pub controllers_digest: u64,
        /// The revision of the evacuations that the poller has in force; none if it needs none
        /// of their changes.
        #[serde(default)]
        pub evacuations: Option<u64>,
        /// Whether the answer may leave the entries out, because other controllers pass them on to the
        /// poller.
        #[serde(default)]
        pub without_entries: bool,
        /// Whether the poller is a controller that keeps the entries it received. Others get all entries with
        /// every answer.
        #[serde(default)]
        pub incremental: bool,
        /// Whether the answer should list the servers with recent heartbeats.
        #[serde(default, rename = "wants_heard")]
        pub wants_last_seen: bool,
        /// How long the answer may wait for changes.
        pub wait: Span,
        /// The poller's own requests in flight, if this controller adds them up.
        #[serde(rename = "flying")]
        pub in_flight: InFlight,
        /// The slow servers of the poller's group, if it leads one.
        pub slow: Vec<SlowServer>,
        /// The poller's view of servers' limits and the requests that it would send there, if this controller
        /// grants that.
        pub demands: Vec<Demand>,
        /// The servers that don't answer the poller, if this controller leads.
        #[serde(rename = "still")]
        pub silent: Vec<ServerId>,
        /// The servers whose answers announced to the poller that they are leaving, if this controller leads and
        /// hasn't reported them.
        pub leaving: Vec<LeavingServer>,
        /// How requests of the poller ended lately at servers that failed some, if this controller
        /// leads.
        #[serde(default)]
        pub outcomes: Vec<OutcomeCount>,
        /// The requests whose servers ended, as the poller knows them.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub crashes: Option<CrashUpdate>,
    }

    /// A controller's answer to a poll.
    pub struct Update {
        /// The position up to which the entries reach.
        pub cursor: Cursor,
        /// What changed in the table.
        pub entries: Vec<Entry>,
        /// How much of the other controllers' tables the entries cover, for pollers of this
        /// controller's availability zone.
        #[serde(default)]
        pub covered: Vec<Coverage>,
        /// The servers with recent heartbeats, if the poller requested them.
        #[serde(default, rename = "heard")]
        pub last_seen: Vec<SeenServer>,
        /// The highest committed version that this controller knows.
        pub version: Version,
        /// The evacuated availability zones, if they changed since the revision that the poller has.
        #[serde(default)]
        pub evacuations: Option<Evacuations>,
        /// The controller's availability zone.
        pub zone: ZoneId,
        /// The addresses at which all controllers accept polls; empty if the poller knows them.
        pub controllers: Vec<SocketAddr>,
        /// The address at which the leader accepts polls.
        pub leader: Option<SocketAddr>,
        /// The number of gateways that poll.
        pub gateways: u32,
        /// The number of gateways that poll and are in the poller's availability zone.
        #[serde(default)]
        pub local_gateways: u32,
        /// The requests in flight of all other gateways.
        #[serde(rename = "flying")]
        pub in_flight: InFlight,
        /// The mean age of those gateways' counts.
        pub age: Span,
        /// The slow servers of all groups.
        pub slow: Vec<SlowServer>,
        /// The servers that don't answer some gateway.
        #[serde(rename = "still")]
        pub silent: Vec<ServerId>,
        /// The servers that fail by the reports of several gateways.
        #[serde(default)]
        pub suspects: Vec<Suspect>,
        /// The requests that the poller may send to servers that name limits, or `None` if this
        /// controller doesn't know.
        pub grants: Option<Vec<Grant>>,
        /// The requests whose servers ended, as this controller knows them.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub crashes: Option<CrashUpdate>,
    }
}

/// Returns a number that identifies a set of controllers, in any order.
///
/// Answers name controllers only where they changed: their names make up much of an empty answer,
/// which each controller sends to each gateway once a second.
pub fn controllers_digest(controllers: impl IntoIterator<Item = SocketAddr>) -> u64 {
    let digest = |address: SocketAddr| {
        let ip = match address.ip() {
            IpAddr::V4(ip) => u128::from(ip.to_ipv6_mapped()),
            IpAddr::V6(ip) => u128::from(ip),
        };
        mix(mix((ip >> 64) as u64) ^ mix(ip as u64) ^ u64::from(address.port()))
    };
    controllers
        .into_iter()
        .map(digest)
        .fold(0, u64::wrapping_add)
}

impl Cursor {
    /// Whether it is at or after another position in the same table.
    pub fn reaches(self, other: Self) -> bool {
        self.epoch == other.epoch && self.revision >= other.revision
    }
}

impl Poll {
    /// Returns the revision of a table after which the poller needs its changes. `epoch` is the
    /// table's own.
    pub fn after(&self, epoch: u64) -> u64 {
        let keeps = self.kind != PollerKind::Controller || self.incremental;
        if keeps && self.cursor.epoch == epoch {
            self.cursor.revision
        } else {
            0
        }
    }

    /// Creates the poll of a process that has nothing yet, reports nothing, and doesn't wait.
    pub fn new(host: HostId, kind: PollerKind) -> Self {
        Self {
            host,
            kind,
            zone: None,
            version: Version(0),
            announced: Version(0),
            cursor: Cursor::default(),
            controllers_digest: 0,
            evacuations: None,
            without_entries: false,
            incremental: false,
            wants_last_seen: false,
            wait: Span::default(),
            in_flight: InFlight::new(),
            slow: Vec::new(),
            demands: Vec::new(),
            silent: Vec::new(),
            leaving: Vec::new(),
            outcomes: Vec::new(),
            crashes: None,
        }
    }
}
