//! One connection that is kept for the calls to one peer.

use std::fmt;
use std::net::SocketAddr;

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use http_body_util::{BodyExt, Full};
use hyper::{Request, StatusCode};
use smol::lock::Mutex;

use snipemast_core::prelude::*;

use crate::connect::{connect_with_ack_timeout, Connection};
use crate::socket::ACK_TIMEOUT;

/// The result of an exchange.
pub type Result<T> = std::result::Result<T, Report<ExchangeError>>;

/// A request that has no whole response: no connection, or one that broke.
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

/// One peer, with the connection to it that is kept; requests go one after another.
#[derive(Debug)]
pub struct PersistentConnection {
    address: SocketAddr,
    limit: Span,
    ack_timeout: Span,
    kept: Mutex<Option<Connection>>,
}

impl PersistentConnection {
    /// No connection yet to the peer at an address; a new one may take so long.
    pub fn new(address: SocketAddr, limit: Span) -> Self {
        Self {
            address,
            limit,
            ack_timeout: ACK_TIMEOUT,
            kept: Mutex::new(None),
        }
    }

    /// Takes the peer for gone once written bytes have stayed unacknowledged for so long.
    #[must_use]
    pub fn with_ack_timeout(self, ack_timeout: Span) -> Self {
        Self {
            ack_timeout,
            ..self
        }
    }

    /// The peer's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request and reads the whole response.
    ///
    /// The connection is taken out meanwhile, so that an exchange that is cut off in the middle leaves
    /// none behind.
    pub async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<(StatusCode, Bytes)> {
        let unanswered = ExchangeError(self.address);
        let mut kept = self.kept.lock().await;
        let usable = kept.take().filter(Connection::is_ready);
        let mut connection = match usable {
            Some(connection) => connection,
            None => connect_with_ack_timeout(self.address, self.limit, self.ack_timeout)
                .await
                .change_context(unanswered)?,
        };
        let response = connection.send(request).await.change_context(unanswered)?;
        let status = response.status();
        let body = response.into_body().collect().await;
        let body = body.change_context(unanswered)?.to_bytes();
        *kept = Some(connection);
        Ok((status, body))
    }
}
