//! The types that most modules import.

pub use crate::data;
pub use crate::evacuation::{EvacuationOrder, Evacuations};
pub use crate::events::{Event, Record, Ring};
pub use crate::hlc::{HybridClock, Stamp};
pub use crate::ids::{
    AdapterId, Ballot, DispatchId, Fence, GroupId, GroupIncarnation, HostId, Incarnation, Index,
    MapVersion, ModelId, OperatorId, PartId, PatchId, ProcessId, RegionId, RequestId, RequestKey,
    ServerId, ServiceId, Step, Term, Version, WorkspaceId, ZoneId,
};
pub use crate::logs::{Journal, LogLevel, LogOutput};
pub use crate::outcome::Outcome;
pub use crate::priority::Priority;
pub use crate::server::{Capabilities, LoadReport, Offer, Rank, ServerInfo};
pub use crate::time::{Clock, Moment};
pub use crate::units::{Rate, Size, Span};
