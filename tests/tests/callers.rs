//! Tests of requests that an entry refuses, and of the answers that callers get.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

use quickcheck::{Gen, QuickCheck, TestResult};
use serde_json::json;

use snipemast_core::prelude::*;
use snipemast_tests::{answer, entry_settings, Answer, Fleet, KEY};

async fn start_fleet() -> Fleet {
    let mut settings = entry_settings("entry-0");
    settings.limits.body = Size::from_bytes(1_000);
    let mut fleet = Fleet::start_with(settings).await;
    fleet.patch(json!({
        "models": { "lector-1": { "version": "1" } },
        "services": {
            "lector": { "kind": "model", "model": "lector-1" },
            "mesa": { "kind": "plain" },
        },
    }));
    fleet.add_engine("engine-0", "lector-1").await;
    fleet.add_service("desk-0", "mesa").await;
    fleet
}

/// Whether an answer is a refusal with this status and title that says that nothing ran.
fn is_refusal(answer: &Answer, status: u16, kind: &str) -> bool {
    answer.status == status
        && answer.outcome.as_deref() == Some("not-run")
        && answer.json()["title"] == kind
}

/// Sends bytes unchanged and reads until the connection ends.
fn send_raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).expect("the entry listens");
    // The entry may refuse the request and close the connection before all bytes are sent.
    let _ = stream.write_all(bytes);
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

fn post(path: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\nconnection: close\r\n\
         content-length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}

