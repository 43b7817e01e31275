//! Where a voter's writes go: a disk, or memory for tests and demonstrations.

use std::fmt;
use std::path::{Path, PathBuf};

use error_stack::Report;

use snipemast_core::prelude::*;

use crate::entry::Write;

/// The result of using a disk.
pub type Result<T> = std::result::Result<T, Report<StorageError>>;

/// Keeps what a voter must not forget.
pub trait Storage: Send + 'static {
    /// Writes in order and returns once everything is synced.
    ///
    /// After an error nothing may be acknowledged any more: what the disk holds is not known.
    fn write(&mut self, writes: &[Write]) -> Result<()>;
}

/// A storage that forgets everything with its process.
#[derive(Debug, Default)]
pub struct MemoryStorage;

impl Storage for MemoryStorage {
    fn write(&mut self, _: &[Write]) -> Result<()> {
        Ok(())
    }
}

/// A data folder that can't be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StorageError {
    /// Another process uses the folder.
    Locked(PathBuf),
    /// A file can't be read or written.
    Broken(PathBuf),
    /// A file is damaged where no crash can have damaged it.
    Damaged {
        /// The file.
        file: PathBuf,
        /// Where in the file.
        offset: usize,
    },
    /// The folder was written by another release.
    Format(u32),
    /// The folder belongs to another host.
    Foreign(HostId),
    /// The folder is a copy: the original may have voted since.
    Copied(PathBuf),
    /// Files are there without the folder's identity, or the other way round.
    Incomplete(PathBuf),
    /// An earlier write failed; the role has ended.
    Ended,
    /// The request to replace a lost majority does not fit this folder.
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
            Self::Unforced(p) => write!(f, "{} does not fit this folder", p.display()),
        }
    }
}

impl std::error::Error for StorageError {}

/// Puts the path into an error of the operating system.
pub(crate) fn io_error(path: &Path) -> impl FnOnce(std::io::Error) -> Report<StorageError> + '_ {
    move |e| Report::new(e).change_context(StorageError::Broken(path.into()))
}
