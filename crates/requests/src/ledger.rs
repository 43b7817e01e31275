//! An agent's memory of dispatches, bounded in time and memory.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use snipemast_core::prelude::*;

use crate::answer::{AttemptStatus, Failure, Frame, Part, RefusalReason, Tag};
use crate::kept::Kept;

/// How long an id is remembered beyond the last moment its sender may use it.
///
/// It covers clocks that run at slightly different speeds.
const MARGIN: Span = Span::from_secs(5);

/// What a ledger may hold.
#[derive(Debug, Clone, Copy)]
pub struct LedgerLimits {
    /// Dispatches that are remembered.
    pub entries: usize,
    /// Bytes of answers that are kept in all.
    pub bytes: usize,
    /// Bytes of one answer that are kept.
    pub answer_bytes: usize,
}

/// A dispatch that arrives.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// The attempt.
    pub id: DispatchId,
    /// The agent it is addressed to.
    pub agent: ProcessId,
    /// The time left to its deadline.
    pub left: Span,
    /// How long it must be remembered at least.
    pub keep: Span,
    /// Whether it is suspected of crashing backend servers.
    pub suspect: bool,
}

/// What to do with a dispatch that arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ArrivalOutcome {
    /// Run it: it is the first of its id.
    Run,
    /// Answer from what the ledger keeps: it has run or runs.
    Attach,
    /// Refuse it: this arrival did not run.
    Refused(RefusalReason),
}

/// What a reader of an answer gets next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Read {
    /// This part.
    Part(Part),
    /// Nothing yet.
    Wait,
}

/// How far a reader of an answer has come.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReadPosition {
    /// Whether it has the head.
    pub head: bool,
    /// The bytes of the body that it has.
    pub offset: u64,
}

#[derive(Debug)]
enum State {
    Running,
    Finished(LoadReport),
    Failed(Failure),
    Refused(RefusalReason),
}

#[derive(Debug)]
struct Entry {
    state: State,
    kept: Kept,
    until: Moment,
    suspect: bool,
    order: Option<u64>,
}

/// The ids below which an entry host's dispatches are no longer told apart.
type Floor = (Incarnation, u64);

/// An agent's memory of dispatches.
///
/// Failure guarded against: a dispatch that arrives twice, or after its sender gave it up. It
/// shows as a second run of a request. Three things hold against it: an id that is known
/// attaches or is refused; an id is remembered until its sender's deadline has passed; and
/// forgetting an id raises its entry's floor, under which nothing runs any more, so that not
/// even a message that was under way for hours brings a forgotten id back to life.
#[derive(Debug)]
pub struct Ledger {
    own: ProcessId,
    limits: LedgerLimits,
    draining: bool,
    entries: HashMap<DispatchId, Entry>,
    expiry: BTreeSet<(Moment, DispatchId)>,
    floors: HashMap<HostId, Floor>,
    ended: BTreeMap<u64, DispatchId>,
    order: u64,
    bytes: usize,
}

impl Ledger {
    /// An empty ledger of this agent.
    pub fn new(own: ProcessId, limits: LedgerLimits) -> Self {
        Self {
            own,
            limits,
            draining: false,
            entries: HashMap::new(),
            expiry: BTreeSet::new(),
            floors: HashMap::new(),
            ended: BTreeMap::new(),
            order: 0,
            bytes: 0,
        }
    }

    /// Refuses new dispatches from now on.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Bounds what the ledger may hold from now on.
    pub fn set_limits(&mut self, limits: LedgerLimits) {
        self.limits = limits;
        self.shed();
    }

    /// Takes a dispatch that arrives.
    pub fn arrive(&mut self, now: Moment, arrival: &Arrival) -> ArrivalOutcome {
        if arrival.agent != self.own {
            return ArrivalOutcome::Refused(RefusalReason::Incarnation);
        }
        if let Some(entry) = self.entries.get(&arrival.id) {
            return match entry.state {
                State::Refused(reason) => ArrivalOutcome::Refused(reason),
                State::Running | State::Finished(_) | State::Failed(_) => ArrivalOutcome::Attach,
            };
        }
        self.expire(now);
        if let Some(reason) = self.refusal(arrival) {
            if reason == RefusalReason::Full {
                // A refusal binds: a second copy must not run once there is room again.
                self.raise(&arrival.id);
            }
            return ArrivalOutcome::Refused(reason);
        }
        let until = now + arrival.left.max(arrival.keep) + MARGIN;
        self.insert(&arrival.id, State::Running, until, arrival.suspect);
        ArrivalOutcome::Run
    }

