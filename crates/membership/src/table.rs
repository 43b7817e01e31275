//! What one entry knows of all entries and the agents that they own.
//!
//! The view of agents is the union over the owned sets of all owners that are not gone. Each row
//! is ordered by (incarnation, version), and at one version a verdict goes over the owner's word;
//! merging takes the larger, so order and repetition of arrivals make no difference.

use std::collections::{BTreeMap, BTreeSet};

use snipemast_core::data;
use snipemast_core::prelude::*;

use crate::card::{AgentCard, NodeCard};
use crate::owned::{Delta, OwnedSet};

/// How many tombs are kept; over the bound the oldest go first.
pub const MAX_TOMBS: usize = 4_096;

data! {
    /// A word of others on an entry, or its last word on itself.
    pub struct Verdict {
        /// The entry it is about.
        pub process: ProcessId,
        /// Its zone: only entries of that zone judge it.
        pub zone: ZoneId,
        /// The version of the entry's set that was known when it was judged.
        pub version: u64,
        /// What it says.
        pub kind: VerdictKind,
    }

    /// What a verdict says.
    pub enum VerdictKind {
        /// These entries get no answer from it.
        Suspect(BTreeSet<HostId>),
        /// It gave no answer for too long.
        Dead,
        /// It left.
        Left,
    }
}

/// Whether an entry is thought to be there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Standing {
    /// Nothing speaks against it.
    Alive,
    /// These entries get no answer from it, since a moment of ours.
    Suspect {
        /// Who gets none.
        by: BTreeSet<HostId>,
        /// When this process first heard of it.
        since: Moment,
    },
}

/// What is known of one entry.
#[derive(Debug, Clone)]
pub struct Row {
    /// Its description of itself.
    pub card: NodeCard,
    /// The agents that it owns.
    pub set: OwnedSet,
    /// Whether it is thought to be there.
    pub standing: Standing,
    /// How often it was suspected and proved alive, which earns it patience.
    pub refuted: u32,
}

/// The trace of an entry that is gone, kept so that old news can't bring it back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tomb {
    /// The version at which it went; a later one of the same incarnation brings it back.
    ///
    /// To leave is final for an incarnation, and stands here as the largest version.
    pub version: u64,
    /// The incarnation that went.
    pub incarnation: Incarnation,
    /// Its zone.
    pub zone: ZoneId,
    /// When this process heard of it.
    pub since: Moment,
}

/// What taking a piece of news changed.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Taken {
    /// Whether it was news.
    pub news: bool,
    /// Whether the piece started after what is known, so that the row must be asked for.
    pub gap: bool,
    /// The agents' hosts whose place in the view may have changed.
    pub touched: Vec<HostId>,
    /// Whether another process was found under the same id, and where.
    pub clash: Option<NodeCard>,
}

/// All rows, the tombs, and the union over the owned sets.
#[derive(Debug, Clone, Default)]
pub struct Table {
    rows: BTreeMap<HostId, Row>,
    tombs: BTreeMap<HostId, Tomb>,
    holders: BTreeMap<HostId, BTreeSet<HostId>>,
    revision: u64,
}

impl Table {
    /// Every entry that is not gone.
    pub fn rows(&self) -> &BTreeMap<HostId, Row> {
        &self.rows
    }

    /// A number that rises whenever a row changes.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// What is known of an entry that is not gone.
    pub fn row(&self, host: &HostId) -> Option<&Row> {
        self.rows.get(host)
    }

    /// The entries that are gone.
    pub fn tombstones(&self) -> &BTreeMap<HostId, Tomb> {
        &self.tombs
    }

    /// The hosts of all agents that at least one owner has.
    pub fn agents(&self) -> impl Iterator<Item = &HostId> {
        self.holders.keys()
    }

    /// The owners that have this agent, by host.
    pub fn owners(&self, agent: &HostId) -> impl Iterator<Item = &Row> {
        let hosts = self.holders.get(agent).into_iter().flatten();
        hosts.filter_map(|h| self.rows.get(h))
    }

    /// The latest card of an agent over all its owners.
    pub fn agent(&self, host: &HostId) -> Option<&AgentCard> {
        let cards = self.owners(host).filter_map(|row| row.set.card(host));
        cards.fold(None, |best: Option<&AgentCard>, card| match best {
            Some(best) if !card.is_after(best) => Some(best),
            _ => Some(card),
        })
    }

