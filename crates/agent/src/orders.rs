//! The gate for orders: what reaches the backend server, whether or not it checks by itself.
//!
//! - [`service`]: the shell around the gate.

pub mod service;

use std::collections::{BTreeMap, VecDeque};

use snipemast_config::wishes::Action;
use snipemast_core::prelude::*;
use snipemast_wire::order::{FenceReport, Order, OrderId, OrderRefusal};

/// How many orders that were carried out are remembered.
const REMEMBERED: usize = 256;
/// When to come back while another order is being carried out.
const RUNNING: Span = Span::from_secs(1);

/// The rate at which weights may be read.
pub trait LoadRate {
    /// Takes the right to one load, or says how long to wait for it.
    fn take(&mut self, now: Moment) -> Result<(), Span>;
}

/// At most one load in each interval.
#[derive(Debug, Clone, Copy)]
pub struct Interval {
    length: Span,
    next: Moment,
}

impl Interval {
    /// One load in each interval of this length.
    pub fn new(length: Span) -> Self {
        let next = Moment::ZERO;
        Self { length, next }
    }
}

impl LoadRate for Interval {
    fn take(&mut self, now: Moment) -> Result<(), Span> {
        if now < self.next {
            return Err(now.until(self.next));
        }
        self.next = now + self.length;
        Ok(())
    }
}

/// What is done with an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It goes to the backend server, and [`OrderGate::finish`] follows.
    Pass,
    /// It was carried out before.
    Done,
    /// It goes no further.
    Refuse(OrderRefusal),
}

/// Decides which orders reach the backend server.
///
/// Failure guarded against: a control leader that was cut off and deposed goes on giving
/// orders, and its orders mix with its successor's. It shows as a server that loads and
/// unloads in turns. Orders carry the number of their leader's term of office, and a lower one
/// than was seen goes no further.
#[derive(Debug)]
pub struct OrderGate<R> {
    process: ProcessId,
    started: Moment,
    hold: Span,
    floor: Fence,
    told: BTreeMap<HostId, Fence>,
    known: bool,
    running: Option<OrderId>,
    done: BTreeMap<OrderId, Action>,
    oldest: VecDeque<OrderId>,
    rate: R,
}

impl<R: LoadRate> OrderGate<R> {
    /// The gate of an agent that has just started; `hold` is longer than any leader's lease.
    pub fn new(process: ProcessId, now: Moment, hold: Span, rate: R) -> Self {
        Self {
            process,
            started: now,
            hold,
            floor: Fence::default(),
            told: BTreeMap::new(),
            known: false,
            running: None,
            done: BTreeMap::new(),
            oldest: VecDeque::new(),
            rate,
        }
    }

    /// The highest fencing number that is known of.
    pub fn floor(&self) -> Fence {
        self.floor
    }

    /// Whether orders with the current fencing number are passed on.
    pub fn is_open(&self, now: Moment) -> bool {
        self.known || now.since(self.started) >= self.hold
    }

    /// Decides on an order.
    pub fn take(&mut self, now: Moment, order: &Order) -> Decision {
        if let Some(refusal) = self.refusal(now, order) {
            return Decision::Refuse(refusal);
        }
        self.floor = order.fence;
        match self.done.get(&order.id) {
            Some(action) if *action == order.action => return Decision::Done,
            Some(_) => return Decision::Refuse(OrderRefusal::Reused),
            None => {}
        }
        // A server that does not check carries orders out in the order in which it gets them;
        // two at once could end in either.
        if self.running.is_some() {
            return Decision::Refuse(OrderRefusal::Busy { left: RUNNING });
        }
        if order.action.loads() {
            if let Err(left) = self.rate.take(now) {
                return Decision::Refuse(OrderRefusal::Busy { left });
            }
        }
        self.running = Some(order.id.clone());
        Decision::Pass
    }

    fn refusal(&self, now: Moment, order: &Order) -> Option<OrderRefusal> {
        if order.agent != self.process {
            // Failure guarded against: an order that was held up on its way while the agent
            // restarted. The new agent's memory says nothing of it.
            Some(OrderRefusal::Incarnation)
        } else if order.left == Span::default() {
            Some(OrderRefusal::Late)
        } else if !self.is_open(now) {
            let left = now.until(self.started + self.hold);
            Some(OrderRefusal::Learning { left })
        } else if order.fence < self.floor {
            let current = self.floor;
            Some(OrderRefusal::Old { current })
        } else {
            None
        }
    }

    /// Notes how an order ended that was passed on; one that failed may be sent again.
    pub fn finish(&mut self, order: &Order, done: bool) {
        self.running = None;
        if !done {
            return;
        }
        self.done.insert(order.id.clone(), order.action.clone());
        self.oldest.push_back(order.id.clone());
        if self.oldest.len() > REMEMBERED {
            if let Some(oldest) = self.oldest.pop_front() {
                self.done.remove(&oldest);
            }
        }
    }

    /// Takes what control hosts said.
    ///
    /// Failure guarded against: an agent restarts and has forgotten which numbers it saw, and
    /// the first order to arrive comes from a deposed leader. A leader in office was elected by
    /// a majority, and any majority that is asked shares a voter with it: the highest number of
    /// a majority is no lower than that of the leader in office. Where no majority can be
    /// asked, the agent waits until any lease from before its start has run out.
    pub fn learn(&mut self, report: &FenceReport) {
        for told in &report.told {
            self.hear(told.fence);
            self.told.insert(told.host.clone(), told.fence);
        }
        let majority = report.voters as usize / 2 + 1;
        if report.voters > 0 && self.told.len() >= majority {
            self.known = true;
        }
    }

    /// Takes a number that came with news of the configuration; it only raises the floor.
    pub fn hear(&mut self, fence: Fence) {
        self.floor = self.floor.max(fence);
    }
}
