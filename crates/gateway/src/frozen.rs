//! Health checks of servers that show nothing, and the wait until frozen ones answer again.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderValue, HOST};
use hyper::{Request, Uri};

use snipemast_core::prelude::*;
use snipemast_net::connect;
use snipemast_net::exec::{pause, spawn, within};
use snipemast_placement::{Choice, ServerFault};
use snipemast_platform::server;

use crate::send::{Job, CONNECT_TIMEOUT};
use crate::state::State;

/// How long a server may take to answer a health check: several times what this takes between
/// distant availability zones with a new connection.
const CHECK_TIMEOUT: Span = Span::from_millis(150);

/// How often a frozen server is checked until it answers.
const CHECK_INTERVAL: Span = Span::from_millis(500);

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
