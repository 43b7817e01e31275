//! Who of the own zone is gone: checks, suspicions and verdicts.
//!
//! One missed answer leads to a check, a failed check to a suspicion that the zone hears of,
//! several witnesses and the end of patience to a verdict. The suspect hears of the suspicion in
//! every message that reaches it and refutes it by raising its version.

use std::collections::BTreeSet;

use rand::RngExt;

use snipemast_core::prelude::*;

use crate::node::{Node, Output, Pending, Purpose, Token};
use crate::table::{Standing, Verdict, VerdictKind};

/// How many exchanges a check begins at once.
const CHECKS: u32 = 2;

/// The most often that patience doubles for an entry that proved alive before.
const MAX_DOUBLINGS: u32 = 5;

impl Node {
    /// An exchange got no answer in time.
    pub(crate) fn missed(&mut self, now: Moment, token: Token) {
        let Some(pending) = self.pending.remove(&token) else {
            return;
        };
        let Some(peer) = pending.peer.clone() else {
            return;
        };
        if pending.begun < self.resumed {
            self.checks.remove(&peer.process.host);
        } else if peer.zone == self.me.zone {
            self.doubt_peer(now, &peer.process.host, &pending);
        } else if self.zones.miss(now, &peer.zone) {
            let detail = "it is remembered and gets no work until it answers";
            self.note(Event::MemberUnreachable, &peer.zone, detail);
            self.note_zone(&peer.zone);
        }
    }

    /// Tells the shell that every agent of a zone may look different.
    pub(crate) fn note_zone(&mut self, zone: &ZoneId) {
        let agents = self.table.agents();
        let touched = agents
            .filter(|h| self.table.agent(h).is_some_and(|c| c.zone == *zone))
            .cloned()
            .collect();
        self.note_changed(touched);
    }

    fn doubt_peer(&mut self, now: Moment, host: &HostId, pending: &Pending) {
        let known = self.table.row(host);
        if known.is_none_or(|r| self.is_witness(&r.standing)) {
            self.checks.remove(host);
            return;
        }
        match self.checks.get_mut(host) {
            None => self.check(now, host),
            Some(left) if pending.purpose == Purpose::Check => {
                *left -= 1;
                if *left == 0 {
                    self.checks.remove(host);
                    self.suspect(now, host);
                }
            }
            Some(_) => {}
        }
    }

    /// Asks a peer several times at once, so that one lost exchange makes no suspicion.
    fn check(&mut self, now: Moment, host: &HostId) {
        let Some(card) = self.table.row(host).map(|r| r.card.clone()) else {
            return;
        };
        self.checks.insert(host.clone(), CHECKS);
        for _ in 0..CHECKS {
            self.send_check(now, &card);
        }
    }

    fn suspect(&mut self, now: Moment, host: &HostId) {
        let Some(row) = self.table.row(host) else {
            return;
        };
        let by = BTreeSet::from([self.me.process.host.clone()]);
        let verdict = Verdict {
            process: row.card.process.clone(),
            zone: row.card.zone.clone(),
            version: row.set.version(),
            kind: VerdictKind::Suspect(by),
        };
        self.take_verdict(now, &verdict);
    }

    /// Whether a verdict on another entry of the own zone is one that the zone itself may refute.
    pub(crate) fn is_foreign(&self, verdict: &Verdict) -> bool {
        let other = verdict.process.host != self.me.process.host;
        other && verdict.zone == self.me.zone && verdict.kind == VerdictKind::Dead
    }

    /// Hears from another zone that an entry of the own zone is dead.
    ///
    /// Failure guarded against: a zone that had forgotten this one tells of all its entries as
    /// dead when the two meet again. It shows as a zone that drops its own living entries. Only
    /// the zone itself judges: the entry is told, and raises its version where it lives; where it
    /// does not, the missing answer leads to a check like any other.
    pub(crate) fn challenge(&mut self, now: Moment, verdict: &Verdict) {
        let row = self.table.row(&verdict.process.host);
        let judged = row.filter(|r| r.is_judged_by(verdict));
        let idle = !self.checks.contains_key(&verdict.process.host);
        if let Some(card) = judged.map(|r| r.card.clone()).filter(|_| idle) {
            self.send_verdict(now, &card, verdict);
        }
    }

    /// Takes a verdict, own or from a peer, and passes it on where it is news.
    pub(crate) fn take_verdict(&mut self, now: Moment, verdict: &Verdict) {
        if verdict.process.host == self.me.process.host {
            self.refute(now, verdict);
            return;
        }
        let taken = self.table.judge(now, verdict);
        if !taken.news {
            return;
        }
        self.heard = now;
        let host = &verdict.process.host;
        let passed = match &verdict.kind {
            VerdictKind::Suspect(_) => self.suspicion(host),
            VerdictKind::Dead | VerdictKind::Left => {
                self.checks.remove(host);
                let detail = match verdict.kind {
                    VerdictKind::Left => "it left",
                    _ => "it gave no answer to several entries of its zone",
                };
                self.note(Event::MemberRemoved, &verdict.process, detail);
                Some(verdict.clone())
            }
        };
        if let Some(verdict) = passed {
            self.spread.push_verdict(verdict);
            self.hurry(now);
        }
        self.note_changed(taken.touched);
    }

