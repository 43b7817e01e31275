//! The voters and learners, and the rules for changing them one at a time.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;

use snipemast_core::data;
use snipemast_core::number_ids;
use snipemast_core::prelude::*;

/// The result of changing the voters.
pub type Result<T> = std::result::Result<T, ChangeError>;

/// The maximum number of voters.
pub const MAX_VOTERS: usize = 7;

number_ids! {
    /// The id of a voter or learner, drawn at random when its data folder is created.
    ///
    /// The id belongs to the folder, not to the host: a host whose disk was wiped returns with
    /// another id and has no vote until it is added again.
    VoterId;
    /// The id of a cluster, set when it is formed; messages of other clusters are dropped.
    ClusterId;
}

data! {
    /// The location of a voter or learner.
    pub struct Location {
        /// Its host.
        pub host: HostId,
        /// Its availability zone.
        pub zone: ZoneId,
        /// The address at which the system's own processes reach it.
        pub address: SocketAddr,
    }

    /// The voters and learners.
    #[derive(Default, Hash)]
    pub struct Voters {
        /// The members whose disks count towards a quorum.
        pub voters: BTreeMap<VoterId, Location>,
        /// The members that copy the log and have no vote yet.
        pub learners: BTreeMap<VoterId, Location>,
    }

    /// A single membership change.
    pub enum VoterChange {
        /// Adds a host as a learner, which begins to copy the log.
        Learn {
            /// The member's id.
            id: VoterId,
            /// The member's location.
            #[serde(rename = "seat")]
            location: Location,
        },
        /// Makes a learner that has caught up a voter.
        Promote {
            /// The member's id.
            id: VoterId,
        },
        /// Removes a voter or learner.
        Remove {
            /// The member's id.
            id: VoterId,
        },
    }

    /// Why a membership change was refused.
    #[derive(Hash)]
    pub enum ChangeError {
        /// Another change is not committed yet.
        Pending,
        /// The leader has committed nothing in its term yet.
        Early,
        /// The id is already a voter or learner.
        Known(VoterId),
        /// The id is neither voter nor learner.
        Unknown(VoterId),
        /// The learner has not caught up.
        Behind {
            /// The last index on its disk.
            held: Index,
            /// The index up to which its disk must hold the log.
            needed: Index,
        },
        /// One availability zone would hold more than half of the voters.
        Crowded(ZoneId),
        /// There would be no voter left.
        Empty,
        /// There would be more than [`MAX_VOTERS`].
        Full,
    }
}

impl std::hash::Hash for Location {
    fn hash<H: std::hash::Hasher>(&self, state: &mut H) {
        (&self.host, &self.zone, &self.address).hash(state);
    }
}

impl fmt::Display for VoterChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Learn { id, location } => write!(f, "{} joins as learner {id}", location.host),
            Self::Promote { id } => write!(f, "learner {id} becomes a voter"),
            Self::Remove { id } => write!(f, "member {id} is removed"),
        }
    }
}

impl fmt::Display for ChangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Pending => f.write_str("another change of the voters is not committed yet"),
            Self::Early => f.write_str("the leader has committed nothing in its term yet"),
            Self::Known(id) => write!(f, "{id} is already a voter or learner"),
            Self::Unknown(id) => write!(f, "{id} is neither voter nor learner"),
            Self::Behind { held, needed } => {
                write!(f, "the learner holds the log up to {held} of {needed}")
            }
            Self::Crowded(zone) => write!(f, "{zone} would hold more than half of the voters"),
            Self::Empty => f.write_str("no voter would be left"),
            Self::Full => write!(f, "there would be more than {MAX_VOTERS} voters"),
        }
    }
}

impl std::error::Error for ChangeError {}

impl Voters {
    /// Creates a set of these voters without learners.
    pub fn new(voters: BTreeMap<VoterId, Location>) -> Self {
        Self {
            voters,
            learners: BTreeMap::new(),
        }
    }

    /// Whether the id has a vote.
    pub fn is_voter(&self, id: VoterId) -> bool {
        self.voters.contains_key(&id)
    }

    /// Whether the id is a voter or learner.
    pub fn is_member(&self, id: VoterId) -> bool {
        self.is_voter(id) || self.learners.contains_key(&id)
    }

    /// Returns the location of a voter or learner.
    pub fn location(&self, id: VoterId) -> Option<&Location> {
        self.voters.get(&id).or_else(|| self.learners.get(&id))
    }

    /// Returns all voters and learners except this one.
    pub fn others(&self, id: VoterId) -> Vec<VoterId> {
        let all = self.voters.keys().chain(self.learners.keys());
        all.copied().filter(|v| *v != id).collect()
    }

    /// Returns the smallest number of voters that is more than half.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether these ids hold more than half of the votes.
    pub fn is_quorum(&self, ids: &BTreeSet<VoterId>) -> bool {
        let votes = ids.iter().filter(|id| self.is_voter(**id)).count();
        votes >= self.majority()
    }

    /// Returns the highest value that a majority of the voters has reached.
    pub fn majority_value<T: Ord + Copy>(&self, value: impl Fn(VoterId) -> T) -> Option<T> {
        let mut values: Vec<T> = self.voters.keys().map(|id| value(*id)).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(self.majority() - 1).copied()
    }

    /// Returns the availability zone that holds more than half of three or more voters, if any.
    pub fn crowded_zone(&self) -> Option<&ZoneId> {
        if self.voters.len() < 3 {
            return None;
        }
        let mut zones = BTreeMap::new();
        for location in self.voters.values() {
            *zones.entry(&location.zone).or_insert(0) += 1;
        }
        zones
            .into_iter()
            .find(|(_, n)| *n >= self.majority())
            .map(|(zone, _)| zone)
    }

    /// Returns the voters after a change, or why the change is not allowed.
    ///
    /// A change that puts more than half of the votes into one availability zone is refused, unless
    /// they were there before. Otherwise the loss of one zone would take the majority along.
    pub fn with_change(&self, change: &VoterChange) -> Result<Self> {
        let mut next = self.clone();
        match change {
            VoterChange::Learn { id, .. } if self.is_member(*id) => {
                return Err(ChangeError::Known(*id));
            }
            VoterChange::Learn { id, location } => {
                next.learners.insert(*id, location.clone());
            }
            VoterChange::Promote { id } => {
                let location = next.learners.remove(id).ok_or(ChangeError::Unknown(*id))?;
                next.voters.insert(*id, location);
            }
            VoterChange::Remove { id } if !self.is_member(*id) => {
                return Err(ChangeError::Unknown(*id));
            }
            VoterChange::Remove { id } => {
                next.voters.remove(id);
                next.learners.remove(id);
            }
        }
        next.check_against(self)?;
        Ok(next)
    }

    fn check_against(&self, previous: &Self) -> Result<()> {
        if self.voters.is_empty() {
            return Err(ChangeError::Empty);
        }
        if self.voters.len() > MAX_VOTERS {
            return Err(ChangeError::Full);
        }
        let grown = self.voters.len() > previous.voters.len();
        match self.crowded_zone() {
            Some(zone) if grown && previous.crowded_zone().is_none() => {
                Err(ChangeError::Crowded(zone.clone()))
            }
            _ => Ok(()),
        }
    }
}
