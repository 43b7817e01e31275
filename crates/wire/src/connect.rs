//! Connections that send a request's body directly after its head.
//!
//! The HTTP library's client asks for `100-continue` before each body and waits for the response,
//! which costs one round-trip and two more packets per call. RFC 9110 (10.1.1) lets a client continue
//! without waiting. [`EagerTransport`] removes the header from the head, gives the client the interim
//! response itself, and sends head and body together.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::task::{ready, Context, Poll};

use futures_lite::{AsyncRead, AsyncWrite};
use snipemast_http::{HeadError, ResponseScanner};
use trillium_client::{async_trait, Client, Connector, Status, Url};
use trillium_server_common::Transport;
use trillium_smol::async_net::TcpStream;
use trillium_smol::{ClientConfig, SmolTransport};

/// The header line that is removed, with the end of the line before it.
const EXPECT_LINE: &[u8] = b"\r\nExpect: 100-continue\r\n";
/// The length of the part of [`EXPECT_LINE`] that stays: the end of the line before it.
const LINE_END_BYTES: usize = 2;
/// The interim response that the client reads instead of the server's.
const CONTINUE_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
/// A body is sent together with its head if both fit into this many bytes.
const COMBINED_BYTES: usize = 16 << 10;

/// The number of clients for one peer, each with a pool of 16 connections.
const CLIENTS_PER_PEER: usize = 16;
/// The number of exchanges that share one client, which is less than the size of its pool.
const EXCHANGES_PER_CLIENT: usize = 12;

/// Creates an HTTP client with a pool of connections that never wait for `100-continue`.
pub fn client() -> Client {
    Client::new(EagerConnector::default()).with_default_pool()
}

/// Opens connections with an [`EagerTransport`].
#[derive(Debug, Clone, Copy)]
pub struct EagerConnector {
    tcp: ClientConfig,
}

impl Default for EagerConnector {
    fn default() -> Self {
        Self {
            tcp: ClientConfig::default().with_nodelay(true),
        }
    }
}

#[async_trait]
impl Connector for EagerConnector {
    type Transport = EagerTransport<SmolTransport<TcpStream>>;

    async fn connect(&self, url: &Url) -> io::Result<Self::Transport> {
        self.tcp.connect(url).await.map(EagerTransport::new)
    }

    fn spawn<F: std::future::Future<Output = ()> + Send + 'static>(&self, work: F) {
        self.tcp.spawn(work);
    }
}

/// A connection that sends a request's body without waiting for the server's interim response.
#[derive(Debug)]
pub struct EagerTransport<T> {
    inner: T,
    phase: Phase,
    /// Bytes that the client has written but that are not sent yet.
    unsent: Vec<u8>,
    /// Reads the answers.
    scanner: ResponseScanner,
}

/// The phase of the exchange on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// The next bytes that the client writes are a request's head.
    Head,
    /// The client waits for the interim response and has read this many bytes of it.
    Continue(usize),
    /// The bytes that the client writes are a body, until it reads the answer.
    Body,
}

impl<T: AsyncWrite + Unpin> EagerTransport<T> {
    /// Wraps a new connection.
    pub fn new(inner: T) -> Self {
        Self {
            inner,
            phase: Phase::Head,
            unsent: Vec::new(),
            scanner: ResponseScanner::new(),
        }
    }

    /// Checks bytes of an answer.
    ///
    /// Failure guarded against: the client panics at a status that it has no name for, and takes a body whose length is
    /// too small for whole.
    fn check(&mut self, bytes: &[u8]) -> io::Result<()> {
        let invalid = |e| io::Error::new(io::ErrorKind::InvalidData, e);
        self.scanner.push(bytes).map_err(invalid)?;
        let status = self.scanner.status();
        if status.is_some_and(|s| Status::try_from(s).is_err()) {
            return Err(invalid(HeadError::Status));
        }
        if self.scanner.has_excess() {
            return Err(invalid(HeadError::Length));
        }
        Ok(())
    }

    /// Sends the unsent bytes.
    fn poll_unsent(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while !self.unsent.is_empty() {
            let count = ready!(Pin::new(&mut self.inner).poll_write(cx, &self.unsent))?;
            if count == 0 {
                return Poll::Ready(Err(io::ErrorKind::WriteZero.into()));
            }
            self.unsent.drain(..count);
        }
        Poll::Ready(Ok(()))
    }

