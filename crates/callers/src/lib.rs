//! The HTTP interface towards callers.
//!
//! - [`ask`]: what a caller asks, read from an HTTP request.
//! - [`problem`]: refusals and failures, as RFC 9457 problem details.

pub mod ask;
pub mod problem;

pub use ask::{Ask, AskError, Target};
pub use problem::{Problem, ProblemKind};
