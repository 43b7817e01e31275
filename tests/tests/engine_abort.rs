//! A test of an engine whose answer is abandoned.

use futures_lite::AsyncReadExt;

use snipemast_core::prelude::*;
use snipemast_fakes::FakeEngine;
use snipemast_servers::Engine;
use snipemast_tests::{id, info, loopback, pause};
use snipemast_wire::{listen, Call};

/// The tokens of the abandoned answer. At 10 ms per token they would keep the engine busy for minutes.
const TOKENS: u32 = 20_000;

/// Guards against an engine that works for minutes on an answer that the agent abandoned because the caller
/// left. It would go on if the HTTP library read the rest of the body in the background to reuse the connection.
#[test]
fn engine_stops() {
    smol::block_on(async {
        let offer = Offer::Model {
            model: id("lector-1"),
            version: "1".into(),
            adapters: Vec::new(),
        };
        let fake = FakeEngine::new(info("engine-0", offer)).with_pace(Span::from_millis(10));
        let fake = listen(loopback(), fake)
            .await
            .expect("a fake starts on port 0");
        let engine = Engine::new(fake.address());
        let process = ProcessId::new(id("entry-0"), Incarnation::new(1));
        let call = stream_call();
        let answer = engine.call(&DispatchId::new(process, 1), call).await;
        let mut answer = answer.expect("the engine answers");
        let mut some = [0; 4_096];
        assert!(answer.read(&mut some).await.expect("the stream has begun") > 0);
        assert_eq!(engine.load().await.expect("a load").total(), 1);
        answer.abort();
        for _ in 0..200 {
            if engine.load().await.expect("a load").total() == 0 {
                return;
            }
            pause(20).await;
        }
        panic!("the engine still works on the abandoned answer");
    });
}

/// Returns a call for a long stream.
fn stream_call() -> Call {
    let body = format!(
        "{{\"model\":\"lector-1\",\"prompt\":\"p\",\"max_tokens\":{TOKENS},\"stream\":true}}"
    );
    Call {
        method: "POST".into(),
        path: "/v1/completions".into(),
        headers: Vec::new(),
        body: body.into_bytes(),
    }
}
