//! The HTTP and JSON interface towards operators.
