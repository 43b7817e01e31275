//! A model engine that implements the protocol of `docs/SERVERS.md`.

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

/// The length of the padding after the first event, in bytes. The HTTP library buffers the first bytes
/// of a response until it has about this many.
const PADDING: usize = 1_024;

/// A fake model engine.
#[derive(Debug, Clone)]
pub struct FakeEngine {
    info: ServerInfo,
    orders: Orders,
    /// The number of tokens of an answer, unless the request sets another.
    tokens: u32,
    /// The delay before each token.
    pace: Span,
    /// The number of requests that run or wait.
    running: Arc<AtomicU32>,
    cache: Arc<Cache>,
}

impl FakeEngine {
    /// Creates an engine with this description.
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

    /// Sets the number of tokens of each answer.
    #[must_use]
    pub fn with_tokens(mut self, tokens: u32) -> Self {
        self.tokens = tokens;
        self
    }

    /// Sets the delay before each token.
    #[must_use]
    pub fn with_pace(mut self, pace: Span) -> Self {
        self.pace = pace;
        self
    }

    /// Returns the orders that the engine carries out.
    pub fn orders(&self) -> &Orders {
        &self.orders
    }

    /// Carries out the order of a request.
    async fn handle_order(&self, mut conn: Conn) -> Conn {
        let body = conn.request_body().await.read_bytes().await;
        let order = serde_json::from_slice(&body.unwrap_or_default());
        let Ok(order) = order else {
            return conn.with_status(Status::BadRequest).halt();
        };
        match self.orders.execute(order) {
            OrderOutcome::Done => conn.with_status(Status::Ok).halt(),
            OrderOutcome::Old => conn.with_status(Status::Conflict).halt(),
            OrderOutcome::Failed => conn.with_status(Status::InternalServerError).halt(),
        }
    }

    /// Returns the load; requests beyond the slots count as waiting.
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

    /// Answers a completion request, as a stream if the request asks for one.
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
            self.cache.store(&prompt_text(&request));
        }
        let tokens = self.tokens(&request);
        if request["stream"].as_bool().unwrap_or(false) {
            self.answer_stream(conn, shape, tokens)
        } else {
            self.answer_whole(conn, shape, &request, tokens).await
        }
    }

    /// Returns the tokens of the answer, which follow the text that was already delivered.
    fn tokens(&self, request: &Value) -> Range {
        let asked = request["max_tokens"].as_u64();
        let count = asked.map_or(self.tokens, |n| n as u32);
        let delivered = request["continue_text"].as_str().unwrap_or_default();
        let start = delivered.split_whitespace().count() as u32;
        start.min(count)..count
    }

    /// Answers with one JSON document once all tokens are ready.
    async fn answer_whole(
        &self,
        mut conn: Conn,
        shape: Shape,
        request: &Value,
        tokens: Range,
    ) -> Conn {
        let _running = RunningGuard::new(&self.running);
        let work = self.wait(tokens.len() as u64);
        if conn.cancel_on_disconnect(work).await.is_none() {
            return conn.halt();
        }
        let answer = shape.whole(&request["model"], &self.info.server, tokens);
        conn.with_response_header("content-type", "application/json")
            .ok(answer.to_string())
    }

    /// Answers with one event per token.
    fn answer_stream(&self, conn: Conn, shape: Shape, tokens: Range) -> Conn {
        let (writer, reader) = pipe(64);
        let engine = self.clone();
        spawn(async move { engine.write_events(writer, shape, tokens).await }).detach();
        let body = trillium::Body::new_streaming(reader, None);
        conn.with_response_header("content-type", "text/event-stream")
            // Many engines send this header, and a client may then try to keep the connection.
            .with_response_header("connection", "keep-alive")
            .with_status(Status::Ok)
            .with_body(body)
            .halt()
    }

    /// Writes the events of a stream until its reader is gone.
    async fn write_events(&self, writer: PipeWriter, shape: Shape, tokens: Range) {
        let _running = RunningGuard::new(&self.running);
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
        // A reader that has already gone does not need the end.
        let _ = writer.send(b"data: [DONE]\n\n".to_vec()).await;
    }

    /// Answers with the cache events after the number in the query.
    fn answer_cache(&self, conn: Conn) -> Conn {
        if !self.info.capabilities.prefix {
            return conn.with_status(Status::NotFound).halt();
        }
        let query = conn.querystring();
        let after = query.strip_prefix("after=").and_then(|n| n.parse().ok());
        let events = self.cache.after(after.unwrap_or(0));
        answer_json(conn, &events)
    }

    /// Waits for the delay of this many tokens.
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
            protocol::ORDERS => self.handle_order(conn).await,
            protocol::LOAD => answer_json(conn, &self.load()),
            protocol::CACHE => self.answer_cache(conn),
            path => match Shape::from_path(path) {
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

/// Returns the text whose prefix is cached.
fn prompt_text(request: &Value) -> String {
    match &request["prompt"] {
        Value::String(text) => text.clone(),
        _ => request["messages"].to_string(),
    }
}

/// Counts a request while it runs, even if its reader leaves early.
struct RunningGuard {
    count: Arc<AtomicU32>,
}

impl RunningGuard {
    fn new(count: &Arc<AtomicU32>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self {
            count: Arc::clone(count),
        }
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::Relaxed);
    }
}
