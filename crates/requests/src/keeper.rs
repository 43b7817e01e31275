//! A keeper: one of the three processes that remember the attempt claimed for a key.

use std::collections::{BTreeMap, BTreeSet};

use snipemast_core::prelude::*;

use crate::claim::{
    AcceptedClaim, ClaimKey, ClaimSlot, CopiedClaim, KeeperAnswer, KeeperAsk, KeepersHash, Round,
};

/// The keepers of each shard.
pub type KeeperTable = Vec<[HostId; 3]>;

/// The number of other keepers that a shard is copied from.
const REQUIRED_COPIES: usize = 2;

/// Whether a keeper votes in a shard.
#[derive(Debug, Clone, PartialEq, Eq)]
enum VotingState {
    /// The keeper votes.
    Voting,
    /// The keeper does not vote before it has copied the shard from two of these hosts, or every
    /// claim that it may have forgotten has expired.
    Copying {
        from: Vec<HostId>,
        done: BTreeSet<HostId>,
        until: Moment,
    },
    /// The keeper no longer votes, but its claims are still there to be copied.
    Left,
}

/// The latest attempt of a key that a keeper knows.
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
    state: VotingState,
    claims: BTreeMap<ClaimKey, Claim>,
    expiry: BTreeSet<(Moment, ClaimKey)>,
    /// The newest incarnation of each keeper that copied this shard.
    copiers: BTreeMap<HostId, Incarnation>,
    /// A keeper of a later table that copied this shard. The keeper does not vote before it has
    /// that table.
    awaited_host: Option<HostId>,
}

/// A keeper, which votes on the claims of its shards.
///
/// It guards against a keeper that restarts and has forgotten what it promised and accepted. Two
/// attempts of one key could then both run, each accepted by a majority in which the keeper counts
/// once before and once after its restart. Three rules prevent that:
///
/// - A restarted keeper does not vote until it has copied the shard from both others.
/// - An accept request names the incarnations that promised it, and a keeper abstains if the
///   request does not name its current incarnation.
/// - A keeper that another one has copied from abstains if the request names an earlier incarnation
///   of that other one.
#[derive(Debug)]
pub struct Keeper {
    own: ProcessId,
    started: Moment,
    retention: Span,
    max_claims: usize,
    table: KeeperTable,
    shards: BTreeMap<u32, Shard>,
}

impl Keeper {
    /// Creates a keeper without shards, in a process that started at this moment.
    ///
    /// It remembers each claim for at most `retention`, and at most `max_claims` claims per shard.
    pub fn new(own: ProcessId, started: Moment, retention: Span, max_claims: usize) -> Self {
        Self {
            own,
            started,
            retention,
            max_claims,
            table: KeeperTable::new(),
            shards: BTreeMap::new(),
        }
    }

    /// Applies a later table of keepers.
    pub fn apply_table(&mut self, now: Moment, table: &KeeperTable) {
        if self.table.len() != table.len() {
            return self.reset_shards(now, table);
        }
        for (number, hosts) in table.iter().enumerate() {
            let before = self.table[number].clone();
            let (was_keeper, is_keeper) = (
                before.contains(&self.own.host),
                hosts.contains(&self.own.host),
            );
            if let Some(shard) = self.shards.get_mut(&(number as u32)) {
                shard.awaited_host.take_if(|host| hosts.contains(host));
            }
            if !was_keeper && is_keeper {
                let from = self.other_hosts(&before);
                self.add_shard(now, number as u32, from);
            } else if was_keeper && !is_keeper {
                if let Some(shard) = self.shards.get_mut(&(number as u32)) {
                    shard.state = VotingState::Left;
                }
            }
        }
        self.table = table.clone();
    }

    /// Applies the first table, or one with another number of shards.
    ///
    /// The first table may be older than this process, so an earlier incarnation may have voted
    /// under it. The keeper therefore copies its shards, unless the process has run for so long
    /// that every claim an earlier one forgot has expired. With another number of shards each key
    /// has other keepers, so the keeper waits until every claim of the old table has expired.
    fn reset_shards(&mut self, now: Moment, table: &KeeperTable) {
        let first = self.table.is_empty();
        self.shards.clear();
        for (number, hosts) in table.iter().enumerate() {
            if !hosts.contains(&self.own.host) {
                continue;
            }
            let state = match first {
                true => self.copying_state(self.started, self.other_hosts(hosts)),
                false => self.copying_state(now, Vec::new()),
            };
            self.shards.insert(number as u32, Shard::new(state));
        }
        self.table = table.clone();
    }

