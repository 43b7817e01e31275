//! The gateway process: takes callers' requests, sends them to servers, and passes the answers on.
//!
//! This crate has the sockets, clocks and tasks; the decisions are in `snipemast_placement`.
//!
//! - [`process`]: starts the gateway, reports whether it is ready, and shuts it down without
//!   cutting   off answers.
//! - [`state`]: the state that all parts share.
//! - `reader`: polls controllers and applies their updates.
//! - `intake`: which new connections are read.
//! - `handle`: the path of a request from its caller to an answer.
//! - `body`: reads the bodies of requests, and counts the bytes that are held.
//! - `send`: one send of a request to one server.
//! - `crashes`: finds out whether servers ended under requests.
//! - `frozen`: health checks of servers that show nothing.
//! - `stream`: passes a stream on, and resumes it at another server if it breaks.
//! - `request_log`: what is logged and measured of a request.
//! - `waiting`: requests that no server may take now.
//! - `queue`: the requests that wait for a place, and who of them looks for one.
//! - `limits`: rate limits that servers name, and the leader's grants.
//! - `rests`: rests that servers ask for, and servers that are leaving.
//! - `unknown`: unknown headers in servers' answers.
//! - `metrics`: the gateway's metrics.
//! - [`order`]: the metrics of who is served first.
//! - `connections`: the pool of idle connections to servers.
//! - `answer`: the gateway's own answers, and the body of every answer.

pub mod order;
pub mod process;
pub mod state;

mod answer;
mod body;
mod connections;
mod crashes;
mod frozen;
mod handle;
mod intake;
mod limits;
mod metrics;
mod queue;
mod reader;
mod request_log;
mod rests;
mod send;
mod stream;
mod unknown;
mod waiting;

pub use process::run;
