//! The HTTP interface for callers.

use std::sync::Arc;

use serde_json::json;
use trillium::{async_trait, Body, Conn, Handler, KnownHeaderName, Status};

use snipemast_callers::ask::read_bearer_key;
use snipemast_callers::problem::{Problem, ProblemKind, OUTCOME_HEADER, REQUEST_HEADER};
use snipemast_callers::{ServiceRequest, Target};
use snipemast_config::{Config, Service};
use snipemast_core::prelude::*;
use snipemast_wire::{pipe, spawn};

use crate::relay::{start_request, StartedAnswer};
use crate::shared::Shared;

/// The number of chunks that may wait for a slow caller before reading from the server pauses.
const MAX_PIPE_CHUNKS: usize = 16;

/// The bytes of padding in front of a stream.
///
/// The HTTP library holds back a response's first bytes until about this many have been written,
/// which would delay the first token.
const PADDING: usize = 1_024;

/// The retry delay given by a stopping host; its balancer has noticed the stop by then.
const RETRY_AFTER: Span = Span::from_secs(1);

/// Handles callers' requests.
#[derive(Debug)]
pub struct CallerApi {
    shared: Arc<Shared>,
}

impl CallerApi {
    /// Creates the handler over the shared state.
    pub fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    async fn answer(&self, mut conn: Conn) -> Conn {
        let request = self.shared.next_request();
        match self.serve(&mut conn, &request).await {
            Ok(Reply { started, stream }) => write_answer(conn, started, stream).await,
            Err(problem) => {
                self.shared
                    .journal
                    .record(Event::RequestRefused, &request, &problem);
                let conn = conn.with_response_header(REQUEST_HEADER, request.to_string());
                problem.answer(conn)
            }
        }
    }

    async fn serve(&self, conn: &mut Conn, request: &RequestId) -> Result<Reply, Problem> {
        if self.shared.is_closed() {
            let problem = Problem::new(ProblemKind::Unavailable, "this host is leaving");
            return Err(problem.with_retry(RETRY_AFTER));
        }
        let config = self.shared.config();
        let workspace = authorize(&config, conn)?;
        let ask = ServiceRequest::read(conn, self.shared.settings.limits.body).await?;
        let stream = matches!(ask.target, Target::Model { stream: true, .. });
        let started = start_request(&self.shared, &config, workspace, ask, request.clone());
        // A caller that disconnects drops the request, and its attempt is cancelled.
        let caller_left = || Err(Problem::new(ProblemKind::Failed, "the caller left"));
        let started = conn.cancel_on_disconnect(started).await;
        let started = started.unwrap_or_else(caller_left)?;
        Ok(Reply { started, stream })
    }

    fn models(&self, conn: Conn) -> Conn {
        let config = self.shared.config();
        if let Err(problem) = authorize(&config, &conn) {
            return problem.answer(conn);
        }
        let models = config
            .services
            .iter()
            .filter(|(_, s)| matches!(s, Service::Model { .. }));
        let data: Vec<_> = models
            .map(|(id, _)| json!({ "id": id, "object": "model" }))
            .collect();
        let list = json!({ "object": "list", "data": data });
        conn.with_response_header(KnownHeaderName::ContentType, "application/json")
            .ok(list.to_string())
    }

    fn ready(&self, conn: Conn) -> Conn {
        if self.shared.is_draining() {
            conn.with_status(Status::ServiceUnavailable)
                .with_body("draining\n")
                .halt()
        } else {
            conn.ok("ready\n")
        }
    }
}

#[async_trait]
impl Handler for CallerApi {
    async fn run(&self, conn: Conn) -> Conn {
        match conn.path() {
            "/healthz" => conn.ok("ok\n"),
            "/readyz" => self.ready(conn),
            "/v1/models" => self.models(conn),
            _ => self.answer(conn).await,
        }
    }
}

struct Reply {
    started: StartedAnswer,
    stream: bool,
}

fn authorize(config: &Config, conn: &Conn) -> Result<WorkspaceId, Problem> {
    let hash = read_bearer_key(conn)?;
    let unknown = || Problem::new(ProblemKind::Unauthorized, "the key belongs to no workspace");
    config.workspace_of(&hash).cloned().ok_or_else(unknown)
}

async fn write_answer(conn: Conn, started: StartedAnswer, stream: bool) -> Conn {
    let StartedAnswer {
        status,
        headers,
        body,
    } = started;
    let request = body.request().to_string();
    let mut conn = conn
        .with_status(status)
        .with_response_header(REQUEST_HEADER, request);
    for header in headers {
        conn = conn.with_response_header(header.name, header.value);
    }
    if !stream {
        return match body.read_to_end().await {
            Ok(body) => conn
                .with_response_header(OUTCOME_HEADER, Outcome::Ran.as_str())
                .with_body(body)
                .halt(),
            Err(problem) => problem.answer(conn),
        };
    }
    let (writer, reader) = pipe(MAX_PIPE_CHUNKS);
    spawn(async move {
        let filler = format!(":{:PADDING$}\n\n", "");
        if writer.send(filler.into_bytes()).await.is_ok() {
            body.stream_to(writer).await;
        }
    })
    .detach();
    conn.with_body(Body::new_streaming(reader, None)).halt()
}
