//! The path of a request from its caller to an answer.

use std::sync::{Arc, OnceLock};

use async_channel::bounded;
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, CONNECTION, CONTENT_LENGTH, HOST};
use hyper::{Request, Response, StatusCode};

use snipemast_core::prelude::*;
use snipemast_net::exec::{pause, spawn, within};
use snipemast_placement::choice::{Constraints, Unplaced};
use snipemast_placement::outage::AllowedPools;
use snipemast_placement::urgency::QueueOrder;
use snipemast_placement::{AnswerResult, RequestClass, RequestPriority, Sends};
use snipemast_platform::request::RequestHeaders;
use snipemast_platform::response;
use snipemast_requests::CrashVerdict;
use snipemast_routes::{Denied, Match, Route, Table as Routes};

use crate::answer::{local_answer, refusal, Answer, AnswerBody, Pieces};
use crate::body::{self, BodyError};
use crate::metrics::Ended;
use crate::request_log::UnloggedLines;
use crate::send::{Failure, Job, Run};
use crate::state::{ActiveRequest, State};
use crate::stream;
use crate::waiting::{wait_for_server, Waiting, RETRY_AFTER_FULL, RETRY_AFTER_OUT};

/// The largest answer that is buffered before it is passed on, so that the request can be sent
/// again if the answer breaks off.
const MAX_BUFFERED_BYTES: usize = 256 << 10;

/// When a caller comes back to a host that is shutting down: another host takes the request at
/// once.
const RETRY_ELSEWHERE: Span = Span::from_millis(10);

/// The shortest remaining time in which a request is still sent to a server.
const MIN_SEND_TIME: Span = Span::from_millis(20);

/// Answers a caller's request.
pub(crate) async fn handle(state: Arc<State>, request: Request<Incoming>) -> Answer {
    let active = state.begin_request();
    let unanswered = async {
        state.await_ending().await;
        state.metrics.count_end(Ended::Unknown);
        local_answer(
            StatusCode::GATEWAY_TIMEOUT,
            "this host ends; it may have run",
        )
    };
    let processed = process_request(&state, request, active);
    let mut answer = futures_lite::future::or(processed, unanswered).await;
    if state.closes_connections() {
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(CONNECTION, close);
    }
    answer
}

