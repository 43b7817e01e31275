//! The shell of an entry host on the platform: sockets and clocks around the decisions.
//!
//! - [`process`]: starts everything, says whether it is ready, and ends without a cut answer.
//! - [`state`]: what the parts share.
//! - `news`: what this gateway polls controllers for, and what it makes of it.
//! - `handle`: a request's way from its caller to an answer.
//! - `send`: one send of a request to one server.
//! - `frozen`: servers that answer nothing, until they do.
//! - `stream`: passes events on, and goes on at another server where a stream breaks.
//! - `story`: what is logged and measured of one request.
//! - `waiting`: requests that no server may take now.
//! - `limits`: what answers say of the requests that their servers take.
//! - `rests`: the rest that servers ask for, and their leaving.
//! - `unknown`: headers of answers that nobody here knows.
//! - `metrics`: what a gateway counts and measures.
//! - `connections`: open connections to servers.
//! - `answer`: the gateway's own answers, and the body of every answer.

pub mod process;
pub mod state;

mod answer;
mod connections;
mod frozen;
mod handle;
mod limits;
mod metrics;
mod news;
mod rests;
mod send;
mod story;
mod stream;
mod unknown;
mod waiting;

pub use process::run;
