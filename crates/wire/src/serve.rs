//! The HTTP server of a process, which reads messages and replies to them.

use std::future::Future;
use std::net::SocketAddr;

use futures_lite::FutureExt;
use serde::de::DeserializeOwned;
use serde::Serialize;
use smol::Task;
use trillium::{Conn, Handler, HttpConfig, KnownHeaderName, Status};
use trillium_smol::Stopper;

use snipemast_core::prelude::*;

use crate::codec::{decode, encode};
use crate::pipe::PipeReader;

/// The size of the largest message that a process reads, in bytes.
pub const MAX_MESSAGE: u64 = 32 << 20;

/// A running server, with its address and the means to stop it.
#[derive(Debug)]
pub struct ServerHandle {
    address: SocketAddr,
    stopper: Stopper,
    task: Task<()>,
}

impl ServerHandle {
    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Like [`stop`](Self::stop), but waits for `timeout` at most and returns false if it passed.
    ///
    /// The address is free afterwards in either case.
    pub async fn stop_within(self, timeout: Span) -> bool {
        self.stopper.stop();
        let mut task = self.task;
        let ended = async {
            (&mut task).await;
            true
        };
        let late = async {
            smol::Timer::after(timeout.as_duration()).await;
            false
        };
        let in_time = ended.or(late).await;
        if !in_time {
            task.cancel().await;
        }
        in_time
    }

    /// Accepts no new connection and returns once every request has been answered.
    pub async fn stop(self) {
        self.stopper.stop();
        self.task.await;
    }
}

/// Binds an address and serves it in the background; port 0 selects any free port.
pub async fn listen(address: SocketAddr, handler: impl Handler) -> std::io::Result<ServerHandle> {
    let listener = std::net::TcpListener::bind(address)?;
    let address = listener.local_addr()?;
    listener.set_nonblocking(true)?;
    let listener = smol::net::TcpListener::try_from(listener)?;
    let stopper = Stopper::new();
    let server = trillium_smol::config()
        .with_prebound_server(listener)
        .without_signals()
        .with_nodelay()
        .with_stopper(stopper.clone())
        .with_http_config(HttpConfig::default().with_received_body_max_len(MAX_MESSAGE))
        .run_async(handler);
    Ok(ServerHandle {
        address,
        stopper,
        task: spawn(server),
    })
}

/// Sets how many threads run the tasks of the process; 0 means one per core.
///
/// Only a call before the first task has an effect.
pub fn set_threads(threads: u32) {
    if threads > 0 {
        let threads = threads as usize;
        let config = trillium_smol::async_global_executor::GlobalExecutorConfig::default()
            .with_min_threads(threads)
            .with_max_threads(threads);
        trillium_smol::async_global_executor::init_with_config(config);
    }
}

/// Runs a task on the executor of the HTTP servers.
pub fn spawn<T: Send + 'static>(work: impl Future<Output = T> + Send + 'static) -> Task<T> {
    trillium_smol::async_global_executor::spawn(work)
}

/// Reads the message of a request, or returns none if the request is not a valid message.
pub async fn read_message<T: DeserializeOwned>(conn: &mut Conn) -> Option<T> {
    let bytes = conn.request_body().await.read_bytes().await.ok()?;
    decode(&bytes).ok()
}

/// Answers with a message.
pub fn reply<T: Serialize>(conn: Conn, message: &T) -> Conn {
    keep_alive(conn)
        .with_status(Status::Ok)
        .with_body(encode(message))
        .halt()
}

/// Sets the header without which the client does not keep the connection in its pool.
fn keep_alive(conn: Conn) -> Conn {
    conn.with_response_header(KnownHeaderName::Connection, "keep-alive")
}

/// Answers that the request is not the expected message.
pub fn reply_malformed(conn: Conn) -> Conn {
    conn.with_status(Status::BadRequest).halt()
}

/// Answers with a stream of frames.
pub fn reply_stream(conn: Conn, frames: PipeReader) -> Conn {
    let body = trillium::Body::new_streaming(frames, None);
    keep_alive(conn)
        .with_status(Status::Ok)
        .with_body(body)
        .halt()
}
