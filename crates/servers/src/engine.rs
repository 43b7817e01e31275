//! A client for one backend server.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};

use error_stack::{Report, ResultExt};
use futures_lite::AsyncRead;
use serde::de::DeserializeOwned;
use trillium_client::{Conn, KnownHeaderName, Method};

use snipemast_core::prelude::*;
use snipemast_wire::connect::{Clients, Held};
use snipemast_wire::{Call, Header};

use crate::protocol;

/// The result of a call to a backend server.
pub type Result<T> = std::result::Result<T, Report<EngineError>>;

/// Why a call to a backend server failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineError {
    /// The connection failed or broke off.
    Broken(SocketAddr),
    /// The answer does not follow the protocol.
    Malformed(SocketAddr),
    /// The call is not valid HTTP.
    Invalid,
}

impl fmt::Display for EngineError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Broken(address) => write!(f, "the backend server at {address} broke off"),
            Self::Malformed(address) => write!(f, "{address} does not speak the protocol"),
            Self::Invalid => f.write_str("the call is not valid HTTP"),
        }
    }
}

impl std::error::Error for EngineError {}

/// A client for one backend server, with a pool of connections to it.
#[derive(Debug, Clone)]
pub struct Engine {
    address: SocketAddr,
    clients: Clients,
}

impl Engine {
    /// Creates a client for the backend server that listens at this address.
    pub fn new(address: SocketAddr) -> Self {
        let clients = Clients::new();
        Self { address, clients }
    }

    /// Asks the server what it offers.
    pub async fn info(&self) -> Result<ServerInfo> {
        self.get(protocol::INFO).await
    }

    /// Asks the server for its load.
    pub async fn load(&self) -> Result<LoadReport> {
        self.get(protocol::LOAD).await
    }

    /// Sends a call, and returns once the head of the answer has arrived.
    pub async fn call(&self, id: &DispatchId, call: Call) -> Result<Answer> {
        let method: Method = call
            .method
            .parse()
            .map_err(|_| Report::new(EngineError::Invalid))?;
        let held = self.clients.hold();
        let mut conn = held
            .client()
            .build_conn(method, self.url(&call.path).as_str());
        for Header { name, value } in call.headers {
            conn.request_headers_mut().insert(name, value);
        }
        conn.request_headers_mut()
            .insert(protocol::DISPATCH_HEADER, id.to_string());
        if !call.body.is_empty() {
            conn.set_request_body(call.body);
        }
        let conn = conn
            .await
            .change_context(EngineError::Broken(self.address))?;
        Ok(Answer { conn, _held: held })
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        let held = self.clients.hold();
        let conn = held.client().get(self.url(path).as_str()).await;
        let mut conn = conn.change_context(EngineError::Broken(self.address))?;
        let bytes = conn.response_body().read_bytes().await;
        let bytes = bytes.change_context(EngineError::Broken(self.address))?;
        serde_json::from_slice(&bytes).change_context(EngineError::Malformed(self.address))
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }
}

/// The headers of an answer that are forwarded to the caller; the others concern the connection.
const FORWARDED_HEADERS: [&str; 3] = ["content-type", "cache-control", "etag"];

/// An answer of a backend server, whose body is read from it.
#[derive(Debug)]
pub struct Answer {
    conn: Conn,
    _held: Held,
}

impl Answer {
    /// Returns the HTTP status, or 0 if there is none.
    pub fn status(&self) -> u16 {
        self.conn.status().map_or(0, |s| s as u16)
    }

    /// Returns the headers that are forwarded to the caller.
    pub fn headers(&self) -> Vec<Header> {
        let header = |name: &str| {
            let value = self.conn.response_headers().get_str(name)?;
            Some(Header {
                name: name.into(),
                value: value.into(),
            })
        };
        FORWARDED_HEADERS
            .iter()
            .filter_map(|name| header(name))
            .collect()
    }

    /// Closes the connection, which tells the server to stop its work.
    ///
    /// Failure guarded against: a caller leaves, and the engine stays busy with tokens that nobody
    /// reads, because the HTTP library reads an abandoned body to its end in order to reuse the
    /// connection. It decides that by the answer's headers, so a `close` there makes it drop the
    /// connection instead.
    pub fn abort(mut self) {
        self.conn
            .response_headers_mut()
            .insert(KnownHeaderName::Connection, "close");
    }
}

impl AsyncRead for Answer {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.conn.response_body()).poll_read(cx, buffer)
    }
}
