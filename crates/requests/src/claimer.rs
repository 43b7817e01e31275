//! Claims one attempt of a key at its three keepers.

use snipemast_core::prelude::*;

use crate::claim::{
    AcceptedClaim, ClaimKey, ClaimSlot, ClaimValue, KeeperAnswer, KeeperAsk, KeepersHash, Round,
};
use crate::plan::{ClaimResult, Target};

/// The number of keepers of a key.
const KEEPERS: usize = 3;
/// The number of keepers that decide a claim.
const MAJORITY: usize = 2;
/// The number of rounds after which a claim is given up.
const MAX_ROUNDS: u64 = 8;
/// The base of the pause between rounds, which grows with each round.
const ROUND_PAUSE: Span = Span::from_millis(5);

/// What a claimer does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimStep {
    /// Send a request to these keepers, given by their position in the table.
    Ask(Vec<usize>, KeeperAsk),
    /// Begin another round after this pause.
    Pause(Span),
    /// Wait for more answers.
    Wait,
    /// The claim is decided, with the chosen value and the number of the key's attempt.
    Done(ClaimResult, Option<ClaimValue>, u64),
}

/// What a claimer waits for in its round.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Phase {
    Preparing,
    Accepting(ClaimValue),
    Pausing,
    Done,
}

/// Claims one attempt of a key by single-decree Paxos among its three keepers.
///
/// It guards against two sends of one key that reach two entries at the same time and would both
/// run. For each attempt of a key a majority of the keepers chooses one value. A later claimer
/// completes that value before it attaches to it. The next attempt is claimed only after the
/// agent of the chosen one has barred or refused it.
#[derive(Debug)]
pub struct Claimer {
    slot: ClaimSlot,
    proposal: ClaimValue,
    keepers: KeepersHash,
    keep: Span,
    round: Round,
    rounds: u64,
    phase: Phase,
    promises: Vec<(usize, ProcessId, Option<AcceptedClaim>)>,
    accepts: usize,
    answered: [bool; KEEPERS],
    asked: usize,
    highest_round: u64,
}

impl Claimer {
    /// Creates a claimer of this attempt of a key for a value, at the keepers of the key's shard.
    pub fn new(
        key: ClaimKey,
        attempt: u64,
        proposal: ClaimValue,
        keepers: &[HostId; 3],
        keep: Span,
    ) -> Self {
        let round = Round {
            number: 1,
            by: proposal.target.id.clone(),
        };
        Self {
            slot: ClaimSlot { key, attempt },
            proposal,
            keepers: KeepersHash::for_hosts(keepers),
            keep,
            round,
            rounds: 0,
            phase: Phase::Preparing,
            promises: Vec::new(),
            accepts: 0,
            answered: [false; KEEPERS],
            asked: KEEPERS,
            highest_round: 1,
        }
    }

    /// Begins a round. It is called first, and again after each pause.
    pub fn begin(&mut self) -> ClaimStep {
        self.rounds += 1;
        if self.rounds > MAX_ROUNDS {
            return self.finish(ClaimResult::Undecided, None);
        }
        self.phase = Phase::Preparing;
        self.promises.clear();
        self.accepts = 0;
        self.answered = [false; KEEPERS];
        self.asked = KEEPERS;
        let ask = KeeperAsk::Prepare {
            slot: self.slot.clone(),
            round: self.round.clone(),
            keepers: self.keepers,
            keep: self.keep,
        };
        ClaimStep::Ask((0..KEEPERS).collect(), ask)
    }

    /// Returns the current round. Answers to earlier rounds are ignored.
    pub fn round(&self) -> &Round {
        &self.round
    }

