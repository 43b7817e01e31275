//! A request's way from its caller to an answer.

use std::sync::Arc;

use async_channel::bounded;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONNECTION, CONTENT_LENGTH, HOST};
use hyper::{Request, Response, StatusCode};

use snipemast_core::prelude::*;
use snipemast_net::exec::{pause, spawn, within};
use snipemast_placement::choice::{Constraints, Unplaced};
use snipemast_placement::outage::AllowedPools;
use snipemast_placement::{Sends, Urgency};
use snipemast_platform::request::Ask;
use snipemast_platform::response;
use snipemast_routes::{Denied, Match, Route, Table as Routes};

use crate::answer::{own, refusal, Answer, Outgoing, Pieces};
use crate::metrics::Ended;
use crate::send::{Failure, Job, Run};
use crate::state::{ActiveRequest, State};
use crate::story::Unsaid;
use crate::stream;
use crate::waiting::{wait, BACK_OUT};

/// The largest answer that is read in whole before it is passed on, so that one that breaks off can
/// be asked again.
const WHOLE: usize = 256 << 10;

/// Another host takes the request at once.
const BACK_ELSEWHERE: Span = Span::from_millis(10);

/// The shortest time for which a server is asked at all.
const WORTHWHILE: Span = Span::from_millis(20);

/// Answers a caller's request.
pub(crate) async fn handle(state: Arc<State>, request: Request<Incoming>) -> Answer {
    let active = state.begin_request();
    let mut answer = serve(&state, request, active).await;
    if state.is_leaving() {
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(CONNECTION, close);
    }
    answer
}

async fn serve(state: &Arc<State>, request: Request<Incoming>, active: ActiveRequest) -> Answer {
    let started = state.clock.now();
    if !state.shutdown.lock().takes(started) {
        return refusal("this host is leaving", BACK_ELSEWHERE);
    }
    let Some(routes) = state.routes() else {
        return refusal("no configuration is known yet", BACK_OUT);
    };
    let ask = Ask::read(request.headers());
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
    let patience = ask.patience.unwrap_or(route.timeout).min(route.timeout);
    let (parts, body) = request.into_parts();
    let bound = routes.limits().body.as_bytes() as usize;
    let body = match within(patience, Limited::new(body, bound).collect()).await {
        Some(Ok(body)) => body.to_bytes(),
        Some(Err(e)) if e.is::<http_body_util::LengthLimitError>() => {
            return own(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large");
        }
        Some(Err(_)) => return own(StatusCode::BAD_REQUEST, "the body can't be read"),
        None => return own(StatusCode::REQUEST_TIMEOUT, "the body took too long"),
    };
    let number = state.next_number();
    let name = ask.attempt.clone().unwrap_or_else(|| number.to_string());
    let spent = {
        let mut known = state.patience.lock();
        known.spent(started, &route.name, patience)
    };
    let service = choose_service(&route, rand::random());
    let pieces = pieces(&routes, &service, &ask);
    let job = Job {
        state: Arc::clone(state),
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        service,
        workspace: workspace.map(|w| w.name.clone()),
        started,
        spent,
        deadline: started + patience,
        pieces,
        ask,
        route,
        name,
        unsaid: Unsaid::default(),
    };
    state.budget.lock().note_request(started, &job.service);
    place(Arc::new(job), active).await
}

fn deny(state: &State, denied: Denied, request: &Request<Incoming>) -> Answer {
    let path = request.uri().path();
    let detail = format_args!("{denied:?}, version {}", state.version());
    state.journal.record(Event::RequestRefused, path, detail);
    match denied {
        Denied::NoRoute => own(StatusCode::NOT_FOUND, "no route leads there"),
        Denied::NoKey => own(StatusCode::UNAUTHORIZED, "the key is not known"),
    }
}

/// How many pieces of an answer are still to come, as its caller estimates.
fn pieces(routes: &Routes, service: &ServiceId, ask: &Ask) -> Option<u64> {
    let engine = routes.service(service)?.engine.as_ref()?;
    let whole = ask.length? / u64::from(engine.stride.max(1));
    Some(whole.saturating_sub(ask.last.unwrap_or(0)))
}

/// A service of a route, by weight.
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
    // A checked route has a share of positive weight, which the loop has found.
    route.split[0].service.clone()
}

