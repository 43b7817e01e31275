//! One send of a request to one server.

use std::future::Future;
use std::pin::pin;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HOST};
use hyper::{Method, Request, Response, StatusCode, Uri};

use snipemast_core::prelude::*;
use snipemast_net::connect::SendError;
use snipemast_net::exec::{pause, spawn, within};
use snipemast_net::{connect, Connection};
use snipemast_placement::length::Length;
use snipemast_placement::outage::AllowedPools;
use snipemast_placement::servers::STILL;
use snipemast_placement::urgency::QueueOrder;
use snipemast_placement::{Choice, Pool, ServerFault, Urgency};
use snipemast_platform::request::{forward, Ask, Forward};
use snipemast_platform::response::Reply;
use snipemast_routes::{Repeat, Route};

use crate::frozen::Frozen;
use crate::handle::Tries;
use crate::state::State;
use crate::story::Unsaid;

/// How long a connection to a server may take: some round trips between zones, without a lost
/// packet's wait, because another server is nearer than that.
pub(crate) const CONNECT: Span = Span::from_millis(250);

/// How often it is asked after that whether a server stands still: its group may stand as a whole at first, and go
/// on without it.
const STILL_AGAIN: Span = Span::from_millis(100);

/// How long beyond its time a server may take to say itself that the time is over.
const OVERTIME: Span = Span::from_millis(60);

/// A caller's request, read in whole, with what decides its way.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) state: Arc<State>,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) ask: Ask,
    pub(crate) route: Arc<Route>,
    pub(crate) service: ServiceId,
    pub(crate) workspace: Option<String>,
    pub(crate) started: Moment,
    /// How much of its time the caller had spent before it asked here.
    pub(crate) spent: Span,
    pub(crate) deadline: Moment,
    /// How many pieces its caller estimates are still to come, where it is a stream and says so.
    pub(crate) pieces: Option<u64>,
    /// For the log.
    pub(crate) name: String,
    /// What the log has no line of yet.
    pub(crate) unsaid: Unsaid,
}

/// A server that works on a request; dropping it closes the connection and stops the work.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) choice: Choice,
    pub(crate) reply: Reply,
    pub(crate) response: Response<Incoming>,
    connection: Connection,
    flight: Flight,
}

/// Counts a request out of a server's flight when dropped.
#[derive(Debug)]
struct Flight {
    state: Arc<State>,
    server: ServerId,
    start: Incarnation,
    since: Moment,
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.state.servers.lock().release(&self.server, self.start);
    }
}

/// Why a send has no answer that can be passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Failure {
    /// The server has not run it and never will.
    NotRun,
    /// Nor will any other server of the service: it is out.
    Out,
    /// It may have run.
    Unknown,
    /// The time is over, and the server may be at work.
    Late,
}

impl Job {
    /// How long the caller still waits.
    pub(crate) fn left(&self) -> Span {
        self.state.clock.now().until(self.deadline)
    }

    /// How long the answer takes once it is sent; nothing where it is no stream.
    pub(crate) fn length(&self) -> Option<Length> {
        let promised = self.route.gap?;
        let servers = self.state.servers.lock();
        let passes = self.state.passes.lock();
        Some(Length {
            pieces: self.pieces,
            pause: passes.pause(servers.pools(&self.service)),
            promised,
        })
    }

    /// When the request begins, against others.
    pub(crate) fn turn(&self, last: Option<u64>) -> Urgency {
        self.named_turn(last).unwrap_or(Urgency::InTime)
    }

    /// The same, where requests are ordered: those to engines, whose queues are long.
    fn named_turn(&self, last: Option<u64>) -> Option<Urgency> {
        let ordered = self.state.decisions.order == QueueOrder::Lateness;
        if !ordered || self.route.gap.is_none() {
            return None;
        }
        if last.is_some() && last != self.ask.last {
            return Some(Urgency::Resumed);
        }
        let waited = self.age().as_micros();
        let spent = Span::from_micros(self.spent.as_micros() + waited);
        Some(Urgency::new(spent, self.route.objective))
    }

