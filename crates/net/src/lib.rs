//! HTTP/1.1 on smol: plumbing for the shells of gateway and controller.
//!
//! - [`exec`]: the executor that runs every task of the process, on its main thread.
//! - [`clock`]: a clock that counts the time for which a host is suspended.
//! - [`socket`]: options of the sockets that carry requests.
//! - [`connect`](mod@connect): one connection to a peer, owned by whoever uses it.
//! - [`kept`]: one connection that is kept for the calls to one peer.
//! - [`serve`](mod@serve): the accept loop of a listener.
//! - [`rpc`]: calls between own processes: one MessagePack message each way.

pub mod clock;
pub mod connect;
pub mod exec;
pub mod kept;
pub mod rpc;
pub mod serve;
pub mod socket;

pub use clock::BootClock;
pub use connect::{connect, ConnectError, Connection};
pub use exec::{spawn, within};
pub use kept::PersistentConnection;
pub use rpc::{RpcClient, RpcError};
pub use serve::serve;
