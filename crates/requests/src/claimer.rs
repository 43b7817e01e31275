//! Claims one attempt of a key at its three keepers.

use snipemast_core::prelude::*;

use crate::claim::{
    AcceptedClaim, ClaimKey, ClaimValue, KeeperAnswer, KeeperAsk, KeepersMark, Round, Slot,
};
use crate::plan::{ClaimResult, Target};

/// The keepers of a key.
const KEEPERS: usize = 3;
/// How many of them decide.
const MAJORITY: usize = 2;
/// How often another round is tried before the claim is given up.
const ROUNDS: u64 = 8;
/// The first pause between rounds; it grows by the round.
const PAUSE: Span = Span::from_millis(5);

/// What a claimer wants next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimStep {
    /// Ask these keepers, by their place in the table.
    Ask(Vec<usize>, KeeperAsk),
    /// Ask again after this pause.
    Pause(Span),
    /// Wait for further answers.
    Wait,
    /// The claim is decided: for this value, and this attempt of the key.
    Done(ClaimResult, Option<ClaimValue>, u64),
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Phase {
    Preparing,
    Accepting(ClaimValue),
    Pausing,
    Done,
}

/// Claims one attempt of a key: single-decree agreement among three keepers.
///
/// Failure guarded against: two sends of one key that reach two entries at once. It shows as
/// two runs. For each attempt of a key a majority of keepers chooses one value, and whoever
/// comes second completes that value before attaching to it; the next attempt is claimed only
/// after the chosen one was barred or refused by its agent.
#[derive(Debug)]
pub struct Claimer {
    slot: Slot,
    own: ClaimValue,
    keepers: KeepersMark,
    keep: Span,
    round: Round,
    rounds: u64,
    phase: Phase,
    promises: Vec<(usize, ProcessId, Option<AcceptedClaim>)>,
    accepts: usize,
    answered: [bool; KEEPERS],
    asked: usize,
    highest: u64,
}

impl Claimer {
    /// Claims this attempt of a key for a value, at the shard's keepers.
    pub fn new(
        key: ClaimKey,
        attempt: u64,
        own: ClaimValue,
        keepers: &[HostId; 3],
        keep: Span,
    ) -> Self {
        let round = Round {
            number: 1,
            by: own.target.id.clone(),
        };
        Self {
            slot: Slot { key, attempt },
            own,
            keepers: KeepersMark::of(keepers),
            keep,
            round,
            rounds: 0,
            phase: Phase::Preparing,
            promises: Vec::new(),
            accepts: 0,
            answered: [false; KEEPERS],
            asked: KEEPERS,
            highest: 1,
        }
    }

    /// Begins a round.
    pub fn begin(&mut self) -> ClaimStep {
        self.rounds += 1;
        if self.rounds > ROUNDS {
            return self.done(ClaimResult::Undecided, None);
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

    /// The round that is under way; answers to earlier rounds are passed over.
    pub fn round(&self) -> &Round {
        &self.round
    }

    /// Takes a keeper's answer, or nothing where none came in time.
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
                self.promised()
            }
            (Phase::Accepting(value), Some(KeeperAnswer::Accepted { .. })) => {
                let value = value.clone();
                self.answered[keeper] = true;
                self.accepts += 1;
                self.accepted(value)
            }
            (_, Some(KeeperAnswer::Ahead { attempt })) => {
                self.slot.attempt = attempt;
                self.next_round(self.round.number)
            }
            (_, Some(KeeperAnswer::Outrun { round })) => self.next_round(round.number),
            (_, _) => {
                self.answered[keeper] = true;
                self.without()
            }
        }
    }

    fn promised(&mut self) -> ClaimStep {
        if self.promises.len() < MAJORITY {
            return self.without();
        }
        let latest = self.promises.iter().filter_map(|(_, _, a)| a.as_ref());
        let latest = latest.max_by(|a, b| a.round.cmp(&b.round));
        let value = latest.map_or(&self.own, |a| &a.value).clone();
        if value.body != self.own.body {
            return self.done(ClaimResult::Mismatch, None);
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

    fn accepted(&mut self, value: ClaimValue) -> ClaimStep {
        if self.accepts < MAJORITY {
            return self.without();
        }
        let claimed = if value.target == self.own.target {
            ClaimResult::Won
        } else {
            ClaimResult::Held(value.target.clone())
        };
        self.done(claimed, Some(value))
    }

    /// Goes to another round once a majority can't be reached in this one.
    fn without(&mut self) -> ClaimStep {
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

    fn next_round(&mut self, number: u64) -> ClaimStep {
        self.highest = self.highest.max(number);
        self.round.number = self.highest + 1;
        self.phase = Phase::Pausing;
        if self.rounds >= ROUNDS {
            return self.done(ClaimResult::Undecided, None);
        }
        // Two claimers that outran each other must not do so again in step.
        let spread = 1 + self.own.target.id.counter % 7;
        ClaimStep::Pause(PAUSE.times(self.rounds * spread))
    }

    fn done(&mut self, claimed: ClaimResult, value: Option<ClaimValue>) -> ClaimStep {
        self.phase = Phase::Done;
        ClaimStep::Done(claimed, value, self.slot.attempt)
    }

    /// The attempt that is claimed for.
    pub fn target(&self) -> &Target {
        &self.own.target
    }
}
