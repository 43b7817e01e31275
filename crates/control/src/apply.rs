//! The interface between the replicated log and the deterministic state machine that it drives.

use std::fmt;

use snipemast_core::prelude::*;

/// The result of restoring a state machine.
pub type Result<T> = std::result::Result<T, RestoreError>;

/// The bytes are not a snapshot of the state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RestoreError {
    /// Why decoding failed.
    pub reason: String,
}

impl fmt::Display for RestoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "not a snapshot of the control state: {}", self.reason)
    }
}

impl std::error::Error for RestoreError {}

/// A state machine to which every voter applies the same commands in the same order.
///
/// The result of `apply` must depend on nothing but the state and the command: no clock, no
/// randomness.
pub trait StateMachine {
    /// Applies the committed command at this index of the log and returns its encoded verdict.
    fn apply(&mut self, index: Index, command: &[u8]) -> Vec<u8>;

    /// Returns the whole state, encoded.
    fn snapshot(&self) -> Vec<u8>;

    /// Replaces the whole state with a snapshot.
    fn restore(&mut self, bytes: &[u8]) -> Result<()>;

    /// Is called when an operator has replaced a majority that was lost for good, so that committed
    /// commands may be gone.
    ///
    /// A machine that numbers its states must skip more numbers here than can have been lost, so
    /// that no number is used for two states.
    fn majority_replaced(&mut self, index: Index) {
        let _ = index;
    }
}
