//! Decisions about the requests that gateways send directly to announced servers.
//!
//! The crate does no I/O and reads no clock: callers pass the time in.
//!
//! Choosing a server:
//!
//! - [`servers`]: the gateway's view of each server's load and health, and the choice of a server.
//! - [`choice`]: the inputs and the result of a choice.
//! - [`pick`]: the policies that pick one of the servers that may take a request.
//! - [`pools`]: groups servers that run and stall together into pools.
//! - [`outcomes`]: which servers fail far more of their requests than others.
//! - [`urgency`]: how urgent a request is.
//! - [`reserve`]: how full a server may be for a request, by its urgency.
//!
//! What servers ask for:
//!
//! - [`allowances`]: how many requests a gateway may send to servers that name a rate limit.
//! - [`rests`]: when servers that asked for rest may be sent requests again.
//! - [`cold`]: how many requests a gateway sends to servers that are cold.
//!
//! When a request can't be sent at once, or fails:
//!
//! - [`outage`]: which pools are out, and whether blocked requests wait, come back or are refused.
//! - [`queue`]: which of the requests that wait for a place may try next.
//! - [`returns`]: when blocked requests come back if all servers are limited or resting.
//! - [`passes`]: whether new prompts are held back while an engine's forward passes are long.
//! - [`length`]: estimates how long a stream takes.
//! - [`budget`]: this gateway's share of the retry budget.
//! - [`sends`]: counts how often one attempt is sent to servers.
//! - [`events`]: splits a stream into complete events, so that it can be resumed at another server.
//!
//! Taking requests:
//!
//! - [`intake`]: which new connections are read, by what the process gets done.
//! - [`memory`]: how many bytes of requests and answers are held at once.
//!
//! Shutting down:
//!
//! - [`shutdown`]: when a process that shuts down refuses requests, and when it may end.

pub mod allowances;
pub mod budget;
pub mod choice;
pub mod cold;
pub mod events;
pub mod intake;
pub mod length;
pub mod memory;
pub mod outage;
pub mod outcomes;
pub mod passes;
pub mod pick;
pub mod pools;
pub mod queue;
pub mod reserve;
pub mod rests;
pub mod returns;
pub mod sends;
pub mod servers;
pub mod shutdown;
pub mod urgency;

pub use allowances::Allowances;
pub use budget::RetryBudget;
pub use choice::Choice;
pub use events::{EventSplitter, IdReader};
pub use outage::Outages;
pub use outcomes::{AnswerResult, OutcomeCount, Suspect};
pub use passes::PassTimes;
pub use pools::{Pool, Pools};
pub use queue::PlaceQueue;
pub use reserve::{LoadLimits, Reserve};
pub use rests::Rests;
pub use returns::RetrySchedule;
pub use sends::Sends;
pub use servers::{ServerFault, Servers};
pub use shutdown::Shutdown;
pub use urgency::{CallerPatience, RequestClass, RequestPriority, Urgency};
