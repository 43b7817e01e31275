//! What leads, ranks and engines tell each other.

use std::fmt;
use std::sync::Arc;

use snipemast_core::data;
use snipemast_core::prelude::*;

use super::evidence::Evidence;
use crate::map::ExpertMap;

/// A map that several messages and machines share.
pub type SharedMap = Arc<ExpertMap>;

data! {
    /// A lead's claim to lead: a later one outranks all earlier ones.
    ///
    /// Rank and start make two leads' claims differ even where both chose the same ballot.
    #[derive(Copy, Hash, PartialOrd, Ord)]
    pub struct LeadTerm {
        /// The start of the group that it leads.
        pub incarnation: GroupIncarnation,
        /// The ballot within that incarnation.
        pub ballot: Ballot,
        /// The rank whose agent leads.
        pub rank: u32,
        /// The start of that agent.
        pub start: Incarnation,
    }

    /// One attempt to bring a map into force.
    #[derive(Copy, Hash, PartialOrd, Ord)]
    pub struct Attempt {
        /// The term that opened it.
        #[serde(rename = "reign")]
        pub term: LeadTerm,
        /// The version that the map would get.
        pub version: MapVersion,
        /// The first step that would use it.
        pub switch: Step,
    }

    /// What became of an attempt.
    #[derive(Copy, Hash)]
    pub enum Verdict {
        /// Every rank enters the switch step with the new map.
        Commit,
        /// Every rank enters the switch step with the old map.
        Abort,
    }

    /// An attempt and its verdict.
    #[derive(Copy, Hash)]
    pub struct Decided {
        /// The attempt.
        pub attempt: Attempt,
        /// Its verdict.
        pub verdict: Verdict,
    }

    /// A map in force on a group.
    #[derive(Hash)]
    pub struct ActiveMap {
        /// The incarnation of the group.
        pub incarnation: GroupIncarnation,
        /// The version of the map.
        pub version: MapVersion,
        /// The map.
        pub map: SharedMap,
    }

    /// A fact about steps: it is never taken back.
    #[derive(Copy, Hash)]
    pub struct Permit {
        /// The incarnation of the group; a later one starts at its first permit's first step.
        pub incarnation: GroupIncarnation,
        /// The first step.
        pub from: Step,
        /// The step after the last.
        pub to: Step,
        /// The version of the map that these steps use.
        pub version: MapVersion,
    }

    /// Where a map to load comes from.
    #[derive(Copy, Hash)]
    pub enum Origin {
        /// The control role proposed it, under this fencing number.
        Control(Fence),
        /// An earlier incarnation of the group used it.
        Recovery,
    }

    /// From the lead to a rank.
    #[derive(Hash)]
    pub enum LeadMessage {
        /// Obey this term, and report.
        Ask {
            /// The term.
            #[serde(rename = "reign")]
            term: LeadTerm,
        },
        /// Load the weights that a map needs, ahead of any switch.
        Load {
            /// The term.
            #[serde(rename = "reign")]
            term: LeadTerm,
            /// Where the map comes from.
            origin: Origin,
            /// The version that the map would get.
            version: MapVersion,
            /// The map.
            map: SharedMap,
        },
        /// Promise to permit no step from the switch on without a verdict.
        Prepare {
            /// The attempt.
            attempt: Attempt,
        },
        /// Take the verdict.
        Decide {
            /// The term that decides, which may be later than the one that opened the attempt.
            #[serde(rename = "reign")]
            term: LeadTerm,
            /// The attempt and its verdict.
            decided: Decided,
        },
    }

    /// From a rank to the lead.
    #[derive(Hash)]
    pub enum RankMessage {
        /// What the rank knows.
        Report(Box<Report>),
        /// The weights of a map are loaded.
        Loaded {
            /// The version.
            version: MapVersion,
            /// The step after the last that the rank has permitted.
            permitted: Step,
        },
        /// No step from the switch on is permitted without a verdict.
        Promised {
            /// The attempt.
            attempt: Attempt,
        },
        /// The verdict was taken.
        Settled {
            /// The attempt.
            attempt: Attempt,
        },
        /// Something was refused.
        Refused {
            /// Why.
            refusal: Refusal,
        },
    }

    /// What a rank knows when a lead asks.
    #[derive(Hash)]
    pub struct Report {
        /// The last term that it obeys.
        #[serde(rename = "reign")]
        pub term: LeadTerm,
        /// The step after the last that its engine may ever have been permitted.
        pub permitted: Step,
        /// The highest version that it has heard of.
        pub heard: MapVersion,
        /// What it knows of the last incarnation that it stepped in.
        pub evidence: Evidence,
    }

    /// Why a rank refuses a message of a lead.
    #[derive(Copy, Hash)]
    pub enum Refusal {
        /// A later term is known.
        Outranked(LeadTerm),
        /// The message belongs to a term that never asked this agent.
        Unasked(LeadTerm),
        /// A later fencing number is known.
        Stale(Fence),
        /// The agent started lately and does not know the fencing number yet.
        Unfenced,
        /// The weights could not be loaded.
        Unloaded(MapVersion),
        /// The switch lies before a step that is already permitted.
        Late(Attempt),
        /// An earlier switch is still to come, or an attempt is still open.
        Busy(Attempt),
    }

    /// Between the agents of a group's ranks.
    #[derive(Copy, Hash)]
    pub enum PeerMessage {
        /// What became of an attempt?
        Query(Attempt),
        /// This became of it.
        Answer(Decided),
    }
}

impl LeadTerm {
    /// The first term of the incarnation after this one, by another claimant.
    #[must_use]
    pub fn next_incarnation(self, rank: u32, start: Incarnation) -> Self {
        Self {
            incarnation: self.incarnation.next(),
            ballot: Ballot::new(1),
            rank,
            start,
        }
    }

    /// The next ballot within the incarnation, by another claimant.
    #[must_use]
    pub fn next_ballot(self, rank: u32, start: Incarnation) -> Self {
        Self {
            ballot: self.ballot.next(),
            rank,
            start,
            ..self
        }
    }
}

impl Default for LeadTerm {
    fn default() -> Self {
        Self {
            incarnation: GroupIncarnation::new(0),
            ballot: Ballot::new(0),
            rank: 0,
            start: Incarnation::new(0),
        }
    }
}

impl fmt::Display for LeadTerm {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            incarnation,
            ballot,
            rank,
            start,
        } = self;
        write!(f, "{incarnation}.{ballot} by rank {rank}:{start}")
    }
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "map {} from step {}", self.version, self.switch)
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Outranked(term) => write!(f, "reign {term} is later"),
            Self::Unasked(term) => write!(f, "reign {term} never asked"),
            Self::Stale(fence) => write!(f, "fencing number {fence} is later"),
            Self::Unfenced => f.write_str("the fencing number is not known yet"),
            Self::Unloaded(version) => write!(f, "weights of map {version} can't be loaded"),
            Self::Late(attempt) => write!(f, "{attempt} is too near"),
            Self::Busy(attempt) => write!(f, "{attempt} comes first"),
        }
    }
}
