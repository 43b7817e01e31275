//! Learns from controllers where the other ranks are, and what their engine is like.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use parking_lot::Mutex;

use snipemast_core::prelude::*;
use snipemast_feed::Sink;
use snipemast_net::exec::pause;
use snipemast_net::BootClock;
use snipemast_platform::document;
use snipemast_platform::settings::Settings;
use snipemast_registry::news::SlowServer;
use snipemast_registry::{Cursor, KnownServer, News, Poll, PollerKind, Standing, Table};
use snipemast_routes::Engine;

/// How long a poll waits for news: gateways are to learn of a slow rank within a second.
const WAIT: Span = Span::from_millis(400);

/// The pause between two polls, which also bounds how often a version is asked for.
const PAUSE: Span = Span::from_millis(200);

/// What is known of the own service.
#[derive(Debug)]
pub(crate) struct Reader {
    settings: Settings,
    /// The own group.
    group: GroupId,
    clock: BootClock,
    journal: Journal,
    known: Mutex<Learnt>,
}

#[derive(Debug, Default)]
struct Learnt {
    table: Table,
    cursors: HashMap<SocketAddr, Cursor>,
    engines: HashMap<ServiceId, Engine>,
    /// Processes beside slow ranks, with their pace in hundredths.
    slow: Vec<(SocketAddr, u32)>,
}

impl Reader {
    pub(crate) fn new(settings: Settings, group: GroupId, journal: Journal) -> Arc<Self> {
        Arc::new(Self {
            settings,
            group,
            clock: BootClock::new(),
            journal,
            known: Mutex::new(Learnt::default()),
        })
    }

    /// The group that this process serves.
    pub(crate) fn group(&self) -> &GroupId {
        &self.group
    }

    /// The processes beside the ranks of the own group, the own one among them, as far as they are known.
    ///
    /// Load answered: a service of many groups. Each lead asks the processes of its own group only.
    pub(crate) fn ranks(&self) -> Vec<SocketAddr> {
        let known = self.known.lock();
        let alive = known.table.iter().filter(|k| k.standing < Standing::Lost);
        let own = |k: &&KnownServer| {
            let rank = known.table.rank(k);
            rank.is_some_and(|rank| rank.group == self.group)
        };
        let own = alive.filter(own);
        own.map(|k| SocketAddr::new(k.announcement.address.ip(), self.settings.internal))
            .collect()
    }

    /// Where the server of a host takes requests.
    pub(crate) fn server_at(&self, ip: IpAddr) -> Option<SocketAddr> {
        let known = self.known.lock();
        let own = self.service(&known)?;
        let mut servers = known.table.iter();
        let server = servers.find(|k| {
            let said = &k.announcement;
            said.service == own && said.address.ip() == ip && k.standing < Standing::Lost
        })?;
        Some(server.announcement.address)
    }

    /// Sets which ranks are slow, by the processes beside them.
    pub(crate) fn set_slow(&self, slow: Vec<(SocketAddr, u32)>) {
        self.known.lock().slow = slow;
    }

    /// What the own service's engine is like.
    pub(crate) fn engine(&self) -> Option<Engine> {
        let known = self.known.lock();
        let own = self.service(&known)?;
        known.engines.get(&own).cloned()
    }

    /// The service of the server beside this process.
    fn service(&self, known: &Learnt) -> Option<ServiceId> {
        let own = self.settings.server?;
        let mut servers = known.table.iter();
        let server =
            servers.find(|k| k.announcement.address == own && k.standing < Standing::Lost)?;
        Some(server.announcement.service.clone())
    }
}

impl Learnt {
    /// The slow servers, by the hosts that they run on.
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

impl Sink for Reader {
    fn poll(&self, controller: SocketAddr) -> Poll {
        let known = self.known.lock();
        let wanted = known.engines.is_empty();
        let version = if wanted {
            Version(0)
        } else {
            Version(u64::MAX)
        };
        Poll {
            version,
            told: version,
            wants_document: wanted,
            cursor: known.cursors.get(&controller).copied().unwrap_or_default(),
            wait: WAIT,
            slow: known.slow_servers(),
            ..Poll::new(self.settings.host.clone(), PollerKind::Sidecar)
        }
    }

    fn take(&self, controller: SocketAddr, news: News) {
        let now = self.clock.now();
        let mut known = self.known.lock();
        known.cursors.insert(controller, news.cursor);
        for entry in news.entries {
            known.table.merge(now, entry);
        }
        known.table.forget(now);
        let Some(text) = news.document else {
            return;
        };
        match document::read(&text.0) {
            Ok(document) => {
                let services = document.services.into_iter();
                let engines = services.filter_map(|s| Some((s.name, s.engine?)));
                known.engines = engines.collect();
            }
            Err(fault) => self.journal.record(Event::PatchRefused, "document", fault),
        }
    }

    async fn settle(&self, _: SocketAddr) {
        pause(PAUSE).await;
    }
}
