//! One group's planner: takes reports, decides now and then, and remembers why.

use std::collections::VecDeque;
use std::fmt;
use std::sync::Arc;

use snipemast_core::data;
use snipemast_core::prelude::*;

use crate::agree::message::SharedMap;
use crate::agree::Proposal;
use crate::estimate::{Counts, Popularity, Smoothing};
use crate::pace::{rank_health, Work};
use crate::policy::{Decision, Phase, Policy, Reason, Situation};

/// How many decisions are remembered for the status.
const REMEMBERED: usize = 32;

data! {
    /// A decision of the past, as status and time line print it.
    pub struct Verdict {
        /// When.
        pub at: Moment,
        /// The map that it was about.
        pub base: MapVersion,
        /// How many slots would change.
        pub moves: u32,
        /// Why.
        pub reason: Reason,
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            at,
            base,
            moves,
            reason,
        } = self;
        write!(f, "{at} map {base}: ")?;
        match moves {
            0 => write!(f, "nothing moved: {reason}"),
            n => write!(f, "{n} slots change: {reason}"),
        }
    }
}

/// What a planner is told.
#[derive(Debug, Clone)]
pub enum PlannerInput {
    /// Tokens that experts took.
    Counts(Counts),
    /// What each rank did in a step.
    Works(Vec<Work>),
    /// What the group is doing otherwise.
    Phase(Phase),
    /// A map came into force.
    InForce(MapVersion, SharedMap),
    /// It is time to decide, under this fencing number.
    Decide(Fence),
}

/// What a planner wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlannerOutput {
    /// Propose this map to the group's lead.
    Propose(Proposal),
    /// For the time line.
    Event(Event, Reason),
}

/// The planner of one group.
#[derive(Debug, Clone)]
pub struct Planner {
    policy: Policy,
    popularity: Popularity,
    works: Vec<Work>,
    phase: Phase,
    current: Option<(MapVersion, SharedMap)>,
    since: Moment,
    verdicts: VecDeque<Verdict>,
}

impl Planner {
    /// A planner that has seen nothing.
    pub fn new(policy: Policy) -> Self {
        let pace = Smoothing::from_weights(policy.weights.skew, policy.weights.disturbance);
        Self {
            policy,
            popularity: Popularity::new(pace),
            works: Vec::new(),
            phase: Phase::default(),
            current: None,
            since: Moment::ZERO,
            verdicts: VecDeque::new(),
        }
    }

    /// Takes an input and says what is to be done.
    pub fn handle(&mut self, now: Moment, input: PlannerInput) -> Vec<PlannerOutput> {
        match input {
            PlannerInput::Counts(counts) => self.popularity.record(&counts),
            PlannerInput::Works(works) => self.works = works,
            PlannerInput::Phase(phase) => self.phase = phase,
            PlannerInput::InForce(version, map) => self.comes_into_force(now, version, map),
            PlannerInput::Decide(fence) => return self.decide(now, fence),
        }
        Vec::new()
    }

    /// The last decisions, oldest first.
    pub fn verdicts(&self) -> impl Iterator<Item = &Verdict> {
        self.verdicts.iter()
    }

    fn comes_into_force(&mut self, now: Moment, version: MapVersion, map: SharedMap) {
        let known = self.current.as_ref().is_some_and(|(v, _)| *v == version);
        if !known {
            self.since = now;
            self.current = Some((version, map));
        }
    }

    fn decide(&mut self, now: Moment, fence: Fence) -> Vec<PlannerOutput> {
        let Some((base, map)) = self.current.clone() else {
            return Vec::new();
        };
        let health = rank_health(&self.works);
        let decision = self.policy.decide(&Situation {
            map: &map,
            shares: self.popularity.shares(),
            health: &health,
            phase: self.phase,
            since: now.since(self.since),
            age: self
                .popularity
                .age(now)
                .unwrap_or(Span::from_secs(u64::MAX / 1_000_000)),
        });
        self.remember(now, base, &decision);
        let event = PlannerOutput::Event(decision.event(), decision.reason);
        if decision.moves.is_empty() {
            return vec![event];
        }
        let map = Arc::new(map.with_moves(&decision.moves));
        vec![event, PlannerOutput::Propose(Proposal { fence, base, map })]
    }

    fn remember(&mut self, at: Moment, base: MapVersion, decision: &Decision) {
        if self.verdicts.len() == REMEMBERED {
            self.verdicts.pop_front();
        }
        self.verdicts.push_back(Verdict {
            at,
            base,
            moves: decision.moves.len() as u32,
            reason: decision.reason.clone(),
        });
    }
}
