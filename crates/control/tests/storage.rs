//! The data folder: crashes, damage, copies, and a majority lost for good.

mod support;

use std::fs;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use snipemast_control::{
    force, ClusterId, DiskStorage, Hard, Input, LogEntry, Node, NodeParams, Payload, Recovery,
    Snapshot, Storage, StorageError, StoredState, Timing, VoterId, Voters, Write,
};
use snipemast_core::prelude::*;

use support::{location, voters, Ledger};

/// A folder that is gone after the test.
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

fn open(path: &Path, host: u64, fresh: u64) -> Result<(DiskStorage, Recovery), StorageError> {
    let opened = DiskStorage::open(path, &location(host, "zone-1"), VoterId(fresh));
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
    Write::Hard(Hard {
        term: Term(term),
        vote,
    })
}

fn snapshot(index: u64, term: u64) -> Arc<Snapshot> {
    let state = Ledger::default();
    Arc::new(Snapshot {
        index: Index(index),
        term: Term(term),
        voters: voters(3),
        fence: Fence(term),
        state: snipemast_control::StateMachine::snapshot(&state),
    })
}

/// Writes as they come: a vote, entries, some overwritten, another vote.
fn sample() -> Vec<Write> {
    vec![
        hard(1),
        Write::Append(vec![entry(1, 1), entry(2, 1), entry(3, 1)]),
        Write::Append(vec![entry(2, 2)]),
        hard(3),
        Write::Append(vec![entry(3, 3)]),
    ]
}

/// What a disk holds after each write of the sample.
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
fn writes_return() {
    let folder = Folder::new();
    write_sample(&folder);
    assert_eq!(folder.stored(), *states().last().unwrap());
    assert_eq!(folder.open().unwrap().0.identity().starts, 3);
}

// A host loses power in the middle of a write, at any byte. After the restart the voter has
// everything that was synced before, and the torn rest is cut.
#[test]
fn cut_anywhere() {
    let folder = Folder::new();
    write_sample(&folder);
    let whole = fs::read(folder.file("log")).unwrap();
    let states = states();
    let first = {
        let empty = Folder::new();
        empty.open().unwrap();
        fs::read(empty.file("log")).unwrap().len()
    };
    let mut reached = 0;
    for end in 0..=whole.len() {
        fs::write(folder.file("log"), &whole[..end]).unwrap();
        if end < first {
            // The file came whole with its first record, so this is no crash's work.
            assert!(matches!(folder.open(), Err(StorageError::Damaged { .. })));
            continue;
        }
        let stored = folder.stored();
        let found = states
            .iter()
            .position(|s| *s == stored)
            .expect("a whole prefix");
        assert!(found >= reached, "more bytes never give less");
        reached = found;
    }
    assert_eq!(reached, states.len() - 1);
}

// The same crash leaves a stretch that reads as zeros where the last write should be.
#[test]
fn zeros_cut() {
    let folder = Folder::new();
    write_sample(&folder);
    let mut bytes = fs::read(folder.file("log")).unwrap();
    bytes.extend_from_slice(&[0; 700]);
    fs::write(folder.file("log"), &bytes).unwrap();
    let opened = folder.open().unwrap().1;
    assert_eq!((opened.torn, opened.stored), (700, states().pop().unwrap()));
}

// A bit of the log turns over on the disk, in any byte, in the last record too. If the voter
// took it for a torn tail, it would forget what it acknowledged; it must refuse to start.
#[test]
fn flip_anywhere() {
    let folder = Folder::new();
    write_sample(&folder);
    for name in ["log", "identity"] {
        let whole = fs::read(folder.file(name)).unwrap();
        for (byte, bit) in (0..whole.len()).flat_map(|byte| [(byte, 1), (byte, 128)]) {
            let mut bytes = whole.clone();
            bytes[byte] ^= bit;
            fs::write(folder.file(name), &bytes).unwrap();
            let refused = matches!(folder.open(), Err(StorageError::Damaged { .. }));
            assert!(refused, "byte {byte} of {name} turned over unnoticed");
        }
        fs::write(folder.file(name), &whole).unwrap();
    }
    assert_eq!(folder.stored(), states().pop().unwrap());
}

