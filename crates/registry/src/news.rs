//! What gateways and controllers ask a controller, and its answers.
//!
//! A poll says what the asker has, and waits until there is more or for a bound; so the next poll
//! acknowledges the answer before it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use snipemast_core::data;
use snipemast_core::prelude::*;

use crate::grants::{Demand, Grant};
use crate::leaving::LeavingServer;
use crate::table::Entry;

/// The path of a poll.
pub const PATH: &str = "/news";

/// Requests in flight by server.
///
/// Load answered: 149 gateways are told those at 198 servers four times a second. With a name for each field
/// they took twice the bytes, 3.7 MB/s of a controller's link and most of it between availability zones.
pub type Flying = BTreeMap<ServerId, u32>;

data! {
    /// A place in a controller's table.
    #[derive(Copy, Default)]
    pub struct Cursor {
        /// Drawn by the controller's process when it starts.
        pub epoch: u64,
        /// The place.
        #[serde(rename = "place")]
        pub revision: u64,
    }

    /// Who polls.
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
        /// How much longer, in hundredths of the usual time.
        pub pace: u32,
    }

    /// What the asker has, and what it wants.
    pub struct Poll {
        /// The asker's host.
        pub host: HostId,
        /// What it is.
        pub kind: PollerKind,
        /// The version that it has in force.
        pub version: Version,
        /// The highest version that it was told of by this controller.
        pub told: Version,
        /// Whether the answer is to carry the document, if there is a newer one.
        #[serde(rename = "wanted")]
        pub wants_document: bool,
        /// What it has of the controller's table.
        pub cursor: Cursor,
        /// How long the answer may wait for news.
        pub wait: Span,
        /// Its own requests in flight, where this controller adds them up.
        #[serde(rename = "flying")]
        pub in_flight: Flying,
        /// The slow servers of its group, where it leads one.
        pub slow: Vec<SlowServer>,
        /// What it knows of servers' limits and would send there, where this controller grants that.
        pub demands: Vec<Demand>,
        /// Servers that answer it nothing, where this controller leads.
        #[serde(rename = "still")]
        pub silent: Vec<ServerId>,
        /// Servers that told it that they leave, where this controller leads and hasn't told of them.
        pub leaving: Vec<LeavingServer>,
    }

    /// What is new.
    pub struct News {
        /// The place up to which the entries reach.
        pub cursor: Cursor,
        /// What changed in the table.
        pub entries: Vec<Entry>,
        /// The highest committed version that this controller knows.
        pub version: Version,
        /// The document of that version, as its operator sent it.
        pub document: Option<RawDocument>,
        /// The controller's availability zone.
        pub zone: ZoneId,
        /// Where all controllers take polls.
        pub controllers: Vec<SocketAddr>,
        /// Where the leader takes them.
        pub leader: Option<SocketAddr>,
        /// How many gateways poll.
        pub gateways: u32,
        /// The requests in flight of all other gateways.
        #[serde(rename = "flying")]
        pub in_flight: Flying,
        /// How long ago those gateways told of them, in the mean.
        pub age: Span,
        /// The slow servers of all groups.
        pub slow: Vec<SlowServer>,
        /// Servers that answer some gateway nothing.
        #[serde(rename = "still")]
        pub silent: Vec<ServerId>,
        /// What the asker may send to servers that name limits; nothing where this controller can't tell.
        pub grants: Option<Vec<Grant>>,
    }

    /// A document's text.
    pub struct RawDocument(#[serde(with = "serde_bytes")] pub Vec<u8>);
}

impl Poll {
    /// A poll of somebody who has nothing yet, tells nothing, and waits for nothing.
    pub fn new(host: HostId, kind: PollerKind) -> Self {
        Self {
            host,
            kind,
            version: Version(0),
            told: Version(0),
            wants_document: false,
            cursor: Cursor::default(),
            wait: Span::default(),
            in_flight: Flying::new(),
            slow: Vec::new(),
            demands: Vec::new(),
            silent: Vec::new(),
            leaving: Vec::new(),
        }
    }
}
