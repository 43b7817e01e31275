//! The priority that the configuration gives to workspaces and routes.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::ids::{parse_number, IdError, Result};

/// A priority; 0 is served first.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Priority(u8);

impl Priority {
    /// Creates a priority from its number.
    pub const fn new(number: u8) -> Self {
        Self(number)
    }

    /// Returns the number.
    pub const fn get(self) -> u8 {
        self.0
    }
}

impl fmt::Display for Priority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Priority {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self> {
        let number = parse_number("Priority", text)?;
        let number = u8::try_from(number).map_err(|_| IdError {
            kind: "Priority",
            text: text.to_owned(),
        })?;
        Ok(Self(number))
    }
}
