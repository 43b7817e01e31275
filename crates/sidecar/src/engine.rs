//! Calls to the rank beside this process.

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

/// How long a call on the own host may take: it takes some ms, and the rest allows for a shared processor.
/// The group may stand still while the answer to an order is awaited.
const CALL_TIMEOUT: Span = Span::from_millis(100);

/// How long an order on the own host may take before it is sent again: several times what it usually takes.
/// A copy that arrives late has no effect after the one that was answered. Meanwhile the group runs on an
/// unbalanced map or stands still.
const ORDER_TIMEOUT: Span = Span::from_millis(30);

/// The largest answer of a rank: several times the counts of 58 sets of 256 experts.
const MAX_RESPONSE: Size = Size::from_mib(1);

/// A call to the rank that got no readable answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct EngineError;

impl fmt::Display for EngineError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the rank gave no readable answer")
    }
}

impl std::error::Error for EngineError {}

/// The rank beside this process.
#[derive(Debug)]
pub(crate) struct Engine {
    connection: PersistentConnection,
}

impl Engine {
    /// Creates the client of the rank at this address.
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            connection: PersistentConnection::new(address, CALL_TIMEOUT)
                .with_max_response(MAX_RESPONSE),
        }
    }

    /// Returns the address at which the rank takes requests.
    pub(crate) fn address(&self) -> SocketAddr {
        self.connection.address()
    }

    /// Asks for the rank's report.
    pub(crate) async fn report(&self) -> Result<ServerReport> {
        let response = self.call(Method::GET, server::REPORT, Bytes::new(), CALL_TIMEOUT);
        let (_, body) = response.await?;
        server::read_report(&body).change_context(EngineError)
    }

    /// Asks how often each expert was chosen for this rank's requests since the rank started.
    pub(crate) async fn counts(&self) -> Result<Vec<u64>> {
        let response = self.call(Method::GET, server::COUNTS, Bytes::new(), CALL_TIMEOUT);
        let (_, body) = response.await?;
        server::read_counts(&body).change_context(EngineError)
    }

    /// Asks which experts the rank holds, by set.
    pub(crate) async fn experts(&self) -> Result<Vec<Vec<u16>>> {
        let response = self.call(Method::GET, server::EXPERTS, Bytes::new(), CALL_TIMEOUT);
        let (_, body) = response.await?;
        server::read_experts(&body).change_context(EngineError)
    }

    /// Sends the rank an order. After an error the rank may still carry it out, even later.
    pub(crate) async fn order(&self, body: Bytes) -> Result<StatusCode> {
        let (method, path) = server::ORDER;
        Ok(self.call(method, path, body, ORDER_TIMEOUT).await?.0)
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
