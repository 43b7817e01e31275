//! Replacement of a majority that was lost for good: an operator's explicit act.
//!
//! The operator writes a file `force` into the data folder of the one voter that is left, with
//! one line: the last place of its log, as status or the refusal tells it, and the words of
//! [`PHRASE`]. The next start makes this voter a cluster of its own. What the lost voters had
//! committed beyond its log is gone; operators must read the history and submit it again.

use std::fs;
use std::io;
use std::path::Path;

use error_stack::Report;

use snipemast_core::prelude::*;

use crate::entry::{LogEntry, Payload, StoredState};
use crate::files::sync_folder;
use crate::identity::Identity;
use crate::storage::{broken, Result, StorageError};
use crate::voters::{ClusterId, Location, VoterId, Voters};

/// What the operator must write after the last place of the log.
pub const PHRASE: &str = "changes after this may be lost";

/// How far the term rises, so that no fencing number of a lost leader is as high.
pub const TERM_STEP: u64 = 1_000_000;

const FILE: &str = "force";

/// The last place of a stored log.
pub fn last_index(stored: &StoredState) -> Index {
    let covered = stored.snapshot.as_ref().map_or(Index(0), |s| s.index);
    stored
        .entries
        .last()
        .map_or(covered, |e| e.index.max(covered))
}

/// Whether an operator asks for it.
pub(crate) fn is_asked(folder: &Path) -> bool {
    folder.join(FILE).exists()
}

/// Makes the voter a cluster of its own, if an operator asks for it; whether one did.
///
/// Failures guarded against: a request that was left behind, or meant for another voter, is
/// carried out (it must name the last place of this very log); a lost voter comes back and
/// is counted (the cluster's id changes, so its messages are dropped); a folder put back from a
/// copy votes as its original (it gets a new voter id); orders of the new leader are refused
/// as old (the term rises by more than the lost voters can have used).
pub(crate) fn apply(
    folder: &Path,
    identity: &mut Identity,
    stored: &mut StoredState,
    location: &Location,
    fresh: VoterId,
) -> Result<bool> {
    let path = folder.join(FILE);
    let text = match fs::read_to_string(&path) {
        Ok(text) => text,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(false),
        Err(e) => return Err(broken(&path)(e)),
    };
    let last = last_index(stored);
    if text.trim() != format!("{last} {PHRASE}") {
        return Err(Report::new(StorageError::Unforced(path)));
    }
    identity.voter = fresh;
    identity.cluster = Some(ClusterId(fresh.get()));
    let voters = Voters::new([(fresh, location.clone())].into());
    stored.hard.term = Term(stored.hard.term.get() + TERM_STEP);
    stored.hard.vote = None;
    stored.entries.push(LogEntry {
        index: last.next(),
        term: stored.hard.term,
        payload: Payload::Replaced(voters),
    });
    Ok(true)
}

/// Takes the request away once it is carried out.
pub(crate) fn finish(folder: &Path) -> Result<()> {
    let path = folder.join(FILE);
    match fs::remove_file(&path) {
        Ok(()) => sync_folder(folder),
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(()),
        Err(e) => Err(broken(&path)(e)),
    }
}
