//! Benches and the load and experiment tool.
//!
//! - [`report`]: what every bench shares: its arguments, its figures, and how they are printed.
//! - [`load`]: a load generator for HTTP over loopback.
//! - [`members`]: fleets of membership's state machines, of three sizes.
//! - [`capacity`]: what each role costs at the size of two years, from the benches' figures.

pub mod capacity;
pub mod load;
pub mod members;
pub mod report;
