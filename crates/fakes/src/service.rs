//! A plain service that counts what it ran.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use serde_json::json;
use trillium::{async_trait, Conn, Handler};

use snipemast_core::prelude::*;
use snipemast_servers::protocol;

use crate::engine::answer_json;

/// A fake plain service.
#[derive(Debug, Clone)]
pub struct FakeService {
    info: ServerInfo,
    runs: Arc<AtomicU64>,
}

impl FakeService {
    /// A service that describes itself so.
    pub fn new(info: ServerInfo) -> Self {
        Self {
            info,
            runs: Arc::default(),
        }
    }

    /// How many calls ran.
    pub fn runs(&self) -> u64 {
        self.runs.load(Ordering::SeqCst)
    }

    async fn answer(&self, mut conn: Conn) -> Conn {
        let body = conn.request_body_string().await.unwrap_or_default();
        let run = self.runs.fetch_add(1, Ordering::SeqCst) + 1;
        let answer = json!({
            "served_by": self.info.server,
            "method": conn.method().as_str(),
            "path": conn.path(),
            "body": body,
            "run": run,
        });
        answer_json(conn, &answer)
    }
}

#[async_trait]
impl Handler for FakeService {
    async fn run(&self, conn: Conn) -> Conn {
        match conn.path() {
            protocol::INFO => answer_json(conn, &self.info),
            protocol::LOAD => answer_json(conn, &LoadReport::default()),
            _ => self.answer(conn).await,
        }
    }
}
