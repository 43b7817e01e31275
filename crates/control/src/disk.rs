//! A voter's data folder: `lock`, `identity`, `snapshot` and `log`.
//!
//! The log is one file of checked records. A snapshot takes the place of the one before it,
//! and then a new log, with the few entries still needed, takes the place of the log; a crash
//! between the two leaves a log that begins earlier, which is read as well.

use std::fs::{self, File, OpenOptions};
use std::io::Write as _;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use error_stack::Report;
use fs4::FileExt;

use snipemast_core::data;
use snipemast_core::prelude::*;

use crate::entry::{Hard, LogEntry, Snapshot, StoredState, Write};
use crate::files::{damaged, encode, load, replace, replace_bytes};
use crate::force;
use crate::identity::{inode, Identity};
use crate::record;
use crate::storage::{broken, Result, Storage, StorageError};
use crate::voters::{ClusterId, Location, VoterId, Voters};

const LOCK: &str = "lock";
const LOG: &str = "log";
const SNAPSHOT: &str = "snapshot";

data! {
    /// What a record of the log file says; one record a sync.
    struct Batch {
        items: Vec<Item>,
    }

    /// One write of a batch.
    enum Item {
        /// The term and the vote.
        Hard(Hard),
        /// Entries; whatever stood at the first one's place and after it is gone.
        Entries(Vec<LogEntry>),
    }
}

/// A voter's data folder, locked for this process.
#[derive(Debug)]
pub struct DiskStorage {
    folder: PathBuf,
    identity: Identity,
    log: File,
    failed: bool,
    /// Held for as long as the process uses the folder.
    _lock: File,
}

/// What a data folder held when it was opened.
#[derive(Debug, Clone)]
pub struct Recovery {
    /// What the voter had kept.
    pub stored: StoredState,
    /// How many bytes a crash had left torn at the end of the log.
    pub torn: usize,
    /// An operator had a lost majority replaced by this voter alone.
    pub forced: bool,
}

impl DiskStorage {
    /// Opens the data folder of the voter with this seat, or makes one under the id `fresh`.
    pub fn open(folder: &Path, location: &Location, fresh: VoterId) -> Result<(Self, Recovery)> {
        fs::create_dir_all(folder).map_err(broken(folder))?;
        let lock = take_lock(folder)?;
        let inode = inode(&lock, folder)?;
        let mut identity = identify(folder, &location.host, fresh, inode)?;
        let (mut stored, torn) = read(folder, &identity)?;
        let forced = force::apply(folder, &mut identity, &mut stored, location, fresh)?;
        if forced {
            identity.host = location.host.clone();
            identity.inode = inode;
            identity.keep(folder)?;
        }
        if torn > 0 || forced || identity.starts == 0 {
            write_log(folder, &stored)?;
        }
        identity.starts += 1;
        identity.keep(folder)?;
        force::finish(folder)?;
        let log = open_log(folder)?;
        let storage = Self {
            folder: folder.into(),
            identity,
            log,
            failed: false,
            _lock: lock,
        };
        Ok((
            storage,
            Recovery {
                stored,
                torn,
                forced,
            },
        ))
    }

    /// Who the folder is.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Joins a cluster for good, as one of its first voters or, with no voters, as a learner.
    pub fn join(&mut self, cluster: ClusterId, first_voters: Voters) -> Result<()> {
        self.identity.cluster = Some(cluster);
        self.identity.first_voters = first_voters;
        self.identity.keep(&self.folder)
    }

    fn write_all(&mut self, writes: &[Write]) -> Result<()> {
        let mut items = Vec::new();
        for write in writes {
            match write {
                Write::Hard(hard) => items.push(Item::Hard(*hard)),
                Write::Append(entries) => items.push(Item::Entries(entries.clone())),
                Write::Replace(stored) => {
                    items.clear();
                    self.replace(stored)?;
                }
            }
        }
        if items.is_empty() {
            return Ok(());
        }
        let mut bytes = Vec::new();
        record::push(&mut bytes, &encode(&Batch { items }));
        let path = self.folder.join(LOG);
        self.log.write_all(&bytes).map_err(broken(&path))?;
        self.log.sync_data().map_err(broken(&path))
    }