    fn refusal(&self, arrival: &Arrival) -> Option<RefusalReason> {
        if self.is_below(&arrival.id) {
            Some(RefusalReason::Expired)
        } else if self.draining {
            Some(RefusalReason::Draining)
        } else if arrival.left == Span::default() {
            Some(RefusalReason::Late)
        } else if self.entries.len() >= self.limits.entries {
            Some(RefusalReason::Full)
        } else {
            None
        }
    }

    /// Says what became of a dispatch, and bars it first where it never arrived.
    ///
    /// Failure guarded against: a dispatch that is still under way while its sender asks. It
    /// shows as a run after "not run" was said. The id is barred before the answer is given, so
    /// its late arrival is refused.
    pub fn settle(
        &mut self,
        now: Moment,
        id: &DispatchId,
        agent: &ProcessId,
        keep: Span,
    ) -> AttemptStatus {
        if *agent != self.own {
            return AttemptStatus::Gone;
        }
        if let Some(entry) = self.entries.get(id) {
            return match entry.state {
                State::Running => AttemptStatus::Running,
                State::Finished(_) => AttemptStatus::Finished,
                State::Failed(reason) => AttemptStatus::Failed(reason),
                State::Refused(_) => AttemptStatus::Barred,
            };
        }
        if self.is_below(id) {
            return AttemptStatus::Forgotten;
        }
        self.expire(now);
        if self.entries.len() < self.limits.entries {
            let barred = State::Refused(RefusalReason::Barred);
            self.insert(id, barred, now + keep + MARGIN, false);
        } else {
            // A full ledger bars by the floor, which takes no memory.
            self.raise(id);
        }
        AttemptStatus::Barred
    }

    /// Sets the head of a running answer.
    pub fn set_head(&mut self, id: &DispatchId, status: u16, headers: Vec<crate::Header>) {
        if let Some(entry) = self.running(id) {
            entry.kept.set_head(status, headers);
        }
    }

    /// Adds a piece to a running answer; false where it was stopped meanwhile.
    pub fn append(&mut self, id: &DispatchId, piece: &[u8]) -> bool {
        let bound = self.limits.answer_bytes;
        let Some(entry) = self.running(id) else {
            return false;
        };
        let dropped = entry.kept.append(piece, bound);
        self.bytes = self.bytes + piece.len() - dropped;
        self.shed();
        true
    }

    /// Ends a running answer as whole.
    pub fn finish(&mut self, id: &DispatchId, load: LoadReport) {
        self.end(id, State::Finished(load));
    }

    /// Ends a running dispatch as failed.
    pub fn fail(&mut self, id: &DispatchId, reason: Failure) {
        self.end(id, State::Failed(reason));
    }

    /// Ends a running dispatch that surely never reached the backend server.
    pub fn refuse(&mut self, id: &DispatchId, reason: RefusalReason) {
        self.end(id, State::Refused(reason));
    }

    /// Stops a dispatch that nobody waits for; one that never arrived is barred.
    pub fn cancel(
        &mut self,
        now: Moment,
        id: &DispatchId,
        agent: &ProcessId,
        keep: Span,
    ) -> AttemptStatus {
        let settled = self.settle(now, id, agent, keep);
        self.fail(id, Failure::Cancelled);
        settled
    }

    /// Whether a dispatch is remembered.
    pub fn is_known(&self, id: &DispatchId) -> bool {
        self.entries.contains_key(id)
    }

    /// Whether a dispatch runs.
    pub fn is_running(&self, id: &DispatchId) -> bool {
        let entry = self.entries.get(id);
        entry.is_some_and(|e| matches!(e.state, State::Running))
    }

    /// Whether a suspect runs.
    pub fn has_suspect(&self) -> bool {
        let runs = |e: &Entry| e.suspect && matches!(e.state, State::Running);
        self.entries.values().any(runs)
    }

    /// The length of an answer's body so far.
    pub fn body_length(&self, id: &DispatchId) -> u64 {
        self.entries.get(id).map_or(0, |e| e.kept.total())
    }

