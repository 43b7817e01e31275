//! Replacement of a majority that was lost for good, at an operator's explicit request.
//!
//! The operator writes a file `force` into the data folder of the one voter that is left. It holds
//! one line: the last index of that voter's log, as the status or the refusal shows it, and the
//! words of [`CONFIRMATION`]. The next start makes this voter a cluster of its own. Whatever the
//! lost voters had committed beyond its log is gone; operators must read the history and submit it
//! again.

use std::fs;
use std::io;
use std::path::Path;

use error_stack::Report;

use snipemast_core::prelude::*;

use crate::entry::{LogEntry, Payload, StoredState};
use crate::files::sync_folder;
use crate::identity::Identity;
use crate::storage::{io_error, Result, StorageError};
use crate::voters::{ClusterId, Location, VoterId, Voters};

/// The words that the operator must write after the last index of the log.
pub const CONFIRMATION: &str = "changes after this may be lost";

/// How much the term is raised, so that no fencing number of a lost leader is as high.
pub const TERM_STEP: u64 = 1_000_000;

const REQUEST_FILE: &str = "force";

/// Returns the last index of a stored log.
pub fn last_index(stored: &StoredState) -> Index {
    let covered = stored.snapshot.as_ref().map_or(Index(0), |s| s.index);
    stored
        .entries
        .last()
        .map_or(covered, |e| e.index.max(covered))
}

/// Whether an operator has requested the replacement.
pub(crate) fn is_requested(folder: &Path) -> bool {
    folder.join(REQUEST_FILE).exists()
}

/// Makes the voter a cluster of its own if an operator has requested it; returns whether one has.
///
/// These failures are guarded against:
/// - A request that was left behind or meant for another voter is carried out: it must name the
///   last index of this very log.
/// - A lost voter comes back and is counted: the cluster's id changes, so its messages are dropped.
/// - A folder that was restored from a copy votes as its original: it gets a new voter id.
/// - Orders of the new leader are refused as outdated: the term rises by more than the lost voters
///   can have used.
pub(crate) fn replace_majority(
    folder: &Path,
    identity: &mut Identity,
    stored: &mut StoredState,
    location: &Location,
    new_id: VoterId,
) -> Result<bool> {
    let path = folder.join(REQUEST_FILE);
    let text = match fs::read_to_string(&path) {
        Ok(text) => text,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(false),
        Err(e) => return Err(io_error(&path)(e)),
    };
    let last = last_index(stored);
    if text.trim() != format!("{last} {CONFIRMATION}") {
        return Err(Report::new(StorageError::Unforced(path)));
    }
    identity.voter = new_id;
    identity.cluster = Some(ClusterId(new_id.get()));
    let voters = Voters::new([(new_id, location.clone())].into());
    stored.hard.term = Term(stored.hard.term.get() + TERM_STEP);
    stored.hard.vote = None;
    stored.entries.push(LogEntry {
        index: last.next(),
        term: stored.hard.term,
        payload: Payload::Replaced(voters),
    });
    Ok(true)
}

/// Removes the request once it has been carried out.
pub(crate) fn remove_request(folder: &Path) -> Result<()> {
    let path = folder.join(REQUEST_FILE);
    match fs::remove_file(&path) {
        Ok(()) => sync_folder(folder),
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(()),
        Err(e) => Err(io_error(&path)(e)),
    }
}
