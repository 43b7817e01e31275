//! The rebalancing policy: a pure function of the loads, the map, the costs and the group's two
//! weights.

use std::fmt;

use snipemast_core::data;
use snipemast_core::prelude::*;

use crate::map::{ExpertMap, Move};
use crate::pace::Health;
use crate::search::{candidate_paths, Path, Point};

data! {
    /// The two weights of a group, each from 0 to 1000.
    #[derive(Copy, Hash)]
    pub struct Weights {
        /// The weight of skew between ranks.
        pub skew: u32,
        /// The weight of the disturbance by weight loads and disturbed requests.
        pub disturbance: u32,
    }

    /// The costs of moves, and how long they pay off.
    #[derive(Copy, Hash)]
    pub struct Costs {
        /// The cost of one weight load and the requests that it disturbs, in thousandths of the
        /// time that a layer takes in a step.
        pub load: u32,
        /// The cost of a switch to another map, in the same unit.
        pub switch: u32,
        /// The number of steps for which a move pays off, before the loads have drifted away.
        pub horizon: u32,
    }

    /// The limits of decisions.
    #[derive(Copy, Hash)]
    pub struct Bounds {
        /// The most weight loads of one stage, all layers together.
        pub stage: u32,
        /// The most weight loads of one stage in one layer.
        pub layer: u32,
        /// The largest gap, in thousandths of the mean load, at which nothing is moved.
        pub still: u32,
        /// The ratio of saving to cost that a move must exceed, in hundredths.
        pub ratio: u32,
        /// The shortest time between two switches.
        pub cooldown: Span,
        /// The age above which reports are too old to base moves on.
        pub stale: Span,
    }

    /// The phase that a group is in.
    #[derive(Copy, Default, Hash)]
    pub enum Phase {
        /// It is stepping.
        #[default]
        Stepping,
        /// It is forming again.
        Forming,
        /// An availability zone or a rank is cut off from it.
        CutOff,
        /// The fleet is restarting.
        Restarting,
        /// An operator has frozen it.
        Frozen,
    }

    /// Why moves were made or declined.
    #[derive(Hash)]
    pub enum Reason {
        /// They save more skew than they cost.
        Worthwhile {
            /// The number of weight loads.
            loads: u32,
            /// The mean gap between ranks before, in thousandths of the mean load.
            before: u32,
            /// The mean gap after.
            after: u32,
        },
        /// The group is not stepping but in this phase.
        Unsettled(Phase),
        /// The last switch was too recent.
        Cooling {
            /// How long moves still have to wait.
            left: Span,
        },
        /// No report is recent enough.
        Stale,
        /// Ranks are slow by themselves, which moving experts would not improve.
        Straggler {
            /// The slowest rank.
            rank: u32,
            /// Its health.
            health: Health,
        },
        /// The gap between ranks is small enough.
        Even {
            /// The widest gap, in thousandths of the mean load.
            gap: u32,
        },
        /// The moves would cost more than they save.
        Costly {
            /// The saving of the best moves, in thousandths of a layer's time.
            saved: u32,
            /// Their cost, in thousandths of a layer's time, at the group's weights.
            cost: u32,
        },
    }
}

/// The state that a decision depends on.
#[derive(Debug, Clone, Copy)]
pub struct Situation<'a> {
    /// The map in force.
    pub map: &'a ExpertMap,
    /// Each expert's share of its layer's load, by layer.
    pub shares: &'a [Vec<f64>],
    /// The health of each rank.
    pub health: &'a [Health],
    /// The phase that the group is in.
    pub phase: Phase,
    /// The time since the map came into force.
    pub since: Span,
    /// The age of the newest report.
    pub age: Span,
}

/// A decision and its reason.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Decision {
    /// The moves; empty where they were declined.
    pub moves: Vec<Move>,
    /// The reason for the decision.
    pub reason: Reason,
}

/// The policy of one group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Policy {
    /// The operator's weights.
    pub weights: Weights,
    /// The costs of moves.
    pub costs: Costs,
    /// The limits of decisions.
    pub bounds: Bounds,
}

/// The best prefix of a layer's path, with what it saves beyond its cost.
#[derive(Debug)]
struct Stage {
    path: Path,
    point: Point,
    net: f64,
}

