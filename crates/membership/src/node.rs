//! The membership of an entry: a state machine without sockets, clocks or threads.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use snipemast_core::prelude::*;
use snipemast_core::recent::Recent;

use crate::card::NodeCard;
use crate::leases::Leases;
use crate::loads::Loads;
use crate::message::{AgentMessage, LeaseReply, Packet};
use crate::piggyback::{PiggybackStore, Topic, MAX_SOURCES};
use crate::spread::{BroadcastQueue, Priority};
use crate::table::{Row, Standing, Table, Verdict, VerdictKind};
use crate::tuning::Tuning;
use crate::view::{AgentView, Reach};
use crate::zones::Zones;

/// The most identity clashes that are remembered, so that each is logged once. With more at a time, some are logged again.
const MAX_CLASHES: usize = 64;

/// The id of an exchange or call that awaits an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token(pub u64);

/// An input of an entry's membership.
#[derive(Debug, Clone)]
pub enum Input {
    /// Time has passed; see [`Node::next_tick`].
    Tick,
    /// Another entry began an exchange.
    Asked(Box<Packet>),
    /// An exchange was answered.
    Answered(Token, Box<Packet>),
    /// An exchange got no answer in time.
    TimedOut(Token),
    /// An agent sent a message.
    Agent(AgentMessage),
    /// This process begins to drain.
    Drain,
    /// This process ends now.
    Leave,
    /// Another package publishes a value.
    Publish(Topic, Vec<u8>, Span),
}

/// An action that an entry's membership requests.
#[derive(Debug, Clone)]
pub enum Output {
    /// Begin an exchange, which ends with [`Input::Answered`] or [`Input::TimedOut`].
    Send {
        /// The exchange.
        token: Token,
        /// The address of the other entry.
        to: SocketAddr,
        /// The packet to send.
        packet: Box<Packet>,
        /// How long the answer may take.
        timeout: Span,
    },
    /// Answer the exchange that another entry began.
    Reply(Box<Packet>),
    /// Answer the agent.
    Lease(LeaseReply),
    /// Record an event.
    Event {
        /// The kind of event.
        event: Event,
        /// The subject of the event.
        subject: String,
        /// Further details as text.
        detail: String,
    },
    /// The view of the agents on these hosts may have changed.
    Changed(Vec<HostId>),
}

/// The purpose of an exchange.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// To pass on news and probe a peer.
    News,
    /// To check a peer that failed to answer.
    Check,
    /// To find the fleet at a seed.
    Seed,
}

/// An exchange that awaits its answer.
#[derive(Debug, Clone)]
pub(crate) struct Pending {
    /// The peer, or `None` if only its address is known.
    pub(crate) peer: Option<NodeCard>,
    pub(crate) address: SocketAddr,
    pub(crate) purpose: Purpose,
    pub(crate) started: Moment,
}

/// When each kind of periodic work is due.
#[derive(Debug, Clone, Copy)]
struct Due {
    probe: Moment,
    gossip: Moment,
    cross: Moment,
    recheck: Moment,
    seed: Moment,
    sweep: Moment,
    burst: Moment,
}

/// The membership of one entry.
#[derive(Debug)]
pub struct Node {
    pub(crate) me: NodeCard,
    pub(crate) tuning: Tuning,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) rng: StdRng,
    pub(crate) table: Table,
    pub(crate) queue: BroadcastQueue,
    pub(crate) zones: Zones,
    pub(crate) leases: Leases,
    pub(crate) loads: Loads,
    pub(crate) piggyback: PiggybackStore,
    pub(crate) pending: BTreeMap<Token, Pending>,
    /// The peers that are being checked, with the number of exchanges that are still pending.
    pub(crate) checks: BTreeMap<HostId, u32>,
    /// The identity clashes that were logged and seen last.
    pub(crate) clashes: Recent<(ProcessId, SocketAddr), ()>,
    pub(crate) joined: bool,
    pub(crate) superseded: bool,
    /// When this process last resumed after a stall.
    pub(crate) resumed_at: Moment,
    /// When rows were last compared.
    pub(crate) compared_at: Moment,
    /// When news last arrived or was made here.
    pub(crate) last_news: Moment,
    /// The checksums of the buckets, with the revision of the table that they were computed at.
    pub(crate) sum_cache: (u64, Vec<u32>),
    /// How many bursts remain.
    pub(crate) bursts: u32,
    /// The bytes of news that were sent and not yet earned back at the rate of news.
    pub(crate) spent_bytes: u64,
    pub(crate) refilled_at: Moment,
    pub(crate) outputs: Vec<Output>,
    last_token: u64,
    due: Due,
}

