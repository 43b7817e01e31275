//! A keeper of claims: one of three that remember which attempt a key stands for.

use std::collections::{BTreeMap, BTreeSet};

use snipemast_core::prelude::*;

use crate::claim::{
    AcceptedClaim, ClaimKey, CopiedClaim, KeeperAnswer, KeeperAsk, KeepersMark, Round, Slot,
};

/// The keepers of each shard.
pub type Table = Vec<[HostId; 3]>;

/// How many of the other keepers a shard is copied from.
const COPIES: usize = 2;

/// Whether a keeper has a say in a shard.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Standing {
    /// It has.
    Serves,
    /// Not before it has copied from two of these, or every claim it may have forgotten has
    /// run out.
    Copies {
        from: Vec<HostId>,
        done: BTreeSet<HostId>,
        until: Moment,
    },
    /// Not any more; its claims are still there to be copied.
    Left,
}

#[derive(Debug, Clone)]
struct Claim {
    attempt: u64,
    promised: Round,
    accepted: Option<AcceptedClaim>,
    until: Moment,
}

/// One shard of one keeper.
#[derive(Debug)]
struct Shard {
    standing: Standing,
    claims: BTreeMap<ClaimKey, Claim>,
    expiry: BTreeSet<(Moment, ClaimKey)>,
    /// The newest incarnation of each keeper that copied from here.
    known: BTreeMap<HostId, Incarnation>,
    /// A keeper of a later table that copied from here: until that table comes, no say.
    awaits: Option<HostId>,
}

/// A keeper of claims.
///
/// Failure guarded against: a keeper that restarts has forgotten what it promised and accepted.
/// It shows as two attempts of one key, both run, each accepted by a majority that counts the
/// forgetful keeper once as it was and once as it is. Three rules hold against it: it has no
/// say until it has copied from both others; an accept names the incarnations whose promises
/// carry it, and a keeper refuses one that names an earlier incarnation of itself; and a keeper
/// that was copied from refuses one that names an earlier incarnation of the copier.
#[derive(Debug)]
pub struct Keeper {
    own: ProcessId,
    started: Moment,
    hold: Span,
    bound: usize,
    table: Table,
    shards: BTreeMap<u32, Shard>,
}

impl Keeper {
    /// A keeper without shards, in a process that started then; it holds claims for at most
    /// this long.
    pub fn new(own: ProcessId, started: Moment, hold: Span, bound: usize) -> Self {
        Self {
            own,
            started,
            hold,
            bound,
            table: Table::new(),
            shards: BTreeMap::new(),
        }
    }

    /// Takes a later table.
    pub fn apply_table(&mut self, now: Moment, table: &Table) {
        if self.table.len() != table.len() {
            return self.reshape(now, table);
        }
        for (number, hosts) in table.iter().enumerate() {
            let before = self.table[number].clone();
            let (was, is) = (
                before.contains(&self.own.host),
                hosts.contains(&self.own.host),
            );
            if let Some(shard) = self.shards.get_mut(&(number as u32)) {
                shard.awaits.take_if(|host| hosts.contains(host));
            }
            if !was && is {
                let from = self.others(&before);
                self.join(now, number as u32, from);
            } else if was && !is {
                if let Some(shard) = self.shards.get_mut(&(number as u32)) {
                    shard.standing = Standing::Left;
                }
            }
        }
        self.table = table.clone();
    }

    /// Takes a first table, or one with another number of shards.
    ///
    /// Nobody can tell whether a first table is older than this process, so the keeper copies,
    /// unless the process has been up for so long that whatever an earlier one forgot has run
    /// out. Under another number of shards each key has other keepers, so all wait until every
    /// claim of the old table has run out.
    fn reshape(&mut self, now: Moment, table: &Table) {
        let first = self.table.is_empty();
        self.shards.clear();
        for (number, hosts) in table.iter().enumerate() {
            if !hosts.contains(&self.own.host) {
                continue;
            }
            let standing = match first {
                true => self.copying(self.started, self.others(hosts)),
                false => self.copying(now, Vec::new()),
            };
            self.shards.insert(number as u32, Shard::new(standing));
        }
        self.table = table.clone();
    }

    fn join(&mut self, now: Moment, number: u32, from: Vec<HostId>) {
        let standing = self.copying(now, from);
        self.shards.insert(number, Shard::new(standing));
    }

    fn copying(&self, now: Moment, from: Vec<HostId>) -> Standing {
        Standing::Copies {
            from,
            done: BTreeSet::new(),
            until: now + self.hold,
        }
    }

    fn others(&self, hosts: &[HostId; 3]) -> Vec<HostId> {
        let others = hosts.iter().filter(|h| **h != self.own.host);
        others.cloned().collect()
    }

