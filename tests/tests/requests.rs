//! Tests of requests over loopback while the wire between entry and agent is disturbed.

use snipemast_core::prelude::*;
use snipemast_fakes::ProxyMode;
use snipemast_tests::wired::Wired;
use snipemast_tests::{answer, pause, Answer};

/// Returns the number of tokens in a streamed answer.
fn count_words(answer: &Answer) -> usize {
    answer.body.matches("data: {").count()
}

/// Guards against a stream that stops for good because the connection between entry and agent stays open and
/// carries nothing. Missing heartbeats must reveal it, and the rest must arrive over a new connection.
#[test]
fn silent_stream() {
    smol::block_on(async {
        let mut wired = Wired::start().await;
        wired.add_engine("engine-0").await;
        let cut = async {
            pause(600).await;
            wired.agents[0].wire.silence();
        };
        let (answer, ()) = futures_lite::future::zip(answer(wired.stream(30)), cut).await;
        assert_eq!(count_words(&answer), 30);
        assert!(answer.body.trim_end().ends_with("data: [DONE]"));
        assert!(wired.events(Event::StreamResumed) >= 1);
    });
}

/// Guards against a stream that ends early for the caller because the connection between entry and agent broke.
#[test]
fn broken_stream() {
    smol::block_on(async {
        let mut wired = Wired::start().await;
        wired.add_engine("engine-0").await;
        let cut = async {
            pause(500).await;
            wired.agents[0].wire.reset();
            pause(300).await;
            wired.agents[0].wire.reset();
        };
        let (answer, ()) = futures_lite::future::zip(answer(wired.stream(30)), cut).await;
        assert_eq!(count_words(&answer), 30);
        assert!(answer.body.trim_end().ends_with("data: [DONE]"));
    });
}

/// Guards against an order that runs twice because something on the wire sends it twice, on two connections,
/// and both copies reach the agent.
#[test]
fn doubled_order() {
    smol::block_on(async {
        let mut wired = Wired::start().await;
        wired.add_service("desk-0").await;
        wired.agents[0].wire.set_mode(ProxyMode::Duplicate);
        for _ in 0..5 {
            let answer = answer(wired.order("one order")).await;
            assert_eq!(
                (answer.status, answer.outcome.as_deref()),
                (200, Some("ran"))
            );
        }
        pause(200).await;
        assert_eq!(wired.runs(), 5);
    });
}

/// Guards against an order with an unknown outcome, or with a second run, after it was sent on a pooled
/// connection that has gone silent. The entry must settle the order with the agent.
#[test]
fn silent_pool() {
    smol::block_on(async {
        let mut wired = Wired::start().await;
        wired.add_service("desk-0").await;
        assert_eq!(answer(wired.order("one order")).await.status, 200);
        pause(100).await;
        wired.agents[0].wire.silence();
        let answer = answer(wired.order("one order")).await;
        assert_eq!(
            (answer.status, answer.outcome.as_deref()),
            (200, Some("ran"))
        );
        assert_eq!(wired.runs(), 2);
    });
}

/// Guards against a wire that is only slow being taken for a broken one.
#[test]
fn slow_wire() {
    smol::block_on(async {
        let mut wired = Wired::start().await;
        wired.add_engine("engine-0").await;
        let slow = ProxyMode::Delay(Span::from_millis(60));
        wired.agents[0].wire.set_mode(slow);
        assert_eq!(count_words(&answer(wired.stream(6)).await), 6);
    });
}

/// Guards against an engine that goes on after its caller has left in the middle of the stream. The workspace
/// would pay for tokens that no one reads.
#[test]
fn caller_leaves() {
    smol::block_on(async {
        let mut wired = Wired::start().await;
        wired.add_engine("engine-0").await;
        let mut conn = wired.stream(2_000).await.expect("the entry answers");
        let mut some = [0; 2_048];
        let read = futures_lite::AsyncReadExt::read(&mut conn.response_body(), &mut some).await;
        assert!(read.expect("the stream has begun") > 0);
        drop(conn);
        let gate = wired.agents[0].agent.gate();
        for _ in 0..400 {
            if gate.running() == 0 {
                break;
            }
            pause(20).await;
        }
        assert_eq!(gate.running(), 0, "the engine's work was stopped");
    });
}