    /// What comes next for a reader at this place.
    pub fn read(&self, id: &DispatchId, place: ReadPosition, limit: usize) -> Read {
        let Some(entry) = self.entries.get(id) else {
            let reason = RefusalReason::Unknown;
            return Read::Part(Part::Refused { reason });
        };
        if let (false, Some((status, headers))) = (place.head, entry.kept.head()) {
            let (status, headers) = (*status, headers.clone());
            return Read::Part(Part::Head { status, headers });
        }
        match entry.kept.read(place.offset, limit) {
            Some([]) => ending(entry),
            Some(bytes) => Read::Part(Part::Data {
                offset: place.offset,
                bytes: bytes.to_vec(),
            }),
            None => Read::Part(Part::Failed {
                reason: Failure::Dropped,
            }),
        }
    }

    /// What comes next for a reader, as a frame.
    pub fn next_frame(&self, id: &DispatchId, place: ReadPosition, limit: usize) -> Option<Frame> {
        match self.read(id, place, limit) {
            Read::Part(part) => Some(Frame::new(Tag::for_dispatch(id), part)),
            Read::Wait => None,
        }
    }

    /// Forgets the dispatches that no sender may use any more.
    pub fn expire(&mut self, now: Moment) {
        while let Some((until, id)) = self.expiry.first().cloned() {
            if until > now {
                return;
            }
            self.expiry.pop_first();
            // A run that outlives its deadline is stopped by its shell; until then it is known.
            if self.is_running(&id) {
                self.expiry.insert((now + MARGIN, id));
                continue;
            }
            self.forget(&id);
        }
    }

    /// How many dispatches are remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// How many dispatches run.
    pub fn count_running(&self) -> usize {
        let runs = |e: &&Entry| matches!(e.state, State::Running);
        self.entries.values().filter(runs).count()
    }

    /// Bytes of answers that are kept.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    fn running(&mut self, id: &DispatchId) -> Option<&mut Entry> {
        let entry = self.entries.get_mut(id)?;
        matches!(entry.state, State::Running).then_some(entry)
    }

    fn end(&mut self, id: &DispatchId, state: State) {
        let order = self.order;
        if let Some(entry) = self.running(id) {
            entry.state = state;
            entry.order = Some(order);
            self.order += 1;
            self.ended.insert(order, id.clone());
        }
    }

    fn insert(&mut self, id: &DispatchId, state: State, until: Moment, suspect: bool) {
        self.expiry.insert((until, id.clone()));
        let entry = Entry {
            state,
            kept: Kept::default(),
            until,
            suspect,
            order: None,
        };
        self.entries.insert(id.clone(), entry);
    }

    fn forget(&mut self, id: &DispatchId) {
        if let Some(entry) = self.entries.remove(id) {
            self.bytes -= entry.kept.size();
            self.expiry.remove(&(entry.until, id.clone()));
            if let Some(order) = entry.order {
                self.ended.remove(&order);
            }
            self.raise(id);
        }
    }

    fn is_below(&self, id: &DispatchId) -> bool {
        let place = (id.entry.incarnation, id.counter);
        let floor = self.floors.get(&id.entry.host);
        floor.is_some_and(|floor| place <= *floor)
    }

    fn raise(&mut self, id: &DispatchId) {
        let place = (id.entry.incarnation, id.counter);
        match self.floors.get_mut(&id.entry.host) {
            Some(floor) => *floor = place.max(*floor),
            None => {
                self.floors.insert(id.entry.host.clone(), place);
            }
        }
    }

    /// Drops the oldest finished answers while over the bound; their ids stay.
    fn shed(&mut self) {
        while self.bytes > self.limits.bytes {
            let Some((_, id)) = self.ended.pop_first() else {
                return;
            };
            if let Some(entry) = self.entries.get_mut(&id) {
                self.bytes -= entry.kept.drop_bytes();
            }
        }
    }
}

/// What comes behind the last byte.
fn ending(entry: &Entry) -> Read {
    match entry.state {
        State::Running => Read::Wait,
        State::Finished(load) => Read::Part(Part::End {
            total: entry.kept.total(),
            checksum: entry.kept.checksum(),
            load,
        }),
        State::Failed(reason) => Read::Part(Part::Failed { reason }),
        State::Refused(reason) => Read::Part(Part::Refused { reason }),
    }
}
