//! One send of a request to one server.

use std::sync::{Arc, OnceLock};

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderMap, HOST};
use hyper::{Method, Request, Response, StatusCode, Uri};

use snipemast_core::prelude::*;
use snipemast_net::connect::SendError;
use snipemast_net::exec::{pause, spawn};
use snipemast_net::{connect, Connection, ResponseBody};
use snipemast_placement::length::StreamLength;
use snipemast_placement::outage::AllowedPools;
use snipemast_placement::urgency::QueueOrder;
use snipemast_placement::{AnswerResult, Choice, Pool, RequestClass, ServerFault, Urgency};
use snipemast_platform::request::{forward_headers, Forward, RequestHeaders};
use snipemast_platform::response::ResponseHead;
use snipemast_requests::Causes;
use snipemast_routes::Route;

use crate::crashes::Beginning;
use crate::frozen::FrozenServer;
use crate::handle::Attempt;
use crate::request_log::UnloggedLines;
use crate::state::State;

/// How long a connection to a server may take: some round-trips between availability zones, but not
/// the wait after a lost packet, because another server is nearer than that.
pub(crate) const CONNECT_TIMEOUT: Span = Span::from_millis(250);

/// How long beyond the deadline a server may take to report itself that the time is over.
const DEADLINE_GRACE: Span = Span::from_millis(60);

/// A caller's request, read in full, with everything that decides where it is sent.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) state: Arc<State>,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) ask: RequestHeaders,
    pub(crate) route: Arc<Route>,
    pub(crate) service: ServiceId,
    pub(crate) workspace: Option<String>,
    pub(crate) class: RequestClass,
    pub(crate) started: Moment,
    /// How much of its time the caller had spent before it asked here.
    pub(crate) spent: Span,
    pub(crate) deadline: Moment,
    /// The number of pieces that are still to come, if this is a stream and its caller gives an
    /// estimate.
    pub(crate) pieces: Option<u64>,
    /// The name of the request in logs.
    pub(crate) name: String,
    /// The request's fingerprints, once they were asked for.
    pub(crate) causes: OnceLock<Causes>,
    /// Lines that were not logged yet.
    pub(crate) unlogged: UnloggedLines,
}

/// A server that works on a request. Dropping it closes the connection and stops the work.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) choice: Choice,
    pub(crate) reply: ResponseHead,
    pub(crate) response: Response<ResponseBody>,
    connection: Connection,
    in_flight: InFlight,
    /// What was seen of the beginning of the answer.
    pub(crate) beginning: Beginning,
}

/// A request in flight at a server. Dropping it removes the request from the server's count.
#[derive(Debug)]
struct InFlight {
    state: Arc<State>,
    service: ServiceId,
    server: ServerId,
    start: Incarnation,
    begun: Moment,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.state.servers.lock().release(&self.server, self.start);
        let now = self.state.clock.now();
        self.state.waiting.wake(now, &self.service);
    }
}

/// Why a send has no answer that can be passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Failure {
    /// The server has not run the request and never will.
    NotRun,
    /// No server of the pool has run the request or will run it, because the pool is out.
    Out,
    /// The server may have run the request.
    Unknown,
    /// The time is over, and the server may be working on the request.
    Late,
}

impl Job {
    /// Returns how long the caller still waits, or the process still runs if that is less.
    pub(crate) fn left(&self) -> Span {
        let answers_at = self.state.answers_at();
        let end = answers_at.map_or(self.deadline, |at| self.deadline.min(at));
        self.state.clock.now().until(end)
    }

    /// Returns the estimated length of the answer, or nothing if it is no stream.
    pub(crate) fn stream_length(&self) -> Option<StreamLength> {
        let pause_target = self.route.gap?;
        let servers = self.state.servers.lock();
        let passes = self.state.passes.lock();
        Some(StreamLength {
            pieces: self.pieces,
            pause: passes.usual_pause(servers.pools(&self.service)),
            pause_target,
        })
    }

