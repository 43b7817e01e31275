//! What a caller may conclude about a request that was not answered completely.

use std::fmt;
use std::str::FromStr;

use crate as snipemast_core;
use crate::data;
use crate::ids::IdError;

data! {
    /// Whether a request ran.
    #[derive(Copy, Hash)]
    #[serde(rename_all = "kebab-case")]
    pub enum Outcome {
        /// It did not run and never will, so it is safe to send again.
        NotRun,
        /// It may have run, so only an idempotent request is safe to send again.
        Unknown,
        /// It ran.
        Ran,
    }
}

impl Outcome {
    /// Returns the value of the `Snipemast-Outcome` header.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::Ran => "ran",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Outcome {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        [Self::NotRun, Self::Unknown, Self::Ran]
            .into_iter()
            .find(|o| o.as_str() == text)
            .ok_or_else(|| IdError {
                kind: "Outcome",
                text: text.into(),
            })
    }
}
