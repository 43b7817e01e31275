//! The dispatches that an agent remembers, bounded in time and memory.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use snipemast_core::prelude::*;

use crate::answer::{AttemptStatus, Failure, Frame, Part, RefusalReason, Tag};
use crate::kept::KeptAnswer;

/// How long an id is remembered after the last moment at which its sender may use it.
///
/// The margin covers clocks that run at slightly different speeds.
const EXPIRY_MARGIN: Span = Span::from_secs(5);

/// The bounds of a ledger.
#[derive(Debug, Clone, Copy)]
pub struct LedgerLimits {
    /// The most dispatches that are remembered.
    pub entries: usize,
    /// The most bytes of answers that are kept in total.
    pub bytes: usize,
    /// The most bytes of one answer that are kept.
    pub answer_bytes: usize,
}

/// A dispatch that arrives at an agent.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// The attempt.
    pub id: DispatchId,
    /// The agent process that the dispatch is addressed to.
    pub agent: ProcessId,
    /// The time left until its deadline.
    pub left: Span,
    /// The time for which the dispatch must be remembered at least.
    pub keep: Span,
    /// Whether the request is suspected of crashing backend servers.
    pub suspect: bool,
}

/// What the agent has to do with a dispatch that arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ArrivalOutcome {
    /// Run the dispatch, as it is the first with its id.
    Run,
    /// Answer from what the ledger keeps, as the dispatch already runs or ran.
    Attach,
    /// Refuse the dispatch. This arrival did not run.
    Refused(RefusalReason),
}

/// What a reader of an answer gets next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The next part of the answer.
    Part(Part),
    /// Nothing yet, as the answer has not grown.
    Wait,
}

/// How much of an answer a reader has got.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReadPosition {
    /// Whether the reader has the head.
    pub head: bool,
    /// The number of bytes of the body that the reader has.
    pub offset: u64,
}

/// The state of a dispatch that is remembered.
#[derive(Debug)]
enum State {
    Running,
    Finished(LoadReport),
    Failed(Failure),
    Refused(RefusalReason),
}

/// A dispatch that is remembered.
#[derive(Debug)]
struct Entry {
    state: State,
    kept: KeptAnswer,
    /// When the dispatch may be forgotten.
    until: Moment,
    suspect: bool,
    /// The position of the dispatch among those that have ended.
    end_order: Option<u64>,
}

/// The highest forgotten id of an entry host. No id up to it may run.
type Floor = (Incarnation, u64);

/// The dispatches that an agent remembers, with their answers.
///
/// It guards against a dispatch that arrives twice, or after its sender gave it up, which would
/// run the request a second time. Three rules prevent that:
///
/// - A dispatch whose id is known attaches to the first one or is refused.
/// - An id is remembered until its sender's deadline has passed.
/// - Forgetting an id raises the floor of its entry, and no id up to the floor runs any more. A
///   message that was delayed for hours can't run a forgotten id again.
#[derive(Debug)]
pub struct Ledger {
    own: ProcessId,
    limits: LedgerLimits,
    draining: bool,
    entries: HashMap<DispatchId, Entry>,
    expiry: BTreeSet<(Moment, DispatchId)>,
    /// The highest forgotten id of each entry host.
    floors: HashMap<HostId, Floor>,
    /// The dispatches that have ended, the oldest first.
    ended: BTreeMap<u64, DispatchId>,
    next_end_order: u64,
    bytes: usize,
}

impl Ledger {
    /// Creates an empty ledger of this agent.
    pub fn new(own: ProcessId, limits: LedgerLimits) -> Self {
        Self {
            own,
            limits,
            draining: false,
            entries: HashMap::new(),
            expiry: BTreeSet::new(),
            floors: HashMap::new(),
            ended: BTreeMap::new(),
            next_end_order: 0,
            bytes: 0,
        }
    }

    /// Refuses new dispatches from now on.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Changes the bounds of the ledger and drops answers that are over them.
    pub fn set_limits(&mut self, limits: LedgerLimits) {
        self.limits = limits;
        self.drop_old_answers();
    }

