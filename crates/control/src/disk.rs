//! A voter's data folder: `lock`, `identity`, `snapshot` and `log`.
//!
//! The log is one file of records with checksums. A new snapshot replaces the previous one, and
//! then a new log, with the few entries that are still needed, replaces the old log. A crash
//! between the two steps leaves a log that begins before the snapshot; it is read correctly.

use std::fs::{self, File, OpenOptions};
use std::io::Write as _;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use error_stack::Report;
use fs4::FileExt;

use snipemast_core::data;
use snipemast_core::prelude::*;

use crate::entry::{HardState, LogEntry, Snapshot, StoredState, Write};
use crate::files::{damage_error, encode, load_record, replace_file, replace_record};
use crate::force;
use crate::identity::{read_inode, Identity};
use crate::record;
use crate::storage::{io_error, Result, Storage, StorageError};
use crate::voters::{ClusterId, Location, VoterId, Voters};

const LOCK_FILE: &str = "lock";
const LOG_FILE: &str = "log";
const SNAPSHOT_FILE: &str = "snapshot";

data! {
    /// The content of one record of the log file; each sync writes one record.
    struct Batch {
        items: Vec<Item>,
    }

    /// One write of a batch.
    enum Item {
        /// The term and the vote.
        Hard(HardState),
        /// Entries, which replace all earlier entries from the first one's index on.
        Entries(Vec<LogEntry>),
    }
}

/// A voter's data folder, locked by this process.
#[derive(Debug)]
pub struct DiskStorage {
    folder: PathBuf,
    identity: Identity,
    log: File,
    failed: bool,
    /// The lock on the folder, released when this is dropped.
    _lock: File,
}

/// The state recovered from a data folder when it was opened.
#[derive(Debug, Clone)]
pub struct Recovery {
    /// The state that the voter had stored.
    pub stored: StoredState,
    /// The number of bytes that a crash left torn at the end of the log.
    pub torn: usize,
    /// Whether an operator had a lost majority replaced with this voter alone.
    pub forced: bool,
}