    /// Returns how urgent the request is compared with others.
    pub(crate) fn urgency(&self, last: Option<u64>) -> Urgency {
        self.ordered_urgency(last).unwrap_or_default()
    }

    /// Returns the urgency if requests are ordered by it. Only requests to engines are, because
    /// their queues are long.
    pub(crate) fn ordered_urgency(&self, last: Option<u64>) -> Option<Urgency> {
        let class = self.ordered_class()?;
        if last.is_some() && last != self.ask.last_event {
            return Some(Urgency::Resumed);
        }
        let waited = self.age().as_micros();
        let spent = Span::from_micros(self.spent.as_micros() + waited);
        Some(Urgency::new(spent, &class))
    }

    /// Returns what decides the urgency apart from the time, if requests are ordered by it.
    pub(crate) fn ordered_class(&self) -> Option<RequestClass> {
        self.route.gap?;
        match self.state.decisions.order {
            QueueOrder::Arrival => None,
            QueueOrder::Lateness => Some(RequestClass {
                objective: self.route.objective,
                ..RequestClass::default()
            }),
            QueueOrder::Priority => Some(self.class),
        }
    }

    /// Sends the request to a server and waits for the head of its answer.
    pub(crate) async fn send(
        &self,
        choice: Choice,
        attempt: &mut Attempt,
        last: Option<u64>,
    ) -> Result<Run, Failure> {
        let in_flight = InFlight {
            state: Arc::clone(&self.state),
            service: self.service.clone(),
            server: choice.server.clone(),
            start: choice.start,
            begun: self.state.clock.now(),
        };
        let mut new_connection = !self.may_pool();
        loop {
            let pooled = if new_connection {
                None
            } else {
                self.state
                    .connections
                    .take(self.state.clock.now(), choice.address)
            };
            let mut connection = match pooled {
                Some(connection) => connection,
                None => self.connect(&choice).await?,
            };
            let request = self.build_request(&choice, last).ok_or(Failure::NotRun)?;
            let limit = Span::from_micros(self.left().as_micros() + DEADLINE_GRACE.as_micros());
            let sent = self.state.clock.now();
            if self.is_resting_now(&choice, sent) {
                return Err(Failure::NotRun);
            }
            let sending = connection.send(request);
            let answered = self.wait_unless_frozen(&choice, attempt, last, limit, sending);
            match answered.await? {
                Ok(response) => {
                    return self.check_answer(choice, response, connection, in_flight, sent);
                }
                // The server closed the pooled connection before anything was written to it.
                Err(SendError::Unsent(_)) if !new_connection => new_connection = true,
                Err(SendError::Unsent(_)) => {
                    self.record_fault(
                        &choice,
                        ServerFault::Broken,
                        "connection closed before the request was written",
                    );
                    return Err(Failure::NotRun);
                }
                Err(lost @ (SendError::Unknown(_) | SendError::Invalid(_))) => {
                    self.state.connections.close_idle(choice.address);
                    self.record_broken_run(&choice, sent, Beginning::default());
                    self.record_fault(&choice, ServerFault::Broken, &lost.to_string());
                    return Err(Failure::Unknown);
                }
            }
        }
    }

    /// Whether the request may be sent on a pooled connection.
    ///
    /// This guards against a pooled connection that the server has closed, that is silent, or that
    /// holds a late answer to an earlier request. If a request that may run only once is written to
    /// it, its outcome is unknown and it can't be sent again. Such requests get a connection of
    /// their own.
    fn may_pool(&self) -> bool {
        self.route.repeat.is_repeatable()
    }

    async fn connect(&self, choice: &Choice) -> Result<Connection, Failure> {
        let limit = CONNECT_TIMEOUT.min(self.left());
        match connect(choice.address, limit).await {
            Ok(connection) => Ok(connection),
            Err(_) => {
                self.record_fault(choice, ServerFault::Unreachable, "no connection");
                Err(Failure::NotRun)
            }
        }
    }

