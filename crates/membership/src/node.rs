//! An entry's membership: one state machine, without sockets, clocks or threads.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use snipemast_core::prelude::*;

use crate::card::NodeCard;
use crate::leases::Leases;
use crate::loads::Loads;
use crate::message::{AgentMessage, LeaseReply, Packet};
use crate::riders::{Riders, Topic};
use crate::spread::{Rank, Spread};
use crate::table::{Row, Standing, Table, Verdict, VerdictKind};
use crate::tuning::Tuning;
use crate::view::{AgentView, Reach};
use crate::zones::Zones;

/// An exchange that is under way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token(pub u64);

/// What an entry's membership is told.
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
    /// An agent spoke.
    Agent(AgentMessage),
    /// This process is on its way out.
    Drain,
    /// This process ends now.
    Leave,
    /// Another package publishes a value.
    Publish(Topic, Vec<u8>, Span),
}

/// What an entry's membership wants done.
#[derive(Debug, Clone)]
pub enum Output {
    /// Begin an exchange; answer with [`Input::Answered`] or [`Input::TimedOut`].
    Send {
        /// The exchange.
        token: Token,
        /// Whom to ask.
        to: SocketAddr,
        /// What to say.
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
        /// Whom it is about.
        subject: String,
        /// Further facts in words.
        detail: String,
    },
    /// The view of the agents on these hosts may have changed.
    Changed(Vec<HostId>),
}

/// Why an exchange was begun.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// To pass news on or look after a peer.
    News,
    /// To make sure of a peer that missed an answer.
    Check,
    /// To find a fleet.
    Seed,
}

#[derive(Debug, Clone)]
pub(crate) struct Pending {
    pub(crate) peer: Option<NodeCard>,
    pub(crate) address: SocketAddr,
    pub(crate) purpose: Purpose,
    pub(crate) begun: Moment,
}

#[derive(Debug, Clone, Copy)]
struct Due {
    watch: Moment,
    gossip: Moment,
    cross: Moment,
    doubt: Moment,
    seeds: Moment,
    sweep: Moment,
    burst: Moment,
}

/// The membership of one entry.
#[derive(Debug)]
pub struct Node {
    pub(crate) me: NodeCard,
    pub(crate) tuning: Tuning,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) dice: StdRng,
    pub(crate) table: Table,
    pub(crate) spread: Spread,
    pub(crate) zones: Zones,
    pub(crate) leases: Leases,
    pub(crate) loads: Loads,
    pub(crate) riders: Riders,
    pub(crate) pending: BTreeMap<Token, Pending>,
    pub(crate) checks: BTreeMap<HostId, u32>,
    pub(crate) clashes: BTreeSet<(ProcessId, SocketAddr)>,
    pub(crate) joined: bool,
    pub(crate) superseded: bool,
    pub(crate) resumed: Moment,
    pub(crate) compared: Moment,
    pub(crate) heard: Moment,
    pub(crate) summed: (u64, Vec<u32>),
    pub(crate) bursts: u32,
    pub(crate) spent: u64,
    pub(crate) refilled: Moment,
    pub(crate) out: Vec<Output>,
    counter: u64,
    due: Due,
}

impl Node {
    /// The membership of an entry that starts now.
    pub fn new(
        now: Moment,
        me: NodeCard,
        seeds: Vec<SocketAddr>,
        tuning: Tuning,
        seed: u64,
    ) -> Self {
        let mut dice = StdRng::seed_from_u64(seed);
        let mut table = Table::default();
        table.insert(me.clone());
        let mut first = |span: Span| now + part(span, dice.random::<f64>());
        let due = Due {
            watch: first(tuning.probe_interval),
            gossip: first(tuning.gossip_interval),
            cross: first(tuning.cross_interval),
            doubt: now,
            seeds: now,
            sweep: first(tuning.sweep_interval),
            burst: Moment::NEVER,
        };
        let leases = Leases::new(tuning.lease);
        Self {
            joined: seeds.is_empty(),
            me,
            tuning,
            seeds,
            dice,
            table,
            spread: Spread::default(),
            zones: Zones::default(),
            leases,
            loads: Loads::default(),
            riders: Riders::default(),
            pending: BTreeMap::new(),
            checks: BTreeMap::new(),
            clashes: BTreeSet::new(),
            superseded: false,
            resumed: now,
            compared: now,
            heard: now,
            summed: (0, Vec::new()),
            bursts: 0,
            spent: 0,
            refilled: now,
            out: Vec::new(),
            counter: 0,
            due,
        }
    }

