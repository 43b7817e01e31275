//! The queue of news for the peers, by priority; each piece is sent a bounded number of times.

use std::collections::BTreeMap;

use snipemast_core::prelude::*;

use crate::message::Packet;
use crate::owned::Delta;
use crate::table::{Standing, Table, Verdict, VerdictKind};

/// The priority of news, the most urgent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// An entry died or left.
    Verdict,
    /// An agent or entry is draining, or an agent was removed.
    Leaving,
    /// An entry is suspected.
    Suspicion,
    /// Anything else about entries and agents.
    Other,
}

/// How many owners may have queued news; beyond this the least urgent is dropped and left to
/// comparisons.
pub const MAX_QUEUED_OWNERS: usize = 96;

/// How many owners' news one packet may carry.
const MAX_PACKET_OWNERS: usize = 24;

/// The news that this process still passes on.
#[derive(Debug, Default)]
pub struct BroadcastQueue {
    /// The queued changes, by owner.
    news: BTreeMap<HostId, QueuedDelta>,
    /// The queued verdicts, each with the number of times it was sent.
    verdicts: BTreeMap<HostId, (Verdict, u32)>,
}

#[derive(Debug)]
struct QueuedDelta {
    priority: Priority,
    /// The version that the changes start from.
    from: u64,
    sent: u32,
}

impl BroadcastQueue {
    /// Queues an owner's changes after a version, with the priority of the delta.
    pub fn push_delta(&mut self, delta: &Delta) {
        self.push(
            &delta.card.process.host,
            delta.from,
            Priority::for_delta(delta),
        );
    }

    /// Queues an owner's changes after a version, with this priority.
    pub fn push(&mut self, owner: &HostId, from: u64, priority: Priority) {
        let fresh = QueuedDelta {
            priority,
            from,
            sent: 0,
        };
        let news = self.news.entry(owner.clone()).or_insert(fresh);
        *news = QueuedDelta {
            priority: news.priority.min(priority),
            from: news.from.min(from),
            sent: 0,
        };
        if self.news.len() > MAX_QUEUED_OWNERS {
            let last = self.news.iter().max_by_key(|(_, n)| (n.priority, n.sent));
            if let Some(last) = last.map(|(h, _)| h.clone()) {
                self.news.remove(&last);
            }
        }
    }

    /// Queues a verdict.
    pub fn push_verdict(&mut self, verdict: Verdict) {
        let host = verdict.process.host.clone();
        self.verdicts.insert(host, (verdict, 0));
    }

    /// Whether nothing is queued.
    pub fn is_empty(&self) -> bool {
        self.news.is_empty() && self.verdicts.is_empty()
    }

    /// Whether urgent news is queued.
    pub fn has_urgent(&self) -> bool {
        !self.verdicts.is_empty() || self.news.values().any(|n| n.priority <= Priority::Leaving)
    }

    /// Picks news for a peer within a budget of bytes, the most urgent first.
    ///
    /// Urgent news is sent even if the budget is used up, for one owner per packet.
    pub fn pick(
        &mut self,
        table: &Table,
        peer: Recipient<'_>,
        retransmits: u32,
        budget: &mut usize,
    ) -> (Vec<Verdict>, Vec<Delta>) {
        let verdicts = self.pick_verdicts(table, peer, retransmits, budget);
        let known = peer.known_owners(table);
        let waiting = self.news.iter().filter(|(host, _)| !known.contains(host));
        let mut order: Vec<_> = waiting.map(|(h, n)| (n.priority, n.sent, h)).collect();
        order.sort_unstable();
        let first = order.into_iter().take(MAX_PACKET_OWNERS);
        let order: Vec<_> = first.map(|(r, s, h)| (r, s, h.clone())).collect();
        let mut deltas = Vec::new();
        for (priority, _, host) in order {
            let Some(news) = self.news.get_mut(&host) else {
                continue;
            };
            let Some(delta) = table.since(&host, news.from) else {
                self.news.remove(&host);
                continue;
            };
            let size = delta.size();
            let urgent = priority <= Priority::Leaving && deltas.is_empty();
            if size > *budget && !urgent {
                break;
            }
            *budget = budget.saturating_sub(size);
            news.sent += 1;
            if news.sent >= priority.retransmits(retransmits) {
                self.news.remove(&host);
            }
            deltas.push(delta);
        }
        (verdicts, deltas)
    }

    fn pick_verdicts(
        &mut self,
        table: &Table,
        peer: Recipient<'_>,
        retransmits: u32,
        budget: &mut usize,
    ) -> Vec<Verdict> {
        let mut picked = Vec::new();
        self.verdicts.retain(|host, (verdict, sent)| {
            let size = verdict.size();
            let local = matches!(verdict.kind, VerdictKind::Suspect(_));
            if local && !is_suspect(table, host) {
                return false;
            }
            let known = peer.received.is_some_and(|p| p.verdicts.contains(verdict));
            if size > *budget || known || (local && !peer.same_zone) {
                return true;
            }
            *budget -= size;
            *sent += 1;
            picked.push(verdict.clone());
            *sent < retransmits
        });
        picked
    }
}

/// The peer that news is picked for.
#[derive(Debug, Clone, Copy)]
pub struct Recipient<'a> {
    /// Whether the peer is in the same zone.
    pub same_zone: bool,
    /// The packet that the peer has just sent, if the news goes into the answer.
    pub received: Option<&'a Packet>,
}

impl Recipient<'_> {
    /// Returns the owners whose latest known version the peer has just sent itself.
    ///
    /// Failure guarded against: answers that send a peer its own news use up the retransmits, so
    /// that a third process learns of a drain seconds late.
    fn known_owners(&self, table: &Table) -> Vec<&HostId> {
        let received = self.received.into_iter().flat_map(|p| &p.deltas);
        let version = |host| table.row(host).map_or(0, |r| r.set.version());
        received
            .filter(|d| d.to >= version(&d.card.process.host))
            .map(|d| &d.card.process.host)
            .collect()
    }
}

impl Priority {
    /// Returns how often news of this priority is sent. News of low priority is sent less often and
    /// left to comparisons.
    fn retransmits(self, most: u32) -> u32 {
        match self {
            Self::Verdict | Self::Leaving | Self::Suspicion => most,
            Self::Other => most / 2,
        }
    }

    /// Returns the priority of an owner's changes.
    pub fn for_delta(delta: &Delta) -> Self {
        let leaving = |c: &crate::owned::Change| c.card.as_ref().is_none_or(|a| a.draining);
        if delta.card.draining || delta.changes.iter().any(leaving) {
            Self::Leaving
        } else {
            Self::Other
        }
    }
}

impl Verdict {
    /// Returns the approximate size of the verdict on the wire, in bytes.
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
