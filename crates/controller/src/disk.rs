//! The thread that writes to a voter's data folder.

use std::path::PathBuf;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;

use async_channel::Sender as Reports;

use snipemast_control::{DiskStorage, Location, Recovery, Storage, VoterId, Write};

/// The largest number of writes that are synced together.
const MAX_BATCH: usize = 64;

/// A report of the disk thread.
#[derive(Debug)]
pub(crate) enum Report {
    /// All writes up to this number are synced.
    Synced(u64),
    /// A write failed, so the content of the disk is unknown.
    Failed(String),
}

/// The queue of numbered writes for the disk thread.
pub(crate) type Writes = Sender<(u64, Write)>;

/// Opens a data folder on a thread of its own, because a disk may not answer for seconds.
pub(crate) async fn open(
    folder: PathBuf,
    location: Location,
    new_id: VoterId,
) -> Result<(DiskStorage, Recovery), String> {
    let (sender, receiver) = async_channel::bounded(1);
    let work = move || {
        let opened = DiskStorage::open(&folder, &location, new_id).map_err(|e| format!("{e:?}"));
        // The receiver is gone only if the process ends.
        let _ = sender.send_blocking(opened);
    };
    let started = thread::Builder::new().name("open".into()).spawn(work);
    started.map_err(|e| e.to_string())?;
    let opened = receiver.recv().await;
    opened.unwrap_or_else(|e| Err(e.to_string()))
}

/// Starts the disk thread, which ends when its queue is closed or a write fails.
pub(crate) fn start(storage: DiskStorage, reports: Reports<Report>) -> std::io::Result<Writes> {
    let (sender, receiver) = channel();
    let work = move || run_writes(storage, &receiver, &reports);
    thread::Builder::new().name("disk".into()).spawn(work)?;
    Ok(sender)
}

/// Performs writes in batches and reports each batch.
fn run_writes(
    mut storage: DiskStorage,
    writes: &Receiver<(u64, Write)>,
    reports: &Reports<Report>,
) {
    while let Ok(first) = writes.recv() {
        let mut last = first.0;
        let mut batch = vec![first.1];
        while batch.len() < MAX_BATCH {
            let Ok((number, write)) = writes.try_recv() else {
                break;
            };
            last = number;
            batch.push(write);
        }
        let written = storage.write(&batch);
        let failed = written.is_err();
        let report = match written {
            Ok(()) => Report::Synced(last),
            Err(e) => Report::Failed(format!("{e:?}")),
        };
        if reports.send_blocking(report).is_err() || failed {
            return;
        }
    }
}