    /// Takes an input at a moment and says what to do.
    pub fn handle(&mut self, now: Moment, input: Input) -> Vec<Output> {
        match input {
            Input::Tick => self.tick(now),
            Input::Asked(packet) => self.asked(now, &packet),
            Input::Answered(token, packet) => self.answered(now, token, &packet),
            Input::TimedOut(token) => self.missed(now, token),
            Input::Agent(message) => self.agent(now, message),
            Input::Drain => self.drain(now),
            Input::Leave => self.leave(now),
            Input::Publish(topic, value, life) => self.publish(now, topic, value, life),
        }
        std::mem::take(&mut self.out)
    }

    /// When the next [`Input::Tick`] is due.
    pub fn next_tick(&self) -> Moment {
        let due = &self.due;
        let rounds = due.watch.min(due.gossip).min(due.cross).min(due.doubt);
        rounds.min(due.seeds).min(due.sweep).min(due.burst)
    }

    /// This entry's description of itself.
    pub fn card(&self) -> &NodeCard {
        &self.me
    }

    /// What is known of all entries.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// The other zones, and whether each answers.
    pub fn zones(&self) -> &Zones {
        &self.zones
    }

    /// The values that other packages published.
    pub fn piggyback(&self) -> &Riders {
        &self.riders
    }

    /// What is known of loads.
    pub fn loads(&self) -> &Loads {
        &self.loads
    }

    /// Whether the process has learnt the fleet from a peer, or has no seeds.
    pub fn is_joined(&self) -> bool {
        self.joined
    }

