//! Decisions about the servers that announce themselves, and the messages that replicate them.
//!
//! - [`announcement`]: what a server announces about itself.
//! - [`table`]: the known servers, each with its latest announcement.
//! - [`updates`]: the polls of gateways, sidecars and controllers, and a controller's answers.
//! - [`fetch`]: how a process gets the newest configuration, piece by piece.
//! - [`last_seen`]: the times of the servers' last heartbeats, as controllers exchange them.
//! - [`grants`]: which gateway may send the next requests to a server that names a limit.
//! - [`limit`]: a server's limit on the requests that all gateways together send to it.
//! - [`leaving`]: servers whose answers announce that they are leaving.
//! - [`crashes`]: the exchange of records of requests whose servers ended.
//! - [`rank`]: a server's place in a group of ranks.
//! - [`relays`]: which controllers pass the changes of servers on to a gateway.
//! - `report`: how reports of a server are ordered.
//! - [`outcomes`]: which servers fail far more of their requests than others.
//! - [`pollers`]: which hosts poll a controller, and what each of them has.

pub mod announcement;
pub mod crashes;
pub mod fetch;
pub mod grants;
pub mod last_seen;
pub mod leaving;
pub mod limit;
pub mod outcomes;
pub mod pollers;
pub mod rank;
pub mod relays;
mod report;
pub mod table;
pub mod updates;

pub use announcement::{Announcement, Standing};
pub use crashes::{CrashExchange, CrashUpdate};
pub use grants::{Demand, Grant, Grants};
pub use last_seen::SeenServer;
pub use leaving::LeavingServer;
pub use limit::{LimitEntry, LimitUpdate};
pub use pollers::Pollers;
pub use rank::{GroupRank, RankUpdate};
pub use table::{Entry, KnownServer, StartState, Table};
pub use updates::{Cursor, Poll, PollerKind, Update};
