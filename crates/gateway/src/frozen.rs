//! Servers that answer nothing, not even how they are, until they do.

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

use crate::send::{Job, CONNECT};
use crate::state::State;

/// How long a server may take to tell how it is: some times what that takes between distant zones, with a new
/// connection.
const TELLS: Span = Span::from_millis(150);

/// How often a server that answers nothing is asked, until it answers.
const AGAIN: Span = Span::from_millis(500);

/// A start of a server that shows nothing.
#[derive(Debug)]
pub(crate) struct Frozen {
    server: ServerId,
    start: Incarnation,
    address: SocketAddr,
}

impl Frozen {
    pub(crate) fn new(choice: &Choice) -> Self {
        Self {
            server: choice.server.clone(),
            start: choice.start,
            address: choice.address,
        }
    }

    /// Asks the server again and again until it answers, as long as it is on offer.
    ///
    /// Failure guarded against: it is taken back after a time and stands still yet; what is sent there is given up by its
    /// callers, and is worked on for nobody once the host goes on.
    pub(crate) async fn await_answer(self, state: Arc<State>) {
        loop {
            pause(AGAIN).await;
            let now = state.clock.now();
            let rests = {
                let servers = state.servers.lock();
                if !servers.knows(&self.server, self.start) {
                    return;
                }
                servers.is_resting(now, &self.server, self.start)
            };
            if !rests && answers(self.address).await {
                break;
            }
        }
        let now = state.clock.now();
        let mut servers = state.servers.lock();
        servers.note_answering(now, &self.server, self.start);
        drop(servers);
        let journal = &state.journal;
        journal.record(Event::ServerReturned, &self.server, "answers again");
    }
}

impl Job {
    /// Asks a server that shows nothing how it is, and leaves it out where it does not answer.
    ///
    /// Failure guarded against: in a large group a stream waits a second and more in a rank's queue, and sound
    /// ranks are left out, which fills the queues of the others. A server whose host stands still
    /// takes connections, but answers nothing; one with a long queue tells how it is without one.
    pub(crate) async fn leave_out_if_frozen(&self, choice: &Choice) {
        let now = self.state.clock.now();
        let asks = self.state.servers.lock().asks(now, &choice.server);
        if asks && !answers(choice.address).await {
            self.trouble(choice, ServerFault::Still, "stands still");
        }
    }
}

/// Asks the servers how they are that answer some other gateway nothing.
pub(crate) fn check(state: &Arc<State>, told: &[ServerId]) {
    let now = state.clock.now();
    for server in told {
        let asked = state.servers.lock().asks_told(now, server);
        if let Some((start, address)) = asked {
            let frozen = Frozen {
                server: server.clone(),
                start,
                address,
            };
            spawn(ask_once(Arc::clone(state), frozen)).detach();
        }
    }
}

async fn ask_once(state: Arc<State>, frozen: Frozen) {
    if answers(frozen.address).await {
        return;
    }
    let news = {
        let now = state.clock.now();
        let mut servers = state.servers.lock();
        let out = servers.record_fault(now, &frozen.server, frozen.start, ServerFault::Still);
        out.is_some()
    };
    if news {
        state.frozen.notify(usize::MAX);
        let detail = "stands still, another gateway told";
        state
            .journal
            .record(Event::ServerEjected, &frozen.server, detail);
        frozen.await_answer(state).await;
    }
}

/// Whether a server tells how it is, on a connection of its own.
async fn answers(address: SocketAddr) -> bool {
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = Uri::from_static(server::REPORT);
    let Ok(host) = HeaderValue::from_str(&address.to_string()) else {
        return true;
    };
    request.headers_mut().insert(HOST, host);
    let told = async {
        let mut connection = connect(address, CONNECT).await.ok()?;
        connection.send(request).await.ok()
    };
    within(TELLS, told).await.flatten().is_some()
}
