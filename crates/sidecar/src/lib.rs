//! The process beside a rank on the platform: its tasks, timers and connections around the state machines of
//! `snipemast_groups`.
//!
//! - [`process`]: starts the tasks of the process, and stops them when its shutdown future is ready.
//! - `engine`: calls the rank beside this process.
//! - `rank`: carries out orders on that rank, one after another, and reports the outcome of each.
//! - `peers`: messages between the processes beside a group's ranks.
//! - `calls`: queries and orders that a lead sends to these processes.
//! - `relay`: forwards an order to several ranks.
//! - `group`: the state of a group as its lead knows it.
//! - `lead`: on rank 0, balances the load of the group's experts.
//! - `standby`: on rank 1, releases a group that this rank holds for a lead which no longer answers.
//! - `updates`: sends controllers the rank's place in its group, and whether the group makes progress.
//! - `reader`: reads the addresses of the other ranks from controllers' updates.

pub mod process;

mod calls;
mod engine;
mod group;
mod lead;
mod peers;
mod rank;
mod reader;
mod relay;
mod standby;
mod updates;

pub use process::run;
