//! Calls between the system's own processes, with one MessagePack message each way.

use std::fmt;
use std::net::SocketAddr;

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use http_body_util::Full;
use hyper::http::request;
use hyper::{Request, Response, StatusCode};
use serde::de::DeserializeOwned;
use serde::Serialize;

use snipemast_core::prelude::*;

use crate::exec::while_progress;
use crate::kept::PersistentConnection;
use crate::parts::{self, PartAck, UploadId};

/// The result of a call.
pub type Result<T> = std::result::Result<T, Report<RpcError>>;

/// The time limit for a new connection, enough for two round trips between distant availability
/// zones and one lost packet.
const CONNECT_LIMIT: Span = Span::from_millis(800);

/// The size of the parts of a large message: a small part of what a link carries within the limit of a call.
const PART_BYTES: usize = 32 << 10;

/// How often in succession a part may fail before the call fails.
const MAX_PART_FAILURES: u32 = 2;

/// Why a call has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RpcError {
    /// There is no connection, it broke, or no answer came within the limit.
    Unanswered(SocketAddr),
    /// The peer refused the call.
    Refused(StatusCode),
    /// The message can't be decoded.
    Unreadable,
}

impl fmt::Display for RpcError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unanswered(a) => write!(f, "{a} did not answer"),
            Self::Refused(status) => write!(f, "the peer refused the call with status {status}"),
            Self::Unreadable => f.write_str("the message can't be read"),
        }
    }
}

impl std::error::Error for RpcError {}

/// A peer with a persistent connection to it; calls are sent one after another.
#[derive(Debug)]
pub struct RpcClient {
    connection: PersistentConnection,
}

impl RpcClient {
    /// Creates a client of the process at an address.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            connection: PersistentConnection::new(address, CONNECT_LIMIT),
        }
    }

    /// Returns the peer's address.
    pub fn address(&self) -> SocketAddr {
        self.connection.address()
    }

    /// Sets how long written bytes may stay unacknowledged before the connection fails.
    #[must_use]
    pub fn with_ack_timeout(self, ack_timeout: Span) -> Self {
        let connection = self.connection.with_ack_timeout(ack_timeout);
        Self { connection }
    }

    /// Calls the peer and waits for its answer. The limit is how long no part of the answer may arrive.
    pub async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        message: &Q,
        limit: Span,
    ) -> Result<A> {
        self.send(Request::post(path), encode(message), limit).await
    }

    /// Does the same as [`call`](Self::call) for a message of any size. It is sent in parts, for each of which the limit
    /// holds, and the recipient keeps those that arrived.
    pub async fn call_in_parts<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        message: &Q,
        limit: Span,
    ) -> Result<A> {
        let whole = encode(message);
        if whole.len() <= PART_BYTES {
            return self.send(Request::post(path), whole, limit).await;
        }
        let upload = UploadId(rand::random());
        let (mut offset, mut failures) = (0, 0);
        while offset < whole.len() {
            let end = (offset + PART_BYTES).min(whole.len());
            let part = Request::post(parts::PATH)
                .header(parts::UPLOAD_HEADER, upload.to_string())
                .header(parts::OFFSET_HEADER, offset.to_string());
            match self.send(part, whole.slice(offset..end), limit).await {
                Ok(PartAck { received }) if received as usize <= whole.len() => {
                    (offset, failures) = (received as usize, 0);
                }
                Ok(_) => return Err(Report::new(RpcError::Unreadable)),
                Err(e) if failures == MAX_PART_FAILURES => return Err(e),
                Err(_) => failures += 1,
            }
        }
        let complete = Request::post(path).header(parts::UPLOAD_HEADER, upload.to_string());
        self.send(complete, Bytes::new(), limit).await
    }

    /// Sends a request with this body, and decodes the answer.
    async fn send<A: DeserializeOwned>(
        &self,
        request: request::Builder,
        body: Bytes,
        limit: Span,
    ) -> Result<A> {
        let address = self.connection.address();
        let unanswered = RpcError::Unanswered(address);
        let request = request
            .header("host", address.to_string())
            .body(Full::new(body))
            .change_context(RpcError::Unreadable)?;
        let received = || self.connection.received();
        let called = while_progress(limit, received, self.connection.exchange(request)).await;
        let called = called.ok_or_else(|| Report::new(unanswered))?;
        let (status, body) = called.change_context(unanswered)?;
        if status != StatusCode::OK {
            return Err(Report::new(RpcError::Refused(status)));
        }
        decode(&body)
    }
}

/// Encodes a message with its field names, so that a later release may add fields.
pub fn encode<T: Serialize>(message: &T) -> Bytes {
    rmp_serde::to_vec_named(message)
        .expect("MessagePack can encode every message")
        .into()
}

/// Decodes a message.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    rmp_serde::from_slice(bytes).change_context(RpcError::Unreadable)
}

/// Returns a response that carries a message.
pub fn encode_response<T: Serialize>(message: &T) -> Response<Full<Bytes>> {
    Response::new(Full::new(encode(message)))
}
