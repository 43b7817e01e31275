//! The life of an entry process: start, drain, stop.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use error_stack::{Report, ResultExt};
use smol::Task;
use trillium::Handler;

use snipemast_backing::metrics::Metrics;
use snipemast_core::prelude::*;
use snipemast_settings::EntrySettings;
use snipemast_wire::{listen, spawn, Listening, Stamped};

use crate::admit::{admit_forever, tell_forever};
use crate::choose::sync_forever;
use crate::control::{attest_forever, Control};
use crate::copy::{keep_forever, Copy};
use crate::desk::Desk;
use crate::follow::follow_forever;
use crate::front::Front;
use crate::gossip::gossip_forever;
use crate::keys::keep_keys_forever;
use crate::metrics::report_forever;
use crate::orders::order_forever;
use crate::own::Own;
use crate::shared::Shared;
use crate::timeline::TimelineHandler;

/// How long the last word to the other entries may take.
const FAREWELL: Span = Span::from_millis(100);

/// The result of starting an entry.
pub type Result<T> = std::result::Result<T, Report<EntryError>>;

/// An entry that can't start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryError {
    /// The address can't be bound.
    Bind(SocketAddr),
    /// The control role can't begin.
    Control,
    /// Metrics can't be sent to the address.
    Metrics(SocketAddr),
}

impl fmt::Display for EntryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Bind(address) => write!(f, "{address} can't be bound"),
            Self::Control => f.write_str("the control role can't begin"),
            Self::Metrics(address) => write!(f, "metrics can't be sent to {address}"),
        }
    }
}

impl std::error::Error for EntryError {}

/// A running entry.
#[derive(Debug)]
pub struct Entry {
    shared: Arc<Shared>,
    callers: Listening,
    own: Listening,
    operators: Option<Listening>,
    tasks: Vec<Task<()>>,
}

impl Entry {
    /// Starts an entry: binds its addresses and follows the configuration.
    pub async fn start(
        settings: EntrySettings,
        incarnation: Incarnation,
        journal: Journal,
    ) -> Result<Self> {
        let process = ProcessId::new(settings.host.clone(), incarnation);
        let shared = Arc::new(Shared::new(settings, process, journal));
        let copy = shared.settings.data.as_ref().map(Copy::new);
        if let Some(copy) = &copy {
            start_from(&shared, copy);
        }
        let settings = &shared.settings;
        let own = bind(
            settings.own,
            Stamped::new(
                Arc::clone(shared.journal.ring()),
                Own::new(Arc::clone(&shared)),
            ),
        )
        .await?;
        if let Some(control) = &settings.control {
            let control = Control::start(&shared, control, own.address());
            shared.begin_control(control.change_context(EntryError::Control)?);
        }
        shared.gossip.begin(&shared, own.address());
        let callers = bind(settings.callers, Front::new(Arc::clone(&shared))).await?;
        let operators = match settings.operators {
            Some(address) => Some(bind(address, operators(&shared)).await?),
            None => None,
        };
        shared
            .journal
            .record(Event::ProcessStarted, &shared.process, callers.address());
        let follow = spawn(follow_forever(Arc::clone(&shared)));
        let gossip = spawn(gossip_forever(Arc::clone(&shared)));
        let sync = spawn(sync_forever(Arc::clone(&shared)));
        let attest = spawn(attest_forever(Arc::clone(&shared)));
        let order = spawn(order_forever(Arc::clone(&shared)));
        let keys = spawn(keep_keys_forever(Arc::clone(&shared)));
        let admit = spawn(admit_forever(Arc::clone(&shared)));
        let tell = spawn(tell_forever(Arc::clone(&shared)));
        let mut tasks = vec![follow, gossip, sync, attest, order, keys, admit, tell];
        tasks.extend(copy.map(|copy| spawn(keep_forever(Arc::clone(&shared), copy))));
        if let Some(address) = shared.settings.statsd {
            let metrics = Metrics::new(address, &shared.settings.host);
            let metrics = metrics.change_context(EntryError::Metrics(address))?;
            tasks.push(spawn(report_forever(Arc::clone(&shared), metrics)));
        }
        Ok(Self {
            shared,
            callers,
            own,
            operators,
            tasks,
        })
    }

    /// What the process's requests share.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Where callers connect.
    pub fn callers(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Where the system's own processes connect.
    pub fn own(&self) -> SocketAddr {
        self.own.address()
    }

    /// Where operators connect.
    pub fn operators(&self) -> Option<SocketAddr> {
        self.operators.as_ref().map(Listening::address)
    }

    /// Drains, waits until every answer is whole or the bound has passed, and ends.
    ///
    /// Failure guarded against: an answer that is cut by a planned restart, or a peer that goes on
    /// talking to a process that has ended, over a connection that stays open. They show as a
    /// broken connection at the caller, and as silence at the peer. In this order it can't happen
    /// within the bound: the platform's balancer is told first, and new requests are still taken
    /// while it finds out; then nothing new is taken; then the callers' listener ends, which waits
    /// until the last byte of each answer is written; and only then goes what they came over.
    pub async fn stop(self) {
        let Self {
            shared,
            callers,
            own,
            operators,
            tasks,
        } = self;
        shared.drain();
        shared.distributor.close();
        smol::Timer::after(shared.settings.limits.notice.as_duration()).await;
        shared.close();
        let bound = shared.settings.limits.shutdown;
        let event = match callers.stop_within(bound).await {
            true => Event::ProcessEnded,
            false => Event::DrainExpired,
        };
        shared.journal.record(event, &shared.process, "");
        shared.gossip.leave(&shared);
        smol::Timer::after(FAREWELL.as_duration()).await;
        own.stop_within(FAREWELL).await;
        if let Some(operators) = operators {
            operators.stop_within(FAREWELL).await;
        }
        for task in tasks {
            task.cancel().await;
        }
        if let Some(control) = shared.control() {
            control.voter().kill();
        }
    }
}

/// Brings the local copy into force; a damaged one is told of and fetched again.
fn start_from(shared: &Shared, copy: &Copy) {
    match copy.read() {
        Ok(Some(config)) => shared.apply(Arc::new(config)),
        Ok(None) => {}
        Err(report) => {
            let error = report.current_context();
            let path = copy.path();
            shared
                .journal
                .record(Event::StorageRefused, path.display(), error);
        }
    }
}

/// What operators reach: the time line first, and the desk for everything else.
fn operators(shared: &Arc<Shared>) -> impl Handler {
    let timeline = TimelineHandler::new(Arc::clone(shared));
    (timeline, Desk::new(Arc::clone(shared)))
}

async fn bind(address: SocketAddr, handler: impl Handler) -> Result<Listening> {
    listen(address, handler)
        .await
        .change_context(EntryError::Bind(address))
}
