//! What this gateway polls controllers for, and what it makes of it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::Mutex;

use snipemast_core::prelude::*;
use snipemast_feed::Sink;
use snipemast_net::exec::pause;
use snipemast_placement::choice::AnnouncedServer;
use snipemast_placement::outage::Word;
use snipemast_placement::pools::{Pools, Told};
use snipemast_platform::document;
use snipemast_registry::source::{Source, FETCH_TIMEOUT};
use snipemast_registry::{
    Cursor, KnownServer, News, Poll, PollerKind, Standing, Table as Registry,
};
use snipemast_routes::Table as Routes;

use crate::frozen;
use crate::limits::limits;
use crate::state::State;

/// How long a poll of another controller waits: it tells that this gateway is connected.
const OTHER_WAIT: Span = Span::from_millis(1_000);

/// Takes news from controllers.
#[derive(Debug)]
pub(crate) struct Reader {
    state: Arc<State>,
    known: Mutex<Learnt>,
}

#[derive(Debug, Default)]
struct Learnt {
    controllers: HashMap<SocketAddr, Controller>,
    leader: Option<SocketAddr>,
    source: Source,
}

#[derive(Debug, Default)]
struct Controller {
    cursor: Cursor,
    told: Version,
    /// When it was polled last.
    polled: Moment,
    near: bool,
    /// Whether it is asked for the document, because nobody else handed it out in time.
    wanted: bool,
}

impl Learnt {
    /// The version that a controller told of last.
    fn told(&self, controller: SocketAddr) -> Version {
        let known = self.controllers.get(&controller);
        known.map_or(Version(0), |c| c.told)
    }

    /// Asks a controller for the document.
    fn want(&mut self, controller: SocketAddr) {
        if let Some(entry) = self.controllers.get_mut(&controller) {
            entry.wanted = true;
        }
    }
}

impl Reader {
    pub(crate) fn new(state: Arc<State>) -> Arc<Self> {
        Arc::new(Self {
            state,
            known: Mutex::default(),
        })
    }

    /// How long a poll of the leader waits: the age of the others' requests in flight.
    ///
    /// Load answered: the more gateways there are, the more of them choose on the same counts, and the more polls
    /// the leader's share of a processor has to answer.
    fn counts_wait(&self) -> Span {
        const SHORTEST: Span = Span::from_millis(50);
        const LONGEST: Span = Span::from_millis(500);
        let gateways = u64::from(self.state.budget.lock().gateways());
        let wait = 1_000_000 * gateways / u64::from(self.state.decisions.polls);
        Span::from_micros(wait).max(SHORTEST).min(LONGEST)
    }

    /// Adds to a poll what the leader adds up, grants and passes on.
    fn tell_leader(&self, poll: Poll) -> Poll {
        let demands = self.state.demands();
        let leaving = self.state.unspread_leaving();
        let servers = self.state.servers.lock();
        let flying = servers.in_flight();
        let flying = flying.map(|(server, count)| (server.clone(), count));
        Poll {
            wait: self.counts_wait(),
            in_flight: flying.collect(),
            silent: servers.still().cloned().collect(),
            demands,
            leaving,
            ..poll
        }
    }

    /// Puts a document into force that an operator's controller has checked.
    fn apply(&self, text: &[u8]) {
        let version = match document::read(text) {
            Ok(document) => {
                let version = document.version;
                if !self.state.apply(Routes::new(document)) {
                    return;
                }
                version
            }
            Err(fault) => {
                let journal = &self.state.journal;
                journal.record(Event::PatchRefused, "document", fault);
                return;
            }
        };
        let subject = format_args!("version {version}");
        self.state
            .journal
            .record(Event::VersionApplied, subject, "in force");
    }

    /// Takes note of the groups that have stalled, and of those that go on.
    fn note_groups(&self, pools: &Pools) {
        let now = self.state.clock.now();
        for (pool, forming) in pools.groups() {
            let word = self.state.outages.lock().note_told(now, pool, forming);
            let event = match word {
                Some(Word::Stalled) => Event::ServiceOut,
                Some(Word::GoesOn) => Event::ServiceReopened,
                None => continue,
            };
            let detail = format!("epoch {}, told by its ranks", forming.epoch);
            self.state.note_outage(pool, event, &detail);
        }
    }

