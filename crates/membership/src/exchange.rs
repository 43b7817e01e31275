//! Exchanges between entries: what a packet holds, and what is done with one.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use snipemast_core::prelude::*;

use crate::card::NodeCard;
use crate::message::{Ask, Mark, Packet};
use crate::node::{Node, Output, Pending, Purpose, Token};
use crate::owned::Delta;
use crate::spread::{Hearer, Rank};
use crate::table::{Row, Table, Verdict, VerdictKind};

/// How many buckets rows are compared in.
pub const BUCKETS: usize = 32;

/// How many buckets one answer lists.
const LISTED: usize = 2;

/// How long no news has come until rows that differ are a fault and not news on its way.
const QUIET: Span = Span::from_millis(600);

/// The most bytes of rows that answer a join or a mark.
const MAX_SYNC: usize = 48 << 10;

/// What a packet brought that wants an answer.
#[derive(Debug, Default)]
struct Wanted {
    ask: Option<Ask>,
    marks: Vec<Mark>,
    listed: Vec<u8>,
    verdicts: Vec<Verdict>,
    deltas: Vec<Delta>,
    welcome: bool,
}

impl Wanted {
    fn is_empty(&self) -> bool {
        self.ask.is_none()
            && self.marks.is_empty()
            && self.verdicts.is_empty()
            && self.deltas.is_empty()
    }
}

impl Node {
    /// Another entry began an exchange.
    pub(crate) fn asked(&mut self, now: Moment, packet: &Packet) {
        let wanted = self.take_packet(now, packet);
        let mut reply = self.news_for(now, &packet.from, Some(packet));
        if wanted.welcome {
            let same_zone = packet.from.zone == self.me.zone;
            reply.riders = self.riders.all(now, same_zone);
        }
        fill(&mut reply, wanted);
        self.out.push(Output::Reply(Box::new(reply)));
    }

    /// An exchange was answered.
    pub(crate) fn answered(&mut self, now: Moment, token: Token, packet: &Packet) {
        let Some(pending) = self.pending.remove(&token) else {
            return;
        };
        let address = pending.address;
        let expected = pending.peer.as_ref().map(|p| &p.process.host);
        let from = &packet.from.process.host;
        if expected.is_some_and(|host| host != from) {
            // Another process got the address; the one that was asked gave no answer.
            self.pending.insert(token, pending);
            self.missed(now, token);
        } else {
            self.prove(now, &packet.from);
        }
        let wanted = self.take_packet(now, packet);
        if !packet.listed.is_empty() {
            self.compare_soon(now);
        }
        if let Ask::Joined(next) = &packet.ask {
            self.go_on_joining(now, address, next.clone());
        }
        if !wanted.is_empty() && !self.superseded {
            let mut follow = self.bare();
            fill(&mut follow, wanted);
            self.send(now, address, Some(&packet.from), Purpose::News, follow);
        }
    }

    /// An answer proves that the peer is connected.
    fn prove(&mut self, now: Moment, peer: &NodeCard) {
        self.checks.remove(&peer.process.host);
        if peer.zone != self.me.zone && self.zones.answer(now, &peer.zone) {
            self.note(Event::MemberJoined, &peer.zone, "the zone answers again");
            self.note_zone(&peer.zone);
            self.compare_soon(now);
        }
    }

    /// Compares again with the next round: rows still differ.
    fn compare_soon(&mut self, now: Moment) {
        let soon = now + Span::from_millis(500);
        self.compared = soon - self.tuning.compare_interval;
    }

    fn go_on_joining(&mut self, now: Moment, address: SocketAddr, next: Option<HostId>) {
        if let Some(next) = next {
            let mut packet = self.bare();
            packet.ask = Ask::Join(Some(next));
            self.send(now, address, None, Purpose::Seed, packet);
        } else if !self.joined {
            self.joined = true;
            let own = self.me.process.host.clone();
            self.spread.push(&own, 0, Rank::Other);
            self.hurry(now);
        }
    }