#[test]
fn snapshot_flipped() {
    let folder = Folder::new();
    let (mut disk, _) = folder.open().unwrap();
    let stored = StoredState {
        snapshot: Some(snapshot(4, 2)),
        ..StoredState::default()
    };
    disk.write(&[Write::Replace(Box::new(stored))]).unwrap();
    drop(disk);
    let whole = fs::read(folder.file("snapshot")).unwrap();
    for byte in 0..whole.len() {
        let mut bytes = whole.clone();
        bytes[byte] ^= 4;
        fs::write(folder.file("snapshot"), &bytes).unwrap();
        assert!(matches!(folder.open(), Err(StorageError::Damaged { .. })));
    }
}

// A process dies after it put a new snapshot in place and before it put the new log in place.
// The old log must still join the snapshot, and contradicting entries of it must not count.
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
        let boot = NodeParams {
            id: VoterId(1),
            start: 1,
            cluster: ClusterId(1),
            first_voters: Voters::default(),
            stored: folder.stored(),
            timing: Timing::default(),
            seed: 1,
        };
        let node = Node::new(boot, Ledger::default(), Moment::ZERO).unwrap();
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

// An operator copies a voter's folder to a new host, or puts back yesterday's copy. The copy
// forgot what its original voted and acknowledged since; it must not start as that voter.
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

// A wiped folder comes back as somebody else, and half a folder does not come back at all.
#[test]
fn wiped_folder() {
    let folder = Folder::new();
    write_sample(&folder);
    assert_eq!(folder.open().unwrap().0.identity().voter, VoterId(11));
    for name in ["identity", "log"] {
        let whole = fs::read(folder.file(name)).unwrap();
        fs::remove_file(folder.file(name)).unwrap();
        let refused = folder.open().unwrap_err();
        assert_eq!(refused, StorageError::Incomplete(folder.0.clone()));
        fs::write(folder.file(name), whole).unwrap();
    }
    fs::remove_dir_all(&folder.0).unwrap();
    let (disk, opened) = open(&folder.0, 1, 12).unwrap();
    assert_eq!(disk.identity().voter, VoterId(12));
    assert_eq!(
        (disk.identity().cluster, opened.stored),
        (None, StoredState::default())
    );
}

// A write fails, and the next one seems to work because the system dropped what it could not
// write. Nothing may be acknowledged after the first failure.
#[test]
fn failure_ends() {
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

// A majority is lost for good. The operator names the last place of the log that is left and
// says that later changes may be lost; then this voter alone goes on, above every old term.
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
    fs::write(folder.file("force"), format!("{last} {}\n", force::PHRASE)).unwrap();
    let (disk, opened) = open(&folder.0, 1, 99).unwrap();
    assert!(opened.forced);
    assert_eq!(disk.identity().voter, VoterId(99));
    let (identity, stored) = (disk.identity().clone(), opened.stored);
    drop(disk);
    assert_eq!(open(&folder.0, 1, 98).unwrap().1.stored, stored);
    let boot = NodeParams {
        id: identity.voter,
        start: identity.starts,
        cluster: identity.cluster.unwrap(),
        first_voters: identity.first_voters,
        stored,
        timing: Timing::default(),
        seed: 1,
    };
    let mut node = Node::new(boot, Ledger::default(), Moment::ZERO).unwrap();
    node.handle(Moment::ZERO, Input::Tick);
    node.handle(Moment::ZERO, Input::Synced { write: 9 });
    assert!(node.is_leader() && node.fence().get() > force::TERM_STEP);
    assert_eq!(
        (node.machine().replaced, node.machine().commands.len()),
        (1, 3)
    );
}
