//! A persistent connection to one peer.

use std::fmt;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, Response, StatusCode};
use smol::lock::Mutex;

use snipemast_core::prelude::*;

use crate::connect::{connect_counted, Connection, Received, ResponseBody, SendError};
use crate::socket::ACK_TIMEOUT;

/// The largest body of a response of the system's own processes: several times the largest configuration.
const MAX_RESPONSE: Size = Size::from_mib(32);

/// The result of an exchange.
pub type Result<T> = std::result::Result<T, Report<ExchangeError>>;

/// A connection on which a request was sent, and the head of its response.
type Sent = (Connection, Response<ResponseBody>);

/// The error for a request without a complete response, as the connection failed or broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ExchangeError(
    /// The peer's address.
    pub SocketAddr,
);

impl fmt::Display for ExchangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} did not answer", self.0)
    }
}

impl std::error::Error for ExchangeError {}

/// A peer with a persistent connection to it; requests are sent one after another.
#[derive(Debug)]
pub struct PersistentConnection {
    address: SocketAddr,
    limit: Span,
    ack_timeout: Span,
    max_response: Size,
    received: Received,
    idle: Mutex<Option<Connection>>,
}

impl PersistentConnection {
    /// Creates a client of the peer at an address, without a connection yet.
    ///
    /// Opening a connection may take as long as the limit.
    pub fn new(address: SocketAddr, limit: Span) -> Self {
        Self {
            address,
            limit,
            ack_timeout: ACK_TIMEOUT,
            max_response: MAX_RESPONSE,
            received: Received::default(),
            idle: Mutex::new(None),
        }
    }

    /// Sets how long written bytes may stay unacknowledged before the connection fails.
    #[must_use]
    pub fn with_ack_timeout(self, ack_timeout: Span) -> Self {
        Self {
            ack_timeout,
            ..self
        }
    }

    /// Sets the largest body of a response; a longer one fails its exchange.
    #[must_use]
    pub fn with_max_response(self, max_response: Size) -> Self {
        Self {
            max_response,
            ..self
        }
    }

    /// Returns how many bytes have arrived from the peer.
    pub fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }

    /// Returns the peer's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request and reads the whole response.
    ///
    /// A request with an idempotent method may be sent twice, if the connection that was kept fails.
    ///
    /// The connection is removed during the exchange, so that a cancelled exchange
    /// leaves none behind.
    pub async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<(StatusCode, Bytes)> {
        let failed = ExchangeError(self.address);
        let mut idle = self.idle.lock().await;
        let kept = idle.take().filter(Connection::is_ready);
        let (connection, response) = match kept {
            Some(connection) => {
                let again = request.method().is_idempotent().then(|| request.clone());
                match (Self::send(connection, request).await, again) {
                    // The peer closed the connection before anything was written to it.
                    (Err(SendError::Unsent(request)), _) => self.send_anew(*request).await?,
                    // Bytes of the peer that belong to no response spoilt the connection.
                    (Err(_), Some(request)) => self.send_anew(request).await?,
                    (sent, _) => sent.change_context(failed)?,
                }
            }
            None => self.send_anew(request).await?,
        };
        let status = response.status();
        let bound = self.max_response.as_bytes() as usize;
        let body = Limited::new(response.into_body(), bound).collect().await;
        let body = body.map_err(|_| failed)?.to_bytes();
        *idle = Some(connection);
        Ok((status, body))
    }

    /// Sends a request on a new connection.
    async fn send_anew(&self, request: Request<Full<Bytes>>) -> Result<Sent> {
        let failed = ExchangeError(self.address);
        let received = Received::clone(&self.received);
        let connection = connect_counted(self.address, self.limit, self.ack_timeout, received);
        let connection = connection.await.change_context(failed)?;
        Self::send(connection, request).await.change_context(failed)
    }

    async fn send(
        mut connection: Connection,
        request: Request<Full<Bytes>>,
    ) -> std::result::Result<Sent, SendError> {
        let response = connection.send(request).await?;
        Ok((connection, response))
    }
}
