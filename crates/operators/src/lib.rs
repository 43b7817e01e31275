//! The HTTP and JSON interface towards operators.
//!
//! - [`route`]: an operator's request, read from method, path and query.
//! - [`author`]: the author of a request, identified by key, and what the role allows.
//! - [`answer`]: the JSON shapes of the answers.
//! - [`timeline`]: the events of many processes in causal order.

pub mod answer;
pub mod author;
pub mod route;
pub mod timeline;

pub use answer::{DryRunAnswer, HistoryLine, StatusReport, VerdictAnswer};
pub use author::{authorize, Author, Denied};
pub use route::{Route, RouteError};
pub use timeline::Timeline;