    /// Takes changes of servers, and rearranges those that may be sent to.
    fn merge(&self, controller: SocketAddr, news: &mut News) {
        if news.entries.is_empty() {
            return;
        }
        let now = self.state.clock.now();
        let mut registry = self.state.registry.lock();
        for entry in news.entries.drain(..) {
            let (id, standing) = (entry.announcement.id.clone(), entry.standing);
            let (before, left) = (registry.limit(&id), registry.leaving_since(&id));
            let changed = registry.merge_standing(now, entry);
            let limit = registry.limit(&id);
            if limit != before {
                let source = format_args!("told by {controller}");
                self.state.log_limit(&id, before, limit, source);
            }
            if left.is_none() && registry.leaving_since(&id).is_some() {
                let detail = format_args!("told by {controller}");
                self.state.journal.record(Event::LeavingTold, &id, detail);
            }
            if !changed {
                continue;
            }
            let event = match standing {
                Standing::Ready => Event::MemberJoined,
                Standing::Draining => Event::MemberDraining,
                Standing::Lost | Standing::Gone => Event::MemberRemoved,
            };
            let detail = format_args!("{standing:?}, by {controller}");
            self.state.journal.record(event, id, detail);
        }
        registry.forget(now);
        let ready = || registry.iter().filter(|k| k.standing == Standing::Ready);
        let told: Vec<Told> = ready().map(|k| told(&registry, k)).collect();
        let pools = Pools::new(&told);
        let offered = ready().filter_map(|k| {
            Some(AnnouncedServer {
                server: k.announcement.id.clone(),
                start: k.announcement.start,
                pool: pools.pool(&k.announcement.id)?.clone(),
                address: k.announcement.address,
                zone: k.announcement.zone.clone(),
                slots: k.announcement.slots,
                leaving_since: registry.leaving_since(&k.announcement.id),
            })
        });
        let offered = offered.collect();
        let limits = limits(&registry);
        drop(registry);
        self.note_groups(&pools);
        let mut servers = self.state.servers.lock();
        let left = servers.set_announced(offered);
        servers.set_limits(now, limits);
        drop(servers);
        for address in left {
            self.state.connections.retire(address);
        }
    }
}

/// What is told of a server's place in a group.
fn told(registry: &Registry, known: &KnownServer) -> Told {
    Told {
        server: known.announcement.id.clone(),
        service: known.announcement.service.clone(),
        rank: registry.rank(known).cloned(),
    }
}

impl Sink for Reader {
    fn poll(&self, controller: SocketAddr) -> Poll {
        let version = self.state.version();
        let mut known = self.known.lock();
        let leads = known.leader == Some(controller);
        let entry = known.controllers.entry(controller).or_default();
        entry.polled = self.state.clock.now();
        let wanted = entry.near || entry.wanted || version == Version(0);
        let poll = Poll {
            version,
            told: entry.told,
            wants_document: wanted,
            cursor: entry.cursor,
            wait: OTHER_WAIT,
            ..Poll::new(self.state.settings.host.clone(), PollerKind::Gateway)
        };
        if leads {
            self.tell_leader(poll)
        } else {
            poll
        }
    }

    fn take(&self, controller: SocketAddr, mut news: News) {
        if let Some(document) = news.document.take() {
            self.apply(&document.0);
        }
        self.merge(controller, &mut news);
        let now = self.state.clock.now();
        self.state.budget.lock().see_gateways(news.gateways);
        self.state.servers.lock().see_gateways(news.gateways);
        let mut known = self.known.lock();
        if news.leader == Some(controller) {
            known.leader = news.leader;
            let counts = news.in_flight.into_iter();
            let slow = news.slow.into_iter().map(|s| (s.server, s.pace));
            let mut servers = self.state.servers.lock();
            servers.set_other_counts(now, news.age, counts);
            servers.set_slow(slow.collect());
            drop(servers);
            frozen::check(&self.state, &news.silent);
            if let Some(grants) = news.grants {
                let entry = known.controllers.entry(controller).or_default();
                self.state.take_grants(entry.polled, grants);
            }
        } else if known.leader == Some(controller) {
            known.leader = news.leader;
        }
        let entry = known.controllers.entry(controller).or_default();
        entry.cursor = news.cursor;
        entry.told = news.version;
        entry.near = news.zone == self.state.settings.zone;
        entry.wanted = false;
    }

    /// Waits until a version that was told of is in force, so that the next poll says so; asks
    /// this controller for it where nobody else hands it out.
    async fn settle(&self, controller: SocketAddr) {
        let lags = || self.known.lock().told(controller) > self.state.version();
        // Twice, so that a second one is asked where the first does not answer.
        for _ in 0..2 {
            let applied = self.state.applied.listen();
            if !lags() {
                return;
            }
            futures_lite::future::or(applied, pause(FETCH_TIMEOUT)).await;
            let mut known = self.known.lock();
            let late = self.state.version() < known.told(controller);
            if late && known.source.try_ask(self.state.clock.now()) {
                known.want(controller);
                return;
            }
        }
    }

    fn lost(&self, controller: SocketAddr) {
        let mut known = self.known.lock();
        if known.leader == Some(controller) {
            known.leader = None;
        }
    }
}
