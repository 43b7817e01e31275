//! On the leading controller: asks servers where they belong of which nobody tells.
//!
//! Answers a service with more servers than hosts that run a process beside one: without it nothing is known of their
//! groups, and the refusals of a few that belong to none shut the whole service.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HOST;
use hyper::Request;

use snipemast_core::prelude::*;
use snipemast_net::exec::{pause, spawn, within};
use snipemast_net::KeptConnection;
use snipemast_platform::document;
use snipemast_platform::server::{read_report, REPORT};
use snipemast_registry::rank::REFRESH;
use snipemast_registry::{GroupRank, RankWord};

use crate::state::State;

/// The pause between two servers that are asked: what reports cost in a second is bounded by it.
const PACE: Span = Span::from_millis(15);

/// How long nothing is told of a server before it is asked: three words of a process beside it are missing.
const UNTOLD: Span = REFRESH.times(3);

/// How long before a server is asked again: groups seldom change, and gateways learn of those that refuse themselves.
const AGAIN: Span = Span::from_secs(15);

/// How long a server may take to answer.
const ANSWER: Span = Span::from_millis(400);

/// Asks servers of which nobody tells.
pub(crate) struct Looker {
    state: Arc<State>,
    /// The services whose servers are ranks, in a version of the configuration.
    services: (Version, BTreeSet<ServiceId>),
    asked: HashMap<SocketAddr, Moment>,
    teller: u64,
    number: u64,
}

impl Looker {
    pub(crate) fn new(state: Arc<State>) -> Self {
        Self {
            state,
            services: Default::default(),
            asked: HashMap::new(),
            teller: rand::random(),
            number: 0,
        }
    }

    /// Asks for as long as it is polled.
    pub(crate) async fn run(mut self) {
        pause(UNTOLD).await;
        loop {
            let leads = self.state.voter.leader().is_some_and(|(_, own)| own);
            let due = if leads { self.due() } else { Vec::new() };
            if due.is_empty() {
                pause(REFRESH).await;
            }
            for address in due {
                self.ask(address);
                pause(PACE).await;
            }
        }
    }

    /// The servers of which nobody tells, and which were not asked lately.
    fn due(&mut self) -> Vec<SocketAddr> {
        self.learn_services();
        let now = self.state.clock.now();
        self.asked.retain(|_, at| now < *at + AGAIN);
        let untold = self.state.table.lock().untold(now, UNTOLD);
        let ranks = untold.into_iter().filter(|(service, address)| {
            self.services.1.contains(service) && !self.asked.contains_key(address)
        });
        ranks.map(|(_, address)| address).collect()
    }

    fn learn_services(&mut self) {
        let version = self.state.voter.version();
        if self.services.0 == version {
            return;
        }
        let document = self.state.voter.document();
        // Whatever was committed was read before.
        let Some(Ok(document)) = document.map(|d| document::read(&d.text)) else {
            return;
        };
        let services = document.services.into_iter();
        let grouped = services.filter(|s| s.engine.as_ref().is_some_and(|e| e.experts.is_some()));
        self.services = (version, grouped.map(|s| s.name).collect());
    }

    /// Asks a server beside others, and enters what it says.
    fn ask(&mut self, address: SocketAddr) {
        self.number += 1;
        self.asked.insert(address, self.state.clock.now());
        let (state, teller, number) = (Arc::clone(&self.state), self.teller, self.number);
        spawn(async move {
            if let Some(word) = look(address, teller, number).await {
                state.take_word(word);
            }
        })
        .detach();
    }
}

/// What a server says of itself; nothing where it does not answer.
async fn look(address: SocketAddr, teller: u64, number: u64) -> Option<RankWord> {
    let request = Request::get(REPORT)
        .header(HOST, address.to_string())
        .body(Full::new(Bytes::new()))
        .ok()?;
    let connection = KeptConnection::new(address, ANSWER);
    let (_, body) = within(ANSWER, connection.exchange(request)).await?.ok()?;
    let report = read_report(&body).ok()?;
    let rank = report.rank.map(|rank| GroupRank {
        group: rank.group,
        epoch: rank.state.epoch,
        place: rank.rank as u32,
        size: rank.size as u32,
        open: rank.state.open,
    });
    Some(RankWord {
        address,
        start: report.start,
        rank,
        teller,
        number,
    })
}
