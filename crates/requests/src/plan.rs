//! The limits of a request, and the inputs and outputs of its state machine.

use snipemast_core::data;
use snipemast_core::prelude::*;

use crate::answer::{AttemptStatus, Frame, Header};
use crate::suspicion::Crash;
use crate::verdict::Verdict;

/// What one request may do, and for how long.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether the body is forwarded to the caller piece by piece.
    pub stream: bool,
    /// Whether the request's key is claimed before each dispatch.
    pub keyed: bool,
    /// The moment after which the caller no longer waits.
    pub deadline: Moment,
    /// The most dispatches of the request.
    pub max_attempts: u32,
    /// The longest time that a connection may be silent.
    pub max_silence: Span,
    /// The longest body, in bytes, that is buffered for a caller that doesn't stream.
    pub max_body: usize,
}

data! {
    /// An attempt and the agent that it is dispatched to.
    #[derive(PartialOrd, Ord, Hash)]
    pub struct Target {
        /// The attempt.
        pub id: DispatchId,
        /// The agent process, in one incarnation.
        pub agent: ProcessId,
    }
}

/// The number of a connection or call of one request.
///
/// It grows with each connection, so that answers on earlier ones can be ignored.
pub type Link = u32;

/// How a connection or call was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Loss {
    /// It was refused before a byte was sent, so the other side did not get the message.
    Unsent,
    /// It broke, so it is not known whether the other side got the message.
    Broken,
}

/// The result of claiming a key for an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimResult {
    /// This attempt holds the claim and may run.
    Won,
    /// Another attempt holds the claim, and its answer is the key's answer.
    Held(Target),
    /// The key was claimed for a request with another body.
    Mismatch,
    /// No majority of the key's keepers answered.
    Undecided,
}

/// An event that the state machine of a request handles.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// The request begins.
    Start,
    /// A backend server was chosen for an attempt.
    Chosen(Target),
    /// No backend server can take the request.
    NoServer,
    /// The request crashed too many backend servers to be run again.
    Quarantined,
    /// The request is suspected of crashing backend servers and already runs elsewhere.
    SuspectRuns,
    /// The claim of the key was decided for the attempt with this number.
    Claimed(ClaimResult, u64),
    /// A frame arrived on a connection.
    Frame(Link, Frame),
    /// A connection or call was lost.
    Lost(Link, Loss),
    /// The agent reported the status of the attempt.
    Settled(Link, DispatchId, AttemptStatus),
    /// The moment that the machine asked to be woken at has come.
    Tick,
    /// The caller disconnected.
    CallerGone,
}

/// An action that the state machine of a request asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Choose a backend server that was not tried yet.
    Choose,
    /// Claim the key for an attempt. The number counts the attempts of the key.
    Claim(Target, u64),
    /// Send the request on a connection.
    Dispatch(Link, Target),
    /// Ask the agent on a new connection for the status of the attempt.
    Settle(Link, Target),
    /// Read the answer from an offset of its body on a new connection.
    Resume(Link, Target, u64),
    /// Cancel the attempt at its agent, as nobody waits for it.
    Cancel(Target),
    /// Bar the attempt in the background if it never arrived. If it did, let it run.
    Bar(Target),
    /// Close the pooled connections to the agent, as one of them went silent.
    Retire(Target),
    /// Record that the attempt was in flight at this crash.
    Crashed(Crash),
    /// Send the caller the head of the answer.
    Head(u16, Vec<Header>),
    /// Send the caller the next bytes of the body.
    Data(Vec<u8>),
    /// End the request, whose answer is whole. The load is that of the backend server.
    End(LoadReport),
    /// End the request, whose answer is not whole.
    Fail(Verdict),
    /// Record that a frame for another dispatch or offset was dropped.
    Dropped,
}
