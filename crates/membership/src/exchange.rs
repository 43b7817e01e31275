//! The exchanges between two entries: which packets are sent, and how received ones are handled.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use snipemast_core::prelude::*;

use crate::card::NodeCard;
use crate::message::{Ask, Mark, Packet};
use crate::node::{Node, Output, Pending, Purpose, Token};
use crate::owned::Delta;
use crate::spread::{Priority, Recipient};
use crate::table::{Row, Table, Verdict, VerdictKind};

/// How many buckets the rows are divided into when they are compared.
pub const BUCKETS: usize = 32;

/// How many buckets one answer lists in full.
const MAX_LISTED_BUCKETS: usize = 2;

/// How long no news must have arrived before differing rows count as a fault and not as news that
/// is still on its way.
const QUIET_SPAN: Span = Span::from_millis(600);

/// The maximum size of the rows that answer a join or a mark, in bytes.
const MAX_SYNC_BYTES: usize = 48 << 10;

/// What must be sent back for a received packet.
#[derive(Debug, Default)]
struct FollowUp {
    ask: Option<Ask>,
    marks: Vec<Mark>,
    listed: Vec<u8>,
    verdicts: Vec<Verdict>,
    deltas: Vec<Delta>,
    newcomer: bool,
}

impl FollowUp {
    fn is_empty(&self) -> bool {
        self.ask.is_none()
            && self.marks.is_empty()
            && self.verdicts.is_empty()
            && self.deltas.is_empty()
    }
}

impl Node {
    /// Handles an exchange that another entry began.
    pub(crate) fn handle_request(&mut self, now: Moment, packet: &Packet) {
        let follow_up = self.handle_packet(now, packet);
        let mut reply = self.news_for(now, &packet.from, Some(packet));
        if follow_up.newcomer {
            let same_zone = packet.from.zone == self.me.zone;
            reply.piggyback = self.piggyback.all_values(now, same_zone);
        }
        add_follow_up(&mut reply, follow_up);
        self.outputs.push(Output::Reply(Box::new(reply)));
    }

    /// Handles the answer to an exchange.
    pub(crate) fn handle_response(&mut self, now: Moment, token: Token, packet: &Packet) {
        let Some(pending) = self.pending.remove(&token) else {
            return;
        };
        let address = pending.address;
        let expected = pending.peer.as_ref().map(|p| &p.process.host);
        let from = &packet.from.process.host;
        if expected.is_some_and(|host| host != from) {
            // Another process got the address, so the one that was asked gave no answer.
            self.pending.insert(token, pending);
            self.handle_timeout(now, token);
        } else {
            self.record_contact(now, &packet.from);
        }
        let follow_up = self.handle_packet(now, packet);
        if !packet.listed.is_empty() {
            self.compare_soon(now);
        }
        if let Ask::Joined(next) = &packet.ask {
            self.continue_join(now, address, next.clone());
        }
        if !follow_up.is_empty() && !self.superseded {
            let mut answer = self.empty_packet();
            add_follow_up(&mut answer, follow_up);
            self.send(now, address, Some(&packet.from), Purpose::News, answer);
        }
    }

    /// Records that a peer answered, which proves that it is connected.
    fn record_contact(&mut self, now: Moment, peer: &NodeCard) {
        self.checks.remove(&peer.process.host);
        if peer.zone != self.me.zone && self.zones.record_answer(now, &peer.zone) {
            self.record_event(Event::MemberJoined, &peer.zone, "the zone answers again");
            self.report_zone_changed(&peer.zone);
            self.compare_soon(now);
        }
    }

    /// Schedules another comparison for the next round, because rows still differ.
    fn compare_soon(&mut self, now: Moment) {
        let soon = now + Span::from_millis(500);
        self.compared_at = soon - self.tuning.compare_interval;
    }

    fn continue_join(&mut self, now: Moment, address: SocketAddr, next: Option<HostId>) {
        if let Some(next) = next {
            let mut packet = self.empty_packet();
            packet.ask = Ask::Join(Some(next));
            self.send(now, address, None, Purpose::Seed, packet);
        } else if !self.joined {
            self.joined = true;
            let own = self.me.process.host.clone();
            self.queue.push(&own, 0, Priority::Other);
            self.schedule_burst(now);
        }
    }

    pub(crate) fn send_news(&mut self, now: Moment, peer: &NodeCard) {
        let mut packet = self.news_for(now, peer, None);
        packet.sum = self.quiet_sum(now);
        self.send(now, peer.address, Some(peer), Purpose::News, packet);
    }

