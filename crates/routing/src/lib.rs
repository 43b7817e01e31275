//! Choice of server, limits and overload decisions.
//!
//! - [`wanted`]: what a backend server must offer to answer a request.
//! - [`query`]: what is asked of the choice, and what it says.
//! - [`router`]: the choice of a server for one request.
//! - [`load`]: a server's load, from reports that lag.
//! - [`health`]: suspicion, ejection, slow start.
//! - [`prefix`]: hints of which servers hold a prompt's prefix.
//! - [`subset`]: which servers an entry keeps connections to.
//! - [`lane`]: admission to one pool, and who goes next.
//! - [`fair`]: the queue that shares by weight and starves none.
//! - [`limiter`]: each workspace's upper bounds.
//! - [`demand`]: the split of fleet-wide limits among entries.
//! - [`bucket`]: token buckets, and rates that fade.
//! - [`refusal`]: why a request is not let in, and when to come back.
//! - [`wish`]: orders to load what nothing has loaded.
//! - [`status`]: who is held back, and why.
//! - [`hash`]: seeded mixing, the source of every random pick.

mod pick;
mod pool;
mod server;
mod upkeep;

pub mod bucket;
pub mod demand;
pub mod fair;
pub mod hash;
pub mod health;
pub mod lane;
pub mod limiter;
pub mod load;
pub mod prefix;
pub mod query;
pub mod refusal;
pub mod router;
pub mod status;
pub mod subset;
pub mod wanted;
pub mod wish;

pub use demand::{Demands, Summary, Topic};
pub use fair::{Priority, Ticket};
pub use health::{HealthPolicy, RequestEnd};
pub use lane::{Arrival, Decision, Departure, Dequeued, Lane, LanePolicy, PoolCapacity};
pub use limiter::{LimitShare, Limiter};
pub use pool::{Location, Proximity, SpillPolicy};
pub use prefix::{Prefix, PrefixPolicy};
pub use query::{Choice, EjectionCause, NoServer, Notice, Query, RoutingPolicy, ServerIndex};
pub use refusal::{Reason, Refusal};
pub use router::Router;
pub use server::ServerFacts;
pub use status::{HeldWorkspace, LaneStatus, LimitStatus};
pub use subset::Subset;
pub use wanted::Wanted;
pub use wish::{Wish, WishPolicy, Wishes};
