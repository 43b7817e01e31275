//! Calls to another process, each with a timeout.
//!
//! A pooled connection can fall silent for good while new connections work. A call on it gets no
//! byte until its timeout. [`Peer::retire`] drops the whole pool of that peer, so that the next call
//! opens a new connection.

use std::fmt;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use arc_swap::ArcSwap;
use error_stack::Report;
use futures_lite::{AsyncRead, FutureExt};
use serde::de::DeserializeOwned;
use serde::Serialize;
use trillium_client::{Client, Conn, KnownHeaderName};

use snipemast_core::prelude::*;

use crate::codec::{decode, encode};
use crate::connect::{Clients, EagerConnector, Held};
use crate::stamp;

/// The result of a call.
pub type Result<T> = std::result::Result<T, Report<PeerError>>;

/// A call to a process that returned no valid answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerError {
    /// The address where the process listens.
    pub address: SocketAddr,
    /// The path of the call.
    pub path: String,
    /// The kind of failure.
    pub kind: PeerErrorKind,
}

/// The kind of failure of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerErrorKind {
    /// The process could not be reached, so no byte was sent.
    Unreachable,
    /// The connection broke before the answer was complete.
    Broken,
    /// The timeout passed.
    Timeout,
    /// The process answered with this HTTP status instead of a message.
    Status(u16),
    /// The answer is not the expected message.
    Malformed,
}

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            address,
            path,
            kind,
        } = self;
        match kind {
            PeerErrorKind::Unreachable => write!(f, "{address}{path}: no connection"),
            PeerErrorKind::Broken => write!(f, "{address}{path}: the connection broke"),
            PeerErrorKind::Timeout => write!(f, "{address}{path}: no answer in time"),
            PeerErrorKind::Status(code) => write!(f, "{address}{path}: status {code}"),
            PeerErrorKind::Malformed => write!(f, "{address}{path}: not the expected message"),
        }
    }
}

impl std::error::Error for PeerError {}

impl PeerError {
    /// Whether the message may have reached the process.
    pub fn may_have_arrived(&self) -> bool {
        match self.kind {
            PeerErrorKind::Broken | PeerErrorKind::Timeout | PeerErrorKind::Malformed => true,
            PeerErrorKind::Unreachable | PeerErrorKind::Status(_) => false,
        }
    }
}

/// Another process, and the pool of connections to it.
#[derive(Debug)]
pub struct Peer {
    address: SocketAddr,
    clients: ArcSwap<Clients>,
    ring: Option<Arc<Ring>>,
}

