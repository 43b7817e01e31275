//! The control role: which configuration is in force.
//!
//! - [`machine`]: the state machine that patches are applied to.

pub mod machine;

pub use machine::Machine;
