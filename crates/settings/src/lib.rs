//! Settings files of both binaries, in TOML, checked before anything starts.
//!
//! - [`entry`]: the settings of `snipemast serve`.
//! - [`agent`]: the settings of `snipemast-agent`.

pub mod agent;
pub mod entry;

pub use agent::AgentSettings;
pub use entry::{ControlSettings, EntrySettings};

use std::fmt;
use std::path::{Path, PathBuf};

use error_stack::{Report, ResultExt};
use serde::de::DeserializeOwned;

/// The result of reading settings.
pub type Result<T> = std::result::Result<T, Report<SettingsError>>;

/// A settings file that can't be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SettingsError {
    /// The file can't be read.
    Unreadable(PathBuf),
    /// The text is not what the binary asks for; the report names the place.
    Faulty,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(path) => write!(f, "{} can't be read", path.display()),
            Self::Faulty => f.write_str("the settings are faulty"),
        }
    }
}

impl std::error::Error for SettingsError {}

/// Reads and checks a settings file.
pub fn read<T: DeserializeOwned>(path: &Path) -> Result<T> {
    let text = std::fs::read_to_string(path)
        .change_context_lazy(|| SettingsError::Unreadable(path.into()))?;
    parse(&text)
}

/// Checks the text of a settings file.
pub fn parse<T: DeserializeOwned>(text: &str) -> Result<T> {
    toml::from_str(text).change_context(SettingsError::Faulty)
}
