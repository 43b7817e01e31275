//! Refusals and failures, as problem details according to RFC 9457.

use std::fmt;

use serde_json::json;
use trillium::{Conn, KnownHeaderName};

use snipemast_core::prelude::*;

/// The header that says whether a request ran.
pub const OUTCOME_HEADER: &str = "snipemast-outcome";
/// The header that holds a request's id.
pub const REQUEST_HEADER: &str = "snipemast-request";

/// The kind of a problem, which determines its HTTP status.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ProblemKind {
    /// The request does not follow the interface.
    Malformed,
    /// The request has no key, or one that belongs to no workspace.
    Unauthorized,
    /// There is nothing with this name.
    NotFound,
    /// The path requires another method.
    Method,
    /// The body is larger than its limit.
    TooLarge,
    /// The idempotency key was used before with another body.
    KeyReused,
    /// The workspace exceeds a limit.
    Limited,
    /// No backend server can take the request now.
    Unavailable,
    /// The request crashed backend servers and is quarantined.
    Quarantined,
    /// The request's deadline passed.
    Late,
    /// The backend server failed.
    Failed,
}

impl ProblemKind {
    /// Returns the HTTP status.
    pub const fn status(self) -> u16 {
        match self {
            Self::Malformed => 400,
            Self::Unauthorized => 401,
            Self::NotFound => 404,
            Self::Method => 405,
            Self::TooLarge => 413,
            Self::KeyReused | Self::Quarantined => 422,
            Self::Limited => 429,
            Self::Failed => 502,
            Self::Unavailable => 503,
            Self::Late => 504,
        }
    }

    /// Returns the last part of the problem's type URI, which stays the same across releases.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::Unauthorized => "unauthorized",
            Self::NotFound => "not-found",
            Self::Method => "method",
            Self::TooLarge => "too-large",
            Self::KeyReused => "key-reused",
            Self::Limited => "limited",
            Self::Unavailable => "unavailable",
            Self::Quarantined => "quarantined",
            Self::Late => "late",
            Self::Failed => "failed",
        }
    }
}

/// A refusal or failure of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    kind: ProblemKind,
    outcome: Outcome,
    detail: String,
    retry: Option<Span>,
}

impl Problem {
    /// Creates a problem of a request that did not run.
    pub fn new(kind: ProblemKind, detail: impl fmt::Display) -> Self {
        Self {
            kind,
            outcome: Outcome::NotRun,
            detail: detail.to_string(),
            retry: None,
        }
    }

    /// Sets whether the request ran.
    #[must_use]
    pub fn with_outcome(mut self, outcome: Outcome) -> Self {
        self.outcome = outcome;
        self
    }

    /// Sets the span after which the caller may retry.
    #[must_use]
    pub fn with_retry(mut self, after: Span) -> Self {
        self.retry = Some(after);
        self
    }

    /// Returns the kind of the problem.
    pub fn kind(&self) -> ProblemKind {
        self.kind
    }

    /// Returns whether the request ran.
    pub fn outcome(&self) -> Outcome {
        self.outcome
    }

    /// Returns the problem as a JSON document.
    pub fn to_json(&self) -> String {
        let kind = self.kind.as_str();
        json!({
            "type": format!("https://snipemast.example/problems/{kind}"),
            "title": kind,
            "status": self.kind.status(),
            "detail": self.detail,
            "outcome": self.outcome.as_str(),
        })
        .to_string()
    }

    /// Returns the problem as the last event of an answer's stream.
    pub fn to_event(&self) -> String {
        format!("event: error\ndata: {}\n\n", self.to_json())
    }

    /// Answers a request with the problem.
    pub fn answer(&self, conn: Conn) -> Conn {
        let conn = conn
            .with_status(self.kind.status())
            .with_response_header(KnownHeaderName::ContentType, "application/problem+json")
            .with_response_header(OUTCOME_HEADER, self.outcome.as_str());
        let conn = match self.retry {
            Some(after) => {
                let seconds = after.as_micros().div_ceil(1_000_000).max(1);
                conn.with_response_header(KnownHeaderName::RetryAfter, seconds.to_string())
            }
            None => conn,
        };
        conn.with_body(self.to_json()).halt()
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} ({}): {}",
            self.kind.as_str(),
            self.outcome,
            self.detail
        )
    }
}

impl std::error::Error for Problem {}
