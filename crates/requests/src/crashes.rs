//! Requests whose servers ended, merged from what all processes saw.
//!
//! A request that crashes servers is recognized by the number of servers that ended under it. Other
//! requests that ran on the same servers are recognized by two signs: they complete at times, and
//! their servers ended all at the same moment.
//!
//! A part of prompts that crashes servers is found in the same records, one for each part that requests
//! share; `attribution` has the verdict on it.

use std::collections::{HashMap, HashSet};

use snipemast_core::prelude::*;

use crate::attribution::{Attribution, Candidate, Evidence};
use crate::claim::Fingerprint;
use crate::crash_record::{AttemptHash, CrashRecord, CrashVerdict, End, Record, Scope, MAX_ENDS};
use crate::survivals::Survivals;

/// The largest number of requests and parts that are kept.
pub const MAX_RECORDS: usize = 4_096;

/// The largest number of records in one message.
pub const MAX_SHARED: usize = 64;

/// Added to all times, because a process learns of servers that ended before its clock started.
const PAST: Span = Span::from_secs(30 * 86_400);

/// What of a request may crash the servers that run it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Causes {
    /// The whole request.
    pub request: Fingerprint,
    /// The parts of its prompt that other requests may share, in order.
    pub parts: Vec<Fingerprint>,
}

impl Causes {
    /// Returns the causes of a request whose prompt has no shared parts.
    pub fn new(request: Fingerprint) -> Self {
        Self {
            request,
            parts: Vec::new(),
        }
    }

    /// Adds the shared parts of the prompt, in order.
    pub fn with_parts(self, parts: Vec<Fingerprint>) -> Self {
        Self { parts, ..self }
    }
}

/// The requests whose servers ended and the parts that they share, as one process knows them.
///
/// Processes that exchange their records agree in the end, in whichever order they do: merging adds
/// the servers that ended and takes the later survival.
#[derive(Debug)]
pub struct CrashTable {
    records: HashMap<Fingerprint, Record>,
    /// The servers that ended last, under whichever requests.
    servers: Record,
    revision: u64,
    /// The revision at the last change of a record that other processes are told of.
    shared_revision: u64,
    /// The requests that completed lately, and the parts that survived.
    completed: Survivals,
    survived: Survivals,
    attribution: Attribution,
    /// Whether something changed that the attribution depends on.
    stale: bool,
}

impl Default for CrashTable {
    fn default() -> Self {
        Self::new()
    }
}