    pub(crate) fn send_news(&mut self, now: Moment, peer: &NodeCard) {
        let mut packet = self.news_for(now, peer, None);
        packet.sum = self.quiet_sum(now);
        self.send(now, peer.address, Some(peer), Purpose::News, packet);
    }

    /// A round's exchange: news, loads or summaries, and now and then a comparison.
    pub(crate) fn send_round(&mut self, now: Moment, peer: &NodeCard) {
        let mut packet = self.news_for(now, peer, None);
        packet.sum = self.quiet_sum(now);
        let mut budget = self.tuning.news_budget / 4;
        if peer.zone == self.me.zone {
            packet.loads = self.loads.pick(now, 2, &mut budget);
        } else {
            let zones = (&self.me.zone, &peer.zone);
            packet.pools = self.loads.pick_pools(now, &self.table, zones, &mut budget);
        }
        if now.since(self.compared) >= self.tuning.compare_interval {
            self.compared = now;
            packet.ask = Ask::Compare(self.sums());
        }
        self.send(now, peer.address, Some(peer), Purpose::News, packet);
    }

    pub(crate) fn send_check(&mut self, now: Moment, peer: &NodeCard) {
        let mut packet = self.bare();
        packet.verdicts.extend(self.suspicion(&peer.process.host));
        self.send(now, peer.address, Some(peer), Purpose::Check, packet);
    }

    /// Sends a verdict to the entry that it is about, so that it can prove that it lives.
    pub(crate) fn send_verdict(&mut self, now: Moment, peer: &NodeCard, verdict: &Verdict) {
        let mut packet = self.bare();
        packet.verdicts.push(verdict.clone());
        self.send(now, peer.address, Some(peer), Purpose::News, packet);
    }

    pub(crate) fn send_seed(&mut self, now: Moment, seed: SocketAddr, join: bool) {
        let mut packet = self.bare();
        packet.ask = if join {
            Ask::Join(None)
        } else {
            Ask::Compare(self.sums())
        };
        self.send(now, seed, None, Purpose::Seed, packet);
    }

    fn send(
        &mut self,
        now: Moment,
        to: SocketAddr,
        peer: Option<&NodeCard>,
        purpose: Purpose,
        packet: Packet,
    ) {
        let token = self.next_token();
        let pending = Pending {
            peer: peer.cloned(),
            address: to,
            purpose,
            begun: now,
        };
        self.pending.insert(token, pending);
        self.out.push(Output::Send {
            token,
            to,
            packet: Box::new(packet),
            timeout: self.tuning.timeout,
        });
    }

    /// A packet that says only who speaks.
    fn bare(&self) -> Packet {
        Packet {
            from: self.me.clone(),
            version: self.own_version(),
            sum: None,
            ask: Ask::Nothing,
            marks: Vec::new(),
            listed: Vec::new(),
            verdicts: Vec::new(),
            deltas: Vec::new(),
            sync: Vec::new(),
            riders: Vec::new(),
            loads: Vec::new(),
            pools: Vec::new(),
        }
    }

    /// A packet with the news that the peer should hear next, within the budget.
    fn news_for(&mut self, now: Moment, peer: &NodeCard, said: Option<&Packet>) -> Packet {
        let mut packet = self.bare();
        let near = peer.zone == self.me.zone;
        let mut budget = self.allowance(now);
        let whole = budget;
        let repeats = self.tuning.retransmits;
        let picked = self
            .spread
            .pick(&self.table, Hearer { near, said }, repeats, &mut budget);
        (packet.verdicts, packet.deltas) = picked;
        packet.riders = self.riders.pick(now, near, &mut budget);
        self.spent += (whole - budget) as u64;
        // Whoever is suspected must hear of it, or it can't prove that it lives.
        packet.verdicts.extend(self.suspicion(&peer.process.host));
        packet
    }

