//! Orders and streams over faulty connections, through the system and through a plain proxy.
//!
//! The baseline is a proxy as many callers have it: each request goes to a backend server over a
//! plain connection and is sent up to three times, without regard to whether it ran before.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_lite::{AsyncReadExt, FutureExt};
use serde_json::json;
use trillium_client::{Client, Conn};
use trillium_smol::ClientConfig;

use snipemast_core::prelude::*;
use snipemast_fakes::{FakeEngine, FakeProxy, FakeService, ProxyMode};
use snipemast_tests::wired::Wired;
use snipemast_tests::{id, info, loopback};
use snipemast_wire::{listen, spawn, ServerHandle};

/// Number of tokens of one stream.
const TOKENS: u32 = 12;
/// How often the plain proxy sends a request at most.
const MAX_SENDS: usize = 3;
/// How long the plain proxy waits for an answer or its next bytes, the same as the system.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Number of concurrent callers for orders, and for streams.
const CALLERS: usize = 6;
/// Interval between disturbances.
const PERIOD: Duration = Duration::from_millis(900);

/// A fault of connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disturbance {
    /// Open connections pass nothing on any more, but stay open.
    Silence,
    /// Open connections break.
    Reset,
    /// All bytes are sent twice.
    Double,
    /// All bytes are delayed.
    Delay,
}

/// All disturbances.
pub const ALL: [Disturbance; 4] = [
    Disturbance::Silence,
    Disturbance::Reset,
    Disturbance::Double,
    Disturbance::Delay,
];

/// Counts of requests by their outcome.
#[derive(Debug, Clone, Copy, Default)]
pub struct Tally {
    /// Orders sent.
    pub orders: u64,
    /// Orders that ran more than once.
    pub doubled: u64,
    /// Orders whose caller got neither an answer nor a refusal that says the order did not run.
    pub lost: u64,
    /// Streams requested.
    pub streams: u64,
    /// Streams that ended early.
    pub cut: u64,
}

impl Tally {
    /// Adds another tally.
    pub fn add(&mut self, other: Self) {
        self.orders += other.orders;
        self.doubled += other.doubled;
        self.lost += other.lost;
        self.streams += other.streams;
        self.cut += other.cut;
    }

    /// Returns the share of complete streams.
    pub fn whole_share(&self) -> f64 {
        1.0 - self.cut as f64 / self.streams.max(1) as f64
    }
}

/// The system or the plain proxy, connected to two engines and two services by fake wires.
#[derive(Debug)]
pub enum Side {
    /// The system.
    System(Box<Wired>),
    /// The plain proxy.
    Plain(Box<Plain>),
}

/// Engines and services behind fake wires, without the system.
#[derive(Debug)]
pub struct Plain {
    engines: Vec<FakeProxy>,
    services: Vec<FakeProxy>,
    service: FakeService,
    _fakes: Vec<ServerHandle>,
}

impl Side {
    /// Starts the system over loopback.
    pub async fn system() -> Self {
        let mut wired = Wired::start().await;
        for n in 0..2 {
            wired.add_engine(&format!("engine-{n}")).await;
            wired.add_service(&format!("desk-{n}")).await;
        }
        Self::System(Box::new(wired))
    }

    /// Starts the plain proxy over loopback.
    pub async fn plain() -> Self {
        let service = Offer::Service {
            service: id("mesa"),
        };
        let model = Offer::Model {
            model: id("lector-1"),
            version: "1".into(),
            adapters: Vec::new(),
        };
        let service = FakeService::new(info("desk", service)).with_pace(Span::from_millis(10));
        let engine = FakeEngine::new(info("engine", model)).with_pace(Span::from_millis(40));
        let mut plain = Plain {
            engines: Vec::new(),
            services: Vec::new(),
            service: service.clone(),
            _fakes: Vec::new(),
        };
        for _ in 0..2 {
            let fake = listen(loopback(), engine.clone())
                .await
                .expect("port 0 binds");
            plain.engines.push(start_wire(fake.address()).await);
            plain._fakes.push(fake);
            let fake = listen(loopback(), service.clone())
                .await
                .expect("port 0 binds");
            plain.services.push(start_wire(fake.address()).await);
            plain._fakes.push(fake);
        }
        Self::Plain(Box::new(plain))
    }

    /// Sends orders and streams while the connections are disturbed, and returns their outcomes.
    pub async fn run_disturbed(
        self: &Arc<Self>,
        disturbance: Disturbance,
        time: Duration,
    ) -> Tally {
        let end = Instant::now() + time;
        let callers: Vec<_> = (0..CALLERS * 2)
            .map(|number| {
                let side = Arc::clone(self);
                spawn(async move {
                    let mut tally = Tally::default();
                    let mut count = 0;
                    while Instant::now() < end {
                        count += 1;
                        let name = format!("{disturbance:?}-{number}-{count}");
                        tally.add(match number % 2 {
                            0 => side.order(&name).await,
                            _ => side.stream().await,
                        });
                    }
                    tally
                })
            })
            .collect();
        while Instant::now() < end {
            self.disturb(disturbance);
            smol::Timer::after(PERIOD).await;
        }
        self.wires().for_each(|w| w.set_mode(ProxyMode::Forward));
        let mut total = Tally::default();
        for caller in callers {
            total.add(caller.await);
        }
        total
    }

