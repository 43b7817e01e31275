//! The known servers, each with its latest announcement.
//!
//! A controller fills its table from heartbeats and from the tables of other controllers; a gateway
//! fills its table from the controllers. Entries of two tables may be merged in any order: a later
//! start of a server wins over an earlier one, within one start the higher sequence wins, and a
//! deregistration wins over every earlier heartbeat.

use std::collections::HashMap;
use std::net::SocketAddr;

use snipemast_core::data;
use snipemast_core::departures::Departure;
use snipemast_core::prelude::*;
use snipemast_core::starts::StartMap;

use crate::announcement::{Announcement, Standing};
use crate::last_seen::SeenServer;
use crate::leaving::{LeavingServer, LeavingServers};
use crate::limit::{KnownLimit, LimitEntry, LimitUpdate};
use crate::rank::{GroupRank, KnownRank, RankEntry, RankUpdate};
use crate::report::Report;

/// How long a server that sends no heartbeat stays ready.
///
/// This is longer than any cut between the server and the controllers that the gateways don't
/// share, so that only failures that gateways see themselves take the server out of use. No
/// heartbeat is late by this much, so whatever arrives after this time was also sent after it.
pub const SILENCE_TIMEOUT: Span = Span::from_secs(30);

/// How long a deregistration, a lost server and a rank are kept: longer than any heartbeat can be
/// late.
pub const RETENTION: Span = Span::from_secs(120);

/// How much later than before the end of a server's cold time must be to count as a change: more than the
/// usual jitter of heartbeats.
const COLD_TOLERANCE: Span = Span::from_millis(500);

data! {
    /// A server in the messages from one table to another.
    pub struct Entry {
        /// The server's latest heartbeat.
        pub announcement: Announcement,
        /// The server's standing.
        pub standing: Standing,
        /// How long ago the last heartbeat arrived.
        pub age: Span,
        /// The server's place in a group, if it is known.
        pub rank: Option<RankEntry>,
        /// The server's limit, if it has named one.
        pub limit: Option<LimitEntry>,
        /// How long ago an answer of this start first announced that it is leaving, if one did.
        pub leaving: Option<Span>,
    }
}

/// What a table holds about a server.
#[derive(Debug, Clone)]
pub struct KnownServer {
    /// The server's latest heartbeat.
    pub announcement: Announcement,
    /// The server's standing.
    pub standing: Standing,
    /// When a heartbeat of the server last arrived at any controller.
    pub last_seen: Moment,
    /// Until when the server is cold by its announcements.
    pub cold_until: Moment,
    /// The table's revision at the server's last change.
    changed: u64,
}

/// The state of one start of a server by its announcements and answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartState {
    /// It is not known to have ended or to be leaving.
    Current,
    /// It has announced that it is leaving.
    Leaving,
    /// Another server, or another start of it, has its address.
    Replaced,
}

/// A server's deregistration.
#[derive(Debug, Clone, Copy)]
struct Deregistration {
    at: Moment,
    /// The start that deregistered, or `None` if it may not be known yet.
    start: Option<Incarnation>,
}

impl Deregistration {
    /// Whether it may be that of a start.
    fn covers(&self, start: Incarnation) -> bool {
        self.start.is_none_or(|own| start <= own)
    }
}

/// The known servers.
#[derive(Debug, Clone, Default)]
pub struct Table {
    servers: HashMap<ServerId, KnownServer>,
    /// The server that holds each address.
    holders: HashMap<SocketAddr, ServerId>,
    ranks: HashMap<SocketAddr, KnownRank>,
    /// The latest limits that servers named in their answers.
    limits: StartMap<KnownLimit>,
    leaving: LeavingServers,
    /// The last deregistrations of servers.
    deregistrations: HashMap<ServerId, Deregistration>,
    revision: u64,
    /// The revision at the last report of a server that is draining or gone, which is acknowledged
    /// once all gateways have it.
    awaited_revision: u64,
}

impl Table {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether an announcement under the id and start of a known server is from another writer: a server doesn't change its
    /// service, zone or address while it runs.
    ///
    /// A server that gives no time of its start may have started again at another address. If the other writer announced
    /// itself first, the server's own heartbeats count once the other one has been silent for [`SILENCE_TIMEOUT`].
    pub fn is_foreign(&self, now: Moment, announcement: &Announcement) -> bool {
        let Some(known) = self.servers.get(&announcement.id) else {
            return false;
        };
        let own = &known.announcement;
        let same_start = own.start == announcement.start;
        let moved = own.address != announcement.address && own.start != Incarnation(0);
        let differs = own.service != announcement.service || own.zone != announcement.zone || moved;
        same_start && differs && now < known.last_seen + SILENCE_TIMEOUT
    }