    /// The suspicion of an entry as it stands, with every witness known.
    pub(crate) fn suspicion(&self, host: &HostId) -> Option<Verdict> {
        let row = self.table.row(host)?;
        match &row.standing {
            Standing::Alive => None,
            Standing::Suspect { by, .. } => Some(Verdict {
                process: row.card.process.clone(),
                zone: row.card.zone.clone(),
                version: row.set.version(),
                kind: VerdictKind::Suspect(by.clone()),
            }),
        }
    }

    /// Proves that this process lives, by a version past the one that was judged.
    fn refute(&mut self, now: Moment, verdict: &Verdict) {
        let same = verdict.process.incarnation == self.me.process.incarnation;
        if !same || verdict.version < self.own_version() {
            return;
        }
        match verdict.kind {
            VerdictKind::Suspect(_) => self.raise(now, verdict.version, |_| {}),
            VerdictKind::Dead => {
                // The others have dropped the whole set, so all of it goes out again.
                self.raise(now, verdict.version, |_| {});
                let host = self.me.process.host.clone();
                self.spread.push(&host, 0, crate::spread::Rank::Leaving);
            }
            VerdictKind::Left => {}
        }
    }

    /// Witnesses suspicions, and declares dead whom enough witnesses had no answer from.
    ///
    /// Failure guarded against: one entry with a broken link that has its neighbours declared
    /// dead. It shows as living entries that come and go. Several witnesses must agree, and
    /// patience doubles for whoever proved alive before.
    pub(crate) fn judge_suspects(&mut self, now: Moment) {
        let zone = &self.me.zone;
        let suspects: Vec<_> = self
            .others()
            .filter(|r| r.standing != Standing::Alive && r.card.zone == *zone)
            .map(|r| r.card.process.host.clone())
            .collect();
        if suspects.is_empty() {
            return;
        }
        let near = self.others().filter(|r| r.card.zone == *zone).count();
        let needed = self.tuning.witnesses.min(near + 1 - suspects.len());
        let isolated = self.is_isolated(now, suspects.len(), near);
        for host in suspects {
            if self.is_over(now, &host, needed) && !isolated {
                self.declare(now, &host);
            } else {
                self.maybe_check(now, &host, near);
            }
        }
    }

    /// Whether this process itself is the one that is cut off.
    ///
    /// Failure guarded against: an entry that lost its network declares everybody else dead. It
    /// shows as an entry that forgets the agents it could still reach. Who gets no answer from
    /// more than half of its zone nor from any other zone gives no verdict.
    fn is_isolated(&self, now: Moment, suspects: usize, near: usize) -> bool {
        let recent = self.tuning.cross_interval.times(4);
        suspects * 2 > near && !self.zones.any_answers(now, recent)
    }

    fn is_over(&self, now: Moment, host: &HostId, needed: usize) -> bool {
        self.table.row(host).is_some_and(|row| match &row.standing {
            Standing::Alive => false,
            Standing::Suspect { by, since } => {
                let factor = 1 << row.refuted.min(MAX_DOUBLINGS);
                by.len() >= needed
                    && now.since(*since) >= self.tuning.suspicion_timeout.times(factor)
            }
        })
    }

    fn declare(&mut self, now: Moment, host: &HostId) {
        if let Some(suspicion) = self.suspicion(host) {
            let kind = VerdictKind::Dead;
            self.take_verdict(now, &Verdict { kind, ..suspicion });
        }
    }

    /// Checks a suspect that others suspect, so seldom that a zone sends a few checks a sweep.
    fn maybe_check(&mut self, now: Moment, host: &HostId, near: usize) {
        let Some(row) = self.table.row(host) else {
            return;
        };
        let idle = !self.is_witness(&row.standing) && !self.checks.contains_key(host);
        let share = 4.0 / near.max(1) as f64;
        if idle && self.dice.random::<f64>() < share {
            self.check(now, host);
        }
    }

    fn is_witness(&self, standing: &Standing) -> bool {
        match standing {
            Standing::Alive => false,
            Standing::Suspect { by, .. } => by.contains(&self.me.process.host),
        }
    }

    /// Finds out that another process runs under an identity, and names both.
    pub(crate) fn clash(&mut self, one: &crate::NodeCard, other: &crate::NodeCard) {
        let key = (other.process.clone(), other.address);
        if self.clashes.len() < 64 && self.clashes.insert(key) {
            let detail = format!(
                "{} at {} and {} at {}",
                one.process, one.address, other.process, other.address
            );
            let subject = one.process.host.to_string();
            self.out.push(Output::Event {
                event: Event::IdentityClash,
                subject,
                detail,
            });
        }
    }
}
