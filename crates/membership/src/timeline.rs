//! The timeline: the events of many processes in causal order, with bounded memory.
//!
//! Each process returns its events in pages, the oldest first. [`Merge`] holds one page of each
//! process and returns the earliest record. It needs the next page of a process only when the last
//! one is used up, so it holds at most one page per process, however long the rings are.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use snipemast_core::data;
use snipemast_core::prelude::*;

data! {
    /// A request for a page of a process's events.
    pub struct PageRequest {
        /// Only events after this stamp.
        pub after: Stamp,
        /// At most this many events.
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
        /// Whether later events follow.
        pub more: bool,
        /// The stamp of the oldest event that the process still has.
        pub oldest: Stamp,
    }
}

/// How many records one page may have.
pub const MAX_PAGE_RECORDS: u32 = 512;

impl Page {
    /// Returns the requested page of a ring.
    pub fn answer(ring: &Ring, request: &PageRequest) -> Self {
        let limit = request.limit.clamp(1, MAX_PAGE_RECORDS) as usize;
        let (records, more) = ring.page(request.after, limit, request.about.as_deref());
        Self {
            process: ring.process().clone(),
            records,
            more,
            oldest: ring.oldest(),
        }
    }
}

/// The next step of a merge.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Next {
    /// The next event.
    Record(Box<Record>),
    /// The next event is unknown until a page of this source has arrived or the source was given
    /// up.
    Need {
        /// The index of the source.
        source: usize,
        /// The stamp that the page starts after.
        after: Stamp,
    },
    /// There are no more events.
    End,
}

/// A process whose events are missing, all of them or from some point on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Missing {
    /// The process.
    pub process: String,
    /// The stamp of the last event that was received from it.
    pub last: Stamp,
    /// What its peers recorded about it, the latest last.
    pub seen: Vec<Record>,
}

/// How many records of its peers are kept for each missing process.
const MAX_SEEN: usize = 8;

/// A merge of the events of many sources.
#[derive(Debug)]
pub struct Merge {
    sources: Vec<Source>,
    /// The first record of each source that has one.
    heads: BinaryHeap<Reverse<(Stamp, ProcessId, usize)>>,
    /// The sources whose next page is needed.
    waiting: VecDeque<usize>,
    lost: BTreeMap<usize, Missing>,
}

#[derive(Debug)]
struct Source {
    name: String,
    records: VecDeque<Record>,
    more: bool,
    /// The stamp of the last record that was returned.
    last: Stamp,
}

impl Merge {
    /// Creates a merge of the processes with these names, without any pages yet.
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

    /// Adds a page of a source.
    pub fn feed(&mut self, source: usize, page: Page) {
        self.waiting.retain(|s| *s != source);
        let slot = &mut self.sources[source];
        let after = slot.last;
        // A source that sends the same events again would never end.
        slot.records = page
            .records
            .into_iter()
            .filter(|r| r.stamp > after)
            .collect();
        slot.more = page.more && !slot.records.is_empty();
        self.queue(source);
    }

    /// Gives up a source that can't be reached.
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

    /// Returns the sources whose next page is needed now; the pages can be requested at once.
    pub fn needed(&self) -> impl Iterator<Item = (usize, Stamp)> + '_ {
        self.waiting.iter().map(|s| (*s, self.sources[*s].last))
    }

    /// Returns the next event, or the source whose page is needed first.
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
        self.record_sighting(&record);
        Next::Record(Box::new(record))
    }

    /// Returns the processes that could not be reached, and what their peers recorded about them.
    ///
    /// Failure guarded against: the ring of a dead process is lost, and the timeline looks as if
    /// nothing had happened there. Its peers recorded when it stopped answering.
    pub fn missing(&self) -> impl Iterator<Item = &Missing> {
        self.lost.values()
    }

    /// Returns how many records are held, at most one page per source.
    pub fn buffered(&self) -> usize {
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

    fn record_sighting(&mut self, record: &Record) {
        for missing in self.lost.values_mut() {
            if is_about(&record.subject, &missing.process) {
                if missing.seen.len() == MAX_SEEN {
                    missing.seen.remove(0);
                }
                missing.seen.push(record.clone());
            }
        }
    }
}

/// Whether a subject names the process, or its host without the incarnation.
fn is_about(subject: &str, process: &str) -> bool {
    let host = |text: &str| text.split(':').next().unwrap_or_default().to_string();
    !subject.is_empty() && (subject == process || host(subject) == host(process))
}
