//! Decisions about servers that announce themselves, and the news that spreads them.
//!
//! - [`announcement`]: what a server says of itself.
//! - [`table`]: the servers that are known, with their last word.
//! - [`news`]: what gateways and controllers ask a controller, and its answers.
//! - [`grants`]: which gateway may send the next requests to a server that names a limit.
//! - [`limit`]: a server's limit on the requests that all gateways together send it.
//! - [`leaving`]: servers that say in their answers that they leave.
//! - [`rank`]: a server's place in a group of ranks.
//! - [`source`]: of whom a gateway asks a configuration.
//! - [`pollers`]: who polls a controller, and what each one has.

pub mod announcement;
pub mod grants;
pub mod leaving;
pub mod limit;
pub mod news;
pub mod pollers;
pub mod rank;
pub mod source;
pub mod table;

pub use announcement::{Announcement, Standing};
pub use grants::{Demand, Grant, Grants};
pub use leaving::LeavingServer;
pub use limit::{LimitEntry, LimitUpdate};
pub use news::{Cursor, News, Poll, PollerKind};
pub use pollers::Pollers;
pub use rank::{GroupRank, RankUpdate};
pub use table::{Entry, KnownServer, Table};
