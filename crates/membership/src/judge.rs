//! Failure detection among the entries of the own zone: checks, suspicions and verdicts.
//!
//! One timeout leads to a check, and a failed check to a suspicion that spreads in the zone. When
//! several witnesses agree and the suspicion timeout is over, the entry is declared dead. Every
//! message to the suspect carries the suspicion, which the suspect refutes by raising its version.

use std::collections::BTreeSet;

use rand::RngExt;

use snipemast_core::prelude::*;

use crate::node::{Node, Output, Pending, Purpose, Token};
use crate::table::{Standing, Verdict, VerdictKind};

/// How many exchanges a check begins at once.
const CHECK_COUNT: u32 = 2;

/// How often at most the suspicion timeout doubles for an entry that proved alive before.
const MAX_DOUBLINGS: u32 = 5;

impl Node {
    /// Handles an exchange that got no answer in time.
    pub(crate) fn handle_timeout(&mut self, now: Moment, token: Token) {
        let Some(pending) = self.pending.remove(&token) else {
            return;
        };
        let Some(peer) = pending.peer.clone() else {
            return;
        };
        if pending.started < self.resumed_at {
            self.checks.remove(&peer.process.host);
        } else if peer.zone == self.me.zone {
            self.verify_peer(now, &peer.process.host, &pending);
        } else if self.zones.record_miss(now, &peer.zone) {
            let detail = "it is remembered and gets no work until it answers";
            self.record_event(Event::MemberUnreachable, &peer.zone, detail);
            self.report_zone_changed(&peer.zone);
        }
    }

    /// Reports that the views of all agents of a zone may have changed.
    pub(crate) fn report_zone_changed(&mut self, zone: &ZoneId) {
        let agents = self.table.agents();
        let touched = agents
            .filter(|h| self.table.agent(h).is_some_and(|c| c.zone == *zone))
            .cloned()
            .collect();
        self.report_changed(touched);
    }