    fn build_request(&self, choice: &Choice, last: Option<u64>) -> Option<Request<Full<Bytes>>> {
        let add = Forward {
            server: &choice.server,
            workspace: self.workspace.as_deref(),
            left: self.left(),
            last_event: last,
            urgency: self.ordered_urgency(last),
        };
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = forward_headers(&self.headers, &add);
        request.headers().get(HOST)?;
        Some(request)
    }

    /// Checks the head of an answer: it can be passed on, or the send failed and may be repeated
    /// elsewhere.
    fn check_answer(
        &self,
        choice: Choice,
        response: Response<ResponseBody>,
        connection: Connection,
        in_flight: InFlight,
        sent: Moment,
    ) -> Result<Run, Failure> {
        let status = response.status();
        let reply = ResponseHead::read(status, response.headers());
        // This guards against an extra or late answer to an earlier request, which would go to the
        // wrong caller. The attempt's id shows which request an answer belongs to.
        if self.ask.attempt.is_some() && reply.attempt != self.ask.attempt && !reply.not_run {
            self.state.connections.close_idle(choice.address);
            self.record_fault(&choice, ServerFault::Broken, "an answer to another request");
            return Err(Failure::Unknown);
        }
        if status.is_success() && !reply.signed {
            self.state.connections.close_idle(choice.address);
            self.record_fault(&choice, ServerFault::Broken, "a success without signature");
            return Err(Failure::Unknown);
        }
        self.record_unknown_headers(&choice, response.headers());
        if self.is_from_chosen(status, &reply) {
            self.record_limit(&choice, &reply.limit, sent);
            self.record_rest(&choice, &reply.rest);
            self.record_leaving(&choice, &reply);
        }
        if reply.not_run {
            return Err(self.handle_not_run(&choice, status, &reply));
        }
        self.mark_open(&choice.pool);
        self.record_accepted(&choice, sent);
        if status.is_server_error() {
            let fault = match status {
                StatusCode::GATEWAY_TIMEOUT => ServerFault::Late,
                _ => ServerFault::Failed,
            };
            self.record_fault(&choice, fault, status.as_str());
        }
        Ok(Run {
            choice,
            reply,
            response,
            connection,
            in_flight,
            beginning: Beginning::default(),
        })
    }

    /// Whether an answer comes from the chosen server and belongs to this request. Another server
    /// may listen at its address now, and an answer to an earlier request may be late.
    fn is_from_chosen(&self, status: StatusCode, reply: &ResponseHead) -> bool {
        let (asked, answered) = (self.ask.attempt.as_ref(), reply.attempt.as_ref());
        let stray = asked
            .zip(answered)
            .is_some_and(|(asked, answered)| asked != answered);
        status != StatusCode::MISDIRECTED_REQUEST && !stray
    }

    fn handle_not_run(&self, choice: &Choice, status: StatusCode, reply: &ResponseHead) -> Failure {
        let culprit = reply.failed_server.as_deref().unwrap_or("");
        let detail = format!("{status}, not run, by {culprit}");
        if reply.failed_server.is_some() && status == StatusCode::SERVICE_UNAVAILABLE {
            self.mark_out(&choice.pool, &detail);
            return Failure::Out;
        }
        let fault = match status {
            StatusCode::MISDIRECTED_REQUEST => ServerFault::Unreachable,
            _ => ServerFault::Full,
        };
        self.record_fault(choice, fault, &detail);
        Failure::NotRun
    }

    /// Returns the pools that the request may be sent to now.
    pub(crate) fn allowed_pools(&self, now: Moment) -> AllowedPools {
        let servers = self.state.servers.lock();
        let mut outages = self.state.outages.lock();
        outages.allowed_pools(now, servers.pools(&self.service))
    }

    fn mark_out(&self, pool: &Pool, detail: &str) {
        let now = self.state.clock.now();
        if self.state.outages.lock().mark_out(now, pool) {
            self.state.log_outage(pool, Event::ServiceOut, detail);
        }
    }

