//! Orders and streams while wires misbehave: through the system, and through a plain proxy.
//!
//! The baseline is what many callers have today: each request goes to a backend server over a
//! plain connection, and whatever fails is sent again, blindly, up to three times.

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

/// The tokens of one stream.
const TOKENS: u32 = 12;
/// How often a blind proxy sends a request.
const TRIES: usize = 3;
/// How long a blind proxy waits for the next byte: as long as the system does.
const SILENCE: Duration = Duration::from_secs(2);
/// The callers of each kind at once.
const CALLERS: usize = 6;
/// How often the wires are disturbed.
const PERIOD: Duration = Duration::from_millis(900);

/// What is done to the wires.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disturbance {
    /// Open connections go silent for good.
    Silence,
    /// Open connections break.
    Reset,
    /// Everything sent is sent twice.
    Double,
    /// Every piece is late.
    Delay,
}

/// Every disturbance.
pub const ALL: [Disturbance; 4] = [
    Disturbance::Silence,
    Disturbance::Reset,
    Disturbance::Double,
    Disturbance::Delay,
];

/// What became of the requests.
#[derive(Debug, Clone, Copy, Default)]
pub struct Tally {
    /// Orders that were sent.
    pub orders: u64,
    /// Orders that ran more than once.
    pub doubled: u64,
    /// Orders whose caller got neither an answer nor the word that they did not run.
    pub lost: u64,
    /// Streams that were asked for.
    pub streams: u64,
    /// Streams that ended before their end.
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

    /// The share of streams that were answered in whole.
    pub fn whole_share(&self) -> f64 {
        1.0 - self.cut as f64 / self.streams.max(1) as f64
    }
}

/// The system, or the plain proxy, before two engines and two services behind wires.
#[derive(Debug)]
pub enum Side {
    /// The system.
    Ours(Box<Wired>),
    /// The plain proxy.
    Plain(Box<Plain>),
}

/// Engines and services behind wires, without the system.
#[derive(Debug)]
pub struct Plain {
    engines: Vec<FakeProxy>,
    services: Vec<FakeProxy>,
    service: FakeService,
    _fakes: Vec<ServerHandle>,
}

impl Side {
    /// The system over loopback.
    pub async fn ours() -> Self {
        let mut wired = Wired::start().await;
        for n in 0..2 {
            wired.add_engine(&format!("engine-{n}")).await;
            wired.add_service(&format!("desk-{n}")).await;
        }
        Self::Ours(Box::new(wired))
    }

    /// The plain proxy over loopback.
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
            let fake = listen(loopback(), engine.clone()).await.expect("port 0");
            plain.engines.push(wire_to(fake.address()).await);
            plain._fakes.push(fake);
            let fake = listen(loopback(), service.clone()).await.expect("port 0");
            plain.services.push(wire_to(fake.address()).await);
            plain._fakes.push(fake);
        }
        Self::Plain(Box::new(plain))
    }

    /// Sends orders and streams while the wires are disturbed.
    pub async fn endure(self: &Arc<Self>, disturbance: Disturbance, time: Duration) -> Tally {
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
            Self::Ours(wired) => Box::new(wired.agents.iter().map(|a| &a.wire)),
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
        let (answered, denied) = match self {
            Self::Ours(wired) => answered(wired.order(body)).await,
            Self::Plain(plain) => (blind(&plain.services, "/orders", body).await, false),
        };
        let runs = match self {
            Self::Ours(wired) => wired.runs_of(body),
            Self::Plain(plain) => plain.service.runs_of(body),
        };
        Tally {
            orders: 1,
            doubled: u64::from(runs > 1),
            lost: u64::from(!answered && !denied),
            ..Tally::default()
        }
    }

    async fn stream(&self) -> Tally {
        let whole = match self {
            Self::Ours(wired) => read(wired.stream(TOKENS))
                .await
                .is_some_and(|b| is_whole(&b)),
            Self::Plain(plain) => {
                let body = json!({ "model": "lector-1", "max_tokens": TOKENS, "stream": true });
                stream(&plain.engines, &body.to_string()).await
            }
        };
        Tally {
            streams: 1,
            cut: u64::from(!whole),
            ..Tally::default()
        }
    }
}

