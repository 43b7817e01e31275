//! One request's way to a backend server, and its answer's way back.

use std::sync::Arc;

use snipemast_callers::problem::{Problem, ProblemKind};
use snipemast_callers::{Ask, Target};
use snipemast_config::{Config, Service};
use snipemast_core::prelude::*;
use snipemast_routing::{Ended, Wanted};
use snipemast_wire::message::path;
use snipemast_wire::{Call, Dispatch, Frame, FrameReader, Header, PipeWriter, Stream};

use crate::choose::{choose, Picked};
use crate::shared::{InFlight, Shared};

/// The result of one step of a request.
pub type Result<T> = std::result::Result<T, Problem>;

/// How long a caller that comes back is asked to wait when nothing can take its request.
const RETRY_AFTER: Span = Span::from_secs(1);

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
    request: RequestId,
    frames: FrameReader<Stream>,
    member: Picked,
    offset: u64,
    _running: InFlight,
}

/// Brings a request to a backend server and returns once its answer has begun.
pub async fn begin(
    shared: &Arc<Shared>,
    config: &Config,
    workspace: WorkspaceId,
    ask: Ask,
) -> Result<Begun> {
    let request = shared.next_request();
    shared
        .journal
        .record(Event::RequestReceived, &request, ask.target.service());
    let (wanted, idempotent) = wanted(config, &ask)?;
    let running = shared.enter();
    let member = choose(shared, &wanted, None, &[]).map_err(|_| unavailable(&ask))?;
    shared
        .journal
        .record(Event::RequestRouted, &request, &member.announce.info.server);
    let dispatch = Dispatch {
        id: shared.next_dispatch(),
        request: request.clone(),
        agent: member.announce.agent.clone(),
        left: shared.settings.limits.deadline,
        workspace,
        idempotent,
        call: call(config, ask)?,
    };
    let timeout = shared.settings.limits.silence;
    let stream = member.peer.open(path::DISPATCH, &dispatch, timeout).await;
    let stream = stream.map_err(|e| lost(e.current_context()))?;
    let frames = FrameReader::new(stream);
    let shared = Arc::clone(shared);
    let mut rest = Rest {
        shared,
        request,
        frames,
        member,
        offset: 0,
        _running: running,
    };
    let (status, headers) = rest.head().await?;
    Ok(Begun {
        status,
        headers,
        rest,
    })
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
        &self.request
    }

    async fn head(&mut self) -> Result<(u16, Vec<Header>)> {
        loop {
            match self.next().await? {
                Frame::Head { status, headers } => {
                    self.member.first();
                    let event = Event::AnswerBegun;
                    self.shared.journal.record(event, &self.request, status);
                    return Ok((status, headers));
                }
                Frame::Refused { reason } => {
                    return Err(
                        Problem::new(ProblemKind::Unavailable, reason).with_retry(RETRY_AFTER)
                    );
                }
                Frame::Failed { reason } => return Err(failed(reason)),
                Frame::Accepted { .. } | Frame::Beat | Frame::Data { .. } | Frame::End { .. } => {}
            }
        }
    }

    /// Reads the whole body.
    pub async fn whole(mut self) -> Result<Vec<u8>> {
        let mut body = Vec::new();
        while let Some(bytes) = self.piece().await? {
            body.extend_from_slice(&bytes);
        }
        Ok(body)
    }

    /// Passes the body on piece by piece; a failure becomes the stream's last event.
    pub async fn pass(mut self, out: PipeWriter) {
        loop {
            match self.piece().await {
                Ok(Some(bytes)) => {
                    if out.send(bytes).await.is_err() {
                        let Self {
                            shared,
                            request,
                            frames,
                            ..
                        } = &mut self;
                        shared.journal.record(Event::CallerGone, request, "");
                        let _ = frames;
                        return;
                    }
                }
                Ok(None) => return,
                Err(problem) => {
                    self.shared
                        .journal
                        .record(Event::AnswerFailed, &self.request, &problem);
                    // A caller that left needs no reason.
                    let _ = out.send(problem.to_event().into_bytes()).await;
                    out.cut().await;
                    return;
                }
            }
        }
    }

    /// The next piece of the body, or nothing at its end.
    async fn piece(&mut self) -> Result<Option<Vec<u8>>> {
        loop {
            match self.next().await? {
                Frame::Data { offset, bytes } if offset == self.offset => {
                    self.member.moved();
                    self.offset += bytes.len() as u64;
                    return Ok(Some(bytes));
                }
                Frame::Data { offset, .. } => {
                    self.shared
                        .journal
                        .record(Event::FrameDropped, &self.request, offset);
                }
                Frame::End { total, .. } if total == self.offset => {
                    self.member.done(Ended::Answered);
                    self.shared
                        .journal
                        .record(Event::AnswerDelivered, &self.request, total);
                    return Ok(None);
                }
                Frame::End { .. } => return Err(cut()),
                Frame::Failed { reason } => return Err(failed(reason)),
                Frame::Beat
                | Frame::Accepted { .. }
                | Frame::Head { .. }
                | Frame::Refused { .. } => {}
            }
        }
    }

    async fn next(&mut self) -> Result<Frame> {
        let frame = self.frames.next().await;
        if matches!(frame, Err(_) | Ok(Frame::Failed { .. })) {
            self.member.done(Ended::Failed);
        }
        frame.map_err(|_| cut())
    }
}

fn unavailable(ask: &Ask) -> Problem {
    let detail = format!("no backend server for {}", ask.target.service());
    Problem::new(ProblemKind::Unavailable, detail).with_retry(RETRY_AFTER)
}

fn lost(error: &snipemast_wire::PeerError) -> Problem {
    Problem::new(ProblemKind::Failed, error).with_outcome(Outcome::Unknown)
}

fn failed(reason: impl std::fmt::Display) -> Problem {
    Problem::new(ProblemKind::Failed, reason).with_outcome(Outcome::Ran)
}

fn cut() -> Problem {
    Problem::new(ProblemKind::Failed, "the answer was cut").with_outcome(Outcome::Unknown)
}
