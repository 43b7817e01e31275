//! Passes one request to a backend server and its answer back to the caller.

use std::sync::Arc;

use futures_lite::FutureExt;

use snipemast_callers::problem::{Problem, ProblemKind};
use snipemast_callers::{ServiceRequest, Target};
use snipemast_config::{Config, Service};
use snipemast_core::prelude::*;
use snipemast_requests::{Fingerprint, Plan, Reason, Verdict};
use snipemast_routing::Wanted;
use snipemast_wire::{Call, Header, PipeWriter};

use crate::admit::{admit, Admitted, Demand};
use crate::attempt::{RequestDriver, RequestSpec, Step};
use crate::shared::{InFlight, Shared};

/// The result of a step, with the problem that the caller gets.
pub type Result<T> = std::result::Result<T, Problem>;

/// The retry delay given to a caller whose request no server can take.
const RETRY_AFTER: Span = Span::from_secs(1);
/// The most times that one request is dispatched.
const MAX_ATTEMPTS: u32 = 3;
/// The longest body that is buffered for a caller that doesn't stream, in bytes.
const MAX_BUFFERED_BODY: usize = 32 << 20;
/// How long a caller may read nothing before it counts as disconnected.
const STALL_TIMEOUT: Span = Span::from_secs(30);
/// The number of bytes that are collected for one write to a caller.
const BATCH_BYTES: usize = 16 << 10;

/// An answer whose head has arrived.
#[derive(Debug)]
pub struct StartedAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The headers for the caller.
    pub headers: Vec<Header>,
    /// The body, which is still arriving.
    pub body: AnswerBody,
}

/// The body of an answer that is still arriving.
#[derive(Debug)]
pub struct AnswerBody {
    shared: Arc<Shared>,
    driver: RequestDriver,
    admitted: Admitted,
    _running: InFlight,
}

/// Sends a request to a backend server and returns once its answer has started.
pub async fn start_request(
    shared: &Arc<Shared>,
    config: &Config,
    workspace: WorkspaceId,
    ask: ServiceRequest,
    request: RequestId,
) -> Result<StartedAnswer> {
    shared
        .journal
        .record(Event::RequestReceived, &request, ask.target.service());
    let (wanted, idempotent) = resolve_target(config, &ask)?;
    let running = shared.track_request();
    let demand = Demand::new(&workspace, &wanted, &ask, shared.settings.limits.deadline);
    let admitted = admit(shared, config, demand).await?;
    let plan = request_plan(shared, &ask, idempotent);
    let key = ask.key.clone();
    let method = ask.method.as_str();
    let fingerprint = Fingerprint::for_request(workspace.as_str(), method, &ask.path, &ask.body);
    let spec = RequestSpec {
        request,
        workspace,
        wanted,
        prefix: admitted.prefix(),
        key,
        fingerprint,
        call: server_call(config, ask)?,
    };
    let mut driver = RequestDriver::start(Arc::clone(shared), plan, spec);
    loop {
        match driver.next().await {
            Step::Head(status, headers) => {
                let body = AnswerBody {
                    shared: Arc::clone(shared),
                    driver,
                    admitted,
                    _running: running,
                };
                return Ok(StartedAnswer {
                    status,
                    headers,
                    body,
                });
            }
            Step::Failed(verdict) => return Err(problem(verdict)),
            // The head comes first, so neither of these can occur.
            Step::Data(_) | Step::End => {}
        }
    }
}

fn request_plan(shared: &Shared, ask: &ServiceRequest, idempotent: bool) -> Plan {
    let limits = &shared.settings.limits;
    Plan {
        idempotent,
        stream: matches!(ask.target, Target::Model { stream: true, .. }),
        // Idempotent requests need no claim, since a second run is harmless.
        keyed: ask.key.is_some() && !idempotent,
        deadline: shared.clock.now() + limits.deadline,
        max_attempts: MAX_ATTEMPTS,
        max_silence: limits.silence,
        max_body: MAX_BUFFERED_BODY,
    }
}

/// Returns the offer that a backend server must have, and whether the request is idempotent.
fn resolve_target(config: &Config, ask: &ServiceRequest) -> Result<(Wanted, bool)> {
    let unknown = || {
        Problem::new(
            ProblemKind::NotFound,
            format!("no service {}", ask.target.service()),
        )
    };
    let service = config
        .services
        .get(ask.target.service())
        .ok_or_else(unknown)?;
    match (&ask.target, service) {
        (
            Target::Model { .. },
            Service::Model {
                model,
                adapter,
                idempotent,
            },
        ) => {
            let found = config.models.get(model).ok_or_else(unknown)?;
            let version = found.version.clone();
            let (model, adapter) = (model.clone(), adapter.clone());
            Ok((
                Wanted::Model {
                    model,
                    version,
                    adapter,
                },
                *idempotent,
            ))
        }
        (Target::Plain { service }, Service::Plain { idempotent }) => {
            let listed = idempotent
                .iter()
                .any(|prefix| ask.path.starts_with(prefix.as_str()));
            Ok((
                Wanted::Service(service.clone()),
                listed || ask.method.is_idempotent(),
            ))
        }
        _ => Err(unknown()),
    }
}

