//! Messages between the processes beside a group's ranks.

use std::net::SocketAddr;

use snipemast_core::data;
use snipemast_core::prelude::*;
use snipemast_groups::demand::CountReport;
use snipemast_groups::switch::{Order, Outcome, RankState};

/// The paths of the calls.
pub(crate) mod path {
    /// Asks for the state of the rank: [`StateQuery`](super::StateQuery).
    pub(crate) const STATE: &str = "/rank/state";
    /// Has an order carried out: [`Execute`](super::Execute).
    pub(crate) const ORDER: &str = "/rank/order";
    /// Has an order forwarded: [`Relay`](super::Relay).
    pub(crate) const RELAY: &str = "/rank/relay";
}

data! {
    /// Asks a process for the state of its rank.
    #[derive(Default)]
    pub(crate) struct StateQuery {
        /// Whether the answer should list the experts that the rank holds.
        pub(crate) experts: bool,
        /// The cursor from which the rank's counts are requested, where they are.
        pub(crate) counted: Option<u64>,
    }

    /// The state of a rank.
    pub(crate) struct RankReport {
        /// The group.
        pub(crate) group: GroupId,
        /// The rank's place in the group.
        pub(crate) rank: usize,
        /// How many ranks the group has.
        pub(crate) size: usize,
        /// The current start of the rank.
        pub(crate) start: Incarnation,
        /// The rank's state in a switch.
        pub(crate) state: RankState,
        /// How many orders the rank has accepted since it started.
        pub(crate) accepted: u64,
        /// How long the rank takes, in hundredths of the usual time.
        pub(crate) pace: u32,
        /// How often each expert was chosen, where that was requested.
        pub(crate) counted: Option<CountReport>,
        /// The experts that the rank holds, by set, where they were requested.
        pub(crate) experts: Vec<Vec<u16>>,
        /// The ballot of the highest lead that gave orders.
        pub(crate) lead: Ballot,
        /// The last step up to which an order that is still on its way may release the rank.
        pub(crate) floor: Step,
    }

    /// Asks a process to carry out a lead's order.
    pub(crate) struct Execute {
        /// The ballot of the lead: a later lead has a higher one.
        pub(crate) lead: Ballot,
        /// The number of the order: a later order of the lead has a higher one.
        pub(crate) number: u64,
        /// The group's incarnation.
        pub(crate) epoch: GroupIncarnation,
        /// The order.
        pub(crate) order: Order,
    }

    /// Asks a process to forward an order to several ranks.
    pub(crate) struct Relay {
        /// The order.
        pub(crate) order: Execute,
        /// The processes beside the ranks.
        pub(crate) to: Vec<SocketAddr>,
    }

    /// Answers a [`Relay`].
    pub(crate) struct Relayed {
        /// The outcome at each rank, in the order of [`Relay::to`].
        pub(crate) outcomes: Vec<Outcome>,
    }

    /// Answers an [`Execute`].
    pub(crate) struct Executed {
        /// The outcome of the order.
        pub(crate) outcome: Outcome,
    }
}