    fn add_shard(&mut self, now: Moment, number: u32, from: Vec<HostId>) {
        let state = self.copying_state(now, from);
        self.shards.insert(number, Shard::new(state));
    }

    /// Returns the state of a shard that has to be copied from these hosts.
    fn copying_state(&self, now: Moment, from: Vec<HostId>) -> VotingState {
        VotingState::Copying {
            from,
            done: BTreeSet::new(),
            until: now + self.retention,
        }
    }

    fn other_hosts(&self, hosts: &[HostId; 3]) -> Vec<HostId> {
        let others = hosts.iter().filter(|h| **h != self.own.host);
        others.cloned().collect()
    }

    /// Returns the copies that are still missing, as the shard and the host to copy it from.
    pub fn missing_copies(&self) -> Vec<(u32, HostId)> {
        let mut missing = Vec::new();
        for (number, shard) in &self.shards {
            if let VotingState::Copying { from, done, .. } = &shard.state {
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
            } if self.has_same_keepers(&slot, keepers) => self.prepare(now, slot, round, keep),
            KeeperAsk::Accept {
                slot,
                round,
                value,
                keepers,
                promised,
                keep,
            } if self.has_same_keepers(&slot, keepers) => {
                self.accept(now, slot, AcceptedClaim { round, value }, &promised, keep)
            }
            KeeperAsk::Prepare { .. } | KeeperAsk::Accept { .. } => KeeperAnswer::Abstains,
            KeeperAsk::Copy { shard, to } => self.hand_over(now, shard, &to),
        }
    }

    /// Whether a claimer uses the same keepers for the key as this keeper's table.
    fn has_same_keepers(&self, slot: &ClaimSlot, keepers: KeepersHash) -> bool {
        let shard = self.table.get(slot.key.shard(self.table.len()));
        shard.is_some_and(|hosts| KeepersHash::for_hosts(hosts) == keepers)
    }

