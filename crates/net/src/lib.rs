//! HTTP/1.1 on smol: connections, listeners and calls for the processes on the users' platform.
//!
//! - [`exec`]: the executor that runs every task of the process on its main thread.
//! - [`clock`]: a clock that includes the time for which a host is suspended.
//! - [`socket`]: options of the sockets that carry requests.
//! - [`connect`](mod@connect): a single connection to a peer, owned by its user.
//! - [`kept`]: a persistent connection to one peer.
//! - [`serve`](mod@serve): the accept loop of a listener.
//! - [`idle`]: which connections of a listener have no request in progress.
//! - [`rpc`]: calls between the system's own processes, with one MessagePack message each way.
//! - [`parts`]: messages that arrive in parts.

pub mod clock;
pub mod connect;
pub mod exec;
pub mod idle;
pub mod kept;
mod observed;
pub mod parts;
pub mod rpc;
pub mod serve;
pub mod socket;

pub use clock::BootClock;
pub use connect::{connect, ConnectError, ConnectFailure, Connection, ResponseBody};
pub use exec::{spawn, within};
pub use idle::{CutAnswer, CutReason, IdleLimits, OpenConnections};
pub use kept::PersistentConnection;
pub use rpc::{RpcClient, RpcError};
pub use serve::{serve, serve_gated, Gate};
pub use socket::SocketTimeouts;
