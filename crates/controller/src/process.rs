//! Starts the parts of a controller and runs them until the process is told to end.

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
use snipemast_net::parts::Uploads;
use snipemast_net::{serve, socket, BootClock};
use snipemast_platform::settings::Settings;
use snipemast_registry::{Pollers, Table};

use crate::api::{Api, MAX_BODY};
use crate::crashes::keep_quarantined;
use crate::departures::{follow_departures, PendingDepartures};
use crate::join::{request_membership, run_voter, OwnHost};
use crate::spread::Peers;
use crate::state::State;
use crate::unknown_senders::UnknownSenders;
use crate::voter::Voter;

/// The result of starting a controller.
pub type Result<T> = std::result::Result<T, Report<ControllerError>>;

/// The interval at which the settings file is read again, because it may change without a signal.
const RELOAD_INTERVAL: Span = Span::from_secs(2);

/// The interval at which silent servers and pollers are expired.
const EXPIRY_INTERVAL: Span = Span::from_secs(1);

/// Why a controller can't start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ControllerError {
    /// The settings name no address at which to serve operators and servers.
    NoAddress,
    /// Another process listens at the address.
    Taken(SocketAddr),
}

impl fmt::Display for ControllerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoAddress => f.write_str("the settings name no address for control"),
            Self::Taken(address) => write!(f, "cannot listen on {address}"),
        }
    }
}

impl std::error::Error for ControllerError {}

/// Runs a controller until the future `end` is ready.
pub async fn run(
    settings: Settings,
    journal: Journal,
    end: impl std::future::Future<Output = ()>,
) -> Result<()> {
    let address = settings.control.ok_or(ControllerError::NoAddress)?;
    let own_address = settings.internal_address();
    let taken = |a| move || ControllerError::Taken(a);
    let external = socket::listen(address).change_context_lazy(taken(address))?;
    let bound = settings.internal_listen();
    let internal = socket::listen(bound).change_context_lazy(taken(bound))?;
    let clock = BootClock::new();
    // A majority must remain after the loss of as many hosts as may be lost at once.
    let voters = 2 * settings.tolerated_losses as usize + 1;
    let location = Location {
        host: settings.host.clone(),
        zone: settings.zone.clone(),
        address: own_address,
    };
    let voter = Voter::new(clock, journal.clone(), location, voters);
    let state = Arc::new(State {
        settings: settings.clone(),
        clock,
        journal: journal.clone(),
        epoch: rand::random(),
        table: Mutex::new(Table::new()),
        covered: Mutex::default(),
        rank_updates: Mutex::default(),
        unknown_senders: UnknownSenders::default(),
        pollers: Mutex::new(Pollers::default()),
        grants: Mutex::default(),
        crashes: Mutex::default(),
        transfers: Mutex::default(),
        changed: Signal::new(),
        voter: Arc::clone(&voter),
    });
    let own = Arc::new(OwnHost::default());
    let api = Arc::new(Api {
        state: Arc::clone(&state),
        own: Arc::clone(&own),
        uploads: Uploads::new(MAX_BODY),
        departures: PendingDepartures::default(),
    });
    let peers = Peers::new(Arc::clone(&state));
    let feed = Feed::new(peers, journal.clone(), Some(own_address));
    let (for_external, for_internal) = (Arc::clone(&api), api);
    let tasks = [
        spawn(serve(external, move |r, _| {
            Arc::clone(&for_external).answer_external(r)
        })),
        spawn(serve(internal, move |r, _| {
            Arc::clone(&for_internal).answer_internal(r)
        })),
        spawn(run_voter(
            settings.clone(),
            Arc::clone(&voter),
            Arc::clone(&own),
            journal.clone(),
        )),
        spawn(request_membership(
            settings.clone(),
            Arc::clone(&voter),
            own,
        )),
        spawn(notify_pollers(Arc::clone(&state))),
        spawn(follow_departures(Arc::clone(&state))),
        spawn(expire_silent(Arc::clone(&state))),
        spawn(keep_quarantined(Arc::clone(&state))),
        spawn(refresh_seeds(settings, feed, state)),
    ];
    journal.record(Event::ProcessStarted, address, "controller");
    end.await;
    drop(tasks);
    voter.stop();
    journal.record(Event::ProcessEnded, address, "controller");
    Ok(())
}

/// Wakes pollers when the configuration or the leader changes.
async fn notify_pollers(state: Arc<State>) {
    loop {
        let changed = state.voter.listen();
        state.notify_waiters();
        changed.await;
    }
}

/// Expires silent servers and pollers.
async fn expire_silent(state: Arc<State>) {
    loop {
        pause(EXPIRY_INTERVAL).await;
        let now = state.clock.now();
        state.pollers.lock().expire(now);
        state.crashes.lock().forget(now);
        state.transfers.lock().expire(now);
        state.update_table(|table| table.expire(now));
    }
}

/// Keeps the polled controllers up to date: those in the settings file, which may change, and the
/// voters.
async fn refresh_seeds(mut settings: Settings, feed: Arc<Feed<Peers>>, state: Arc<State>) {
    loop {
        feed.set_seeds(settings.internal_seeds());
        feed.set_named(state.controllers());
        pause(RELOAD_INTERVAL).await;
        settings.refresh(&state.journal);
    }
}