    /// Records a heartbeat; returns whether it changed more than the time. One of another writer changes nothing.
    pub fn record_heartbeat(&mut self, now: Moment, announcement: Announcement) -> bool {
        if self.is_foreign(now, &announcement) {
            return false;
        }
        let standing = announcement.standing();
        let changed = self.apply(now, announcement, standing);
        if standing == Standing::Draining {
            self.awaited_revision = self.revision;
        }
        changed
    }

    /// Records a deregistration; returns whether it changed the table.
    ///
    /// A deregistration names no start, so it applies to the latest known one. It is also kept,
    /// because the server's heartbeats may have reached other controllers only, or it may have
    /// restarted since its last heartbeat here.
    pub fn record_deregistration(&mut self, now: Moment, id: &ServerId) -> bool {
        let deregistration = Deregistration {
            at: now,
            start: None,
        };
        self.deregistrations.insert(id.clone(), deregistration);
        let changed = match self.servers.get(id) {
            Some(known) if known.standing != Standing::Gone => {
                let announcement = known.announcement.clone();
                self.put(now, announcement, Standing::Gone)
            }
            _ => false,
        };
        self.awaited_revision = self.revision;
        changed
    }

    /// Records the deregistration of a server that this table doesn't know, and of which other tables may know a start up to
    /// `latest`; returns whether it changed the table. The entry takes the place of any such start when tables are merged.
    ///
    /// Failure guarded against: controllers that have just started acknowledge the deregistration, and gateways, which know
    /// the server from before, go on sending requests to it.
    pub fn record_unknown_deregistration(
        &mut self,
        now: Moment,
        id: &ServerId,
        latest: Incarnation,
    ) -> bool {
        if self.servers.contains_key(id) {
            return false;
        }
        let announcement = Announcement::of_unknown(id.clone(), latest);
        self.put(now, announcement, Standing::Gone);
        self.awaited_revision = self.revision;
        true
    }

    /// Records the deregistration of a start that another controller acknowledged, or this one before it restarted; returns
    /// whether that changed the table. Heartbeats of this start that arrive later than it change nothing.
    ///
    /// Departures are entered again whenever a controller starts. One without a start, as an earlier release stored it, may
    /// be older than the start that is running now, so it is ignored.
    pub fn record_departure(&mut self, now: Moment, departure: &Departure) -> bool {
        let Departure { server, start } = departure;
        let Some(left) = *start else {
            return false;
        };
        if let Some(known) = self.servers.get(server) {
            if known.announcement.start > left || known.standing == Standing::Gone {
                return false;
            }
        }
        let changed = self.record_deregistration(now, server);
        if let Some(deregistration) = self.deregistrations.get_mut(server) {
            deregistration.start = *start;
        }
        changed
    }

    /// Merges an entry of another table; returns whether it changed more than the time.
    pub fn merge(&mut self, now: Moment, entry: Entry) -> bool {
        let last_seen = now - entry.age;
        let rank = entry.rank.map(|r| (now - r.age, r.update));
        let (id, start) = (entry.announcement.id.clone(), entry.announcement.start);
        let changed = self.apply(last_seen, entry.announcement, entry.standing);
        let ranked = rank.is_some_and(|(at, update)| self.record_rank(at, update));
        let limit = entry.limit.map(|limit| limit.to_update(now));
        let limited = limit.is_some_and(|update| self.record_limit(&id, update));
        let leaving = entry.leaving.map(|age| now - age);
        let leaves = leaving.is_some_and(|first| self.put_leaving(first, &id, start, true));
        changed || ranked || limited || leaves
    }

    /// Records that an answer of a start announced that it is leaving, whatever its heartbeats
    /// announce; returns whether that changed the table.
    pub fn record_leaving(&mut self, now: Moment, id: &ServerId, start: Incarnation) -> bool {
        self.put_leaving(now, id, start, false)
    }

    /// Merges a gateway's report of a server that is leaving; returns whether it changed the table.
    pub fn merge_leaving(&mut self, now: Moment, report: &LeavingServer) -> bool {
        self.put_leaving(now - report.age, &report.server, report.start, true)
    }

    /// Returns when the latest start of a server first announced that it is leaving, or `None` if it
    /// didn't.
    pub fn leaving_since(&self, id: &ServerId) -> Option<Moment> {
        let start = self.servers.get(id)?.announcement.start;
        self.leaving.leaving_since(id, start)
    }

