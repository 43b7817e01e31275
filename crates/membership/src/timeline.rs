//! The time line: the events of many processes in causal order, with bounded memory.
//!
//! Each process gives its events by pages, oldest first. [`Merge`] holds one page of each and
//! gives the earliest record; it asks for the next page of a process only when that is used up.
//! So the memory is that of one page a process, however long the rings are.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use snipemast_core::data;
use snipemast_core::prelude::*;

data! {
    /// Asks a process for a page of its events.
    pub struct PageRequest {
        /// Only events after this one.
        pub after: Stamp,
        /// At most this many.
        pub limit: u32,
        /// Only events that name this request, patch, group or process.
        pub about: Option<String>,
    }

    /// A page of a process's events, oldest first.
    pub struct Page {
        /// The process.
        pub process: ProcessId,
        /// The events.
        pub records: Vec<Record>,
        /// Whether later ones follow.
        pub more: bool,
        /// The oldest event that the process still has.
        pub oldest: Stamp,
    }
}

/// The most records of one page.
pub const MAX_PAGE_RECORDS: u32 = 512;

impl Page {
    /// The page of a ring that was asked for.
    pub fn answer(ring: &Ring, ask: &PageRequest) -> Self {
        let limit = ask.limit.clamp(1, MAX_PAGE_RECORDS) as usize;
        let (records, more) = ring.page(ask.after, limit, ask.about.as_deref());
        Self {
            process: ring.process().clone(),
            records,
            more,
            oldest: ring.oldest(),
        }
    }
}

/// What a merge can do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Next {
    /// This is the next event.
    Record(Box<Record>),
    /// Nothing is certain before a page of this source has come, or the source was given up.
    Need {
        /// The source, by its place.
        source: usize,
        /// The stamp that the page starts after.
        after: Stamp,
    },
    /// There are no more events.
    End,
}

/// A process whose events are missing, wholly or from a point on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Missing {
    /// The process.
    pub process: String,
    /// The last event that was had from it.
    pub last: Stamp,
    /// What its peers recorded about it, latest last.
    pub seen: Vec<Record>,
}

/// How many of its peers' records are kept for each missing process.
const MAX_SEEN: usize = 8;

/// A merge over many sources.
#[derive(Debug)]
pub struct Merge {
    sources: Vec<Source>,
    heads: BinaryHeap<Reverse<(Stamp, ProcessId, usize)>>,
    waiting: VecDeque<usize>,
    lost: BTreeMap<usize, Missing>,
}

#[derive(Debug)]
struct Source {
    name: String,
    records: VecDeque<Record>,
    more: bool,
    last: Stamp,
}

impl Merge {
    /// A merge over processes that are named like this; no page has come yet.
    pub fn new(names: impl IntoIterator<Item = String>) -> Self {
        let source = |name| Source {
            name,
            records: VecDeque::new(),
            more: true,
            last: Stamp::default(),
        };
        let sources: Vec<_> = names.into_iter().map(source).collect();
        Self {
            waiting: (0..sources.len()).collect(),
            sources,
            heads: BinaryHeap::new(),
            lost: BTreeMap::new(),
        }
    }

    /// Takes a page of a source.
    pub fn feed(&mut self, source: usize, page: Page) {
        self.waiting.retain(|s| *s != source);
        let slot = &mut self.sources[source];
        let after = slot.last;
        // A source that answers with what was had already would never end.
        slot.records = page
            .records
            .into_iter()
            .filter(|r| r.stamp > after)
            .collect();
        slot.more = page.more && !slot.records.is_empty();
        self.queue(source);
    }

    /// Gives a source up: it can't be reached.
    pub fn give_up(&mut self, source: usize) {
        self.waiting.retain(|s| *s != source);
        let slot = &mut self.sources[source];
        slot.more = false;
        let missing = Missing {
            process: slot.name.clone(),
            last: slot.last,
            seen: Vec::new(),
        };
        self.lost.insert(source, missing);
    }

    /// The sources whose next page is needed now; they can be asked at once.
    pub fn needed(&self) -> impl Iterator<Item = (usize, Stamp)> + '_ {
        self.waiting.iter().map(|s| (*s, self.sources[*s].last))
    }

    /// The next event, or whose page is needed first.
    pub fn step(&mut self) -> Next {
        if let Some(source) = self.waiting.front() {
            let after = self.sources[*source].last;
            return Next::Need {
                source: *source,
                after,
            };
        }
        let Some(Reverse((_, _, source))) = self.heads.pop() else {
            return Next::End;
        };
        let slot = &mut self.sources[source];
        let Some(record) = slot.records.pop_front() else {
            return Next::End;
        };
        slot.last = record.stamp;
        self.queue(source);
        self.witness(&record);
        Next::Record(Box::new(record))
    }

    /// The processes that could not be reached, and what their peers saw of them.
    ///
    /// Failure guarded against: a process that died takes its ring along, and the time line reads
    /// as if nothing had happened there. Its peers recorded when it stopped answering.
    pub fn missing(&self) -> impl Iterator<Item = &Missing> {
        self.lost.values()
    }

    /// How many records are held; never more than one page a source.
    pub fn held(&self) -> usize {
        self.sources.iter().map(|s| s.records.len()).sum()
    }

    fn queue(&mut self, source: usize) {
        let slot = &self.sources[source];
        match slot.records.front() {
            Some(record) => {
                let head = (record.stamp, record.process.clone(), source);
                self.heads.push(Reverse(head));
            }
            None if slot.more => self.waiting.push_back(source),
            None => {}
        }
    }

    fn witness(&mut self, record: &Record) {
        for missing in self.lost.values_mut() {
            if names(&record.subject, &missing.process) {
                if missing.seen.len() == MAX_SEEN {
                    missing.seen.remove(0);
                }
                missing.seen.push(record.clone());
            }
        }
    }
}

/// Whether a subject is the process, or its host without the incarnation.
fn names(subject: &str, process: &str) -> bool {
    let host = |text: &str| text.split(':').next().unwrap_or_default().to_string();
    !subject.is_empty() && (subject == process || host(subject) == host(process))
}