    fn replace(&mut self, stored: &StoredState) -> Result<()> {
        if let Some(snapshot) = &stored.snapshot {
            replace(&self.folder, SNAPSHOT, snapshot.as_ref())?;
        }
        write_log(&self.folder, stored)?;
        self.log = open_log(&self.folder)?;
        Ok(())
    }
}

impl Storage for DiskStorage {
    /// Failure guarded against: a sync fails, the system drops the pages it could not write,
    /// and the next sync succeeds without them. After one failure every write fails.
    fn write(&mut self, writes: &[Write]) -> Result<()> {
        if self.failed {
            return Err(Report::new(StorageError::Ended));
        }
        let result = self.write_all(writes);
        self.failed = result.is_err();
        result
    }
}

fn take_lock(folder: &Path) -> Result<File> {
    let path = folder.join(LOCK);
    let mut options = OpenOptions::new();
    let options = options.create(true).truncate(false).write(true);
    let file = options.open(&path).map_err(broken(&path))?;
    match FileExt::try_lock(&file) {
        Ok(()) => Ok(file),
        Err(_) => Err(Report::new(StorageError::Locked(folder.into()))),
    }
}

/// Who the folder is; a new one is kept before anything else is.
fn identify(folder: &Path, host: &HostId, fresh: VoterId, inode: u64) -> Result<Identity> {
    match Identity::load(folder)? {
        Some(identity) => {
            if !force::is_asked(folder) {
                identity.check(folder, host, inode)?;
            }
            Ok(identity)
        }
        None if folder.join(LOG).exists() || folder.join(SNAPSHOT).exists() => {
            Err(Report::new(StorageError::Incomplete(folder.into())))
        }
        None => {
            let identity = Identity::new(fresh, host.clone(), inode);
            identity.keep(folder)?;
            Ok(identity)
        }
    }
}

/// What the folder holds, and how many bytes were torn at the end of its log.
///
/// Failure guarded against: the log is lost and its voter goes on as if it had never voted. A
/// folder on which a process has started before must have its log.
fn read(folder: &Path, identity: &Identity) -> Result<(StoredState, usize)> {
    let snapshot: Option<Snapshot> = load(&folder.join(SNAPSHOT))?;
    let mut stored = StoredState {
        snapshot: snapshot.map(Arc::new),
        ..StoredState::default()
    };
    let path = folder.join(LOG);
    if !path.exists() {
        return if identity.starts > 0 {
            Err(Report::new(StorageError::Incomplete(folder.into())))
        } else {
            Ok((stored, 0))
        };
    }
    let bytes = fs::read(&path).map_err(broken(&path))?;
    let scanned = record::scan(&bytes).map_err(|d| damaged(&path, d.offset))?;
    // The first record came with the file's name, so no crash can have torn it.
    if scanned.bodies.is_empty() {
        return Err(damaged(&path, 0));
    }
    for body in scanned.bodies {
        let batch: Batch = rmp_serde::from_slice(body).map_err(|_| damaged(&path, 0))?;
        for item in batch.items {
            take(&mut stored, item).ok_or_else(|| damaged(&path, 0))?;
        }
    }
    Ok((stored, bytes.len() - scanned.end))
}

/// Takes an item into what is stored; nothing where entries leave a gap.
fn take(stored: &mut StoredState, item: Item) -> Option<()> {
    match item {
        Item::Hard(hard) => stored.hard = hard,
        Item::Entries(entries) => {
            let last = stored.entries.last().map(|e| e.index);
            let first = entries.first()?.index;
            if last.is_some_and(|last| first > last.next()) {
                return None;
            }
            stored.apply(&Write::Append(entries));
        }
    }
    Some(())
}

/// Puts a log with only what is needed in the place of the log.
fn write_log(folder: &Path, stored: &StoredState) -> Result<()> {
    let mut items = vec![Item::Hard(stored.hard)];
    if !stored.entries.is_empty() {
        items.push(Item::Entries(stored.entries.clone()));
    }
    let mut bytes = Vec::new();
    record::push(&mut bytes, &encode(&Batch { items }));
    replace_bytes(folder, LOG, &bytes)
}

fn open_log(folder: &Path) -> Result<File> {
    let path = folder.join(LOG);
    let mut options = OpenOptions::new();
    options.append(true).open(&path).map_err(broken(&path))
}