    /// The copies that are still missing: of which shard, from which host.
    pub fn missing_copies(&self) -> Vec<(u32, HostId)> {
        let mut missing = Vec::new();
        for (number, shard) in &self.shards {
            if let Standing::Copies { from, done, .. } = &shard.standing {
                let left = from.iter().filter(|h| !done.contains(h));
                missing.extend(left.map(|h| (*number, h.clone())));
            }
        }
        missing
    }

    /// Answers a claimer or another keeper.
    pub fn handle(&mut self, now: Moment, ask: KeeperAsk) -> KeeperAnswer {
        match ask {
            KeeperAsk::Prepare {
                slot,
                round,
                keepers,
                keep,
            } if self.agrees(&slot, keepers) => self.prepare(now, slot, round, keep),
            KeeperAsk::Accept {
                slot,
                round,
                value,
                keepers,
                promised,
                keep,
            } if self.agrees(&slot, keepers) => {
                self.accept(now, slot, AcceptedClaim { round, value }, &promised, keep)
            }
            KeeperAsk::Prepare { .. } | KeeperAsk::Accept { .. } => KeeperAnswer::Abstains,
            KeeperAsk::Copy { shard, to } => self.hand_over(now, shard, &to),
        }
    }

    /// Whether a claimer goes by the same table.
    fn agrees(&self, slot: &Slot, keepers: KeepersMark) -> bool {
        let shard = self.table.get(slot.key.shard(self.table.len()));
        shard.is_some_and(|hosts| KeepersMark::of(hosts) == keepers)
    }

    fn prepare(&mut self, now: Moment, slot: Slot, round: Round, keep: Span) -> KeeperAnswer {
        let (own, hold, bound) = (self.own.clone(), self.hold, self.bound);
        let Some(shard) = self.serving(now, &slot.key) else {
            return KeeperAnswer::Abstains;
        };
        if !shard.claims.contains_key(&slot.key) && shard.claims.len() >= bound {
            return KeeperAnswer::Abstains;
        }
        let until = now + keep.min(hold);
        match shard.claims.get_mut(&slot.key) {
            Some(claim) if claim.attempt > slot.attempt => {
                let attempt = claim.attempt;
                return KeeperAnswer::Ahead { attempt };
            }
            Some(claim) if claim.attempt == slot.attempt => {
                if claim.promised > round {
                    let round = claim.promised.clone();
                    return KeeperAnswer::Outrun { round };
                }
                claim.promised = round;
            }
            // The attempt before surely did not run, or its claimer would not ask for the next.
            Some(_) | None => shard.insert(slot.clone(), round, None, until),
        }
        let accepted = shard.claims.get(&slot.key).and_then(|c| c.accepted.clone());
        KeeperAnswer::Promised { by: own, accepted }
    }

    fn accept(
        &mut self,
        now: Moment,
        slot: Slot,
        accepted: AcceptedClaim,
        promised: &[ProcessId],
        keep: Span,
    ) -> KeeperAnswer {
        let (own, hold) = (self.own.clone(), self.hold);
        let Some(shard) = self.serving(now, &slot.key) else {
            return KeeperAnswer::Abstains;
        };
        if !promised.contains(&own) || shard.is_outdated(promised) {
            return KeeperAnswer::Abstains;
        }
        let Some(claim) = shard.claims.get(&slot.key) else {
            return KeeperAnswer::Abstains;
        };
        if claim.attempt > slot.attempt {
            let attempt = claim.attempt;
            return KeeperAnswer::Ahead { attempt };
        }
        if claim.attempt < slot.attempt {
            return KeeperAnswer::Abstains;
        }
        if claim.promised > accepted.round {
            let round = claim.promised.clone();
            return KeeperAnswer::Outrun { round };
        }
        let round = accepted.round.clone();
        shard.insert(slot, round, Some(accepted), now + keep.min(hold));
        KeeperAnswer::Accepted { by: own }
    }

    /// Hands a shard over.
    ///
    /// Failure guarded against: a shard is copied and afterwards changed under the table before
    /// the move. It shows as a claim that the new keeper never hears of; whoever hands over to
    /// a host that its own table doesn't name has no say until it has the later table.
    fn hand_over(&mut self, now: Moment, number: u32, to: &ProcessId) -> KeeperAnswer {
        let hosts = self.table.get(number as usize);
        let is_later = hosts.is_some_and(|hosts| !hosts.contains(&to.host));
        let Some(shard) = self.shards.get_mut(&number) else {
            return KeeperAnswer::Abstains;
        };
        shard.expire(now);
        if matches!(shard.standing, Standing::Copies { .. }) {
            return KeeperAnswer::Abstains;
        }
        if is_later {
            shard.awaits = Some(to.host.clone());
        }
        let known = shard.known.entry(to.host.clone()).or_default();
        *known = to.incarnation.max(*known);
        let copy = |(key, claim): (&ClaimKey, &Claim)| CopiedClaim {
            slot: Slot {
                key: key.clone(),
                attempt: claim.attempt,
            },
            accepted: claim.accepted.clone(),
            left: now.until(claim.until),
        };
        let claims = shard.claims.iter().map(copy).collect();
        KeeperAnswer::Copied { claims }
    }