impl Node {
    /// Creates the membership of an entry that starts now.
    pub fn new(
        now: Moment,
        me: NodeCard,
        seeds: Vec<SocketAddr>,
        tuning: Tuning,
        seed: u64,
    ) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut table = Table::default();
        table.insert(me.clone());
        let mut first = |span: Span| now + scale(span, rng.random::<f64>());
        let due = Due {
            probe: first(tuning.probe_interval),
            gossip: first(tuning.gossip_interval),
            cross: first(tuning.cross_interval),
            recheck: now,
            seed: now,
            sweep: first(tuning.sweep_interval),
            burst: Moment::NEVER,
        };
        let leases = Leases::new(tuning.lease);
        Self {
            joined: seeds.is_empty(),
            me,
            tuning,
            seeds,
            rng,
            table,
            queue: BroadcastQueue::default(),
            zones: Zones::default(),
            leases,
            loads: Loads::default(),
            piggyback: PiggybackStore::default(),
            pending: BTreeMap::new(),
            checks: BTreeMap::new(),
            clashes: Recent::new(MAX_CLASHES),
            superseded: false,
            resumed_at: now,
            compared_at: now,
            last_news: now,
            sum_cache: (0, Vec::new()),
            bursts: 0,
            spent_bytes: 0,
            refilled_at: now,
            outputs: Vec::new(),
            last_token: 0,
            due,
        }
    }

    /// Handles an input at a moment; returns the actions to take.
    pub fn handle(&mut self, now: Moment, input: Input) -> Vec<Output> {
        match input {
            Input::Tick => self.tick(now),
            Input::Asked(packet) => self.handle_request(now, &packet),
            Input::Answered(token, packet) => self.handle_response(now, token, &packet),
            Input::TimedOut(token) => self.handle_timeout(now, token),
            Input::Agent(message) => self.handle_agent(now, message),
            Input::Drain => self.drain(now),
            Input::Leave => self.leave(now),
            Input::Publish(topic, value, life) => self.publish(now, topic, value, life),
        }
        std::mem::take(&mut self.outputs)
    }

    /// Returns when the next [`Input::Tick`] is due.
    pub fn next_tick(&self) -> Moment {
        let due = &self.due;
        let rounds = due.probe.min(due.gossip).min(due.cross).min(due.recheck);
        rounds.min(due.seed).min(due.sweep).min(due.burst)
    }

    /// Returns this entry's description of itself.
    pub fn card(&self) -> &NodeCard {
        &self.me
    }

    /// Returns the table of all entries.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Returns the other zones, and whether each answers.
    pub fn zones(&self) -> &Zones {
        &self.zones
    }

    /// Returns the values that other packages published.
    pub fn piggyback(&self) -> &PiggybackStore {
        &self.piggyback
    }

    /// Returns the known loads.
    pub fn loads(&self) -> &Loads {
        &self.loads
    }

    /// Whether the process has learned the fleet from a peer, or has no seeds.
    pub fn is_joined(&self) -> bool {
        self.joined
    }

    /// Whether another process with this one's identity was found that started later.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Returns an agent as this entry sees it.
    pub fn agent_view(&self, host: &HostId) -> Option<AgentView<'_>> {
        let card = self.table.agent(host)?;
        Some(AgentView {
            card,
            reach: self.reach(host, &card.zone),
        })
    }

    /// Returns all agents as this entry sees them.
    pub fn agents(&self) -> impl Iterator<Item = AgentView<'_>> {
        self.table.agents().filter_map(|h| self.agent_view(h))
    }

    fn reach(&self, host: &HostId, zone: &ZoneId) -> Reach {
        if !self.zones.is_connected(zone) {
            Reach::CutOff
        } else if self
            .table
            .owners(host)
            .all(|r| r.standing != Standing::Alive)
        {
            Reach::Doubtful
        } else {
            Reach::Connected
        }
    }

    fn tick(&mut self, now: Moment) {
        self.detect_stall(now);
        let due = self.due;
        let tuning = self.tuning.clone();
        if now >= due.sweep {
            self.sweep(now);
            self.due.sweep = now + tuning.sweep_interval;
        }
        if now >= due.burst {
            self.send_burst(now);
        }
        if now >= due.seed {
            self.contact_seed(now);
        }
        if self.superseded {
            self.postpone_rounds(now);
            return;
        }
        if now >= due.probe {
            self.probe_successor(now);
            self.due.probe = now + self.jitter(tuning.probe_interval);
        }
        if now >= due.gossip {
            self.gossip(now);
            self.due.gossip = now + self.jitter(tuning.gossip_interval);
        }
        if now >= due.cross {
            self.gossip_across(now);
            self.due.cross = now + self.jitter(tuning.cross_interval);
        }
        if now >= due.recheck {
            self.recheck_zones(now);
            self.due.recheck = now + Span::from_millis(500);
        }
    }

    /// Postpones all rounds, because a superseded process sends nothing more under its identity.
    fn postpone_rounds(&mut self, now: Moment) {
        let later = now + Span::from_secs(1);
        self.due.probe = later;
        self.due.gossip = later;
        self.due.cross = later;
        self.due.recheck = later;
    }

    /// Detects that this process did not run for a while.
    ///
    /// Failure guarded against: a host stalls for seconds, then finds all others silent, and causes
    /// a burst of suspicions and dropped agents. Exchanges that were begun before the process ran
    /// again prove nothing, so their timeouts don't count and the leases are extended.
    fn detect_stall(&mut self, now: Moment) {
        let stall = now.since(self.next_tick());
        if stall >= self.tuning.timeout {
            self.leases.extend(stall);
            self.resumed_at = now;
            self.checks.clear();
        }
    }

    fn sweep(&mut self, now: Moment) {
        let over = self.leases.expire(now);
        for host in &over {
            self.remove_own(now, host, "its lease ran out");
        }
        self.judge_suspects(now);
        self.piggyback.expire(now);
        self.report_dropped_values();
        let keep = self.tuning.zone_retention;
        self.loads.expire(now, &self.table, keep);
        let lost = self.zones.forget(now, self.tuning.zone_retention);
        let touched = self
            .table
            .forget(now, self.tuning.tombstone_retention, &lost);
        self.report_changed(touched);
    }

    /// Schedules bursts, which send news soon and a few times.
    pub(crate) fn schedule_burst(&mut self, now: Moment) {
        self.bursts = self.tuning.bursts;
        let soon = now + Span::from_millis(20 + self.rng.random_range(0..40));
        self.due.burst = self.due.burst.min(soon);
    }

    fn send_burst(&mut self, now: Moment) {
        if self.bursts == 0 || self.superseded {
            self.due.burst = Moment::NEVER;
            return;
        }
        if self.is_throttled(now) {
            // News that is not urgent waits, so that a flood of news doesn't feed itself.
            self.due.burst = now + Span::from_millis(400 + self.rng.random_range(0..200));
            return;
        }
        self.bursts -= 1;
        let pause = Span::from_millis(100 + self.rng.random_range(0..50));
        self.due.burst = if self.bursts > 0 {
            now + pause
        } else {
            Moment::NEVER
        };
        for peer in self.burst_peers() {
            self.send_news(now, &peer);
        }
    }

    /// Whether the rate of news is used up and no urgent news is waiting.
    fn is_throttled(&mut self, now: Moment) -> bool {
        self.allowance(now) < self.tuning.news_budget / 4 && !self.queue.has_urgent()
    }

    /// Returns a few random entries of the zone, and at least one of another zone.
    fn burst_peers(&mut self) -> Vec<NodeCard> {
        let fanout = self.tuning.fanout;
        let mut peers = self.sample_trusted(fanout);
        let count = 1 + fanout - peers.len();
        let Self {
            me,
            table,
            zones,
            rng,
            ..
        } = self;
        let rows = table.rows().values();
        let far = rows.filter(|r| r.card.zone != me.zone && zones.is_connected(&r.card.zone));
        peers.extend(sample(rng, far, count).map(|r| r.card.clone()));
        peers
    }

    /// Probes the next entry of the zone in the ring; every entry is probed by one other.
    fn probe_successor(&mut self, now: Moment) {
        let own = ring_position(&self.me.process.host);
        let next = self
            .trusted_peers()
            .min_by_key(|r| ring_position(&r.card.process.host).wrapping_sub(own));
        if let Some(peer) = next.map(|r| r.card.clone()) {
            self.send_news(now, &peer);
        }
    }

    fn gossip(&mut self, now: Moment) {
        if let Some(peer) = self.sample_trusted(1).pop() {
            self.send_round(now, &peer);
        }
    }

    fn gossip_across(&mut self, now: Moment) {
        if let Some(zone) = self.zones.next_zone() {
            self.gossip_with_zone(now, &zone, 1);
        }
    }

    /// Contacts several entries at once of each zone that failed to answer.
    ///
    /// Failure guarded against: one dead entry or one lost exchange makes a whole zone look cut
    /// off. A zone counts as cut off only after many different entries gave no answer.
    fn recheck_zones(&mut self, now: Moment) {
        for zone in self.zones.doubtful() {
            self.gossip_with_zone(now, &zone, 3);
        }
    }

    fn gossip_with_zone(&mut self, now: Moment, zone: &ZoneId, count: usize) {
        let Self { table, rng, .. } = self;
        let rows = table.rows().values().filter(|r| r.card.zone == *zone);
        let peers: Vec<_> = sample(rng, rows, count).map(|r| r.card.clone()).collect();
        for peer in peers {
            self.send_round(now, &peer);
        }
    }

    /// Contacts a seed: often until the fleet is found, and from time to time afterwards.
    ///
    /// Failure guarded against: two halves of a fleet forget each other while they are cut off, and
    /// their views never merge again. The seeds therefore stay in the settings for good.
    fn contact_seed(&mut self, now: Moment) {
        let alone = self.table.rows().len() == 1;
        let hurried = !self.joined || (alone && !self.seeds.is_empty());
        let pause = if hurried {
            Span::from_secs(1)
        } else {
            self.tuning.seed_interval
        };
        self.due.seed = now + self.jitter(pause);
        let known: BTreeSet<_> = self.table.rows().values().map(|r| r.card.address).collect();
        let mut seeds = self.seeds.clone();
        seeds.retain(|s| *s != self.me.address && (hurried || !known.contains(s)));
        if let Some(seed) = self.sample(seeds, 1).pop() {
            self.send_seed(now, seed, hurried);
        }
    }

    fn drain(&mut self, now: Moment) {
        if self.me.draining {
            return;
        }
        self.me.draining = true;
        let card = self.me.clone();
        self.raise_version(now, 0, |row| row.card = card);
    }

    fn leave(&mut self, now: Moment) {
        let verdict = Verdict {
            process: self.me.process.clone(),
            zone: self.me.zone.clone(),
            version: self.own_version(),
            kind: VerdictKind::Left,
        };
        self.queue.push_verdict(verdict);
        for _ in 0..self.tuning.bursts {
            for peer in self.burst_peers() {
                self.send_news(now, &peer);
            }
        }
    }

    fn publish(&mut self, now: Moment, topic: Topic, value: Vec<u8>, life: Span) {
        let done = self
            .piggyback
            .publish(now, &self.me.process, topic, value, life);
        match done {
            Ok(()) if topic.is_urgent() => self.schedule_burst(now),
            Ok(()) => {}
            Err(e) => self.record_event(Event::ValueDropped, self.me.process.clone(), e),
        }
    }

    /// Reports the values of peers for which there was no room since the last sweep.
    fn report_dropped_values(&mut self) {
        let dropped = self.piggyback.take_dropped();
        if let Some(source) = dropped.last {
            let detail = format!("{} values, {MAX_SOURCES} are known", dropped.count);
            self.record_event(Event::ValueDropped, source, detail);
        }
    }

    /// Whether a clash with this process is new, or was not seen for long. Remembers it.
    pub(crate) fn is_new_clash(&mut self, process: &ProcessId, address: SocketAddr) -> bool {
        self.clashes
            .insert((process.clone(), address), ())
            .is_none()
    }

    /// Raises the version of the own set above another one, changes the row, and spreads the
    /// change.
    pub(crate) fn raise_version(&mut self, now: Moment, past: u64, change: impl FnOnce(&mut Row)) {
        self.last_news = now;
        let from = self.own_version();
        let host = self.me.process.host.clone();
        self.table.change(&host, |row| {
            row.set.raise(past);
            change(row);
        });
        self.queue.push(&host, from, Priority::Leaving);
        self.schedule_burst(now);
    }

    pub(crate) fn own_version(&self) -> u64 {
        self.table
            .row(&self.me.process.host)
            .map_or(0, |r| r.set.version())
    }

    /// Returns all entries except this one.
    pub(crate) fn others(&self) -> impl Iterator<Item = &Row> {
        let own = &self.me.process.host;
        let rows = self.table.rows().values();
        rows.filter(move |r| r.card.process.host != *own)
    }

    /// Returns the other entries of the zone that this one doesn't suspect.
    pub(crate) fn trusted_peers(&self) -> impl Iterator<Item = &Row> {
        trusted_peers(&self.me, &self.table)
    }

    fn sample_trusted(&mut self, count: usize) -> Vec<NodeCard> {
        let Self { me, table, rng, .. } = self;
        let rows = sample(rng, trusted_peers(me, table), count);
        rows.map(|r| r.card.clone()).collect()
    }

    /// Returns a random sample of the items.
    pub(crate) fn sample<T>(&mut self, items: Vec<T>, count: usize) -> Vec<T> {
        sample(&mut self.rng, items.into_iter(), count).collect()
    }

    /// Returns 0.9 to 1.1 times a span, so that processes don't synchronize.
    pub(crate) fn jitter(&mut self, span: Span) -> Span {
        scale(span, 0.9 + 0.2 * self.rng.random::<f64>())
    }

    pub(crate) fn next_token(&mut self) -> Token {
        self.last_token += 1;
        Token(self.last_token)
    }

    pub(crate) fn record_event(
        &mut self,
        event: Event,
        subject: impl ToString,
        detail: impl ToString,
    ) {
        self.outputs.push(Output::Event {
            event,
            subject: subject.to_string(),
            detail: detail.to_string(),
        });
    }

    pub(crate) fn report_changed(&mut self, touched: Vec<HostId>) {
        if !touched.is_empty() {
            self.outputs.push(Output::Changed(touched));
        }
    }
}

