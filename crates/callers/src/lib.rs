//! The HTTP interface towards callers.
//!
//! - [`ask`]: what a caller asks, read from an HTTP request.
//! - `path`: the path of a plain service's call, checked.
//! - [`problem`]: refusals and failures, as RFC 9457 problem details.

pub mod ask;
mod path;
pub mod problem;

pub use ask::{RequestError, ServiceRequest, Target};
pub use problem::{Problem, ProblemKind};
