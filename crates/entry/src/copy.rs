//! The local copy of the configuration, on hosts with a disk.
//!
//! A process that starts while every other one is out of reach serves with this copy. The file
//! holds a line with its format, the version, the length and the CRC-32 of what follows.

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

/// The first word of the file; another format gets another word.
const FORMAT: &str = "snipemast-config-1";

/// A copy that can't be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CopyError {
    /// The file can't be read or written.
    Disk(PathBuf),
    /// The file is not what was written.
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
    /// The copy in this folder.
    pub fn new(folder: impl Into<PathBuf>) -> Self {
        Self {
            folder: folder.into(),
        }
    }

    /// Where the copy lies.
    pub fn path(&self) -> PathBuf {
        self.folder.join("configuration")
    }

    /// Reads the copy, or nothing where there is none.
    ///
    /// Failure guarded against: a copy that a crash cut short or a disk damaged. It would come
    /// into force with entries missing. Length and checksum are compared before it is used.
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

    /// Replaces the copy, so that a crash leaves either the old or the new one.
    pub fn write(&self, config: &Config) -> Result<()> {
        let path = self.path();
        let disk = || CopyError::Disk(path.clone());
        let fresh = self.folder.join("configuration.new");
        fs::create_dir_all(&self.folder).change_context_lazy(disk)?;
        write_synced(&fresh, &to_bytes(config)).change_context_lazy(disk)?;
        fs::rename(&fresh, &path).change_context_lazy(disk)?;
        // The new name lasts once the folder is synced.
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

/// Writes each later version to the disk; versions that follow fast are written once.
pub async fn keep_forever(shared: Arc<Shared>, copy: Copy) {
    let mut kept = shared.config().version;
    loop {
        if !shared.distributor.wait_after(kept, RECHECK).await {
            continue;
        }
        let config = shared.config();
        let writer = copy.clone();
        kept = config.version;
        if let Err(report) = smol::unblock(move || writer.write(&config)).await {
            // The process serves on: the copy only matters to its next start.
            let error = report.current_context();
            shared.journal.record(Event::StorageRefused, kept, error);
        }
    }
}

/// How often a wait for the next version is begun again.
const RECHECK: Span = Span::from_secs(30);