    /// Buffers a head that asks for `100-continue`, or returns false if it does not.
    fn buffer_head(&mut self, head: &[u8]) -> bool {
        let Some(at) = head
            .windows(EXPECT_LINE.len())
            .position(|w| w == EXPECT_LINE)
        else {
            return false;
        };
        self.unsent.extend_from_slice(&head[..at + LINE_END_BYTES]);
        self.unsent
            .extend_from_slice(&head[at + EXPECT_LINE.len()..]);
        self.phase = Phase::Continue(0);
        true
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for EagerTransport<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.phase == Phase::Head {
            self.scanner.restart();
            if self.buffer_head(bytes) {
                return Poll::Ready(Ok(bytes.len()));
            }
        }
        if !self.unsent.is_empty() && self.unsent.len() + bytes.len() <= COMBINED_BYTES {
            self.unsent.extend_from_slice(bytes);
            return Poll::Ready(Ok(bytes.len()));
        }
        ready!(self.poll_unsent(cx))?;
        Pin::new(&mut self.inner).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_unsent(cx))?;
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_unsent(cx))?;
        Pin::new(&mut self.inner).poll_close(cx)
    }
}

impl<T: AsyncRead + AsyncWrite + Unpin> AsyncRead for EagerTransport<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if let Phase::Continue(read) = self.phase {
            let rest = &CONTINUE_RESPONSE[read..];
            let count = rest.len().min(buffer.len());
            buffer[..count].copy_from_slice(&rest[..count]);
            let whole = count == rest.len();
            self.phase = if whole {
                Phase::Body
            } else {
                Phase::Continue(read + count)
            };
            return Poll::Ready(Ok(count));
        }
        ready!(self.poll_unsent(cx))?;
        // A client that reads the answer has sent its whole body, so it writes a head next.
        self.phase = Phase::Head;
        let count = ready!(Pin::new(&mut self.inner).poll_read(cx, buffer))?;
        self.check(&buffer[..count])?;
        Poll::Ready(Ok(count))
    }
}

impl<T: Transport> Transport for EagerTransport<T> {
    fn peer_addr(&self) -> io::Result<Option<SocketAddr>> {
        self.inner.peer_addr()
    }

    fn set_ip_ttl(&mut self, ttl: u32) -> io::Result<()> {
        self.inner.set_ip_ttl(ttl)
    }

    fn set_nodelay(&mut self, nodelay: bool) -> io::Result<()> {
        self.inner.set_nodelay(nodelay)
    }
}

/// The HTTP clients for one peer, each with its own pool of connections.
///
/// The HTTP library's pool keeps 16 idle connections for an address. With a single pool, a peer with
/// 64 requests in flight would lose the other connections after each burst and open them again for
/// the next one. Requests fill the first client before they use the second, so that a quiet peer
/// keeps few connections.
#[derive(Debug, Clone)]
pub struct Clients {
    slots: Arc<[Slot; CLIENTS_PER_PEER]>,
}

/// One client.
#[derive(Debug)]
struct Slot {
    client: Client,
    /// The number of exchanges that use the client.
    exchanges: AtomicUsize,
}

impl Clients {
    /// Creates clients that have no connections yet.
    pub fn new() -> Self {
        let slot = |_| Slot {
            client: client(),
            exchanges: AtomicUsize::new(0),
        };
        Self {
            slots: Arc::new(std::array::from_fn(slot)),
        }
    }

    /// Returns a client for one exchange; it is held until the answer has been read.
    pub fn hold(&self) -> Held {
        let mut slots = self.slots.iter();
        let free =
            slots.position(|slot| slot.exchanges.load(Ordering::Relaxed) < EXCHANGES_PER_CLIENT);
        let index = free.unwrap_or(CLIENTS_PER_PEER - 1);
        self.slots[index].exchanges.fetch_add(1, Ordering::Relaxed);
        Held {
            slots: Arc::clone(&self.slots),
            index,
        }
    }
}

impl Default for Clients {
    fn default() -> Self {
        Self::new()
    }
}

/// A client that one exchange uses.
#[derive(Debug)]
pub struct Held {
    slots: Arc<[Slot; CLIENTS_PER_PEER]>,
    index: usize,
}

impl Held {
    /// Returns the client.
    pub fn client(&self) -> &Client {
        &self.slots[self.index].client
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.slots[self.index]
            .exchanges
            .fetch_sub(1, Ordering::Relaxed);
    }
}