/// The servers that one attempt was sent to.
#[derive(Debug, Default)]
pub(crate) struct Tries {
    excluded: Vec<ServerId>,
    sends: Sends,
    /// Whether the next send is granted already.
    granted: bool,
}

/// What became of a request that was sent to servers.
enum Placed {
    /// One answers.
    Run(Box<Run>),
    /// None was sent to, or all refused it: it has not run.
    Unplaced(Unplaced),
    /// It may have run.
    Failed(Failure),
}

impl Tries {
    /// Leaves a server out from now on.
    pub(crate) fn exclude(&mut self, server: &ServerId) {
        self.excluded.push(server.clone());
    }

    /// Whether a request moves away from a server, which may have run it, to a place at another one; that send is
    /// granted then. The caller has got a stream up to the last event.
    pub(crate) fn moves(&mut self, job: &Job, from: &ServerId, last: Option<u64>) -> bool {
        if !self.sends.may_begin(job.route.attempts) {
            return false;
        }
        let now = job.state.clock.now();
        let but = [self.excluded.as_slice(), std::slice::from_ref(from)].concat();
        let gate = job.gate(now);
        let wanted = Constraints {
            service: &job.service,
            allowed: &gate,
            excluded: &but,
        };
        let turn = job.turn(last);
        let servers = job.state.servers.lock();
        let may_move = servers.may_move(now, from, wanted, turn);
        drop(servers);
        self.granted = may_move
            && !matches!(gate, AllowedPools::Probe(_))
            && job.state.budget.lock().spend(now, &job.service);
        if self.granted {
            let detail = format_args!("{from} shows nothing, another server has a place");
            job.note_trouble(Event::RequestRetried, detail);
        }
        self.granted
    }

    /// Sends a stream that broke to another server, if it may be.
    pub(crate) async fn again(&mut self, job: &Job, last: Option<u64>) -> Option<Run> {
        match self.place(job, last).await {
            Placed::Run(run) if run.response.status() == StatusCode::OK => Some(*run),
            _ => None,
        }
    }

    /// Sends a request to one server after another until one answers.
    async fn place(&mut self, job: &Job, last: Option<u64>) -> Placed {
        let mut failure = None;
        loop {
            let give_up = |unplaced| match failure {
                Some(failure) => Placed::Failed(failure),
                None => Placed::Unplaced(unplaced),
            };
            if job.left() < WORTHWHILE || !self.sends.may_begin(job.route.attempts) {
                return give_up(Unplaced::Spent);
            }
            let now = job.state.clock.now();
            if self.sends.is_empty() && self.is_too_long(job) {
                return give_up(Unplaced::TooLong);
            }
            let gate = job.gate(now);
            if gate == AllowedPools::NoPool {
                return give_up(Unplaced::Out);
            }
            let chosen = {
                let mut servers = job.state.servers.lock();
                let turn = job.turn(last);
                let wanted = Constraints {
                    service: &job.service,
                    allowed: &gate,
                    excluded: &self.excluded,
                };
                servers.choose(now, wanted, turn, rand::random())
            };
            let choice = match chosen {
                Ok(choice) => choice,
                Err(unplaced) => return give_up(unplaced),
            };
            // Asked last: a repeat that has nowhere to go is not spent.
            if !self.is_granted(job) {
                let mut servers = job.state.servers.lock();
                servers.release(&choice.server, choice.start);
                return give_up(Unplaced::Spent);
            }
            let server = choice.server.clone();
            job.note_routed(&choice, !self.sends.is_empty());
            self.sends.begin();
            match job.send(choice, self, last).await {
                Ok(run) => return Placed::Run(Box::new(run)),
                Err(Failure::NotRun) => {
                    self.sends.take_back();
                    self.exclude(&server);
                }
                Err(Failure::Out) => {
                    self.sends.take_back();
                    return give_up(Unplaced::Out);
                }
                Err(lost) => {
                    self.exclude(&server);
                    failure = Some(lost);
                    let repeatable = job.route.repeat.is_repeatable();
                    if lost == Failure::Late || !repeatable {
                        return Placed::Failed(lost);
                    }
                }
            }
        }
    }

    /// Whether an answer that is late could not end any more before its caller leaves.
    fn is_too_long(&self, job: &Job) -> bool {
        let late = job.turn(None) == Urgency::Late;
        late && job.length().is_some_and(|l| job.left() < l.least())
    }

