//! An operator's request, read from method, path and query.

use std::fmt;
use std::str::FromStr;

use snipemast_config::Role;
use snipemast_core::prelude::*;
use snipemast_requests::Fingerprint;

/// The result of reading a request.
pub type Result<T> = std::result::Result<T, RouteError>;

/// The number of versions of the history that are shown by default.
const DEFAULT_HISTORY: usize = 20;

/// A request of an operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Route {
    /// `POST /patches`: submit a patch.
    Submit,
    /// `POST /patches?dry-run=true`: show the effect that a patch would have.
    DryRun,
    /// `GET /config`: read the configuration in force, or another version with `?at=N`.
    Config {
        /// The version, if not the one in force.
        at: Option<Version>,
    },
    /// `GET /config/diff?from=N&to=M`: show what changed between two versions.
    Diff {
        /// The version to compare from.
        from: Version,
        /// The version to compare to.
        to: Version,
    },
    /// `GET /config/back?to=N`: get the patch that restores the content of a version.
    Back {
        /// The version to restore.
        to: Version,
    },
    /// `GET /history?last=N`: list the last versions, who made them and why.
    History {
        /// The number of versions.
        last: usize,
    },
    /// `GET /status`: show the state of the system as this host knows it.
    Status,
    /// `GET /suspects`: list the requests that are suspected of crashing backend servers.
    Suspects,
    /// `POST /suspects/lift?request=F`: clear a request of the suspicion that is known so far.
    Lift {
        /// The request's fingerprint.
        request: Fingerprint,
    },
}

/// Why a request can't be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RouteError {
    /// There is nothing at the path.
    NotFound,
    /// The path requires another method.
    Method,
    /// A parameter is missing or malformed.
    Parameter(String),
}

impl fmt::Display for RouteError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotFound => f.write_str("nothing stands at this path"),
            Self::Method => f.write_str("the path takes another method"),
            Self::Parameter(name) => write!(f, "the parameter {name} is missing or malformed"),
        }
    }
}

impl std::error::Error for RouteError {}

impl Route {
    /// Reads a request.
    pub fn read(method: &str, path: &str, query: &str) -> Result<Self> {
        let query = Query(query);
        let route = match path {
            "/patches" if query.get("dry-run")?.unwrap_or(false) => Self::DryRun,
            "/patches" => Self::Submit,
            "/config" => Self::Config {
                at: query.get("at")?,
            },
            "/config/diff" => Self::Diff {
                from: query.required("from")?,
                to: query.required("to")?,
            },
            "/config/back" => Self::Back {
                to: query.required("to")?,
            },
            "/history" => Self::History {
                last: query.get("last")?.unwrap_or(DEFAULT_HISTORY),
            },
            "/status" => Self::Status,
            "/suspects" => Self::Suspects,
            "/suspects/lift" => Self::Lift {
                request: query.required("request")?,
            },
            _ => return Err(RouteError::NotFound),
        };
        if method == route.method() {
            Ok(route)
        } else {
            Err(RouteError::Method)
        }
    }

    /// Returns the role that the request requires.
    pub fn role(&self) -> Role {
        match self {
            Self::Submit | Self::Lift { .. } => Role::Write,
            Self::DryRun
            | Self::Config { .. }
            | Self::Diff { .. }
            | Self::Back { .. }
            | Self::History { .. }
            | Self::Status
            | Self::Suspects => Role::Read,
        }
    }

    fn method(&self) -> &'static str {
        match self {
            Self::Submit | Self::DryRun | Self::Lift { .. } => "POST",
            Self::Config { .. }
            | Self::Diff { .. }
            | Self::Back { .. }
            | Self::History { .. }
            | Self::Status
            | Self::Suspects => "GET",
        }
    }
}

/// The query of a request; the values of its parameters need no escapes.
struct Query<'a>(&'a str);

impl Query<'_> {
    fn get<T: FromStr>(&self, name: &str) -> Result<Option<T>> {
        let pairs = self.0.split('&').filter_map(|pair| pair.split_once('='));
        let mut found = pairs.filter(|(key, _)| *key == name);
        let Some((_, value)) = found.next() else {
            return Ok(None);
        };
        let malformed = |_| RouteError::Parameter(name.into());
        value.parse().map(Some).map_err(malformed)
    }

    fn required<T: FromStr>(&self, name: &str) -> Result<T> {
        self.get(name)?
            .ok_or_else(|| RouteError::Parameter(name.into()))
    }
}
