//! Routing documents: which services a request may go to, and which workspace it belongs to.
//!
//! An operator sends a whole document with a version number. The crate checks it, and indexes it
//! for the lookup of requests.
//!
//! - [`document`]: the document that operators send.
//! - [`host`]: the name of a host in its only spelling.
//! - [`engine`]: the published properties of a service's model engine.
//! - [`check`](mod@check): finds every fault of a document.
//! - [`table`]: finds the route and the workspace of a request by hash lookups.

pub mod check;
pub mod document;
pub mod engine;
pub mod host;
pub mod table;

pub use check::{check, Fault};
pub use document::{CallerLimits, Document, Repeat, Route, Service, Share, Workspace};
pub use engine::Engine;
pub use host::Host;
pub use table::{Denied, Match, Table};
