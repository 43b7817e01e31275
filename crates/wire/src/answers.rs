//! Answers that return to a peer with the exchanges that it begins.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use async_channel::{Receiver, Sender};
use futures_lite::FutureExt;

use snipemast_core::prelude::*;

/// The answers that wait for a peer's next exchange.
#[derive(Debug)]
pub struct AnswerQueue<T> {
    sender: Sender<T>,
    receiver: Receiver<T>,
    /// The number of answers that exchanges in progress wait for.
    awaited: Arc<AtomicUsize>,
}

impl<T> Clone for AnswerQueue<T> {
    fn clone(&self) -> Self {
        Self {
            sender: self.sender.clone(),
            receiver: self.receiver.clone(),
            awaited: Arc::clone(&self.awaited),
        }
    }
}

/// The answers that one exchange still waits for.
struct Awaited<'a> {
    all: &'a AtomicUsize,
    count: usize,
}

impl Awaited<'_> {
    fn new(all: &AtomicUsize, count: usize) -> Awaited<'_> {
        all.fetch_add(count, Ordering::SeqCst);
        Awaited { all, count }
    }

    fn record_answer(&mut self) {
        self.count -= 1;
        self.all.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Drop for Awaited<'_> {
    fn drop(&mut self) {
        self.all.fetch_sub(self.count, Ordering::SeqCst);
    }
}

impl<T> AnswerQueue<T> {
    /// Creates a queue for at most this many answers.
    pub fn new(capacity: usize) -> Self {
        let (sender, receiver) = async_channel::bounded(capacity);
        Self {
            sender,
            receiver,
            awaited: Arc::default(),
        }
    }

    /// Queues an answer; it is dropped if the queue is full.
    pub fn push(&self, answer: T) {
        // The protocol asks again.
        let _ = self.sender.try_send(answer);
    }

    /// Passes on the messages of an exchange, and returns its answers: as many as it has messages, or fewer if one takes
    /// longer than `wait`, or a further one longer than `next_wait`.
    ///
    /// Failures guarded against: an exchange returns the answer that another one waits for, which then keeps its connection
    /// busy until its wait ends; and an answer that came too late for its own exchange takes the place of the next one's, and
    /// so on, so that every answer comes one exchange late for good. An answer that no exchange waits for any more is
    /// returned in addition.
    pub async fn exchange<M>(
        &self,
        messages: Vec<M>,
        pass: impl Fn(M),
        wait: Span,
        next_wait: Span,
    ) -> Vec<T> {
        let mut answers = self.take_late();
        let mut awaited = Awaited::new(&self.awaited, messages.len());
        messages.into_iter().for_each(pass);
        let mut wait = wait;
        while awaited.count > 0 {
            let Some(answer) = self.next_within(wait).await else {
                break;
            };
            awaited.record_answer();
            answers.push(answer);
            // One answer may cover several messages, so the wait for the next one is shorter.
            wait = next_wait;
        }
        answers
    }

    /// Takes the answers that came too late for their own exchanges.
    fn take_late(&self) -> Vec<T> {
        let awaited = self.awaited.load(Ordering::SeqCst);
        let late = self.receiver.len().saturating_sub(awaited);
        let answers = std::iter::from_fn(|| self.receiver.try_recv().ok());
        answers.take(late).collect()
    }

    /// Waits for the next answer, or returns `None` when the wait is over.
    async fn next_within(&self, wait: Span) -> Option<T> {
        let timeout = async {
            smol::Timer::after(wait.as_duration()).await;
            None
        };
        let answer = async { self.receiver.recv().await.ok() };
        answer.or(timeout).await
    }
}
