//! Polls controllers and applies their news.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use event_listener::Event as Signal;
use parking_lot::Mutex;

use snipemast_core::prelude::*;
use snipemast_feed::{ConfigurationFeed, FeedHandler, Source, Text};
use snipemast_net::exec::pause;
use snipemast_placement::choice::AnnouncedServer;
use snipemast_placement::cold::GatewayCounts;
use snipemast_placement::outage::ReportedChange;
use snipemast_placement::pools::{Pools, ServerReport};
use snipemast_platform::document;
use snipemast_registry::fetch::FETCH_TIMEOUT;
use snipemast_registry::relays::{RelayAnswer, Relays};
use snipemast_registry::{
    CrashExchange, KnownServer, Poll, PollerKind, Standing, Table as Registry, Update,
};
use snipemast_routes::{check, Table as Routes};

use crate::frozen;
use crate::limits::named_limits;
use crate::state::State;

/// How long a poll of a controller that is not the leader waits. It only shows that this gateway is
/// connected.
const FOLLOWER_WAIT: Span = Span::from_millis(1_000);

/// Applies the news of controllers to the gateway's state.
#[derive(Debug)]
pub(crate) struct UpdateReader {
    state: Arc<State>,
    known: Mutex<KnownControllers>,
    configuration: ConfigurationFeed,
    /// Wakes tasks that wait for the changes of a controller that relays pass on.
    relayed: Signal,
}

#[derive(Debug, Default)]
struct KnownControllers {
    controllers: HashMap<SocketAddr, Controller>,
    leader: Option<SocketAddr>,
    relays: Relays,
}

#[derive(Debug, Default)]
struct Controller {
    reported_version: Version,
    /// When the controller was last polled.
    polled: Moment,
    crashes: CrashExchange,
}

impl KnownControllers {
    /// Returns the version that a controller last reported.
    fn reported_version(&self, controller: SocketAddr) -> Version {
        let known = self.controllers.get(&controller);
        known.map_or(Version(0), |c| c.reported_version)
    }
}

impl UpdateReader {
    pub(crate) fn new(state: Arc<State>) -> Arc<Self> {
        let configuration = ConfigurationFeed::new(state.journal.clone());
        Arc::new(Self {
            state,
            configuration,
            known: Mutex::default(),
            relayed: Signal::new(),
        })
    }

    /// Returns how long a poll of the leader waits, which is the age of the other gateways'
    /// requests in flight.
    ///
    /// The more gateways there are, the more of them choose with the same counts, and the more
    /// polls the leader answers with its share of a processor.
    fn leader_wait(&self) -> Span {
        const SHORTEST: Span = Span::from_millis(50);
        const LONGEST: Span = Span::from_millis(500);
        let gateways = u64::from(self.state.budget.lock().gateway_count());
        let wait = 1_000_000 * gateways / u64::from(self.state.decisions.polls);
        Span::from_micros(wait).max(SHORTEST).min(LONGEST)
    }

    /// Waits until relays have passed on the changes that a controller has, or asks it for them.
    async fn await_relays(&self, controller: SocketAddr) {
        let until = self.state.clock.now() + FETCH_TIMEOUT;
        loop {
            let relayed = self.relayed.listen();
            if !self.known.lock().relays.lags(controller) {
                return;
            }
            let left = self.state.clock.now().until(until);
            if left == Span::default() {
                self.known.lock().relays.request(controller);
                return;
            }
            futures_lite::future::or(relayed, pause(left)).await;
        }
    }

    /// Waits until the version that a controller reported is in force, so that the next poll says so, but not as long as a
    /// large configuration may take: polls carry other news as well.
    async fn await_configuration(&self, controller: SocketAddr) {
        let applied = self.state.applied.listen();
        if self.known.lock().reported_version(controller) > self.state.version() {
            futures_lite::future::or(applied, pause(FETCH_TIMEOUT)).await;
        }
    }

    /// Puts each configuration into force that controllers report.
    pub(crate) async fn follow_configuration(self: Arc<Self>) {
        loop {
            let (text, source) = self.configuration.next().await;
            self.apply_configuration(&text, &source);
        }
    }

