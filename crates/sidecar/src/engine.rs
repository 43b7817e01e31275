//! Calls to the rank beside which this process runs.

use std::fmt;
use std::net::SocketAddr;

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Method, Request, StatusCode};

use snipemast_core::prelude::*;
use snipemast_net::exec::within;
use snipemast_net::PersistentConnection;
use snipemast_platform::server::{self, ServerReport};

/// The result of a call.
pub(crate) type Result<T> = std::result::Result<T, Report<EngineError>>;

/// How long a call on the own host may take: it takes some ms, and the rest is for a processor that
/// is shared. The group may stand still while an order that got no answer is waited for.
const LIMIT: Span = Span::from_millis(100);

/// How long an order on the own host may take before it is given again: some times what it takes. One that
/// comes late after all is outdated by the one that was answered. The group is on an uneven map or
/// stands still meanwhile.
const ORDER: Span = Span::from_millis(30);

/// A call that was not answered, or not in words that can be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct EngineError;

impl fmt::Display for EngineError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the rank does not answer")
    }
}

impl std::error::Error for EngineError {}

/// The rank beside this process.
#[derive(Debug)]
pub(crate) struct Engine {
    connection: PersistentConnection,
}

impl Engine {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            connection: PersistentConnection::new(address, LIMIT),
        }
    }

    /// Where the rank takes requests.
    pub(crate) fn address(&self) -> SocketAddr {
        self.connection.address()
    }

    /// The rank's report.
    pub(crate) async fn report(&self) -> Result<ServerReport> {
        let asked = self.call(Method::GET, server::REPORT, Bytes::new(), LIMIT);
        let (_, body) = asked.await?;
        server::read_report(&body).change_context(EngineError)
    }

    /// How often each expert was chosen for this rank's requests, since it started.
    pub(crate) async fn counts(&self) -> Result<Vec<u64>> {
        let asked = self.call(Method::GET, server::COUNTS, Bytes::new(), LIMIT);
        let (_, body) = asked.await?;
        server::read_counts(&body).change_context(EngineError)
    }

    /// The experts that the rank holds, by set.
    pub(crate) async fn experts(&self) -> Result<Vec<Vec<u16>>> {
        let asked = self.call(Method::GET, server::EXPERTS, Bytes::new(), LIMIT);
        let (_, body) = asked.await?;
        server::read_experts(&body).change_context(EngineError)
    }

    /// Gives the rank an order; an error where it may be carried out all the same, even later.
    pub(crate) async fn order(&self, body: Bytes) -> Result<StatusCode> {
        let (method, path) = server::ORDER;
        Ok(self.call(method, path, body, ORDER).await?.0)
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        limit: Span,
    ) -> Result<(StatusCode, Bytes)> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, self.connection.address().to_string())
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .change_context(EngineError)?;
        let called = within(limit, self.connection.exchange(request)).await;
        let called = called.ok_or_else(|| Report::new(EngineError))?;
        called.change_context(EngineError)
    }
}
