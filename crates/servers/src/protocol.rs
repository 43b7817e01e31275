//! Paths and headers of the protocol towards backend servers.

/// `GET`: what the server offers, a [`ServerInfo`](snipemast_core::server::ServerInfo).
pub const INFO: &str = "/engine/info";
/// `GET`: the server's load, a [`LoadReport`](snipemast_core::server::LoadReport).
pub const LOAD: &str = "/engine/load";
/// `POST`: an [`EngineOrder`](crate::orders::EngineOrder); status 409 refuses its fencing number.
pub const ORDERS: &str = "/engine/orders";
/// `GET`: the cache events after a given number, for engines that cache prompt prefixes.
pub const CACHE: &str = "/engine/cache";
/// The header that holds the id of the attempt that a call belongs to.
pub const DISPATCH_HEADER: &str = "snipemast-dispatch";
