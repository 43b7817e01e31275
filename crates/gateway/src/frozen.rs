//! Waits for servers that show nothing, checks their health, and waits until frozen ones answer again.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderValue, HOST};
use hyper::{Request, Uri};

use snipemast_core::prelude::*;
use snipemast_net::connect;
use snipemast_net::exec::{pause, spawn, within};
use snipemast_placement::servers::SILENCE_LIMIT;
use snipemast_placement::{AnswerResult, Choice, ServerFault};
use snipemast_platform::server;
use snipemast_routes::Repeat;

use crate::handle::Attempt;
use crate::send::{Failure, Job, CONNECT_TIMEOUT};
use crate::state::State;

/// How long a server may take to answer a health check: several times what this takes between
/// distant availability zones with a new connection.
const CHECK_TIMEOUT: Span = Span::from_millis(150);

/// How often a frozen server is checked until it answers.
const CHECK_INTERVAL: Span = Span::from_millis(500);

/// How often it is checked again whether a server is frozen. Its group may stall as a whole at
/// first and then run without it.
const RUN_CHECK_INTERVAL: Span = Span::from_millis(100);

/// How long a stream may show nothing before this counts as a failure of its server: longer than the
/// queue of a healthy one, and shorter than the 2 s after which callers give up.
const MUTE_LIMIT: Span = Span::from_millis(1_500);

/// A start of a server that shows nothing.
#[derive(Debug)]
pub(crate) struct FrozenServer {
    server: ServerId,
    start: Incarnation,
    address: SocketAddr,
}

impl FrozenServer {
    pub(crate) fn new(choice: &Choice) -> Self {
        Self {
            server: choice.server.clone(),
            start: choice.start,
            address: choice.address,
        }
    }

    /// Checks the server until it answers or is no longer announced.
    ///
    /// This guards against a server that is taken back after some time although it is still frozen.
    /// The callers of requests that are sent there give up, and the requests are processed for
    /// nobody once the host wakes up.
    pub(crate) async fn await_recovery(self, state: Arc<State>) {
        loop {
            pause(CHECK_INTERVAL).await;
            let now = state.clock.now();
            let resting = {
                let servers = state.servers.lock();
                if !servers.knows_start(&self.server, self.start) {
                    return;
                }
                servers.is_resting(now, &self.server, self.start)
            };
            if !resting && passes_check(self.address).await {
                break;
            }
        }
        let now = state.clock.now();
        let mut servers = state.servers.lock();
        servers.mark_answering(now, &self.server, self.start);
        drop(servers);
        let journal = &state.journal;
        journal.record(Event::ServerReturned, &self.server, "answers again");
    }
}

impl Job {
    /// Waits for a server's work within a limit, but not once the server alone shows nothing and
    /// another server can take the request.
    ///
    /// A request that no other server can take goes on waiting: it may still be answered, and it
    /// would fail if it were given up.
    pub(crate) async fn wait_unless_frozen<T>(
        &self,
        choice: &Choice,
        attempt: &mut Attempt,
        last: Option<u64>,
        limit: Span,
        work: impl Future<Output = T>,
    ) -> Result<T, Failure> {
        let since = self.state.clock.now();
        let (mut next_check, end) = (since + SILENCE_LIMIT, since + limit);
        let mut work = pin!(work);
        let mut recorded = !self.route.repeat.is_stream();
        loop {
            let ejected = self.state.recheck.listen();
            let now = self.state.clock.now();
            if now >= end {
                return Err(Failure::Late);
            }
            let done = within(now.until(next_check.min(end)), work.as_mut());
            let ejected = async {
                ejected.await;
                None
            };
            if let Some(done) = futures_lite::future::or(done, ejected).await {
                return Ok(done);
            }
            self.record_copy();
            let now = self.state.clock.now();
            if !recorded && now >= since + MUTE_LIMIT {
                recorded = true;
                self.record_outcome(choice, AnswerResult::Failed);
            }
            let due = now >= next_check;
            if due {
                next_check = now + RUN_CHECK_INTERVAL;
            }
            if !(self.is_frozen(choice) || due && self.seems_frozen(choice, since)) {
                continue;
            }
            let done = async { Some(work.as_mut().await) };
            let checked = async {
                self.eject_if_frozen(choice).await;
                None
            };
            if let Some(done) = futures_lite::future::or(done, checked).await {
                return Ok(done);
            }
            if attempt.try_move(self, &choice.server, last) {
                self.state.connections.close_idle(choice.address);
                return Err(Failure::Unknown);
            }
        }
    }

    /// Whether a server is known to be frozen and the request may go elsewhere.
    fn is_frozen(&self, choice: &Choice) -> bool {
        let servers = self.state.servers.lock();
        self.route.repeat == Repeat::ResumableStream
            && servers.is_frozen(&choice.server, choice.start)
    }

    /// Whether a request that has seen nothing for a while should move: its server is left out, or
    /// shows nothing while others run.
    fn seems_frozen(&self, choice: &Choice, since: Moment) -> bool {
        let now = self.state.clock.now();
        let servers = self.state.servers.lock();
        let is_suspicious =
            servers.is_failing(&choice.server) || servers.seems_frozen(now, &choice.server, since);
        self.route.repeat == Repeat::ResumableStream && is_suspicious
    }

    /// Checks a server that shows nothing, and ejects it if it does not answer.
    ///
    /// In a large group a stream may wait a second and more in a rank's queue. If such healthy
    /// ranks were ejected, the queues of the others would fill. A frozen host accepts connections
    /// but answers nothing, while a server with a long queue answers a health check without
    /// queueing it.
    pub(crate) async fn eject_if_frozen(&self, choice: &Choice) {
        let now = self.state.clock.now();
        let begun = self.state.servers.lock().begin_check(now, &choice.server);
        if begun && !passes_check(choice.address).await {
            self.record_fault(choice, ServerFault::Still, "answers no health check");
        }
    }
}

/// Checks the servers that other gateways found to be frozen.
pub(crate) fn check_reported(state: &Arc<State>, reported: &[ServerId]) {
    let now = state.clock.now();
    for server in reported {
        let begun = state.servers.lock().begin_reported_check(now, server);
        if let Some((start, address)) = begun {
            let frozen = FrozenServer {
                server: server.clone(),
                start,
                address,
            };
            spawn(check_once(Arc::clone(state), frozen)).detach();
        }
    }
}

async fn check_once(state: Arc<State>, frozen: FrozenServer) {
    if passes_check(frozen.address).await {
        return;
    }
    let is_new = {
        let now = state.clock.now();
        let mut servers = state.servers.lock();
        let out = servers.record_fault(now, &frozen.server, frozen.start, ServerFault::Still);
        out.is_some()
    };
    if is_new {
        state.recheck.notify(usize::MAX);
        let detail = "answers no health check, reported by another gateway";
        state
            .journal
            .record(Event::ServerEjected, &frozen.server, detail);
        frozen.await_recovery(state).await;
    }
}

/// Whether a server answers a health check on a connection of its own.
async fn passes_check(address: SocketAddr) -> bool {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = Uri::from_static(server::REPORT);
    let Ok(host) = HeaderValue::from_str(&address.to_string()) else {
        return true;
    };
    request.headers_mut().insert(HOST, host);
    let answer = async {
        let mut connection = connect(address, CONNECT_TIMEOUT).await.ok()?;
        connection.send(request).await.ok()
    };
    within(CHECK_TIMEOUT, answer).await.flatten().is_some()
}
