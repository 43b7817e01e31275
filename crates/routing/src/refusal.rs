//! Why a request is refused, and when to retry it.

use std::fmt;

use snipemast_core::prelude::*;

data! {
    /// Why a request was refused.
    #[derive(Copy, PartialOrd, Ord, Hash)]
    #[serde(rename_all = "kebab-case")]
    pub enum Reason {
        /// The workspace asks for more requests per second than its limit.
        Requests,
        /// The workspace asks for more tokens per second than its limit.
        Tokens,
        /// The workspace has as many requests in flight as its limit.
        Concurrency,
        /// The workspace's queue is full.
        Queue,
        /// The request would wait past its deadline.
        Deadline,
        /// No backend server has loaded what the request asks for.
        Unloaded,
    }

    /// The refusal of a request, which did not run.
    #[derive(Copy)]
    pub struct Refusal {
        /// Why the request was refused.
        pub reason: Reason,
        /// The time after which to retry.
        pub retry: Span,
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Requests => "the workspace is over its requests a second",
            Self::Tokens => "the workspace is over its tokens a second",
            Self::Concurrency => "the workspace has as many requests in flight as it may",
            Self::Queue => "the workspace's queue is full",
            Self::Deadline => "it would wait past its deadline",
            Self::Unloaded => "no backend server offers it now",
        })
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}; come back in {}", self.reason, self.retry)
    }
}

impl std::error::Error for Refusal {}
