//! State machines that dispatch requests, so that each caller gets its answer once and whole.
//!
//! An entry dispatches a request to the agent of a backend server. The machines here decide what
//! to do when a connection, a process or a server fails on the way. They use no sockets and no
//! clocks: their caller passes in messages and the current time, and sends what they return.
//!
//! - [`answer`]: the frames of an answer, and the states that an agent reports for an attempt.
//! - [`ledger`]: the dispatches that an agent remembers, bounded in time and memory.
//! - [`kept`]: the part of one answer that an agent keeps for resuming.
//! - [`assembler`]: puts an answer together from its frames, by offset and checksum.
//! - [`request`]: the state machine of one request at its entry.
//! - [`plan`]: the limits of a request, and the inputs and outputs of its state machine.
//! - [`verdict`]: how a request ended whose answer is not whole.
//! - [`claim`]: the messages between claimers and keepers of idempotency keys.
//! - [`claimer`]: claims one attempt of a key at its three keepers.
//! - [`keeper`]: one of the three processes that remember the attempt claimed for a key.
//! - [`suspicion`]: the requests that are suspected of crashing backend servers.
//! - [`crashes`]: the requests whose servers ended, merged from what all processes saw.
//! - [`crash_record`]: what is known of one of them, and the verdict on it.
//! - `attribution`: finds what crashes servers among all that was on servers that ended.
//! - `survivals`: what lately showed that it does not crash servers.
//! - [`budget`]: bounds the share of traffic that may be retries.

pub mod answer;
pub mod assembler;
mod attribution;
pub mod budget;
pub mod claim;
pub mod claimer;
pub mod crash_record;
pub mod crashes;
pub mod keeper;
pub mod kept;
pub mod ledger;
pub mod plan;
pub mod request;
mod survivals;
pub mod suspicion;
pub mod verdict;

pub use answer::{AttemptStatus, Failure, Frame, Header, Part, RefusalReason, Tag};
pub use assembler::{Assembler, BodyCheck, Piece};
pub use budget::RetryBudget;
pub use claim::{ClaimKey, ClaimValue, Fingerprint, KeeperAnswer, KeeperAsk};
pub use claimer::{ClaimStep, Claimer};
pub use crash_record::{AttemptHash, CrashRecord, CrashVerdict, Scope};
pub use crashes::{Causes, CrashTable};
pub use keeper::{Keeper, KeeperTable};
pub use kept::KeptAnswer;
pub use ledger::{Arrival, ArrivalOutcome, Ledger, LedgerLimits, ReadOutcome};
pub use plan::{ClaimResult, Input, Link, Loss, Output, Plan, Target};
pub use request::{Outputs, RequestMachine};
pub use suspicion::{Crash, Suspicions};
pub use verdict::{Reason, Verdict};