    /// Whether a later process under this one's identity was met.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// An agent as this entry sees it.
    pub fn agent_view(&self, host: &HostId) -> Option<AgentView<'_>> {
        let card = self.table.agent(host)?;
        Some(AgentView {
            card,
            reach: self.reach(host, &card.zone),
        })
    }

    /// Every agent as this entry sees it.
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
        self.note_stall(now);
        let due = self.due;
        let tuning = self.tuning.clone();
        if now >= due.sweep {
            self.sweep(now);
            self.due.sweep = now + tuning.sweep_interval;
        }
        if now >= due.burst {
            self.burst(now);
        }
        if now >= due.seeds {
            self.seek(now);
        }
        if self.superseded {
            self.rest(now);
            return;
        }
        if now >= due.watch {
            self.watch(now);
            self.due.watch = now + self.jitter(tuning.probe_interval);
        }
        if now >= due.gossip {
            self.gossip(now);
            self.due.gossip = now + self.jitter(tuning.gossip_interval);
        }
        if now >= due.cross {
            self.cross(now);
            self.due.cross = now + self.jitter(tuning.cross_interval);
        }
        if now >= due.doubt {
            self.doubt(now);
            self.due.doubt = now + Span::from_millis(500);
        }
    }

    /// A process that was superseded says nothing more under its identity.
    fn rest(&mut self, now: Moment) {
        let later = now + Span::from_secs(1);
        self.due.watch = later;
        self.due.gossip = later;
        self.due.cross = later;
        self.due.doubt = later;
    }

    /// Finds out that this process did not run for a while.
    ///
    /// Failure guarded against: a host that stalls for seconds and then finds everybody silent.
    /// It shows as a burst of suspicions and dropped agents, all from one host. What was begun
    /// before it ran again proves nothing, so those misses don't count and leases are lengthened.
    fn note_stall(&mut self, now: Moment) {
        let stall = now.since(self.next_tick());
        if stall >= self.tuning.timeout {
            self.leases.extend(stall);
            self.resumed = now;
            self.checks.clear();
        }
    }

    fn sweep(&mut self, now: Moment) {
        let over = self.leases.expire(now);
        for host in &over {
            self.disown(now, host, "its lease ran out");
        }
        self.judge_suspects(now);
        self.riders.expire(now);
        self.loads.expire(now, self.tuning.zone_retention);
        let lost = self.zones.forget(now, self.tuning.zone_retention);
        let touched = self
            .table
            .forget(now, self.tuning.tombstone_retention, &lost);
        self.note_changed(touched);
    }

    /// Sends news out soon, a few times.
    pub(crate) fn hurry(&mut self, now: Moment) {
        self.bursts = self.tuning.bursts;
        let soon = now + Span::from_millis(20 + self.dice.random_range(0..40));
        self.due.burst = self.due.burst.min(soon);
    }

    fn burst(&mut self, now: Moment) {
        if self.bursts == 0 || self.superseded {
            self.due.burst = Moment::NEVER;
            return;
        }
        if self.is_spent(now) {
            // What is not pressing waits, so that a flood of news does not feed itself.
            self.due.burst = now + Span::from_millis(400 + self.dice.random_range(0..200));
            return;
        }
        self.bursts -= 1;
        let pause = Span::from_millis(100 + self.dice.random_range(0..50));
        self.due.burst = if self.bursts > 0 {
            now + pause
        } else {
            Moment::NEVER
        };
        for peer in self.burst_peers() {
            self.send_news(now, &peer);
        }
    }

    /// Whether the rate of news is used up and nothing that waits is pressing.
    fn is_spent(&mut self, now: Moment) -> bool {
        self.allowance(now) < self.tuning.news_budget / 4 && !self.spread.is_pressing()
    }

    /// A few random entries of the zone, and at least one of another zone.
    fn burst_peers(&mut self) -> Vec<NodeCard> {
        let fanout = self.tuning.fanout;
        let mut peers = self.sample_near(fanout);
        let count = 1 + fanout - peers.len();
        let Self {
            me,
            table,
            zones,
            dice,
            ..
        } = self;
        let rows = table.rows().values();
        let far = rows.filter(|r| r.card.zone != me.zone && zones.is_connected(&r.card.zone));
        peers.extend(sample(dice, far, count).map(|r| r.card.clone()));
        peers
    }

    /// Looks after the next entry of the zone in the ring; every entry has one that does.
    fn watch(&mut self, now: Moment) {
        let own = ring_place(&self.me.process.host);
        let next = self
            .near()
            .min_by_key(|r| ring_place(&r.card.process.host).wrapping_sub(own));
        if let Some(peer) = next.map(|r| r.card.clone()) {
            self.send_news(now, &peer);
        }
    }

    fn gossip(&mut self, now: Moment) {
        if let Some(peer) = self.sample_near(1).pop() {
            self.send_round(now, &peer);
        }
    }

    fn cross(&mut self, now: Moment) {
        if let Some(zone) = self.zones.take_turn() {
            self.ask_zone(now, &zone, 1);
        }
    }

    /// Asks zones that miss answers again, several entries at once.
    ///
    /// Failure guarded against: one dead entry or one lossy exchange that makes a whole zone look
    /// cut off. A zone is given up only after many different entries gave no answer.
    fn doubt(&mut self, now: Moment) {
        for zone in self.zones.doubtful() {
            self.ask_zone(now, &zone, 3);
        }
    }

    fn ask_zone(&mut self, now: Moment, zone: &ZoneId, count: usize) {
        let Self { table, dice, .. } = self;
        let rows = table.rows().values().filter(|r| r.card.zone == *zone);
        let peers: Vec<_> = sample(dice, rows, count).map(|r| r.card.clone()).collect();
        for peer in peers {
            self.send_round(now, &peer);
        }
    }

    /// Looks for the fleet at a seed: often until it is found, now and then afterwards.
    ///
    /// Failure guarded against: two halves of a fleet that forgot each other while they were cut
    /// off. It shows as two views that never meet again. The seeds stay in the settings for good.
    fn seek(&mut self, now: Moment) {
        let alone = self.table.rows().len() == 1;
        let hurried = !self.joined || (alone && !self.seeds.is_empty());
        let pause = if hurried {
            Span::from_secs(1)
        } else {
            self.tuning.seed_interval
        };
        self.due.seeds = now + self.jitter(pause);
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
        self.raise(now, 0, |row| row.card = card);
    }

    fn leave(&mut self, now: Moment) {
        let verdict = Verdict {
            process: self.me.process.clone(),
            zone: self.me.zone.clone(),
            version: self.own_version(),
            kind: VerdictKind::Left,
        };
        self.spread.push_verdict(verdict);
        for _ in 0..self.tuning.bursts {
            for peer in self.burst_peers() {
                self.send_news(now, &peer);
            }
        }
    }

    fn publish(&mut self, now: Moment, topic: Topic, value: Vec<u8>, life: Span) {
        let done = self
            .riders
            .publish(now, &self.me.process, topic, value, life);
        if done.is_ok() && topic.is_urgent() {
            self.hurry(now);
        }
    }

    /// Raises the version of the own set past another, with a change of the row, and spreads it.
    pub(crate) fn raise(&mut self, now: Moment, past: u64, change: impl FnOnce(&mut Row)) {
        self.heard = now;
        let from = self.own_version();
        let host = self.me.process.host.clone();
        self.table.change(&host, |row| {
            row.set.raise(past);
            change(row);
        });
        self.spread.push(&host, from, Rank::Leaving);
        self.hurry(now);
    }

    pub(crate) fn own_version(&self) -> u64 {
        self.table
            .row(&self.me.process.host)
            .map_or(0, |r| r.set.version())
    }

    /// Every entry but this one.
    pub(crate) fn others(&self) -> impl Iterator<Item = &Row> {
        let own = &self.me.process.host;
        let rows = self.table.rows().values();
        rows.filter(move |r| r.card.process.host != *own)
    }

    /// The other entries of the zone that this one has no doubt of.
    pub(crate) fn near(&self) -> impl Iterator<Item = &Row> {
        near(&self.me, &self.table)
    }

    fn sample_near(&mut self, count: usize) -> Vec<NodeCard> {
        let Self {
            me, table, dice, ..
        } = self;
        let rows = sample(dice, near(me, table), count);
        rows.map(|r| r.card.clone()).collect()
    }

    /// Some of the items, at random.
    pub(crate) fn sample<T>(&mut self, items: Vec<T>, count: usize) -> Vec<T> {
        sample(&mut self.dice, items.into_iter(), count).collect()
    }

    /// Nine to eleven tenths of a span, so that processes don't fall into step.
    pub(crate) fn jitter(&mut self, span: Span) -> Span {
        part(span, 0.9 + 0.2 * self.dice.random::<f64>())
    }

    pub(crate) fn next_token(&mut self) -> Token {
        self.counter += 1;
        Token(self.counter)
    }

    pub(crate) fn note(&mut self, event: Event, subject: impl ToString, detail: impl ToString) {
        self.out.push(Output::Event {
            event,
            subject: subject.to_string(),
            detail: detail.to_string(),
        });
    }

    pub(crate) fn note_changed(&mut self, touched: Vec<HostId>) {
        if !touched.is_empty() {
            self.out.push(Output::Changed(touched));
        }
    }
}

