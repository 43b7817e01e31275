//! Calls between the processes beside a group's ranks.

use std::net::SocketAddr;

use snipemast_core::data;
use snipemast_core::prelude::*;
use snipemast_groups::demand::CountReport;
use snipemast_groups::switch::{Order, Outcome, RankState};

/// The paths of the calls.
pub(crate) mod path {
    /// How is your rank? [`StateQuery`](super::StateQuery).
    pub(crate) const STATE: &str = "/rank/state";
    /// Carry out an order: [`Execute`](super::Execute).
    pub(crate) const ORDER: &str = "/rank/order";
    /// Pass an order on: [`Relay`](super::Relay).
    pub(crate) const RELAY: &str = "/rank/relay";
}

data! {
    /// How is your rank?
    #[derive(Default)]
    pub(crate) struct StateQuery {
        /// Whether the experts that it holds are wanted too.
        pub(crate) experts: bool,
        /// From which place its counts are wanted, where they are.
        pub(crate) counted: Option<u64>,
    }

    /// How a rank is.
    pub(crate) struct RankReport {
        /// The group.
        pub(crate) group: GroupId,
        /// Its place in the group.
        pub(crate) rank: usize,
        /// How many ranks the group has.
        pub(crate) size: usize,
        /// Which start of the rank this is.
        pub(crate) start: Incarnation,
        /// Its state.
        pub(crate) state: RankState,
        /// How many orders it has accepted since it started.
        pub(crate) accepted: u64,
        /// How much longer than usual it takes, in hundredths.
        pub(crate) pace: u32,
        /// How often each expert was chosen, where that was wanted.
        pub(crate) counted: Option<CountReport>,
        /// The experts that it holds, by set, where they were wanted.
        pub(crate) experts: Vec<Vec<u16>>,
        /// The highest lead that gave orders.
        pub(crate) lead: Ballot,
        /// Up to which step the rank may be let go by an order that is still on its way.
        pub(crate) floor: Step,
    }

    /// An order of a lead.
    pub(crate) struct Execute {
        /// Which lead: a later one has a higher ballot.
        pub(crate) lead: Ballot,
        /// Which of its orders: a later one has a higher number.
        pub(crate) number: u64,
        /// The group's incarnation.
        pub(crate) epoch: GroupIncarnation,
        /// The order.
        pub(crate) order: Order,
    }

    /// An order for several ranks.
    pub(crate) struct Relay {
        /// The order.
        pub(crate) order: Execute,
        /// The processes beside the ranks.
        pub(crate) to: Vec<SocketAddr>,
    }

    /// What became of it at each, in their order.
    pub(crate) struct Relayed {
        /// What became of it.
        pub(crate) outcomes: Vec<Outcome>,
    }

    /// What became of it.
    pub(crate) struct Executed {
        /// What became of it.
        pub(crate) outcome: Outcome,
    }
}
