//! An agent as one entry sees it.

use crate::card::AgentCard;

/// An agent, and whether this entry is connected to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AgentView<'a> {
    /// The agent's latest description of itself.
    pub card: &'a AgentCard,
    /// Whether this entry is connected to the agent.
    pub reach: Reach,
}

/// Whether an entry is connected to an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reach {
    /// Its zone is connected, and at least one of its owners is alive.
    Connected,
    /// All its owners are suspected; the agent itself may well be alive.
    Doubtful,
    /// Its zone is cut off; the agent is remembered but gets no work.
    CutOff,
}

impl AgentView<'_> {
    /// Whether new work may go to the agent.
    pub fn is_routable(&self) -> bool {
        !self.card.draining && self.reach != Reach::CutOff
    }
}
