//! Benches and the load and experiment tool.
//!
//! - [`report`]: what every bench shares: its arguments, its figures, and how they are printed.
//! - [`load`]: a load generator for HTTP over loopback.
//! - [`members`]: fleets of membership's state machines, of three sizes.
//! - [`capacity`]: what each role costs at the size of two years, from the benches' figures.
//! - [`config_costs`]: what the configuration costs: patches, catching up, and traffic.
//! - [`faults`]: orders and streams while wires misbehave, ours and a plain proxy's.
//! - [`queue`]: a small fake of servers that batch continuously, under a virtual clock.
//! - [`placing`]: gateways that place requests on a group's ranks, under a virtual clock.
//! - [`plots`]: lines over an axis, drawn as SVG.
//! - [`policies`]: the routing policies that are compared.
//! - [`voters`]: voters with real HTTP and disks over loopback.
//! - [`splits`]: the split of fleet-wide limits among entries, without servers.
//! - [`traces`]: expert popularity over time, and baselines of rebalancing.

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
