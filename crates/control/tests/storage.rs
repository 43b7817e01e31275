//! The data folder: crashes, damage, copies, and the replacement of a lost majority.

mod support;

use std::fs;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use snipemast_control::{
    force, ClusterId, DiskStorage, HardState, Input, LogEntry, Node, NodeParams, Payload, Recovery,
    Snapshot, Storage, StorageError, StoredState, Timing, VoterId, Voters, Write,
};
use snipemast_core::prelude::*;

use support::{location, voters, CommandList};

/// A temporary folder that is removed after the test.
struct Folder(PathBuf);

impl Folder {
    fn new() -> Self {
        static COUNT: AtomicU64 = AtomicU64::new(0);
        let count = COUNT.fetch_add(1, Ordering::Relaxed);
        let name = format!("snipemast-storage-{}-{count}", std::process::id());
        let path = std::env::temp_dir().join(name);
        let _ = fs::remove_dir_all(&path);
        Self(path)
    }

    fn open(&self) -> Result<(DiskStorage, Recovery), StorageError> {
        open(&self.0, 1, 11)
    }

    fn file(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }

    fn stored(&self) -> StoredState {
        self.open().unwrap().1.stored
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn open(path: &Path, host: u64, new_id: u64) -> Result<(DiskStorage, Recovery), StorageError> {
    let opened = DiskStorage::open(path, &location(host, "zone-1"), VoterId(new_id));
    opened.map_err(|report| report.current_context().clone())
}

fn entry(index: u64, term: u64) -> LogEntry {
    LogEntry {
        index: Index(index),
        term: Term(term),
        payload: Payload::Command(format!("command {index} of {term}").into_bytes()),
    }
}

fn hard(term: u64) -> Write {
    let vote = Some(VoterId(3));
    Write::Hard(HardState {
        term: Term(term),
        vote,
    })
}

fn snapshot(index: u64, term: u64) -> Arc<Snapshot> {
    let state = CommandList::default();
    Arc::new(Snapshot {
        index: Index(index),
        term: Term(term),
        voters: voters(3),
        fence: Fence(term),
        state: snipemast_control::StateMachine::snapshot(&state),
    })
}

/// Returns typical writes: a vote, entries, some of them overwritten, and another vote.
fn sample() -> Vec<Write> {
    vec![
        hard(1),
        Write::Append(vec![entry(1, 1), entry(2, 1), entry(3, 1)]),
        Write::Append(vec![entry(2, 2)]),
        hard(3),
        Write::Append(vec![entry(3, 3)]),
    ]
}

/// Returns the state of a disk after each write of the sample.
fn states() -> Vec<StoredState> {
    let mut stored = StoredState::default();
    let mut states = vec![stored.clone()];
    for write in sample() {
        stored.apply(&write);
        states.push(stored.clone());
    }
    states
}

fn write_sample(folder: &Folder) {
    let (mut disk, _) = folder.open().unwrap();
    for write in sample() {
        disk.write(&[write]).unwrap();
    }
}

#[test]
fn writes_survive() {
    let folder = Folder::new();
    write_sample(&folder);
    assert_eq!(folder.stored(), *states().last().unwrap());
    assert_eq!(folder.open().unwrap().0.identity().starts, 3);
}

// A host loses power in the middle of a write, at any byte. After the restart the voter must have
// everything that was synced before, and the torn rest is dropped.
#[test]
fn torn_tail_cut() {
    let folder = Folder::new();
    write_sample(&folder);
    let intact = fs::read(folder.file("log")).unwrap();
    let states = states();
    let first = {
        let empty = Folder::new();
        empty.open().unwrap();
        fs::read(empty.file("log")).unwrap().len()
    };
    let mut reached = 0;
    for end in 0..=intact.len() {
        fs::write(folder.file("log"), &intact[..end]).unwrap();
        if end < first {
            // The file was created with its first record, so no crash can have caused this.
            assert!(matches!(folder.open(), Err(StorageError::Damaged { .. })));
            continue;
        }
        let stored = folder.stored();
        let found = states
            .iter()
            .position(|s| *s == stored)
            .expect("the state after some write");
        assert!(found >= reached, "more bytes never restore fewer writes");
        reached = found;
    }
    assert_eq!(reached, states.len() - 1);
}

// A host loses power and leaves zeros where the last write should be; they are dropped.
#[test]
fn zero_tail_cut() {
    let folder = Folder::new();
    write_sample(&folder);
    let mut bytes = fs::read(folder.file("log")).unwrap();
    bytes.extend_from_slice(&[0; 700]);
    fs::write(folder.file("log"), &bytes).unwrap();
    let opened = folder.open().unwrap().1;
    assert_eq!((opened.torn, opened.stored), (700, states().pop().unwrap()));
}

// A bit of the log flips on the disk, in any byte, including the last record. If the voter took it
// for a torn tail, it would lose what it acknowledged; it must refuse to start.
#[test]
fn bit_flips_refused() {
    let folder = Folder::new();
    write_sample(&folder);
    for name in ["log", "identity"] {
        let intact = fs::read(folder.file(name)).unwrap();
        for (byte, bit) in (0..intact.len()).flat_map(|byte| [(byte, 1), (byte, 128)]) {
            let mut bytes = intact.clone();
            bytes[byte] ^= bit;
            fs::write(folder.file(name), &bytes).unwrap();
            let refused = matches!(folder.open(), Err(StorageError::Damaged { .. }));
            assert!(
                refused,
                "a flipped bit in byte {byte} of {name} was not noticed"
            );
        }
        fs::write(folder.file(name), &intact).unwrap();
    }
    assert_eq!(folder.stored(), states().pop().unwrap());
}

#[test]
fn damaged_snapshot_refused() {
    let folder = Folder::new();
    let (mut disk, _) = folder.open().unwrap();
    let stored = StoredState {
        snapshot: Some(snapshot(4, 2)),
        ..StoredState::default()
    };
    disk.write(&[Write::Replace(Box::new(stored))]).unwrap();
    drop(disk);
    let intact = fs::read(folder.file("snapshot")).unwrap();
    for byte in 0..intact.len() {
        let mut bytes = intact.clone();
        bytes[byte] ^= 4;
        fs::write(folder.file("snapshot"), &bytes).unwrap();
        assert!(matches!(folder.open(), Err(StorageError::Damaged { .. })));
    }
}

// A process dies after it replaced the snapshot and before it replaced the log. The old log must
// still continue the snapshot, and entries of it that contradict the snapshot must not count.
#[test]
fn between_replacements() {
    for (term, kept) in [(2, 3), (9, 2)] {
        let folder = Folder::new();
        write_sample(&folder);
        let log = fs::read(folder.file("log")).unwrap();
        let (mut disk, _) = folder.open().unwrap();
        let stored = StoredState {
            snapshot: Some(snapshot(2, term)),
            ..StoredState::default()
        };
        disk.write(&[Write::Replace(Box::new(stored))]).unwrap();
        drop(disk);
        fs::write(folder.file("log"), &log).unwrap();
        let params = NodeParams {
            id: VoterId(1),
            start: 1,
            cluster: ClusterId(1),
            first_voters: Voters::default(),
            stored: folder.stored(),
            timing: Timing::default(),
            seed: 1,
        };
        let node = Node::new(params, CommandList::default(), Moment::ZERO).unwrap();
        assert_eq!(
            (node.log().last_index(), node.commit_index()),
            (Index(kept), Index(2))
        );
    }
}

#[test]
fn one_process() {
    let folder = Folder::new();
    let _first = folder.open().unwrap();
    assert_eq!(
        folder.open().unwrap_err(),
        StorageError::Locked(folder.0.clone())
    );
}

// An operator copies a voter's folder to a new host, or restores an old copy. The copy lacks what
// its original has voted and acknowledged since, so it must not start as that voter.
#[test]
fn copies_refused() {
    let folder = Folder::new();
    write_sample(&folder);
    let copy = Folder::new();
    fs::create_dir(&copy.0).unwrap();
    for file in fs::read_dir(&folder.0).unwrap() {
        let file = file.unwrap();
        fs::copy(file.path(), copy.0.join(file.file_name())).unwrap();
    }
    assert_eq!(
        copy.open().unwrap_err(),
        StorageError::Copied(copy.0.clone())
    );
    let foreign = open(&folder.0, 2, 11).unwrap_err();
    assert_eq!(foreign, StorageError::Foreign(location(1, "zone-1").host));
}

// A wiped folder must return with a new id, and a folder with missing files must be refused.
#[test]
fn wiped_folder() {
    let folder = Folder::new();
    write_sample(&folder);
    assert_eq!(folder.open().unwrap().0.identity().voter, VoterId(11));
    for name in ["identity", "log"] {
        let intact = fs::read(folder.file(name)).unwrap();
        fs::remove_file(folder.file(name)).unwrap();
        let refused = folder.open().unwrap_err();
        assert_eq!(refused, StorageError::Incomplete(folder.0.clone()));
        fs::write(folder.file(name), intact).unwrap();
    }
    fs::remove_dir_all(&folder.0).unwrap();
    let (disk, opened) = open(&folder.0, 1, 12).unwrap();
    assert_eq!(disk.identity().voter, VoterId(12));
    assert_eq!(
        (disk.identity().cluster, opened.stored),
        (None, StoredState::default())
    );
}

// A write fails, and the next one seems to succeed because the operating system dropped what it
// could not write. Nothing may be acknowledged after the first failure.
#[test]
fn failed_write_ends() {
    let folder = Folder::new();
    let (mut disk, _) = folder.open().unwrap();
    fs::remove_dir_all(&folder.0).unwrap();
    let stored = StoredState {
        snapshot: Some(snapshot(4, 2)),
        ..StoredState::default()
    };
    assert!(disk.write(&[Write::Replace(Box::new(stored))]).is_err());
    fs::create_dir(&folder.0).unwrap();
    let after = disk.write(&[hard(5)]).unwrap_err();
    assert_eq!(*after.current_context(), StorageError::Ended);
}

// A majority is lost for good. Once the operator names the last index of the remaining log and
// confirms that later changes may be lost, this voter continues alone, above every old term.
#[test]
fn majority_replaced() {
    let folder = Folder::new();
    write_sample(&folder);
    let before = folder.stored();
    let last = force::last_index(&before);
    for wrong in ["", "2 changes after this may be lost", "3 yes"] {
        fs::write(folder.file("force"), wrong).unwrap();
        assert_eq!(
            folder.open().unwrap_err(),
            StorageError::Unforced(folder.file("force"))
        );
    }
    // The operator learns which file is wrong and what it must say.
    let message = folder.open().unwrap_err().to_string();
    assert!(message.contains(&folder.file("force").display().to_string()));
    assert!(message.contains("last index") && message.contains(force::CONFIRMATION));
    fs::write(
        folder.file("force"),
        format!("{last} {}\n", force::CONFIRMATION),
    )
    .unwrap();
    let (disk, opened) = open(&folder.0, 1, 99).unwrap();
    assert!(opened.forced);
    assert_eq!(disk.identity().voter, VoterId(99));
    let (identity, stored) = (disk.identity().clone(), opened.stored);
    drop(disk);
    assert_eq!(open(&folder.0, 1, 98).unwrap().1.stored, stored);
    let params = NodeParams {
        id: identity.voter,
        start: identity.starts,
        cluster: identity.cluster.unwrap(),
        first_voters: identity.first_voters,
        stored,
        timing: Timing::default(),
        seed: 1,
    };
    let mut node = Node::new(params, CommandList::default(), Moment::ZERO).unwrap();
    node.handle(Moment::ZERO, Input::Tick);
    node.handle(Moment::ZERO, Input::Synced { write: 9 });
    assert!(node.is_leader() && node.fence().get() > force::TERM_STEP);
    assert_eq!(
        (node.machine().replaced, node.machine().commands.len()),
        (1, 3)
    );
}
