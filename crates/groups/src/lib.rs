//! Expert map agreement and rebalancing decisions.
//!
//! - [`map`]: which rank holds which expert of which layer, and moves between maps.
//! - [`agree`]: agreement of a group's ranks on one expert map in every step.
//! - [`estimate`]: popularity of experts, from reports that lag and have gaps.
//! - [`pace`]: slow and stalled ranks, told apart from hot experts.
//! - [`pack`](mod@pack): a layer packed anew, but kept as it is where that costs little evenness.
//! - [`search`]: few changes of slots that even out the ranks of one layer.
//! - [`policy`]: which moves to make, and why or why not.
//! - [`planner`]: one group's planner, which takes reports and remembers why it decided so.
//! - [`order`]: what a lead asks of ranks of ordered engines, and what they say.
//! - [`switch`]: how the lead of a group of ordered engines brings a map into force.
//! - [`draft`]: a new map, told as its difference from one that ranks know.
//! - [`delivery`]: how orders reach many ranks over narrow links.
//! - [`stall`]: whether a rank goes on with its group's passes.
//! - [`takeover`]: how another process lets a group go on whose lead has fallen silent.
//! - [`ahead`]: how many steps ahead a group is held for that.
//! - [`executor`]: carries a lead's orders out on one rank, each surely or not at all.
//! - [`demand`]: the demand for experts, out of a sample of the ranks.
//! - [`even`](mod@even): a map for a demand that has shifted, with few copies.
//! - [`steer`]: what a request would add to a skewed group, and what to defer.

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