    /// Returns the ready servers that are leaving and that no controller is known to have as such.
    pub fn unreported_leaving(&self, now: Moment) -> Vec<LeavingServer> {
        let ready = |leaving: &LeavingServer| {
            let known = self.servers.get(&leaving.server);
            known.is_some_and(|k| {
                k.announcement.start == leaving.start && k.standing == Standing::Ready
            })
        };
        self.leaving.unreported(now).filter(ready).collect()
    }

    fn put_leaving(
        &mut self,
        first: Moment,
        id: &ServerId,
        start: Incarnation,
        reported: bool,
    ) -> bool {
        if !self.leaving.record(first, id, start, reported) {
            return false;
        }
        let known = self.servers.get_mut(id);
        if let Some(known) = known.filter(|k| k.announcement.start == start) {
            self.revision += 1;
            known.changed = self.revision;
        }
        true
    }

    /// Records when a controller received a rank update; returns whether it changed the table.
    ///
    /// The latest update holds, whatever group it names, because a rank may move to a group whose
    /// epochs are lower. The updates of one process are numbered, so that one that was delayed for
    /// long is recognized as outdated. Updates are kept by address, because an update may arrive
    /// before the first heartbeat of the server's start.
    pub fn record_rank(&mut self, received: Moment, update: RankUpdate) -> bool {
        let address = update.address;
        let before = self.ranks.get(&address);
        if before.is_some_and(|known| !known.yields_to(&update, received)) {
            return false;
        }
        let changed = before.is_none_or(|known| !known.update.has_same_rank(&update));
        self.ranks.insert(address, KnownRank { update, received });
        let holder = self.holders.get(&address);
        let Some(known) = holder.and_then(|id| self.servers.get_mut(id)) else {
            return false;
        };
        if changed {
            self.revision += 1;
            known.changed = self.revision;
        }
        changed
    }

    /// Returns the server's place in its group, if it is known.
    pub fn rank(&self, known: &KnownServer) -> Option<&GroupRank> {
        self.known_rank(known)?.update.rank.as_ref()
    }

    /// Records the limit that an answer of a server names; returns whether it changed the table.
    pub fn record_limit(&mut self, id: &ServerId, update: LimitUpdate) -> bool {
        let Some(known) = self.servers.get_mut(id) else {
            return false;
        };
        if known.announcement.start != update.start {
            return false;
        }
        let changed = match self.limits.get_mut(id, update.start) {
            Some(before) => before.apply(update),
            None => {
                self.limits
                    .insert(id, update.start, KnownLimit::new(update));
                update.rate.is_some()
            }
        };
        if changed {
            self.revision += 1;
            known.changed = self.revision;
        }
        changed
    }

    /// Returns the limit that a server's latest start names, or `None` if it names none.
    pub fn limit(&self, id: &ServerId) -> Option<Rate> {
        self.limit_update(self.servers.get(id)?)?.rate
    }

    /// Returns the latest limit updates of all servers that have named a limit since they started.
    pub fn limits(&self) -> impl Iterator<Item = (&ServerId, &LimitUpdate)> {
        let latest = |id: &ServerId| self.servers.get(id).map(|k| k.announcement.start);
        let limits = self.limits.iter();
        let named = limits.filter(move |(id, start, l)| l.named && latest(id) == Some(*start));
        named.map(|(id, _, limit)| (id, &limit.update))
    }

    /// Returns a server's latest limit update, if the server has named a limit since it started.
    fn limit_update(&self, known: &KnownServer) -> Option<&LimitUpdate> {
        let Announcement { id, start, .. } = &known.announcement;
        let limit = self.limits.get(id, *start).filter(|limit| limit.named);
        limit.map(|limit| &limit.update)
    }

    /// Returns the rank of a server's start, if the server holds its address.
    fn known_rank(&self, known: &KnownServer) -> Option<&KnownRank> {
        let server = &known.announcement;
        let holds = self.holders.get(&server.address) == Some(&server.id);
        let rank = self.ranks.get(&server.address).filter(|_| holds)?;
        (rank.update.start == server.start).then_some(rank)
    }

    /// Returns what changed after a revision, as entries for another table.
    pub fn since(&self, revision: u64, now: Moment) -> Vec<Entry> {
        let known = self.servers.values().filter(|k| k.changed > revision);
        let mut known: Vec<&KnownServer> = known.collect();
        // Later holders of an address come last, so that they win when the entries are merged.
        known.sort_unstable_by_key(|k| k.last_seen);
        known.into_iter().map(|k| self.to_entry(k, now)).collect()
    }