fn server_call(config: &Config, ask: ServiceRequest) -> Result<Call> {
    let body = match (&ask.target, config.services.get(ask.target.service())) {
        (Target::Model { .. }, Some(Service::Model { model, adapter, .. })) => {
            let name = adapter.as_ref().map_or(model.as_str(), AdapterId::as_str);
            set_model_name(ask.body, name)?
        }
        _ => ask.body,
    };
    let header = |value| Header {
        name: "content-type".into(),
        value,
    };
    let headers = ask.content_type.into_iter().map(header).collect();
    Ok(Call {
        method: ask.method.to_string(),
        path: ask.path,
        headers,
        body,
    })
}

/// Replaces the service's name in the body with the name that the engine knows.
fn set_model_name(body: Vec<u8>, name: &str) -> Result<Vec<u8>> {
    let malformed = |e: serde_json::Error| Problem::new(ProblemKind::Malformed, e);
    let mut document: serde_json::Value = serde_json::from_slice(&body).map_err(malformed)?;
    if document["model"] == name {
        return Ok(body);
    }
    document["model"] = name.into();
    Ok(document.to_string().into_bytes())
}

impl AnswerBody {
    /// Returns the id of the answered request.
    pub fn request(&self) -> &RequestId {
        self.driver.request()
    }

    /// Reads the body to its end.
    pub async fn read_to_end(mut self) -> Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            match self.driver.next().await {
                Step::Head(..) => {}
                Step::Data(bytes) if body.is_empty() => body = bytes,
                Step::Data(bytes) => body.extend_from_slice(&bytes),
                Step::End => {
                    self.admitted.mark_completed();
                    return Ok(body);
                }
                Step::Failed(verdict) => return Err(problem(verdict)),
            }
        }
    }

    /// Streams the body to the caller as it arrives; a failure becomes the stream's last event.
    pub async fn stream_to(mut self, out: PipeWriter) {
        loop {
            let step = async { Some(self.driver.next().await) };
            let gone = async {
                out.closed().await;
                None
            };
            match step.or(gone).await {
                Some(Step::Head(..)) => {}
                Some(Step::Data(bytes)) => {
                    let batch = self.fill_batch(bytes);
                    if !send_batch(&out, batch).await {
                        return self.driver.abort();
                    }
                }
                Some(Step::End) => return self.admitted.mark_completed(),
                Some(Step::Failed(verdict)) => return self.end_with_error(verdict, &out).await,
                None => return self.driver.abort(),
            }
        }
    }

    /// Adds the bytes that have already arrived, so that many tokens go out in one write.
    fn fill_batch(&mut self, mut bytes: Vec<u8>) -> Vec<u8> {
        while bytes.len() < BATCH_BYTES {
            let Some(more) = self.driver.next_ready() else {
                break;
            };
            bytes.extend_from_slice(&more);
        }
        bytes
    }

    /// Ends the stream with a typed error event and without a terminator.
    ///
    /// Failure guarded against: a stream that ends regularly after half its tokens looks like a
    /// complete answer. The error event and the cut body mark it as incomplete.
    async fn end_with_error(&self, verdict: Verdict, out: &PipeWriter) {
        let problem = problem(verdict);
        self.shared
            .journal
            .record(Event::AnswerFailed, self.driver.request(), &problem);
        // A caller that disconnected needs no reason.
        let _ = out.send(problem.to_event().into_bytes()).await;
        out.abort().await;
    }
}

/// Sends the next bytes to a caller, and returns whether the caller took them in time.
///
/// Failure guarded against: a caller stays connected but no longer reads, so that its request never
/// ends and its engine waits for it. The request is cancelled instead.
async fn send_batch(out: &PipeWriter, bytes: Vec<u8>) -> bool {
    let sent = async { out.send(bytes).await.is_ok() };
    let stalled = async {
        smol::Timer::after(STALL_TIMEOUT.as_duration()).await;
        false
    };
    sent.or(stalled).await
}

/// Converts a verdict to the problem that the caller gets.
pub fn problem(verdict: Verdict) -> Problem {
    let Verdict { reason, outcome } = verdict;
    let kind = match reason {
        Reason::KeyReused => ProblemKind::KeyReused,
        Reason::Quarantined => ProblemKind::Quarantined,
        Reason::Late | Reason::Failed(snipemast_requests::Failure::Late) => ProblemKind::Late,
        Reason::NoServer | Reason::Refused(_) | Reason::KeyUnsure | Reason::SuspectRuns => {
            ProblemKind::Unavailable
        }
        Reason::Lost if outcome == Outcome::NotRun => ProblemKind::Unavailable,
        Reason::Lost
        | Reason::Failed(_)
        | Reason::Corrupt
        | Reason::TooLong
        | Reason::CallerGone => ProblemKind::Failed,
    };
    let problem = Problem::new(kind, reason).with_outcome(outcome);
    match kind {
        ProblemKind::Unavailable => problem.with_retry(RETRY_AFTER),
        _ => problem,
    }
}