    /// How many bytes of news the next packet may carry.
    ///
    /// Failure guarded against: a zone that returns makes so much news at once that it crowds out
    /// everything else for minutes. It shows as crashes that take long to be known. News goes out
    /// at a bounded rate, most pressing first, and what does not fit is found by comparing.
    pub(crate) fn allowance(&mut self, now: Moment) -> usize {
        let earned = now.since(self.refilled).as_micros() * self.tuning.news_rate / 1_000_000;
        if earned > 0 {
            self.refilled = now;
            self.spent = self.spent.saturating_sub(earned);
        }
        let left = (self.tuning.news_rate * 4).saturating_sub(self.spent);
        self.tuning.news_budget.min(left as usize)
    }

    fn take_packet(&mut self, now: Moment, packet: &Packet) -> Wanted {
        let mut wanted = Wanted::default();
        if !self.is_other(&packet.from) {
            return wanted;
        }
        if packet.from.zone != self.me.zone {
            self.zones.meet(now, &packet.from.zone);
        }
        let near = packet.from.zone == self.me.zone;
        for verdict in &packet.verdicts {
            if near || !self.is_foreign(verdict) {
                self.take_verdict(now, verdict);
            } else {
                self.challenge(now, verdict);
            }
        }
        for delta in &packet.deltas {
            self.take_delta(now, delta, true, &mut wanted);
        }
        for delta in &packet.sync {
            // What the owner itself says is news; what others catch up with is not.
            let own = delta.card.process == packet.from.process;
            self.take_delta(now, delta, own, &mut wanted);
        }
        let mut urgent = false;
        for rider in &packet.riders {
            urgent |= self.riders.take(now, rider.clone()) && rider.topic.is_urgent();
        }
        if urgent {
            self.hurry(now);
        }
        for note in &packet.loads {
            self.loads.take(now, &note.host, note.load);
        }
        for pool in &packet.pools {
            self.loads.take_pool(now, pool.clone());
        }
        self.take_marks(packet, &mut wanted);
        self.note_behind(packet, &mut wanted);
        self.take_ask(&packet.ask, &mut wanted);
        self.compare_sum(now, packet, &mut wanted);
        wanted
    }

    /// Whether the sender is another process, and none that has this one's name.
    fn is_other(&mut self, from: &NodeCard) -> bool {
        if from.process.host != self.me.process.host {
            return true;
        }
        if from.process != self.me.process || from.address != self.me.address {
            self.meet_double(from);
        }
        false
    }

    /// Failure guarded against: a cloned host or a forgotten old process that speaks under this
    /// one's name. It shows as a row that jumps between two addresses. Both are named, and the
    /// earlier start falls silent, so that the name has one owner again.
    fn meet_double(&mut self, other: &NodeCard) {
        let me = self.me.clone();
        self.clash(&me, other);
        let mine = (me.process.incarnation, me.address);
        if (other.process.incarnation, other.address) > mine {
            self.superseded = true;
        }
    }

    fn take_delta(&mut self, now: Moment, delta: &Delta, pass: bool, wanted: &mut Wanted) {
        let card = &delta.card;
        if card.process.host == self.me.process.host {
            if card.process.incarnation >= self.me.process.incarnation {
                self.is_other(card);
            }
            return;
        }
        let known = self.table.row(&card.process.host);
        let before = known.map(|r| (r.card.clone(), r.card.process.incarnation));
        let taken = self.table.take(delta);
        if let (Some(other), Some((old, _))) = (&taken.clash, &before) {
            self.clash(old, other);
        }
        if taken.gap {
            let mark = self.mark(&card.process.host);
            wanted.marks.push(mark);
        }
        if !taken.news {
            return;
        }
        if card.zone != self.me.zone {
            self.zones.meet(now, &card.zone);
        }
        if before.is_none_or(|(_, i)| i != card.process.incarnation) {
            self.note(Event::MemberJoined, &card.process, &card.zone);
        }
        if pass {
            self.spread.push_delta(delta);
            self.hurry(now);
        }
        self.heard = now;
        self.note_changed(taken.touched);
    }

