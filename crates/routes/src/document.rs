//! The document that operators send: a whole configuration with a version number.

use snipemast_core::data;
use snipemast_core::prelude::*;

use crate::engine::Engine;
use crate::host::Host;

data! {
    float
    /// A whole configuration. The one with the highest version is in force.
    pub struct Document {
        /// The version number.
        pub version: Version,
        /// The routes of requests.
        pub routes: Vec<Route>,
        /// The services that routes name.
        pub services: Vec<Service>,
        /// The limits on what callers may send, and how slowly.
        pub limits: CallerLimits,
        /// The workspaces whose callers may send requests. If there is none, every caller may.
        pub workspaces: Vec<Workspace>,
    }

    /// Which services get the requests of one host and path prefix.
    pub struct Route {
        /// The route's name.
        pub name: String,
        /// The host that callers address.
        pub host: Host,
        /// The path prefix, which begins and ends with a slash.
        pub prefix: String,
        /// Whether and how requests may be repeated.
        pub repeat: Repeat,
        /// How long a caller may have to wait for the answer.
        pub timeout: Span,
        /// The time within which an answer, or the first event of a stream, is on time.
        pub objective: Span,
        /// The longest pause between two events of a stream that is on time.
        pub gap: Option<Span>,
        /// The priority of the requests; 0 is served first.
        pub priority: Priority,
        /// The services among which the requests are split.
        pub split: Vec<Share>,
        /// The most servers that one attempt of a caller may be sent to in all.
        pub attempts: u32,
        /// Whether callers need no key.
        pub public: bool,
        /// Whether the requests carry prompts that have parts in common.
        pub prompts: bool,
    }

    /// Whether and how a request may be repeated.
    #[derive(Copy)]
    pub enum Repeat {
        /// The request may run more than once.
        Idempotent,
        /// The request runs at most once.
        Once,
        /// The request runs at most once and is answered by a stream of events.
        Stream,
        /// The request is answered by a stream of events that another server may resume after the
        /// last event that arrived.
        ResumableStream,
    }

    /// The share of a route's requests that a service gets.
    pub struct Share {
        /// The service.
        pub service: ServiceId,
        /// The weight, relative to the route's other shares.
        pub weight: u32,
    }

    /// A service, which runs on backend servers.
    pub struct Service {
        /// The service's name.
        pub name: ServiceId,
        /// The most connections that each of its servers accepts in all.
        pub connections: u32,
        /// The properties of its model engine, if its servers are ranks of one.
        pub engine: Option<Engine>,
        /// How many requests a cold server of it tolerates, if they are fewer than usual.
        pub cold_rate: Option<Rate>,
    }

    /// Limits on what callers may send, and how slowly.
    pub struct CallerLimits {
        /// The largest head of a request.
        pub header: Size,
        /// The largest body of a request.
        pub body: Size,
        /// How long the head may take to arrive.
        pub header_time: Span,
        /// How long a connection may be idle.
        pub idle: Span,
    }

    /// A workspace and the keys of its callers.
    pub struct Workspace {
        /// The workspace's name.
        pub name: String,
        /// The keys that callers present.
        pub keys: Vec<String>,
        /// The priority of its requests, which counts before that of their routes.
        pub priority: Option<Priority>,
    }
}

impl Repeat {
    /// Whether a request may run again when the outcome of a run is unknown.
    pub const fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether the answer is a stream of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

impl Default for CallerLimits {
    /// Returns the limits for a document without any, which are those of common HTTP servers.
    fn default() -> Self {
        Self {
            header: Size::from_bytes(16 << 10),
            body: Size::from_mib(4),
            header_time: Span::from_secs(3),
            idle: Span::from_secs(15),
        }
    }
}
