//! The HTTP interface towards callers.
//!
//! - [`ask`]: a caller's request to a service, read from an HTTP request.
//! - `path`: the check of the path of a call to a plain service.
//! - [`problem`]: refusals and failures, as problem details according to RFC 9457.

pub mod ask;
mod path;
pub mod problem;

pub use ask::{RequestError, ServiceRequest, Target};
pub use problem::{Problem, ProblemKind};
