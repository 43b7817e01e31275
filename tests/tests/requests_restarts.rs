//! A test of a rolling restart of a whole fleet under load.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;

use parking_lot::Mutex;
use serde_json::json;

use snipemast_core::prelude::*;
use snipemast_fakes::{FakeEngine, FakeService};
use snipemast_tests::zones::{request, serve, Zones};
use snipemast_tests::{answer, id, info, pause};
use snipemast_wire::spawn;

/// A stand-in for the platform's load balancer, which sends requests to the hosts that are ready.
#[derive(Debug, Default)]
struct Balancer {
    ready: Mutex<Vec<SocketAddr>>,
    turn: AtomicUsize,
    done: AtomicBool,
    answered: AtomicUsize,
}

impl Balancer {
    /// Returns the address of the next ready host.
    fn next_host(&self) -> SocketAddr {
        let ready = self.ready.lock();
        ready[self.turn.fetch_add(1, Ordering::SeqCst) % ready.len()]
    }
}

/// Sends orders or streams until the restarts are done, and returns every failure.
async fn send_load(balancer: Arc<Balancer>, number: usize) -> Vec<String> {
    let mut failed = Vec::new();
    let mut count = 0;
    while !balancer.done.load(Ordering::SeqCst) {
        count += 1;
        let order = number.is_multiple_of(2);
        let answer = if order {
            let body = format!("order {number} {count}");
            let conn = request(balancer.next_host(), "POST", "/services/mesa/orders");
            answer(conn.with_body(body)).await
        } else {
            let body = json!({ "model": "lector", "prompt": "p", "max_tokens": 6, "stream": true });
            let conn = request(balancer.next_host(), "POST", "/v1/completions");
            answer(conn.with_body(body.to_string())).await
        };
        let whole = order || answer.body.trim_end().ends_with("[DONE]");
        if answer.status != 200 || !whole {
            failed.push(format!(
                "{} {:?} {}",
                answer.status, answer.outcome, answer.body
            ));
        }
        balancer.answered.fetch_add(1, Ordering::SeqCst);
    }
    failed
}

/// Guards against failed requests while every agent and entry but the first restarts, one after the other.
/// Callers send streams, and orders that may not run twice.
#[test]
fn rolling_restart() {
    smol::block_on(async {
        let mut zones = Zones::start(json!({
            "models": { "lector-1": { "version": "1" } },
            "services": {
                "mesa": { "kind": "plain" },
                "lector": { "kind": "model", "model": "lector-1" },
            },
        }))
        .await;
        let mut servers = Vec::new();
        for n in 0..2 {
            let service = id("mesa");
            let name = format!("desk-{n}");
            let fake = FakeService::new(info(&name, Offer::Service { service }));
            let served = serve(fake.with_pace(Span::from_millis(20))).await;
            zones.add_agent(&name, served.address()).await;
            servers.push(served);
            let (model, version) = (id("lector-1"), "1".into());
            let offer = Offer::Model {
                model,
                version,
                adapters: Vec::new(),
            };
            let name = format!("engine-{n}");
            let fake = FakeEngine::new(info(&name, offer)).with_pace(Span::from_millis(10));
            let served = serve(fake).await;
            zones.add_agent(&name, served.address()).await;
            servers.push(served);
        }
        let balancer = Arc::new(Balancer::default());
        let callers = zones.entries.iter().map(|e| e.callers());
        balancer.ready.lock().extend(callers);
        let tasks: Vec<_> = (0..8)
            .map(|n| spawn(send_load(Arc::clone(&balancer), n)))
            .collect();
        pause(200).await;
        for (place, server) in servers.iter().enumerate() {
            zones.restart_agent(place, server.address()).await;
        }
        // The first entry keeps running, because it decides on the configuration alone and without a disk.
        for place in [1, 2] {
            let address = zones.entries[place].callers();
            zones.entries[place].shared().drain();
            balancer.ready.lock().retain(|a| *a != address);
            zones.restart_entry(place).await;
            balancer.ready.lock().push(address);
        }
        pause(200).await;
        balancer.done.store(true, Ordering::SeqCst);
        let mut failed = Vec::new();
        for task in tasks {
            failed.extend(task.await);
        }
        assert!(balancer.answered.load(Ordering::SeqCst) > 50);
        assert!(
            failed.is_empty(),
            "{} failed: {:?}",
            failed.len(),
            failed.first()
        );
    });
}
