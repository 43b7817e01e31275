//! Tests of idempotency keys and of requests that crash servers, over three entries.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use serde_json::json;
use trillium::{async_trait, Conn, Handler};

use snipemast_core::prelude::*;
use snipemast_fakes::{FakeEngine, FakeProxy, FakeService};
use snipemast_tests::zones::{serve, Zones};
use snipemast_tests::{answer, id, info, loopback, pause, Answer};
use snipemast_wire::ServerHandle;

fn mesa_service() -> serde_json::Value {
    json!({ "services": { "mesa": { "kind": "plain" } } })
}

/// Sends an order with an idempotency key.
async fn send_order(zones: &Zones, entry: usize, key: &str, body: &str) -> Answer {
    let request = zones.request(entry, "POST", "/services/mesa/orders");
    let request = request.with_request_header("idempotency-key", key.to_string());
    answer(request.with_body(body.to_string())).await
}

/// Guards against an order that runs twice because its caller lost the answer and sends it again, with the
/// same key, to another entry. The caller must get the answer of the first run.
#[test]
fn resend_elsewhere() {
    smol::block_on(async {
        let mut zones = Zones::start(mesa_service()).await;
        let service = id("mesa");
        let fake = FakeService::new(info("desk-0", Offer::Service { service }));
        let served = serve(fake.clone()).await;
        zones.add_agent("desk-0", served.address()).await;
        zones.keepers_ready().await;
        let first = send_order(&zones, 0, "key-1", "one order").await;
        assert_eq!(first.status, 200, "{}", first.body);
        for entry in [1, 2, 0] {
            let again = send_order(&zones, entry, "key-1", "one order").await;
            assert_eq!((again.status, &again.body), (200, &first.body));
        }
        assert_eq!(fake.runs_of("one order"), 1);
        let other = send_order(&zones, 1, "key-1", "another order").await;
        assert_eq!(
            (other.status, other.outcome.as_deref()),
            (422, Some("not-run"))
        );
        assert_eq!(fake.runs_of("another order"), 0);
    });
}

/// Guards against an order that runs more than once because it reaches every entry at the same moment.
#[test]
fn sends_at_once() {
    smol::block_on(async {
        let mut zones = Zones::start(mesa_service()).await;
        let service = id("mesa");
        let fake = FakeService::new(info("desk-0", Offer::Service { service }));
        let fake = fake.with_pace(Span::from_millis(100));
        let served = serve(fake.clone()).await;
        zones.add_agent("desk-0", served.address()).await;
        zones.keepers_ready().await;
        let first = send_order(&zones, 0, "key-2", "at once");
        let second = send_order(&zones, 1, "key-2", "at once");
        let both = futures_lite::future::zip(first, second);
        let (both, third) =
            futures_lite::future::zip(both, send_order(&zones, 2, "key-2", "at once")).await;
        let answers = [both.0, both.1, third];
        assert!(answers.iter().all(|a| a.status == 200));
        assert!(answers.iter().all(|a| a.body == answers[0].body));
        assert_eq!(fake.runs_of("at once"), 1);
    });
}

/// An engine that crashes on one prompt.
#[derive(Debug, Clone)]
struct CrashingEngine {
    engine: FakeEngine,
    has_crashed: Arc<AtomicBool>,
}

#[async_trait]
impl Handler for CrashingEngine {
    async fn run(&self, mut conn: Conn) -> Conn {
        if conn.path() != "/v1/completions" {
            return self.engine.run(conn).await;
        }
        let body = conn.request_body_string().await.unwrap_or_default();
        if body.contains("kill") {
            self.has_crashed.store(true, Ordering::SeqCst);
            pause(3_000).await;
        }
        conn.ok("{}")
    }
}

/// Waits until an engine has crashed, then breaks its connections and refuses new ones.
async fn disconnect_crashed(wire: FakeProxy, has_crashed: Arc<AtomicBool>) {
    while !has_crashed.load(Ordering::SeqCst) {
        pause(2).await;
    }
    wire.set_target(loopback());
    wire.reset();
    pause(60_000).await;
}