/// Guards against a refusal that does not name its cause, the request, or that nothing ran.
#[test]
fn faults_named() {
    let long = format!(r#"{{"model":"lector","prompt":"{}"}}"#, "x".repeat(2_000));
    let cases = [
        ("/v1/completions", "{", 400, "malformed", "not JSON"),
        ("/v1/completions", "[]", 400, "malformed", "model"),
        (
            "/v1/completions",
            r#"{"model":"a b"}"#,
            400,
            "malformed",
            "model",
        ),
        (
            "/v1/completions",
            r#"{"model":"lector"}"#,
            400,
            "malformed",
            "prompt",
        ),
        (
            "/v1/chat/completions",
            r#"{"model":"lector","messages":[]}"#,
            400,
            "malformed",
            "messages",
        ),
        (
            "/v1/completions",
            r#"{"model":"lector","prompt":"p","stream":1}"#,
            400,
            "malformed",
            "stream",
        ),
        (
            "/v1/completions",
            r#"{"model":"lector","prompt":"p","max_tokens":-1}"#,
            400,
            "malformed",
            "max_tokens",
        ),
        ("/v1/completions", &long, 413, "too-large", "1000B"),
        ("/v1/nothing", "{}", 404, "not-found", "path"),
        ("/services/mesa/a/../b", "", 400, "malformed", "path"),
    ];
    smol::block_on(async {
        let fleet = start_fleet().await;
        for (path, body, status, kind, word) in cases {
            let answer = send_raw(fleet.entry.callers(), &post(path, body));
            let (head, document) = answer
                .split_once("\r\n\r\n")
                .expect("an answer with a head");
            assert!(
                head.starts_with(&format!("HTTP/1.1 {status}")),
                "{path} {body}: {answer}"
            );
            assert!(head.contains("snipemast-outcome: not-run"), "{answer}");
            assert!(head.contains("snipemast-request: entry-0:1:"), "{answer}");
            assert!(
                document.contains(&format!("\"title\":\"{kind}\"")),
                "{answer}"
            );
            assert!(document.contains(word), "{answer}");
        }
    });
}

/// Guards against callers who reach a server's own paths, which show its load and accept orders. Such a
/// caller requests a path of a plain service that the server reads as one of its own paths.
#[test]
fn reserved_paths() {
    let paths = [
        "/services/mesa/engine/info",
        "/services/mesa//engine/load",
        "/services/mesa/%65ngine/info",
        "/services/mesa/ENGINE/info",
        "/services/mesa/x/../engine/info",
        "/services/mesa/x/%2e%2e/engine/info",
        "/services/mesa/%2fengine/info",
        "/services/mesa/\\engine/info",
    ];
    smol::block_on(async {
        let fleet = start_fleet().await;
        for path in paths {
            let answer = send_raw(fleet.entry.callers(), &post(path, ""));
            assert!(answer.starts_with("HTTP/1.1 4"), "{path}: {answer}");
        }
        let answer = send_raw(
            fleet.entry.callers(),
            &post("/services/mesa/engines/info", ""),
        );
        assert!(answer.contains("\"path\":\"/engines/info\""), "{answer}");
    });
}

/// Guards against a request head of any size being read, and against an entry that then answers no one.
#[test]
fn large_head() {
    smol::block_on(async {
        let fleet = start_fleet().await;
        let head = format!(
            "GET /v1/models HTTP/1.1\r\nx: {}\r\n\r\n",
            "y".repeat(20_000)
        );
        let answer = send_raw(fleet.entry.callers(), head.as_bytes());
        assert!(!answer.contains(" 200 "), "{answer}");
        let whole = list_models(&fleet).await;
        assert_eq!(whole.json()["data"][0]["id"], "lector");
    });
}

async fn list_models(fleet: &Fleet) -> Answer {
    answer(fleet.request("GET", "/v1/models")).await
}

/// Guards against access with a key that is missing, cut short or extended, while another workspace's key is
/// valid.
#[test]
fn keys_apart() {
    smol::block_on(async {
        let mut fleet = start_fleet().await;
        let keys = [snipemast_config::KeyHash::from_key("other-key")];
        fleet.patch(json!({ "workspaces": { "vandermeulen": { "keys": keys } } }));
        for key in [
            "Bearer",
            "Bearer ",
            "Basic b3RoZXI=",
            "Bearer other-ke",
            "Bearer other-keyy",
        ] {
            let request = fleet.request("GET", "/v1/models");
            let answer = answer(request.with_request_header("authorization", key)).await;
            assert!(
                is_refusal(&answer, 401, "unauthorized"),
                "{key}: {answer:?}"
            );
            assert!(!answer.body.contains("lector"), "{answer:?}");
        }
        let request = fleet.request("GET", "/v1/models");
        let request = request.with_request_header("authorization", "Bearer other-key");
        assert_eq!(answer(request).await.status, 200);
    });
}

/// Guards against an entry that stops answering every caller after one caller sent malformed bytes.
#[test]
fn odd_bytes() {
    let fleet = smol::block_on(start_fleet());
    let address = fleet.entry.callers();
    let refused = move |path: String, body: Vec<u8>| {
        let path: String = path.chars().filter(|c| c.is_ascii_graphic()).collect();
        if serde_json::from_slice::<serde_json::Value>(&body).is_ok() {
            return TestResult::discard();
        }
        let body = String::from_utf8_lossy(&body).into_owned();
        let completion = send_raw(address, &post("/v1/completions", &body));
        let odd = send_raw(address, &post(&format!("/v1/{path}"), &body));
        TestResult::from_bool(
            completion.starts_with("HTTP/1.1 4")
                && (odd.is_empty() || odd.starts_with("HTTP/1.1 4")),
        )
    };
    struct Property<F>(F);
    impl<F: Fn(String, Vec<u8>) -> TestResult + 'static> quickcheck::Testable for Property<F> {
        fn result(&self, gen: &mut Gen) -> TestResult {
            use quickcheck::Arbitrary;
            (self.0)(String::arbitrary(gen), Vec::arbitrary(gen))
        }
    }
    let gen = Gen::from_size_and_seed(80, 5);
    QuickCheck::new()
        .rng(gen)
        .tests(150)
        .quickcheck(Property(refused));
    assert_eq!(smol::block_on(list_models(&fleet)).status, 200);
}
