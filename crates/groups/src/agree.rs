//! Agreement of a group's ranks on the expert map of each step.
//!
//! The protocol is a two-phase commit. A lead has every rank load the weights of a new map, then
//! asks every rank's agent to promise that it permits no step from the switch on without a
//! verdict, and commits once all have promised.
//!
//! An engine enters a step only with a permit of its agent. A permit says "the steps from..to use
//! this map" and is never taken back. An agent that promises to issue no permit from step S on
//! therefore needs no answer of its engine. Permits that arrive late, twice or out of order do no
//! harm, not even to an engine that does not check incarnations.
//!
//! - [`message`]: the messages between leads, ranks and engines.
//! - [`lead`]: the state machine of the lead, which also recovers what an earlier lead left open.
//! - [`rank`]: the state machine of a rank's agent, which starts a lead where no verdict comes.
//! - [`evidence`]: which map a new incarnation of the group starts with.
//! - [`margin`]: how far ahead a switch must lie so that no rank waits for its verdict.

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
