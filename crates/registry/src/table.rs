//! The servers that are known, with their last word.
//!
//! Controllers fill a table from heartbeats and from each other; gateways fill theirs from the
//! controllers. Entries of two tables merge in any order: of a server's starts the later one wins, of one
//! start the higher sequence, and a good-bye wins over every heartbeat before it.

use std::collections::HashMap;
use std::net::SocketAddr;

use snipemast_core::data;
use snipemast_core::prelude::*;
use snipemast_core::starts::Starts;

use crate::announcement::{Announcement, Standing};
use crate::leaving::{LeavingServer, LeavingServers};
use crate::limit::{KnownLimit, LimitEntry, LimitUpdate};
use crate::rank::{GroupRank, KnownRank, RankEntry, RankUpdate};

/// How long a server that is not heard any more is kept: past any cut between it and control
/// that gateways don't share, so that only their own failures take it out of use. No heartbeat is as late
/// as this, so what is heard after it was said after it.
pub const SILENCE: Span = Span::from_secs(30);

/// How long a good-bye is remembered: longer than any heartbeat can be late.
pub const MEMORY: Span = Span::from_secs(120);

data! {
    /// What one table tells another of a server.
    pub struct Entry {
        /// The server's last heartbeat.
        pub announcement: Announcement,
        /// Its standing.
        pub standing: Standing,
        /// How long ago it was heard.
        pub age: Span,
        /// Its place in a group, where that is known.
        pub rank: Option<RankEntry>,
        /// What was told of its limit, where it has named one.
        pub limit: Option<LimitEntry>,
        /// How long ago this start said first in an answer that it leaves, if it did.
        pub leaving: Option<Span>,
    }
}

/// What a table holds of a server.
#[derive(Debug, Clone)]
pub struct KnownServer {
    /// Its last heartbeat.
    pub announcement: Announcement,
    /// Its standing.
    pub standing: Standing,
    /// When it was heard, at any controller.
    pub heard: Moment,
    /// The place of its last change.
    changed: u64,
}

/// The servers that are known.
#[derive(Debug, Clone, Default)]
pub struct Table {
    servers: HashMap<ServerId, KnownServer>,
    holders: HashMap<SocketAddr, ServerId>,
    ranks: HashMap<SocketAddr, KnownRank>,
    /// What answers told last of servers' limits.
    limits: Starts<KnownLimit>,
    leaving: LeavingServers,
    /// When servers said good-bye here last: it may be for a start that is not known here yet.
    departed: HashMap<ServerId, Moment>,
    revision: u64,
}

impl Table {
    /// A table that knows nobody.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a heartbeat; true where it changed more than the time.
    pub fn record_heartbeat(&mut self, now: Moment, announcement: Announcement) -> bool {
        let standing = announcement.standing();
        self.take(now, announcement, standing)
    }

    /// Takes a good-bye; true where it is news.
    ///
    /// A good-bye names no start. It is taken for the latest that is known, and remembered: the server may
    /// have been heard by other controllers only, or have started again since it was heard here.
    pub fn record_goodbye(&mut self, now: Moment, id: &ServerId) -> bool {
        self.departed.insert(id.clone(), now);
        match self.servers.get(id) {
            Some(known) if known.standing != Standing::Gone => {
                let announcement = known.announcement.clone();
                self.put(now, announcement, Standing::Gone)
            }
            _ => false,
        }
    }

    /// Takes what another table says; true where it changed more than the time.
    pub fn merge(&mut self, now: Moment, entry: Entry) -> bool {
        let heard = now - entry.age;
        let told = entry.rank.map(|r| (now - r.age, r.word));
        let (id, start) = (entry.announcement.id.clone(), entry.announcement.start);
        let changed = self.take(heard, entry.announcement, entry.standing);
        let ranked = told.is_some_and(|(at, word)| self.record_rank(at, word));
        let limit = entry.limit.map(|limit| limit.to_update(now));
        let limited = limit.is_some_and(|word| self.record_limit(&id, word));
        let leaving = entry.leaving.map(|age| now - age);
        let leaves = leaving.is_some_and(|first| self.put_leaving(first, &id, start, true));
        changed || ranked || limited || leaves
    }

