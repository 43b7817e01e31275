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

/// The pause after an accept that failed: descriptors are short, and some may come back.
const ACCEPT_PAUSE: Span = Span::from_millis(50);

/// Answers the requests of every connection to a listener, until it is dropped with all of them.
///
/// A handler is dropped when its caller closes the connection, with all that it holds.
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
                pause(ACCEPT_PAUSE).await;
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
            // A caller that went away is no fault of this process; the handler's drop tells it.
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
    /// How many there may be before finished ones are looked for.
    bound: usize,
}

impl Connections {
    fn push(&mut self, task: Task<()>) {
        /// The least number of tasks that is worth a look.
        const LEAST: usize = 64;
        if self.tasks.len() >= self.bound {
            self.tasks.retain(|t| !t.is_finished());
            self.bound = (2 * self.tasks.len()).max(LEAST);
        }
        self.tasks.push(task);
    }
}