    /// Adds the row of this process itself.
    pub fn insert(&mut self, card: NodeCard) {
        let mut set = OwnedSet::default();
        set.raise(0);
        self.rows
            .insert(card.process.host.clone(), Row::new(card, set));
    }

    /// Changes the set of this process itself and keeps the union in step.
    pub fn change<T>(&mut self, own: &HostId, change: impl FnOnce(&mut Row) -> T) -> Option<T> {
        self.revision += 1;
        let row = self.rows.get_mut(own)?;
        let result = change(row);
        self.reindex(own);
        Some(result)
    }

    /// The news of an owner since a version.
    pub fn since(&self, owner: &HostId, version: u64) -> Option<Delta> {
        let row = self.rows.get(owner)?;
        let (from, changes) = row.set.since(version);
        Some(Delta {
            card: row.card.clone(),
            from,
            to: row.set.version(),
            changes,
        })
    }

    /// Takes an owner's news.
    pub fn take(&mut self, delta: &Delta) -> Taken {
        let process = &delta.card.process;
        if self.is_buried(process, delta.to) {
            return Taken::default();
        }
        let host = &process.host;
        let known = self.rows.get(host).map(|r| r.card.process.incarnation);
        match known {
            Some(known) if process.incarnation < known => return Taken::default(),
            Some(known) if process.incarnation == known => {}
            _ if delta.from > 0 => return Taken::with_gap(),
            _ => return self.restart(delta),
        }
        let Some(row) = self.rows.get_mut(host) else {
            return Taken::default();
        };
        let clash = (row.card.address != delta.card.address).then(|| delta.card.clone());
        let before = row.set.version();
        let Ok(touched) = row.set.apply(delta) else {
            return Taken::with_gap();
        };
        if row.set.version() == before {
            return Taken {
                clash,
                ..Taken::default()
            };
        }
        self.revision += 1;
        row.card = delta.card.clone();
        if row.standing != Standing::Alive {
            row.standing = Standing::Alive;
            row.refuted = row.refuted.saturating_add(1);
        }
        self.index(host, &touched);
        Taken {
            news: true,
            gap: false,
            touched,
            clash,
        }
    }

    /// Takes a verdict on an entry.
    pub fn judge(&mut self, now: Moment, verdict: &Verdict) -> Taken {
        let process = &verdict.process;
        if self.is_buried(process, verdict.rank()) {
            return Taken::default();
        }
        let row = self.rows.get_mut(&process.host);
        let known = row.as_ref().map(|r| r.card.process.incarnation);
        if known.is_some_and(|k| k > process.incarnation) {
            return Taken::default();
        }
        match &verdict.kind {
            VerdictKind::Suspect(by) => match row {
                Some(row) if row.is_judged_by(verdict) => row.suspect(now, by),
                _ => Taken::default(),
            },
            VerdictKind::Dead => match row {
                Some(row) if !row.is_judged_by(verdict) => Taken::default(),
                _ => self.bury(now, verdict),
            },
            VerdictKind::Left => self.bury(now, verdict),
        }
    }

    /// Forgets tombs that are older than a span, and rows of the given zones.
    ///
    /// Failure guarded against: processes forget a zone at different moments, and each gets the
    /// rows back from one that has not forgotten yet, for good. A forgotten row leaves a tomb.
    pub fn forget(&mut self, now: Moment, keep: Span, zones: &[ZoneId]) -> Vec<HostId> {
        self.tombs.retain(|_, t| now.since(t.since) < keep);
        if zones.is_empty() {
            return Vec::new();
        }
        let lost: Vec<_> = self
            .rows
            .iter()
            .filter(|(_, r)| zones.contains(&r.card.zone))
            .map(|(h, _)| h.clone())
            .collect();
        lost.iter().flat_map(|h| self.forget_row(now, h)).collect()
    }

    /// Whether old news of this process must not bring it back.
    ///
    /// Failure guarded against: after a heal, a zone that slept through a death tells of the dead
    /// entry as alive. It shows as agents that are routed to for nothing. The tomb's (incarnation,
    /// version) is not below the old news, so the news is passed over; the entry itself, should it
    /// live, raises its version past the tomb.
    fn is_buried(&self, process: &ProcessId, version: u64) -> bool {
        self.tombs
            .get(&process.host)
            .is_some_and(|t| (process.incarnation, version) <= (t.incarnation, t.version))
    }