    /// Takes an answer's word that a start of a server leaves, whatever it announces; true where that is news.
    pub fn record_leaving(&mut self, now: Moment, id: &ServerId, start: Incarnation) -> bool {
        self.put_leaving(now, id, start, false)
    }

    /// Takes what a gateway tells of a server that leaves; true where that is news.
    pub fn merge_leaving(&mut self, now: Moment, told: &LeavingServer) -> bool {
        self.put_leaving(now - told.age, &told.server, told.start, true)
    }

    /// When the latest start of a server said first that it leaves; nothing where it did not.
    pub fn leaving_since(&self, id: &ServerId) -> Option<Moment> {
        let start = self.servers.get(id)?.announcement.start;
        self.leaving.first(id, start)
    }

    /// The servers on offer that leave, as far as no controller is known to have heard of it.
    pub fn unreported_leaving(&self, now: Moment) -> Vec<LeavingServer> {
        let offered = |leaving: &LeavingServer| {
            let known = self.servers.get(&leaving.server);
            known.is_some_and(|k| {
                k.announcement.start == leaving.start && k.standing == Standing::Ready
            })
        };
        self.leaving.unspread(now).filter(offered).collect()
    }

    fn put_leaving(
        &mut self,
        first: Moment,
        id: &ServerId,
        start: Incarnation,
        spread: bool,
    ) -> bool {
        if !self.leaving.note(first, id, start, spread) {
            return false;
        }
        let known = self.servers.get_mut(id);
        if let Some(known) = known.filter(|k| k.announcement.start == start) {
            self.revision += 1;
            known.changed = self.revision;
        }
        true
    }

