//! Leases, gossip and the time line.