impl DiskStorage {
    /// Opens the data folder of the voter at this location, or creates one with the id `new_id`.
    pub fn open(folder: &Path, location: &Location, new_id: VoterId) -> Result<(Self, Recovery)> {
        fs::create_dir_all(folder).map_err(io_error(folder))?;
        let lock = lock_folder(folder)?;
        let inode = read_inode(&lock, folder)?;
        let mut identity = load_identity(folder, &location.host, new_id, inode)?;
        let (mut stored, torn) = read_state(folder, &identity)?;
        let forced = force::replace_majority(folder, &mut identity, &mut stored, location, new_id)?;
        if forced {
            identity.host = location.host.clone();
            identity.inode = inode;
            identity.save(folder)?;
        }
        if torn > 0 || forced || identity.starts == 0 {
            write_log(folder, &stored)?;
        }
        identity.starts += 1;
        identity.save(folder)?;
        force::remove_request(folder)?;
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

    /// Returns the identity of the folder.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Stores the cluster that this voter belongs to for good. With no `first_voters` it joins as a
    /// learner.
    pub fn join(&mut self, cluster: ClusterId, first_voters: Voters) -> Result<()> {
        self.identity.cluster = Some(cluster);
        self.identity.first_voters = first_voters;
        self.identity.save(&self.folder)
    }

    fn write_all(&mut self, writes: &[Write]) -> Result<()> {
        let mut items = Vec::new();
        for write in writes {
            match write {
                Write::Hard(hard) => items.push(Item::Hard(*hard)),
                Write::Append(entries) => items.push(Item::Entries(entries.clone())),
                Write::Replace(stored) => {
                    items.clear();
                    self.replace_state(stored)?;
                }
            }
        }
        if items.is_empty() {
            return Ok(());
        }
        let mut bytes = Vec::new();
        record::append_record(&mut bytes, &encode(&Batch { items }));
        let path = self.folder.join(LOG_FILE);
        self.log.write_all(&bytes).map_err(io_error(&path))?;
        self.log.sync_data().map_err(io_error(&path))
    }

    fn replace_state(&mut self, stored: &StoredState) -> Result<()> {
        if let Some(snapshot) = &stored.snapshot {
            replace_record(&self.folder, SNAPSHOT_FILE, snapshot.as_ref())?;
        }
        write_log(&self.folder, stored)?;
        self.log = open_log(&self.folder)?;
        Ok(())
    }
}

impl Storage for DiskStorage {
    /// Writes and syncs; after one failure every later write fails.
    ///
    /// Otherwise, when a sync fails, the operating system may drop the pages that it could not
    /// write, and the next sync would succeed without them.
    fn write(&mut self, writes: &[Write]) -> Result<()> {
        if self.failed {
            return Err(Report::new(StorageError::Ended));
        }
        let result = self.write_all(writes);
        self.failed = result.is_err();
        result
    }
}

fn lock_folder(folder: &Path) -> Result<File> {
    let path = folder.join(LOCK_FILE);
    let mut options = OpenOptions::new();
    let options = options.create(true).truncate(false).write(true);
    let file = options.open(&path).map_err(io_error(&path))?;
    match FileExt::try_lock(&file) {
        Ok(()) => Ok(file),
        Err(_) => Err(Report::new(StorageError::Locked(folder.into()))),
    }
}

/// Loads and checks the identity of the folder; a new identity is stored before anything else.
fn load_identity(folder: &Path, host: &HostId, new_id: VoterId, inode: u64) -> Result<Identity> {
    match Identity::load(folder)? {
        Some(identity) => {
            if !force::is_requested(folder) {
                identity.check(folder, host, inode)?;
            }
            Ok(identity)
        }
        None if folder.join(LOG_FILE).exists() || folder.join(SNAPSHOT_FILE).exists() => {
            Err(Report::new(StorageError::Incomplete(folder.into())))
        }
        None => {
            let identity = Identity::new(new_id, host.clone(), inode);
            identity.save(folder)?;
            Ok(identity)
        }
    }
}

/// Reads the stored state, and returns it with the number of bytes torn at the end of the log.
///
/// A folder on which a process has started before must have its log: if the log was lost, its
/// voter would continue as if it had never voted.
fn read_state(folder: &Path, identity: &Identity) -> Result<(StoredState, usize)> {
    let snapshot: Option<Snapshot> = load_record(&folder.join(SNAPSHOT_FILE))?;
    let mut stored = StoredState {
        snapshot: snapshot.map(Arc::new),
        ..StoredState::default()
    };
    let path = folder.join(LOG_FILE);
    if !path.exists() {
        return if identity.starts > 0 {
            Err(Report::new(StorageError::Incomplete(folder.into())))
        } else {
            Ok((stored, 0))
        };
    }
    let bytes = fs::read(&path).map_err(io_error(&path))?;
    let scan = record::scan(&bytes).map_err(|d| damage_error(&path, d.offset))?;
    // The file was synced with its first record before it got its name, so no crash can have torn
    // it.
    if scan.bodies.is_empty() {
        return Err(damage_error(&path, 0));
    }
    for body in scan.bodies {
        let batch: Batch = rmp_serde::from_slice(body).map_err(|_| damage_error(&path, 0))?;
        for item in batch.items {
            apply_item(&mut stored, item).ok_or_else(|| damage_error(&path, 0))?;
        }
    }
    Ok((stored, bytes.len() - scan.end))
}

/// Applies an item to the stored state; returns `None` if its entries would leave a gap.
fn apply_item(stored: &mut StoredState, item: Item) -> Option<()> {
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

/// Replaces the log file with one that holds only this state.
fn write_log(folder: &Path, stored: &StoredState) -> Result<()> {
    let mut items = vec![Item::Hard(stored.hard)];
    if !stored.entries.is_empty() {
        items.push(Item::Entries(stored.entries.clone()));
    }
    let mut bytes = Vec::new();
    record::append_record(&mut bytes, &encode(&Batch { items }));
    replace_file(folder, LOG_FILE, &bytes)
}

fn open_log(folder: &Path) -> Result<File> {
    let path = folder.join(LOG_FILE);
    let mut options = OpenOptions::new();
    options.append(true).open(&path).map_err(io_error(&path))
}
