//! What goes to the peers next: news by priority, each passed on a bounded number of times.

use std::collections::BTreeMap;

use snipemast_core::prelude::*;

use crate::message::Packet;
use crate::owned::Delta;
use crate::table::{Standing, Table, Verdict, VerdictKind};

/// What must arrive first stands first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rank {
    /// An entry died or left.
    Verdict,
    /// An agent or entry drains, or an agent was removed.
    Leaving,
    /// An entry is suspected.
    Suspicion,
    /// Anything else about entries and agents.
    Other,
}

/// The most owners whose news waits; beyond it the least pressing waits for a comparison.
pub const MAX_NEWS: usize = 96;

/// The most owners whose news goes into one packet.
const MAX_PICKED: usize = 24;

/// News that this process still passes on.
#[derive(Debug, Default)]
pub struct Spread {
    news: BTreeMap<HostId, News>,
    verdicts: BTreeMap<HostId, (Verdict, u32)>,
}

#[derive(Debug)]
struct News {
    rank: Rank,
    from: u64,
    sent: u32,
}

impl Spread {
    /// Passes on an owner's changes after a version.
    pub fn push_delta(&mut self, delta: &Delta) {
        self.push(&delta.card.process.host, delta.from, Rank::of(delta));
    }

    /// Passes on an owner's changes after a version, with this rank.
    pub fn push(&mut self, owner: &HostId, from: u64, rank: Rank) {
        let fresh = News {
            rank,
            from,
            sent: 0,
        };
        let news = self.news.entry(owner.clone()).or_insert(fresh);
        *news = News {
            rank: news.rank.min(rank),
            from: news.from.min(from),
            sent: 0,
        };
        if self.news.len() > MAX_NEWS {
            let last = self.news.iter().max_by_key(|(_, n)| (n.rank, n.sent));
            if let Some(last) = last.map(|(h, _)| h.clone()) {
                self.news.remove(&last);
            }
        }
    }

    /// Passes on a verdict.
    pub fn push_verdict(&mut self, verdict: Verdict) {
        let host = verdict.process.host.clone();
        self.verdicts.insert(host, (verdict, 0));
    }

    /// Whether nothing is left to pass on.
    pub fn is_empty(&self) -> bool {
        self.news.is_empty() && self.verdicts.is_empty()
    }

    /// Whether anything waits that must arrive first.
    pub fn is_pressing(&self) -> bool {
        !self.verdicts.is_empty() || self.news.values().any(|n| n.rank <= Rank::Leaving)
    }

    /// Picks news for a peer within a number of bytes, first what must arrive first.
    ///
    /// What is pressing goes out even where the budget is used up, one owner a packet.
    pub fn pick(
        &mut self,
        table: &Table,
        peer: Hearer<'_>,
        repeats: u32,
        budget: &mut usize,
    ) -> (Vec<Verdict>, Vec<Delta>) {
        let verdicts = self.pick_verdicts(table, peer, repeats, budget);
        let known = peer.known(table);
        let waiting = self.news.iter().filter(|(host, _)| !known.contains(host));
        let mut order: Vec<_> = waiting.map(|(h, n)| (n.rank, n.sent, h)).collect();
        order.sort_unstable();
        let first = order.into_iter().take(MAX_PICKED);
        let order: Vec<_> = first.map(|(r, s, h)| (r, s, h.clone())).collect();
        let mut deltas = Vec::new();
        for (rank, _, host) in order {
            let Some(news) = self.news.get_mut(&host) else {
                continue;
            };
            let Some(delta) = table.since(&host, news.from) else {
                self.news.remove(&host);
                continue;
            };
            let size = delta.size();
            let pressing = rank <= Rank::Leaving && deltas.is_empty();
            if size > *budget && !pressing {
                break;
            }
            *budget = budget.saturating_sub(size);
            news.sent += 1;
            if news.sent >= rank.repeats(repeats) {
                self.news.remove(&host);
            }
            deltas.push(delta);
        }
        (verdicts, deltas)
    }

    fn pick_verdicts(
        &mut self,
        table: &Table,
        peer: Hearer<'_>,
        repeats: u32,
        budget: &mut usize,
    ) -> Vec<Verdict> {
        let mut picked = Vec::new();
        self.verdicts.retain(|host, (verdict, sent)| {
            let size = verdict.size();
            let local = matches!(verdict.kind, VerdictKind::Suspect(_));
            if local && !is_suspect(table, host) {
                return false;
            }
            let told = peer.said.is_some_and(|p| p.verdicts.contains(verdict));
            if size > *budget || told || (local && !peer.near) {
                return true;
            }
            *budget -= size;
            *sent += 1;
            picked.push(verdict.clone());
            *sent < repeats
        });
        picked
    }
}

/// Whom news is picked for.
#[derive(Debug, Clone, Copy)]
pub struct Hearer<'a> {
    /// Whether it is of the same zone.
    pub near: bool,
    /// What it has just said, where the news goes into the answer.
    pub said: Option<&'a Packet>,
}

impl Hearer<'_> {
    /// The owners of whom the peer has just told all that is known here.
    ///
    /// Failure guarded against: answers that tell a peer its own news use up the repeats, and a
    /// third process never hears of it. It shows as one entry that learns of a drain seconds late.
    fn known(&self, table: &Table) -> Vec<&HostId> {
        let said = self.said.into_iter().flat_map(|p| &p.deltas);
        let version = |host| table.row(host).map_or(0, |r| r.set.version());
        said.filter(|d| d.to >= version(&d.card.process.host))
            .map(|d| &d.card.process.host)
            .collect()
    }
}

impl Rank {
    /// How often news of the rank is passed on: what is not pressing is left to comparisons.
    fn repeats(self, most: u32) -> u32 {
        match self {
            Self::Verdict | Self::Leaving | Self::Suspicion => most,
            Self::Other => most / 2,
        }
    }

    /// The rank of an owner's changes.
    pub fn of(delta: &Delta) -> Self {
        let leaving = |c: &crate::owned::Change| c.card.as_ref().is_none_or(|a| a.draining);
        if delta.card.draining || delta.changes.iter().any(leaving) {
            Self::Leaving
        } else {
            Self::Other
        }
    }
}

impl Verdict {
    /// Roughly what the verdict takes on the wire.
    pub fn size(&self) -> usize {
        match &self.kind {
            VerdictKind::Suspect(by) => 50 + 14 * by.len(),
            VerdictKind::Dead | VerdictKind::Left => 50,
        }
    }
}

fn is_suspect(table: &Table, host: &HostId) -> bool {
    table
        .row(host)
        .is_some_and(|r| r.standing != Standing::Alive)
}