    /// Records a dispatch that arrives and returns what to do with it.
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
                // A refusal is final: a second copy must not run once there is room again.
                self.raise_floor(&arrival.id);
            }
            return ArrivalOutcome::Refused(reason);
        }
        let until = now + arrival.left.max(arrival.keep) + EXPIRY_MARGIN;
        self.insert(&arrival.id, State::Running, until, arrival.suspect);
        ArrivalOutcome::Run
    }

    /// Returns the reason to refuse a dispatch that is not known yet, if there is one.
    fn refusal(&self, arrival: &Arrival) -> Option<RefusalReason> {
        if self.is_below_floor(&arrival.id) {
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

    /// Returns the status of a dispatch, and bars its id first if it never arrived.
    ///
    /// It guards against a dispatch that is still under way while its sender asks, and that would
    /// run after the agent has reported that it did not. The id is barred before the status is
    /// returned, so the late arrival is refused.
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
        if self.is_below_floor(id) {
            return AttemptStatus::Forgotten;
        }
        self.expire(now);
        if self.entries.len() < self.limits.entries {
            let barred = State::Refused(RefusalReason::Barred);
            self.insert(id, barred, now + keep + EXPIRY_MARGIN, false);
        } else {
            // A full ledger bars the id by raising the floor, which takes no memory.
            self.raise_floor(id);
        }
        AttemptStatus::Barred
    }

    /// Sets the head of the answer of a running dispatch.
    pub fn set_head(&mut self, id: &DispatchId, status: u16, headers: Vec<crate::Header>) {
        if let Some(entry) = self.running_entry(id) {
            entry.kept.set_head(status, headers);
        }
    }

    /// Adds a piece to the answer of a running dispatch.
    ///
    /// Returns false if the dispatch was stopped in the meantime.
    pub fn append(&mut self, id: &DispatchId, piece: &[u8]) -> bool {
        let bound = self.limits.answer_bytes;
        let Some(entry) = self.running_entry(id) else {
            return false;
        };
        let dropped = entry.kept.append(piece, bound);
        self.bytes = self.bytes + piece.len() - dropped;
        self.drop_old_answers();
        true
    }

    /// Ends a running dispatch whose answer is whole.
    pub fn finish(&mut self, id: &DispatchId, load: LoadReport) {
        self.end(id, State::Finished(load));
    }

    /// Ends a running dispatch that failed.
    pub fn fail(&mut self, id: &DispatchId, reason: Failure) {
        self.end(id, State::Failed(reason));
    }

    /// Ends a running dispatch that certainly never reached the backend server.
    pub fn refuse(&mut self, id: &DispatchId, reason: RefusalReason) {
        self.end(id, State::Refused(reason));
    }

    /// Stops a dispatch that nobody waits for, or bars its id if it never arrived.
    ///
    /// Returns the status of the dispatch before it was stopped.
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

    /// Returns whether a dispatch is remembered.
    pub fn is_known(&self, id: &DispatchId) -> bool {
        self.entries.contains_key(id)
    }

    /// Returns whether a dispatch runs.
    pub fn is_running(&self, id: &DispatchId) -> bool {
        let entry = self.entries.get(id);
        entry.is_some_and(|e| matches!(e.state, State::Running))
    }

    /// Returns whether a dispatch runs that is suspected of crashing backend servers.
    pub fn has_suspect(&self) -> bool {
        let runs = |e: &Entry| e.suspect && matches!(e.state, State::Running);
        self.entries.values().any(runs)
    }

    /// Returns the length of an answer's body so far, in bytes.
    pub fn body_length(&self, id: &DispatchId) -> u64 {
        self.entries.get(id).map_or(0, |e| e.kept.total())
    }

    /// Returns what a reader at this position gets next, with at most `limit` bytes of the body.
    pub fn read(&self, id: &DispatchId, progress: ReadPosition, limit: usize) -> ReadOutcome {
        let Some(entry) = self.entries.get(id) else {
            let reason = RefusalReason::Unknown;
            return ReadOutcome::Part(Part::Refused { reason });
        };
        if let (false, Some((status, headers))) = (progress.head, entry.kept.head()) {
            let (status, headers) = (*status, headers.clone());
            return ReadOutcome::Part(Part::Head { status, headers });
        }
        match entry.kept.read(progress.offset, limit) {
            Some([]) => read_end(entry),
            Some(bytes) => ReadOutcome::Part(Part::Data {
                offset: progress.offset,
                bytes: bytes.to_vec(),
            }),
            None => ReadOutcome::Part(Part::Failed {
                reason: Failure::Dropped,
            }),
        }
    }

    /// Returns what a reader at this position gets next as a frame, or nothing if it has to wait.
    pub fn next_frame(
        &self,
        id: &DispatchId,
        progress: ReadPosition,
        limit: usize,
    ) -> Option<Frame> {
        match self.read(id, progress, limit) {
            ReadOutcome::Part(part) => Some(Frame::new(Tag::for_dispatch(id), part)),
            ReadOutcome::Wait => None,
        }
    }

    /// Forgets the dispatches that no sender may use any more.
    pub fn expire(&mut self, now: Moment) {
        while let Some((until, id)) = self.expiry.first().cloned() {
            if until > now {
                return;
            }
            self.expiry.pop_first();
            // The caller of the ledger stops a run that outlives its deadline. Until then the
            // dispatch must stay known.
            if self.is_running(&id) {
                self.expiry.insert((now + EXPIRY_MARGIN, id));
                continue;
            }
            self.forget(&id);
        }
    }

    /// Returns the number of dispatches that are remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no dispatch is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of dispatches that run.
    pub fn count_running(&self) -> usize {
        let runs = |e: &&Entry| matches!(e.state, State::Running);
        self.entries.values().filter(runs).count()
    }

    /// Returns the number of bytes of answers that are kept.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    fn running_entry(&mut self, id: &DispatchId) -> Option<&mut Entry> {
        let entry = self.entries.get_mut(id)?;
        matches!(entry.state, State::Running).then_some(entry)
    }

    fn end(&mut self, id: &DispatchId, state: State) {
        let end_order = self.next_end_order;
        if let Some(entry) = self.running_entry(id) {
            entry.state = state;
            entry.end_order = Some(end_order);
            self.next_end_order += 1;
            self.ended.insert(end_order, id.clone());
        }
    }

    fn insert(&mut self, id: &DispatchId, state: State, until: Moment, suspect: bool) {
        self.expiry.insert((until, id.clone()));
        let entry = Entry {
            state,
            kept: KeptAnswer::default(),
            until,
            suspect,
            end_order: None,
        };
        self.entries.insert(id.clone(), entry);
    }

    fn forget(&mut self, id: &DispatchId) {
        if let Some(entry) = self.entries.remove(id) {
            self.bytes -= entry.kept.size();
            self.expiry.remove(&(entry.until, id.clone()));
            if let Some(end_order) = entry.end_order {
                self.ended.remove(&end_order);
            }
            self.raise_floor(id);
        }
    }

    fn is_below_floor(&self, id: &DispatchId) -> bool {
        let id_order = (id.entry.incarnation, id.counter);
        let floor = self.floors.get(&id.entry.host);
        floor.is_some_and(|floor| id_order <= *floor)
    }

    fn raise_floor(&mut self, id: &DispatchId) {
        let id_order = (id.entry.incarnation, id.counter);
        match self.floors.get_mut(&id.entry.host) {
            Some(floor) => *floor = id_order.max(*floor),
            None => {
                self.floors.insert(id.entry.host.clone(), id_order);
            }
        }
    }

    /// Drops the oldest ended answers while the ledger is over its bound. Their ids stay known.
    fn drop_old_answers(&mut self) {
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

/// Returns what a reader gets after the last byte.
fn read_end(entry: &Entry) -> ReadOutcome {
    match entry.state {
        State::Running => ReadOutcome::Wait,
        State::Finished(load) => ReadOutcome::Part(Part::End {
            total: entry.kept.total(),
            checksum: entry.kept.checksum(),
            load,
        }),
        State::Failed(reason) => ReadOutcome::Part(Part::Failed { reason }),
        State::Refused(reason) => ReadOutcome::Part(Part::Refused { reason }),
    }
}
