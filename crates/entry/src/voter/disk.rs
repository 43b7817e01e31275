//! The thread that writes and syncs, with one sync for many writes.

use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::Arc;

use snipemast_control::{Storage, Write};
use snipemast_core::prelude::*;

use super::engine::{DiskState, Request};
use super::VoterShared;

/// Performs the voter's writes until the voter ends or a write fails.
///
/// Failure guarded against: the disk is full or broken, and the voter acknowledges entries that are
/// not stored. A failed write is never reported as synced, and it ends the role on this host.
pub(super) fn run<S: Storage>(
    mut storage: S,
    writes: &Receiver<(u64, Write)>,
    state: &Arc<DiskState>,
    shared: &VoterShared,
) {
    while let Ok((mut last, first)) = writes.recv() {
        let mut batch = vec![first];
        for (number, write) in writes.try_iter() {
            last = number;
            batch.push(write);
        }
        if let Err(report) = storage.write(&batch) {
            state.failed.store(true, Ordering::Release);
            shared.journal.record(Event::StorageRefused, "log", report);
            shared.end_role();
            let _ = shared.inputs.try_send(Request::Wake);
            return;
        }
        state.synced.store(last, Ordering::Release);
        // If the queue is full, the voter's thread is awake and checks the disk state by itself.
        let _ = shared.inputs.try_send(Request::Wake);
    }
}
