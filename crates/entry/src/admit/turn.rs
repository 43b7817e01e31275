//! A lane with those who wait at it, and the wait itself.

use std::collections::HashMap;
use std::sync::Arc;

use async_channel::{Receiver, Sender};
use futures_lite::FutureExt;

use snipemast_core::prelude::*;
use snipemast_routing::{Dequeued, Lane, LanePolicy, PoolCapacity, Reason, Refusal, Ticket};

use super::{lane_of, Admission, Demand};

/// A lane, and whom its tickets belong to.
#[derive(Debug)]
pub(super) struct Gate {
    pub(super) lane: Lane,
    pub(super) turns: HashMap<Ticket, Sender<Turn>>,
}

pub(super) type Turn = Result<(), Refusal>;

impl Gate {
    pub(super) fn new() -> Self {
        Self {
            lane: Lane::new(LanePolicy::default()),
            turns: HashMap::new(),
        }
    }

    pub(super) fn call(&mut self, now: Moment, room: PoolCapacity) {
        while let Some(called) = self.lane.dequeue(now, room) {
            let (ticket, turn) = match called {
                Dequeued::Run(ticket) => (ticket, Ok(())),
                Dequeued::Refused(ticket, refusal) => (ticket, Err(refusal)),
            };
            if let Some(sender) = self.turns.remove(&ticket) {
                // The receiver counts the request as ended where it can't take its turn.
                let _ = sender.try_send(turn);
            }
        }
    }
}

#[derive(Debug)]
pub(super) enum Entered {
    Open,
    Wait(Waiting),
}

/// A request that waits; dropped, it leaves its place.
#[derive(Debug)]
pub(super) struct Waiting {
    pub(super) admission: Arc<Admission>,
    pub(super) demand: Demand,
    pub(super) ticket: Ticket,
    pub(super) turn: Receiver<Turn>,
    pub(super) called: bool,
}

impl Waiting {
    /// Waits for the turn, at most as long as the request has.
    ///
    /// A request that is given up gets its final answer at once: its caller would hold on to a
    /// connection for nothing.
    pub(super) async fn turn(mut self, left: Span) -> Result<(), Refusal> {
        let late = Refusal {
            reason: Reason::Deadline,
            retry: Span::from_secs(1),
        };
        let called = async { self.turn.recv().await.unwrap_or(Err(late)) };
        let timer = async {
            smol::Timer::after(left.as_duration()).await;
            Err(late)
        };
        let turn = called.or(timer).await;
        self.called = turn.is_ok();
        turn
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if self.called {
            return;
        }
        let mut lanes = self.admission.lanes[lane_of(&self.demand.wanted)].lock();
        let Some(gate) = lanes.get_mut(&self.demand.wanted) else {
            return;
        };
        if gate.turns.remove(&self.ticket).is_some() {
            gate.lane.abandon(self.ticket);
        } else if matches!(self.turn.try_recv(), Ok(Ok(()))) {
            // The turn came just as its caller left: the slot must not stay taken.
            gate.lane.depart(&self.demand.departure(None));
        }
    }
}
