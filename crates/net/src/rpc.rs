//! Calls between own processes: one MessagePack message each way.

use std::fmt;
use std::net::SocketAddr;

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use http_body_util::Full;
use hyper::{Request, Response, StatusCode};
use serde::de::DeserializeOwned;
use serde::Serialize;

use snipemast_core::prelude::*;

use crate::exec::within;
use crate::kept::PersistentConnection;

/// The result of a call.
pub type Result<T> = std::result::Result<T, Report<RpcError>>;

/// How long a new connection may take: two round trips between distant zones, and one lost packet.
const CONNECT_LIMIT: Span = Span::from_millis(800);

/// A call that was not answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RpcError {
    /// No connection, no answer within the limit, or the connection broke.
    Unanswered(SocketAddr),
    /// The peer refused the call.
    Refused(StatusCode),
    /// A message that can't be read.
    Unreadable,
}

impl fmt::Display for RpcError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unanswered(a) => write!(f, "{a} did not answer"),
            Self::Refused(status) => write!(f, "refused with {status}"),
            Self::Unreadable => f.write_str("the message can't be read"),
        }
    }
}

impl std::error::Error for RpcError {}

/// One peer, with the connection to it that is kept; calls go one after another.
#[derive(Debug)]
pub struct RpcClient {
    connection: PersistentConnection,
}

impl RpcClient {
    /// A client of the process at an address.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            connection: PersistentConnection::new(address, CONNECT_LIMIT),
        }
    }

    /// Takes the peer for gone once written bytes have stayed unacknowledged for so long.
    #[must_use]
    pub fn with_ack_timeout(self, ack_timeout: Span) -> Self {
        let connection = self.connection.with_ack_timeout(ack_timeout);
        Self { connection }
    }

    /// Calls the peer and waits for its answer, at most for the limit.
    pub async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        message: &Q,
        limit: Span,
    ) -> Result<A> {
        let address = self.connection.address();
        let unanswered = RpcError::Unanswered(address);
        let request = Request::post(path)
            .header("host", address.to_string())
            .body(Full::new(encode(message)))
            .change_context(RpcError::Unreadable)?;
        let called = within(limit, self.connection.exchange(request)).await;
        let called = called.ok_or_else(|| Report::new(unanswered))?;
        let (status, body) = called.change_context(unanswered)?;
        if status != StatusCode::OK {
            return Err(Report::new(RpcError::Refused(status)));
        }
        decode(&body)
    }
}

/// A message in bytes, fields by name so that a later release may add some.
pub fn encode<T: Serialize>(message: &T) -> Bytes {
    rmp_serde::to_vec_named(message)
        .expect("messages hold nothing that MessagePack can't")
        .into()
}

/// Reads a message.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    rmp_serde::from_slice(bytes).change_context(RpcError::Unreadable)
}

/// The response that carries a message.
pub fn encode_response<T: Serialize>(message: &T) -> Response<Full<Bytes>> {
    Response::new(Full::new(encode(message)))
}
