//! Decisions about requests that gateways send to announced servers directly.
//!
//! - [`servers`]: what a gateway believes of each server's load and health.
//! - [`allowances`]: what a gateway may send to servers that name limits.
//! - [`rests`]: until when servers want nothing from this gateway.
//! - [`returns`]: when requests come back that such servers leave no room for.
//! - [`choice`]: what the choice of a server is asked and given, and what it says.
//! - [`pick`]: which of those that may take a request gets it.
//! - [`budget`]: one gateway's share of the repeats that all may send.
//! - [`outage`]: what becomes of requests while none of a service's servers can run any.
//! - [`length`]: how long a stream takes from when it is sent to its end.
//! - [`passes`]: whether new prompts stay out of an engine's passes for a moment.
//! - [`pools`]: which servers run and stall together.
//! - [`sends`]: how often one attempt is sent to servers.
//! - [`shutdown`]: how a process that was told to end takes leave.
//! - [`urgency`]: which requests begin first at servers that have more than they run.
//! - [`events`]: cuts a stream into whole events, so that it can go on elsewhere.

pub mod allowances;
pub mod budget;
pub mod choice;
pub mod events;
pub mod length;
pub mod outage;
pub mod passes;
pub mod pick;
pub mod pools;
pub mod rests;
pub mod returns;
pub mod sends;
pub mod servers;
pub mod shutdown;
pub mod urgency;

pub use allowances::Allowances;
pub use budget::Budget;
pub use choice::Choice;
pub use events::{Events, IdReader};
pub use outage::Outages;
pub use passes::Passes;
pub use pools::{Pool, Pools};
pub use rests::Rests;
pub use returns::Returns;
pub use sends::Sends;
pub use servers::{ServerFault, Servers};
pub use shutdown::Shutdown;
pub use urgency::{Patience, Urgency};
