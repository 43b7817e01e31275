//! Expert map agreement and rebalancing decisions.
//!
//! - [`map`]: which rank holds which expert of which layer, and moves between maps.
//! - [`agree`]: agreement of a group's ranks on one expert map in every step.

pub mod agree;
pub mod map;
