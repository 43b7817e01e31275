//! Tests that the fake engine implements the protocol of `docs/SERVERS.md`.

use serde_json::{json, Value};

use snipemast_core::prelude::*;
use snipemast_fakes::FakeEngine;
use snipemast_wire::connect::client;
use snipemast_wire::{listen, ServerHandle};

async fn serve_engine(pace: Span) -> ServerHandle {
    let info = ServerInfo {
        server: "engine-0".parse().expect("a valid name"),
        offers: Vec::new(),
        capabilities: Capabilities {
            resume: true,
            prefix: true,
            ..Capabilities::default()
        },
        rank: None,
        slots: 1,
    };
    let any = "127.0.0.1:0".parse().expect("an address");
    let engine = FakeEngine::new(info).with_tokens(6).with_pace(pace);
    listen(any, engine).await.expect("port 0 binds")
}

async fn post(server: &ServerHandle, path: &str, body: &Value) -> String {
    let url = format!("http://{}{path}", server.address());
    let conn = client().post(url.as_str()).with_body(body.to_string());
    let mut conn = conn.await.expect("an answer");
    conn.response_body()
        .read_string()
        .await
        .expect("a whole answer")
}

async fn get(server: &ServerHandle, path: &str) -> Value {
    let url = format!("http://{}{path}", server.address());
    let mut conn = client().get(url.as_str()).await.expect("an answer");
    let text = conn
        .response_body()
        .read_string()
        .await
        .expect("a whole answer");
    serde_json::from_str(&text).expect("JSON")
}

/// Guards against a resumed answer that repeats tokens which were already delivered.
#[test]
fn text_continued() {
    smol::block_on(async {
        let server = serve_engine(Span::default()).await;
        let body = json!({ "model": "m", "prompt": "p", "continue_text": "w0 w1 w2 " });
        let answer: Value =
            serde_json::from_str(&post(&server, "/v1/completions", &body).await).expect("JSON");
        assert_eq!(answer["choices"][0]["text"], "w3 w4 w5 ");
    });
}

/// Guards against a chat completion in the format of a text completion, whole or as a stream.
#[test]
fn chat_format() {
    smol::block_on(async {
        let server = serve_engine(Span::default()).await;
        let body = json!({ "model": "m", "messages": [{ "role": "user", "content": "p" }] });
        let answer: Value =
            serde_json::from_str(&post(&server, "/v1/chat/completions", &body).await)
                .expect("JSON");
        assert_eq!(
            answer["choices"][0]["message"]["content"],
            "w0 w1 w2 w3 w4 w5 "
        );
        let body = json!({ "model": "m", "messages": [], "stream": true });
        let stream = post(&server, "/v1/chat/completions", &body).await;
        assert_eq!(stream.matches("\"delta\"").count(), 6);
    });
}

/// Guards against wrong numbers of cache events: a cached prefix is not stored again, the cache drops
/// old prefixes, and only the latest events are kept.
#[test]
fn cache_events() {
    smol::block_on(async {
        let server = serve_engine(Span::default()).await;
        for n in [0, 0, 1, 2] {
            let body = json!({ "model": "m", "prompt": format!("prompt {n}") });
            post(&server, "/v1/completions", &body).await;
        }
        let cache = get(&server, "/engine/cache?after=1").await;
        assert_eq!(
            (cache["oldest"].clone(), cache["next"].clone()),
            (json!(1), json!(4))
        );
        assert_eq!(cache["events"].as_array().map(Vec::len), Some(2));
        for n in 3..200 {
            let body = json!({ "model": "m", "prompt": format!("prompt {n}") });
            post(&server, "/v1/completions", &body).await;
        }
        // The cache holds 64 prefixes, so the others were dropped, and not all events are kept.
        let cache = get(&server, "/engine/cache?after=1").await;
        assert_eq!(cache["next"], 1 + 200 + (200 - 64));
        assert_eq!(cache["events"].as_array().map(Vec::len), Some(256));
    });
}

/// Guards against a slot that stays in use by a request whose caller has closed its connection.
#[test]
fn close_cancels() {
    smol::block_on(async {
        let server = serve_engine(Span::from_secs(60)).await;
        let body = r#"{"model":"m","prompt":"p"}"#;
        let mut caller = std::net::TcpStream::connect(server.address()).expect("it listens");
        let length = body.len();
        let head =
            format!("POST /v1/completions HTTP/1.1\r\ncontent-length: {length}\r\n\r\n{body}");
        std::io::Write::write_all(&mut caller, head.as_bytes()).expect("it reads");
        while get(&server, "/engine/load").await["running"] != 1 {
            smol::Timer::after(Span::from_millis(2).as_duration()).await;
        }
        drop(caller);
        while get(&server, "/engine/load").await["running"] != 0 {
            smol::Timer::after(Span::from_millis(2).as_duration()).await;
        }
    });
}
