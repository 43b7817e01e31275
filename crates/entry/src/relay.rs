//! One request's way to a backend server, and its answer's way back.

use std::sync::Arc;

use futures_lite::FutureExt;

use snipemast_callers::problem::{Problem, ProblemKind};
use snipemast_callers::{Ask, Target};
use snipemast_config::{Config, Service};
use snipemast_core::prelude::*;
use snipemast_requests::{Fingerprint, Plan, Reason, Verdict};
use snipemast_routing::Wanted;
use snipemast_wire::{Call, Header, PipeWriter};

use crate::admit::{admit, Admitted, Demand};
use crate::attempt::{Order, Run, Step};
use crate::shared::{InFlight, Shared};

/// The result of one step of a request.
pub type Result<T> = std::result::Result<T, Problem>;

/// How long a caller that comes back is asked to wait when nothing can take its request.
const RETRY_AFTER: Span = Span::from_secs(1);
/// How often a request is dispatched at most.
const ATTEMPTS: u32 = 3;
/// The longest body that is held for a caller that doesn't stream.
const HELD_BODY: usize = 32 << 20;
/// How long a caller may take nothing before it counts as gone.
const STALL: Span = Span::from_secs(30);
/// The bytes of pieces that go to a caller at once.
const BATCH: usize = 16 << 10;

/// The head of an answer, and the frames of its body that follow.
#[derive(Debug)]
pub struct Begun {
    /// The HTTP status.
    pub status: u16,
    /// The headers to pass on.
    pub headers: Vec<Header>,
    /// The body that is still coming.
    pub rest: Rest,
}

/// The part of an answer that is still coming.
#[derive(Debug)]
pub struct Rest {
    shared: Arc<Shared>,
    run: Run,
    admitted: Admitted,
    _running: InFlight,
}

/// Brings a request to a backend server and returns once its answer has begun.
pub async fn begin(
    shared: &Arc<Shared>,
    config: &Config,
    workspace: WorkspaceId,
    ask: Ask,
    request: RequestId,
) -> Result<Begun> {
    shared
        .journal
        .record(Event::RequestReceived, &request, ask.target.service());
    let (wanted, idempotent) = wanted(config, &ask)?;
    let running = shared.enter();
    let demand = Demand::new(&workspace, &wanted, &ask, shared.settings.limits.deadline);
    let admitted = admit(shared, config, demand).await?;
    let plan = plan(shared, &ask, idempotent);
    let key = ask.key.clone();
    let fingerprint =
        Fingerprint::for_request(&workspace, ask.method.as_str(), &ask.path, &ask.body);
    let order = Order {
        request,
        workspace,
        wanted,
        prefix: admitted.prefix(),
        key,
        fingerprint,
        call: call(config, ask)?,
    };
    let mut run = Run::start(Arc::clone(shared), plan, order);
    loop {
        match run.next().await {
            Step::Head(status, headers) => {
                let rest = Rest {
                    shared: Arc::clone(shared),
                    run,
                    admitted,
                    _running: running,
                };
                return Ok(Begun {
                    status,
                    headers,
                    rest,
                });
            }
            Step::Failed(verdict) => return Err(problem(verdict)),
            // The head goes first, so neither comes here.
            Step::Data(_) | Step::End => {}
        }
    }
}

fn plan(shared: &Shared, ask: &Ask, idempotent: bool) -> Plan {
    let limits = &shared.settings.limits;
    Plan {
        idempotent,
        stream: matches!(ask.target, Target::Model { stream: true, .. }),
        // Idempotent requests need no claim: a second run does no harm.
        keyed: ask.key.is_some() && !idempotent,
        deadline: shared.clock.now() + limits.deadline,
        max_attempts: ATTEMPTS,
        max_silence: limits.silence,
        max_body: HELD_BODY,
    }
}

