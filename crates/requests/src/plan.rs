//! What a request may do, and what it asks its shell to do.

use snipemast_core::data;
use snipemast_core::prelude::*;

use crate::answer::{AttemptStatus, Frame, Header};
use crate::suspicion::Crash;
use crate::verdict::Verdict;

/// What one request may do.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Whether its body goes on to the caller piece by piece.
    pub stream: bool,
    /// Whether its key is claimed before each dispatch.
    pub keyed: bool,
    /// When the caller no longer waits.
    pub deadline: Moment,
    /// How often it is dispatched at most.
    pub max_attempts: u32,
    /// How long a connection may be silent.
    pub max_silence: Span,
    /// The longest body that is held for a caller that doesn't stream.
    pub max_body: usize,
}

data! {
    /// Where an attempt goes.
    #[derive(PartialOrd, Ord, Hash)]
    pub struct Target {
        /// The attempt.
        pub id: DispatchId,
        /// The agent, of one incarnation.
        pub agent: ProcessId,
    }
}

/// The number of a connection or call of one request; answers of earlier ones are passed over.
pub type Link = u32;

/// How a connection or call was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Loss {
    /// It was refused before a byte was sent.
    Unsent,
    /// It broke; whether the other side got the message is not known.
    Broken,
}

/// What became of the claim of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimResult {
    /// This attempt is the one that may run.
    Won,
    /// Another attempt of the key goes first; its answer is the answer.
    Held(Target),
    /// The key stands for another body.
    Mismatch,
    /// No majority of its keepers answered.
    Undecided,
}

/// What a request is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// Begin.
    Start,
    /// A backend server was chosen.
    Chosen(Target),
    /// None can take it.
    NoServer,
    /// It crashed too many backend servers to be run again.
    Quarantined,
    /// It is suspected of crashing backend servers, and runs elsewhere now.
    SuspectRuns,
    /// The claim of the key was decided, for the attempt with this number.
    Claimed(ClaimResult, u64),
    /// A frame came.
    Frame(Link, Frame),
    /// A connection or call was lost.
    Lost(Link, Loss),
    /// The agent settled the attempt.
    Settled(Link, DispatchId, AttemptStatus),
    /// The moment that was asked for has come.
    Tick,
    /// The caller left.
    CallerGone,
}

/// What a request asks its shell to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Choose a backend server, not one of those already tried.
    Choose,
    /// Claim the key for an attempt; the number counts the key's attempts.
    Claim(Target, u64),
    /// Send the request on a connection.
    Dispatch(Link, Target),
    /// Ask on a fresh connection what became of the attempt.
    Settle(Link, Target),
    /// Read the answer from an offset on a fresh connection.
    Resume(Link, Target, u64),
    /// Tell the agent that nobody waits for the attempt.
    Cancel(Target),
    /// Bar the attempt in the background, should it never have arrived; let it run otherwise.
    Bar(Target),
    /// Drop the pooled connections to the agent: one of them went silent.
    Retire(Target),
    /// The attempt was in flight at this crash.
    Crashed(Crash),
    /// Give the caller the head of the answer.
    Head(u16, Vec<Header>),
    /// Give the caller the next bytes of the body.
    Data(Vec<u8>),
    /// The answer is whole; the load is the backend server's.
    End(LoadReport),
    /// The answer is not whole.
    Fail(Verdict),
    /// A frame for another dispatch or offset was dropped.
    Dropped,
}
