//! The shell of the process beside a rank on the platform.
//!
//! - [`process`]: starts everything, and ends when it is told to.
//! - `engine`: calls to the rank beside which this process runs.
//! - `rank`: carries out orders on that rank, one after another, each surely or not at all.
//! - `peers`: calls between the processes beside a group's ranks.
//! - `calls`: a lead's calls to them.
//! - `relay`: passes an order on to several ranks.
//! - `group`: what a lead knows of its group.
//! - `lead`: on rank 0, evens out the group's experts.
//! - `deputy`: on rank 1, lets the group go on that this rank holds for a lead that has fallen silent.
//! - `teller`: tells controllers where the rank belongs, and whether its group goes on.
//! - `news`: learns from controllers where the other ranks are.

pub mod process;

mod calls;
mod deputy;
mod engine;
mod group;
mod lead;
mod news;
mod peers;
mod rank;
mod relay;
mod teller;

pub use process::run;
