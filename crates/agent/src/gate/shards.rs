//! The ledger in shards, each under its own lock, and the tasks to wake when it changes.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use async_channel::{Receiver, Sender};
use parking_lot::{Mutex, MutexGuard};

use snipemast_core::prelude::*;
use snipemast_requests::ledger::ReadPosition;
use snipemast_requests::{Arrival, ArrivalOutcome, AttemptStatus, Frame, Ledger, LedgerLimits};

/// The number of shards of a ledger.
const SHARD_COUNT: usize = 8;

/// Wakes a task, and remembers one wake-up that the task hasn't taken yet.
pub(super) type Waker = Sender<()>;

/// A ledger in shards, each under its own lock.
#[derive(Debug)]
pub struct Shards {
    clock: Clock,
    shards: Vec<Mutex<Shard>>,
}

/// One shard of the ledger, and the tasks to wake.
#[derive(Debug)]
pub(super) struct Shard {
    pub(super) ledger: Ledger,
    active: HashMap<DispatchId, ActiveDispatch>,
}

/// The tasks to wake for a dispatch: its work and the readers of its answer.
#[derive(Debug)]
struct ActiveDispatch {
    work: Waker,
    readers: Vec<(u32, Waker)>,
    /// The number of the reader that was attached last.
    last_number: u32,
    /// The highest offset that a reader has reached.
    furthest: u64,
    /// Whether a reader has reached the end.
    ended: bool,
}

/// How far the readers of an answer have come.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReaderProgress {
    /// Whether any reader is attached.
    pub(super) present: bool,
    /// The bytes that no reader has read yet.
    pub(super) unread: u64,
    /// Whether a reader has reached the end, or the dispatch is no longer active.
    pub(super) ended: bool,
}

impl Shards {
    /// Creates an empty ledger of this agent.
    pub fn new(own: &ProcessId, limits: LedgerLimits) -> Self {
        let limits = LedgerLimits {
            entries: limits.entries.div_ceil(SHARD_COUNT),
            bytes: limits.bytes.div_ceil(SHARD_COUNT),
            ..limits
        };
        let shard = || Shard {
            ledger: Ledger::new(own.clone(), limits),
            active: HashMap::new(),
        };
        Self {
            clock: Clock::new(),
            shards: (0..SHARD_COUNT).map(|_| Mutex::new(shard())).collect(),
        }
    }

    /// Refuses new dispatches from now on.
    pub fn drain(&self) {
        for shard in &self.shards {
            shard.lock().ledger.drain();
        }
    }

