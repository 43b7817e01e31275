//! What is known of a request, or of a part that requests share, whose servers ended.

use std::fmt;

use xxhash_rust::xxh3::xxh3_64;

use snipemast_core::data;
use snipemast_core::prelude::*;

use crate::claim::Fingerprint;

/// The number of ended servers from which a request is quarantined.
const QUARANTINE_ENDS: usize = 3;

/// The number of ended servers from which a request or part is suspect, and told to all processes.
const SUSPECT_ENDS: usize = 2;

/// The largest number of ended servers that are kept of one request or part: those that ended last.
pub(crate) const MAX_ENDS: usize = 8;

/// The number of attempts at one request that make it one in copies.
const MIN_COPIES: usize = 2;

/// The moments at which attempts at a request are compared: a server's end, and so long after one another from then on.
/// Together they last as long as a server takes to start again.
const COPY_CHECKS: u8 = 4;
const COPY_CHECK_INTERVAL: Span = Span::from_secs(1);

/// The largest number of copies of one request at one end that one message adds.
const MAX_COPIES: usize = MIN_COPIES * COPY_CHECKS as usize;

/// How long before a moment an attempt must have arrived to count as under way then: longer than records travel, so that
/// a caller's next attempt doesn't count beside the one that broke.
const COPY_MARGIN: Span = Span::from_millis(250);

/// How long a request or part that is not quarantined is remembered after its last server ended.
const SUSPECT_RETENTION: Span = Span::from_secs(600);

/// How long a quarantined request or part, or one that came in copies, is remembered after its last server ended.
const QUARANTINE_RETENTION: Span = Span::from_secs(86_400);

data! {
    /// A hash of a caller's id of one attempt at a request.
    #[derive(Copy, PartialOrd, Ord, Hash)]
    #[serde(transparent)]
    pub struct AttemptHash(u64);

    /// That an attempt at a request was under way at one of the moments at which they are compared.
    #[derive(Copy, PartialOrd, Ord, Hash)]
    pub struct AttemptAt {
        /// The number of the moment, from 0 for the end of the server.
        pub check: u8,
        /// The attempt.
        pub attempt: AttemptHash,
    }

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
        /// Some of the attempts at the request that were under way then or in the seconds after, at any server or none.
        #[serde(default)]
        pub copies: Vec<AttemptAt>,
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

impl AttemptHash {
    /// Returns the hash of an attempt's id.
    pub fn new(id: &str) -> Self {
        Self(xxh3_64(id.as_bytes()))
    }
}

impl fmt::Display for CrashRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("under it ended")?;
        for end in &self.ends {
            write!(f, " {} {} ago", end.server, end.ended)?;
            if has_copies(&end.copies) {
                f.write_str(" with several attempts under way")?;
            }
            f.write_str(",")?;
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
    /// Attempts that were under way at each check, in order.
    pub(crate) copies: Vec<AttemptAt>,
}

/// Whether several attempts at a request were under way at once, so that it is no single caller's next try.
fn has_copies(copies: &[AttemptAt]) -> bool {
    let pairs = copies.windows(MIN_COPIES);
    pairs.into_iter().any(|pair| pair[0].check == pair[1].check)
}

impl End {
    /// Returns an end from another process's record.
    pub(crate) fn from_shared(now: Moment, shared: ServerEnd) -> Self {
        let mut end = Self {
            server: shared.server,
            start: shared.start,
            sent: now - shared.sent.max(shared.ended),
            ended: now - shared.ended,
            copies: Vec::new(),
        };
        end.add_copies(&shared.copies);
        end
    }

    /// Returns what identifies the end: a start of a server ends once.
    pub(crate) fn id(&self) -> (&ServerId, Incarnation) {
        (&self.server, self.start)
    }

    /// Whether several attempts at the request were under way at once.
    pub(crate) fn has_copies(&self) -> bool {
        has_copies(&self.copies)
    }

    /// Adds an attempt that arrived at some time and is under way; returns whether that changes anything.
    pub(crate) fn add_attempt(
        &mut self,
        now: Moment,
        attempt: AttemptHash,
        arrived: Moment,
    ) -> bool {
        let checks = (0..COPY_CHECKS).filter(|check| {
            let at = self.ended + COPY_CHECK_INTERVAL.times(u64::from(*check));
            arrived + COPY_MARGIN <= at && at <= now
        });
        let copies: Vec<AttemptAt> = checks.map(|check| AttemptAt { check, attempt }).collect();
        self.add_copies(&copies)
    }

    /// Adds attempts that were under way; returns whether that changes anything. Once there are several at one check,
    /// no more are kept, so that few changes are sent to other processes.
    fn add_copies(&mut self, copies: &[AttemptAt]) -> bool {
        if self.has_copies() {
            return false;
        }
        let known = self.copies.len();
        for copy in copies.iter().take(MAX_COPIES) {
            if !self.copies.contains(copy) {
                self.copies.push(*copy);
            }
        }
        self.copies.sort_unstable();
        self.copies.len() > known
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

    /// Adds an end; returns whether it or one of its attempts was not known, and it is among the last ones.
    pub(crate) fn add_end(&mut self, end: End) -> bool {
        if let Some(known) = self.ends.iter_mut().find(|known| known.id() == end.id()) {
            return known.add_copies(&end.copies);
        }
        let at = self.ends.partition_point(|e| e.ended <= end.ended);
        self.ends.insert(at, end);
        if self.ends.len() <= MAX_ENDS {
            return true;
        }
        self.ends.remove(0);
        at > 0
    }

    /// Records that an attempt at the request is under way; returns whether that changes some end.
    pub(crate) fn add_attempt(
        &mut self,
        now: Moment,
        attempt: AttemptHash,
        arrived: Moment,
    ) -> bool {
        let mut changed = false;
        for end in &mut self.ends {
            changed |= end.add_attempt(now, attempt, arrived);
        }
        changed
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

    /// Whether the record is shared with all processes.
    pub(crate) fn is_shared(&self) -> bool {
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
        // A request that came in copies is tried again at times, and must not begin anew then.
        let is_long = verdict == CrashVerdict::Quarantined || self.ends.iter().any(End::has_copies);
        let retention = match is_long {
            true => QUARANTINE_RETENTION,
            false => SUSPECT_RETENTION,
        };
        self.last_end() + retention
    }

    pub(crate) fn to_record(&self, now: Moment, cause: Fingerprint) -> CrashRecord {
        let ends = self.ends.iter().map(|end| ServerEnd {
            server: end.server.clone(),
            start: end.start,
            sent: now.since(end.sent),
            ended: now.since(end.ended),
            copies: end.copies.clone(),
        });
        CrashRecord {
            cause,
            scope: self.scope,
            ends: ends.collect(),
            survived: self.survived.map(|at| now.since(at)),
        }
    }
}