/// Five engines that crash on one prompt, behind three entries.
struct Pool {
    zones: Zones,
    crash_flags: Vec<Arc<AtomicBool>>,
    _served: Vec<ServerHandle>,
}

impl Pool {
    async fn start(idempotent: bool) -> Self {
        let services = json!({
            "models": { "lector-1": { "version": "1" } },
            "services": {
                "lector": { "kind": "model", "model": "lector-1", "idempotent": idempotent },
            },
        });
        let mut pool = Self {
            zones: Zones::start(services).await,
            crash_flags: Vec::new(),
            _served: Vec::new(),
        };
        for n in 0..5 {
            pool.add(&format!("engine-{n}")).await;
        }
        pool.zones.keepers_ready().await;
        pool
    }

    async fn add(&mut self, name: &str) {
        let (model, version) = (id("lector-1"), "1".into());
        let offer = Offer::Model {
            model,
            version,
            adapters: Vec::new(),
        };
        let has_crashed = Arc::new(AtomicBool::new(false));
        let engine = CrashingEngine {
            engine: FakeEngine::new(info(name, offer)),
            has_crashed: Arc::clone(&has_crashed),
        };
        let served = serve(engine).await;
        let wire = FakeProxy::start().await.expect("port 0");
        wire.set_target(served.address());
        self.zones.add_agent(name, wire.address()).await;
        snipemast_wire::spawn(disconnect_crashed(wire, Arc::clone(&has_crashed))).detach();
        self._served.push(served);
        self.crash_flags.push(has_crashed);
    }

    async fn send(&self, entry: usize, prompt: &str) -> Answer {
        let body = json!({ "model": "lector", "prompt": prompt }).to_string();
        let request = self.zones.request(entry, "POST", "/v1/completions");
        answer(request.with_body(body)).await
    }

    async fn send_to_all(&self, prompt: &str) -> [Answer; 3] {
        let both = futures_lite::future::zip(self.send(0, prompt), self.send(1, prompt));
        let all = futures_lite::future::zip(both, self.send(2, prompt));
        let ((first, second), third) = all.await;
        [first, second, third]
    }

    /// Returns the number of engines that have crashed.
    fn crashed(&self) -> usize {
        let is_set = |d: &&Arc<AtomicBool>| d.load(Ordering::SeqCst);
        self.crash_flags.iter().filter(is_set).count()
    }
}

/// Guards against the loss of a whole pool to one request that crashes each server that runs it, while its
/// caller sends it again to every entry. Two servers may be lost, and no third.
#[test]
fn two_servers_lost() {
    smol::block_on(async {
        let pool = Pool::start(true).await;
        let first = pool.send(0, "kill").await;
        assert_eq!(first.status, 422, "{}", first.body);
        for refused in pool.send_to_all("kill").await {
            let outcome = refused.outcome.as_deref();
            assert_eq!((refused.status, outcome), (422, Some("not-run")));
        }
        assert_eq!(pool.crashed(), 2);
        assert_eq!(pool.send(1, "read").await.status, 200);
    });
}

/// Guards against the loss of several servers to a request that the system may not repeat by itself. After the
/// first crash the caller sends it to three entries at once, and only one of them may run it.
#[test]
fn suspect_runs_once() {
    smol::block_on(async {
        let pool = Pool::start(false).await;
        let first = pool.send(0, "kill").await;
        assert_eq!((first.status, first.outcome.as_deref()), (502, Some("ran")));
        assert_eq!(pool.crashed(), 1);
        let answers = pool.send_to_all("kill").await;
        let denied = answers
            .iter()
            .filter(|a| a.outcome.as_deref() == Some("not-run"));
        assert_eq!(denied.count(), 2);
        assert_eq!(pool.crashed(), 2);
        assert_eq!(pool.send(1, "read").await.status, 200);
    });
}