impl Peer {
    /// Creates a peer for the process that listens at this address.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            clients: ArcSwap::from_pointee(Clients::new()),
            ring: None,
        }
    }

    /// Stamps the calls with the clock of this ring, and moves the clock past the stamps of answers.
    #[must_use]
    pub fn with_ring(mut self, ring: Arc<Ring>) -> Self {
        self.ring = Some(ring);
        self
    }

    /// Returns the address where the process listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Drops all pooled connections, so that the next call opens a new one.
    pub fn retire(&self) {
        self.clients.store(Arc::new(Clients::new()));
    }

    /// Sends a message and waits for its answer.
    pub async fn call<Q, A>(&self, path: &str, message: &Q, timeout: Span) -> Result<A>
    where
        Q: Serialize,
        A: DeserializeOwned,
    {
        let held = self.clients.load().hold();
        self.call_with(held.client(), path, message, timeout).await
    }

    /// Sends a message on a new connection that is used once, and waits for its answer.
    pub async fn call_fresh<Q, A>(&self, path: &str, message: &Q, timeout: Span) -> Result<A>
    where
        Q: Serialize,
        A: DeserializeOwned,
    {
        self.call_with(&single_use_client(), path, message, timeout)
            .await
    }

    async fn call_with<Q, A>(
        &self,
        client: &Client,
        path: &str,
        message: &Q,
        timeout: Span,
    ) -> Result<A>
    where
        Q: Serialize,
        A: DeserializeOwned,
    {
        let bytes = self
            .with_timeout(path, timeout, self.exchange(client, path, encode(message)))
            .await?;
        decode(&bytes).map_err(|e| {
            self.error(path, PeerErrorKind::Malformed)
                .attach(e.to_string())
        })
    }

    /// Sends a message and returns the answer's body as a stream, once its head has arrived.
    pub async fn open<Q: Serialize>(
        &self,
        path: &str,
        message: &Q,
        timeout: Span,
    ) -> Result<Stream> {
        let held = self.clients.load().hold();
        let stream = self.open_with(held.client(), path, message, timeout);
        Ok(stream.await?.with_held(held))
    }

    /// Sends a message on a new connection that is used once, and returns the answer's body as a
    /// stream.
    pub async fn open_fresh<Q: Serialize>(
        &self,
        path: &str,
        message: &Q,
        timeout: Span,
    ) -> Result<Stream> {
        self.open_with(&single_use_client(), path, message, timeout)
            .await
    }

    async fn open_with<Q: Serialize>(
        &self,
        client: &Client,
        path: &str,
        message: &Q,
        timeout: Span,
    ) -> Result<Stream> {
        let conn = self
            .with_timeout(path, timeout, self.send(client, path, encode(message)))
            .await?;
        Ok(Stream { conn, _held: None })
    }

    /// Sends a request and reads the whole body of its answer.
    async fn exchange(&self, client: &Client, path: &str, body: Vec<u8>) -> Result<Vec<u8>> {
        let mut conn = self.send(client, path, body).await?;
        let bytes = conn.response_body().read_bytes().await;
        bytes.map_err(|e| {
            self.error(path, PeerErrorKind::Broken)
                .attach(e.to_string())
        })
    }

    /// Sends a request and waits for the head of a successful answer.
    async fn send(&self, client: &Client, path: &str, body: Vec<u8>) -> Result<Conn> {
        let url = format!("http://{}{path}", self.address);
        let mut conn = client.post(url.as_str()).with_body(body);
        if let Some(ring) = &self.ring {
            let stamp = ring.clock().tick();
            conn = conn.with_request_header(stamp::HEADER, stamp.to_string());
        }
        let conn = conn.await;
        let conn = conn.map_err(|e| self.error(path, error_kind(&e)).attach(e.to_string()))?;
        if let Some(ring) = &self.ring {
            stamp::observe(ring, conn.response_headers().get_str(stamp::HEADER));
        }
        match conn.status() {
            Some(status) if status.is_success() => Ok(conn),
            status => {
                let code = status.map_or(0, |s| s as u16);
                Err(self.error(path, PeerErrorKind::Status(code)))
            }
        }
    }

    /// Runs `work` and fails with [`PeerErrorKind::Timeout`] if it takes longer than `timeout`.
    async fn with_timeout<T>(
        &self,
        path: &str,
        timeout: Span,
        work: impl Future<Output = Result<T>>,
    ) -> Result<T> {
        let late = async {
            smol::Timer::after(timeout.as_duration()).await;
            Err(self.error(path, PeerErrorKind::Timeout))
        };
        work.or(late).await
    }

    fn error(&self, path: &str, kind: PeerErrorKind) -> Report<PeerError> {
        Report::new(PeerError {
            address: self.address,
            path: path.into(),
            kind,
        })
    }
}

/// Tells an error before the first byte was sent from one after it.
fn error_kind(error: &trillium_client::Error) -> PeerErrorKind {
    match error {
        trillium_client::Error::Io(e) if e.kind() == io::ErrorKind::ConnectionRefused => {
            PeerErrorKind::Unreachable
        }
        _ => PeerErrorKind::Broken,
    }
}

/// Creates a client whose connections are used once.
fn single_use_client() -> Client {
    Client::new(EagerConnector::default())
}

/// The body of an answer that is still being received.
#[derive(Debug)]
pub struct Stream {
    conn: Conn,
    _held: Option<Held>,
}

impl Stream {
    /// Keeps the client held, so that the stream counts as an exchange of its client until it is dropped.
    fn with_held(mut self, held: Held) -> Self {
        self._held = Some(held);
        self
    }

    /// Closes the connection under the stream instead of keeping it for another call.
    ///
    /// The HTTP library would read an abandoned body to its end to keep the connection. The sender
    /// of a stream of tokens would then not learn that the stream was abandoned.
    pub fn abort(mut self) {
        // The library checks the headers of the answer to decide whether to keep the connection.
        self.conn
            .response_headers_mut()
            .insert(KnownHeaderName::Connection, "close");
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        // The state of the body is kept in the connection, so a new reader continues where the
        // last one stopped.
        Pin::new(&mut self.conn.response_body()).poll_read(cx, buffer)
    }
}
