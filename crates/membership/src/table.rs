//! What one entry knows of all entries and the agents that they own.
//!
//! The view of agents is the union over the owned sets of all owners that are not gone. Rows are
//! ordered by (incarnation, version), and at the same version a verdict outranks the owner's own
//! news. Merging takes the larger one, so the order and repetition of messages make no difference.

use std::collections::{BTreeMap, BTreeSet};

use snipemast_core::data;
use snipemast_core::prelude::*;

use crate::card::{AgentCard, NodeCard};
use crate::owned::{Delta, OwnedSet};

/// How many tombstones are kept; beyond this bound the oldest are dropped first.
pub const MAX_TOMBSTONES: usize = 4_096;

data! {
    /// A statement of other entries about an entry, or its own statement that it leaves.
    pub struct Verdict {
        /// The entry that the verdict is about.
        pub process: ProcessId,
        /// The entry's zone; only entries of the same zone judge it.
        pub zone: ZoneId,
        /// The version of the entry's set that was known when it was judged.
        pub version: u64,
        /// What the verdict says.
        pub kind: VerdictKind,
    }

    /// What a verdict says.
    pub enum VerdictKind {
        /// The entry is suspected: these entries get no answer from it.
        Suspect(BTreeSet<HostId>),
        /// The entry gave no answer for too long.
        Dead,
        /// The entry left.
        Left,
    }
}

/// Whether an entry is considered alive.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Standing {
    /// No other entry suspects it.
    Alive,
    /// Some entries get no answer from it.
    Suspect {
        /// The entries that get no answer.
        by: BTreeSet<HostId>,
        /// When this process first heard of the suspicion.
        since: Moment,
    },
}

/// What is known of one entry.
#[derive(Debug, Clone)]
pub struct Row {
    /// The entry's description of itself.
    pub card: NodeCard,
    /// The agents that it owns.
    pub set: OwnedSet,
    /// Whether it is considered alive.
    pub standing: Standing,
    /// How often it was suspected and proved alive; each time lengthens its suspicion timeout.
    pub refuted: u32,
}

/// The trace of an entry that is gone, kept so that old news can't bring the entry back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tombstone {
    /// The version at which the entry was removed; a later version of the same incarnation brings
    /// it back.
    ///
    /// Leaving is final for an incarnation, and is stored as the largest version.
    pub version: u64,
    /// The incarnation that was removed.
    pub incarnation: Incarnation,
    /// The entry's zone.
    pub zone: ZoneId,
    /// When this process heard of the removal.
    pub since: Moment,
}

/// What applying a delta or a verdict changed.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Applied {
    /// Whether it was news.
    pub news: bool,
    /// Whether the delta started after the known version, so that the row must be asked for.
    pub gap: bool,
    /// The hosts of the agents whose view may have changed.
    pub touched: Vec<HostId>,
    /// Another process that was found under the same id.
    pub clash: Option<NodeCard>,
}

/// All rows, the tombstones, and the union over the owned sets.
#[derive(Debug, Clone, Default)]
pub struct Table {
    rows: BTreeMap<HostId, Row>,
    tombstones: BTreeMap<HostId, Tombstone>,
    /// The owners of each agent.
    holders: BTreeMap<HostId, BTreeSet<HostId>>,
    revision: u64,
}

impl Table {
    /// Returns all entries that are not gone.
    pub fn rows(&self) -> &BTreeMap<HostId, Row> {
        &self.rows
    }

    /// Returns the table's revision, a number that rises whenever a row changes.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns what is known of an entry that is not gone.
    pub fn row(&self, host: &HostId) -> Option<&Row> {
        self.rows.get(host)
    }

    /// Returns the tombstones of the entries that are gone.
    pub fn tombstones(&self) -> &BTreeMap<HostId, Tombstone> {
        &self.tombstones
    }

    /// Returns the hosts of all agents that have at least one owner.
    pub fn agents(&self) -> impl Iterator<Item = &HostId> {
        self.holders.keys()
    }

