//! A lane with its waiting requests, and the wait of one request.

use std::collections::HashMap;
use std::sync::Arc;

use async_channel::{Receiver, Sender};
use futures_lite::FutureExt;

use snipemast_core::prelude::*;
use snipemast_routing::{Dequeued, Lane, LanePolicy, PoolCapacity, Reason, Refusal, Ticket};

use super::{lane_shard, Admission, Demand};

/// A lane, and the channels to the requests that wait in it.
#[derive(Debug)]
pub(super) struct WaitingLane {
    pub(super) queue: Lane,
    pub(super) waiters: HashMap<Ticket, Sender<TurnResult>>,
}

/// The decision on a waiting request.
pub(super) type TurnResult = Result<(), Refusal>;

impl WaitingLane {
    pub(super) fn new() -> Self {
        Self {
            queue: Lane::new(LanePolicy::default()),
            waiters: HashMap::new(),
        }
    }

    /// Tells the waiting requests that may run, or are refused, their results.
    pub(super) fn start_waiting(&mut self, now: Moment, capacity: PoolCapacity) {
        while let Some(dequeued) = self.queue.dequeue(now, capacity) {
            let (ticket, turn) = match dequeued {
                Dequeued::Run(ticket) => (ticket, Ok(())),
                Dequeued::Refused(ticket, refusal) => (ticket, Err(refusal)),
            };
            if let Some(sender) = self.waiters.remove(&ticket) {
                // A receiver that is gone counts the request as ended in its drop.
                let _ = sender.try_send(turn);
            }
        }
    }
}

/// The result of entering a lane.
#[derive(Debug)]
pub(super) enum Arrived {
    Run,
    Wait(Waiting),
}

/// A waiting request, which leaves its lane when it is dropped.
#[derive(Debug)]
pub(super) struct Waiting {
    pub(super) admission: Arc<Admission>,
    pub(super) demand: Demand,
    pub(super) ticket: Ticket,
    pub(super) receiver: Receiver<TurnResult>,
    pub(super) admitted: bool,
}

impl Waiting {
    /// Waits until the request may run, at most until its deadline.
    ///
    /// A request whose deadline passes gets its final answer at once, since its caller would
    /// otherwise keep a connection open for nothing.
    pub(super) async fn wait(mut self, left: Span) -> Result<(), Refusal> {
        let deadline_passed = Refusal {
            reason: Reason::Deadline,
            retry: Span::from_secs(1),
        };
        let received = async { self.receiver.recv().await.unwrap_or(Err(deadline_passed)) };
        let timer = async {
            smol::Timer::after(left.as_duration()).await;
            Err(deadline_passed)
        };
        let turn = received.or(timer).await;
        self.admitted = turn.is_ok();
        turn
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if self.admitted {
            return;
        }
        let mut lanes = self.admission.lanes[lane_shard(&self.demand.wanted)].lock();
        let Some(lane) = lanes.get_mut(&self.demand.wanted) else {
            return;
        };
        if lane.waiters.remove(&self.ticket).is_some() {
            lane.queue.abandon(self.ticket);
        } else if matches!(self.receiver.try_recv(), Ok(Ok(()))) {
            // The request was let in just as its caller left, so the slot must be freed.
            lane.queue.depart(&self.demand.departure(None));
        }
    }
}
