//! The messages between leads, ranks and engines.

use std::fmt;
use std::sync::Arc;

use snipemast_core::data;
use snipemast_core::prelude::*;

use super::evidence::Evidence;
use crate::map::ExpertMap;

/// A map that several messages and state machines share.
pub type SharedMap = Arc<ExpertMap>;

data! {
    /// The term of a lead: a later one outranks all earlier ones.
    ///
    /// Rank and start make the terms of two leads differ even where both chose the same ballot.
    #[derive(Copy, Hash, PartialOrd, Ord)]
    pub struct LeadTerm {
        /// The incarnation of the group that it leads.
        pub incarnation: GroupIncarnation,
        /// The ballot within that incarnation.
        pub ballot: Ballot,
        /// The rank whose agent leads.
        pub rank: u32,
        /// The incarnation of that agent's process.
        pub start: Incarnation,
    }

    /// One attempt to bring a map into force.
    #[derive(Copy, Hash, PartialOrd, Ord)]
    pub struct Attempt {
        /// The term of the lead that opened it.
        #[serde(rename = "reign")]
        pub term: LeadTerm,
        /// The version that the map would get.
        pub version: MapVersion,
        /// The first step that would use it.
        pub switch: Step,
    }

    /// The outcome of an attempt.
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

    /// Permits an engine to enter some steps with one map; it is never taken back.
    #[derive(Copy, Hash)]
    pub struct Permit {
        /// The incarnation of the group; a later one starts at the first step of its first permit.
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
        /// The control role proposed it under this fencing number.
        Control(Fence),
        /// An earlier incarnation of the group used it.
        Recovery,
    }

    /// A message of the lead to a rank.
    #[derive(Hash)]
    pub enum LeadMessage {
        /// Asks the rank to obey this term and to report.
        Ask {
            /// The term of the lead.
            #[serde(rename = "reign")]
            term: LeadTerm,
        },
        /// Asks for the weights of a map to be loaded, ahead of any switch.
        Load {
            /// The term of the lead.
            #[serde(rename = "reign")]
            term: LeadTerm,
            /// Where the map comes from.
            origin: Origin,
            /// The version that the map would get.
            version: MapVersion,
            /// The map.
            map: SharedMap,
        },
        /// Asks for a promise to permit no step from the switch on without a verdict.
        Prepare {
            /// The attempt.
            attempt: Attempt,
        },
        /// Carries the verdict on an attempt.
        Decide {
            /// The term of the lead that decides, which may be later than the one that opened the
            /// attempt.
            #[serde(rename = "reign")]
            term: LeadTerm,
            /// The attempt and its verdict.
            decided: Decided,
        },
    }

    /// A message of a rank to the lead.
    #[derive(Hash)]
    pub enum RankMessage {
        /// The rank's report, in answer to [`LeadMessage::Ask`].
        Report(Box<Report>),
        /// The rank has loaded the weights of a map.
        Loaded {
            /// The version.
            version: MapVersion,
            /// The step after the last that the rank has permitted.
            permitted: Step,
        },
        /// The rank permits no step from the switch on without a verdict.
        Promised {
            /// The attempt.
            attempt: Attempt,
        },
        /// The rank has applied the verdict.
        Settled {
            /// The attempt.
            attempt: Attempt,
        },
        /// The rank has refused a message.
        Refused {
            /// Why.
            refusal: Refusal,
        },
    }

    /// The state that a rank reports to a new lead.
    #[derive(Hash)]
    pub struct Report {
        /// The term that it obeys.
        #[serde(rename = "reign")]
        pub term: LeadTerm,
        /// The step after the last one that its engine may ever have been permitted.
        pub permitted: Step,
        /// The highest map version that it has seen.
        pub heard: MapVersion,
        /// What it knows of the last incarnation that it stepped in.
        pub evidence: Evidence,
    }

    /// Why a rank refuses a message of a lead.
    #[derive(Copy, Hash)]
    pub enum Refusal {
        /// The rank knows this later term.
        Outranked(LeadTerm),
        /// The message belongs to a term whose [`LeadMessage::Ask`] this agent has not seen.
        Unasked(LeadTerm),
        /// The rank knows this later fencing number.
        Stale(Fence),
        /// The agent has just started and does not know the fencing number yet.
        Unfenced,
        /// The weights of this map could not be loaded.
        Unloaded(MapVersion),
        /// The switch lies before a step that the rank has already permitted.
        Late(Attempt),
        /// This earlier attempt is still open.
        Busy(Attempt),
    }

    /// A message between the agents of a group's ranks.
    #[derive(Copy, Hash)]
    pub enum PeerMessage {
        /// Asks for the verdict on an attempt.
        Query(Attempt),
        /// Carries the verdict on an attempt.
        Answer(Decided),
    }
}

impl LeadTerm {
    /// Returns the first term of the incarnation after this one, for the given lead.
    #[must_use]
    pub fn next_incarnation(self, rank: u32, start: Incarnation) -> Self {
        Self {
            incarnation: self.incarnation.next(),
            ballot: Ballot::new(1),
            rank,
            start,
        }
    }

    /// Returns the next term within this incarnation, for the given lead.
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
