//! Callers and an operator, who use the fleet while it suffers.

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

use super::fleet::Fleet;
use super::verdict::{Asked, End, Kind, ReadBack, Record};

/// The longest pause of a caller between two requests, and of the operator between two changes.
const THINK: Span = Span::from_millis(60);
const CHANGE: Span = Span::from_millis(1_500);

/// How long a caller waits in all before it gives up, and how long it tries to connect.
const PATIENCE: Span = Span::from_secs(7);
const CONNECT: Span = Span::from_secs(1);

/// What operators sent and had acknowledged.
#[derive(Debug, Default)]
pub struct Versions {
    /// By number, as sent.
    pub sent: BTreeMap<u64, Value>,
}

/// Sends requests to one gateway after another, on connections that it keeps.
pub async fn call_on(fleet: Arc<Fleet>, record: Arc<Mutex<Record>>, name: String, seed: u64) {
    let mut chance = SplitMix64::new(seed);
    let mut kept: Option<(u8, Connection)> = None;
    let gateways: Vec<u8> = fleet.gateways().collect();
    for number in 0_u64.. {
        pause(chance.span_below(THINK)).await;
        let kind = match chance.below(3) {
            0 => Kind::Once,
            1 => Kind::Safe,
            _ => Kind::Stream,
        };
        // Most requests go on an open connection, for as long as it lasts.
        if chance.next_u64().is_multiple_of(8) {
            kept = None;
        }
        let gateway = match &kept {
            Some((gateway, _)) => *gateway,
            None => gateways[chance.below(gateways.len() as u64) as usize],
        };
        let attempt = format!("{name}-{number}");
        let sent = Instant::now();
        let connection = match kept.take() {
            Some((_, open)) if open.is_ready() => Some(open),
            _ => connect(fleet.outside(gateway), CONNECT).await.ok(),
        };
        let (end, open) = match connection {
            Some(open) => ask(open, kind, &attempt).await,
            None => (End::Unconnected, None),
        };
        kept = open.map(|open| (gateway, open));
        record.lock().asked.push(Asked {
            attempt,
            kind,
            gateway,
            sent,
            ended: Instant::now(),
            end,
        });
    }
}

/// Sends one request, and returns the connection if it can carry another.
pub async fn ask(
    mut connection: Connection,
    kind: Kind,
    attempt: &str,
) -> (End, Option<Connection>) {
    let path = match kind {
        Kind::Once => "/once/read",
        Kind::Safe => "/safe/read",
        Kind::Stream => "/stream/read",
    };
    let work = calls::ask(&mut connection, path, attempt, SITE_KEY);
    let end = match within(PATIENCE, work).await {
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

/// Changes the configuration again and again; each change is sent until it is acknowledged.
///
/// Several operators race: each takes the next number that none has taken.
pub async fn operate(
    fleet: Arc<Fleet>,
    record: Arc<Mutex<Record>>,
    versions: Arc<Mutex<Versions>>,
    seed: u64,
) {
    let mut chance = SplitMix64::new(seed);
    loop {
        pause(chance.span_below(CHANGE)).await;
        let (number, document) = versions.lock().next(&mut chance);
        let text = document.to_string();
        loop {
            let host = 1 + chance.below(fleet.controllers().count() as u64) as u8;
            let (to, text) = (fleet.outside(host), text.clone());
            let status = within(CONNECT, calls::put(to, text)).await.flatten();
            if status == Some(200) {
                break;
            }
            pause(Span::from_millis(100)).await;
        }
        record.lock().acked.push((number, Instant::now()));
    }
}

impl Versions {
    fn next(&mut self, chance: &mut SplitMix64) -> (u64, Value) {
        let last = self.sent.keys().next_back().copied().unwrap_or(1);
        let number = last + 1 + chance.below(3);
        let document = document::lenient(number);
        self.sent.insert(number, document.clone());
        (number, document)
    }
}

/// Reads the configuration at one controller after another.
pub async fn read_on(fleet: Arc<Fleet>, record: Arc<Mutex<Record>>, seed: u64) {
    let mut chance = SplitMix64::new(seed);
    loop {
        pause(chance.span_below(THINK.times(4))).await;
        let host = 1 + chance.below(fleet.controllers().count() as u64) as u8;
        let sent = Instant::now();
        if let Some(document) = read(&fleet, host).await {
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

/// The configuration at a controller, if it says one.
pub async fn read(fleet: &Fleet, host: u8) -> Option<Value> {
    let get = calls::read(fleet.outside(host));
    let reply = within(CONNECT, get).await.flatten()?;
    let found = reply.status == 200 && reply.whole;
    found.then(|| serde_json::from_str(&reply.body).ok())?
}

/// Waits until something is true, at most for a time; whether it is.
pub async fn come_true<F: std::future::Future<Output = bool>>(
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