    /// Adds to a poll what the leader sums up, grants and passes on.
    fn add_reports(&self, poll: Poll) -> Poll {
        let demands = self.state.limit_demands();
        let leaving = self.state.unreported_leaving();
        let mut servers = self.state.servers.lock();
        let outcomes = servers.report_outcomes(self.state.clock.now());
        let in_flight = servers.in_flight();
        let in_flight = in_flight.map(|(server, count)| (server.clone(), count));
        Poll {
            wait: self.leader_wait(),
            in_flight: in_flight.collect(),
            silent: servers.frozen().cloned().collect(),
            demands,
            leaving,
            outcomes,
            ..poll
        }
    }

    /// Puts a configuration into force that a controller has checked.
    fn apply_configuration(&self, text: &Text, source: &Source) {
        let journal = &self.state.journal;
        let document = match document::read(&text.bytes) {
            Ok(document) => document,
            Err(fault) => {
                journal.record(Event::PatchRefused, "document", fault);
                return;
            }
        };
        let version = document.version;
        let faults = check(&document);
        if !self.state.apply(Routes::new(document)) {
            return;
        }
        // An older release may have acknowledged it, so it is in force all the same.
        for fault in faults {
            journal.record(Event::FaultyInForce, version, fault);
        }
        let sent = if source.is_change { "changes" } else { "whole" };
        let detail = format_args!(
            "{} bytes, {sent} in {} by {}",
            text.bytes.len(),
            source.size,
            source.controller
        );
        let subject = format_args!("version {version}");
        journal.record(Event::VersionApplied, subject, detail);
    }

    /// Puts the evacuations that a controller reports into force, unless they are old.
    fn apply_evacuations(&self, controller: SocketAddr, evacuations: Evacuations) {
        let mut current = self.state.evacuations.lock();
        let orders = current.update(evacuations);
        if orders.is_empty() {
            return;
        }
        let now = self.state.clock.now();
        let zones = current.zones.clone();
        self.state.servers.lock().set_evacuated(now, zones);
        drop(current);
        for order in orders {
            let detail = format_args!("{order}, by {controller}");
            let journal = &self.state.journal;
            journal.record(Event::ZoneEvacuated, &order.zone, detail);
        }
    }

    /// Records which groups have stalled and which are running.
    fn apply_groups(&self, pools: &Pools) {
        let now = self.state.clock.now();
        for (pool, group) in pools.groups() {
            let change = self.state.outages.lock().apply_report(now, pool, group);
            let event = match change {
                Some(ReportedChange::Stalled) => Event::ServiceOut,
                Some(ReportedChange::Resumed) => Event::ServiceReopened,
                None => continue,
            };
            let detail = format!("epoch {}, told by its ranks", group.epoch);
            self.state.log_outage(pool, event, &detail);
        }
    }

