//! What an operator asks for, read from method, path and query.

use std::fmt;
use std::str::FromStr;

use snipemast_config::Role;
use snipemast_core::prelude::*;
use snipemast_requests::Fingerprint;

/// The result of reading a request.
pub type Result<T> = std::result::Result<T, RouteError>;

/// How many versions of the history are shown where nobody says how many.
const LAST: usize = 20;

/// What an operator asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Route {
    /// `POST /patches`: submit a patch.
    Submit,
    /// `POST /patches?dry-run=true`: what a patch would come to.
    DryRun,
    /// `GET /config`: the configuration in force, or `?at=N` another version.
    Config {
        /// The version, where it is not the one in force.
        at: Option<Version>,
    },
    /// `GET /config/diff?from=N&to=M`: what changed between two versions.
    Diff {
        /// The one version.
        from: Version,
        /// The other version.
        to: Version,
    },
    /// `GET /config/back?to=N`: the patch that leads back to the content of a version.
    Back {
        /// The version.
        to: Version,
    },
    /// `GET /history?last=N`: the last versions, who made them and why.
    History {
        /// How many.
        last: usize,
    },
    /// `GET /status`: what this host knows.
    Status,
    /// `GET /suspects`: the requests that are suspected of crashing backend servers.
    Suspects,
    /// `POST /suspects/lift?request=F`: clear a request of what is known so far.
    Lift {
        /// The request's fingerprint.
        request: Fingerprint,
    },
}

/// A request that asks for nothing there is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RouteError {
    /// Nothing stands at the path.
    NotFound,
    /// The path takes another method.
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
                last: query.get("last")?.unwrap_or(LAST),
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

    /// The role that it takes.
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

/// The parameters of a request; none of them needs escapes.
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
