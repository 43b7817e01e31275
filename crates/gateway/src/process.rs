//! Starts a gateway's parts, says whether it is ready, and ends without a cut answer.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use error_stack::{Report, ResultExt};
use hyper::body::Incoming;
use hyper::{Request, StatusCode};

use snipemast_core::prelude::*;
use snipemast_feed::Feed;
use snipemast_net::exec::{pause, spawn};
use snipemast_net::{serve, socket};
use snipemast_platform::calls::{METRICS, READY};
use snipemast_platform::settings::Settings;
use snipemast_settings::Decisions;

use crate::answer::{own, Answer};
use crate::handle::handle;
use crate::news::Reader;
use crate::state::State;

/// The result of starting a gateway.
pub type Result<T> = std::result::Result<T, Report<GatewayError>>;

/// How often the settings file is looked at, which may change without a signal.
const RELOAD: Span = Span::from_secs(2);

/// How often idle connections are looked after.
const UPKEEP: Span = Span::from_millis(500);

/// Why a gateway can't start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GatewayError {
    /// The settings name no address for callers or the balancer.
    NoAddress,
    /// Another process listens at the address.
    Taken(SocketAddr),
}

impl fmt::Display for GatewayError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoAddress => f.write_str("the settings name no address for callers"),
            Self::Taken(address) => write!(f, "{address} can't be listened at"),
        }
    }
}

impl std::error::Error for GatewayError {}

/// Runs a gateway until the future that ends it is ready and its answers are delivered.
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
    let grace = settings.bounds.grace;
    let state = State::new(settings.clone(), decisions, journal.clone());
    let reader = Reader::new(Arc::clone(&state));
    let feed = Feed::new(reader, journal.clone(), None);
    let (for_callers, for_balancer) = (Arc::clone(&state), Arc::clone(&state));
    let tasks = [
        spawn(serve(callers, move |r, _| {
            handle(Arc::clone(&for_callers), r)
        })),
        spawn(serve(balancer, move |r, _| {
            tell(Arc::clone(&for_balancer), r)
        })),
        spawn(keep_seeds(settings, feed, Arc::clone(&state))),
        spawn(keep_up(Arc::clone(&state))),
    ];
    journal.record(Event::ProcessStarted, front, "gateway");
    end.await;
    leave(&state, grace).await;
    drop(tasks);
    journal.record(Event::ProcessEnded, front, "gateway");
    Ok(())
}

/// Takes leave: not ready at once, serving on until nothing is in hand, within the platform's bound.
async fn leave(state: &State, grace: Span) {
    const STEP: Span = Span::from_millis(50);
    state.shutdown.lock().begin(state.clock.now());
    let active = state.active();
    let detail = format!("{active} active requests");
    state.journal.record(Event::DrainBegun, "gateway", detail);
    loop {
        let (now, active) = (state.clock.now(), state.active());
        if state.shutdown.lock().may_end(now, grace, active) {
            if active > 0 {
                let detail = format_args!("{active} active requests");
                state.journal.record(Event::DrainExpired, "gateway", detail);
            }
            return;
        }
        pause(STEP).await;
    }
}

/// Answers the balancer, and whoever reads metrics.
async fn tell(state: Arc<State>, request: Request<Incoming>) -> Answer {
    match request.uri().path() {
        READY if state.is_ready() => own(StatusCode::OK, "ready"),
        READY => own(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
        METRICS => own(StatusCode::OK, &metrics(&state)),
        _ => own(StatusCode::NOT_FOUND, "no such call"),
    }
}

fn metrics(state: &State) -> String {
    let mut text = state.journal.ring().exposition();
    text.push_str(&format!("snipemast_active_requests {}\n", state.active()));
    text.push_str(&format!(
        "snipemast_configuration_version {}\n",
        state.version()
    ));
    text.push_str(&state.metrics.text());
    text
}

async fn keep_up(state: Arc<State>) {
    loop {
        pause(UPKEEP).await;
        state.connections.expire(state.clock.now());
    }
}

/// Polls the controllers that the settings file names, whatever it names now.
async fn keep_seeds(mut settings: Settings, feed: Arc<Feed<Reader>>, state: Arc<State>) {
    loop {
        feed.set_seeds(settings.internal_seeds());
        pause(RELOAD).await;
        settings.refresh(&state.journal);
    }
}