    /// Applies changes of servers, and updates the servers that may be sent requests.
    fn apply_entries(&self, controller: SocketAddr, update: &mut Update) {
        if update.entries.is_empty() {
            return;
        }
        let now = self.state.clock.now();
        let mut registry = self.state.registry.lock();
        for entry in update.entries.drain(..) {
            let (id, standing) = (entry.announcement.id.clone(), entry.standing);
            let (before, left_before) = (registry.limit(&id), registry.leaving_since(&id));
            let changed = registry.merge_standing(now, entry);
            let limit = registry.limit(&id);
            if limit != before {
                let source = format_args!("told by {controller}");
                self.state.log_limit(&id, before, limit, source);
            }
            if left_before.is_none() && registry.leaving_since(&id).is_some() {
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
        let reports: Vec<ServerReport> = ready().map(|k| server_report(&registry, k)).collect();
        let pools = Pools::new(&reports);
        let announced = ready().filter_map(|k| {
            Some(AnnouncedServer {
                server: k.announcement.id.clone(),
                start: k.announcement.start,
                pool: pools.pool(&k.announcement.id)?.clone(),
                address: k.announcement.address,
                zone: k.announcement.zone.clone(),
                slots: k.announcement.slots,
                leaving_since: registry.leaving_since(&k.announcement.id),
                cold_until: k.cold_until,
            })
        });
        let announced = announced.collect();
        let limits = named_limits(&registry);
        drop(registry);
        self.apply_groups(&pools);
        let mut servers = self.state.servers.lock();
        let gone = servers.set_announced(now, announced);
        servers.set_limits(now, limits);
        drop(servers);
        self.state.waiting.wake_all(now);
        for address in gone {
            self.state.connections.close_idle(address);
        }
    }
}

/// Returns a server and its rank in a group.
fn server_report(registry: &Registry, known: &KnownServer) -> ServerReport {
    ServerReport {
        server: known.announcement.id.clone(),
        service: known.announcement.service.clone(),
        rank: registry.rank(known).cloned(),
    }
}

impl FeedHandler for UpdateReader {
    fn next_poll(&self, controller: SocketAddr) -> Poll {
        let version = self.state.version();
        let evacuations = self.state.evacuations.lock().revision;
        let mut known = self.known.lock();
        let leads = known.leader == Some(controller);
        let (cursor, with_entries) = known.relays.prepare(controller);
        let entry = known.controllers.entry(controller).or_default();
        let now = self.state.clock.now();
        entry.polled = now;
        let crashes = self.state.crashes.next_poll(now, &entry.crashes);
        let poll = Poll {
            version,
            announced: entry.reported_version,
            zone: Some(self.state.settings.zone.clone()),
            cursor,
            without_entries: !with_entries,
            evacuations: Some(evacuations),
            wait: FOLLOWER_WAIT,
            crashes,
            ..Poll::new(self.state.settings.host.clone(), PollerKind::Gateway)
        };
        if leads {
            self.add_reports(poll)
        } else {
            poll
        }
    }

    fn handle_update(&self, controller: SocketAddr, mut update: Update) {
        // First, so that a gateway that has just started sends nothing to an evacuated zone, and no
        // request that crashes servers.
        {
            let mut known = self.known.lock();
            let entry = known.controllers.entry(controller).or_default();
            let (epoch, crashes) = (update.cursor.epoch, update.crashes.take());
            self.state
                .merge_crashes(controller, &mut entry.crashes, epoch, crashes);
        }
        if let Some(evacuations) = update.evacuations.take() {
            self.apply_evacuations(controller, evacuations);
        }
        let answer = RelayAnswer {
            same_zone: update.zone == self.state.settings.zone,
            cursor: update.cursor,
            has_entries: !update.entries.is_empty(),
            covered: std::mem::take(&mut update.covered),
        };
        self.apply_entries(controller, &mut update);
        let now = self.state.clock.now();
        self.state.budget.lock().observe_gateways(update.gateways);
        self.state.servers.lock().observe_gateways(GatewayCounts {
            all: update.gateways,
            local: update.local_gateways,
        });
        let mut known = self.known.lock();
        if update.leader == Some(controller) {
            known.leader = update.leader;
            let counts = update.in_flight.into_iter();
            let slow = update.slow.into_iter().map(|s| (s.server, s.pace));
            let mut servers = self.state.servers.lock();
            servers.set_other_counts(now, update.age, counts);
            servers.set_slow(slow.collect());
            let outliers = servers.set_suspects(now, update.suspects);
            drop(servers);
            self.state.waiting.wake_all(now);
            self.state.log_outliers(&outliers);
            frozen::check_reported(&self.state, &update.silent);
            if let Some(grants) = update.grants {
                let entry = known.controllers.entry(controller).or_default();
                self.state.apply_grants(entry.polled, grants);
            }
        } else if known.leader == Some(controller) {
            known.leader = update.leader;
        }
        let entry = known.controllers.entry(controller).or_default();
        entry.reported_version = update.version;
        self.configuration
            .record_version(controller, update.version, answer.same_zone);
        known.relays.record(controller, answer);
        if !update.controllers.is_empty() {
            let seeds = self.state.settings.internal_seeds();
            let is_polled = |c| update.controllers.contains(&c) || seeds.contains(&c);
            known.controllers.retain(|c, _| is_polled(*c));
            known.relays.retain_polled(is_polled);
            self.configuration.retain_sources(is_polled);
        }
        drop(known);
        self.relayed.notify(usize::MAX);
    }

    /// Waits until what a controller reported is in force, so that the next poll says so. Asks this
    /// controller for changes of servers that no other one delivers.
    async fn wait_after_update(&self, controller: SocketAddr) {
        self.await_relays(controller).await;
        self.await_configuration(controller).await;
    }

    fn handle_loss(&self, controller: SocketAddr) {
        let mut known = self.known.lock();
        if known.leader == Some(controller) {
            known.leader = None;
        }
        known.relays.record_loss(controller);
    }
}
