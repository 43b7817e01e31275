//! The thread that writes to a voter's data folder.

use std::path::PathBuf;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;

use async_channel::Sender as Reports;

use snipemast_control::{DiskStorage, Location, Recovery, Storage, VoterId, Write};

/// How many writes are synced together at most.
const BATCH: usize = 64;

/// What the thread tells.
#[derive(Debug)]
pub(crate) enum Report {
    /// Everything up to this write is synced.
    Synced(u64),
    /// A write failed: what the disk holds is not known.
    Failed(String),
}

/// Where writes go.
pub(crate) type Writes = Sender<(u64, Write)>;

/// Opens a data folder, on a thread of its own: a disk may answer nothing for seconds.
pub(crate) async fn open(
    folder: PathBuf,
    location: Location,
    fresh: VoterId,
) -> Result<(DiskStorage, Recovery), String> {
    let (sender, receiver) = async_channel::bounded(1);
    let work = move || {
        let opened = DiskStorage::open(&folder, &location, fresh).map_err(|e| format!("{e:?}"));
        // Nobody waits any more only where the process ends.
        let _ = sender.send_blocking(opened);
    };
    let started = thread::Builder::new().name("open".into()).spawn(work);
    started.map_err(|e| e.to_string())?;
    let opened = receiver.recv().await;
    opened.unwrap_or_else(|e| Err(e.to_string()))
}

/// Starts the thread that writes; it ends when nobody writes any more, or after a failure.
pub(crate) fn start(storage: DiskStorage, reports: Reports<Report>) -> std::io::Result<Writes> {
    let (sender, receiver) = channel();
    let work = move || write(storage, &receiver, &reports);
    thread::Builder::new().name("disk".into()).spawn(work)?;
    Ok(sender)
}

fn write(mut storage: DiskStorage, writes: &Receiver<(u64, Write)>, reports: &Reports<Report>) {
    while let Ok(first) = writes.recv() {
        let mut last = first.0;
        let mut batch = vec![first.1];
        while batch.len() < BATCH {
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