    fn wires(&self) -> Box<dyn Iterator<Item = &FakeProxy> + '_> {
        match self {
            Self::System(wired) => Box::new(wired.agents.iter().map(|a| &a.wire)),
            Self::Plain(plain) => Box::new(plain.engines.iter().chain(&plain.services)),
        }
    }

    fn disturb(&self, disturbance: Disturbance) {
        for wire in self.wires() {
            match disturbance {
                Disturbance::Silence => wire.silence(),
                Disturbance::Reset => wire.reset(),
                Disturbance::Double => wire.set_mode(ProxyMode::Duplicate),
                Disturbance::Delay => wire.set_mode(ProxyMode::Delay(Span::from_millis(40))),
            }
        }
    }

    async fn order(&self, body: &str) -> Tally {
        let (answered, refused) = match self {
            Self::System(wired) => answered(wired.order(body)).await,
            Self::Plain(plain) => (send_blindly(&plain.services, "/orders", body).await, false),
        };
        let runs = match self {
            Self::System(wired) => wired.runs_of(body),
            Self::Plain(plain) => plain.service.runs_of(body),
        };
        Tally {
            orders: 1,
            doubled: u64::from(runs > 1),
            lost: u64::from(!answered && !refused),
            ..Tally::default()
        }
    }

    async fn stream(&self) -> Tally {
        let whole = match self {
            Self::System(wired) => read_answer(wired.stream(TOKENS))
                .await
                .is_some_and(|b| is_whole(&b)),
            Self::Plain(plain) => {
                let body = json!({ "model": "lector-1", "max_tokens": TOKENS, "stream": true });
                stream_blindly(&plain.engines, &body.to_string()).await
            }
        };
        Tally {
            streams: 1,
            cut: u64::from(!whole),
            ..Tally::default()
        }
    }
}

/// Returns the milliseconds from the moment that a stream's connection goes silent to its next byte.
pub async fn silent_resumes(wired: &Wired, streams: usize) -> Vec<f64> {
    let mut open = Vec::new();
    for _ in 0..streams {
        let mut conn = wired.stream(400).await.expect("the entry answers");
        read_some(&mut conn).await;
        open.push(conn);
    }
    smol::Timer::after(Duration::from_millis(300)).await;
    wired.agents.iter().for_each(|a| a.wire.silence());
    let silenced = Instant::now();
    let waits = open.into_iter().map(|mut conn| {
        spawn(async move {
            // Bytes sent before the silence are read first.
            let mut last = Instant::now();
            while read_some(&mut conn).await > 0 {
                if last.elapsed() > Duration::from_millis(500) {
                    return Some(silenced.elapsed().as_secs_f64() * 1e3);
                }
                last = Instant::now();
            }
            // The stream ended before the silence reached it, or was cut, so there is no resume to time.
            None
        })
    });
    let waits: Vec<_> = waits.collect();
    let mut times = Vec::new();
    for wait in waits {
        times.extend(wait.await);
    }
    times
}

async fn read_some(conn: &mut Conn) -> usize {
    let mut buffer = [0; 4_096];
    let read = conn.response_body().read(&mut buffer).await;
    read.unwrap_or(0)
}

async fn start_wire(address: SocketAddr) -> FakeProxy {
    let wire = FakeProxy::start().await.expect("port 0 binds");
    wire.set_target(address);
    wire
}

/// Returns whether an order was answered, and whether it was refused as not run.
async fn answered(conn: Conn) -> (bool, bool) {
    let Ok(mut conn) = conn.await else {
        return (false, false);
    };
    let status = conn.status().map_or(0, |s| s as u16);
    let outcome = conn.response_headers().get_str("snipemast-outcome");
    let refused = outcome == Some("not-run");
    let whole = conn.response_body().read_bytes().await.is_ok();
    (whole && status == 200, refused)
}

async fn read_answer(conn: Conn) -> Option<String> {
    let mut conn = conn.await.ok()?;
    conn.response_body().read_string().await.ok()
}

fn is_whole(body: &str) -> bool {
    body.matches("data: {").count() == TOKENS as usize && body.trim_end().ends_with("[DONE]")
}

fn plain_client() -> Client {
    Client::new(ClientConfig::default().with_nodelay(true))
}

/// Sends a request to one server after another until one answers.
async fn send_blindly(wires: &[FakeProxy], path: &str, body: &str) -> bool {
    for n in 0..MAX_SENDS {
        let address = wires[n % wires.len()].address();
        let url = format!("http://{address}{path}");
        let conn = plain_client()
            .post(url.as_str())
            .with_body(body.to_string());
        let exchange = async {
            let mut conn = conn.await.ok()?;
            conn.response_body().read_bytes().await.ok()
        };
        if with_timeout(exchange).await.is_some() {
            return true;
        }
    }
    false
}

/// Requests a stream from one server after another until one begins, and returns whether it was
/// complete. A stream that is cut after its begin is not retried.
async fn stream_blindly(wires: &[FakeProxy], body: &str) -> bool {
    for n in 0..MAX_SENDS {
        let address = wires[n % wires.len()].address();
        let url = format!("http://{address}/v1/completions");
        let conn = plain_client()
            .post(url.as_str())
            .with_body(body.to_string());
        let Some(mut conn) = with_timeout(async { conn.await.ok() }).await else {
            continue;
        };
        let mut text = Vec::new();
        let mut buffer = [0; 4_096];
        loop {
            let piece = async { conn.response_body().read(&mut buffer).await.ok() };
            match with_timeout(piece).await {
                Some(0) => return is_whole(&String::from_utf8_lossy(&text)),
                Some(length) => text.extend_from_slice(&buffer[..length]),
                None if text.is_empty() => break,
                None => return false,
            }
        }
    }
    false
}

async fn with_timeout<T>(work: impl Future<Output = Option<T>>) -> Option<T> {
    let late = async {
        smol::Timer::after(READ_TIMEOUT).await;
        None
    };
    work.or(late).await
}