    fn prepare(&mut self, now: Moment, slot: ClaimSlot, round: Round, keep: Span) -> KeeperAnswer {
        let (own, retention, max_claims) = (self.own.clone(), self.retention, self.max_claims);
        let Some(shard) = self.voting_shard(now, &slot.key) else {
            return KeeperAnswer::Abstains;
        };
        if !shard.claims.contains_key(&slot.key) && shard.claims.len() >= max_claims {
            return KeeperAnswer::Abstains;
        }
        let until = now + keep.min(retention);
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
            // The previous attempt certainly did not run, or the claimer would not ask for the
            // next one.
            Some(_) | None => shard.insert(slot.clone(), round, None, until),
        }
        let accepted = shard.claims.get(&slot.key).and_then(|c| c.accepted.clone());
        KeeperAnswer::Promised { by: own, accepted }
    }

    fn accept(
        &mut self,
        now: Moment,
        slot: ClaimSlot,
        accepted: AcceptedClaim,
        promised: &[ProcessId],
        keep: Span,
    ) -> KeeperAnswer {
        let (own, retention) = (self.own.clone(), self.retention);
        let Some(shard) = self.voting_shard(now, &slot.key) else {
            return KeeperAnswer::Abstains;
        };
        if !promised.contains(&own) || shard.has_forgotten_promise(promised) {
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
        shard.insert(slot, round, Some(accepted), now + keep.min(retention));
        KeeperAnswer::Accepted { by: own }
    }

    /// Hands over the claims of a shard to another keeper.
    ///
    /// It guards against a shard that is copied and then changed under the table before the move,
    /// so that the new keeper never learns of a claim. A keeper that hands over a shard to a host
    /// that its own table doesn't name does not vote until it has the later table.
    fn hand_over(&mut self, now: Moment, number: u32, to: &ProcessId) -> KeeperAnswer {
        let hosts = self.table.get(number as usize);
        let is_later = hosts.is_some_and(|hosts| !hosts.contains(&to.host));
        let Some(shard) = self.shards.get_mut(&number) else {
            return KeeperAnswer::Abstains;
        };
        shard.expire(now);
        if matches!(shard.state, VotingState::Copying { .. }) {
            return KeeperAnswer::Abstains;
        }
        if is_later {
            shard.awaited_host = Some(to.host.clone());
        }
        let copier = shard.copiers.entry(to.host.clone()).or_default();
        *copier = to.incarnation.max(*copier);
        let copy = |(key, claim): (&ClaimKey, &Claim)| CopiedClaim {
            slot: ClaimSlot {
                key: key.clone(),
                attempt: claim.attempt,
            },
            accepted: claim.accepted.clone(),
            left: now.until(claim.until),
        };
        let claims = shard.claims.iter().map(copy).collect();
        KeeperAnswer::Copied { claims }
    }

    /// Merges the claims of a shard that another keeper handed over.
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
        let VotingState::Copying { from, done, .. } = &mut shard.state else {
            return;
        };
        if !from.contains(host) {
            return;
        }
        done.insert(host.clone());
        let complete = done.len() >= REQUIRED_COPIES;
        for claim in claims {
            shard.merge(now, claim);
        }
        if complete {
            shard.state = VotingState::Voting;
        }
    }

    /// Forgets the claims that have expired.
    pub fn expire(&mut self, now: Moment) {
        for shard in self.shards.values_mut() {
            shard.expire(now);
        }
    }

    /// Returns the number of claims that are remembered.
    pub fn len(&self) -> usize {
        self.shards.values().map(|s| s.claims.len()).sum()
    }

    /// Returns whether no claim is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns whether the keeper votes in every shard that it keeps.
    pub fn is_ready(&self, now: Moment) -> bool {
        let copies =
            |s: &Shard| matches!(s.state, VotingState::Copying { until, .. } if until > now);
        !self.shards.values().any(copies)
    }

    /// Returns the shard of a key, if the keeper votes in it.
    fn voting_shard(&mut self, now: Moment, key: &ClaimKey) -> Option<&mut Shard> {
        let number = key.shard(self.table.len()) as u32;
        let shard = self.shards.get_mut(&number)?;
        shard.expire(now);
        let is_voting = shard.state == VotingState::Voting && shard.awaited_host.is_none();
        is_voting.then_some(shard)
    }
}

impl Shard {
    fn new(state: VotingState) -> Self {
        Self {
            state,
            claims: BTreeMap::new(),
            expiry: BTreeSet::new(),
            copiers: BTreeMap::new(),
            awaited_host: None,
        }
    }

    /// Whether a keeper that gave one of these promises has restarted since and forgotten it.
    fn has_forgotten_promise(&self, promised: &[ProcessId]) -> bool {
        let forgot = |p: &ProcessId| {
            self.copiers
                .get(&p.host)
                .is_some_and(|i| p.incarnation < *i)
        };
        promised.iter().any(forgot)
    }

    fn insert(
        &mut self,
        slot: ClaimSlot,
        promised: Round,
        accepted: Option<AcceptedClaim>,
        until: Moment,
    ) {
        let ClaimSlot { key, attempt } = slot;
        let old = self.claims.get(&key).map(|c| c.until);
        // A claim never expires earlier than it was to expire before.
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

    /// Merges a copied claim if it is later than the known one.
    fn merge(&mut self, now: Moment, copy: CopiedClaim) {
        let CopiedClaim {
            slot,
            accepted,
            left,
        } = copy;
        let Some(accepted) = accepted else {
            return;
        };
        let copied = (slot.attempt, Some(accepted.round.clone()));
        let known = self.claims.get(&slot.key).map(|claim| {
            let round = claim.accepted.as_ref().map(|a| a.round.clone());
            (claim.attempt, round)
        });
        if known.is_none_or(|known| known < copied) {
            let round = accepted.round.clone();
            self.insert(slot, round, Some(accepted), now + left);
        }
    }

    fn expire(&mut self, now: Moment) {
        if matches!(self.state, VotingState::Copying { until, .. } if until <= now) {
            // Every claim that may have been forgotten has expired everywhere by now.
            self.state = VotingState::Voting;
        }
        while self.expiry.first().is_some_and(|(until, _)| *until <= now) {
            if let Some((_, key)) = self.expiry.pop_first() {
                self.claims.remove(&key);
            }
        }
    }
}