async fn process_request(
    state: &Arc<State>,
    request: Request<Incoming>,
    active: ActiveRequest,
) -> Answer {
    let started = state.clock.now();
    if !state.accepts_requests(started) {
        return refuse_leaving();
    }
    let Some(routes) = state.routes() else {
        return refusal("no configuration is known yet", RETRY_AFTER_OUT);
    };
    let ask = RequestHeaders::read(request.headers());
    let host = request.headers().get(HOST).and_then(|h| h.to_str().ok());
    let path = request.uri().path();
    let found = routes.find(host.unwrap_or(""), path, ask.key.as_deref());
    let matched = match found {
        Ok(matched) => matched,
        Err(denied) => return deny(state, denied, &request),
    };
    let Match {
        route, workspace, ..
    } = matched;
    let workspace_priority = workspace.as_ref().and_then(|w| w.priority);
    let priority = RequestPriority::new(workspace_priority, route.priority);
    let patience = ask.timeout.unwrap_or(route.timeout).min(route.timeout);
    let (parts, body) = request.into_parts();
    let path = parts.uri.path();
    let bound = routes.limits().body;
    let body = match within(patience, body::read(&state.memory, body, bound)).await {
        Some(Ok(body)) => body,
        Some(Err(BodyError::TooLarge)) => {
            return local_answer(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large");
        }
        Some(Err(BodyError::Unreadable)) => {
            return local_answer(StatusCode::BAD_REQUEST, "the body can't be read");
        }
        Some(Err(BodyError::NoMemory)) => return refuse_large(state, path),
        None => return local_answer(StatusCode::REQUEST_TIMEOUT, "the body took too long"),
    };
    // A body may take longer than requests are accepted.
    if !state.accepts_requests(state.clock.now()) {
        return refuse_leaving();
    }
    let number = state.next_number();
    let name = ask.attempt.clone().unwrap_or_else(|| number.to_string());
    let spent = {
        let mut known = state.patience.lock();
        known.time_spent(started, &route.name, patience)
    };
    let service = choose_service(&route, rand::random());
    let mut class = RequestClass {
        objective: route.objective,
        priority,
        least_urgent: false,
    };
    if route.gap.is_some() && state.decisions.order == QueueOrder::Priority {
        let mut servers = state.servers.lock();
        class.least_urgent = servers.record_request(started, &service, &class);
    }
    let pieces = estimate_pieces(&routes, &service, &ask);
    let job = Job {
        state: Arc::clone(state),
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        service,
        workspace: workspace.map(|w| w.name.clone()),
        class,
        started,
        spent,
        deadline: started + patience,
        pieces,
        ask,
        route,
        name,
        causes: OnceLock::new(),
        unlogged: UnloggedLines::default(),
    };
    state.budget.lock().record_request(started, &job.service);
    place_request(Arc::new(job), active).await
}

fn refuse_leaving() -> Answer {
    refusal("this host is leaving", RETRY_ELSEWHERE)
}

fn refuse_large(state: &State, path: &str) -> Answer {
    let (held, limit) = (state.memory.held(), state.memory.limit());
    let detail = format_args!("no room for the body: {held} of {limit} are held");
    state.journal.record(Event::RequestRefused, path, detail);
    state.metrics.count_end(Ended::Refused);
    refusal("this host holds too many bytes", RETRY_AFTER_FULL)
}

fn deny(state: &State, denied: Denied, request: &Request<Incoming>) -> Answer {
    let path = request.uri().path();
    let detail = format_args!("{denied:?}, version {}", state.version());
    state.journal.record(Event::RequestRefused, path, detail);
    match denied {
        Denied::NoRoute => local_answer(StatusCode::NOT_FOUND, "no route leads there"),
        Denied::NoKey => local_answer(StatusCode::UNAUTHORIZED, "the key is not known"),
    }
}

/// Returns how many pieces of an answer are still to come, as its caller estimates.
fn estimate_pieces(routes: &Routes, service: &ServiceId, ask: &RequestHeaders) -> Option<u64> {
    let engine = routes.service(service)?.engine.as_ref()?;
    let pieces = ask.length_hint? / u64::from(engine.stride.max(1));
    Some(pieces.saturating_sub(ask.last_event.unwrap_or(0)))
}

/// Returns a service of a route, drawn by weight.
fn choose_service(route: &Route, chance: u64) -> ServiceId {
    let total: u64 = route.split.iter().map(|s| u64::from(s.weight)).sum();
    let mut point = chance % total.max(1);
    for share in &route.split {
        let weight = u64::from(share.weight);
        if point < weight {
            return share.service.clone();
        }
        point -= weight;
    }
    // A checked route has a share with a positive weight, which the loop finds.
    route.split[0].service.clone()
}

/// The servers that one attempt of a caller was sent to.
#[derive(Debug, Default)]
pub(crate) struct Attempt {
    excluded: Vec<ServerId>,
    sends: Sends,
    /// Whether the retry budget already covers the next send.
    move_granted: bool,
    waiting: Waiting,
}

/// What became of a request that was sent to servers.
enum Placement {
    /// A server answers.
    Run(Box<Run>),
    /// The request was sent to no server, or all refused it: it has not run.
    Unplaced(Unplaced),
    /// The request may have run.
    Failed(Failure),
}

impl Attempt {
    /// Excludes a server from further sends.
    pub(crate) fn exclude(&mut self, server: &ServerId) {
        self.excluded.push(server.clone());
    }

    /// Whether a request moves from a server, which may have run it, to another one. If it does,
    /// the next send is paid from the retry budget already. `last` is the last event that the
    /// caller has got.
    pub(crate) fn try_move(&mut self, job: &Job, from: &ServerId, last: Option<u64>) -> bool {
        let may_send = job.crash_verdict() == CrashVerdict::Clear;
        if !may_send || !self.sends.may_begin(job.route.attempts) {
            return false;
        }
        let now = job.state.clock.now();
        let excluded = [self.excluded.as_slice(), std::slice::from_ref(from)].concat();
        let allowed = job.allowed_pools(now);
        let constraints = Constraints {
            service: &job.service,
            allowed: &allowed,
            excluded: &excluded,
        };
        let urgency = job.urgency(last);
        let servers = job.state.servers.lock();
        let may_move = servers.may_move(now, from, constraints, urgency);
        drop(servers);
        self.move_granted = may_move
            && !matches!(allowed, AllowedPools::Probe(_))
            && job.state.budget.lock().try_spend(now, &job.service);
        if self.move_granted {
            let detail = format_args!("{from} shows nothing, another server can take the request");
            job.log_problem(Event::RequestRetried, detail);
        }
        self.move_granted
    }

    /// Sends a broken stream to another server, if it may be resumed.
    pub(crate) async fn resume(&mut self, job: &Job, last: Option<u64>) -> Option<Run> {
        match self.send_until_answered(job, last).await {
            Placement::Run(run) if run.response.status() == StatusCode::OK => Some(*run),
            _ => None,
        }
    }

    /// Sends a request to one server after another until one answers.
    async fn send_until_answered(&mut self, job: &Job, last: Option<u64>) -> Placement {
        let mut failure = None;
        loop {
            let give_up = |unplaced| match failure {
                Some(failure) => Placement::Failed(failure),
                None => Placement::Unplaced(unplaced),
            };
            if job.left() < MIN_SEND_TIME || !self.sends.may_begin(job.route.attempts) {
                return give_up(Unplaced::Spent);
            }
            match job.crash_verdict() {
                CrashVerdict::Quarantined => return give_up(Unplaced::Quarantined),
                CrashVerdict::Undecided => return give_up(Unplaced::Undecided),
                CrashVerdict::Suspect if self.sends.may_have_run() => {
                    return give_up(Unplaced::Spent)
                }
                CrashVerdict::Suspect | CrashVerdict::Clear => {}
            }
            let now = job.state.clock.now();
            if self.sends.is_empty() && self.cannot_end_in_time(job) {
                return give_up(Unplaced::TooLong);
            }
            let allowed = job.allowed_pools(now);
            if allowed == AllowedPools::NoPool {
                return give_up(Unplaced::Out);
            }
            let chosen = {
                let urgency = self.waiting.turn_urgency();
                let urgency = urgency.unwrap_or_else(|| job.urgency(last));
                let mut servers = job.state.servers.lock();
                let constraints = Constraints {
                    service: &job.service,
                    allowed: &allowed,
                    excluded: &self.excluded,
                };
                servers.choose(now, constraints, urgency, rand::random())
            };
            let choice = match chosen {
                Ok(choice) => choice,
                // The probe is used up, so the next round finds the pools that are open, or none.
                Err(_) if matches!(allowed, AllowedPools::Probe(_)) => continue,
                Err(unplaced) => return give_up(unplaced),
            };
            // Checked last, so that no retry is spent if there is no server to send to.
            if !self.try_spend_retry(job) {
                let mut servers = job.state.servers.lock();
                servers.release(&choice.server, choice.start);
                drop(servers);
                if let AllowedPools::Probe(pool) = &allowed {
                    job.state.outages.lock().return_probe(pool);
                }
                return give_up(Unplaced::Spent);
            }
            let wait = self.waiting.end(job, self.sends.is_empty());
            let server = choice.server.clone();
            job.record_routed(&choice, !self.sends.is_empty(), last, wait.as_ref());
            // The wait is over before the server answers.
            drop(wait);
            self.sends.begin();
            match job.send(choice, self, last).await {
                Ok(run) => return Placement::Run(Box::new(run)),
                Err(Failure::NotRun) => {
                    self.sends.mark_not_run();
                    self.exclude(&server);
                }
                // Another pool may be open; if none is, the next round finds that.
                Err(Failure::Out) => self.sends.mark_not_run(),
                Err(lost) => {
                    self.exclude(&server);
                    failure = Some(lost);
                    let repeatable = job.route.repeat.is_repeatable();
                    if lost == Failure::Late || !repeatable {
                        return Placement::Failed(lost);
                    }
                }
            }
        }
    }

    /// Whether the request is late and its answer could no longer end before its caller gives up.
    fn cannot_end_in_time(&self, job: &Job) -> bool {
        let late = job.urgency(None).is_late();
        late && job
            .stream_length()
            .is_some_and(|l| job.left() < l.shortest())
    }

    /// Whether the retry budget covers one more send.
    fn try_spend_retry(&mut self, job: &Job) -> bool {
        if self.sends.is_empty() || std::mem::take(&mut self.move_granted) {
            return true;
        }
        let now = job.state.clock.now();
        let granted = job.state.budget.lock().try_spend(now, &job.service);
        let detail = format_args!("send {}, granted: {granted}", self.sends.count() + 1);
        job.log_problem(Event::RequestRetried, detail);
        granted
    }
}

async fn place_request(job: Arc<Job>, active: ActiveRequest) -> Answer {
    let mut attempt = Attempt::default();
    let mut last_failure = None;
    await_short_passes(&job).await;
    let mut blocked = job.blocked_at_arrival();
    loop {
        let placement = match blocked.take() {
            Some(unplaced) => Placement::Unplaced(unplaced),
            None => attempt.send_until_answered(&job, job.ask.last_event).await,
        };
        let run = match placement {
            Placement::Run(run) => *run,
            Placement::Unplaced(unplaced) => match last_failure {
                Some(answer) => return answer,
                None => match wait_for_server(&job, unplaced, &mut attempt.waiting).await {
                    // A refusal says that the request has not run.
                    Some(_) if attempt.sends.may_have_run() => {
                        return answer_failure(&job, Failure::Unknown)
                    }
                    Some(refused) => return refused,
                    None => {
                        attempt.excluded.clear();
                        continue;
                    }
                },
            },
            Placement::Failed(failure) => {
                return last_failure.unwrap_or_else(|| answer_failure(&job, failure))
            }
        };
        if job.route.repeat.is_stream() && response::is_event_stream(run.response.headers()) {
            return pass_stream(job, attempt, run, active);
        }
        let server = run.choice.server.clone();
        let failed = run.is_failure();
        match buffer_answer(&job, run).await {
            Some(answer) if failed && job.route.repeat.is_repeatable() => {
                last_failure = Some(answer);
            }
            Some(answer) => return answer,
            None if !job.route.repeat.is_repeatable() => {
                return answer_failure(&job, Failure::Unknown)
            }
            None => {}
        }
        attempt.exclude(&server);
    }
}

/// Waits while the forward passes of the request's service are long.
async fn await_short_passes(job: &Job) {
    if job.route.gap.is_none() || !job.state.decisions.holding {
        return;
    }
    loop {
        let shortened = job.state.shortened.listen();
        let now = job.state.clock.now();
        let (waited, objective) = (now.since(job.started), job.route.objective);
        let hold = {
            let servers = job.state.servers.lock();
            let passes = job.state.passes.lock();
            passes.hold_time(now, servers.pools(&job.service), waited, objective)
        };
        let Some(span) = hold else {
            return;
        };
        futures_lite::future::or(shortened, pause(span)).await;
    }
}

fn answer_failure(job: &Job, failure: Failure) -> Answer {
    let detail = format_args!("{failure:?}");
    job.log_problem(Event::AnswerFailed, detail);
    job.state.metrics.count_end(Ended::Unknown);
    match failure {
        Failure::Late => local_answer(StatusCode::GATEWAY_TIMEOUT, "no answer came in time"),
        _ => local_answer(
            StatusCode::BAD_GATEWAY,
            "the answer was lost; it may have run",
        ),
    }
}

/// Buffers an answer and passes it on. Returns nothing if the answer breaks off.
async fn buffer_answer(job: &Job, mut run: Run) -> Option<Answer> {
    let times = job.record_begun();
    let body = Limited::new(run.response.body_mut(), MAX_BUFFERED_BYTES).collect();
    let read = within(job.left(), body).await;
    let bytes: Bytes = match read {
        Some(Ok(body)) if !run.has_excess() => body::count(&job.state.memory, body.to_bytes()),
        lost => {
            // An answer of a known length that is too large, or one that takes longer than its caller waits, is no
            // failure of the server.
            let (reason, failed) = match &lost {
                Some(Err(e)) if e.is::<LengthLimitError>() => {
                    let has_length = run.response.body().size_hint().exact().is_some();
                    ("longer than is buffered", !has_length)
                }
                Some(Err(_)) => {
                    run.record_broken(job);
                    ("broken off", true)
                }
                Some(Ok(_)) => ("more bytes than its length", true),
                None => ("not whole in time", false),
            };
            if failed {
                job.record_outcome(&run.choice, AnswerResult::Failed);
            }
            let detail = format_args!("{}: {reason}", run.choice.server);
            job.log_problem(Event::AnswerFailed, detail);
            return None;
        }
    };
    let mut answer = Response::new(AnswerBody::new(bytes));
    *answer.status_mut() = run.response.status();
    *answer.headers_mut() = response::forward_headers(run.response.headers());
    job.record_delivered(&run.choice.server, &times);
    run.finish(job);
    Some(answer)
}

/// Passes a stream on as it comes.
fn pass_stream(job: Arc<Job>, attempt: Attempt, run: Run, active: ActiveRequest) -> Answer {
    let mut headers = response::forward_headers(run.response.headers());
    // A stream that is resumed elsewhere has another length than its first server said.
    headers.remove(CONTENT_LENGTH);
    let status = run.response.status();
    let (sender, receiver) = bounded(stream::MAX_WAITING_PIECES);
    let task = spawn(async move {
        stream::pass_on(job, attempt, run, sender).await;
        drop(active);
    });
    let mut answer = Response::new(AnswerBody::Pieces(Pieces::new(receiver, task)));
    *answer.status_mut() = status;
    *answer.headers_mut() = headers;
    answer
}
