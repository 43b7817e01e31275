//! Orders to backend servers, and the fencing numbers that they carry.

use std::fmt;

use snipemast_config::wishes::Action;
use snipemast_core::prelude::*;

/// Paths of the messages.
pub mod path {
    /// The control leader orders something: [`Order`](super::Order).
    pub const ORDER: &str = "/own/order";
    /// An agent asks which fencing numbers the control hosts know: [`FenceAsk`](super::FenceAsk).
    pub const FENCES: &str = "/own/fences";
}

snipemast_core::name_ids! {
    /// An order's id, by which a resend is known.
    OrderId;
}

data! {
    /// An order to one backend server, through one incarnation of its agent.
    pub struct Order {
        /// The order.
        pub id: OrderId,
        /// The agent it is meant for: another incarnation refuses it.
        pub agent: ProcessId,
        /// The fencing number of the leader's term of office.
        pub fence: Fence,
        /// The time left to its deadline when it was sent.
        pub left: Span,
        /// What to do.
        pub action: Action,
    }

    /// What became of an order.
    pub enum OrderAnswer {
        /// The backend server has carried it out, now or before.
        Done,
        /// The backend server failed at it.
        Failed,
        /// It was not passed on.
        Refused(OrderRefusal),
    }

    /// Why an agent does not pass an order on.
    #[derive(Copy)]
    pub enum OrderRefusal {
        /// It was addressed to another incarnation.
        Incarnation,
        /// Its deadline has passed.
        Late,
        /// Its fencing number is lower than one that was seen.
        Old {
            /// The highest that was seen.
            current: Fence,
        },
        /// The agent has started and does not know the current fencing number yet.
        Learning {
            /// How long that lasts at most.
            left: Span,
        },
        /// Another order is being carried out, or the weight store's rate is used up.
        Busy {
            /// When to come back.
            left: Span,
        },
        /// The id was used for another order.
        Reused,
    }

    /// Which fencing numbers do the control hosts know?
    #[derive(Copy)]
    pub struct FenceAsk {
        /// How many hosts may still pass the question on.
        pub hops: u8,
    }

    /// What the control hosts that could be reached know.
    #[derive(Default)]
    pub struct FenceReport {
        /// How many voters there are.
        pub voters: u32,
        /// Each voter's word.
        pub told: Vec<VoterFence>,
    }

    /// One voter's word.
    pub struct VoterFence {
        /// The voter's host.
        pub host: HostId,
        /// No leader with a lower number can still be in office with this voter's help.
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
    /// Adds what other hosts said.
    pub fn extend(&mut self, other: Self) {
        self.voters = self.voters.max(other.voters);
        for told in other.told {
            if !self.told.iter().any(|t| t.host == told.host) {
                self.told.push(told);
            }
        }
    }
}
