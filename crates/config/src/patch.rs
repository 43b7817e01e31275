//! Patches: changes to a numbered version, which are accepted or refused as a whole.

use std::fmt;
use std::str::FromStr;

use serde::Serialize;
use serde_json::{Map, Value};

use snipemast_core::data;
use snipemast_core::ids::IdError;
use snipemast_core::prelude::*;

use crate::check::{check_change, Fault, FaultKind};
use crate::delta::{Changes, Delta};
use crate::document::Config;
use crate::merge::{diff, merge};
use crate::read::ReadValue;
use crate::section::Section;
use crate::strict;

/// The result of applying a patch.
pub type Result<T> = std::result::Result<T, Refusal>;

data! {
    /// A change of the configuration that an operator submits.
    #[serde(deny_unknown_fields)]
    pub struct Patch {
        /// The id that the operator gave it. A resend under the same id gets the first verdict
        /// again.
        pub id: PatchId,
        /// The version that the patch changes.
        pub base: Version,
        /// The operator's reason for the change.
        #[serde(default)]
        pub reason: String,
        /// A JSON merge patch (RFC 7396) of the document; `null` removes.
        pub set: Value,
    }

    /// Why a patch was refused.
    #[serde(rename_all = "kebab-case")]
    pub enum Refusal {
        /// The patch changes another version than the one in force.
        Conflict {
            /// The version in force.
            current: Version,
        },
        /// The patch, or the document that it leads to, has faults.
        Faulty {
            /// All faults.
            faults: Vec<Fault>,
        },
        /// The id was used before for another patch.
        Reused,
    }

    /// The outcome of a patch.
    #[serde(rename_all = "kebab-case")]
    pub enum Verdict {
        /// The patch is in force.
        Accepted {
            /// The new version.
            version: Version,
        },
        /// No part of the patch is in force.
        Refused {
            /// The reason.
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
            Self::Reused => f.write_str("the id was used before, for another patch"),
        }
    }
}

impl std::error::Error for Refusal {}

/// The result of a patch without faults that is not yet in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The next version.
    pub config: Config,
    /// The delta that leads to it.
    pub delta: Delta,
}

impl Patch {
    /// Reads a patch from JSON. Duplicate and unknown fields are faults.
    pub fn parse(text: &[u8]) -> std::result::Result<Self, Vec<Fault>> {
        let value = strict::parse(text)?;
        let malformed = |e: serde_json::Error| {
            let fault = Fault::new("", FaultKind::Malformed(e.to_string()));
            vec![fault]
        };
        serde_json::from_value(value).map_err(malformed)
    }

    /// Returns the patch that leads from one configuration to the content of another.
    pub fn between(id: PatchId, reason: String, from: &Config, to: &Config) -> Self {
        let content = |config: &Config| {
            let mut value = serde_json::to_value(config).unwrap_or_default();
            if let Value::Object(sections) = &mut value {
                sections.remove("version");
            }
            value
        };
        let set = diff(&content(from), &content(to));
        Self {
            id,
            base: from.version,
            reason,
            set: set.unwrap_or_else(|| Value::Object(Map::new())),
        }
    }

    /// Returns the configuration with the whole patch applied, under the next version.
    pub fn apply(&self, config: &Config) -> Result<Config> {
        self.prepare(config).map(|change| change.config)
    }

    /// Returns the next version and the delta to it. Only entries that the patch names change.
    pub fn prepare(&self, config: &Config) -> Result<Change> {
        if self.base != config.version {
            return Err(Refusal::Conflict {
                current: config.version,
            });
        }
        let mut faults = Vec::new();
        let delta = self.plan_delta(config, &mut faults);
        let next = delta
            .apply(config)
            .expect("the delta was made from this version");
        check_change(config, &next, &delta, &mut faults);
        if faults.is_empty() {
            Ok(Change {
                config: next,
                delta,
            })
        } else {
            Err(Refusal::Faulty { faults })
        }
    }

    /// Returns what the patch changes. Entries with faults stay as they are.
    fn plan_delta(&self, config: &Config, faults: &mut Vec<Fault>) -> Delta {
        let mut delta = Delta::new(config.version, config.version.next());
        let Value::Object(sections) = &self.set else {
            let why = "a patch sets an object".into();
            faults.push(Fault::new("set", FaultKind::Malformed(why)));
            return delta;
        };
        for (name, value) in sections {
            match name.as_str() {
                "operators" => {
                    delta.operators = plan_section(name, value, &config.operators, faults)
                }
                "workspaces" => {
                    delta.workspaces = plan_section(name, value, &config.workspaces, faults)
                }
                "services" => delta.services = plan_section(name, value, &config.services, faults),
                "models" => delta.models = plan_section(name, value, &config.models, faults),
                "groups" => delta.groups = plan_section(name, value, &config.groups, faults),
                "servers" => delta.servers = plan_section(name, value, &config.servers, faults),
                "keepers" => delta.keepers = plan_keepers(value, config, faults),
                "version" => faults.push(Fault::new(name, FaultKind::ReadOnly)),
                _ => faults.push(Fault::new(name, FaultKind::Unknown)),
            }
        }
        delta
    }
}

/// Returns what a patch changes in one section.
fn plan_section<K, V>(
    section: &str,
    value: &Value,
    current: &Section<K, V>,
    faults: &mut Vec<Fault>,
) -> Changes<K, V>
where
    K: FromStr<Err = IdError> + Ord + Clone,
    V: ReadValue + Serialize + PartialEq,
{
    let mut changes = Changes::default();
    let entries = match value {
        Value::Null => {
            changes.removed = current.keys().cloned().collect();
            return changes;
        }
        Value::Object(entries) => entries,
        _ => {
            let why = FaultKind::Malformed("a section is an object of entries".into());
            faults.push(Fault::new(section, why));
            return changes;
        }
    };
    for (name, patch) in entries {
        let path = format!("{section}.{name}");
        match name.parse::<K>() {
            Ok(name) => plan_entry(&path, name, patch, current, &mut changes, faults),
            Err(e) => faults.push(Fault::new(path, FaultKind::Malformed(e.to_string()))),
        }
    }
    changes
}

/// Adds what a patch changes in one entry.
fn plan_entry<K, V>(
    path: &str,
    name: K,
    patch: &Value,
    current: &Section<K, V>,
    changes: &mut Changes<K, V>,
    faults: &mut Vec<Fault>,
) where
    K: Ord + Clone,
    V: ReadValue + Serialize + PartialEq,
{
    let before = current.get(&name);
    if patch.is_null() {
        if before.is_some() {
            changes.removed.insert(name);
        }
        return;
    }
    let stored = before.map(|entry| serde_json::to_value(entry).unwrap_or_default());
    let mut merged = stored.unwrap_or(Value::Null);
    merge(&mut merged, patch);
    if let Some(entry) = V::read(path, merged, faults) {
        if before != Some(&entry) {
            changes.set.insert(name, entry);
        }
    }
}

/// Returns the new keeper table if a patch changes it.
fn plan_keepers(
    value: &Value,
    config: &Config,
    faults: &mut Vec<Fault>,
) -> Option<Vec<[HostId; 3]>> {
    let table = match value {
        Value::Null => Vec::new(),
        table => ReadValue::read("keepers", table.clone(), faults)?,
    };
    (table != config.keepers).then_some(table)
}