    /// Returns how many dispatches are remembered.
    pub fn len(&self) -> usize {
        self.shards.iter().map(|s| s.lock().ledger.len()).sum()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Enters a dispatch that arrives; where it should run, also returns the wake-ups of its work.
    pub(super) fn arrive(&self, arrival: &Arrival) -> (ArrivalOutcome, Option<Receiver<()>>) {
        let now = self.clock.now();
        let mut shard = self.lock_shard(&arrival.id);
        let arrived = shard.ledger.arrive(now, arrival);
        let work = (arrived == ArrivalOutcome::Run).then(|| shard.register_work(&arrival.id));
        (arrived, work)
    }

    /// Returns the status of a dispatch, and bars it first where it never arrived.
    pub fn settle(&self, id: &DispatchId, agent: &ProcessId, keep: Span) -> AttemptStatus {
        let now = self.clock.now();
        self.lock_shard(id).ledger.settle(now, id, agent, keep)
    }

    /// Stops a dispatch, and bars it where it never arrived.
    pub fn cancel(&self, id: &DispatchId, agent: &ProcessId, keep: Span) -> AttemptStatus {
        let now = self.clock.now();
        let mut shard = self.lock_shard(id);
        let settled = shard.ledger.cancel(now, id, agent, keep);
        shard.wake(id);
        settled
    }

    /// Registers a reader of an answer.
    pub(super) fn attach_reader(&self, id: &DispatchId) -> (u32, Receiver<()>) {
        let (waker, wakeups) = async_channel::bounded(1);
        let mut shard = self.lock_shard(id);
        let Some(active) = shard.active.get_mut(id) else {
            return (0, wakeups);
        };
        active.last_number += 1;
        let number = active.last_number;
        active.readers.push((number, waker));
        (number, wakeups)
    }

    /// Removes a reader of an answer.
    pub(super) fn detach_reader(&self, id: &DispatchId, number: u32, ended: bool) {
        let mut shard = self.lock_shard(id);
        if let Some(active) = shard.active.get_mut(id) {
            active.readers.retain(|(n, _)| *n != number);
            active.ended |= ended;
            notify(&active.work);
        }
    }

    /// Returns the next frame for a reader at this cursor.
    pub(super) fn next_frame(
        &self,
        id: &DispatchId,
        cursor: ReadPosition,
        limit: usize,
    ) -> Option<Frame> {
        let mut shard = self.lock_shard(id);
        if let Some(active) = shard.active.get_mut(id) {
            if active.furthest < cursor.offset {
                active.furthest = cursor.offset;
                notify(&active.work);
            }
        }
        shard.ledger.next_frame(id, cursor, limit)
    }

    /// Changes the ledger's entry of a dispatch and wakes its tasks.
    pub(super) fn update<T>(&self, id: &DispatchId, change: impl FnOnce(&mut Ledger) -> T) -> T {
        let mut shard = self.lock_shard(id);
        let result = change(&mut shard.ledger);
        shard.wake(id);
        result
    }

    /// Returns how far the readers of an answer have come.
    pub(super) fn reader_progress(&self, id: &DispatchId) -> ReaderProgress {
        let shard = self.lock_shard(id);
        let total = shard.ledger.body_length(id);
        let active = shard.active.get(id);
        ReaderProgress {
            present: active.is_some_and(|l| !l.readers.is_empty()),
            unread: total - active.map_or(total, |l| l.furthest.min(total)),
            ended: active.is_none_or(|l| l.ended),
        }
    }

    /// Whether the ledger knows a dispatch.
    pub(super) fn is_known(&self, id: &DispatchId) -> bool {
        self.lock_shard(id).ledger.is_known(id)
    }

    /// Whether a dispatch is still running.
    pub(super) fn is_running(&self, id: &DispatchId) -> bool {
        self.lock_shard(id).ledger.is_running(id)
    }

    /// Forgets the tasks to wake for a dispatch.
    pub(super) fn remove_tasks(&self, id: &DispatchId) {
        self.lock_shard(id).active.remove(id);
    }

    /// Forgets the dispatches that no sender may use any more.
    pub fn expire(&self) {
        for shard in &self.shards {
            shard.lock().ledger.expire(self.clock.now());
        }
    }

    /// Locks the shard of a dispatch.
    fn lock_shard(&self, id: &DispatchId) -> MutexGuard<'_, Shard> {
        let mut hasher = DefaultHasher::new();
        id.hash(&mut hasher);
        self.shards[hasher.finish() as usize % SHARD_COUNT].lock()
    }
}

impl Shard {
    /// Registers the work of a dispatch, and returns its wake-ups.
    fn register_work(&mut self, id: &DispatchId) -> Receiver<()> {
        let (work, wakeups) = async_channel::bounded(1);
        let active = ActiveDispatch {
            work,
            readers: Vec::new(),
            last_number: 0,
            furthest: 0,
            ended: false,
        };
        self.active.insert(id.clone(), active);
        wakeups
    }

    /// Wakes the work of a dispatch and the readers of its answer.
    fn wake(&self, id: &DispatchId) {
        if let Some(active) = self.active.get(id) {
            notify(&active.work);
            active.readers.iter().for_each(|(_, waker)| notify(waker));
        }
    }
}

/// Sends a wake-up, unless one is pending already.
fn notify(waker: &Waker) {
    // A full channel holds a pending wake-up, and a closed one has no task to wake.
    let _ = waker.try_send(());
}
