//! A plain service that counts the calls it ran.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use parking_lot::Mutex;
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
    /// The number of calls with each body.
    bodies: Arc<Mutex<HashMap<String, u64>>>,
    pace: Span,
}

impl FakeService {
    /// Creates a service with this description.
    pub fn new(info: ServerInfo) -> Self {
        Self {
            info,
            runs: Arc::default(),
            bodies: Arc::default(),
            pace: Span::default(),
        }
    }

    /// Sets how long each call takes.
    #[must_use]
    pub fn with_pace(mut self, pace: Span) -> Self {
        self.pace = pace;
        self
    }

    /// Returns how often a call with this body ran.
    pub fn runs_of(&self, body: &str) -> u64 {
        self.bodies.lock().get(body).copied().unwrap_or(0)
    }

    /// Returns how many calls ran.
    pub fn runs(&self) -> u64 {
        self.runs.load(Ordering::SeqCst)
    }

    /// Counts a call and answers with a description of it.
    async fn answer(&self, mut conn: Conn) -> Conn {
        let body = conn.request_body_string().await.unwrap_or_default();
        let run = self.runs.fetch_add(1, Ordering::SeqCst) + 1;
        *self.bodies.lock().entry(body.clone()).or_default() += 1;
        if self.pace > Span::default() {
            smol::Timer::after(self.pace.as_duration()).await;
        }
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
