//! Tests of planned shutdowns: hosts and servers leave while they answer requests, and no answer is cut.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use serde_json::json;
use trillium_client::Conn;

use snipemast_core::prelude::*;
use snipemast_fakes::FakeEngine;
use snipemast_tests::{answer, entry_settings, info, pause, Answer, Fleet, KEY};
use snipemast_wire::spawn;

/// Starts a fleet whose engines take 30 ms per token.
async fn start_slow_fleet(engines: usize, notice: Span) -> Fleet {
    let mut settings = entry_settings("entry-0");
    settings.limits.notice = notice;
    let mut fleet = Fleet::start_with(settings).await;
    fleet.patch(json!({
        "models": { "lector-1": { "version": "1" } },
        "services": { "lector": { "kind": "model", "model": "lector-1" } },
    }));
    for n in 0..engines {
        let name = format!("engine-{n}");
        let model = "lector-1".parse().expect("a valid name");
        let offer = Offer::Model {
            model,
            version: "1".into(),
            adapters: Vec::new(),
        };
        let fake = FakeEngine::new(info(&name, offer)).with_pace(Span::from_millis(30));
        fleet.add_fake(&name, fake).await;
    }
    fleet
}

fn completion(fleet: &Fleet, stream: bool) -> Conn {
    let body = json!({ "model": "lector", "prompt": "p", "max_tokens": 30, "stream": stream });
    let conn = fleet.request("POST", "/v1/completions");
    conn.with_body(body.to_string())
}

/// Whether an answer is complete.
fn is_whole(answer: &Answer, stream: bool) -> bool {
    let end = if stream { "data: [DONE]" } else { "}" };
    answer.status == 200 && answer.body.contains("w29 ") && answer.body.trim_end().ends_with(end)
}

/// Waits until this many requests run.
async fn wait_running(fleet: &Fleet, count: u64) {
    while fleet.entry.shared().running() < count {
        pause(2).await;
    }
}

/// Guards against an answer that loses its end because the host shuts down while it streams: it stops its
/// process once it has read the last token, before the last bytes are written.
#[test]
fn entry_leaves() {
    smol::block_on(async {
        let fleet = start_slow_fleet(1, Span::default()).await;
        let requests: Vec<_> = [true, false, true, false]
            .map(|stream| (stream, spawn(answer(completion(&fleet, stream)))))
            .into_iter()
            .collect();
        wait_running(&fleet, 4).await;
        let shared = Arc::clone(fleet.entry.shared());
        fleet.entry.stop().await;
        for (stream, task) in requests {
            let answer = task.await;
            assert!(is_whole(&answer, stream), "{answer:?}");
        }
        let records = shared.journal.ring().since(Stamp::default());
        let place = |event| records.iter().rposition(|r| r.event == event);
        assert!(place(Event::AnswerDelivered) < place(Event::ProcessEnded));
    });
}

/// Guards against a cut answer for a slow caller. The host has read the whole answer from the server and counts
/// no request in flight, while most of the bytes still wait for the caller.
#[test]
fn slow_reader() {
    smol::block_on(async {
        let mut fleet = start_slow_fleet(0, Span::default()).await;
        fleet.add_engine("engine-0", "lector-1").await;
        let body = r#"{"model":"lector","prompt":"p","max_tokens":1500000}"#;
        let mut caller = TcpStream::connect(fleet.entry.callers()).expect("the entry listens");
        let head = format!(
            "POST /v1/completions HTTP/1.1\r\nauthorization: Bearer {KEY}\r\n\
             connection: close\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        caller.write_all(head.as_bytes()).expect("the entry reads");
        let shared = Arc::clone(fleet.entry.shared());
        let is_delivered = || {
            let records = shared.journal.ring().since(Stamp::default());
            records.iter().any(|r| r.event == Event::AnswerDelivered)
        };
        while !is_delivered() {
            pause(5).await;
        }
        let stopping = spawn(fleet.entry.stop());
        // This is longer than a stop that does not wait for the caller.
        pause(600).await;
        assert!(!stopping.is_finished());
        let answer = smol::unblock(move || {
            let mut answer = String::new();
            caller.read_to_string(&mut answer).map(|_| answer)
        });
        let answer = answer.await.expect("the answer is text");
        assert!(answer.trim_end().ends_with('}') && answer.contains("w1499999 "));
        stopping.await;
    });
}

/// Guards against requests that fail because the load balancer has not yet noticed that a host leaves. The
/// balancer polls `/readyz` only now and then, so until then the host must still accept requests.
#[test]
fn notice_first() {
    smol::block_on(async {
        let fleet = start_slow_fleet(1, Span::from_millis(800)).await;
        let ready = fleet.request("GET", "/readyz");
        let late = completion(&fleet, true);
        let shared = Arc::clone(fleet.entry.shared());
        let stopping = spawn(fleet.entry.stop());
        while !shared.is_draining() {
            pause(1).await;
        }
        assert_eq!(answer(ready).await.status, 503);
        let answer = answer(late).await;
        assert!(is_whole(&answer, true), "{answer:?}");
        stopping.await;
    });
}

/// Guards against a request on a kept connection that is cut off, or that runs on a host which has shut down.
/// The answer must say that it did not run, so that the caller can send it to another host.
#[test]
fn closed_refuses() {
    smol::block_on(async {
        let fleet = start_slow_fleet(1, Span::default()).await;
        fleet.entry.shared().close();
        let answer = answer(completion(&fleet, false)).await;
        let outcome = answer.outcome.as_deref();
        assert_eq!((answer.status, outcome), (503, Some("not-run")));
    });
}

/// Guards against requests that fail while one of two servers is replaced. The agent refuses new requests, and
/// the entry must try the other server instead of failing them.
#[test]
fn agent_leaves() {
    smol::block_on(async {
        let mut fleet = start_slow_fleet(2, Span::default()).await;
        let requests: Vec<_> = (0..6)
            .map(|_| spawn(answer(completion(&fleet, true))))
            .collect();
        wait_running(&fleet, 6).await;
        let leaving = spawn(fleet.agents.remove(0).stop());
        let more: Vec<_> = (0..6)
            .map(|_| spawn(answer(completion(&fleet, true))))
            .collect();
        for task in requests.into_iter().chain(more) {
            let answer = task.await;
            assert!(is_whole(&answer, true), "{answer:?}");
        }
        leaving.await;
    });
}

/// Guards against a request without end that prevents the shutdown of its host for good.
#[test]
fn bound_ends() {
    smol::block_on(async {
        let mut settings = entry_settings("entry-0");
        settings.limits.notice = Span::default();
        settings.limits.shutdown = Span::from_millis(50);
        let fleet = Fleet::start_with(settings).await;
        let shared = Arc::clone(fleet.entry.shared());
        // The caller sends only a part of its request.
        let mut half = TcpStream::connect(fleet.entry.callers()).expect("the entry listens");
        half.write_all(b"POST /v1/completions HTTP/1.1\r\ncontent-length: 9\r\n\r\n")
            .expect("the entry reads");
        smol::Timer::after(Duration::from_millis(20)).await;
        fleet.entry.stop().await;
        let records = shared.journal.ring().since(Stamp::default());
        assert!(records.iter().any(|r| r.event == Event::DrainExpired));
    });
}
