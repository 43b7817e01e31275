//! A model engine that speaks the protocol of `docs/SERVERS.md`.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;

use serde_json::Value;
use trillium::{async_trait, Conn, Handler, Status};

use snipemast_core::prelude::*;
use snipemast_servers::orders::OrderOutcome;
use snipemast_servers::protocol;
use snipemast_wire::{pipe, spawn, PipeWriter};

use crate::cache::Cache;
use crate::orders::Orders;
use crate::shape::{Range, Shape};

/// Filler behind the first event: the HTTP library holds a response's first bytes back.
const PADDING: usize = 1_024;

/// A fake model engine.
#[derive(Debug, Clone)]
pub struct FakeEngine {
    info: ServerInfo,
    orders: Orders,
    tokens: u32,
    pace: Span,
    running: Arc<AtomicU32>,
    cache: Arc<Cache>,
}

impl FakeEngine {
    /// An engine that describes itself so.
    pub fn new(info: ServerInfo) -> Self {
        Self {
            orders: Orders::new(info.clone()),
            info,
            tokens: 16,
            pace: Span::default(),
            running: Arc::default(),
            cache: Arc::default(),
        }
    }

    /// Answers with this many tokens.
    #[must_use]
    pub fn with_tokens(mut self, tokens: u32) -> Self {
        self.tokens = tokens;
        self
    }

    /// Waits this long before each token.
    #[must_use]
    pub fn with_pace(mut self, pace: Span) -> Self {
        self.pace = pace;
        self
    }

    /// The orders that it carries out.
    pub fn orders(&self) -> &Orders {
        &self.orders
    }

    async fn order(&self, mut conn: Conn) -> Conn {
        let body = conn.request_body().await.read_bytes().await;
        let order = serde_json::from_slice(&body.unwrap_or_default());
        let Ok(order) = order else {
            return conn.with_status(Status::BadRequest).halt();
        };
        match self.orders.take(order) {
            OrderOutcome::Done => conn.with_status(Status::Ok).halt(),
            OrderOutcome::Old => conn.with_status(Status::Conflict).halt(),
            OrderOutcome::Failed => conn.with_status(Status::InternalServerError).halt(),
        }
    }

    fn load(&self) -> LoadReport {
        let running = self.running.load(Ordering::Relaxed);
        let slots = self.info.slots.max(1);
        LoadReport {
            running: running.min(slots),
            waiting: running.saturating_sub(slots),
            step: Span::from_millis(5),
            ..LoadReport::default()
        }
    }

    async fn complete(&self, mut conn: Conn, shape: Shape) -> Conn {
        let body = conn
            .request_body()
            .await
            .read_bytes()
            .await
            .unwrap_or_default();
        let Ok(request) = serde_json::from_slice::<Value>(&body) else {
            return conn.with_status(Status::BadRequest).halt();
        };
        if self.info.capabilities.prefix {
            self.cache.store(&prompt(&request));
        }
        let tokens = self.tokens(&request);
        if request["stream"].as_bool().unwrap_or(false) {
            self.stream(conn, shape, tokens)
        } else {
            self.whole(conn, shape, &request, tokens).await
        }
    }

    /// The tokens to answer: those behind the text that was delivered already.
    fn tokens(&self, request: &Value) -> Range {
        let asked = request["max_tokens"].as_u64();
        let count = asked.map_or(self.tokens, |n| n as u32);
        let delivered = request["continue_text"].as_str().unwrap_or_default();
        let start = delivered.split_whitespace().count() as u32;
        start.min(count)..count
    }

    async fn whole(&self, mut conn: Conn, shape: Shape, request: &Value, tokens: Range) -> Conn {
        let _running = Running::new(&self.running);
        let work = self.wait(tokens.len() as u64);
        if conn.cancel_on_disconnect(work).await.is_none() {
            return conn.halt();
        }
        let answer = shape.whole(&request["model"], &self.info.server, tokens);
        conn.with_response_header("content-type", "application/json")
            .ok(answer.to_string())
    }

    fn stream(&self, conn: Conn, shape: Shape, tokens: Range) -> Conn {
        let (writer, reader) = pipe(64);
        let engine = self.clone();
        spawn(async move { engine.write_events(writer, shape, tokens).await }).detach();
        let body = trillium::Body::new_streaming(reader, None);
        conn.with_response_header("content-type", "text/event-stream")
            // Many engines say so, and a client may then wish to keep the connection.
            .with_response_header("connection", "keep-alive")
            .with_status(Status::Ok)
            .with_body(body)
            .halt()
    }

    async fn write_events(&self, writer: PipeWriter, shape: Shape, tokens: Range) {
        let _running = Running::new(&self.running);
        let first = tokens.start;
        for n in tokens {
            self.wait(1).await;
            let mut event = shape.event(n);
            if n == first {
                event.push_str(&format!(":{:PADDING$}\n\n", ""));
            }
            if writer.send(event.into_bytes()).await.is_err() {
                return;
            }
        }
        // A reader that left before the end needs no end.
        let _ = writer.send(b"data: [DONE]\n\n".to_vec()).await;
    }

    fn cached(&self, conn: Conn) -> Conn {
        if !self.info.capabilities.prefix {
            return conn.with_status(Status::NotFound).halt();
        }
        let query = conn.querystring();
        let after = query.strip_prefix("after=").and_then(|n| n.parse().ok());
        let events = self.cache.after(after.unwrap_or(0));
        answer_json(conn, &events)
    }

    async fn wait(&self, tokens: u64) {
        if self.pace > Span::default() {
            smol::Timer::after(self.pace.times(tokens).as_duration()).await;
        }
    }
}

#[async_trait]
impl Handler for FakeEngine {
    async fn run(&self, conn: Conn) -> Conn {
        match conn.path() {
            protocol::INFO => answer_json(conn, &self.orders.info()),
            protocol::ORDERS => self.order(conn).await,
            protocol::LOAD => answer_json(conn, &self.load()),
            protocol::CACHE => self.cached(conn),
            path => match Shape::of(path) {
                Some(shape) => self.complete(conn, shape).await,
                None => conn.with_status(Status::NotFound).halt(),
            },
        }
    }
}

/// Answers with a JSON document.
pub(crate) fn answer_json<T: serde::Serialize>(conn: Conn, value: &T) -> Conn {
    let text = serde_json::to_string(value).expect("descriptions are plain data");
    conn.with_response_header("content-type", "application/json")
        .ok(text)
}

/// The text that a prompt's prefix is taken from.
fn prompt(request: &Value) -> String {
    match &request["prompt"] {
        Value::String(text) => text.clone(),
        _ => request["messages"].to_string(),
    }
}

/// Counts a request while it runs, also when its reader leaves early.
struct Running {
    count: Arc<AtomicU32>,
}

impl Running {
    fn new(count: &Arc<AtomicU32>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self {
            count: Arc::clone(count),
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::Relaxed);
    }
}
