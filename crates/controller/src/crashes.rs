//! Requests that crash servers: merges what gateways tell, and keeps the quarantined ones on disk.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::thread;

use snipemast_control::files::{load_record, replace_record};
use snipemast_core::prelude::*;
use snipemast_net::exec::pause;
use snipemast_registry::CrashUpdate;
use snipemast_requests::{CrashRecord, CrashVerdict};

use crate::state::State;

/// The file of the quarantined requests in the data folder.
const FILE: &str = "quarantined";

/// The pause between two writes of the file, and before the next try after a failure.
const WRITE_PAUSE: Span = Span::from_millis(200);

impl State {
    /// Merges the requests whose servers ended, as a gateway tells them.
    pub(crate) fn merge_crashes(&self, host: &HostId, update: &CrashUpdate) {
        let now = self.clock.now();
        let mut crashes = self.crashes.lock();
        let before_merge = crashes.shared_revision();
        for record in &update.records {
            let before = crashes.verdict(&record.cause);
            crashes.merge(now, record.clone());
            let verdict = crashes.verdict(&record.cause);
            if verdict == before {
                continue;
            }
            let event = match verdict {
                CrashVerdict::Quarantined => Event::RequestQuarantined,
                CrashVerdict::Suspect | CrashVerdict::Undecided => Event::RequestSuspected,
                CrashVerdict::Clear => Event::RequestCleared,
            };
            let detail = format_args!("told by {host}: {record}");
            self.journal.record(event, record.cause, detail);
        }
        let changed = crashes.shared_revision() != before_merge;
        drop(crashes);
        if changed {
            self.notify_waiters();
        }
    }

    /// Returns the quarantined requests, as they are kept on disk.
    fn quarantined(&self) -> Vec<CrashRecord> {
        let now = self.clock.now();
        let crashes = self.crashes.lock();
        // Those that are quarantined soon change no more before that.
        let quarantined = crashes.at_least(CrashVerdict::Undecided).map(|cause| {
            let record = crashes.record(now, cause);
            // The time for which the process will be down is unknown, and an older completion would
            // then look like one after the ends of the servers.
            record.map(|r| CrashRecord {
                survived: None,
                ..r
            })
        });
        quarantined.flatten().collect()
    }
}

/// Keeps the quarantined requests on disk for as long as the future is polled.
///
/// This guards against a restart of all processes at once, after which a request that crashes
/// servers would have to be recognized anew. Nothing waits for the disk, which may be full or slow.
pub(crate) async fn keep_quarantined(state: Arc<State>) {
    let Some(folder) = state.settings.data_dir.clone() else {
        return;
    };
    let mut stored = load(&state, &folder).await;
    loop {
        let changed = state.changed.listen();
        let revision = state.crashes.lock().shared_revision();
        if revision == stored {
            changed.await;
            continue;
        }
        if store(&state, &folder).await {
            stored = revision;
        }
        pause(WRITE_PAUSE).await;
    }
}

/// Merges the requests on disk. Returns the revision that the disk has after it.
async fn load(state: &State, folder: &Path) -> u64 {
    let path = folder.join(FILE);
    let loaded = run_blocking(move || load_record::<Vec<CrashRecord>>(&path)).await;
    let records = match loaded {
        Some(Ok(records)) => records.unwrap_or_default(),
        Some(Err(report)) => {
            state
                .journal
                .record(Event::StorageRefused, FILE, report.current_context());
            Vec::new()
        }
        None => Vec::new(),
    };
    let now = state.clock.now();
    let mut crashes = state.crashes.lock();
    let before = crashes.shared_revision();
    for record in records {
        let detail = format_args!("from disk: {record}");
        state
            .journal
            .record(Event::RequestQuarantined, record.cause, detail);
        crashes.merge(now, record);
    }
    let loaded = crashes.shared_revision();
    drop(crashes);
    state.notify_waiters();
    // What gateways told before may be missing on disk.
    if before == 0 {
        loaded
    } else {
        0
    }
}

/// Replaces the file. Returns whether it could be written.
async fn store(state: &State, folder: &Path) -> bool {
    let (folder, records) = (PathBuf::from(folder), state.quarantined());
    let stored = run_blocking(move || replace_record(&folder, FILE, &records)).await;
    match stored {
        Some(Ok(())) => true,
        Some(Err(report)) => {
            let journal = &state.journal;
            journal.record(Event::StorageRefused, FILE, report.current_context());
            false
        }
        None => false,
    }
}

/// Runs a function on a thread of its own. Returns nothing if there is no thread to be had.
async fn run_blocking<T: Send + 'static>(work: impl FnOnce() -> T + Send + 'static) -> Option<T> {
    let (sender, receiver) = async_channel::bounded(1);
    let work = move || {
        // The receiver is gone only if the process ends.
        let _ = sender.send_blocking(work());
    };
    let builder = thread::Builder::new().name("file".into());
    builder.spawn(work).ok()?;
    receiver.recv().await.ok()
}
