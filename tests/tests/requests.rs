//! Requests over loopback while the wire between entry and agent misbehaves.

use snipemast_core::prelude::*;
use snipemast_fakes::ProxyMode;
use snipemast_tests::wired::Wired;
use snipemast_tests::{answer, pause, Answer};

fn words(answer: &Answer) -> usize {
    answer.body.matches("data: {").count()
}

// A caller reads a stream and it stops for good in the middle; a second try works at once. The
// cause: something between entry and agent lost track of the connection, which stays open and
// carries nothing. Beats that stay out tell; the rest comes over a new connection.
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
        assert_eq!(words(&answer), 30);
        assert!(answer.body.trim_end().ends_with("data: [DONE]"));
        assert!(wired.events(Event::StreamResumed) >= 1);
    });
}

// The same with a connection that breaks: the caller sees nothing of it.
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
        assert_eq!(words(&answer), 30);
        assert!(answer.body.trim_end().ends_with("data: [DONE]"));
    });
}

// A doubled order is counted twice against a retention. The cause: something between the ends
// sends what it carries twice, on two connections; both copies reach the agent.
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

// An order goes out on a pooled connection that has gone silent. Without a settle the caller
// hears "unknown" and a clerk keys it again by hand, or a blind retry runs it twice.
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

// A wire that delays everything is slow, and nothing else.
#[test]
fn slow_wire() {
    smol::block_on(async {
        let mut wired = Wired::start().await;
        wired.add_engine("engine-0").await;
        let slow = ProxyMode::Delay(Span::from_millis(60));
        wired.agents[0].wire.set_mode(slow);
        assert_eq!(words(&answer(wired.stream(6)).await), 6);
    });
}

// A caller leaves in the middle of its stream. Without a cancel the engine goes on for tokens
// that nobody reads, and the workspace pays for them.
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
