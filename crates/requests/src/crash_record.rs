//! What is known of a request, or of a part that requests share, whose servers ended.

use std::fmt;

use snipemast_core::data;
use snipemast_core::prelude::*;

use crate::claim::Fingerprint;

/// The number of ended servers from which a request is quarantined.
const QUARANTINE_ENDS: usize = 3;

/// The number of ended servers from which a request or part is suspect, and told to all processes.
const SUSPECT_ENDS: usize = 2;

/// The largest number of ended servers that are kept of one request or part: those that ended last.
pub(crate) const MAX_ENDS: usize = 8;

/// How long a request or part that is not quarantined is remembered after its last server ended.
const SUSPECT_RETENTION: Span = Span::from_secs(600);

/// How long a quarantined request or part is remembered after its last server ended.
const QUARANTINE_RETENTION: Span = Span::from_secs(86_400);

data! {
    /// What may crash the servers that run a request; the narrower one is greater.
    #[derive(Copy, PartialOrd, Ord, Hash)]
    pub enum Scope {
        /// Nothing in requests: the servers themselves, which all ends have in common.
        Servers,
        /// A part of prompts, by its place in them.
        Part(u8),
        /// The whole request.
        Request,
    }

    /// A server that ended while it ran a request. Times are ages at the moment of sending.
    pub struct ServerEnd {
        /// The server.
        pub server: ServerId,
        /// The start of the server that ended.
        pub start: Incarnation,
        /// How long ago the request was sent to the server.
        pub sent: Span,
        /// How long ago the server ended.
        pub ended: Span,
    }

    /// What one process tells another about a request, about a part that requests share, or about all ends of
    /// servers.
    pub struct CrashRecord {
        /// The fingerprint of the request or part; empty for the servers themselves.
        pub cause: Fingerprint,
        /// Which of them it is.
        pub scope: Scope,
        /// The servers that ended under it.
        pub ends: Vec<ServerEnd>,
        /// How long ago it last showed that it doesn't crash servers, if it did: the request completed, or an
        /// answer to the part began and its server went on.
        pub survived: Option<Span>,
    }
}

impl fmt::Display for CrashRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("under it ended")?;
        for ServerEnd { server, ended, .. } in &self.ends {
            write!(f, " {server} {ended} ago,")?;
        }
        let done = match self.scope {
            Scope::Request => "completed",
            Scope::Part(_) | Scope::Servers => "survived",
        };
        match self.survived {
            Some(ago) => write!(f, " and it {done} {ago} ago"),
            None => write!(f, " and it never {done}"),
        }
    }
}

/// Whether a request may be sent to servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CrashVerdict {
    /// It may.
    Clear,
    /// It may be sent once each time that it comes.
    Suspect,
    /// It may not for a short time, after which it is clear or quarantined.
    Undecided,
    /// It may not.
    Quarantined,
}

/// What is known of a request or part. All times are shifted by the table.
#[derive(Debug, Clone)]
pub(crate) struct Record {
    pub(crate) scope: Scope,
    pub(crate) ends: Vec<End>,
    pub(crate) survived: Option<Moment>,
    /// The table's revision at the last change.
    pub(crate) changed: u64,
}

/// The end of one start of a server.
#[derive(Debug, Clone)]
pub(crate) struct End {
    pub(crate) server: ServerId,
    pub(crate) start: Incarnation,
    pub(crate) sent: Moment,
    pub(crate) ended: Moment,
}

impl End {
    /// Returns what identifies the end: a start of a server ends once.
    pub(crate) fn id(&self) -> (&ServerId, Incarnation) {
        (&self.server, self.start)
    }
}

impl Record {
    pub(crate) fn new(scope: Scope) -> Self {
        Self {
            scope,
            ends: Vec::new(),
            survived: None,
            changed: 0,
        }
    }

    /// Adds an end; returns whether it was not known, and is among the last ones.
    pub(crate) fn add_end(&mut self, end: End) -> bool {
        if self.ends.iter().any(|known| known.id() == end.id()) {
            return false;
        }
        let at = self.ends.partition_point(|e| e.ended <= end.ended);
        self.ends.insert(at, end);
        if self.ends.len() <= MAX_ENDS {
            return true;
        }
        self.ends.remove(0);
        at > 0
    }

    /// Notes a survival; returns whether it changes what counts.
    pub(crate) fn survive(&mut self, survived: Option<Moment>) -> bool {
        let Some(at) = survived else {
            return false;
        };
        let is_news = self.survived.is_none() || self.open_ends().any(|end| end.ended <= at);
        if is_news {
            self.survived = self.survived.max(Some(at));
        }
        is_news
    }

    /// Returns the ends since the last survival.
    pub(crate) fn open_ends(&self) -> impl Iterator<Item = &End> {
        let survived = self.survived;
        let is_open = move |e: &&End| survived.is_none_or(|at| e.ended > at);
        self.ends.iter().filter(is_open)
    }

    /// Returns how many ends followed one another: the request was sent to each of these servers
    /// after the one before it had ended.
    fn successive_ends(&self) -> usize {
        let mut last = None;
        let mut count = 0;
        for end in self.open_ends() {
            if last.is_none_or(|at| end.sent >= at) {
                last = Some(end.ended);
                count += 1;
            }
        }
        count
    }

    /// Whether other processes are told of the request or part.
    pub(crate) fn is_told(&self) -> bool {
        self.ends.len() >= SUSPECT_ENDS
    }

    /// Returns the verdict on a request; parts are compared with one another.
    pub(crate) fn verdict(&self) -> CrashVerdict {
        let open = self.open_ends().count();
        // Copies of one request that completes may run on many servers that end at the same moment.
        let proven = self.successive_ends() >= 2 || self.survived.is_none();
        if open >= QUARANTINE_ENDS && proven {
            CrashVerdict::Quarantined
        } else if open >= SUSPECT_ENDS {
            CrashVerdict::Suspect
        } else {
            CrashVerdict::Clear
        }
    }

    pub(crate) fn last_end(&self) -> Moment {
        self.ends.last().map_or(Moment::ZERO, |end| end.ended)
    }

    pub(crate) fn expiry(&self, verdict: CrashVerdict) -> Moment {
        let retention = match verdict {
            CrashVerdict::Quarantined => QUARANTINE_RETENTION,
            CrashVerdict::Clear | CrashVerdict::Suspect | CrashVerdict::Undecided => {
                SUSPECT_RETENTION
            }
        };
        self.last_end() + retention
    }

    pub(crate) fn to_told(&self, now: Moment, cause: Fingerprint) -> CrashRecord {
        let ends = self.ends.iter().map(|end| ServerEnd {
            server: end.server.clone(),
            start: end.start,
            sent: now.since(end.sent),
            ended: now.since(end.ended),
        });
        CrashRecord {
            cause,
            scope: self.scope,
            ends: ends.collect(),
            survived: self.survived.map(|at| now.since(at)),
        }
    }
}