    fn restart(&mut self, delta: &Delta) -> Taken {
        self.revision += 1;
        let host = &delta.card.process.host;
        let mut touched = self.drop_row(host);
        self.tombs.remove(host);
        let mut row = Row::new(delta.card.clone(), OwnedSet::default());
        touched.extend(row.set.apply(delta).unwrap_or_default());
        self.rows.insert(host.clone(), row);
        self.reindex(host);
        Taken {
            news: true,
            touched,
            ..Taken::default()
        }
    }

    fn bury(&mut self, now: Moment, verdict: &Verdict) -> Taken {
        let host = &verdict.process.host;
        let touched = self.drop_row(host);
        let tomb = Tomb {
            version: verdict.rank(),
            incarnation: verdict.process.incarnation,
            zone: verdict.zone.clone(),
            since: now,
        };
        self.tombs.insert(host.clone(), tomb);
        if self.tombs.len() > MAX_TOMBS {
            let oldest = self.tombs.iter().min_by_key(|(_, t)| t.since);
            if let Some(oldest) = oldest.map(|(h, _)| h.clone()) {
                self.tombs.remove(&oldest);
            }
        }
        Taken {
            news: true,
            touched,
            ..Taken::default()
        }
    }

    fn forget_row(&mut self, now: Moment, host: &HostId) -> Vec<HostId> {
        let Some(row) = self.rows.get(host) else {
            return Vec::new();
        };
        let verdict = Verdict {
            process: row.card.process.clone(),
            zone: row.card.zone.clone(),
            version: row.set.version(),
            kind: VerdictKind::Dead,
        };
        self.bury(now, &verdict).touched
    }

    fn drop_row(&mut self, host: &HostId) -> Vec<HostId> {
        self.revision += 1;
        let Some(row) = self.rows.remove(host) else {
            return Vec::new();
        };
        let touched: Vec<_> = row.set.cards().map(|c| c.agent.host.clone()).collect();
        self.index(host, &touched);
        touched
    }

    /// Brings the union in step with one owner's set, for these agents.
    fn index(&mut self, owner: &HostId, agents: &[HostId]) {
        for agent in agents {
            let has = self
                .rows
                .get(owner)
                .is_some_and(|r| r.set.card(agent).is_some());
            if has {
                let holders = self.holders.entry(agent.clone()).or_default();
                holders.insert(owner.clone());
            } else if let Some(holders) = self.holders.get_mut(agent) {
                holders.remove(owner);
                if holders.is_empty() {
                    self.holders.remove(agent);
                }
            }
        }
    }

    fn reindex(&mut self, owner: &HostId) {
        let has = |(agent, holders): (&HostId, &BTreeSet<HostId>)| {
            holders.contains(owner).then(|| agent.clone())
        };
        let mut agents: Vec<_> = self.holders.iter().filter_map(has).collect();
        if let Some(row) = self.rows.get(owner) {
            agents.extend(row.set.cards().map(|c| c.agent.host.clone()));
        }
        self.index(owner, &agents);
    }
}

impl Verdict {
    /// The version up to which the verdict holds.
    fn rank(&self) -> u64 {
        match self.kind {
            VerdictKind::Suspect(_) | VerdictKind::Dead => self.version,
            VerdictKind::Left => u64::MAX,
        }
    }
}

impl Row {
    fn new(card: NodeCard, set: OwnedSet) -> Self {
        Self {
            card,
            set,
            standing: Standing::Alive,
            refuted: 0,
        }
    }

    /// Whether the verdict is on this incarnation and knew its latest word.
    pub(crate) fn is_judged_by(&self, verdict: &Verdict) -> bool {
        verdict.process.incarnation > self.card.process.incarnation
            || verdict.version >= self.set.version()
    }

    fn suspect(&mut self, now: Moment, more: &BTreeSet<HostId>) -> Taken {
        let news = match &mut self.standing {
            Standing::Alive => {
                let by = more.clone();
                self.standing = Standing::Suspect { by, since: now };
                true
            }
            Standing::Suspect { by, .. } => {
                let before = by.len();
                by.extend(more.iter().cloned());
                by.len() > before
            }
        };
        Taken {
            news,
            ..Taken::default()
        }
    }
}

impl Taken {
    fn with_gap() -> Self {
        Self {
            gap: true,
            ..Self::default()
        }
    }
}
