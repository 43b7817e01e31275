//! The accept loop of a listener.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;

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
        if socket::set_options(&stream, socket::ACK_TIMEOUT).is_err() {
            continue;
        }
        let handler = Arc::clone(&handler);
        connections.push(spawn(async move {
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

/// The tasks of open connections.
#[derive(Default)]
struct Connections {
    tasks: Vec<Task<()>>,
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
