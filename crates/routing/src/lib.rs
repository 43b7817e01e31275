//! Choice of server, limits and overload decisions.
