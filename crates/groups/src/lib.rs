//! Expert map agreement and rebalancing decisions.