    /// Answers marks: later rows are sent, earlier ones are asked for.
    fn take_marks(&mut self, packet: &Packet, wanted: &mut Wanted) {
        let mut room = MAX_SYNC;
        for mark in &packet.marks {
            self.answer_mark(mark, wanted, &mut room);
        }
        if packet.listed.is_empty() {
            return;
        }
        let listed: BTreeMap<_, _> = packet.marks.iter().map(|m| (&m.host, ())).collect();
        let missing: Vec<_> = self
            .table
            .rows()
            .keys()
            .filter(|h| packet.listed.contains(&bucket(h)) && !listed.contains_key(h))
            .cloned()
            .collect();
        for host in missing {
            self.offer(&host, 0, wanted, &mut room);
        }
    }

    fn answer_mark(&self, mark: &Mark, wanted: &mut Wanted, room: &mut usize) {
        let theirs = (mark.incarnation, mark.version);
        match self.table.row(&mark.host) {
            Some(row) if rank(row) > theirs => {
                let same = row.card.process.incarnation == mark.incarnation;
                let version = if same { mark.version } else { 0 };
                self.offer(&mark.host, version, wanted, room);
            }
            Some(row) if rank(row) == theirs => {}
            Some(_) => wanted.marks.push(self.mark(&mark.host)),
            None => match self.tomb_verdict(mark) {
                Some(verdict) => wanted.verdicts.push(verdict),
                None if mark.version > 0 => wanted.marks.push(self.mark(&mark.host)),
                None => {}
            },
        }
    }

    /// The verdict that a peer missed which still has a row of an entry that is gone.
    fn tomb_verdict(&self, mark: &Mark) -> Option<Verdict> {
        let tomb = self.table.tombstones().get(&mark.host)?;
        if (mark.incarnation, mark.version) > (tomb.incarnation, tomb.version) {
            return None;
        }
        Some(Verdict {
            process: ProcessId::new(mark.host.clone(), tomb.incarnation),
            zone: tomb.zone.clone(),
            version: tomb.version,
            kind: if tomb.version == u64::MAX {
                VerdictKind::Left
            } else {
                VerdictKind::Dead
            },
        })
    }

    fn offer(&self, host: &HostId, version: u64, wanted: &mut Wanted, room: &mut usize) {
        let Some(delta) = self.table.since(host, version) else {
            return;
        };
        if wanted.deltas.is_empty() || delta.size() <= *room {
            *room = room.saturating_sub(delta.size());
            wanted.deltas.push(delta);
        }
    }

    /// Asks the sender for its own set, where it has a later version than is known here.
    fn note_behind(&mut self, packet: &Packet, wanted: &mut Wanted) {
        let process = &packet.from.process;
        let theirs = (process.incarnation, packet.version);
        let known = self.table.row(&process.host).map(rank);
        let asked = wanted.marks.iter().any(|m| m.host == process.host);
        if known.is_none_or(|k| k < theirs) && !asked {
            wanted.marks.push(self.mark(&process.host));
        }
        // A sender that this process holds for dead has to know, or it would stay unseen.
        let mark = Mark {
            host: process.host.clone(),
            incarnation: process.incarnation,
            version: packet.version,
        };
        if known.is_none() {
            wanted.verdicts.extend(self.tomb_verdict(&mark));
        }
    }

    fn take_ask(&mut self, ask: &Ask, wanted: &mut Wanted) {
        match ask {
            Ask::Nothing | Ask::Joined(_) => {}
            Ask::Compare(sums) => self.list_differing(sums, wanted),
            Ask::Join(after) => {
                let (deltas, next) = self.page(after.as_ref());
                wanted.welcome = after.is_none();
                wanted.deltas.extend(deltas);
                wanted.ask = Some(Ask::Joined(next));
            }
        }
    }