    /// Takes what the process beside a rank told at a moment; true where it is news.
    ///
    /// The word that was told last holds, whatever group it names: a rank may move to a group whose epochs are
    /// lower. Of one process the words are numbered, and one that was long on its way is outdated. It is kept by address, because it may come before the first heartbeat of the server's start.
    pub fn record_rank(&mut self, told: Moment, word: RankUpdate) -> bool {
        let address = word.address;
        let before = self.ranks.get(&address);
        if before.is_some_and(|known| !known.yields_to(&word, told)) {
            return false;
        }
        let changed = before.is_none_or(|known| !known.word.has_same_rank(&word));
        self.ranks.insert(address, KnownRank { word, told });
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

    /// The place of a server in its group, where that is known.
    pub fn rank(&self, known: &KnownServer) -> Option<&GroupRank> {
        self.known_rank(known)?.word.rank.as_ref()
    }

    /// Takes what an answer of a server tells of its limit; true where it is news.
    pub fn record_limit(&mut self, id: &ServerId, word: LimitUpdate) -> bool {
        let Some(known) = self.servers.get_mut(id) else {
            return false;
        };
        if known.announcement.start != word.start {
            return false;
        }
        let changed = match self.limits.get_mut(id, word.start) {
            Some(before) => before.take(word),
            None => {
                self.limits.insert(id, word.start, KnownLimit::new(word));
                word.rate.is_some()
            }
        };
        if changed {
            self.revision += 1;
            known.changed = self.revision;
        }
        changed
    }

    /// The limit that a server's latest start names; nothing where it names none.
    pub fn limit(&self, id: &ServerId) -> Option<Rate> {
        self.limit_word(self.servers.get(id)?)?.rate
    }

    /// What was told of the limits of all servers that have named one since they started.
    pub fn limits(&self) -> impl Iterator<Item = (&ServerId, &LimitUpdate)> {
        let latest = |id: &ServerId| self.servers.get(id).map(|k| k.announcement.start);
        let limits = self.limits.iter();
        let named = limits.filter(move |(id, start, l)| l.named && latest(id) == Some(*start));
        named.map(|(id, _, limit)| (id, &limit.word))
    }

    /// What was told of the limit of a server that has named one since it started.
    fn limit_word(&self, known: &KnownServer) -> Option<&LimitUpdate> {
        let Announcement { id, start, .. } = &known.announcement;
        let limit = self.limits.get(id, *start).filter(|limit| limit.named);
        limit.map(|limit| &limit.word)
    }

    /// What was told of the start of a server that holds its address.
    fn known_rank(&self, known: &KnownServer) -> Option<&KnownRank> {
        let said = &known.announcement;
        let holds = self.holders.get(&said.address) == Some(&said.id);
        let told = self.ranks.get(&said.address).filter(|_| holds)?;
        (told.word.start == said.start).then_some(told)
    }

    /// What changed after a place, as another table takes it.
    pub fn since(&self, place: u64, now: Moment) -> Vec<Entry> {
        let known = self.servers.values().filter(|k| k.changed > place);
        let mut known: Vec<&KnownServer> = known.collect();
        // Later holders of an address come last, so that they win where they are merged.
        known.sort_unstable_by_key(|k| k.heard);
        known.into_iter().map(|k| self.to_entry(k, now)).collect()
    }

    /// The place of the last change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Every server that is known.
    pub fn iter(&self) -> impl Iterator<Item = &KnownServer> {
        self.servers.values()
    }

    /// One server.
    pub fn get(&self, id: &ServerId) -> Option<&KnownServer> {
        self.servers.get(id)
    }

    /// Takes what another table says; true where a server's start or standing changed by it.
    pub fn merge_standing(&mut self, now: Moment, entry: Entry) -> bool {
        let id = entry.announcement.id.clone();
        let before = self.standing(&id);
        self.merge(now, entry);
        self.standing(&id) != before
    }

    /// Which start of a server is known, and its standing.
    fn standing(&self, id: &ServerId) -> Option<(Incarnation, Standing)> {
        let known = self.servers.get(id)?;
        Some((known.announcement.start, known.standing))
    }

    /// Gives up who was silent for long; true where that is a change.
    ///
    /// Only a table that hears heartbeats, or hears of each one, may call this.
    pub fn expire(&mut self, now: Moment) -> bool {
        let place = self.revision;
        for known in self.servers.values_mut() {
            if known.standing == Standing::Ready && now >= known.heard + SILENCE {
                self.revision += 1;
                known.standing = Standing::Lost;
                known.changed = self.revision;
            }
        }
        self.forget(now);
        self.revision > place
    }

    /// Forgets servers that left or were lost long ago.
    pub fn forget(&mut self, now: Moment) {
        let past = |heard: Moment| now >= heard + MEMORY;
        self.servers
            .retain(|_, k| k.standing < Standing::Lost || !past(k.heard));
        let servers = &self.servers;
        self.holders.retain(|_, id| servers.contains_key(id));
        let is_latest = |id: &ServerId, start: Incarnation| {
            let known = servers.get(id);
            known.is_some_and(|k| k.announcement.start == start)
        };
        self.limits.retain(|id, start, _| is_latest(id, start));
        self.leaving.forget(now, is_latest);
        self.departed.retain(|_, at| !past(*at));
        self.ranks.retain(|_, rank| !past(rank.told));
    }

    fn to_entry(&self, known: &KnownServer, now: Moment) -> Entry {
        let rank = self.known_rank(known);
        Entry {
            announcement: known.announcement.clone(),
            standing: known.standing,
            age: now.since(known.heard),
            rank: rank.map(|rank| RankEntry {
                word: rank.word.clone(),
                age: now.since(rank.told),
            }),
            limit: self
                .limit_word(known)
                .map(|word| LimitEntry::new(word, now)),
            leaving: self
                .leaving_since(&known.announcement.id)
                .map(|first| now.since(first)),
        }
    }

    /// Failure guarded against: a heartbeat that was held up arrives after a later one, or after
    /// the server's good-bye, and brings back a server that leaves or left.
    fn take(&mut self, heard: Moment, announcement: Announcement, standing: Standing) -> bool {
        let said = Word {
            start: announcement.start,
            sequence: announcement.sequence,
            standing,
            heard,
        };
        let departed = self.departed.get(&announcement.id).copied();
        let Some(known) = self.servers.get_mut(&announcement.id) else {
            return match departed {
                Some(at) => self.put(at.max(heard), announcement, Standing::Gone),
                None => self.put(heard, announcement, standing),
            };
        };
        let last = known.word();
        if said.start != last.start {
            if !said.outranks(&last) {
                return false;
            }
            // Failure guarded against: the good-bye of this start came here while only the one before it was
            // known, and was acknowledged; other controllers had heard the start before that.
            return match departed.filter(|at| heard <= *at) {
                Some(at) => self.put(at, announcement, Standing::Gone),
                None => self.put(heard, announcement, standing),
            };
        }
        let Some(standing) = last.joined(&said) else {
            if said.sequence == last.sequence && standing != Standing::Gone {
                known.heard = known.heard.max(heard);
            }
            return false;
        };
        let same = known.standing == standing
            && known.announcement.address == announcement.address
            && known.announcement.slots == announcement.slots;
        if same && standing != Standing::Lost {
            known.heard = known.heard.max(heard);
            known.announcement = announcement;
            return false;
        }
        self.put(heard, announcement, standing)
    }

    fn put(&mut self, heard: Moment, announcement: Announcement, standing: Standing) -> bool {
        self.revision += 1;
        let (id, address) = (announcement.id.clone(), announcement.address);
        let known = KnownServer {
            announcement,
            standing,
            heard,
            changed: self.revision,
        };
        self.servers.insert(id.clone(), known);
        if matches!(standing, Standing::Ready | Standing::Draining) {
            self.hold(address, id);
        }
        true
    }

    /// Failure guarded against: a server crashed, another one got its address, and requests for
    /// the first reach the second. Whoever started last holds the address, and where servers do not
    /// tell their starts, whoever was heard last: then a held-up heartbeat may take it away until the
    /// holder's next one, and the instance that each request names keeps even those requests from
    /// running at the wrong server.
    fn hold(&mut self, address: SocketAddr, id: ServerId) {
        let word = self.servers[&id].word();
        let Some(other) = self.holders.insert(address, id.clone()) else {
            return;
        };
        if other == id {
            return;
        }
        let Some(known) = self.servers.get(&other) else {
            return;
        };
        let (loser, winner) = if known.word().outranks(&word) {
            (id, other)
        } else {
            (other, id)
        };
        self.holders.insert(address, winner);
        self.revision += 1;
        let place = self.revision;
        if let Some(known) = self.servers.get_mut(&loser) {
            if known.standing < Standing::Lost {
                known.standing = Standing::Lost;
            }
            known.changed = place;
        }
    }
}

/// The last word of one start of a server.
#[derive(Debug, Clone, Copy)]
struct Word {
    start: Incarnation,
    sequence: u64,
    standing: Standing,
    heard: Moment,
}

impl Word {
    /// Whether it is of a later start than another word, of the same server or of one at its address.
    ///
    /// Starts are ordered by the time that servers give for them. A clock that is set back between two
    /// starts turns them round, so a start that is heard long after the other one fell silent is later.
    fn outranks(&self, other: &Self) -> bool {
        if self.start == other.start {
            return self.heard > other.heard;
        }
        if self.start > other.start {
            return other.heard < self.heard + SILENCE;
        }
        self.heard >= other.heard + SILENCE
    }

    /// The standing after one more word of the same start; nothing where that is outdated.
    fn joined(&self, said: &Self) -> Option<Standing> {
        let outdated = said.sequence <= self.sequence;
        if self.standing == Standing::Gone {
            return (!outdated && said.is_after(self)).then_some(said.standing);
        }
        if said.standing == Standing::Gone {
            let before = self.sequence > said.sequence && self.is_after(said);
            return (!before).then_some(Standing::Gone);
        }
        if outdated && said.standing <= self.standing {
            return None;
        }
        Some(match self.standing {
            // A server that began to leave goes on leaving until it starts again.
            Standing::Draining => said.standing.max(Standing::Draining),
            _ => said.standing,
        })
    }

    /// Whether it shows that a good-bye was not this start's: the good-bye of the start before it was
    /// held up and crossed its first heartbeats, and it goes on announcing itself.
    fn is_after(&self, farewell: &Self) -> bool {
        self.standing != Standing::Gone && self.heard >= farewell.heard + SILENCE
    }
}

impl KnownServer {
    fn word(&self) -> Word {
        Word {
            start: self.announcement.start,
            sequence: self.announcement.sequence,
            standing: self.standing,
            heard: self.heard,
        }
    }
}
