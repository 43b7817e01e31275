//! The callers and operators that use the fleet while faults are injected.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use serde_json::Value;

use snipemast_control::SplitMix64;
use snipemast_core::prelude::*;
use snipemast_net::exec::{pause, within};
use snipemast_net::{connect, Connection};
use snipemast_site::calls;
use snipemast_site::document::{self, SITE_KEY};
use snipemast_site::{ServedRequest, CRASHING_BODY, CRASHING_PART};

use super::fleet::Fleet;
use super::verdict::{CallerRequest, End, Kind, ReadBack, Record};

/// The longest pause of a caller between two requests, and of an operator between two changes.
const CALLER_PAUSE: Span = Span::from_millis(60);
const CHANGE_PAUSE: Span = Span::from_millis(1_500);

/// The longest pause between two requests that crash servers.
const CRASHING_PAUSE: Span = Span::from_millis(2_000);

/// The parts that the prompts of all streams share, those that crash servers too.
const SHARED_PARTS: &str = "f1:40,c2:200";

/// The time limits of a caller for a whole answer, and of every client for a connection or a
/// configuration call.
const ANSWER_TIMEOUT: Span = Span::from_secs(7);
const CONNECT_TIMEOUT: Span = Span::from_secs(1);

/// The configurations that operators sent.
#[derive(Debug, Default)]
pub struct Versions {
    /// The documents as sent, by version number.
    pub sent: BTreeMap<u64, Value>,
}

/// Sends requests to randomly chosen gateways, mostly over a kept connection.
pub async fn run_caller(fleet: Arc<Fleet>, record: Arc<Mutex<Record>>, name: String, seed: u64) {
    let mut random = SplitMix64::new(seed);
    let mut kept: Option<(u8, Connection)> = None;
    let gateways: Vec<u8> = fleet.gateways().collect();
    for number in 0_u64.. {
        pause(random.span_below(CALLER_PAUSE)).await;
        let kind = match random.below(3) {
            0 => Kind::Once,
            1 => Kind::Safe,
            _ => Kind::Stream,
        };
        // Most requests reuse the open connection for as long as it lasts.
        if random.next_u64().is_multiple_of(8) {
            kept = None;
        }
        let gateway = match &kept {
            Some((gateway, _)) => *gateway,
            None => gateways[random.below(gateways.len() as u64) as usize],
        };
        let attempt = format!("{name}-{number}");
        let sent = Instant::now();
        let connection = match kept.take() {
            Some((_, open)) if open.is_ready() => Some(open),
            _ => connect(fleet.external_address(gateway), CONNECT_TIMEOUT)
                .await
                .ok(),
        };
        let (end, open) = match connection {
            Some(open) => ask(open, kind, &attempt).await,
            None => (End::Unconnected, None),
        };
        kept = open.map(|open| (gateway, open));
        record.lock().requests.push(CallerRequest {
            attempt,
            kind,
            gateway,
            sent,
            ended: Instant::now(),
            end,
        });
    }
}

/// What crashes each server that runs it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Culprit {
    /// A request, which is always the same.
    Request,
    /// A part of prompts, in requests no two of which are alike.
    Part,
}

impl Culprit {
    /// Returns the number of crashes after which it must not go on.
    pub fn crashes(self) -> usize {
        match self {
            Self::Request => 3,
            Self::Part => 5,
        }
    }

    /// Whether a request is the culprit, or has it.
    pub fn is_in(self, request: &ServedRequest) -> bool {
        match self {
            Self::Request => request.body == CRASHING_BODY,
            Self::Part => request.crashing_part,
        }
    }
}

/// Sends requests that crash servers to randomly chosen gateways, each time in a connection of its own.
pub async fn run_crashing_caller(fleet: Arc<Fleet>, culprit: Culprit, seed: u64) {
    let mut random = SplitMix64::new(seed);
    let gateways: Vec<u8> = fleet.gateways().collect();
    for number in 0_u64.. {
        pause(random.span_below(CRASHING_PAUSE)).await;
        let gateway = gateways[random.below(gateways.len() as u64) as usize];
        ask_crashing(&fleet, culprit, gateway, number).await;
    }
}

/// Sends a request that crashes servers once.
pub async fn ask_crashing(fleet: &Fleet, culprit: Culprit, gateway: u8, number: u64) {
    let to = fleet.external_address(gateway);
    let Ok(mut open) = connect(to, CONNECT_TIMEOUT).await else {
        return;
    };
    let (path, attempt) = ("/stream/read", format!("crash-{culprit:?}-{number}"));
    // Nothing is owed to it, so no answer is a fault.
    match culprit {
        Culprit::Request => {
            let body = CRASHING_BODY.to_owned();
            let sent = calls::send_body(&mut open, path, &attempt, SITE_KEY, body);
            let _ = within(ANSWER_TIMEOUT, sent).await;
        }
        Culprit::Part => {
            let prompt = format!("{SHARED_PARTS},{CRASHING_PART}:90,{number:x}:300");
            let sent = calls::send_prompt(&mut open, path, &attempt, SITE_KEY, &prompt);
            let _ = within(ANSWER_TIMEOUT, sent).await;
        }
    }
}