/// Returns the other entries of the zone of `me` that `me` doesn't suspect.
fn trusted_peers<'a>(me: &'a NodeCard, table: &'a Table) -> impl Iterator<Item = &'a Row> {
    let own = &me.process.host;
    let trusted = move |r: &&Row| match &r.standing {
        Standing::Alive => true,
        Standing::Suspect { by, .. } => !by.contains(own),
    };
    let rows = table.rows().values();
    let others = rows.filter(|r| r.card.zone == me.zone && r.card.process.host != *own);
    others.filter(trusted)
}

/// Returns a random sample of the items, each with the same probability.
fn sample<T>(
    rng: &mut StdRng,
    items: impl Iterator<Item = T>,
    count: usize,
) -> impl Iterator<Item = T> {
    let mut picked = Vec::with_capacity(count);
    for (index, item) in items.enumerate() {
        if picked.len() < count {
            picked.push(item);
            continue;
        }
        let slot = rng.random_range(0..=index);
        if slot < count {
            picked[slot] = item;
        }
    }
    picked.into_iter()
}

/// Returns a share of a span.
fn scale(span: Span, share: f64) -> Span {
    Span::from_micros((span.as_micros() as f64 * share) as u64)
}

/// Returns the position of a host in the ring in which entries probe each other.
pub(crate) fn ring_position(host: &HostId) -> u64 {
    xxhash_rust::xxh3::xxh3_64(host.as_str().as_bytes())
}