    /// Whether an agent has at least one owner.
    pub fn is_owned(&self, agent: &HostId) -> bool {
        self.holders.contains_key(agent)
    }

    /// Returns the owners of this agent, ordered by host.
    pub fn owners(&self, agent: &HostId) -> impl Iterator<Item = &Row> {
        let hosts = self.holders.get(agent).into_iter().flatten();
        hosts.filter_map(|h| self.rows.get(h))
    }

    /// Returns the latest card of an agent over all its owners.
    pub fn agent(&self, host: &HostId) -> Option<&AgentCard> {
        let cards = self.owners(host).filter_map(|row| row.set.card(host));
        cards.fold(None, |best: Option<&AgentCard>, card| match best {
            Some(best) if !card.is_newer_than(best) => Some(best),
            _ => Some(card),
        })
    }

    /// Adds the row of this process.
    pub fn insert(&mut self, card: NodeCard) {
        let mut set = OwnedSet::default();
        set.raise(0);
        self.rows
            .insert(card.process.host.clone(), Row::new(card, set));
    }

    /// Changes the row of this process and updates the union.
    pub fn change<T>(&mut self, own: &HostId, change: impl FnOnce(&mut Row) -> T) -> Option<T> {
        self.revision += 1;
        let row = self.rows.get_mut(own)?;
        let result = change(row);
        self.rebuild_holders(own);
        Some(result)
    }

    /// Returns the changes of an owner since a version.
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

    /// Applies an owner's changes.
    pub fn apply_delta(&mut self, delta: &Delta) -> Applied {
        let process = &delta.card.process;
        if self.is_tombstoned(process, delta.to) {
            return Applied::default();
        }
        let host = &process.host;
        let known = self.rows.get(host).map(|r| r.card.process.incarnation);
        match known {
            Some(known) if process.incarnation < known => return Applied::default(),
            Some(known) if process.incarnation == known => {}
            _ if delta.from > 0 => return Applied::with_gap(),
            _ => return self.restart(delta),
        }
        let Some(row) = self.rows.get_mut(host) else {
            return Applied::default();
        };
        let clash = (row.card.address != delta.card.address).then(|| delta.card.clone());
        let before = row.set.version();
        let Ok(touched) = row.set.apply(delta) else {
            return Applied::with_gap();
        };
        if row.set.version() == before {
            return Applied {
                clash,
                ..Applied::default()
            };
        }
        self.revision += 1;
        row.card = delta.card.clone();
        if row.standing != Standing::Alive {
            row.standing = Standing::Alive;
            row.refuted = row.refuted.saturating_add(1);
        }
        self.update_holders(host, &touched);
        Applied {
            news: true,
            gap: false,
            touched,
            clash,
        }
    }

    /// Applies a verdict on an entry.
    pub fn apply_verdict(&mut self, now: Moment, verdict: &Verdict) -> Applied {
        let process = &verdict.process;
        if self.is_tombstoned(process, verdict.last_version()) {
            return Applied::default();
        }
        let row = self.rows.get_mut(&process.host);
        let known = row.as_ref().map(|r| r.card.process.incarnation);
        if known.is_some_and(|k| k > process.incarnation) {
            return Applied::default();
        }
        match &verdict.kind {
            VerdictKind::Suspect(by) => match row {
                Some(row) if row.is_subject_to(verdict) => row.add_suspicion(now, by),
                _ => Applied::default(),
            },
            VerdictKind::Dead => match row {
                Some(row) if !row.is_subject_to(verdict) => Applied::default(),
                _ => self.set_tombstone(now, verdict),
            },
            VerdictKind::Left => self.set_tombstone(now, verdict),
        }
    }

