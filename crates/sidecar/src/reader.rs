//! Reads the addresses of the other ranks, and the description of their engine, from controllers' updates.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use parking_lot::Mutex;

use snipemast_core::prelude::*;
use snipemast_feed::{ConfigurationFeed, FeedHandler};
use snipemast_net::exec::pause;
use snipemast_net::BootClock;
use snipemast_platform::document;
use snipemast_platform::settings::Settings;
use snipemast_registry::updates::SlowServer;
use snipemast_registry::{Cursor, KnownServer, Poll, PollerKind, Standing, Table, Update};
use snipemast_routes::Engine;

/// How long a poll waits for changes: the gateways' view of a slow rank must be at most a second old.
const POLL_WAIT: Span = Span::from_millis(400);

/// The pause between two polls, which also bounds how often a version is requested.
const POLL_PAUSE: Span = Span::from_millis(200);

/// Reads the updates of controllers, and keeps what concerns the service of this process.
#[derive(Debug)]
pub(crate) struct UpdateReader {
    settings: Settings,
    /// The group of the rank beside this process.
    group: GroupId,
    clock: BootClock,
    journal: Journal,
    known: Mutex<View>,
    configuration: ConfigurationFeed,
}

/// The process's view of the controllers' state.
#[derive(Debug, Default)]
struct View {
    table: Table,
    cursors: HashMap<SocketAddr, Cursor>,
    engines: HashMap<ServiceId, Engine>,
    /// Processes beside slow ranks, with their pace in hundredths.
    slow: Vec<(SocketAddr, u32)>,
}

impl UpdateReader {
    /// Creates the reader of a process that serves this group.
    pub(crate) fn new(settings: Settings, group: GroupId, journal: Journal) -> Arc<Self> {
        Arc::new(Self {
            settings,
            group,
            clock: BootClock::new(),
            configuration: ConfigurationFeed::new(journal.clone()),
            journal,
            known: Mutex::new(View::default()),
        })
    }

    /// Reads the descriptions of all engines from the first configuration that controllers report.
    pub(crate) async fn read_engines(&self) {
        while self.known.lock().engines.is_empty() {
            let (text, _) = self.configuration.next().await;
            match document::read(&text.bytes) {
                Ok(document) => {
                    let services = document.services.into_iter();
                    let engines = services.filter_map(|s| Some((s.name, s.engine?)));
                    self.known.lock().engines = engines.collect();
                }
                Err(fault) => self.journal.record(Event::PatchRefused, "document", fault),
            }
        }
    }

    /// Returns the group that this process serves.
    pub(crate) fn group(&self) -> &GroupId {
        &self.group
    }

    /// Returns the known processes beside the ranks of the own group, this one included.
    ///
    /// In a service of many groups, each lead queries only the processes of its own group.
    pub(crate) fn rank_processes(&self) -> Vec<SocketAddr> {
        let known = self.known.lock();
        let alive = known.table.iter().filter(|k| k.standing < Standing::Lost);
        let in_group = |k: &&KnownServer| {
            let rank = known.table.rank(k);
            rank.is_some_and(|rank| rank.group == self.group)
        };
        let members = alive.filter(in_group);
        members
            .map(|k| SocketAddr::new(k.announcement.address.ip(), self.settings.internal_port))
            .collect()
    }

    /// Returns the address at which the own service's server on a host takes requests.
    pub(crate) fn server_at(&self, ip: IpAddr) -> Option<SocketAddr> {
        let known = self.known.lock();
        let own = self.own_service(&known)?;
        let mut servers = known.table.iter();
        let server = servers.find(|k| {
            let announced = &k.announcement;
            announced.service == own && announced.address.ip() == ip && k.standing < Standing::Lost
        })?;
        Some(server.announcement.address)
    }

    /// Sets which ranks are slow, by the processes beside them.
    pub(crate) fn set_slow(&self, slow: Vec<(SocketAddr, u32)>) {
        self.known.lock().slow = slow;
    }

    /// Returns the description of the own service's engine.
    pub(crate) fn engine(&self) -> Option<Engine> {
        let known = self.known.lock();
        let own = self.own_service(&known)?;
        known.engines.get(&own).cloned()
    }

    /// Returns the service of the server beside this process.
    fn own_service(&self, known: &View) -> Option<ServiceId> {
        let own = self.settings.server?;
        let mut servers = known.table.iter();
        let server =
            servers.find(|k| k.announcement.address == own && k.standing < Standing::Lost)?;
        Some(server.announcement.service.clone())
    }
}

impl View {
    /// Returns the slow servers, found by the hosts that they run on.
    fn slow_servers(&self) -> Vec<SlowServer> {
        let servers = self.table.iter().filter(|k| k.standing < Standing::Lost);
        let paced = servers.filter_map(|k| {
            let ip = k.announcement.address.ip();
            let (_, pace) = self.slow.iter().find(|(at, _)| at.ip() == ip)?;
            Some(SlowServer {
                server: k.announcement.id.clone(),
                pace: *pace,
            })
        });
        paced.collect()
    }
}

impl FeedHandler for UpdateReader {
    fn next_poll(&self, controller: SocketAddr) -> Poll {
        let known = self.known.lock();
        Poll {
            version: Version(u64::MAX),
            announced: Version(u64::MAX),
            cursor: known.cursors.get(&controller).copied().unwrap_or_default(),
            wait: POLL_WAIT,
            slow: known.slow_servers(),
            ..Poll::new(self.settings.host.clone(), PollerKind::Sidecar)
        }
    }

    fn handle_update(&self, controller: SocketAddr, update: Update) {
        let now = self.clock.now();
        let mut known = self.known.lock();
        known.cursors.insert(controller, update.cursor);
        for entry in update.entries {
            known.table.merge(now, entry);
        }
        known.table.forget(now);
        if known.engines.is_empty() {
            let same_zone = update.zone == self.settings.zone;
            self.configuration
                .record_version(controller, update.version, same_zone);
        }
    }

    async fn wait_after_update(&self, _: SocketAddr) {
        pause(POLL_PAUSE).await;
    }
}
