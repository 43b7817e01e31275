//! What the next change of the configuration is written against.

use std::sync::Arc;

use snipemast_core::prelude::*;
use snipemast_diff::Diff;

use crate::documents::{Amendment, Command, Documents, Submission};

/// The configuration at the end of a leader's log, while it isn't applied yet.
///
/// Several submissions may be under way at once. Each is written as a change of the one before it, so that all entries
/// apply in the order of the log.
#[derive(Debug, Default)]
pub struct LogEnd {
    tail: Option<Tail>,
}

#[derive(Debug)]
struct Tail {
    term: Term,
    /// The entry of the last submission.
    index: Index,
    held: Held,
}

/// A configuration that the log's end holds.
#[derive(Debug, Clone)]
pub struct Held {
    version: Version,
    text: Arc<Vec<u8>>,
}

/// What a submission is written as, and what the log's end holds after it.
#[derive(Debug)]
pub struct Draft {
    /// The command for the log.
    pub command: Command,
    /// What the log's end holds once the command is appended; `None` if that isn't known.
    pub end: Option<Held>,
}

impl LogEnd {
    /// Writes a submission for the log of the leader in a term.
    ///
    /// `applied` is the leader's state machine, or `None` while entries of earlier terms may not be applied to it. Without a
    /// configuration to start from, the submission is written whole.
    pub fn draft(&self, term: Term, applied: Option<&Documents>, submission: Submission) -> Draft {
        let tail = self.tail.as_ref().filter(|tail| tail.term == term);
        let base = match tail {
            Some(tail) => Some(tail.held.clone()),
            None => applied.map(|a| Held {
                version: a.version(),
                text: Arc::clone(a.shared_text()),
            }),
        };
        let Some(base) = base.filter(|base| base.version > Version(0)) else {
            return Draft {
                command: Command::Configure(submission),
                end: None,
            };
        };
        let command = Command::Amend(Amendment {
            base: base.version,
            to: submission.version,
            diff: Diff::between(&base.text, &submission.text),
        });
        let end = if submission.version > base.version {
            Held {
                version: submission.version,
                text: Arc::new(submission.text),
            }
        } else {
            base
        };
        Draft {
            command,
            end: Some(end),
        }
    }

    /// Returns the text that an amendment starts from, if the log's end holds it.
    pub fn text(&self, term: Term, base: Version) -> Option<&[u8]> {
        let tail = self.tail.as_ref()?;
        let held = &tail.held;
        (tail.term == term && held.version == base).then_some(held.text.as_slice())
    }

    /// Records that a draft was appended to the log at an index.
    pub fn record(&mut self, term: Term, index: Index, end: Option<Held>) {
        self.tail = end.map(|held| Tail { term, index, held });
    }

    /// Forgets the text once the entries up to an index are applied, or the term is over.
    pub fn forget_applied(&mut self, term: Term, applied: Index) {
        if let Some(tail) = &self.tail {
            if tail.term != term || tail.index <= applied {
                self.tail = None;
            }
        }
    }
}