    /// Begins the exchange of a round: news, loads or summaries, and from time to time a
    /// comparison.
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
        if now.since(self.compared_at) >= self.tuning.compare_interval {
            self.compared_at = now;
            packet.ask = Ask::Compare(self.sums());
        }
        self.send(now, peer.address, Some(peer), Purpose::News, packet);
    }

    pub(crate) fn send_check(&mut self, now: Moment, peer: &NodeCard) {
        let mut packet = self.empty_packet();
        packet.verdicts.extend(self.suspicion(&peer.process.host));
        self.send(now, peer.address, Some(peer), Purpose::Check, packet);
    }

    /// Sends a verdict to the entry that it is about, so that the entry can prove that it is alive.
    pub(crate) fn send_verdict(&mut self, now: Moment, peer: &NodeCard, verdict: &Verdict) {
        let mut packet = self.empty_packet();
        packet.verdicts.push(verdict.clone());
        self.send(now, peer.address, Some(peer), Purpose::News, packet);
    }

    pub(crate) fn send_seed(&mut self, now: Moment, seed: SocketAddr, join: bool) {
        let mut packet = self.empty_packet();
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
            started: now,
        };
        self.pending.insert(token, pending);
        self.outputs.push(Output::Send {
            token,
            to,
            packet: Box::new(packet),
            timeout: self.tuning.timeout,
        });
    }

    /// Returns a packet that only names its sender.
    fn empty_packet(&self) -> Packet {
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
            piggyback: Vec::new(),
            loads: Vec::new(),
            pools: Vec::new(),
        }
    }

    /// Returns a packet with the news that the peer should hear next, within the budget.
    fn news_for(&mut self, now: Moment, peer: &NodeCard, received: Option<&Packet>) -> Packet {
        let mut packet = self.empty_packet();
        let same_zone = peer.zone == self.me.zone;
        let mut budget = self.allowance(now);
        let whole = budget;
        let retransmits = self.tuning.retransmits;
        let picked = self.queue.pick(
            &self.table,
            Recipient {
                same_zone,
                received,
            },
            retransmits,
            &mut budget,
        );
        (packet.verdicts, packet.deltas) = picked;
        packet.piggyback = self.piggyback.pick(now, same_zone, &mut budget);
        self.spent_bytes += (whole - budget) as u64;
        // A suspected entry must hear of the suspicion, or it can't prove that it is alive.
        packet.verdicts.extend(self.suspicion(&peer.process.host));
        packet
    }

    /// Returns how many bytes of news the next packet may carry.
    ///
    /// Failure guarded against: a zone that returns causes so much news that it crowds out all
    /// other news for minutes, and crashes are noticed late. News is sent at a bounded rate, the
    /// most urgent first, and news that doesn't fit is found by comparing rows.
    pub(crate) fn allowance(&mut self, now: Moment) -> usize {
        let earned = now.since(self.refilled_at).as_micros() * self.tuning.news_rate / 1_000_000;
        if earned > 0 {
            self.refilled_at = now;
            self.spent_bytes = self.spent_bytes.saturating_sub(earned);
        }
        let left = (self.tuning.news_rate * 4).saturating_sub(self.spent_bytes);
        self.tuning.news_budget.min(left as usize)
    }

    fn handle_packet(&mut self, now: Moment, packet: &Packet) -> FollowUp {
        let mut follow_up = FollowUp::default();
        if !self.is_other_process(&packet.from) {
            return follow_up;
        }
        if packet.from.zone != self.me.zone {
            self.zones.add(now, &packet.from.zone);
        }
        let same_zone = packet.from.zone == self.me.zone;
        for verdict in &packet.verdicts {
            if same_zone || !self.is_foreign(verdict) {
                self.handle_verdict(now, verdict);
            } else {
                self.forward_foreign_verdict(now, verdict);
            }
        }
        for delta in &packet.deltas {
            self.handle_delta(now, delta, true, &mut follow_up);
        }
        for delta in &packet.sync {
            // Only the owner's own changes are passed on as news, not those that others send to let
            // this process catch up.
            let own = delta.card.process == packet.from.process;
            self.handle_delta(now, delta, own, &mut follow_up);
        }
        let mut urgent = false;
        for value in &packet.piggyback {
            urgent |= self.piggyback.merge(now, value.clone()) && value.topic.is_urgent();
        }
        if urgent {
            self.schedule_burst(now);
        }
        for note in &packet.loads {
            self.loads
                .record_reported(now, &self.table, &note.host, note.load);
        }
        for pool in &packet.pools {
            self.loads.record_pool(now, pool.clone());
        }
        self.handle_marks(packet, &mut follow_up);
        self.request_missing(packet, &mut follow_up);
        self.handle_ask(&packet.ask, &mut follow_up);
        self.compare_sum(now, packet, &mut follow_up);
        follow_up
    }

    /// Whether the sender has another name than this process. Handles a duplicate of this process
    /// that has the same name.
    fn is_other_process(&mut self, from: &NodeCard) -> bool {
        if from.process.host != self.me.process.host {
            return true;
        }
        if from.process != self.me.process || from.address != self.me.address {
            self.handle_duplicate(from);
        }
        false
    }

    /// Handles a packet of another process that has this one's name.
    ///
    /// Failure guarded against: a cloned host or a forgotten old process uses this process's name,
    /// and the row alternates between two addresses. The log names both processes, and the one that
    /// started earlier falls silent, so that the name has one owner again.
    fn handle_duplicate(&mut self, other: &NodeCard) {
        let me = self.me.clone();
        self.record_clash(&me, other);
        let mine = (me.process.incarnation, me.address);
        if (other.process.incarnation, other.address) > mine {
            self.superseded = true;
        }
    }

    fn handle_delta(&mut self, now: Moment, delta: &Delta, pass: bool, follow_up: &mut FollowUp) {
        let card = &delta.card;
        if card.process.host == self.me.process.host {
            if card.process.incarnation >= self.me.process.incarnation {
                self.is_other_process(card);
            }
            return;
        }
        let known = self.table.row(&card.process.host);
        let before = known.map(|r| (r.card.clone(), r.card.process.incarnation));
        let applied = self.table.apply_delta(delta);
        if let (Some(other), Some((old, _))) = (&applied.clash, &before) {
            self.record_clash(old, other);
        }
        if applied.gap {
            let mark = self.mark(&card.process.host);
            follow_up.marks.push(mark);
        }
        if !applied.news {
            return;
        }
        if card.zone != self.me.zone {
            self.zones.add(now, &card.zone);
        }
        if before.is_none_or(|(_, i)| i != card.process.incarnation) {
            self.record_event(Event::MemberJoined, &card.process, &card.zone);
        }
        if pass {
            self.queue.push_delta(delta);
            self.schedule_burst(now);
        }
        self.last_news = now;
        self.report_changed(applied.touched);
    }

    /// Answers marks: sends the rows of which this process has a later version, and asks for the
    /// others.
    fn handle_marks(&mut self, packet: &Packet, follow_up: &mut FollowUp) {
        let mut budget = MAX_SYNC_BYTES;
        for mark in &packet.marks {
            self.answer_mark(mark, follow_up, &mut budget);
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
            self.offer(&host, 0, follow_up, &mut budget);
        }
    }

    fn answer_mark(&self, mark: &Mark, follow_up: &mut FollowUp, budget: &mut usize) {
        let theirs = (mark.incarnation, mark.version);
        match self.table.row(&mark.host) {
            Some(row) if row_version(row) > theirs => {
                let same = row.card.process.incarnation == mark.incarnation;
                let version = if same { mark.version } else { 0 };
                self.offer(&mark.host, version, follow_up, budget);
            }
            Some(row) if row_version(row) == theirs => {}
            Some(_) => follow_up.marks.push(self.mark(&mark.host)),
            None => match self.tombstone_verdict(mark) {
                Some(verdict) => follow_up.verdicts.push(verdict),
                None if mark.version > 0 => follow_up.marks.push(self.mark(&mark.host)),
                None => {}
            },
        }
    }

    /// Returns the verdict on an entry that is gone, for a peer that missed it and still has the
    /// row.
    fn tombstone_verdict(&self, mark: &Mark) -> Option<Verdict> {
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

    fn offer(&self, host: &HostId, version: u64, follow_up: &mut FollowUp, budget: &mut usize) {
        let Some(delta) = self.table.since(host, version) else {
            return;
        };
        if follow_up.deltas.is_empty() || delta.size() <= *budget {
            *budget = budget.saturating_sub(delta.size());
            follow_up.deltas.push(delta);
        }
    }

    /// Asks the sender for its own set, if its version is later than the known one.
    fn request_missing(&mut self, packet: &Packet, follow_up: &mut FollowUp) {
        let process = &packet.from.process;
        let theirs = (process.incarnation, packet.version);
        let known = self.table.row(&process.host).map(row_version);
        let asked = follow_up.marks.iter().any(|m| m.host == process.host);
        if known.is_none_or(|k| k < theirs) && !asked {
            follow_up.marks.push(self.mark(&process.host));
        }
        // A sender that this process considers dead must be told, or it would stay invisible.
        let mark = Mark {
            host: process.host.clone(),
            incarnation: process.incarnation,
            version: packet.version,
        };
        if known.is_none() {
            follow_up.verdicts.extend(self.tombstone_verdict(&mark));
        }
    }

    fn handle_ask(&mut self, ask: &Ask, follow_up: &mut FollowUp) {
        match ask {
            Ask::Nothing | Ask::Joined(_) => {}
            Ask::Compare(sums) => self.list_differing(sums, follow_up),
            Ask::Join(after) => {
                let (deltas, next) = self.page(after.as_ref());
                follow_up.newcomer = after.is_none();
                follow_up.deltas.extend(deltas);
                follow_up.ask = Some(Ask::Joined(next));
            }
        }
    }

    /// Returns one page of all rows, by host, and the host after which the next page starts.
    fn page(&self, after: Option<&HostId>) -> (Vec<Delta>, Option<HostId>) {
        let mut budget = MAX_SYNC_BYTES;
        let mut deltas: Vec<Delta> = Vec::new();
        let rows = self.table.rows().keys();
        for host in rows.filter(|h| after.is_none_or(|a| *h > a)) {
            let Some(delta) = self.table.since(host, 0) else {
                continue;
            };
            if delta.size() > budget && !deltas.is_empty() {
                let last = deltas.last().map(|d| d.card.process.host.clone());
                return (deltas, last);
            }
            budget = budget.saturating_sub(delta.size());
            deltas.push(delta);
        }
        (deltas, None)
    }

    fn list_differing(&mut self, sums: &[u32], follow_up: &mut FollowUp) {
        let own = self.sums();
        let differ = |b: &usize| sums.get(*b).is_some_and(|s| *s != own[*b]);
        let differing: Vec<_> = (0..BUCKETS).filter(differ).collect();
        for number in self.sample(differing, MAX_LISTED_BUCKETS) {
            let number = number as u8;
            follow_up.listed.push(number);
            let hosts = self.table.rows().keys();
            let hosts = hosts.filter(|h| bucket(h) == number);
            follow_up.marks.extend(hosts.map(|h| self.mark(h)));
        }
    }

    /// Returns the checksum over all rows, if no news has arrived for a while.
    fn quiet_sum(&mut self, now: Moment) -> Option<u32> {
        let quiet = now.since(self.last_news) >= QUIET_SPAN;
        quiet.then(|| total_sum(&self.sums()))
    }

    /// Starts a comparison if a peer's rows differ although neither side has heard news for a
    /// while.
    ///
    /// Failure guarded against: a piece of news misses one last process, which routes to a drained
    /// server until the next comparison. Each round therefore carries one checksum over all rows,
    /// and a difference leads to a comparison at once.
    fn compare_sum(&mut self, now: Moment, packet: &Packet, follow_up: &mut FollowUp) {
        let (Some(theirs), None) = (packet.sum, &follow_up.ask) else {
            return;
        };
        if packet.ask == Ask::Nothing && now.since(self.last_news) >= QUIET_SPAN {
            let sums = self.sums();
            if total_sum(&sums) != theirs {
                follow_up.ask = Some(Ask::Compare(sums));
            }
        }
    }

    /// Returns the checksum of each bucket of rows; equal checksums mean equal rows.
    fn sums(&mut self) -> Vec<u32> {
        let revision = self.table.revision();
        if self.sum_cache.0 != revision || self.sum_cache.1.is_empty() {
            self.sum_cache = (revision, sums(&self.table));
        }
        self.sum_cache.1.clone()
    }

    fn mark(&self, host: &HostId) -> Mark {
        let known = self.table.row(host).map(row_version);
        let (incarnation, version) = known.unwrap_or_default();
        Mark {
            host: host.clone(),
            incarnation,
            version,
        }
    }
}

