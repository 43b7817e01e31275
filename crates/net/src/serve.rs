//! The accept loop of a listener.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Instant;

use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use smol::net::TcpListener;
use smol::Task;
use smol_hyper::rt::FuturesIo;

use snipemast_core::prelude::*;

use crate::exec::{pause, spawn};
use crate::socket;

/// The delay after a failed accept: file descriptors may have run out, and some may be closed by then.
const ACCEPT_RETRY_DELAY: Span = Span::from_millis(50);

/// Decides which new connections are read.
pub trait Gate: Send {
    /// Whether the next decision needs a turn of all tasks to be measured before it.
    fn needs_measure(&self) -> bool;

    /// Records how long a turn of all tasks took that ended now.
    fn record_turn(&mut self, delay: Span);

    /// Whether a new connection is read, beside this many open ones. It is closed otherwise.
    fn admits(&mut self, open: usize) -> bool;
}

/// A gate that lets all connections in.
#[derive(Debug, Clone, Copy)]
pub struct OpenGate;

impl Gate for OpenGate {
    fn needs_measure(&self) -> bool {
        false
    }

    fn record_turn(&mut self, _delay: Span) {}

    fn admits(&mut self, _open: usize) -> bool {
        true
    }
}

/// Answers the requests of all connections to a listener, until the returned future is dropped, which
/// closes them.
///
/// A handler's future is dropped when its caller closes the connection.
pub async fn serve<H, F, B>(listener: TcpListener, handler: H)
where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Send + Sync + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: std::error::Error + Send + Sync + 'static,
{
    serve_gated(listener, OpenGate, handler).await;
}

/// Does the same as [`serve`] for the connections that a gate lets in. The others are closed unread, so that their
/// callers know that nothing ran.
pub async fn serve_gated<H, F, B>(listener: TcpListener, mut gate: impl Gate, handler: H)
where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Send + Sync + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: std::error::Error + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    let mut connections = Connections::default();
    loop {
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(_) => {
                pause(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if gate.needs_measure() {
            gate.record_turn(measure_turn().await);
        }
        if !gate.admits(connections.open.load(Ordering::Relaxed)) {
            continue;
        }
        if socket::set_options(&stream, socket::ACK_TIMEOUT).is_err() {
            continue;
        }
        let handler = Arc::clone(&handler);
        let open = OpenConnection::new(&connections.open);
        connections.push(spawn(async move {
            let _open = open;
            let service = service_fn(|request| {
                let response = handler(request, peer);
                async move { Ok::<_, Infallible>(response.await) }
            });
            let mut builder = http1::Builder::new();
            let builder = builder.pipeline_flush(true).half_close(false);
            // A caller that closes the connection is no error of this process, and the handler
            // learns of it by being dropped.
            let _ = builder
                .serve_connection(FuturesIo::new(stream), service)
                .await;
        }));
    }
}

/// Measures how long all tasks that are ready now take for one turn each.
async fn measure_turn() -> Span {
    let begun = Instant::now();
    futures_lite::future::yield_now().await;
    Span::from_micros(u64::try_from(begun.elapsed().as_micros()).unwrap_or(u64::MAX))
}

/// An open connection. Dropping it removes it from the count.
struct OpenConnection(Arc<AtomicUsize>);

impl OpenConnection {
    fn new(open: &Arc<AtomicUsize>) -> Self {
        open.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(open))
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The tasks of open connections.
#[derive(Default)]
struct Connections {
    tasks: Vec<Task<()>>,
    /// The number of open connections.
    open: Arc<AtomicUsize>,
    /// The number of tasks from which finished ones are removed.
    prune_at: usize,
}

impl Connections {
    fn push(&mut self, task: Task<()>) {
        /// The minimum number of tasks from which finished ones are removed.
        const MIN_PRUNE: usize = 64;
        if self.tasks.len() >= self.prune_at {
            self.tasks.retain(|t| !t.is_finished());
            self.prune_at = (2 * self.tasks.len()).max(MIN_PRUNE);
        }
        self.tasks.push(task);
    }
}