fn near<'a>(me: &'a NodeCard, table: &'a Table) -> impl Iterator<Item = &'a Row> {
    let own = &me.process.host;
    let trusted = move |r: &&Row| match &r.standing {
        Standing::Alive => true,
        Standing::Suspect { by, .. } => !by.contains(own),
    };
    let rows = table.rows().values();
    let others = rows.filter(|r| r.card.zone == me.zone && r.card.process.host != *own);
    others.filter(trusted)
}

/// Some of the items, at random, each with the same chance.
fn sample<T>(
    dice: &mut StdRng,
    items: impl Iterator<Item = T>,
    count: usize,
) -> impl Iterator<Item = T> {
    let mut picked = Vec::with_capacity(count);
    for (index, item) in items.enumerate() {
        if picked.len() < count {
            picked.push(item);
            continue;
        }
        let place = dice.random_range(0..=index);
        if place < count {
            picked[place] = item;
        }
    }
    picked.into_iter()
}

fn part(span: Span, share: f64) -> Span {
    Span::from_micros((span.as_micros() as f64 * share) as u64)
}

/// Where a host stands in the ring in which entries look after each other.
pub(crate) fn ring_place(host: &HostId) -> u64 {
    xxhash_rust::xxh3::xxh3_64(host.as_str().as_bytes())
}