    /// One page of all rows, by host, and the host after which the next page starts.
    fn page(&self, after: Option<&HostId>) -> (Vec<Delta>, Option<HostId>) {
        let mut room = MAX_SYNC;
        let mut deltas: Vec<Delta> = Vec::new();
        let rows = self.table.rows().keys();
        for host in rows.filter(|h| after.is_none_or(|a| *h > a)) {
            let Some(delta) = self.table.since(host, 0) else {
                continue;
            };
            if delta.size() > room && !deltas.is_empty() {
                let last = deltas.last().map(|d| d.card.process.host.clone());
                return (deltas, last);
            }
            room = room.saturating_sub(delta.size());
            deltas.push(delta);
        }
        (deltas, None)
    }

    fn list_differing(&mut self, sums: &[u32], wanted: &mut Wanted) {
        let own = self.sums();
        let differ = |b: &usize| sums.get(*b).is_some_and(|s| *s != own[*b]);
        let differing: Vec<_> = (0..BUCKETS).filter(differ).collect();
        for number in self.sample(differing, LISTED) {
            let number = number as u8;
            wanted.listed.push(number);
            let hosts = self.table.rows().keys();
            let hosts = hosts.filter(|h| bucket(h) == number);
            wanted.marks.extend(hosts.map(|h| self.mark(h)));
        }
    }

    /// The sum over all rows, once no news has come for a while.
    fn quiet_sum(&mut self, now: Moment) -> Option<u32> {
        let quiet = now.since(self.heard) >= QUIET;
        quiet.then(|| total(&self.sums()))
    }

    /// Lists the sums where a peer's rows differ although neither has heard news for a while.
    ///
    /// Failure guarded against: the last process that a piece of news misses. It shows as one
    /// entry that routes to a drained server until the next comparison. Every round tells one sum
    /// over all rows, and a difference is looked into at once.
    fn compare_sum(&mut self, now: Moment, packet: &Packet, wanted: &mut Wanted) {
        let (Some(theirs), None) = (packet.sum, &wanted.ask) else {
            return;
        };
        if packet.ask == Ask::Nothing && now.since(self.heard) >= QUIET {
            let sums = self.sums();
            if total(&sums) != theirs {
                wanted.ask = Some(Ask::Compare(sums));
            }
        }
    }

    /// A sum over each bucket of rows; equal sums mean equal rows.
    fn sums(&mut self) -> Vec<u32> {
        let revision = self.table.revision();
        if self.summed.0 != revision || self.summed.1.is_empty() {
            self.summed = (revision, sums(&self.table));
        }
        self.summed.1.clone()
    }

    fn mark(&self, host: &HostId) -> Mark {
        let known = self.table.row(host).map(rank);
        let (incarnation, version) = known.unwrap_or_default();
        Mark {
            host: host.clone(),
            incarnation,
            version,
        }
    }
}

fn fill(packet: &mut Packet, wanted: Wanted) {
    packet.marks.extend(wanted.marks);
    packet.listed.extend(wanted.listed);
    packet.verdicts.extend(wanted.verdicts);
    packet.sync.extend(wanted.deltas);
    if let Some(ask) = wanted.ask {
        packet.ask = ask;
    }
}

fn sums(table: &Table) -> Vec<u32> {
    let mut sums = vec![0_u32; BUCKETS];
    for (host, row) in table.rows() {
        let (incarnation, version) = rank(row);
        let seed = incarnation.get() ^ version.rotate_left(32);
        let hash = xxhash_rust::xxh3::xxh3_64_with_seed(host.as_str().as_bytes(), seed);
        let sum = &mut sums[usize::from(bucket(host))];
        *sum = sum.wrapping_add(hash as u32);
    }
    sums
}

fn total(sums: &[u32]) -> u32 {
    sums.iter()
        .fold(0, |all, sum| all.rotate_left(1).wrapping_add(*sum))
}

fn rank(row: &Row) -> (Incarnation, u64) {
    (row.card.process.incarnation, row.set.version())
}

fn bucket(host: &HostId) -> u8 {
    let place = crate::node::ring_place(host);
    (place % BUCKETS as u64) as u8
}