    /// Returns the servers in use whose heartbeats have not timed out.
    pub fn recent_servers(&self, now: Moment) -> Vec<SeenServer> {
        let last_seen = self.servers.values().filter(|k| k.is_recent(now));
        let last_seen = last_seen.map(|k| SeenServer {
            server: k.announcement.id.clone(),
            start: k.announcement.start,
            sequence: k.announcement.sequence,
            age: now.since(k.last_seen),
        });
        last_seen.collect()
    }

    /// Merges the last heartbeats in another table. Returns whether this table has all of these servers;
    /// otherwise a change was missed, and the other table is needed in full.
    pub fn merge_last_seen(&mut self, now: Moment, last_seen: &[SeenServer]) -> bool {
        let mut complete = true;
        for other in last_seen {
            let Some(known) = self.servers.get_mut(&other.server) else {
                complete &= self.deregistrations.contains_key(&other.server);
                continue;
            };
            let announced = &mut known.announcement;
            if other.start != announced.start || known.standing == Standing::Lost {
                complete &= other.start < announced.start;
                continue;
            }
            announced.sequence = announced.sequence.max(other.sequence);
            known.last_seen = known.last_seen.max(now - other.age);
        }
        complete
    }

    /// Returns the table's revision, a number that rises with each change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the revision that every gateway is to have soon, since an acknowledgement waits for it.
    pub fn awaited_revision(&self) -> u64 {
        self.awaited_revision
    }

    /// Returns all known servers.
    pub fn iter(&self) -> impl Iterator<Item = &KnownServer> {
        self.servers.values()
    }

    /// Returns one server.
    pub fn get(&self, id: &ServerId) -> Option<&KnownServer> {
        self.servers.get(id)
    }

    /// Returns the state of a start of a server. Missing heartbeats alone don't change it.
    pub fn start_state(&self, id: &ServerId, start: Incarnation) -> StartState {
        let Some(known) = self.servers.get(id) else {
            return StartState::Current;
        };
        let is_leaving = matches!(known.standing, Standing::Draining | Standing::Gone);
        let holder = self.holders.get(&known.announcement.address);
        if known.announcement.start != start {
            StartState::Replaced
        } else if is_leaving || self.leaving_since(id).is_some() {
            StartState::Leaving
        } else if holder.is_some_and(|holder| holder != id) {
            StartState::Replaced
        } else {
            StartState::Current
        }
    }

    /// Merges an entry of another table; returns whether the server's start or standing changed.
    pub fn merge_standing(&mut self, now: Moment, entry: Entry) -> bool {
        let id = entry.announcement.id.clone();
        let before = self.standing(&id);
        self.merge(now, entry);
        self.standing(&id) != before
    }

    /// Returns the known start of a server and its standing.
    fn standing(&self, id: &ServerId) -> Option<(Incarnation, Standing)> {
        let known = self.servers.get(id)?;
        Some((known.announcement.start, known.standing))
    }

    /// Marks servers whose heartbeats timed out as lost; returns whether that changed
    /// anything.
    ///
    /// Only the owner of a table that receives all heartbeats, or their times, may call this.
    pub fn expire(&mut self, now: Moment) -> bool {
        let before = self.revision;
        for known in self.servers.values_mut() {
            if known.standing == Standing::Ready && now >= known.last_seen + SILENCE_TIMEOUT {
                self.revision += 1;
                known.standing = Standing::Lost;
                known.changed = self.revision;
            }
        }
        self.forget(now);
        self.revision > before
    }

    /// Forgets servers that were lost or left a long time ago.
    pub fn forget(&mut self, now: Moment) {
        let past = |last_seen: Moment| now >= last_seen + RETENTION;
        self.servers
            .retain(|_, k| k.standing < Standing::Lost || !past(k.last_seen));
        let servers = &self.servers;
        self.holders.retain(|_, id| servers.contains_key(id));
        let is_latest = |id: &ServerId, start: Incarnation| {
            let known = servers.get(id);
            known.is_some_and(|k| k.announcement.start == start)
        };
        self.limits.retain(|id, start, _| is_latest(id, start));
        self.leaving.forget(now, is_latest);
        self.deregistrations.retain(|_, d| !past(d.at));
        // A rank is sent again only when it changes, so it is kept for as long as its server is.
        let is_held = |address: &SocketAddr| {
            let holder = self.holders.get(address);
            holder.is_some_and(|id| servers.contains_key(id))
        };
        self.ranks
            .retain(|address, rank| !past(rank.received) || is_held(address));
    }

