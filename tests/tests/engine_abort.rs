//! What an engine sees when the answer of a call is abandoned.

use futures_lite::AsyncReadExt;

use snipemast_core::prelude::*;
use snipemast_fakes::FakeEngine;
use snipemast_servers::Engine;
use snipemast_tests::{id, info, loopback, pause};
use snipemast_wire::{listen, Call};

/// Tokens of the abandoned answer: at 10 ms each they would keep the engine busy for minutes.
const TOKENS: u32 = 20_000;

// A caller leaves in the middle of its stream, and the agent abandons the engine's answer. The
// engine goes on for minutes all the same: the HTTP library read the rest of the body in the
// background, to use the connection again.
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
        let call = call();
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
        panic!("the engine still works for nobody");
    });
}

fn call() -> Call {
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
