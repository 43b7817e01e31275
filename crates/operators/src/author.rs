//! The author of a request, identified by key, and what the role allows.

use std::fmt;

use snipemast_config::{Config, KeyHash, Role};
use snipemast_core::prelude::*;

/// The author of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Author {
    /// An operator of the configuration.
    Operator(OperatorId),
    /// The holder of the first key, as long as the configuration names no operators.
    First,
}

/// Why a request is denied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denied {
    /// The key belongs to nobody.
    Unknown,
    /// The operator's role allows only reading.
    ReadOnly,
}

impl fmt::Display for Denied {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unknown => "the key belongs to no operator",
            Self::ReadOnly => "the operator may read only",
        })
    }
}

impl std::error::Error for Denied {}

impl Author {
    /// Returns the operator, if the configuration names the author.
    pub fn operator(self) -> Option<OperatorId> {
        match self {
            Self::Operator(id) => Some(id),
            Self::First => None,
        }
    }
}

/// Returns the author who holds the key, or denies the request if the key or its role does not allow it.
///
/// Failure guarded against: before the first patch no operator is configured, and anyone who reaches
/// the address first could make themselves one. As long as the configuration names no operators,
/// only the first key, from the control host's own settings, is accepted; afterwards it is refused.
pub fn authorize(
    config: &Config,
    first: Option<&KeyHash>,
    key: &KeyHash,
    role: Role,
) -> Result<Author, Denied> {
    if config.operators.is_empty() {
        let known = first.is_some_and(|first| first.matches(key));
        return known.then_some(Author::First).ok_or(Denied::Unknown);
    }
    let (id, operator) = config.operator_of(key).ok_or(Denied::Unknown)?;
    match (role, operator.role) {
        (Role::Read, _) | (Role::Write, Role::Write) => Ok(Author::Operator(id.clone())),
        (Role::Write, Role::Read) => Err(Denied::ReadOnly),
    }
}
