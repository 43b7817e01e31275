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

/// The result of asking a backend server.
pub type Result<T> = std::result::Result<T, Report<EngineError>>;

/// A backend server that did not answer as the protocol says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineError {
    /// The connection failed or broke.
    Broken(SocketAddr),
    /// The answer is not the shape that the protocol asks for.
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

/// A backend server, reached over a pool of connections.
#[derive(Debug, Clone)]
pub struct Engine {
    address: SocketAddr,
    clients: Clients,
}

impl Engine {
    /// The backend server that listens at this address.
    pub fn new(address: SocketAddr) -> Self {
        let clients = Clients::new();
        Self { address, clients }
    }

    /// What the server offers.
    pub async fn info(&self) -> Result<ServerInfo> {
        self.get(protocol::INFO).await
    }

    /// The server's load.
    pub async fn load(&self) -> Result<LoadReport> {
        self.get(protocol::LOAD).await
    }

    /// Sends a call and returns once the head of the answer has come.
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

/// Headers of an answer that go on to the caller; the others belong to the connection.
const PASSED: [&str; 3] = ["content-type", "cache-control", "etag"];

/// An answer of a backend server, whose body is still coming.
#[derive(Debug)]
pub struct Answer {
    conn: Conn,
    _held: Held,
}

impl Answer {
    /// The HTTP status.
    pub fn status(&self) -> u16 {
        self.conn.status().map_or(0, |s| s as u16)
    }

    /// The headers to pass on.
    pub fn headers(&self) -> Vec<Header> {
        let header = |name: &str| {
            let value = self.conn.response_headers().get_str(name)?;
            Some(Header {
                name: name.into(),
                value: value.into(),
            })
        };
        PASSED.iter().filter_map(|name| header(name)).collect()
    }

    /// Breaks the connection off, which tells the server to stop its work.
    ///
    /// Failure guarded against: a caller leaves, and the engine goes on for tokens that nobody
    /// reads. It shows as an engine that stays busy after its callers left: the HTTP library reads
    /// an abandoned body to its end to keep the connection. It looks at the answer's headers when
    /// it decides that, so a `close` there makes it drop the connection instead.
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