impl Weights {
    /// Creates the weights of skew and disturbance.
    pub fn new(skew: u32, disturbance: u32) -> Self {
        Self { skew, disturbance }
    }
}

impl Default for Costs {
    fn default() -> Self {
        Self {
            load: 6_000,
            switch: 1_000,
            horizon: 6_000,
        }
    }
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            stage: 4_096,
            layer: 32,
            still: 40,
            ratio: 150,
            cooldown: Span::from_secs(10),
            stale: Span::from_secs(60),
        }
    }
}

impl Policy {
    /// Creates a policy with the default costs and bounds.
    pub fn new(weights: Weights) -> Self {
        Self {
            weights,
            costs: Costs::default(),
            bounds: Bounds::default(),
        }
    }

    /// Sets the costs.
    #[must_use]
    pub fn with_costs(mut self, costs: Costs) -> Self {
        self.costs = costs;
        self
    }

    /// Sets the bounds.
    #[must_use]
    pub fn with_bounds(mut self, bounds: Bounds) -> Self {
        self.bounds = bounds;
        self
    }

    /// Decides on the next stage of moves.
    pub fn decide(&self, situation: &Situation<'_>) -> Decision {
        if let Some(reason) = self.find_obstacle(situation) {
            return Decision::declined(reason);
        }
        let layers = situation.map.layers.iter().zip(situation.shares);
        let bound = self.bounds.layer as usize;
        let paths = layers
            .enumerate()
            .map(|(n, (layer, shares))| candidate_paths(n as u16, layer, shares, bound));
        self.combine(paths.collect())
    }

    /// Returns the reason that forbids any move, if there is one.
    ///
    /// Failure guarded against: moves are made on top of another disturbance. A group that is
    /// forming, cut off or restarting shows loads that no rebalancing improves, and its weight
    /// store has more urgent work. A slow rank would make experts move back and forth.
    fn find_obstacle(&self, situation: &Situation<'_>) -> Option<Reason> {
        if situation.phase != Phase::Stepping {
            return Some(Reason::Unsettled(situation.phase));
        }
        if situation.since < self.bounds.cooldown {
            let left = self.bounds.cooldown.as_micros() - situation.since.as_micros();
            return Some(Reason::Cooling {
                left: Span::from_micros(left),
            });
        }
        if situation.age > self.bounds.stale || situation.shares.is_empty() {
            return Some(Reason::Stale);
        }
        let stragglers = situation.health.iter().enumerate();
        stragglers
            .filter(|(_, h)| **h != Health::Sound)
            .max_by_key(|(_, h)| severity(**h))
            .map(|(rank, health)| Reason::Straggler {
                rank: rank as u32,
                health: *health,
            })
    }

    /// Combines the best prefix of each layer's paths, first those that gain most per weight load.
    fn combine(&self, layers: Vec<Vec<Path>>) -> Decision {
        let count = layers.len().max(1) as f64;
        let gaps = layers.iter().map(|paths| paths[0].points[0].gap);
        let before = gaps.clone().sum::<f64>() / count;
        let widest = gaps.fold(0.0, f64::max);
        if thousandths(widest) <= self.bounds.still {
            return Decision::declined(Reason::Even {
                gap: thousandths(widest),
            });
        }
        let mut stages: Vec<Stage> = layers
            .into_iter()
            .map(|paths| self.best_stage(paths))
            .collect();
        stages.sort_by(|a, b| a.net_per_load().total_cmp(&b.net_per_load()).reverse());
        let mut moves = Vec::new();
        let (mut loads, mut net, mut saved) = (0, 0.0, 0.0);
        for stage in &stages {
            let fits = loads + stage.point.loads <= self.bounds.stage as usize;
            if stage.point.loads > 0 && stage.net > 0.0 && fits {
                moves.extend_from_slice(&stage.path.moves[..stage.point.moves]);
                loads += stage.point.loads;
                net += stage.net;
                saved += stage.path.points[0].gap - stage.point.gap;
            }
        }
        let switch = self.weighted_cost(f64::from(self.costs.switch) / 1e3);
        if moves.is_empty() || net <= switch {
            return self.too_costly(&stages);
        }
        let reason = Reason::Worthwhile {
            loads: loads as u32,
            before: thousandths(before),
            after: thousandths(before - saved / count),
        };
        Decision { moves, reason }
    }

