//! Stamps of the hybrid logical clock on the system's own messages.
//!
//! Each request and each answer carries the stamp of its sender, so that the effects of a message
//! sort after it on every process. The stamp is in a header, so the messages need no field for it.

use std::sync::Arc;

use trillium::{async_trait, Conn, Handler};

use snipemast_core::prelude::*;

/// The name of the header that carries the stamp.
pub const HEADER: &str = "stamp";

/// A handler that stamps the answers of another one, and moves the clock past its callers' stamps.
#[derive(Debug)]
pub struct Stamped<H> {
    ring: Arc<Ring>,
    inner: H,
}

impl<H: Handler> Stamped<H> {
    /// Wraps a handler, with the clock of this ring.
    pub fn new(ring: Arc<Ring>, inner: H) -> Self {
        Self { ring, inner }
    }
}

#[async_trait]
impl<H: Handler> Handler for Stamped<H> {
    async fn run(&self, conn: Conn) -> Conn {
        observe(&self.ring, conn.request_headers().get_str(HEADER));
        let conn = self.inner.run(conn).await;
        let stamp = self.ring.clock().tick();
        conn.with_response_header(HEADER, stamp.to_string())
    }
}

/// Moves a process's clock past the stamp of a header; an invalid stamp is ignored.
pub fn observe(ring: &Ring, header: Option<&str>) {
    if let Some(stamp) = header.and_then(|text| text.parse().ok()) {
        ring.observe(stamp);
    }
}