/// What a backend server must offer, and whether the request may run more than once.
fn wanted(config: &Config, ask: &Ask) -> Result<(Wanted, bool)> {
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

fn call(config: &Config, ask: Ask) -> Result<Call> {
    let body = match (&ask.target, config.services.get(ask.target.service())) {
        (Target::Model { .. }, Some(Service::Model { model, adapter, .. })) => {
            let name = adapter.as_ref().map_or(model.as_str(), AdapterId::as_str);
            renamed(ask.body, name)?
        }
        _ => ask.body,
    };
    let header = |value| Header {
        name: "content-type".into(),
        value,
    };
    let headers = ask.content.into_iter().map(header).collect();
    Ok(Call {
        method: ask.method.to_string(),
        path: ask.path,
        headers,
        body,
    })
}

/// The body with the name that the engine knows in place of the service's.
fn renamed(body: Vec<u8>, name: &str) -> Result<Vec<u8>> {
    let malformed = |e: serde_json::Error| Problem::new(ProblemKind::Malformed, e);
    let mut document: serde_json::Value = serde_json::from_slice(&body).map_err(malformed)?;
    if document["model"] == name {
        return Ok(body);
    }
    document["model"] = name.into();
    Ok(document.to_string().into_bytes())
}

impl Rest {
    /// The request that is answered.
    pub fn request(&self) -> &RequestId {
        self.run.request()
    }

    /// Reads the whole body.
    pub async fn whole(mut self) -> Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            match self.run.next().await {
                Step::Head(..) => {}
                Step::Data(bytes) if body.is_empty() => body = bytes,
                Step::Data(bytes) => body.extend_from_slice(&bytes),
                Step::End => {
                    self.admitted.finish();
                    return Ok(body);
                }
                Step::Failed(verdict) => return Err(problem(verdict)),
            }
        }
    }

    /// Passes the body on piece by piece; a failure becomes the stream's last event.
    pub async fn pass(mut self, out: PipeWriter) {
        loop {
            let step = async { Some(self.run.next().await) };
            let gone = async {
                out.closed().await;
                None
            };
            match step.or(gone).await {
                Some(Step::Head(..)) => {}
                Some(Step::Data(bytes)) => {
                    let batch = self.batch(bytes);
                    if !taken(&out, batch).await {
                        return self.run.leave();
                    }
                }
                Some(Step::End) => return self.admitted.finish(),
                Some(Step::Failed(verdict)) => return self.break_off(verdict, &out).await,
                None => return self.run.leave(),
            }
        }
    }

    /// Adds the pieces that have come already: many tokens go out in one write.
    fn batch(&mut self, mut bytes: Vec<u8>) -> Vec<u8> {
        while bytes.len() < BATCH {
            let Some(more) = self.run.ready() else {
                break;
            };
            bytes.extend_from_slice(&more);
        }
        bytes
    }

    /// Ends the stream in a typed error and no terminator.
    ///
    /// Failure guarded against: a partial answer that looks whole. It shows as a stream that
    /// ends in order after half its tokens; the error event and the cut body tell it apart.
    async fn break_off(&self, verdict: Verdict, out: &PipeWriter) {
        let problem = problem(verdict);
        self.shared
            .journal
            .record(Event::AnswerFailed, self.run.request(), &problem);
        // A caller that left needs no reason.
        let _ = out.send(problem.to_event().into_bytes()).await;
        out.cut().await;
    }
}

/// Gives a caller the next bytes; false where it left or has taken nothing for too long.
///
/// Failure guarded against: a caller that is connected and reads no more. It shows as requests
/// that never end and engines that wait for them; the request is cancelled instead.
async fn taken(out: &PipeWriter, bytes: Vec<u8>) -> bool {
    let sent = async { out.send(bytes).await.is_ok() };
    let stalled = async {
        smol::Timer::after(STALL.as_duration()).await;
        false
    };
    sent.or(stalled).await
}

/// A verdict in the form that callers get.
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