    fn verify_peer(&mut self, now: Moment, host: &HostId, pending: &Pending) {
        let known = self.table.row(host);
        if known.is_none_or(|r| self.is_witness(&r.standing)) {
            self.checks.remove(host);
            return;
        }
        match self.checks.get_mut(host) {
            None => self.check_peer(now, host),
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

    /// Begins several exchanges with a peer at once, so that one lost exchange causes no suspicion.
    fn check_peer(&mut self, now: Moment, host: &HostId) {
        let Some(card) = self.table.row(host).map(|r| r.card.clone()) else {
            return;
        };
        self.checks.insert(host.clone(), CHECK_COUNT);
        for _ in 0..CHECK_COUNT {
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
        self.handle_verdict(now, &verdict);
    }

    /// Whether a verdict declares another entry of the own zone dead, so that only the zone itself
    /// may decide.
    pub(crate) fn is_foreign(&self, verdict: &Verdict) -> bool {
        let other = verdict.process.host != self.me.process.host;
        other && verdict.zone == self.me.zone && verdict.kind == VerdictKind::Dead
    }

    /// Forwards a verdict from another zone to the entry of the own zone that it is about.
    ///
    /// Failure guarded against: a zone that had forgotten this one reports all its entries as dead
    /// when the two zones meet again, and this zone drops its own living entries. Only the zone
    /// itself decides: the entry is told of the verdict, and raises its version if it is alive. If
    /// it isn't, the timeout leads to a check like any other.
    pub(crate) fn forward_foreign_verdict(&mut self, now: Moment, verdict: &Verdict) {
        let row = self.table.row(&verdict.process.host);
        let judged = row.filter(|r| r.is_subject_to(verdict));
        let idle = !self.checks.contains_key(&verdict.process.host);
        if let Some(card) = judged.map(|r| r.card.clone()).filter(|_| idle) {
            self.send_verdict(now, &card, verdict);
        }
    }

    /// Applies a verdict of this process or a peer, and passes it on if it is news.
    pub(crate) fn handle_verdict(&mut self, now: Moment, verdict: &Verdict) {
        if verdict.process.host == self.me.process.host {
            self.refute(now, verdict);
            return;
        }
        let applied = self.table.apply_verdict(now, verdict);
        if !applied.news {
            return;
        }
        self.last_news = now;
        let host = &verdict.process.host;
        let passed = match &verdict.kind {
            VerdictKind::Suspect(_) => self.suspicion(host),
            VerdictKind::Dead | VerdictKind::Left => {
                self.checks.remove(host);
                let detail = match verdict.kind {
                    VerdictKind::Left => "it left",
                    _ => "it gave no answer to several entries of its zone",
                };
                self.record_event(Event::MemberRemoved, &verdict.process, detail);
                Some(verdict.clone())
            }
        };
        if let Some(verdict) = passed {
            self.queue.push_verdict(verdict);
            self.schedule_burst(now);
        }
        self.report_changed(applied.touched);
    }

    /// Returns the current suspicion of an entry, with all known witnesses.
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

    /// Proves that this process is alive, by a version above the one that was judged.
    fn refute(&mut self, now: Moment, verdict: &Verdict) {
        let same = verdict.process.incarnation == self.me.process.incarnation;
        if !same || verdict.version < self.own_version() {
            return;
        }
        match verdict.kind {
            VerdictKind::Suspect(_) => self.raise_version(now, verdict.version, |_| {}),
            VerdictKind::Dead => {
                // The others have dropped the whole set, so all of it is sent again.
                self.raise_version(now, verdict.version, |_| {});
                let host = self.me.process.host.clone();
                self.queue.push(&host, 0, crate::spread::Priority::Leaving);
            }
            VerdictKind::Left => {}
        }
    }

    /// Checks suspects, and declares those dead that enough witnesses got no answer from.
    ///
    /// Failure guarded against: one entry with a broken link has its neighbours declared dead, and
    /// living entries seem to come and go. Several witnesses must agree, and the suspicion timeout
    /// doubles each time an entry proved alive.
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
            if self.is_overdue(now, &host, needed) && !isolated {
                self.declare_dead(now, &host);
            } else {
                self.maybe_check(now, &host, near);
            }
        }
    }

    /// Whether this process itself is the one that is cut off.
    ///
    /// Failure guarded against: an entry that lost its network declares all others dead, and
    /// forgets the agents that it could still reach. An entry that gets no answer from more than
    /// half of its zone, nor from any other zone, gives no verdict.
    fn is_isolated(&self, now: Moment, suspects: usize, near: usize) -> bool {
        let recent = self.tuning.cross_interval.times(4);
        suspects * 2 > near && !self.zones.has_recent_answer(now, recent)
    }

    fn is_overdue(&self, now: Moment, host: &HostId, needed: usize) -> bool {
        self.table.row(host).is_some_and(|row| match &row.standing {
            Standing::Alive => false,
            Standing::Suspect { by, since } => {
                let factor = 1 << row.refuted.min(MAX_DOUBLINGS);
                by.len() >= needed
                    && now.since(*since) >= self.tuning.suspicion_timeout.times(factor)
            }
        })
    }

    fn declare_dead(&mut self, now: Moment, host: &HostId) {
        if let Some(suspicion) = self.suspicion(host) {
            let kind = VerdictKind::Dead;
            self.handle_verdict(now, &Verdict { kind, ..suspicion });
        }
    }

    /// Checks an entry that others suspect, with a probability at which the zone as a whole sends a
    /// few checks per sweep.
    fn maybe_check(&mut self, now: Moment, host: &HostId, near: usize) {
        let Some(row) = self.table.row(host) else {
            return;
        };
        let idle = !self.is_witness(&row.standing) && !self.checks.contains_key(host);
        let share = 4.0 / near.max(1) as f64;
        if idle && self.rng.random::<f64>() < share {
            self.check_peer(now, host);
        }
    }

    fn is_witness(&self, standing: &Standing) -> bool {
        match standing {
            Standing::Alive => false,
            Standing::Suspect { by, .. } => by.contains(&self.me.process.host),
        }
    }

    /// Records that two processes run under one identity.
    pub(crate) fn record_clash(&mut self, one: &crate::NodeCard, other: &crate::NodeCard) {
        if self.is_new_clash(&other.process, other.address) {
            let detail = format!(
                "{} at {} and {} at {}",
                one.process, one.address, other.process, other.address
            );
            let subject = one.process.host.to_string();
            self.outputs.push(Output::Event {
                event: Event::IdentityClash,
                subject,
                detail,
            });
        }
    }
}
