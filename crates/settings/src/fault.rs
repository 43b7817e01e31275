//! The faults of a settings file, each with its key and line.

use std::fmt;

use snipemast_core::prelude::*;

/// One fault of a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// The dotted path of the key, or an empty text if the file is not TOML.
    pub key: String,
    /// The line, counted from 1.
    pub line: usize,
    /// What is wrong.
    pub kind: FaultKind,
}

/// What is wrong with a setting.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FaultKind {
    /// The text is not TOML.
    Syntax(String),
    /// There is no such key. The keys that are allowed here are listed.
    Unknown(Vec<String>),
    /// A required key is missing.
    Missing,
    /// The value is not valid for the key.
    Invalid(String),
    /// The value must differ from that of another key, which is named.
    Duplicate(String),
    /// Other processes can't connect to this address.
    Unreachable,
    /// The value is below a bound, for a reason.
    TooSmall(String, &'static str),
    /// The value is above a bound, for a reason.
    TooLarge(String, &'static str),
    /// The number of voters is even. The last voter adds no fault tolerance then.
    EvenVoters(usize),
    /// The host's own address is not among the voters.
    NotVoter,
}

impl Fault {
    /// Creates a fault whose line is not known yet.
    pub fn new(key: impl Into<String>, kind: FaultKind) -> Self {
        Self {
            key: key.into(),
            line: 0,
            kind,
        }
    }

    /// Creates a fault of a span that is below its bound.
    pub fn below(key: &str, min_value: Span, why: &'static str) -> Self {
        Self::new(key, FaultKind::TooSmall(min_value.to_string(), why))
    }

    /// Creates a fault of a span that is above its bound.
    pub fn above(key: &str, max_value: Span, why: &'static str) -> Self {
        Self::new(key, FaultKind::TooLarge(max_value.to_string(), why))
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.key.is_empty() {
            write!(f, "line {}: {}", self.line, self.kind)
        } else {
            write!(f, "line {}: {}: {}", self.line, self.key, self.kind)
        }
    }
}

impl fmt::Display for FaultKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Syntax(why) => write!(f, "not TOML: {why}"),
            Self::Unknown(expected) => {
                write!(f, "unknown key; known here: {}", expected.join(", "))
            }
            Self::Missing => f.write_str("missing"),
            Self::Invalid(why) => f.write_str(why),
            Self::Duplicate(other) => write!(f, "the same as {other}"),
            Self::Unreachable => f.write_str("no other process can connect to this address"),
            Self::TooSmall(min_value, why) => write!(f, "below {min_value}: {why}"),
            Self::TooLarge(max_value, why) => write!(f, "above {max_value}: {why}"),
            Self::EvenVoters(count) => write!(f, "{count} voters; an odd number is needed"),
            Self::NotVoter => f.write_str("the host's own address is not among the voters"),
        }
    }
}

impl std::error::Error for Fault {}