    /// Returns the best prefix among all paths, which saves most beyond its cost.
    fn best_stage(&self, paths: Vec<Path>) -> Stage {
        let stages = paths.into_iter().map(|path| self.best_prefix(path));
        let best = stages.reduce(|a, b| if b.net > a.net { b } else { a });
        best.expect("the search without packing always yields a path")
    }

    /// Returns the prefix of a path that saves most beyond its cost.
    fn best_prefix(&self, path: Path) -> Stage {
        let start = path.points[0];
        let mut best = Stage {
            point: start,
            net: 0.0,
            path: Path::default(),
        };
        for point in &path.points {
            let net = self.saving(start.gap - point.gap) - self.load_cost(point.loads);
            if net > best.net {
                best.net = net;
                best.point = *point;
            }
        }
        best.path = path;
        best
    }

    /// Returns the skew that is saved over the horizon, in steps, at the group's weight of skew.
    fn saving(&self, gap: f64) -> f64 {
        gap * f64::from(self.costs.horizon) * f64::from(self.weights.skew) / 1e3
    }

    /// Returns the cost of weight loads, with the margin that keeps small gains from causing moves.
    fn load_cost(&self, loads: usize) -> f64 {
        let ratio = f64::from(self.bounds.ratio) / 100.0;
        self.weighted_cost(loads as f64 * f64::from(self.costs.load) / 1e3) * ratio
    }

    /// Returns a cost in steps at the group's weight of disturbance.
    fn weighted_cost(&self, steps: f64) -> f64 {
        steps * f64::from(self.weights.disturbance) / 1e3
    }

    fn too_costly(&self, stages: &[Stage]) -> Decision {
        let best = stages.iter().filter_map(|s| {
            let first = s.path.points.get(1)?;
            let gap = s.path.points[0].gap - first.gap;
            Some((self.saving(gap), self.load_cost(first.loads)))
        });
        let (saved, cost) = best
            .max_by(|a, b| (a.0 - a.1).total_cmp(&(b.0 - b.1)))
            .unwrap_or_default();
        Decision::declined(Reason::Costly {
            saved: thousandths(saved),
            cost: thousandths(cost),
        })
    }
}

impl Stage {
    fn net_per_load(&self) -> f64 {
        self.net / self.point.loads.max(1) as f64
    }
}

impl Decision {
    fn declined(reason: Reason) -> Self {
        let moves = Vec::new();
        Self { moves, reason }
    }

    /// Returns the event that the timeline shows.
    pub fn event(&self) -> Event {
        if self.moves.is_empty() {
            Event::MoveDeclined
        } else {
            Event::MovePlanned
        }
    }
}

impl fmt::Display for Phase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Stepping => "stepping",
            Self::Forming => "being formed anew",
            Self::CutOff => "cut off",
            Self::Restarting => "restarting",
            Self::Frozen => "frozen by an operator",
        })
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Worthwhile {
                loads,
                before,
                after,
            } => {
                let (before, after) = (percent(*before), percent(*after));
                write!(f, "{loads} loads bring the gap from {before} to {after}")
            }
            Self::Unsettled(phase) => write!(f, "the group is {phase}"),
            Self::Cooling { left } => write!(f, "the last switch is near; {left} to wait"),
            Self::Stale => f.write_str("no report of the experts' load is new enough"),
            Self::Straggler { rank, health } => {
                write!(
                    f,
                    "rank {rank} is {health}; moving experts would not mend it"
                )
            }
            Self::Even { gap } => write!(f, "the widest gap is {} only", percent(*gap)),
            Self::Costly { saved, cost } => {
                let (saved, cost) = (f64::from(*saved) / 1e3, f64::from(*cost) / 1e3);
                write!(
                    f,
                    "the best move saves {saved:.1} layer times and costs {cost:.1}"
                )
            }
        }
    }
}

fn severity(health: Health) -> u32 {
    match health {
        Health::Sound => 0,
        Health::Slow(hundredths) => hundredths,
        Health::Stalled => u32::MAX,
    }
}

fn thousandths(value: f64) -> u32 {
    (value.max(0.0) * 1e3) as u32
}

fn percent(thousandths: u32) -> String {
    format!("{:.1} %", f64::from(thousandths) / 10.0)
}
