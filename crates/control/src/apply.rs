//! What the replicated log drives: a deterministic state machine over opaque commands.

use std::fmt;

use snipemast_core::prelude::*;

/// The result of restoring a state machine.
pub type Result<T> = std::result::Result<T, RestoreError>;

/// Bytes that are not a snapshot of the state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RestoreError {
    /// What the decoder met.
    pub reason: String,
}

impl fmt::Display for RestoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "not a snapshot of the control state: {}", self.reason)
    }
}

impl std::error::Error for RestoreError {}

/// A state machine that every voter runs over the same commands in the same order.
///
/// `apply` must depend on nothing but the state and the command: no clock, no randomness.
pub trait StateMachine {
    /// Applies the committed command at this place of the log and returns its verdict.
    fn apply(&mut self, index: Index, command: &[u8]) -> Vec<u8>;

    /// The whole state in bytes.
    fn snapshot(&self) -> Vec<u8>;

    /// Replaces the whole state by a snapshot.
    fn restore(&mut self, bytes: &[u8]) -> Result<()>;

    /// An operator replaced a majority that was lost for good, so committed commands may be gone.
    ///
    /// A machine that numbers its states jumps ahead here, by more than can have been lost, so
    /// that no number stands for two states.
    fn majority_replaced(&mut self, index: Index) {
        let _ = index;
    }
}
