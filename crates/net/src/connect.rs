//! One connection to a peer, owned by whoever uses it.

use std::fmt;
use std::net::SocketAddr;

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::{Request, Response};
use smol::Task;
use smol_hyper::rt::FuturesIo;

use snipemast_core::prelude::*;

use crate::exec::spawn;
use crate::socket::{self, ACK_TIMEOUT};

/// The result of connecting.
pub type Result<T> = std::result::Result<T, Report<ConnectError>>;

/// No connection to a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectError(
    /// The peer's address.
    pub SocketAddr,
);

impl fmt::Display for ConnectError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "no connection to {}", self.0)
    }
}

impl std::error::Error for ConnectError {}

/// Why a request got no response.
#[derive(Debug)]
pub enum SendError {
    /// Nothing of it was written: the peer has not seen it.
    Unsent,
    /// It may have reached the peer.
    Unknown(hyper::Error),
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unsent => f.write_str("nothing was written"),
            Self::Unknown(e) => write!(f, "it may have arrived: {e}"),
        }
    }
}

impl std::error::Error for SendError {}

/// An open connection; dropping it closes the socket at once, whatever is under way on it.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: Task<()>,
    /// How many requests it has carried.
    pub request_count: u32,
}

/// Opens a connection within a limit.
pub async fn connect(address: SocketAddr, limit: Span) -> Result<Connection> {
    connect_with_ack_timeout(address, limit, ACK_TIMEOUT).await
}

/// Opens a connection on which written bytes may stay unacknowledged for so long.
pub async fn connect_with_ack_timeout(
    address: SocketAddr,
    limit: Span,
    ack_timeout: Span,
) -> Result<Connection> {
    let failed = || ConnectError(address);
    let stream = socket::open(address, limit, ack_timeout)
        .await
        .change_context_lazy(failed)?;
    let (sender, connection) = handshake(FuturesIo::new(stream))
        .await
        .change_context_lazy(failed)?;
    let driver = spawn(async move {
        // How it ended shows at the request or body that was under way.
        let _ = connection.await;
    });
    Ok(Connection {
        sender,
        driver,
        request_count: 0,
    })
}

impl Connection {
    /// Sends a request and waits for the head of its response.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> std::result::Result<Response<Incoming>, SendError> {
        self.request_count += 1;
        if self.sender.ready().await.is_err() {
            return Err(SendError::Unsent);
        }
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut failed) => Err(match failed.take_message() {
                Some(_) => SendError::Unsent,
                None => SendError::Unknown(failed.into_error()),
            }),
        }
    }

    /// Whether it can take a request now: the last response was read in whole and the peer has
    /// not closed.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready() && !self.driver.is_finished()
    }
}
