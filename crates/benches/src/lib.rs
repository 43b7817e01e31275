//! Parts that the benches share: load generators, simulators, baselines and figures.
//!
//! - [`report`]: the arguments and figures of a bench, and how they are printed.
//! - [`load`]: a load generator for HTTP over loopback.
//! - [`members`]: simulated fleets of membership state machines, in three sizes.
//! - [`capacity`]: what each role costs at the fleet size planned for two years from now.
//! - [`config_costs`]: what the configuration costs: patches, catch-up and traffic.
//! - [`faults`]: orders and streams over faulty connections, through the system and through a plain proxy.
//! - [`queue`]: a simulator of servers with continuous batching, under a virtual clock.
//! - [`placing`]: a simulator of gateways that place requests on a group's ranks, under a virtual clock.
//! - [`plots`]: line plots, drawn as SVG.
//! - [`policies`]: the routing policies that the routing bench compares.
//! - [`voters`]: control voters with real HTTP and disks, over loopback.
//! - [`splits`]: a simulator of the split of fleet-wide limits among entries, without servers.
//! - [`traces`]: traces of expert popularity, and baselines of rebalancing.

pub mod capacity;
pub mod config_costs;
pub mod faults;
pub mod load;
pub mod members;
pub mod placing;
pub mod plots;
pub mod policies;
pub mod queue;
pub mod report;
pub mod splits;
pub mod traces;
pub mod voters;