    /// Whether one more send is within the budget.
    fn is_granted(&mut self, job: &Job) -> bool {
        if self.sends.is_empty() || std::mem::take(&mut self.granted) {
            return true;
        }
        let now = job.state.clock.now();
        let granted = job.state.budget.lock().spend(now, &job.service);
        let detail = format_args!("send {}, granted: {granted}", self.sends.count() + 1);
        job.note_trouble(Event::RequestRetried, detail);
        granted
    }
}

async fn place(job: Arc<Job>, active: ActiveRequest) -> Answer {
    let mut tries = Tries::default();
    let mut last_failure = None;
    let mut queued = false;
    await_short_passes(&job).await;
    loop {
        let run = match tries.place(&job, job.ask.last).await {
            Placed::Run(run) => *run,
            Placed::Unplaced(unplaced) => match last_failure {
                Some(answer) => return answer,
                None => match wait(&job, unplaced, &mut queued).await {
                    Some(refused) => return refused,
                    None => {
                        tries.excluded.clear();
                        continue;
                    }
                },
            },
            Placed::Failed(failure) => return last_failure.unwrap_or_else(|| fail(&job, failure)),
        };
        if job.route.repeat.is_stream() && response::is_event_stream(run.response.headers()) {
            return pass_stream(job, tries, run, active);
        }
        let server = run.choice.server.clone();
        let failed = run.is_failure();
        match read_whole(&job, run).await {
            Some(answer) if failed && job.route.repeat.is_repeatable() => {
                last_failure = Some(answer);
            }
            Some(answer) => return answer,
            None if !job.route.repeat.is_repeatable() => return fail(&job, Failure::Unknown),
            None => {}
        }
        tries.exclude(&server);
    }
}

/// Waits while the passes of the request's service are long for a moment.
async fn await_short_passes(job: &Job) {
    if job.route.gap.is_none() || !job.state.decisions.holding {
        return;
    }
    loop {
        let shortened = job.state.shortened.listen();
        let now = job.state.clock.now();
        let (waited, objective) = (now.since(job.started), job.route.objective);
        let wait = {
            let servers = job.state.servers.lock();
            let passes = job.state.passes.lock();
            passes.wait(now, servers.pools(&job.service), waited, objective)
        };
        let Some(span) = wait else {
            return;
        };
        futures_lite::future::or(shortened, pause(span)).await;
    }
}

fn fail(job: &Job, failure: Failure) -> Answer {
    let detail = format_args!("{failure:?}");
    job.note_trouble(Event::AnswerFailed, detail);
    job.state.metrics.end(Ended::Unknown);
    match failure {
        Failure::Late => own(StatusCode::GATEWAY_TIMEOUT, "no answer came in time"),
        _ => own(
            StatusCode::BAD_GATEWAY,
            "the answer was lost; it may have run",
        ),
    }
}

/// Reads an answer in whole and passes it on; nothing where it breaks off.
async fn read_whole(job: &Job, mut run: Run) -> Option<Answer> {
    let pace = job.note_begun();
    let body = Limited::new(run.response.body_mut(), WHOLE).collect();
    let read = within(job.left(), body).await;
    let bytes: Bytes = match read {
        Some(Ok(body)) => body.to_bytes(),
        _ => {
            let detail = format_args!("{}: broken off", run.choice.server);
            job.note_trouble(Event::AnswerFailed, detail);
            return None;
        }
    };
    let mut answer = Response::new(Outgoing::Whole(Some(bytes)));
    *answer.status_mut() = run.response.status();
    *answer.headers_mut() = response::forward(run.response.headers());
    job.note_delivered(&run.choice.server, &pace);
    run.finish(job);
    Some(answer)
}

/// Passes a stream on as it comes.
fn pass_stream(job: Arc<Job>, tries: Tries, run: Run, active: ActiveRequest) -> Answer {
    let mut headers = response::forward(run.response.headers());
    // A stream that goes on elsewhere has another length than its first server said.
    headers.remove(CONTENT_LENGTH);
    let status = run.response.status();
    let (sender, receiver) = bounded(stream::WAITING);
    let task = spawn(async move {
        stream::pass(job, tries, run, sender).await;
        drop(active);
    });
    let mut answer = Response::new(Outgoing::Pieces(Pieces::new(receiver, task)));
    *answer.status_mut() = status;
    *answer.headers_mut() = headers;
    answer
}