    /// Takes the claims that another keeper handed over.
    pub fn merge_copy(
        &mut self,
        now: Moment,
        number: u32,
        host: &HostId,
        claims: Vec<CopiedClaim>,
    ) {
        let Some(shard) = self.shards.get_mut(&number) else {
            return;
        };
        let Standing::Copies { from, done, .. } = &mut shard.standing else {
            return;
        };
        if !from.contains(host) {
            return;
        }
        done.insert(host.clone());
        let complete = done.len() >= COPIES;
        for claim in claims {
            shard.merge(now, claim);
        }
        if complete {
            shard.standing = Standing::Serves;
        }
    }

    /// Forgets the claims that have run out.
    pub fn expire(&mut self, now: Moment) {
        for shard in self.shards.values_mut() {
            shard.expire(now);
        }
    }

    /// How many claims are held.
    pub fn len(&self) -> usize {
        self.shards.values().map(|s| s.claims.len()).sum()
    }

    /// Whether no claim is held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether it has a say in every shard that it keeps.
    pub fn is_ready(&self, now: Moment) -> bool {
        let copies =
            |s: &Shard| matches!(s.standing, Standing::Copies { until, .. } if until > now);
        !self.shards.values().any(copies)
    }

    fn serving(&mut self, now: Moment, key: &ClaimKey) -> Option<&mut Shard> {
        let number = key.shard(self.table.len()) as u32;
        let shard = self.shards.get_mut(&number)?;
        shard.expire(now);
        let serves = shard.standing == Standing::Serves && shard.awaits.is_none();
        serves.then_some(shard)
    }
}

impl Shard {
    fn new(standing: Standing) -> Self {
        Self {
            standing,
            claims: BTreeMap::new(),
            expiry: BTreeSet::new(),
            known: BTreeMap::new(),
            awaits: None,
        }
    }

    /// Whether a promise was given by a keeper that has forgotten it since.
    fn is_outdated(&self, promised: &[ProcessId]) -> bool {
        let forgot = |p: &ProcessId| self.known.get(&p.host).is_some_and(|i| p.incarnation < *i);
        promised.iter().any(forgot)
    }

    fn insert(
        &mut self,
        slot: Slot,
        promised: Round,
        accepted: Option<AcceptedClaim>,
        until: Moment,
    ) {
        let Slot { key, attempt } = slot;
        let old = self.claims.get(&key).map(|c| c.until);
        // A claim never runs out earlier than was promised before.
        let until = old.map_or(until, |old| until.max(old));
        if let Some(old) = old {
            self.expiry.remove(&(old, key.clone()));
        }
        self.expiry.insert((until, key.clone()));
        let claim = Claim {
            attempt,
            promised,
            accepted,
            until,
        };
        self.claims.insert(key, claim);
    }

    /// Takes a copied claim where it is later than what is known.
    fn merge(&mut self, now: Moment, copy: CopiedClaim) {
        let CopiedClaim {
            slot,
            accepted,
            left,
        } = copy;
        let Some(accepted) = accepted else {
            return;
        };
        let place = (slot.attempt, Some(accepted.round.clone()));
        let known = self.claims.get(&slot.key).map(|claim| {
            let round = claim.accepted.as_ref().map(|a| a.round.clone());
            (claim.attempt, round)
        });
        if known.is_none_or(|known| known < place) {
            let round = accepted.round.clone();
            self.insert(slot, round, Some(accepted), now + left);
        }
    }

    fn expire(&mut self, now: Moment) {
        if matches!(self.standing, Standing::Copies { until, .. } if until <= now) {
            // Whatever was forgotten has run out everywhere by now.
            self.standing = Standing::Serves;
        }
        while self.expiry.first().is_some_and(|(until, _)| *until <= now) {
            if let Some((_, key)) = self.expiry.pop_first() {
                self.claims.remove(&key);
            }
        }
    }
}

/// Whether a table follows another by moving at most one host of each shard.
///
/// Failure guarded against: a shard whose keepers are replaced two at a time. It shows as a
/// majority that knows nothing of the claims before it. A patch that fails this check must be
/// made in two.
pub fn moves_one(before: &Table, after: &Table) -> bool {
    let same_shape = before.is_empty() || before.len() == after.len();
    let one =
        |(b, a): (&[HostId; 3], &[HostId; 3])| a.iter().filter(|h| !b.contains(h)).count() <= 1;
    same_shape && before.iter().zip(after).all(one)
}
