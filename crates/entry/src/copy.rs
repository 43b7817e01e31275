//! The copy of the configuration on the local disk.
//!
//! A process that starts while all others are unreachable serves with this copy. The file starts
//! with a line of its format, the version, and the length and CRC-32 of what follows.

use std::fmt;
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;

use error_stack::{Report, ResultExt};

use snipemast_config::{Config, Snapshot, SnapshotHead};
use snipemast_core::prelude::*;

use crate::shared::Shared;

/// The result of reading or writing a copy.
pub type Result<T> = std::result::Result<T, Report<CopyError>>;

/// The first word of the file, which differs between formats.
const FORMAT: &str = "snipemast-config-1";

/// The reason why a copy can't be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CopyError {
    /// Reading or writing the file failed.
    Disk(PathBuf),
    /// The content of the file is damaged.
    Corrupt(PathBuf),
}

impl fmt::Display for CopyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Disk(path) => write!(f, "{} can't be read or written", path.display()),
            Self::Corrupt(path) => write!(f, "{} is damaged", path.display()),
        }
    }
}

impl std::error::Error for CopyError {}

/// The local copy in one data folder.
#[derive(Debug, Clone)]
pub struct Copy {
    folder: PathBuf,
}

impl Copy {
    /// Creates a handle to the copy in this folder.
    pub fn new(folder: impl Into<PathBuf>) -> Self {
        Self {
            folder: folder.into(),
        }
    }

    /// Returns the path of the copy.
    pub fn path(&self) -> PathBuf {
        self.folder.join("configuration")
    }

    /// Reads the copy, or returns `None` if there is none.
    ///
    /// Failure guarded against: a copy that a crash cut short or a disk damaged is put into force
    /// with entries missing. The length and the checksum are compared before it is used.
    pub fn read(&self) -> Result<Option<Config>> {
        let path = self.path();
        let bytes = match fs::read(&path) {
            Ok(bytes) => bytes,
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(e) => return Err(Report::new(e).change_context(CopyError::Disk(path))),
        };
        let config = parse(&bytes).ok_or_else(|| Report::new(CopyError::Corrupt(path)))?;
        Ok(Some(config))
    }

    /// Replaces the copy atomically, so that a crash leaves either the old or the new one.
    pub fn write(&self, config: &Config) -> Result<()> {
        let path = self.path();
        let disk = || CopyError::Disk(path.clone());
        let fresh = self.folder.join("configuration.new");
        fs::create_dir_all(&self.folder).change_context_lazy(disk)?;
        write_synced(&fresh, &to_bytes(config)).change_context_lazy(disk)?;
        fs::rename(&fresh, &path).change_context_lazy(disk)?;
        // The rename is durable once the folder is synced.
        let folder = File::open(&self.folder).change_context_lazy(disk)?;
        folder.sync_all().change_context_lazy(disk)
    }
}

fn write_synced(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let mut file = File::create(path)?;
    file.write_all(bytes)?;
    file.sync_all()
}

fn to_bytes(config: &Config) -> Vec<u8> {
    let snapshot = Snapshot::new(config);
    let SnapshotHead {
        version,
        length,
        checksum,
    } = snapshot.head();
    let mut bytes = format!("{FORMAT} {version} {length} {checksum}\n").into_bytes();
    bytes.extend_from_slice(snapshot.bytes());
    bytes
}

fn parse(bytes: &[u8]) -> Option<Config> {
    let end = bytes.iter().position(|b| *b == b'\n')?;
    let line = std::str::from_utf8(&bytes[..end]).ok()?;
    let mut words = line.split(' ');
    if words.next()? != FORMAT {
        return None;
    }
    let head = SnapshotHead {
        version: words.next()?.parse().ok()?,
        length: words.next()?.parse().ok()?,
        checksum: words.next()?.parse().ok()?,
    };
    head.read(&bytes[end + 1..])
}

/// Writes later versions to the disk; of versions in quick succession only the last is written.
pub async fn write_copies_forever(shared: Arc<Shared>, copy: Copy) {
    let mut written = shared.config().version;
    loop {
        if !shared.distributor.wait_after(written, VERSION_WAIT).await {
            continue;
        }
        let config = shared.config();
        let writer = copy.clone();
        written = config.version;
        if let Err(report) = smol::unblock(move || writer.write(&config)).await {
            // The process continues, since only its next start needs the copy.
            let error = report.current_context();
            shared.journal.record(Event::StorageRefused, written, error);
        }
    }
}

/// The longest wait for the next version before the wait is started again.
const VERSION_WAIT: Span = Span::from_secs(30);