    /// Handles the answer of a keeper, or that none came in time.
    pub fn handle(
        &mut self,
        round: &Round,
        keeper: usize,
        answer: Option<KeeperAnswer>,
    ) -> ClaimStep {
        let stale = *round != self.round || self.answered[keeper];
        match (&self.phase, answer) {
            (Phase::Pausing | Phase::Done, _) => ClaimStep::Wait,
            _ if stale => ClaimStep::Wait,
            (Phase::Preparing, Some(KeeperAnswer::Promised { by, accepted })) => {
                self.answered[keeper] = true;
                self.promises.push((keeper, by, accepted));
                self.propose_if_promised()
            }
            (Phase::Accepting(value), Some(KeeperAnswer::Accepted { .. })) => {
                let value = value.clone();
                self.answered[keeper] = true;
                self.accepts += 1;
                self.finish_if_accepted(value)
            }
            (_, Some(KeeperAnswer::Ahead { attempt })) => {
                self.slot.attempt = attempt;
                self.next_round(self.round.number)
            }
            (_, Some(KeeperAnswer::Outrun { round })) => self.next_round(round.number),
            (_, _) => {
                self.answered[keeper] = true;
                self.wait_or_retry()
            }
        }
    }

    /// Asks the keepers to accept a value once a majority has promised the round.
    ///
    /// If they have accepted values before, the one of the latest round must be chosen.
    fn propose_if_promised(&mut self) -> ClaimStep {
        if self.promises.len() < MAJORITY {
            return self.wait_or_retry();
        }
        let latest = self.promises.iter().filter_map(|(_, _, a)| a.as_ref());
        let latest = latest.max_by(|a, b| a.round.cmp(&b.round));
        let value = latest.map_or(&self.proposal, |a| &a.value).clone();
        if value.body != self.proposal.body {
            return self.finish(ClaimResult::Mismatch, None);
        }
        let keepers: Vec<usize> = self.promises.iter().map(|(k, _, _)| *k).collect();
        let promised = self.promises.iter().map(|(_, by, _)| by.clone()).collect();
        let ask = KeeperAsk::Accept {
            slot: self.slot.clone(),
            round: self.round.clone(),
            value: value.clone(),
            keepers: self.keepers,
            promised,
            keep: self.keep,
        };
        self.phase = Phase::Accepting(value);
        self.asked = keepers.len();
        self.answered = [true; KEEPERS];
        keepers.iter().for_each(|k| self.answered[*k] = false);
        ClaimStep::Ask(keepers, ask)
    }

    /// Ends the claim once a majority has accepted the value.
    fn finish_if_accepted(&mut self, value: ClaimValue) -> ClaimStep {
        if self.accepts < MAJORITY {
            return self.wait_or_retry();
        }
        let claimed = if value.target == self.proposal.target {
            ClaimResult::Won
        } else {
            ClaimResult::Held(value.target.clone())
        };
        self.finish(claimed, Some(value))
    }

    /// Begins another round if this one can't reach a majority any more, or waits.
    fn wait_or_retry(&mut self) -> ClaimStep {
        let open = self.answered.iter().filter(|a| !**a).count();
        let got = match self.phase {
            Phase::Preparing => self.promises.len(),
            Phase::Accepting(_) => self.accepts,
            Phase::Pausing | Phase::Done => return ClaimStep::Wait,
        };
        if got + open >= MAJORITY {
            ClaimStep::Wait
        } else {
            self.next_round(self.round.number)
        }
    }

    /// Gives the round up for a higher one, after a pause.
    fn next_round(&mut self, number: u64) -> ClaimStep {
        self.highest_round = self.highest_round.max(number);
        self.round.number = self.highest_round + 1;
        self.phase = Phase::Pausing;
        if self.rounds >= MAX_ROUNDS {
            return self.finish(ClaimResult::Undecided, None);
        }
        // Two claimers that overtook each other must not begin their next rounds together.
        let spread = 1 + self.proposal.target.id.counter % 7;
        ClaimStep::Pause(ROUND_PAUSE.times(self.rounds * spread))
    }

    fn finish(&mut self, claimed: ClaimResult, value: Option<ClaimValue>) -> ClaimStep {
        self.phase = Phase::Done;
        ClaimStep::Done(claimed, value, self.slot.attempt)
    }

    /// Returns the claimer's own attempt.
    pub fn target(&self) -> &Target {
        &self.proposal.target
    }
}
