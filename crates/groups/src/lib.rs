//! Expert map agreement and rebalancing decisions.
//!
//! A group is a set of ranks that step in lock-step and together hold the experts of a model. An
//! expert map says which rank holds which expert. The crate contains no I/O: its types are state
//! machines and pure functions, which agents and sidecars drive.
//!
//! Expert maps:
//!
//! - [`map`]: which rank holds which expert of which layer, and the moves between two maps.
//! - [`search`]: finds a few changes of slots that balance the ranks of one layer.
//! - [`pack`](mod@pack): repacks a layer, and keeps experts in place where that costs little.
//!
//! Groups whose engines step by permit:
//!
//! - [`agree`]: agreement of a group's ranks on the expert map of each step.
//! - [`estimate`]: the popularity of experts, from reports that lag and have gaps.
//! - [`pace`]: detects slow and stalled ranks, as opposed to ranks with hot experts.
//! - [`policy`]: decides which moves to make, with the reason.
//! - [`planner`]: the planner of one group, which collects reports and records its decisions.
//! - [`steer`]: the cost of one more request on a group, and which requests to defer.
//!
//! Groups whose engines take orders:
//!
//! - [`order`]: the orders that a lead gives to ranks, and their outcomes.
//! - [`switch`]: how the lead brings a new map into force.
//! - [`ahead`]: how many steps ahead the group is held for a switch.
//! - [`draft`]: encodes a new map as its difference from one that ranks know.
//! - [`delivery`]: how orders reach many ranks over narrow links.
//! - [`executor`]: carries out a lead's orders on one rank.
//! - [`takeover`]: how a standby releases a held group whose lead no longer answers.
//! - [`stall`]: detects that a rank makes no progress with its group's passes.
//! - [`demand`]: the demand for experts, from the counts of a sample of the ranks.
//! - [`even`]: rebalances a group after a shift of the demand, with few copies.

pub mod agree;
pub mod ahead;
pub mod delivery;
pub mod demand;
pub mod draft;
pub mod estimate;
pub mod even;
pub mod executor;
pub mod map;
pub mod order;
pub mod pace;
pub mod pack;
pub mod planner;
pub mod policy;
pub mod search;
pub mod stall;
pub mod steer;
pub mod switch;
pub mod takeover;
