//! Tests of answers that return with a peer's exchanges.

use futures_lite::future::zip;
use snipemast_core::prelude::*;
use snipemast_wire::AnswerQueue;

/// How long an exchange waits that gets no answer.
const SHORT: Span = Span::from_millis(20);

/// How long an exchange waits that gets its answer.
const LONG: Span = Span::from_secs(20);

/// Guards against votes that come one exchange late for good, once one of them was late, so that no voter is elected.
#[test]
fn late_answer_caught_up() {
    smol::block_on(async {
        let queue = AnswerQueue::new(8);
        let first = queue.exchange(vec![1], |_| (), SHORT, SHORT);
        assert_eq!(first.await, Vec::<i32>::new());
        queue.push(1);
        for message in 2..5 {
            let answers = queue.exchange(vec![message], |m| queue.push(m), LONG, SHORT);
            assert_eq!(answers.await.last(), Some(&message));
        }
    });
}

/// Guards against an answer that is lost because its exchange was given up.
#[test]
fn cancelled_exchange_answered() {
    smol::block_on(async {
        let queue = AnswerQueue::new(8);
        let cancelled = queue.exchange(vec![1], |_| (), LONG, SHORT);
        let late = async {
            smol::Timer::after(SHORT.as_duration()).await;
            Vec::new()
        };
        assert!(futures_lite::future::or(cancelled, late).await.is_empty());
        queue.push(1);
        let answers = queue.exchange(vec![2], |m| queue.push(m), LONG, SHORT);
        assert_eq!(answers.await, [1, 2]);
    });
}

/// Guards against an exchange that takes the answer which another one waits for.
#[test]
fn others_answer_left() {
    smol::block_on(async {
        let queue = AnswerQueue::new(8);
        let waiting = queue.exchange(vec![1], |_| (), LONG, SHORT);
        let second = async {
            smol::Timer::after(SHORT.as_duration()).await;
            let pass = |message| {
                queue.push(1);
                queue.push(message);
            };
            queue.exchange(vec![2], pass, LONG, SHORT).await
        };
        let (first, second) = zip(waiting, second).await;
        assert_eq!((first.len(), second.len()), (1, 1));
    });
}
