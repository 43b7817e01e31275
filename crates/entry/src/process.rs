//! The life cycle of an entry process: start, drain and stop.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use error_stack::{Report, ResultExt};
use smol::Task;
use trillium::Handler;

use snipemast_backing::metrics::Metrics;
use snipemast_core::prelude::*;
use snipemast_settings::EntrySettings;
use snipemast_wire::{listen, spawn, ServerHandle, Stamped};

use crate::admit::{admit_forever, exchange_demands_forever};
use crate::choose::sync_forever;
use crate::control::{update_link_forever, Control};
use crate::copy::{write_copies_forever, Copy};
use crate::desk::OperatorApi;
use crate::follow::follow_forever;
use crate::front::CallerApi;
use crate::gossip::gossip_forever;
use crate::keys::maintain_keys_forever;
use crate::metrics::report_forever;
use crate::orders::send_orders_forever;
use crate::own::InternalApi;
use crate::shared::Shared;
use crate::timeline::TimelineHandler;

/// The time that the leave message to the other entries gets.
const LEAVE_TIMEOUT: Span = Span::from_millis(100);

/// The result of starting an entry.
pub type Result<T> = std::result::Result<T, Report<EntryError>>;

/// The reason why an entry can't start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryError {
    /// The address can't be bound.
    Bind(SocketAddr),
    /// The control role can't start.
    Control,
    /// Metrics can't be sent to the address.
    Metrics(SocketAddr),
}

impl fmt::Display for EntryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Bind(address) => write!(f, "{address} can't be bound"),
            Self::Control => f.write_str("the control role can't start"),
            Self::Metrics(address) => write!(f, "metrics can't be sent to {address}"),
        }
    }
}

impl std::error::Error for EntryError {}

/// A running entry.
#[derive(Debug)]
pub struct Entry {
    shared: Arc<Shared>,
    callers: ServerHandle,
    own: ServerHandle,
    operators: Option<ServerHandle>,
    tasks: Vec<Task<()>>,
}

impl Entry {
    /// Starts an entry: binds its addresses and starts its background tasks.
    pub async fn start(
        settings: EntrySettings,
        incarnation: Incarnation,
        journal: Journal,
    ) -> Result<Self> {
        let process = ProcessId::new(settings.host.clone(), incarnation);
        let shared = Arc::new(Shared::new(settings, process, journal));
        let copy = shared.settings.data.as_ref().map(Copy::new);
        if let Some(copy) = &copy {
            load_copy(&shared, copy);
        }
        let settings = &shared.settings;
        let own = bind(
            settings.own,
            Stamped::new(
                Arc::clone(shared.journal.ring()),
                InternalApi::new(Arc::clone(&shared)),
            ),
        )
        .await?;
        if let Some(control) = &settings.control {
            let control = Control::start(&shared, control, own.address());
            shared.set_control(control.change_context(EntryError::Control)?);
        }
        shared.gossip.start(&shared, own.address());
        let callers = bind(settings.callers, CallerApi::new(Arc::clone(&shared))).await?;
        let operators = match settings.operators {
            Some(address) => Some(bind(address, operator_handler(&shared)).await?),
            None => None,
        };
        shared
            .journal
            .record(Event::ProcessStarted, &shared.process, callers.address());
        let follow = spawn(follow_forever(Arc::clone(&shared)));
        let gossip = spawn(gossip_forever(Arc::clone(&shared)));
        let sync = spawn(sync_forever(Arc::clone(&shared)));
        let link = spawn(update_link_forever(Arc::clone(&shared)));
        let orders = spawn(send_orders_forever(Arc::clone(&shared)));
        let keys = spawn(maintain_keys_forever(Arc::clone(&shared)));
        let admit = spawn(admit_forever(Arc::clone(&shared)));
        let demands = spawn(exchange_demands_forever(Arc::clone(&shared)));
        let mut tasks = vec![follow, gossip, sync, link, orders, keys, admit, demands];
        tasks.extend(copy.map(|copy| spawn(write_copies_forever(Arc::clone(&shared), copy))));
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

    /// Returns the state that the process's requests share.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Returns the address for callers.
    pub fn callers(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Returns the address for the system's own processes.
    pub fn own(&self) -> SocketAddr {
        self.own.address()
    }

    /// Returns the address for operators, if the settings have one.
    pub fn operators(&self) -> Option<SocketAddr> {
        self.operators.as_ref().map(ServerHandle::address)
    }

    /// Drains, waits until every answer is complete or the shutdown limit has passed, and ends.
    ///
    /// Failures guarded against: a planned restart cuts an answer, which the caller sees as a
    /// broken connection; or a peer keeps talking to an ended process over an open connection,
    /// and gets no answer. The order prevents both within the limit. The readiness check fails
    /// first, and requests are still accepted until the platform's balancer has noticed. Then new
    /// requests are refused. Then the callers' listener stops, which waits until the last byte of
    /// each answer is written. The other listeners and tasks stop last.
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
        smol::Timer::after(LEAVE_TIMEOUT.as_duration()).await;
        own.stop_within(LEAVE_TIMEOUT).await;
        if let Some(operators) = operators {
            operators.stop_within(LEAVE_TIMEOUT).await;
        }
        for task in tasks {
            task.cancel().await;
        }
        if let Some(control) = shared.control() {
            control.voter().kill();
        }
    }
}

/// Applies the local copy of the configuration.
///
/// A damaged copy is recorded as an event, and the configuration is fetched again.
fn load_copy(shared: &Shared, copy: &Copy) {
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

/// Returns the handler for operators: the timeline first, then everything else.
fn operator_handler(shared: &Arc<Shared>) -> impl Handler {
    let timeline = TimelineHandler::new(Arc::clone(shared));
    (timeline, OperatorApi::new(Arc::clone(shared)))
}

async fn bind(address: SocketAddr, handler: impl Handler) -> Result<ServerHandle> {
    listen(address, handler)
        .await
        .change_context(EntryError::Bind(address))
}
