//! The executor of a process, which runs every task on a single thread.
//!
//! A process that uses a fraction of a core gains nothing from more threads, and each wake-up of
//! another thread costs processor time.

use std::future::Future;

use futures_lite::future;
use smol::{Executor, Task, Timer};

use snipemast_core::prelude::*;

static EXECUTOR: Executor<'static> = Executor::new();

/// Starts a task, which is cancelled when its handle is dropped.
pub fn spawn<T: Send + 'static>(work: impl Future<Output = T> + Send + 'static) -> Task<T> {
    EXECUTOR.spawn(work)
}

/// Runs all tasks of the process on this thread until the main task ends.
pub fn run<T>(main: impl Future<Output = T>) -> T {
    smol::block_on(EXECUTOR.run(main))
}

/// Runs a future, and returns its output unless it takes longer than the limit.
pub async fn within<T>(limit: Span, work: impl Future<Output = T>) -> Option<T> {
    future::or(async { Some(work.await) }, async {
        Timer::after(limit.as_duration()).await;
        None
    })
    .await
}

/// Runs a future, and returns its output unless it makes no progress for as long as the limit. `progress` returns a number
/// that rises whenever the future makes progress.
///
/// A limit on the whole would end work that goes on but is large, and its repetition would end no better.
pub async fn while_progress<T>(
    limit: Span,
    progress: impl Fn() -> u64,
    work: impl Future<Output = T>,
) -> Option<T> {
    let stalled = async {
        loop {
            let before = progress();
            Timer::after(limit.as_duration()).await;
            if progress() == before {
                return None;
            }
        }
    };
    future::or(async { Some(work.await) }, stalled).await
}

/// Waits for a span of time.
pub async fn pause(span: Span) {
    Timer::after(span.as_duration()).await;
}
