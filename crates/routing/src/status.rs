//! What an operator sees of limits and routing: who is held back, and why.

use snipemast_core::prelude::*;

use crate::refusal::Reason;
use crate::wish::Wish;

data! {
    /// Limits and routing at one entry.
    #[derive(Default)]
    pub struct LimitStatus {
        /// The workspaces that were held back lately.
        pub held: Vec<HeldWorkspace>,
        /// The pools that requests run in or wait for.
        pub lanes: Vec<LaneStatus>,
        /// The backend servers that are ejected.
        pub ejected: Vec<ServerId>,
        /// The loads that are wished for.
        pub wishes: Vec<Wish>,
    }

    /// One workspace that is held back for one reason.
    pub struct HeldWorkspace {
        /// The workspace.
        pub workspace: WorkspaceId,
        /// What holds it back.
        pub reason: Reason,
        /// Refusals a minute, lately.
        pub rate: u32,
        /// When the last refused caller was told to come back.
        pub retry: Span,
        /// This entry's share of the workspace's limits, in per cent.
        pub share: u32,
    }

    /// One pool's requests at this entry.
    pub struct LaneStatus {
        /// What the pool answers for.
        pub pool: String,
        /// Requests that run.
        pub running: u32,
        /// Requests that wait.
        pub waiting: u32,
        /// The slots that are this entry's part.
        pub share: u32,
        /// The slots of the pool that stand free, by what reports say.
        pub free: u32,
    }
}