/// Sends one request and returns how it ended, with the connection if it can carry another request.
pub async fn ask(
    mut connection: Connection,
    kind: Kind,
    attempt: &str,
) -> (End, Option<Connection>) {
    let path = match kind {
        Kind::Once => "/once/read",
        Kind::Safe => "/safe/read",
        Kind::Stream if yields(attempt) => "/patient/read",
        Kind::Stream => "/stream/read",
    };
    let prompt = format!("{SHARED_PARTS},{attempt}:300");
    let work = async {
        match kind {
            Kind::Stream => {
                calls::send_prompt(&mut connection, path, attempt, SITE_KEY, &prompt).await
            }
            _ => calls::send_request(&mut connection, path, attempt, SITE_KEY).await,
        }
    };
    let end = match within(ANSWER_TIMEOUT, work).await {
        None => End::Silent,
        Some(None) => End::Closed,
        Some(Some(reply)) => End::Answer {
            status: reply.status,
            sealed: reply.is_sealed(),
            foreign: reply.is_foreign(attempt),
            whole: reply.whole,
            body: reply.body,
        },
    };
    let reusable = matches!(end, End::Answer { whole: true, .. });
    (end, reusable.then_some(connection))
}

/// Whether an attempt, if it asks for a stream, uses the route whose requests yield: every other
/// one does.
fn yields(attempt: &str) -> bool {
    attempt.ends_with(['1', '3', '5', '7', '9'])
}

/// Changes the configuration repeatedly, and sends each change until it is acknowledged.
///
/// Several operators run at once. Each uses the next version number that no other has used.
pub async fn run_operator(
    fleet: Arc<Fleet>,
    record: Arc<Mutex<Record>>,
    versions: Arc<Mutex<Versions>>,
    seed: u64,
) {
    let mut random = SplitMix64::new(seed);
    loop {
        pause(random.span_below(CHANGE_PAUSE)).await;
        let (number, document) = versions.lock().create_next(&mut random);
        let text = document.to_string();
        loop {
            let host = 1 + random.below(fleet.controllers().count() as u64) as u8;
            let (to, text) = (fleet.external_address(host), text.clone());
            let status = within(CONNECT_TIMEOUT, calls::put_configuration(to, text))
                .await
                .flatten();
            if status == Some(200) {
                break;
            }
            pause(Span::from_millis(100)).await;
        }
        record.lock().acked.push((number, Instant::now()));
    }
}

impl Versions {
    /// Creates the next document to send.
    fn create_next(&mut self, random: &mut SplitMix64) -> (u64, Value) {
        let last = self.sent.keys().next_back().copied().unwrap_or(1);
        let number = last + 1 + random.below(3);
        let document = document::lenient(number);
        self.sent.insert(number, document.clone());
        (number, document)
    }
}

/// Reads the configuration at randomly chosen controllers.
pub async fn run_reader(fleet: Arc<Fleet>, record: Arc<Mutex<Record>>, seed: u64) {
    let mut random = SplitMix64::new(seed);
    loop {
        pause(random.span_below(CALLER_PAUSE.times(4))).await;
        let host = 1 + random.below(fleet.controllers().count() as u64) as u8;
        let sent = Instant::now();
        if let Some(document) = read_configuration(&fleet, host).await {
            let version = document::version(&document);
            let read = ReadBack {
                host,
                sent,
                version,
            };
            record.lock().reads.push(read);
        }
    }
}

/// Returns the configuration of a controller, if it answers with one.
pub async fn read_configuration(fleet: &Fleet, host: u8) -> Option<Value> {
    let get = calls::read_configuration(fleet.external_address(host));
    let reply = within(CONNECT_TIMEOUT, get).await.flatten()?;
    let found = reply.status == 200 && reply.whole;
    found.then(|| serde_json::from_str(&reply.body).ok())?
}

/// Waits until a condition holds, at most for `limit`, and returns whether it does.
pub async fn wait_until<F: std::future::Future<Output = bool>>(
    limit: Duration,
    holds: impl Fn() -> F,
) -> bool {
    let start = Instant::now();
    while start.elapsed() < limit {
        if holds().await {
            return true;
        }
        pause(Span::from_millis(50)).await;
    }
    false
}