    fn mark_open(&self, pool: &Pool) {
        if self.state.outages.lock().mark_open(pool) {
            self.state
                .log_outage(pool, Event::ServiceReopened, &self.name);
        }
    }

    /// Records how an answer of a server ended, to compare it with the other servers.
    pub(crate) fn record_outcome(&self, choice: &Choice, ended: AnswerResult) {
        let now = self.state.clock.now();
        let mut servers = self.state.servers.lock();
        servers.record_outcome(now, &choice.server, choice.start, ended);
    }

    pub(crate) fn record_fault(&self, choice: &Choice, fault: ServerFault, detail: &str) {
        let now = self.state.clock.now();
        let id = &choice.server;
        let mut servers = self.state.servers.lock();
        let ejected_for = servers.record_fault(now, id, choice.start, fault);
        drop(servers);
        let journal = &self.state.journal;
        let line = format_args!("{} at {id}: {fault:?}, {detail}", self.name);
        self.log_problem(Event::AnswerFailed, line);
        let Some(ejected_for) = ejected_for else {
            return;
        };
        journal.record(
            Event::ServerEjected,
            id,
            format_args!("for {ejected_for}, {detail}"),
        );
        let state = Arc::clone(&self.state);
        match fault {
            ServerFault::Unreachable => {
                spawn(reconnect(state, choice.clone(), ejected_for)).detach()
            }
            ServerFault::Still => {
                state.recheck.notify(usize::MAX);
                let frozen = FrozenServer::new(choice);
                spawn(frozen.await_recovery(state)).detach();
            }
            _ => {}
        }
    }
}

/// Tries to connect to an unreachable server until it can be reached, so that no request has to try
/// it.
async fn reconnect(state: Arc<State>, choice: Choice, mut delay: Span) {
    loop {
        pause(delay).await;
        if !state
            .servers
            .lock()
            .knows_start(&choice.server, choice.start)
        {
            return;
        }
        let reached = connect(choice.address, CONNECT_TIMEOUT).await.is_ok();
        let now = state.clock.now();
        let mut servers = state.servers.lock();
        if reached {
            servers.mark_reachable(now, &choice.server);
            drop(servers);
            let journal = &state.journal;
            journal.record(Event::ServerReturned, &choice.server, "connected");
            return;
        }
        match servers.record_fault(now, &choice.server, choice.start, ServerFault::Unreachable) {
            Some(longer) => delay = longer,
            None => return,
        }
    }
}

impl Run {
    /// Records that the connection broke before the answer was whole.
    pub(crate) fn record_broken(&self, job: &Job) {
        job.record_broken_run(&self.choice, self.in_flight.begun, self.beginning);
    }

    /// Whether the answer is an error that another server may not return.
    pub(crate) fn is_failure(&self) -> bool {
        self.response.status().is_server_error()
    }

    /// Whether bytes that belong to no answer have arrived behind this one, so that its length may be wrong.
    pub(crate) fn has_excess(&self) -> bool {
        self.connection.has_excess()
    }

    /// Records that the server began a good answer.
    pub(crate) fn record_shown(&mut self, job: &Job) {
        if self.beginning.show(job.state.clock.now()) && !self.is_failure() {
            job.record_outcome(&self.choice, AnswerResult::Good);
        }
    }

    /// Ends a run whose answer was read in full: its connection may carry the next request.
    pub(crate) fn finish(mut self, job: &Job) {
        self.record_shown(job);
        let state = &job.state;
        let now = state.clock.now();
        if !self.is_failure() {
            self.beginning.record_survival(job);
            job.record_complete();
            let mut servers = state.servers.lock();
            servers.record_success(&self.choice.server, self.choice.start);
            servers.record_completion(&job.service, now.since(self.in_flight.begun));
        }
        if !self.reply.closing {
            let (address, idle) = (self.choice.address, self.reply.idle_timeout);
            state.connections.put(now, address, self.connection, idle);
        }
    }
}
