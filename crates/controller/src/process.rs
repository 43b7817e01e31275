//! Starts a controller's parts, and runs them until the process is told to end.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use error_stack::{Report, ResultExt};
use event_listener::Event as Signal;
use parking_lot::Mutex;

use snipemast_control::Location;
use snipemast_core::prelude::*;
use snipemast_feed::Feed;
use snipemast_net::exec::{pause, spawn};
use snipemast_net::{serve, socket, BootClock};
use snipemast_platform::settings::Settings;
use snipemast_registry::{Pollers, Table};

use crate::api::Api;
use crate::join::{keep_joining, keep_running, Own};
use crate::spread::Peers;
use crate::state::State;
use crate::strangers::Strangers;
use crate::voter::Voter;

/// The result of starting a controller.
pub type Result<T> = std::result::Result<T, Report<ControllerError>>;

/// How often the settings file is looked at, which may change without a signal.
const RELOAD: Span = Span::from_secs(2);

/// How often silent servers and pollers are given up.
const UPKEEP: Span = Span::from_secs(1);

/// Why a controller can't start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ControllerError {
    /// The settings name no address for operators and servers.
    NoAddress,
    /// Another process listens at the address.
    Taken(SocketAddr),
}

impl fmt::Display for ControllerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoAddress => f.write_str("the settings name no address for control"),
            Self::Taken(address) => write!(f, "{address} can't be listened at"),
        }
    }
}

impl std::error::Error for ControllerError {}

/// Runs a controller until the future that ends it is ready.
pub async fn run(
    settings: Settings,
    journal: Journal,
    end: impl std::future::Future<Output = ()>,
) -> Result<()> {
    let address = settings.control.ok_or(ControllerError::NoAddress)?;
    let inside = settings.internal_address();
    let taken = |a| move || ControllerError::Taken(a);
    let outside = socket::listen(address).change_context_lazy(taken(address))?;
    let bound = settings.internal_listen();
    let internal = socket::listen(bound).change_context_lazy(taken(bound))?;
    let clock = BootClock::new();
    // A majority must outlive what may be lost at once.
    let voters = 2 * settings.lost as usize + 1;
    let location = Location {
        host: settings.host.clone(),
        zone: settings.zone.clone(),
        address: inside,
    };
    let voter = Voter::new(clock, journal.clone(), location, voters);
    let state = Arc::new(State {
        settings: settings.clone(),
        clock,
        journal: journal.clone(),
        epoch: rand::random(),
        table: Mutex::new(Table::new()),
        words: Mutex::default(),
        strangers: Strangers::default(),
        pollers: Mutex::new(Pollers::default()),
        grants: Mutex::default(),
        changed: Signal::new(),
        voter: Arc::clone(&voter),
    });
    let own = Arc::new(Own::default());
    let api = Arc::new(Api {
        state: Arc::clone(&state),
        own: Arc::clone(&own),
    });
    let peers = Peers::new(Arc::clone(&state));
    let feed = Feed::new(peers, journal.clone(), Some(inside));
    let (for_outside, for_inside) = (Arc::clone(&api), api);
    let tasks = [
        spawn(serve(outside, move |r, _| {
            Arc::clone(&for_outside).outside(r)
        })),
        spawn(serve(internal, move |r, _| {
            Arc::clone(&for_inside).inside(r)
        })),
        spawn(keep_running(
            settings.clone(),
            Arc::clone(&voter),
            Arc::clone(&own),
            journal.clone(),
        )),
        spawn(keep_joining(settings.clone(), Arc::clone(&voter), own)),
        spawn(pass_on(Arc::clone(&state))),
        spawn(keep_up(Arc::clone(&state))),
        spawn(keep_seeds(settings, feed, state)),
    ];
    journal.record(Event::ProcessStarted, address, "controller");
    end.await;
    drop(tasks);
    voter.stop();
    journal.record(Event::ProcessEnded, address, "controller");
    Ok(())
}

/// Wakes pollers when the configuration or the leader changes.
async fn pass_on(state: Arc<State>) {
    loop {
        let changed = state.voter.changed();
        state.announce();
        changed.await;
    }
}

async fn keep_up(state: Arc<State>) {
    loop {
        pause(UPKEEP).await;
        let now = state.clock.now();
        state.pollers.lock().expire(now);
        state.change(|table| table.expire(now));
    }
}

/// Polls the controllers that the settings file names, whatever it names now, and the voters.
async fn keep_seeds(mut settings: Settings, feed: Arc<Feed<Peers>>, state: Arc<State>) {
    loop {
        feed.set_seeds(settings.internal_seeds());
        feed.set_named(state.controllers());
        pause(RELOAD).await;
        settings.refresh(&state.journal);
    }
}
