//! Choice of server, limits and overload decisions.
//!
//! - [`wanted`]: what a backend server must offer to answer a request.
//! - [`router`]: the choice of a server for one request.
//! - [`load`]: a server's load, from reports that lag.
//! - [`health`]: suspicion, ejection, slow start.
//! - [`prefix`]: hints of which servers hold a prompt's prefix.
//! - [`subset`]: which servers an entry keeps connections to.
//! - [`hash`]: seeded mixing, the source of every random pick.

mod pick;
mod pool;
mod server;

pub mod hash;
pub mod health;
pub mod load;
pub mod prefix;
pub mod router;
pub mod subset;
pub mod wanted;

pub use health::{Ended, HealthPolicy};
pub use pool::{Near, Place, SpillPolicy};
pub use prefix::{Prefix, PrefixPolicy};
pub use router::{Cause, Choice, NoServer, Notice, Policy, Query, Router, Slot};
pub use server::Facts;
pub use subset::Seat;
pub use wanted::Wanted;
