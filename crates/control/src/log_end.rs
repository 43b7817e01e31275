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
    version: Version,
    text: Arc<Vec<u8>>,
}

/// What a submission is written as, and what the log's end holds after it.
#[derive(Debug)]
pub struct Draft {
    /// The command for the log.
    pub command: Command,
    end: Option<(Version, Arc<Vec<u8>>)>,
}

impl LogEnd {
    /// Writes a submission for the log of the leader in a term.
    ///
    /// `applied` is the leader's state machine, or `None` while entries of earlier terms may not be applied to it. Without a
    /// configuration to start from, the submission is written whole.
    pub fn draft(&self, term: Term, applied: Option<&Documents>, submission: Submission) -> Draft {
        let tail = self.tail.as_ref().filter(|tail| tail.term == term);
        let base = match tail {
            Some(tail) => Some((tail.version, Arc::clone(&tail.text))),
            None => applied.map(|a| (a.version(), Arc::clone(a.shared_text()))),
        };
        let Some((version, text)) = base.filter(|(version, _)| *version > Version(0)) else {
            return Draft {
                command: Command::Configure(submission),
                end: None,
            };
        };
        let command = Command::Amend(Amendment {
            base: version,
            to: submission.version,
            diff: Diff::between(&text, &submission.text),
        });
        let end = if submission.version > version {
            (submission.version, Arc::new(submission.text))
        } else {
            (version, text)
        };
        Draft {
            command,
            end: Some(end),
        }
    }

    /// Returns the text that an amendment starts from, if the log's end holds it.
    pub fn text(&self, term: Term, base: Version) -> Option<&[u8]> {
        let tail = self.tail.as_ref()?;
        (tail.term == term && tail.version == base).then_some(tail.text.as_slice())
    }

    /// Records that a draft was appended to the log at an index.
    pub fn record(&mut self, term: Term, index: Index, end: Option<(Version, Arc<Vec<u8>>)>) {
        self.tail = end.map(|(version, text)| Tail {
            term,
            index,
            version,
            text,
        });
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

impl Draft {
    /// Returns the command, and what the log's end holds once it is appended.
    pub fn into_parts(self) -> (Command, Option<(Version, Arc<Vec<u8>>)>) {
        (self.command, self.end)
    }
}
