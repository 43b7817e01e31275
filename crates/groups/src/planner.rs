//! The planner of one group: it collects reports, decides on moves, and records its reasons.

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

/// How many decisions are kept for the status.
const HISTORY_LENGTH: usize = 32;

data! {
    /// A past decision, as status and timeline print it.
    pub struct DecisionRecord {
        /// When it was made.
        pub at: Moment,
        /// The map that was in force.
        pub base: MapVersion,
        /// The number of slots that would change.
        pub moves: u32,
        /// The reason for it.
        pub reason: Reason,
    }
}

impl fmt::Display for DecisionRecord {
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

/// An input of a planner.
#[derive(Debug, Clone)]
pub enum PlannerInput {
    /// A report of the tokens of each expert.
    Counts(Counts),
    /// The work of each rank in a step.
    Works(Vec<Work>),
    /// The phase that the group is in.
    Phase(Phase),
    /// A map came into force.
    InForce(MapVersion, SharedMap),
    /// A decision is due, under this fencing number.
    Decide(Fence),
}

/// An action that a planner asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlannerOutput {
    /// Propose this map to the group's lead.
    Propose(Proposal),
    /// Record an event for the timeline.
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
    history: VecDeque<DecisionRecord>,
}

impl Planner {
    /// Creates a planner that has no reports yet.
    pub fn new(policy: Policy) -> Self {
        let pace = Smoothing::from_weights(policy.weights.skew, policy.weights.disturbance);
        Self {
            policy,
            popularity: Popularity::new(pace),
            works: Vec::new(),
            phase: Phase::default(),
            current: None,
            since: Moment::ZERO,
            history: VecDeque::new(),
        }
    }

    /// Handles an input and returns the actions that follow from it.
    pub fn handle(&mut self, now: Moment, input: PlannerInput) -> Vec<PlannerOutput> {
        match input {
            PlannerInput::Counts(counts) => self.popularity.record(&counts),
            PlannerInput::Works(works) => self.works = works,
            PlannerInput::Phase(phase) => self.phase = phase,
            PlannerInput::InForce(version, map) => self.set_map_in_force(now, version, map),
            PlannerInput::Decide(fence) => return self.decide(now, fence),
        }
        Vec::new()
    }

    /// Returns the last decisions, the oldest first.
    pub fn history(&self) -> impl Iterator<Item = &DecisionRecord> {
        self.history.iter()
    }

    fn set_map_in_force(&mut self, now: Moment, version: MapVersion, map: SharedMap) {
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
        self.record(now, base, &decision);
        let event = PlannerOutput::Event(decision.event(), decision.reason);
        if decision.moves.is_empty() {
            return vec![event];
        }
        let map = Arc::new(map.with_moves(&decision.moves));
        vec![event, PlannerOutput::Propose(Proposal { fence, base, map })]
    }

    fn record(&mut self, at: Moment, base: MapVersion, decision: &Decision) {
        if self.history.len() == HISTORY_LENGTH {
            self.history.pop_front();
        }
        self.history.push_back(DecisionRecord {
            at,
            base,
            moves: decision.moves.len() as u32,
            reason: decision.reason.clone(),
        });
    }
}
