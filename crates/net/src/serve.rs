//! The accept loop of a listener.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Instant;

use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use smol::net::{TcpListener, TcpStream};
use smol::Task;
use smol_hyper::rt::FuturesIo;

use snipemast_core::prelude::*;

use crate::exec::{pause, spawn, within};
use crate::idle::{
    CutAnswer, IdleLimits, OpenConnection, OpenConnections, TrackedBody, CLOSE_TIME,
};
use crate::observed::ObservedStream;
use crate::socket::{self, SocketTimeouts};

/// The delay after a failed accept: file descriptors may have run out, and some may be closed by then.
const ACCEPT_RETRY_DELAY: Span = Span::from_millis(50);

/// How often idle connections are checked.
const IDLE_CHECK_INTERVAL: Span = Span::from_millis(500);

/// Decides which new connections are read.
pub trait Gate: Send {
    /// Whether the next decision needs a turn of all tasks to be measured before it.
    fn needs_measure(&self) -> bool;

    /// Records how long a turn of all tasks took that ended now.
    fn record_turn(&mut self, delay: Span);

    /// When the operating system takes a caller for gone.
    fn timeouts(&self) -> SocketTimeouts;

    /// Returns what is called when a connection ends before its answer is written.
    fn cut_handler(&self) -> impl Fn(SocketAddr, &CutAnswer) + Send + 'static;

    /// Whether a new connection is read, beside this many open ones. It is closed otherwise.
    fn admits(&mut self, open: usize) -> bool;

    /// Whether the longest idle connection has to go before a new one is read, beside this many open ones.
    fn is_full(&self, open: usize) -> bool;

    /// Whether there may be limits on idle connections, which are then checked periodically.
    fn checks_idle(&self) -> bool;

    /// Returns how long connections may be idle, now that this many have a request in progress; `None` if there is no limit.
    fn idle_limits(&mut self, busy: usize) -> Option<IdleLimits>;
}

/// A gate that lets all connections in.
#[derive(Debug, Clone, Copy)]
pub struct OpenGate;

impl Gate for OpenGate {
    fn needs_measure(&self) -> bool {
        false
    }

    fn record_turn(&mut self, _delay: Span) {}

    fn timeouts(&self) -> SocketTimeouts {
        SocketTimeouts::new(socket::ACK_TIMEOUT)
    }

    fn cut_handler(&self) -> impl Fn(SocketAddr, &CutAnswer) + Send + 'static {
        |_, _: &CutAnswer| {}
    }

    fn admits(&mut self, _open: usize) -> bool {
        true
    }

    fn is_full(&self, _open: usize) -> bool {
        false
    }

    fn checks_idle(&self) -> bool {
        false
    }

    fn idle_limits(&mut self, _busy: usize) -> Option<IdleLimits> {
        None
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
    serve_gated(listener, OpenGate, OpenConnections::default(), handler).await;
}

/// Does the same as [`serve`] for the connections that a gate lets in, and keeps them among `connections`. The others are
/// closed unread, so that their callers know that nothing ran.
pub async fn serve_gated<H, F, B>(
    listener: TcpListener,
    mut gate: impl Gate,
    connections: OpenConnections,
    handler: H,
) where
    H: Fn(Request<Incoming>, SocketAddr) -> F + Send + Sync + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: std::error::Error + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    let mut tasks = Tasks::default();
    let mut next_check = Instant::now();
    loop {
        if gate.checks_idle() && Instant::now() >= next_check {
            next_check = Instant::now() + IDLE_CHECK_INTERVAL.as_duration();
            if let Some(limits) = gate.idle_limits(connections.busy_count()) {
                connections.close_expired(&limits);
            }
        }
        let accepted = match gate.checks_idle() {
            true => within(IDLE_CHECK_INTERVAL, listener.accept()).await,
            false => Some(listener.accept().await),
        };
        let (stream, peer) = match accepted {
            Some(Ok(accepted)) => accepted,
            Some(Err(_)) => {
                pause(ACCEPT_RETRY_DELAY).await;
                continue;
            }
            None => continue,
        };
        if gate.needs_measure() {
            gate.record_turn(measure_turn().await);
        }
        if gate.is_full(connections.count()) {
            connections.close_longest_idle();
        }
        if !gate.admits(connections.count()) {
            continue;
        }
        if socket::set_options(&stream, gate.timeouts()).is_err() {
            continue;
        }
        let handler = Arc::clone(&handler);
        let open = Arc::new(connections.open());
        let handle_cut = gate.cut_handler();
        tasks.push(spawn(async move {
            serve_connection(stream, &open, move |request| handler(request, peer)).await;
            if let Some(cut) = open.cut_answer() {
                handle_cut(peer, &cut);
            }
        }));
    }
}

/// Answers the requests of one connection, until either side closes it.
async fn serve_connection<H, F, B>(stream: TcpStream, open: &Arc<OpenConnection>, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: std::error::Error + Send + Sync + 'static,
{
    let closing = open.closing();
    let stream = ObservedStream::new(stream, Arc::clone(open));
    let service = service_fn(|request| {
        let active = open.begin_request();
        let response = handler(request);
        async move {
            let tracked = |body| TrackedBody::new(body, active);
            Ok::<_, Infallible>(response.await.map(tracked))
        }
    });
    let mut builder = http1::Builder::new();
    let builder = builder.pipeline_flush(true).half_close(false);
    let mut connection = pin!(builder.serve_connection(FuturesIo::new(stream), service));
    // A caller that closes the connection is no error of this process, and the handler learns of it
    // by being dropped.
    let ended = async {
        let _ = connection.as_mut().await;
        true
    };
    let told = async {
        closing.await;
        false
    };
    if !futures_lite::future::or(ended, told).await {
        connection.as_mut().graceful_shutdown();
        // A request that crossed the decision may be in progress by then.
        while within(CLOSE_TIME, connection.as_mut()).await.is_none() {
            if !open.is_busy() || open.is_stalled_out() {
                return;
            }
        }
    }
}

/// Measures how long all tasks that are ready now take for one turn each.
async fn measure_turn() -> Span {
    let begun = Instant::now();
    futures_lite::future::yield_now().await;
    Span::from_micros(u64::try_from(begun.elapsed().as_micros()).unwrap_or(u64::MAX))
}

/// The tasks of open connections.
#[derive(Default)]
struct Tasks {
    tasks: Vec<Task<()>>,
    /// The number of tasks from which finished ones are removed.
    prune_at: usize,
}

impl Tasks {
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
