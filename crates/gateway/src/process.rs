//! Starts a gateway, reports whether it is ready, and shuts it down without cutting off answers.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use error_stack::{Report, ResultExt};
use hyper::body::Incoming;
use hyper::{Request, StatusCode};

use snipemast_core::prelude::*;
use snipemast_feed::Feed;
use snipemast_net::exec::{pause, spawn};
use snipemast_net::{serve, serve_gated, socket, OpenConnections};
use snipemast_platform::calls::{METRICS, READY};
use snipemast_platform::settings::Settings;
use snipemast_settings::Decisions;

use crate::answer::{local_answer, Answer};
use crate::handle::handle;
use crate::intake::CallerGate;
use crate::queue::check_queues;
use crate::reader::UpdateReader;
use crate::state::State;

/// The result of running a gateway.
pub type Result<T> = std::result::Result<T, Report<GatewayError>>;

/// How often the settings file is read again. It may change without a signal.
const RELOAD_INTERVAL: Span = Span::from_secs(2);

/// How often expired idle connections are closed, and other expired state is forgotten.
const EXPIRY_INTERVAL: Span = Span::from_millis(500);

/// Why a gateway can't start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GatewayError {
    /// The settings name no address for callers or for the load balancer.
    NoAddress,
    /// The gateway can't listen at the address, for example because another process does.
    Taken(SocketAddr),
}

impl fmt::Display for GatewayError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoAddress => f.write_str("the settings name no address for callers"),
            Self::Taken(address) => write!(f, "can't listen at {address}"),
        }
    }
}

impl std::error::Error for GatewayError {}

/// Runs a gateway until `end` is ready and the answers under way are delivered.
pub async fn run(
    settings: Settings,
    decisions: Decisions,
    journal: Journal,
    end: impl std::future::Future<Output = ()>,
) -> Result<()> {
    let front = settings.front.ok_or(GatewayError::NoAddress)?;
    let ready = settings.ready.ok_or(GatewayError::NoAddress)?;
    let taken = |a| move || GatewayError::Taken(a);
    let callers = socket::listen(front).change_context_lazy(taken(front))?;
    let balancer = socket::listen(ready).change_context_lazy(taken(ready))?;
    let state = State::new(settings.clone(), decisions, journal.clone());
    let reader = UpdateReader::new(Arc::clone(&state));
    let feed = Feed::new(Arc::clone(&reader), journal.clone(), None);
    let gate = CallerGate::new(Arc::clone(&state));
    let connections = OpenConnections::default();
    let from_callers = connections.clone();
    let (for_callers, for_balancer) = (Arc::clone(&state), Arc::clone(&state));
    let tasks = [
        spawn(serve_gated(callers, gate, from_callers, move |r, _| {
            handle(Arc::clone(&for_callers), r)
        })),
        spawn(serve(balancer, move |r, _| {
            answer_probe(Arc::clone(&for_balancer), r)
        })),
        spawn(follow_seeds(settings, feed, Arc::clone(&state))),
        spawn(reader.follow_configuration()),
        spawn(expire(Arc::clone(&state))),
        spawn(check_queues(Arc::clone(&state))),
    ];
    journal.record(Event::ProcessStarted, front, "gateway");
    end.await;
    shut_down(&state, &connections).await;
    drop(tasks);
    journal.record(Event::ProcessEnded, front, "gateway");
    Ok(())
}

/// Shuts the gateway down: it is not ready from now on, and serves until no request is left, to the last byte of its answer,
/// or the platform's grace period is over. Shortly before that it answers what no server has answered.
async fn shut_down(state: &State, connections: &OpenConnections) {
    const CHECK_INTERVAL: Span = Span::from_millis(50);
    state.begin_shutdown();
    let active = state.active_requests();
    let detail = format!("{active} active requests");
    state.journal.record(Event::DrainBegun, "gateway", detail);
    let mut answered = false;
    loop {
        let unwritten = u32::try_from(connections.busy_count()).unwrap_or(u32::MAX);
        let (now, active) = (state.clock.now(), state.active_requests().max(unwritten));
        if state.may_end(now, active) {
            if active > 0 {
                log_expired(state, active, "are cut");
            }
            return;
        }
        if !answered && state.answers_at().is_some_and(|at| now >= at) {
            answered = true;
            log_expired(state, active, "end, those without an answer with 504");
            state.ending.notify(usize::MAX);
        }
        pause(CHECK_INTERVAL).await;
    }
}

fn log_expired(state: &State, active: u32, end: &str) {
    let detail = format_args!("{active} active requests, or answers that aren't written, {end}");
    state.journal.record(Event::DrainExpired, "gateway", detail);
}

/// Answers the load balancer's readiness checks and reads of metrics.
async fn answer_probe(state: Arc<State>, request: Request<Incoming>) -> Answer {
    match request.uri().path() {
        READY if state.is_ready() => local_answer(StatusCode::OK, "ready"),
        READY => local_answer(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
        METRICS => local_answer(StatusCode::OK, &metrics(&state)),
        _ => local_answer(StatusCode::NOT_FOUND, "no such call"),
    }
}

fn metrics(state: &State) -> String {
    let mut text = state.journal.ring().exposition();
    text.push_str(&format!(
        "snipemast_active_requests {}\n",
        state.active_requests()
    ));
    text.push_str(&format!(
        "snipemast_configuration_version {}\n",
        state.version()
    ));
    let servers = state.servers.lock().count();
    text.push_str(&format!("snipemast_servers {servers}\n"));
    let (held, limit) = (state.memory.held(), state.memory.limit());
    text.push_str(&format!("snipemast_held_bytes {}\n", held.as_bytes()));
    text.push_str(&format!(
        "snipemast_held_bytes_limit {}\n",
        limit.as_bytes()
    ));
    let (requests, parts) = state.crashes.quarantined();
    text.push_str(&format!("snipemast_quarantined_requests {requests}\n"));
    text.push_str(&format!("snipemast_quarantined_parts {parts}\n"));
    let evacuated = state.evacuations.lock().zones.len();
    text.push_str(&format!("snipemast_evacuated_zones {evacuated}\n"));
    text.push_str(&state.metrics.render());
    text
}

async fn expire(state: Arc<State>) {
    loop {
        pause(EXPIRY_INTERVAL).await;
        let now = state.clock.now();
        state.connections.expire(now);
        state.crashes.forget(now);
    }
}

/// Polls the controllers that the settings file names, and follows changes of the file.
async fn follow_seeds(mut settings: Settings, feed: Arc<Feed<UpdateReader>>, state: Arc<State>) {
    loop {
        feed.set_seeds(settings.internal_seeds());
        pause(RELOAD_INTERVAL).await;
        settings.refresh(&state.journal);
    }
}
