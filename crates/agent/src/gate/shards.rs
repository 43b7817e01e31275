//! The ledger in shards, each under its own lock, with whom to wake.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use async_channel::{Receiver, Sender};
use parking_lot::{Mutex, MutexGuard};

use snipemast_core::prelude::*;
use snipemast_requests::ledger::ReadPosition;
use snipemast_requests::{Arrival, ArrivalOutcome, AttemptStatus, Frame, Ledger, LedgerLimits};

/// How many shards a ledger has.
const SHARDS: usize = 8;

/// A signal that remembers one ringing.
pub(super) type Signal = Sender<()>;

/// A ledger in shards.
#[derive(Debug)]
pub struct Shards {
    clock: Clock,
    shards: Vec<Mutex<Shard>>,
}

/// One shard of the ledger, and the tasks to wake.
#[derive(Debug)]
pub(super) struct Shard {
    pub(super) ledger: Ledger,
    live: HashMap<DispatchId, Live>,
}

/// Who works at a dispatch, and who reads its answer.
#[derive(Debug)]
struct Live {
    work: Signal,
    readers: Vec<(u32, Signal)>,
    next: u32,
    /// How far the furthest reader has come.
    reach: u64,
    /// Whether a reader has come to the end.
    ended: bool,
}

/// How the readers of an answer stand.
#[derive(Debug, Clone, Copy)]
pub(super) struct Readers {
    pub(super) present: bool,
    /// Bytes that no reader has taken yet.
    pub(super) behind: u64,
    pub(super) ended: bool,
}

impl Shards {
    /// An empty ledger of this agent.
    pub fn new(own: &ProcessId, limits: LedgerLimits) -> Self {
        let limits = LedgerLimits {
            entries: limits.entries.div_ceil(SHARDS),
            bytes: limits.bytes.div_ceil(SHARDS),
            ..limits
        };
        let shard = || Shard {
            ledger: Ledger::new(own.clone(), limits),
            live: HashMap::new(),
        };
        Self {
            clock: Clock::new(),
            shards: (0..SHARDS).map(|_| Mutex::new(shard())).collect(),
        }
    }

    /// Refuses new dispatches from now on.
    pub fn drain(&self) {
        for shard in &self.shards {
            shard.lock().ledger.drain();
        }
    }

    /// How many dispatches are remembered.
    pub fn len(&self) -> usize {
        self.shards.iter().map(|s| s.lock().ledger.len()).sum()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Takes a dispatch that arrives; a first one comes with the signal of its work.
    pub(super) fn arrive(&self, arrival: &Arrival) -> (ArrivalOutcome, Option<Receiver<()>>) {
        let now = self.clock.now();
        let mut shard = self.of(&arrival.id);
        let arrived = shard.ledger.arrive(now, arrival);
        let work = (arrived == ArrivalOutcome::Run).then(|| shard.enter(&arrival.id));
        (arrived, work)
    }

    /// Says what became of a dispatch, and bars it first where it never arrived.
    pub fn settle(&self, id: &DispatchId, agent: &ProcessId, keep: Span) -> AttemptStatus {
        let now = self.clock.now();
        self.of(id).ledger.settle(now, id, agent, keep)
    }

    /// Stops a dispatch, and bars it where it never arrived.
    pub fn cancel(&self, id: &DispatchId, agent: &ProcessId, keep: Span) -> AttemptStatus {
        let now = self.clock.now();
        let mut shard = self.of(id);
        let settled = shard.ledger.cancel(now, id, agent, keep);
        shard.wake(id);
        settled
    }

    /// Registers a reader of an answer.
    pub(super) fn attach(&self, id: &DispatchId) -> (u32, Receiver<()>) {
        let (signal, ring) = async_channel::bounded(1);
        let mut shard = self.of(id);
        let Some(live) = shard.live.get_mut(id) else {
            return (0, ring);
        };
        live.next += 1;
        let number = live.next;
        live.readers.push((number, signal));
        (number, ring)
    }

    /// Removes a reader of an answer.
    pub(super) fn detach(&self, id: &DispatchId, number: u32, ended: bool) {
        let mut shard = self.of(id);
        if let Some(live) = shard.live.get_mut(id) {
            live.readers.retain(|(n, _)| *n != number);
            live.ended |= ended;
            ring(&live.work);
        }
    }

    /// The next frame for a reader at this place.
    pub(super) fn frame(
        &self,
        id: &DispatchId,
        place: ReadPosition,
        limit: usize,
    ) -> Option<Frame> {
        let mut shard = self.of(id);
        if let Some(live) = shard.live.get_mut(id) {
            if live.reach < place.offset {
                live.reach = place.offset;
                ring(&live.work);
            }
        }
        shard.ledger.next_frame(id, place, limit)
    }

    /// Changes the ledger's entry of a dispatch and wakes whoever waits for it.
    pub(super) fn change<T>(&self, id: &DispatchId, change: impl FnOnce(&mut Ledger) -> T) -> T {
        let mut shard = self.of(id);
        let result = change(&mut shard.ledger);
        shard.wake(id);
        result
    }

    /// How the readers of an answer stand, or nothing where its work was stopped.
    pub(super) fn readers(&self, id: &DispatchId) -> Readers {
        let shard = self.of(id);
        let total = shard.ledger.body_length(id);
        let live = shard.live.get(id);
        Readers {
            present: live.is_some_and(|l| !l.readers.is_empty()),
            behind: total - live.map_or(total, |l| l.reach.min(total)),
            ended: live.is_none_or(|l| l.ended),
        }
    }

    /// Whether the ledger knows a dispatch.
    pub(super) fn knows(&self, id: &DispatchId) -> bool {
        self.of(id).ledger.is_known(id)
    }

    /// Whether the work at a dispatch goes on.
    pub(super) fn is_running(&self, id: &DispatchId) -> bool {
        self.of(id).ledger.is_running(id)
    }

    /// Forgets whom to wake for a dispatch.
    pub(super) fn leave(&self, id: &DispatchId) {
        self.of(id).live.remove(id);
    }

    /// Forgets the dispatches that no sender may use any more.
    pub fn expire(&self) {
        for shard in &self.shards {
            shard.lock().ledger.expire(self.clock.now());
        }
    }

    fn of(&self, id: &DispatchId) -> MutexGuard<'_, Shard> {
        let mut hasher = DefaultHasher::new();
        id.hash(&mut hasher);
        self.shards[hasher.finish() as usize % SHARDS].lock()
    }
}

impl Shard {
    fn enter(&mut self, id: &DispatchId) -> Receiver<()> {
        let (work, ring) = async_channel::bounded(1);
        let live = Live {
            work,
            readers: Vec::new(),
            next: 0,
            reach: 0,
            ended: false,
        };
        self.live.insert(id.clone(), live);
        ring
    }

    fn wake(&self, id: &DispatchId) {
        if let Some(live) = self.live.get(id) {
            ring(&live.work);
            live.readers.iter().for_each(|(_, signal)| ring(signal));
        }
    }
}

/// Rings a signal; one that rings already stays so.
fn ring(signal: &Signal) {
    // A full signal is already rung, and a closed one has nobody to wake.
    let _ = signal.try_send(());
}
