//! Agreement of a group's ranks on one expert map a step.
//!
//! An engine enters a step only with a permit of its agent, and a permit is a fact that is never
//! taken back: "steps from..to use this map". An agent that promises to issue no permit from step
//! S on without a verdict therefore needs no answer of its engine, and permits that arrive late,
//! doubled or crossed do no harm, not even to an engine that checks no number.
//!
//! - [`message`]: what leads, ranks and engines tell each other.
//! - [`lead`]: proposes a map, gathers promises, decides; recovers what an earlier lead left.
//! - [`rank`]: loads, promises, permits steps; stands for lead where no verdict comes.
//! - [`evidence`]: which map a new incarnation of the group starts with.
//! - [`margin`]: how far ahead a switch must lie so that no step is held.

pub mod evidence;
pub mod lead;
pub mod margin;
pub mod message;
pub mod rank;

pub use evidence::Evidence;
pub use lead::{Lead, LeadInput, LeadOutput, Proposal, Rejection};
pub use margin::Margin;
pub use message::{
    ActiveMap, Attempt, Decided, LeadMessage, LeadTerm, Origin, PeerMessage, Permit, RankMessage,
    Refusal, Report, Verdict,
};
pub use rank::{EngineStatus, RankAgent, RankInput, RankOutput, Timer};