    /// Sends the request to a server and waits for the head of its answer.
    pub(crate) async fn send(
        &self,
        choice: Choice,
        tries: &mut Tries,
        last: Option<u64>,
    ) -> Result<Run, Failure> {
        let flight = Flight {
            state: Arc::clone(&self.state),
            server: choice.server.clone(),
            start: choice.start,
            since: self.state.clock.now(),
        };
        let mut fresh = !self.may_share();
        loop {
            let pooled = if fresh {
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
            let request = self.request(&choice, last).ok_or(Failure::NotRun)?;
            let limit = Span::from_micros(self.left().as_micros() + OVERTIME.as_micros());
            let sent = self.state.clock.now();
            if self.rests_since(&choice, sent) {
                return Err(Failure::NotRun);
            }
            let sending = connection.send(request);
            let answered = self.unless_still(&choice, tries, last, limit, sending);
            match answered.await? {
                Ok(response) => {
                    return self.judge(choice, response, connection, flight, sent);
                }
                // The server closed the pooled connection before anything was written to it.
                Err(SendError::Unsent) if !fresh => fresh = true,
                Err(SendError::Unsent) => {
                    self.trouble(&choice, ServerFault::Broken, "closed before the request");
                    return Err(Failure::NotRun);
                }
                Err(SendError::Unknown(e)) => {
                    self.state.connections.retire(choice.address);
                    self.trouble(&choice, ServerFault::Broken, &e.to_string());
                    return Err(Failure::Unknown);
                }
            }
        }
    }

    /// Waits for something of a server: within a limit, and no longer than until the server alone shows nothing
    /// and the request has a place at another one.
    ///
    /// A request that has none goes on waiting: it may be answered yet, and given up it would fail.
    pub(crate) async fn unless_still<T>(
        &self,
        choice: &Choice,
        tries: &mut Tries,
        last: Option<u64>,
        limit: Span,
        work: impl Future<Output = T>,
    ) -> Result<T, Failure> {
        let since = self.state.clock.now();
        let (mut look, end) = (since + STILL, since + limit);
        let mut work = pin!(work);
        loop {
            let found = self.state.frozen.listen();
            let now = self.state.clock.now();
            if now >= end {
                return Err(Failure::Late);
            }
            let done = within(now.until(look.min(end)), work.as_mut());
            let found = async {
                found.await;
                None
            };
            if let Some(done) = futures_lite::future::or(done, found).await {
                return Ok(done);
            }
            let now = self.state.clock.now();
            let due = now >= look;
            if due {
                look = now + STILL_AGAIN;
            }
            if !(self.is_frozen(choice) || due && self.stands_still(choice, since)) {
                continue;
            }
            let done = async { Some(work.as_mut().await) };
            let asked = async {
                self.leave_out_if_frozen(choice).await;
                None
            };
            if let Some(done) = futures_lite::future::or(done, asked).await {
                return Ok(done);
            }
            if tries.moves(self, &choice.server, last) {
                self.state.connections.retire(choice.address);
                return Err(Failure::Unknown);
            }
        }
    }

    /// Whether a server is known to answer nothing, and the request may go elsewhere.
    fn is_frozen(&self, choice: &Choice) -> bool {
        let servers = self.state.servers.lock();
        self.route.repeat == Repeat::ResumableStream
            && servers.is_still(&choice.server, choice.start)
    }

    /// Whether a server has shown nothing since a moment while others go on, and the request may go elsewhere.
    fn stands_still(&self, choice: &Choice, since: Moment) -> bool {
        let now = self.state.clock.now();
        let servers = self.state.servers.lock();
        self.route.repeat == Repeat::ResumableStream
            && servers.stands_still(now, &choice.server, since)
    }

    /// Failure guarded against: a pooled connection is closed by the server, is silent, or holds
    /// a late answer to an earlier request, and a request that may run once only is written to it:
    /// its outcome is unknown, and it can't be sent again. Such requests get a connection of
    /// their own.
    fn may_share(&self) -> bool {
        self.route.repeat.is_repeatable()
    }

    async fn connect(&self, choice: &Choice) -> Result<Connection, Failure> {
        let limit = CONNECT.min(self.left());
        match connect(choice.address, limit).await {
            Ok(connection) => Ok(connection),
            Err(_) => {
                self.trouble(choice, ServerFault::Unreachable, "no connection");
                Err(Failure::NotRun)
            }
        }
    }

    fn request(&self, choice: &Choice, last: Option<u64>) -> Option<Request<Full<Bytes>>> {
        let add = Forward {
            server: &choice.server,
            workspace: self.workspace.as_deref(),
            left: self.left(),
            last,
            turn: self.named_turn(last),
        };
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = forward(&self.headers, &add);
        request.headers().get(HOST)?;
        Some(request)
    }

    /// Sorts an answer's head: to be passed on, or a failure that may be tried elsewhere.
    fn judge(
        &self,
        choice: Choice,
        response: Response<Incoming>,
        connection: Connection,
        flight: Flight,
        sent: Moment,
    ) -> Result<Run, Failure> {
        let status = response.status();
        let reply = Reply::read(status, response.headers());
        // Failure guarded against: an extra or late answer to an earlier request stands where
        // this one's is expected, and its caller gets another's answer. The attempt's id tells.
        if self.ask.attempt.is_some() && reply.attempt != self.ask.attempt && !reply.unrun {
            self.state.connections.retire(choice.address);
            self.trouble(&choice, ServerFault::Broken, "an answer to another request");
            return Err(Failure::Unknown);
        }
        self.note_unknown(&choice, response.headers());
        if self.is_own_word(status, &reply) {
            self.note_limit(&choice, &reply.limit, sent);
            self.note_rest(&choice, &reply.rest);
            self.note_leaving(&choice, &reply);
        }
        if reply.unrun {
            return Err(self.not_run(&choice, status, &reply));
        }
        self.note_open(&choice.pool);
        self.note_taken(&choice, sent);
        if status.is_server_error() {
            self.trouble(&choice, ServerFault::Failed, status.as_str());
        }
        Ok(Run {
            choice,
            reply,
            response,
            connection,
            flight,
        })
    }

    /// Whether an answer is the chosen server's own, and to this request: another server may stand at its address,
    /// and an answer to an earlier request may be late.
    fn is_own_word(&self, status: StatusCode, reply: &Reply) -> bool {
        let (asked, told) = (self.ask.attempt.as_ref(), reply.attempt.as_ref());
        let stray = asked.zip(told).is_some_and(|(asked, told)| asked != told);
        status != StatusCode::MISDIRECTED_REQUEST && !stray
    }

    fn not_run(&self, choice: &Choice, status: StatusCode, reply: &Reply) -> Failure {
        let culprit = reply.culprit.as_deref().unwrap_or("");
        let detail = format!("{status}, not run, by {culprit}");
        if reply.culprit.is_some() && status == StatusCode::SERVICE_UNAVAILABLE {
            self.note_out(&choice.pool, &detail);
            return Failure::Out;
        }
        let trouble = match status {
            StatusCode::MISDIRECTED_REQUEST => ServerFault::Unreachable,
            _ => ServerFault::Full,
        };
        self.trouble(choice, trouble, &detail);
        Failure::NotRun
    }

    /// Where the request may be sent now.
    pub(crate) fn gate(&self, now: Moment) -> AllowedPools {
        let servers = self.state.servers.lock();
        let mut outages = self.state.outages.lock();
        outages.gate(now, servers.pools(&self.service))
    }

    fn note_out(&self, pool: &Pool, detail: &str) {
        let now = self.state.clock.now();
        if self.state.outages.lock().note_out(now, pool) {
            self.state.note_outage(pool, Event::ServiceOut, detail);
        }
    }

    fn note_open(&self, pool: &Pool) {
        if self.state.outages.lock().note_open(pool) {
            self.state
                .note_outage(pool, Event::ServiceReopened, &self.name);
        }
    }

    pub(crate) fn trouble(&self, choice: &Choice, trouble: ServerFault, detail: &str) {
        let now = self.state.clock.now();
        let id = &choice.server;
        let mut servers = self.state.servers.lock();
        let out = servers.record_fault(now, id, choice.start, trouble);
        drop(servers);
        let journal = &self.state.journal;
        let said = format_args!("{} at {id}: {trouble:?}, {detail}", self.name);
        self.note_trouble(Event::AnswerFailed, said);
        let Some(out) = out else {
            return;
        };
        journal.record(
            Event::ServerEjected,
            id,
            format_args!("for {out}, {detail}"),
        );
        let state = Arc::clone(&self.state);
        match trouble {
            ServerFault::Unreachable => spawn(await_return(state, choice.clone(), out)).detach(),
            ServerFault::Still => {
                state.frozen.notify(usize::MAX);
                let frozen = Frozen::new(choice);
                spawn(frozen.await_answer(state)).detach();
            }
            _ => {}
        }
    }
}

/// Connects to a server that could not be reached, so that no request has to try it.
async fn await_return(state: Arc<State>, choice: Choice, mut out: Span) {
    loop {
        pause(out).await;
        if !state.servers.lock().knows(&choice.server, choice.start) {
            return;
        }
        let reached = connect(choice.address, CONNECT).await.is_ok();
        let now = state.clock.now();
        let mut servers = state.servers.lock();
        if reached {
            servers.note_reachable(now, &choice.server);
            drop(servers);
            let journal = &state.journal;
            journal.record(Event::ServerReturned, &choice.server, "connected");
            return;
        }
        match servers.record_fault(now, &choice.server, choice.start, ServerFault::Unreachable) {
            Some(longer) => out = longer,
            None => return,
        }
    }
}

impl Run {
    /// Whether the answer is a failure that another server may not have.
    pub(crate) fn is_failure(&self) -> bool {
        self.response.status().is_server_error()
    }

    /// Ends a run whose answer was read in whole: its connection may carry the next request.
    pub(crate) fn finish(self, job: &Job) {
        let state = &job.state;
        let now = state.clock.now();
        if !self.is_failure() {
            let mut servers = state.servers.lock();
            servers.note_success(&self.choice.server, self.choice.start);
            servers.record_completion(&job.service, now.since(self.flight.since));
        }
        if !self.reply.closing {
            let (address, idle) = (self.choice.address, self.reply.idle);
            state.connections.put(now, address, self.connection, idle);
        }
    }
}
