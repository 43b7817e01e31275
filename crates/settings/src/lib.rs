//! The settings files of both binaries, which are written in TOML and checked before anything
//! starts.
//!
//! - [`entry`]: the settings of `snipemast serve`.
//! - [`agent`]: the settings of `snipemast-agent`.
//! - [`decisions`]: the policies by which a gateway decides.
//! - [`check`]: finds every fault of a settings text.
//! - [`fault`]: the faults, each with its key and line.

mod address;
pub mod agent;
pub mod check;
pub mod decisions;
pub mod entry;
pub mod fault;
mod node;
mod probe;

pub use agent::AgentSettings;
pub use check::Settings;
pub use decisions::Decisions;
pub use entry::{ControlSettings, EntrySettings};
pub use fault::{Fault, FaultKind};

use std::fmt;
use std::path::{Path, PathBuf};

use error_stack::Report;

/// The result of reading settings.
pub type Result<T> = std::result::Result<T, Report<SettingsError>>;

/// A reason why a settings file can't be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SettingsError {
    /// The file can't be read, with the reason.
    Unreadable(PathBuf, String),
    /// The text has faults.
    Faulty(Vec<Fault>),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(path, reason) => {
                write!(f, "{} can't be read: {reason}", path.display())
            }
            Self::Faulty(faults) => {
                let lines: Vec<String> = faults.iter().map(Fault::to_string).collect();
                f.write_str(&lines.join("\n"))
            }
        }
    }
}

impl std::error::Error for SettingsError {}

/// Reads and checks a settings file.
pub fn read<T: Settings>(path: &Path) -> Result<T> {
    let text = std::fs::read_to_string(path)
        .map_err(|e| Report::new(SettingsError::Unreadable(path.into(), e.to_string())))?;
    parse(&text)
}

/// Checks the text of a settings file.
pub fn parse<T: Settings>(text: &str) -> Result<T> {
    check::check(text).map_err(|faults| Report::new(SettingsError::Faulty(faults)))
}
