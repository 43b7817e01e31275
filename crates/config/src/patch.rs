//! Patches: a change against a numbered version, taken whole or refused whole.

use std::fmt;

use serde_json::Value;

use snipemast_core::data;
use snipemast_core::prelude::*;

use crate::check::{check, Fault, FaultKind};
use crate::document::Config;

/// The result of applying a patch.
pub type Result<T> = std::result::Result<T, Refusal>;

data! {
    /// A change of the configuration, submitted by an operator.
    #[serde(deny_unknown_fields)]
    pub struct Patch {
        /// The operator's own id; a resend under the same id gets the first verdict again.
        pub id: PatchId,
        /// The version that the change was made against.
        pub base: Version,
        /// Why.
        #[serde(default)]
        pub reason: String,
        /// A JSON merge patch (RFC 7396) of the document; `null` removes.
        pub set: Value,
    }

    /// Why a patch was refused.
    #[serde(rename_all = "kebab-case")]
    pub enum Refusal {
        /// The patch was made against another version.
        Conflict {
            /// The version in force.
            current: Version,
        },
        /// The document would have these faults.
        Faulty {
            /// Every fault that was found.
            faults: Vec<Fault>,
        },
    }

    /// What became of a patch.
    #[serde(rename_all = "kebab-case")]
    pub enum Verdict {
        /// It is in force as this version.
        Accepted {
            /// The new version.
            version: Version,
        },
        /// Nothing of it is in force.
        Refused {
            /// Why.
            refusal: Refusal,
        },
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict { current } => write!(f, "the current version is {current}"),
            Self::Faulty { faults } => {
                let lines: Vec<String> = faults.iter().map(Fault::to_string).collect();
                f.write_str(&lines.join("; "))
            }
        }
    }
}

impl std::error::Error for Refusal {}

impl Patch {
    /// The configuration with the whole patch in force, under the next version.
    pub fn apply(&self, config: &Config) -> Result<Config> {
        if self.base != config.version {
            return Err(Refusal::Conflict {
                current: config.version,
            });
        }
        let mut next = self.merged(config)?;
        next.version = config.version.next();
        let faults = check(&next);
        if faults.is_empty() {
            Ok(next)
        } else {
            Err(Refusal::Faulty { faults })
        }
    }

    fn merged(&self, config: &Config) -> Result<Config> {
        let malformed = |path: &str, why: String| Refusal::Faulty {
            faults: vec![Fault::new(path, FaultKind::Malformed(why))],
        };
        let Value::Object(sections) = &self.set else {
            return Err(malformed("set", "a patch sets an object".into()));
        };
        if sections.contains_key("version") {
            let fault = Fault::new("version", FaultKind::ReadOnly);
            return Err(Refusal::Faulty {
                faults: vec![fault],
            });
        }
        let mut document =
            serde_json::to_value(config).map_err(|e| malformed("", e.to_string()))?;
        merge(&mut document, &self.set);
        serde_json::from_value(document).map_err(|e| malformed("set", e.to_string()))
    }
}

/// Merges as RFC 7396 says: objects by key, `null` removes, anything else replaces.
fn merge(target: &mut Value, patch: &Value) {
    let Value::Object(changes) = patch else {
        *target = patch.clone();
        return;
    };
    if !target.is_object() {
        *target = Value::Object(serde_json::Map::new());
    }
    let Value::Object(fields) = target else {
        return;
    };
    for (key, change) in changes {
        if change.is_null() {
            fields.remove(key);
        } else {
            merge(fields.entry(key.clone()).or_insert(Value::Null), change);
        }
    }
}