/// Milliseconds from the moment that a stream's connection goes silent to its next byte.
pub async fn silent_resumes(wired: &Wired, streams: usize) -> Vec<f64> {
    let mut open = Vec::new();
    for _ in 0..streams {
        let mut conn = wired.stream(400).await.expect("the entry answers");
        next(&mut conn).await;
        open.push(conn);
    }
    smol::Timer::after(Duration::from_millis(300)).await;
    wired.agents.iter().for_each(|a| a.wire.silence());
    let silenced = Instant::now();
    let waits = open.into_iter().map(|mut conn| {
        spawn(async move {
            // What was under way before the silence is read first.
            let mut last = Instant::now();
            while next(&mut conn).await > 0 {
                if last.elapsed() > Duration::from_millis(500) {
                    return Some(silenced.elapsed().as_secs_f64() * 1e3);
                }
                last = Instant::now();
            }
            // It ended before it felt the silence, or was cut: there is no resume to time.
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

async fn next(conn: &mut Conn) -> usize {
    let mut buffer = [0; 4_096];
    let read = conn.response_body().read(&mut buffer).await;
    read.unwrap_or(0)
}

async fn wire_to(address: SocketAddr) -> FakeProxy {
    let wire = FakeProxy::start().await.expect("port 0");
    wire.set_target(address);
    wire
}

/// Whether an order was answered, and whether it was refused as not run.
async fn answered(conn: Conn) -> (bool, bool) {
    let Ok(mut conn) = conn.await else {
        return (false, false);
    };
    let status = conn.status().map_or(0, |s| s as u16);
    let outcome = conn.response_headers().get_str("snipemast-outcome");
    let denied = outcome == Some("not-run");
    let whole = conn.response_body().read_bytes().await.is_ok();
    (whole && status == 200, denied)
}

async fn read(conn: Conn) -> Option<String> {
    let mut conn = conn.await.ok()?;
    conn.response_body().read_string().await.ok()
}

fn is_whole(body: &str) -> bool {
    body.matches("data: {").count() == TOKENS as usize && body.trim_end().ends_with("[DONE]")
}

fn plain_client() -> Client {
    Client::new(ClientConfig::default().with_nodelay(true))
}

/// Sends a request to one server after the other until one answers.
async fn blind(wires: &[FakeProxy], path: &str, body: &str) -> bool {
    for n in 0..TRIES {
        let address = wires[n % wires.len()].address();
        let url = format!("http://{address}{path}");
        let conn = plain_client()
            .post(url.as_str())
            .with_body(body.to_string());
        let exchange = async {
            let mut conn = conn.await.ok()?;
            conn.response_body().read_bytes().await.ok()
        };
        if within(exchange).await.is_some() {
            return true;
        }
    }
    false
}

/// Streams from one server after the other until one begins; what is cut then stays cut.
async fn stream(wires: &[FakeProxy], body: &str) -> bool {
    for n in 0..TRIES {
        let address = wires[n % wires.len()].address();
        let url = format!("http://{address}/v1/completions");
        let conn = plain_client()
            .post(url.as_str())
            .with_body(body.to_string());
        let Some(mut conn) = within(async { conn.await.ok() }).await else {
            continue;
        };
        let mut text = Vec::new();
        let mut buffer = [0; 4_096];
        loop {
            let piece = async { conn.response_body().read(&mut buffer).await.ok() };
            match within(piece).await {
                Some(0) => return is_whole(&String::from_utf8_lossy(&text)),
                Some(length) => text.extend_from_slice(&buffer[..length]),
                None if text.is_empty() => break,
                None => return false,
            }
        }
    }
    false
}

async fn within<T>(work: impl Future<Output = Option<T>>) -> Option<T> {
    let late = async {
        smol::Timer::after(SILENCE).await;
        None
    };
    work.or(late).await
}
