//! The storage behind a voter's writes: a disk, or memory for tests and demonstrations.

use std::fmt;
use std::path::{Path, PathBuf};

use error_stack::Report;

use snipemast_core::prelude::*;

use crate::entry::Write;
use crate::force::CONFIRMATION;

/// The result of a storage operation.
pub type Result<T> = std::result::Result<T, Report<StorageError>>;

/// Stores the durable state of a voter.
pub trait Storage: Send + 'static {
    /// Performs the writes in order and returns once all of them are synced.
    ///
    /// After an error nothing may be acknowledged any more, because the content of the disk is
    /// unknown.
    fn write(&mut self, writes: &[Write]) -> Result<()>;
}

/// A storage that loses everything when the process ends.
#[derive(Debug, Default)]
pub struct MemoryStorage;

impl Storage for MemoryStorage {
    fn write(&mut self, _: &[Write]) -> Result<()> {
        Ok(())
    }
}

/// The data folder cannot be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StorageError {
    /// Another process uses the folder.
    Locked(PathBuf),
    /// A file cannot be read or written.
    Broken(PathBuf),
    /// A file is damaged in a way that no crash can have caused.
    Damaged {
        /// The file.
        file: PathBuf,
        /// The byte offset of the damage.
        offset: usize,
    },
    /// The folder has a format that this release does not know.
    Format(u32),
    /// The folder belongs to another host.
    Foreign(HostId),
    /// The folder is a copy; the original may have voted since.
    Copied(PathBuf),
    /// The folder has files but no identity, or an identity but no log.
    Incomplete(PathBuf),
    /// An earlier write failed, so the storage accepts no more.
    Ended,
    /// The request to replace a lost majority does not match this folder.
    Unforced(PathBuf),
}

impl fmt::Display for StorageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Locked(p) => write!(f, "{} is used by another process", p.display()),
            Self::Broken(p) => write!(f, "{} can't be read or written", p.display()),
            Self::Damaged { file, offset } => {
                write!(f, "{} is damaged at byte {offset}", file.display())
            }
            Self::Format(found) => write!(f, "format {found} is not known to this release"),
            Self::Foreign(host) => write!(f, "the folder belongs to {host}"),
            Self::Copied(p) => write!(f, "{} is a copy and must not vote", p.display()),
            Self::Incomplete(p) => write!(f, "{} lacks some of its files", p.display()),
            Self::Ended => f.write_str("an earlier write failed"),
            Self::Unforced(p) => write!(
                f,
                "{} must name the last index of the log in this folder, then \"{CONFIRMATION}\"",
                p.display()
            ),
        }
    }
}

impl std::error::Error for StorageError {}

/// Returns a function that adds the path to an I/O error.
pub(crate) fn io_error(path: &Path) -> impl FnOnce(std::io::Error) -> Report<StorageError> + '_ {
    move |e| Report::new(e).change_context(StorageError::Broken(path.into()))
}
