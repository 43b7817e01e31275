//! Chooses backend servers for requests, applies the limits of workspaces, and sheds overload.
//!
//! Each entry decides for itself, out of load reports that lag and without asking other entries.
//! Only the split of limits among entries needs an exchange between them.
//!
//! Choice of a server:
//!
//! - [`wanted`]: the model or service that a request needs.
//! - [`query`]: the input and the result of a choice, and its policy.
//! - [`router`]: the table of servers, and the choice of one for a request.
//! - [`load`]: the load of a server, estimated from reports that lag.
//! - [`health`]: the health of a server: ejection, slow start and stalls.
//! - [`prefix`]: the prefix of a prompt, and the loads up to which it decides on the server.
//! - [`subset`]: the servers that an entry keeps connections to.
//!
//! Admission:
//!
//! - [`lane`]: admission to the pool of one model or service.
//! - [`fair`]: a queue that shares its output among workspaces by weight.
//! - [`limiter`]: the limits of each workspace at one entry.
//! - [`demand`]: the split of fleet-wide limits among entries, by demand.
//! - [`bucket`]: token buckets and decaying rates.
//! - [`refusal`]: why a request is refused, and when to retry.
//! - [`wish`]: models that are requested but that no server has loaded.
//! - [`status`]: the status of limits and routing that operators see.
//! - [`hash`]: hashes and seeded mixing, the source of every random choice.

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
