//! A single connection to a peer, owned by its user.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::{Request, Response};
use parking_lot::Mutex;
use smol::Task;
use smol_hyper::rt::FuturesIo;

use snipemast_core::prelude::*;
use snipemast_http::{HeadError, ResponseScanner};

use crate::exec::spawn;
use crate::observed::{ObservedStream, TransferObserver};
use crate::socket::{self, SocketTimeouts, ACK_TIMEOUT};

/// The number of bytes that arrived on the connections to one peer.
pub(crate) type Received = Arc<AtomicU64>;

/// The most bytes without the head or a further piece of a response in them after which more is read. The HTTP library may
/// read more than that at once.
const MAX_BYTES_WITHOUT_PROGRESS: u64 = 512 << 10;

/// Counts the bytes that arrived since the last head or piece of a response.
type BytesSinceProgress = Arc<AtomicU64>;

/// Counts and scans the bytes that arrive.
///
/// Failure guarded against: a peer sends bytes that are no response, without end, such as responses with status 1xx or the
/// zeros of a chunk's size. The HTTP library would skip them for as long as they come.
struct ResponseObserver {
    received: Received,
    since_progress: BytesSinceProgress,
    scanner: Arc<Mutex<ResponseScanner>>,
}

impl TransferObserver for ResponseObserver {
    fn record_read(&mut self, bytes: &[u8]) -> io::Result<()> {
        let length = bytes.len() as u64;
        self.received.fetch_add(length, Ordering::Relaxed);
        let before = self.since_progress.fetch_add(length, Ordering::Relaxed);
        if before > MAX_BYTES_WITHOUT_PROGRESS {
            return Err(io::ErrorKind::InvalidData.into());
        }
        let scanned = self.scanner.lock().push(bytes);
        scanned.map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))
    }
}

/// The body of a response.
#[derive(Debug)]
pub struct ResponseBody {
    body: Incoming,
    since_progress: BytesSinceProgress,
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Frame<Bytes>, hyper::Error>>> {
        let frame = Pin::new(&mut self.body).poll_frame(context);
        if matches!(frame, Poll::Ready(Some(Ok(_)))) {
            self.since_progress.store(0, Ordering::Relaxed);
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// The result of connecting.
pub type Result<T> = std::result::Result<T, Report<ConnectError>>;

/// The error for a connection to a peer that could not be opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectError {
    /// The peer's address.
    pub address: SocketAddr,
    /// Why there is no connection.
    pub failure: ConnectFailure,
}

/// Why a connection could not be opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectFailure {
    /// The peer's host answered that no process listens at the address.
    Refused,
    /// There was no answer in time.
    TimedOut,
    /// Something else failed, on this host or on the way.
    Other,
}

impl fmt::Display for ConnectError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let reason = match self.failure {
            ConnectFailure::Refused => "refused",
            ConnectFailure::TimedOut => "no answer in time",
            ConnectFailure::Other => "failed",
        };
        write!(f, "no connection to {}: {reason}", self.address)
    }
}

impl ConnectFailure {
    fn new(error: &io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::ConnectionRefused => Self::Refused,
            io::ErrorKind::TimedOut => Self::TimedOut,
            _ => Self::Other,
        }
    }
}

impl std::error::Error for ConnectError {}

/// Why a request got no response.
#[derive(Debug)]
pub enum SendError {
    /// No part of this request was written, so the peer has not seen it.
    Unsent(Box<Request<Full<Bytes>>>),
    /// The request may have reached the peer.
    Unknown(hyper::Error),
    /// The peer responded with a head that is not valid.
    Invalid(HeadError),
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unsent(_) => f.write_str("nothing was written"),
            Self::Unknown(e) => write!(f, "it may have arrived: {e}"),
            Self::Invalid(e) => e.fmt(f),
        }
    }
}

impl std::error::Error for SendError {}

/// An open connection; dropping it closes the socket at once, even during an exchange.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: Task<()>,
    since_progress: BytesSinceProgress,
    scanner: Arc<Mutex<ResponseScanner>>,
    /// The number of requests that were sent on it.
    pub request_count: u32,
}

/// Opens a connection within a time limit.
pub async fn connect(address: SocketAddr, limit: Span) -> Result<Connection> {
    connect_counted(address, limit, ACK_TIMEOUT, Received::default()).await
}

/// Opens a connection that fails once written bytes stay unacknowledged for `ack_timeout`, and adds the bytes that arrive
/// to a counter.
pub(crate) async fn connect_counted(
    address: SocketAddr,
    limit: Span,
    ack_timeout: Span,
    received: Received,
) -> Result<Connection> {
    let opened = socket::open(address, limit, SocketTimeouts::new(ack_timeout)).await;
    let failure = opened.as_ref().err().map(ConnectFailure::new);
    let failed = || ConnectError {
        address,
        failure: failure.unwrap_or(ConnectFailure::Other),
    };
    let stream = opened.change_context_lazy(failed)?;
    let since_progress = BytesSinceProgress::default();
    let scanner = Arc::<Mutex<ResponseScanner>>::default();
    let observer = ResponseObserver {
        received,
        since_progress: Arc::clone(&since_progress),
        scanner: Arc::clone(&scanner),
    };
    let observed = ObservedStream::new(stream, observer);
    let (sender, connection) = handshake(FuturesIo::new(observed))
        .await
        .change_context_lazy(failed)?;
    let driver = spawn(async move {
        // An error also shows at the request or body in progress.
        let _ = connection.await;
    });
    Ok(Connection {
        sender,
        driver,
        since_progress,
        scanner,
        request_count: 0,
    })
}

impl Connection {
    /// Sends a request and waits for the head of its response.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> std::result::Result<Response<ResponseBody>, SendError> {
        self.request_count += 1;
        if self.sender.ready().await.is_err() {
            return Err(SendError::Unsent(Box::new(request)));
        }
        self.since_progress.store(0, Ordering::Relaxed);
        self.scanner.lock().restart();
        match self.sender.try_send_request(request).await {
            Ok(response) => {
                self.since_progress.store(0, Ordering::Relaxed);
                let since_progress = Arc::clone(&self.since_progress);
                Ok(response.map(|body| ResponseBody {
                    body,
                    since_progress,
                }))
            }
            Err(mut failed) => Err(match (failed.take_message(), self.scanner.lock().error()) {
                (Some(request), _) => SendError::Unsent(Box::new(request)),
                (None, Some(error)) => SendError::Invalid(error),
                (None, None) => SendError::Unknown(failed.into_error()),
            }),
        }
    }

    /// Whether bytes that begin no further response have arrived behind the body of the last one, which may be longer than
    /// its length says.
    pub fn has_excess(&self) -> bool {
        self.scanner.lock().has_excess()
    }

    /// Whether a request can be sent now: the last response was read to its end, and the peer has
    /// not closed the connection.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready() && !self.driver.is_finished()
    }
}
