//! The control role: which configuration is in force.
//!
//! - [`machine`]: the state machine that patches are applied to.
//! - [`apply`]: what the replicated log asks of a state machine.

pub mod apply;
pub mod machine;

pub use apply::{RestoreError, StateMachine};
pub use machine::Machine;