    /// Forgets tombstones that are older than a span, and the rows of the given zones.
    ///
    /// Failure guarded against: processes forget a zone at different moments, and each gets the
    /// rows back from one that hasn't forgotten it yet, for good. A forgotten row therefore
    /// leaves a tombstone.
    pub fn forget(&mut self, now: Moment, keep: Span, zones: &[ZoneId]) -> Vec<HostId> {
        self.tombstones.retain(|_, t| now.since(t.since) < keep);
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

    /// Whether a tombstone covers this version of a process, so that it must not come back.
    ///
    /// Failure guarded against: after a partition heals, a zone that missed the death of an entry
    /// reports it as alive, and requests are routed to its agents in vain. The tombstone's
    /// (incarnation, version) is not below that of the old news, so the news is ignored. If the
    /// entry is in fact alive, it raises its version above the tombstone's.
    fn is_tombstoned(&self, process: &ProcessId, version: u64) -> bool {
        self.tombstones
            .get(&process.host)
            .is_some_and(|t| (process.incarnation, version) <= (t.incarnation, t.version))
    }

    fn restart(&mut self, delta: &Delta) -> Applied {
        self.revision += 1;
        let host = &delta.card.process.host;
        let mut touched = self.drop_row(host);
        self.tombstones.remove(host);
        let mut row = Row::new(delta.card.clone(), OwnedSet::default());
        touched.extend(row.set.apply(delta).unwrap_or_default());
        self.rows.insert(host.clone(), row);
        self.rebuild_holders(host);
        Applied {
            news: true,
            touched,
            ..Applied::default()
        }
    }

    fn set_tombstone(&mut self, now: Moment, verdict: &Verdict) -> Applied {
        let host = &verdict.process.host;
        let touched = self.drop_row(host);
        let tombstone = Tombstone {
            version: verdict.last_version(),
            incarnation: verdict.process.incarnation,
            zone: verdict.zone.clone(),
            since: now,
        };
        self.tombstones.insert(host.clone(), tombstone);
        if self.tombstones.len() > MAX_TOMBSTONES {
            let oldest = self.tombstones.iter().min_by_key(|(_, t)| t.since);
            if let Some(oldest) = oldest.map(|(h, _)| h.clone()) {
                self.tombstones.remove(&oldest);
            }
        }
        Applied {
            news: true,
            touched,
            ..Applied::default()
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
        self.set_tombstone(now, &verdict).touched
    }

    fn drop_row(&mut self, host: &HostId) -> Vec<HostId> {
        self.revision += 1;
        let Some(row) = self.rows.remove(host) else {
            return Vec::new();
        };
        let touched: Vec<_> = row.set.cards().map(|c| c.agent.host.clone()).collect();
        self.update_holders(host, &touched);
        touched
    }

    /// Updates the holders of these agents from one owner's set.
    fn update_holders(&mut self, owner: &HostId, agents: &[HostId]) {
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

    fn rebuild_holders(&mut self, owner: &HostId) {
        let has = |(agent, holders): (&HostId, &BTreeSet<HostId>)| {
            holders.contains(owner).then(|| agent.clone())
        };
        let mut agents: Vec<_> = self.holders.iter().filter_map(has).collect();
        if let Some(row) = self.rows.get(owner) {
            agents.extend(row.set.cards().map(|c| c.agent.host.clone()));
        }
        self.update_holders(owner, &agents);
    }
}

impl Verdict {
    /// Returns the last version of the entry that the verdict covers.
    fn last_version(&self) -> u64 {
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

    /// Whether the verdict covers the row's incarnation and version.
    pub(crate) fn is_subject_to(&self, verdict: &Verdict) -> bool {
        verdict.process.incarnation > self.card.process.incarnation
            || verdict.version >= self.set.version()
    }

    fn add_suspicion(&mut self, now: Moment, more: &BTreeSet<HostId>) -> Applied {
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
        Applied {
            news,
            ..Applied::default()
        }
    }
}

impl Applied {
    fn with_gap() -> Self {
        Self {
            gap: true,
            ..Self::default()
        }
    }
}