    fn to_entry(&self, known: &KnownServer, now: Moment) -> Entry {
        let rank = self.known_rank(known);
        let cold_left = known.last_seen.until(known.cold_until);
        Entry {
            announcement: Announcement {
                cold_left,
                ..known.announcement.clone()
            },
            standing: known.standing,
            age: now.since(known.last_seen),
            rank: rank.map(|rank| RankEntry {
                update: rank.update.clone(),
                age: now.since(rank.received),
            }),
            limit: self
                .limit_update(known)
                .map(|update| LimitEntry::new(update, now)),
            leaving: self
                .leaving_since(&known.announcement.id)
                .map(|first| now.since(first)),
        }
    }

    /// Applies an announcement with the standing that it leads to; returns whether it changed more
    /// than the time.
    ///
    /// Failure guarded against: a delayed heartbeat arrives after a later one, or after the
    /// server's deregistration, and brings back a server that is leaving or gone.
    fn apply(&mut self, last_seen: Moment, announcement: Announcement, standing: Standing) -> bool {
        let report = Report {
            start: announcement.start,
            sequence: announcement.sequence,
            standing,
            last_seen,
        };
        let deregistration = self.deregistrations.get(&announcement.id).copied();
        let Some(known) = self.servers.get_mut(&announcement.id) else {
            return match deregistration.filter(|d| d.covers(announcement.start)) {
                Some(d) => self.put(d.at.max(last_seen), announcement, Standing::Gone),
                None => self.put(last_seen, announcement, standing),
            };
        };
        let last = known.report();
        if report.start != last.start {
            if !report.outranks(&last) {
                return false;
            }
            // Failure guarded against: the deregistration of this start arrived and was acknowledged
            // while only the previous start was known here, although heartbeats of this one had
            // already reached other controllers.
            let deregistration = deregistration.filter(|d| d.covers(announcement.start));
            return match deregistration.filter(|d| last_seen <= d.at) {
                Some(d) => self.put(d.at, announcement, Standing::Gone),
                None => self.put(last_seen, announcement, standing),
            };
        }
        let Some(standing) = last.merged_standing(&report) else {
            if report.sequence == last.sequence && standing != Standing::Gone {
                known.last_seen = known.last_seen.max(last_seen);
            }
            return false;
        };
        let cold_until = last_seen + announcement.cold_left;
        let turned_cold = announcement.cold_left > Span::default()
            && cold_until >= known.cold_until + COLD_TOLERANCE;
        let same = !turned_cold
            && known.standing == standing
            && known.announcement.address == announcement.address
            && known.announcement.slots == announcement.slots;
        if same && standing != Standing::Lost {
            known.last_seen = known.last_seen.max(last_seen);
            known.announcement = announcement;
            return false;
        }
        self.put(last_seen, announcement, standing)
    }

    fn put(&mut self, last_seen: Moment, announcement: Announcement, standing: Standing) -> bool {
        self.revision += 1;
        let (id, address) = (announcement.id.clone(), announcement.address);
        let known = KnownServer {
            cold_until: last_seen + announcement.cold_left,
            announcement,
            standing,
            last_seen,
            changed: self.revision,
        };
        self.servers.insert(id.clone(), known);
        if matches!(standing, Standing::Ready | Standing::Draining) {
            self.assign_address(address, id);
        }
        true
    }

    /// Decides whether a server or the previous holder of its address holds the address; the other
    /// one is lost.
    ///
    /// Failure guarded against: a server crashes, another one gets its address, and requests for
    /// the first one reach the second. The server that started last holds the address. If servers
    /// don't report their starts, the server with the latest heartbeat holds it: a delayed heartbeat may
    /// then take the address away until the holder's next heartbeat. Even in that time no request
    /// runs at the wrong server, because each request names its instance.
    fn assign_address(&mut self, address: SocketAddr, id: ServerId) {
        let report = self.servers[&id].report();
        let Some(other) = self.holders.insert(address, id.clone()) else {
            return;
        };
        if other == id {
            return;
        }
        let Some(known) = self.servers.get(&other) else {
            return;
        };
        let (loser, winner) = if known.report().outranks(&report) {
            (id, other)
        } else {
            (other, id)
        };
        self.holders.insert(address, winner);
        self.revision += 1;
        let revision = self.revision;
        if let Some(known) = self.servers.get_mut(&loser) {
            if known.standing < Standing::Lost {
                known.standing = Standing::Lost;
            }
            known.changed = revision;
        }
    }
}

impl KnownServer {
    /// Whether it is in use and its heartbeats have not timed out.
    fn is_recent(&self, now: Moment) -> bool {
        let in_use = matches!(self.standing, Standing::Ready | Standing::Draining);
        in_use && now < self.last_seen + SILENCE_TIMEOUT
    }

    fn report(&self) -> Report {
        Report {
            start: self.announcement.start,
            sequence: self.announcement.sequence,
            standing: self.standing,
            last_seen: self.last_seen,
        }
    }
}
