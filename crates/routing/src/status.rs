//! The status of limits and routing that operators see.

use snipemast_core::prelude::*;

use crate::refusal::Reason;
use crate::wish::Wish;

data! {
    /// The status of limits and routing at one entry.
    #[derive(Default)]
    pub struct LimitStatus {
        /// The workspaces with recently refused requests.
        pub held: Vec<HeldWorkspace>,
        /// The pools that requests run in or wait for.
        pub lanes: Vec<LaneStatus>,
        /// The backend servers that are ejected.
        pub ejected: Vec<ServerId>,
        /// The loads that are requested from the platform.
        pub wishes: Vec<Wish>,
    }

    /// A workspace whose requests are refused for one reason.
    pub struct HeldWorkspace {
        /// The workspace.
        pub workspace: WorkspaceId,
        /// The reason for the refusals.
        pub reason: Reason,
        /// The recent refusals per minute.
        pub rate: u32,
        /// The time after which the last refused caller was told to retry.
        pub retry: Span,
        /// The entry's share of the workspace's limits, in per cent.
        pub share: u32,
    }

    /// The requests of one pool at one entry.
    pub struct LaneStatus {
        /// The model or service that the pool offers.
        pub pool: String,
        /// The number of requests that run.
        pub running: u32,
        /// The number of requests that wait.
        pub waiting: u32,
        /// The slots of the pool that are this entry's share.
        pub share: u32,
        /// The free slots of the pool, by the load reports.
        pub free: u32,
    }
}
