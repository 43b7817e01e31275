//! Orders to backend servers, and the fencing numbers in them.

use std::fmt;

use snipemast_config::wishes::Action;
use snipemast_core::prelude::*;

/// Paths of the messages.
pub mod path {
    /// The control leader sends an order: [`Order`](super::Order).
    pub const ORDER: &str = "/own/order";
    /// An agent asks which fencing numbers the control hosts know: [`FenceAsk`](super::FenceAsk).
    pub const FENCES: &str = "/own/fences";
}

snipemast_core::name_ids! {
    /// An id of an order, which identifies a resend.
    OrderId;
}

data! {
    /// An order to one backend server, through one incarnation of its agent.
    pub struct Order {
        /// The id of the order.
        pub id: OrderId,
        /// The agent that it is addressed to; another incarnation refuses it.
        pub agent: ProcessId,
        /// The fencing number of the leader's term.
        pub fence: Fence,
        /// The time left until its deadline when it was sent.
        pub left: Span,
        /// The action to carry out.
        pub action: Action,
    }

    /// What became of an order.
    pub enum OrderAnswer {
        /// The backend server has carried out the order, now or before.
        Done,
        /// The backend server failed to carry out the order.
        Failed,
        /// The agent did not pass the order on.
        Refused(OrderRefusal),
    }

    /// The reason why an agent does not pass an order on.
    #[derive(Copy)]
    pub enum OrderRefusal {
        /// The order was addressed to another incarnation.
        Incarnation,
        /// The deadline of the order has passed.
        Late,
        /// The fencing number of the order is lower than one already seen.
        Old {
            /// The highest fencing number seen.
            current: Fence,
        },
        /// The agent has started and does not know the current fencing number yet.
        Learning {
            /// The longest time until the agent knows it.
            left: Span,
        },
        /// Another order is being carried out, or the rate limit of the weight store is reached.
        Busy {
            /// The time after which to retry.
            left: Span,
        },
        /// The id was used for another order.
        Reused,
    }

    /// Asks which fencing numbers the control hosts know.
    #[derive(Copy)]
    pub struct FenceAsk {
        /// How many hosts may still forward the question.
        pub hops: u8,
    }

    /// The fencing numbers that the reachable control hosts know.
    #[derive(Default)]
    pub struct FenceReport {
        /// The number of voters.
        pub voters: u32,
        /// The answer of each reachable voter.
        pub told: Vec<VoterFence>,
    }

    /// The fencing number that one voter knows.
    pub struct VoterFence {
        /// The voter's host.
        pub host: HostId,
        /// The voter no longer helps a leader with a lower number to stay in office.
        pub fence: Fence,
    }
}

impl fmt::Display for OrderRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Incarnation => f.write_str("addressed to another incarnation of the agent"),
            Self::Late => f.write_str("the deadline had passed"),
            Self::Old { current } => write!(f, "the fencing number is older than {current}"),
            Self::Learning { left } => {
                write!(f, "the fencing number is not known yet; {left} to wait")
            }
            Self::Busy { left } => write!(f, "come back in {left}"),
            Self::Reused => f.write_str("the id was used for another order"),
        }
    }
}

impl FenceReport {
    /// Adds the answers in another report; for a known host, the first answer stays.
    pub fn extend(&mut self, other: Self) {
        self.voters = self.voters.max(other.voters);
        for answer in other.told {
            if !self.told.iter().any(|t| t.host == answer.host) {
                self.told.push(answer);
            }
        }
    }
}
