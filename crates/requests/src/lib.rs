//! Decisions about requests: each answer once and whole, without sockets or clocks.
//!
//! - [`answer`]: the frames of an answer, and the agent's word on an attempt.
//! - [`ledger`]: an agent's memory of dispatches, bounded in time and memory.
//! - [`kept`]: the part of one answer that an agent keeps for resuming.
//! - [`assembler`]: puts an answer together again, by offset and checksum.
//! - [`request`]: one request at its entry: dispatch, settle, resume, retry.
//! - [`plan`]: what a request may do, and what it asks its shell to do.
//! - [`verdict`]: how a request ended where its answer is not whole.
//! - [`claim`]: what claimers and keepers of keys say to each other.
//! - [`claimer`]: claims one attempt of a key at its three keepers.
//! - [`keeper`]: one of the three that remember which attempt a key stands for.
//! - [`suspicion`]: which requests are suspected of crashing backend servers.
//! - [`budget`]: the share of traffic that may be retries.

pub mod answer;
pub mod assembler;
pub mod budget;
pub mod claim;
pub mod claimer;
pub mod keeper;
pub mod kept;
pub mod ledger;
pub mod plan;
pub mod request;
pub mod suspicion;
pub mod verdict;

pub use answer::{AttemptStatus, Failure, Frame, Header, Part, RefusalReason, Tag};
pub use assembler::{Assembled, Assembler, Piece};
pub use budget::RetryBudget;
pub use claim::{ClaimKey, ClaimValue, Fingerprint, KeeperAnswer, KeeperAsk};
pub use claimer::{ClaimStep, Claimer};
pub use keeper::{moves_one, Keeper, Table};
pub use kept::Kept;
pub use ledger::{Arrival, ArrivalOutcome, Ledger, LedgerLimits, Read};
pub use plan::{ClaimResult, Input, Link, Loss, Output, Plan, Target};
pub use request::{Outputs, RequestMachine};
pub use suspicion::{Crash, Suspicions};
pub use verdict::{Reason, Verdict};