impl CrashTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self {
            records: HashMap::new(),
            servers: Record::new(Scope::Servers),
            revision: 0,
            shared_revision: 0,
            completed: Survivals::default(),
            survived: Survivals::default(),
            attribution: Attribution::default(),
            stale: false,
        }
    }

    /// Whether nothing is known. This is the usual case, which must be cheap.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the number of known requests and parts.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns the revision, which grows with each change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the revision at the last change of a record that other processes are told of.
    pub fn shared_revision(&self) -> u64 {
        self.shared_revision
    }

    /// Returns the verdict on a request or part by itself.
    pub fn verdict(&self, cause: &Fingerprint) -> CrashVerdict {
        let record = self.records.get(cause);
        record.map_or(CrashVerdict::Clear, |r| self.verdict_on(cause, r))
    }

    /// Returns whether a request may be sent to servers.
    pub fn verdict_for(&self, causes: &Causes) -> CrashVerdict {
        let parts = causes.parts.iter().map(|part| self.verdict(part));
        let worst = parts.max().unwrap_or(CrashVerdict::Clear);
        worst.max(self.verdict(&causes.request))
    }

    /// Returns which of the causes decides whether a request may be sent to servers.
    pub fn deciding_cause(&self, causes: &Causes) -> Fingerprint {
        let all = causes.parts.iter().chain([&causes.request]);
        let worst = all.max_by_key(|cause| self.verdict(cause));
        worst.copied().unwrap_or(causes.request)
    }

    /// Whether a cause is known as a part of prompts.
    pub fn is_part(&self, cause: &Fingerprint) -> bool {
        let scope = self.records.get(cause).map(|record| record.scope);
        matches!(scope, Some(Scope::Part(_)))
    }

    /// Returns the quarantined requests and parts.
    pub fn quarantined(&self) -> impl Iterator<Item = &Fingerprint> {
        self.at_least(CrashVerdict::Quarantined)
    }

    /// Returns the requests and parts on which the verdict is this one or a worse one.
    pub fn at_least(&self, verdict: CrashVerdict) -> impl Iterator<Item = &Fingerprint> {
        let records = self.records.iter();
        let found = records.filter(move |(c, r)| self.verdict_on(c, r) >= verdict);
        found.map(|(cause, _)| cause)
    }

    /// Returns when a verdict changes without news, if one does.
    pub fn next_change(&self) -> Option<Moment> {
        self.attribution
            .next_change
            .map(|at| Moment::ZERO + at.since(Moment::ZERO + PAST))
    }

    /// Brings the verdicts up to date if some change without news.
    pub fn refresh(&mut self, now: Moment) {
        let next = self.attribution.next_change;
        self.stale |= next.is_some_and(|at| at <= now + PAST);
        self.attribute(now);
    }

    /// Returns how much longer a request or part is remembered.
    pub fn time_left(&self, now: Moment, cause: &Fingerprint) -> Span {
        let record = self.records.get(cause);
        record.map_or_else(Span::default, |r| {
            (now + PAST).until(r.expiry(self.verdict_on(cause, r)))
        })
    }

    /// Returns what is known of a request or part.
    pub fn record(&self, now: Moment, cause: &Fingerprint) -> Option<CrashRecord> {
        let record = self.records.get(cause)?;
        Some(record.to_record(now + PAST, *cause))
    }

    /// Records that a start of a server ended under a request that was sent to it. Returns the causes of which
    /// that is news.
    ///
    /// The shared parts count only if the request was not seen to go on: what crashes servers does so when an answer
    /// begins.
    pub fn record_end(
        &mut self,
        now: Moment,
        causes: &Causes,
        server: &ServerId,
        run: EndedRun,
    ) -> Vec<Fingerprint> {
        let request = causes.request;
        let end = End {
            server: server.clone(),
            start: run.start,
            sent: run.sent + PAST,
            ended: run.ended + PAST,
            copies: Vec::new(),
        };
        let mut own = end.clone();
        own.add_attempt(now + PAST, run.attempt, run.arrived + PAST);
        let completed = self.completed.get(&request);
        let mut news = Vec::new();
        self.update(
            Fingerprint::default(),
            Scope::Servers,
            vec![end.clone()],
            None,
        );
        if self.update(request, Scope::Request, vec![own], completed) {
            news.push(request);
        }
        let parts: &[Fingerprint] = if run.went_on { &[] } else { &causes.parts };
        for (place, part) in parts.iter().enumerate() {
            let scope = Scope::Part(u8::try_from(place).unwrap_or(u8::MAX));
            let survived = self.survived.get(part);
            if self.update(*part, scope, vec![end.clone()], survived) {
                news.push(*part);
            }
        }
        self.attribute(now);
        news
    }

    /// Records that an attempt at a request is under way which arrived at some time. Returns whether that changes the
    /// record of a request under which several servers ended.
    ///
    /// A request that comes in several copies at once is no single caller's, who tries again only after a break.
    pub fn record_copy(
        &mut self,
        now: Moment,
        request: &Fingerprint,
        attempt: AttemptHash,
        arrived: Moment,
    ) -> bool {
        let Some(record) = self.records.get_mut(request).filter(|r| r.is_shared()) else {
            return false;
        };
        if !record.add_attempt(now + PAST, attempt, arrived + PAST) {
            return false;
        }
        self.revision += 1;
        record.changed = self.revision;
        self.shared_revision = self.revision;
        self.stale = true;
        self.attribute(now);
        true
    }

    /// Records that a request completed, which no request does that crashes servers. Returns whether
    /// that is news of a request that is known here.
    pub fn record_completion(&mut self, now: Moment, request: Fingerprint) -> bool {
        let at = now + PAST;
        self.completed.insert(at, request);
        let news = self.update(request, Scope::Request, Vec::new(), Some(at));
        self.attribute(now);
        news
    }

    /// Records that a server went on after an answer to a request had begun, so that no part of its prompt crashes
    /// servers. Returns the parts that are known here and of which that is news.
    pub fn record_survival(
        &mut self,
        now: Moment,
        causes: &Causes,
        begun: Moment,
    ) -> Vec<Fingerprint> {
        let begun = begun + PAST;
        let mut news = Vec::new();
        for (place, part) in causes.parts.iter().enumerate() {
            self.survived.insert(begun, *part);
            let scope = Scope::Part(u8::try_from(place).unwrap_or(u8::MAX));
            if self.update(*part, scope, Vec::new(), Some(begun)) {
                news.push(*part);
            }
        }
        self.attribute(now);
        news
    }

    /// Returns the records that changed after a revision, the earliest changes first, and the
    /// revision that they reach.
    pub fn since(&self, now: Moment, after: u64) -> (Vec<CrashRecord>, u64) {
        self.filter_since(now, after, self.revision, |_| true)
    }

    /// Returns the same, without the requests that only the process that collects the records needs.
    pub fn shared_since(&self, now: Moment, after: u64) -> (Vec<CrashRecord>, u64) {
        self.filter_since(now, after, self.shared_revision, Record::is_shared)
    }

    /// Returns the records of a kind that changed after a revision, of which `last` is the last one.
    fn filter_since(
        &self,
        now: Moment,
        after: u64,
        last: u64,
        include: impl Fn(&Record) -> bool,
    ) -> (Vec<CrashRecord>, u64) {
        let nothing = Fingerprint::default();
        let changed = self.records.iter().chain([(&nothing, &self.servers)]);
        let changed = changed.filter(|(_, r)| r.changed > after && include(r));
        let mut changed: Vec<_> = changed.collect();
        changed.sort_by_key(|(_, r)| r.changed);
        let reached = match changed.get(MAX_SHARED) {
            Some((_, next)) => next.changed - 1,
            None => last,
        };
        changed.truncate(MAX_SHARED);
        let told = changed
            .into_iter()
            .map(|(f, r)| r.to_record(now + PAST, *f));
        (told.collect(), reached)
    }

    /// Merges what another process told. Returns whether that is news.
    pub fn merge(&mut self, now: Moment, told: CrashRecord) -> bool {
        let news = self.merge_record(now + PAST, told);
        self.attribute(now);
        news
    }

    fn merge_record(&mut self, now: Moment, told: CrashRecord) -> bool {
        let ends = told.ends.into_iter().take(MAX_ENDS);
        let ends = ends.map(|end| End::from_shared(now, end));
        let known = match told.scope {
            Scope::Request => self.completed.get(&told.cause),
            Scope::Part(_) => self.survived.get(&told.cause),
            Scope::Servers => None,
        };
        let survived = told.survived.map(|ago| now - ago).max(known);
        self.update(told.cause, told.scope, ends.collect(), survived)
    }

    /// Forgets requests and parts whose last server ended long ago, and brings the verdicts up to date.
    pub fn forget(&mut self, now: Moment) {
        let verdicts = &self.attribution;
        let before = self.records.len();
        self.records
            .retain(|cause, record| now + PAST < record.expiry(verdict(verdicts, cause, record)));
        self.stale |= self.records.len() != before;
        self.refresh(now);
    }

    fn verdict_on(&self, cause: &Fingerprint, record: &Record) -> CrashVerdict {
        verdict(&self.attribution, cause, record)
    }

    /// Decides again which parts crash servers, if something changed that matters.
    fn attribute(&mut self, now: Moment) {
        if !std::mem::take(&mut self.stale) {
            return;
        }
        let candidates = self.records.iter().filter(|(_, r)| r.is_shared());
        let candidates = candidates.map(|(cause, record)| Candidate {
            cause: *cause,
            scope: record.scope,
            survived: record.survived.is_some(),
            ends: record.open_ends().collect(),
        });
        let (requests, parts) = candidates.partition(|c| c.scope == Scope::Request);
        let evidence = Evidence {
            parts,
            requests,
            servers: self.servers.open_ends().collect(),
        };
        if evidence.parts.is_empty() && evidence.requests.is_empty() {
            self.attribution = Attribution::default();
            return;
        }
        let requests = self.records.values().filter(|r| r.scope == Scope::Request);
        let crashing = requests.filter(|r| r.verdict() == CrashVerdict::Quarantined);
        let explained: HashSet<_> = crashing.flat_map(Record::open_ends).map(End::id).collect();
        self.attribution = Attribution::new(now + PAST, evidence, explained);
    }

    fn update(
        &mut self,
        cause: Fingerprint,
        scope: Scope,
        ends: Vec<End>,
        survived: Option<Moment>,
    ) -> bool {
        let record = match scope {
            Scope::Servers => &mut self.servers,
            Scope::Part(_) | Scope::Request => {
                if ends.is_empty() && !self.records.contains_key(&cause) {
                    return false;
                }
                let record = self.records.entry(cause);
                record.or_insert_with(|| Record::new(scope))
            }
        };
        let mut changed = false;
        for end in ends {
            changed |= record.add_end(end);
        }
        changed |= record.survive(survived);
        if changed {
            self.revision += 1;
            record.changed = self.revision;
            if record.is_shared() {
                self.shared_revision = self.revision;
                self.stale = true;
            }
            self.evict();
        }
        changed
    }

    /// Keeps the table bounded. The requests under which most servers ended stay, so that a flood of
    /// others doesn't push a quarantined one out.
    fn evict(&mut self) {
        while self.records.len() > MAX_RECORDS {
            let rank = |c, r: &Record| (self.verdict_on(c, r), r.ends.len(), r.last_end());
            let lowest = self.records.iter().min_by_key(|(c, r)| rank(c, r));
            let Some(lowest) = lowest.map(|(cause, _)| *cause) else {
                return;
            };
            self.records.remove(&lowest);
        }
    }
}

/// A run of a request whose server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndedRun {
    /// The start of the server.
    pub start: Incarnation,
    /// The attempt at the request.
    pub attempt: AttemptHash,
    /// When the attempt arrived.
    pub arrived: Moment,
    /// When the request was sent.
    pub sent: Moment,
    /// When the server ended.
    pub ended: Moment,
    /// Whether the server went on for a while after the answer had begun.
    pub went_on: bool,
}

fn verdict(attribution: &Attribution, cause: &Fingerprint, record: &Record) -> CrashVerdict {
    match record.scope {
        Scope::Request => record.verdict().max(attribution.verdict(cause)),
        Scope::Part(_) => attribution.verdict(cause),
        Scope::Servers => CrashVerdict::Clear,
    }
}