fn add_follow_up(packet: &mut Packet, follow_up: FollowUp) {
    packet.marks.extend(follow_up.marks);
    packet.listed.extend(follow_up.listed);
    packet.verdicts.extend(follow_up.verdicts);
    packet.sync.extend(follow_up.deltas);
    if let Some(ask) = follow_up.ask {
        packet.ask = ask;
    }
}

fn sums(table: &Table) -> Vec<u32> {
    let mut sums = vec![0_u32; BUCKETS];
    for (host, row) in table.rows() {
        let (incarnation, version) = row_version(row);
        let seed = incarnation.get() ^ version.rotate_left(32);
        let hash = xxhash_rust::xxh3::xxh3_64_with_seed(host.as_str().as_bytes(), seed);
        let sum = &mut sums[usize::from(bucket(host))];
        *sum = sum.wrapping_add(hash as u32);
    }
    sums
}

fn total_sum(sums: &[u32]) -> u32 {
    sums.iter()
        .fold(0, |all, sum| all.rotate_left(1).wrapping_add(*sum))
}

fn row_version(row: &Row) -> (Incarnation, u64) {
    (row.card.process.incarnation, row.set.version())
}

fn bucket(host: &HostId) -> u8 {
    let offset = crate::node::ring_position(host);
    (offset % BUCKETS as u64) as u8
}
