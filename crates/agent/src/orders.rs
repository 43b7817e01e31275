//! Decides which orders reach the backend server, whether or not the server checks them itself.
//!
//! - [`service`]: takes and passes on orders, learns fencing numbers, and follows the configuration.

pub mod service;

use std::collections::{BTreeMap, VecDeque};

use snipemast_config::wishes::Action;
use snipemast_core::prelude::*;
use snipemast_wire::order::{FenceReport, Order, OrderId, OrderRefusal};

/// The most carried out orders that are remembered.
const MAX_REMEMBERED: usize = 256;
/// When the sender may try again while another order is being carried out.
const BUSY_RETRY_PAUSE: Span = Span::from_secs(1);

/// Limits the rate at which weights are loaded.
pub trait LoadRate {
    /// Permits one load now, or returns how long to wait for it.
    fn try_load(&mut self, now: Moment) -> Result<(), Span>;
}

/// Permits at most one load per interval.
#[derive(Debug, Clone, Copy)]
pub struct LoadInterval {
    length: Span,
    next: Moment,
}

impl LoadInterval {
    /// Creates a limit of one load per interval of this length.
    pub fn new(length: Span) -> Self {
        let next = Moment::ZERO;
        Self { length, next }
    }
}

impl LoadRate for LoadInterval {
    fn try_load(&mut self, now: Moment) -> Result<(), Span> {
        if now < self.next {
            return Err(now.until(self.next));
        }
        self.next = now + self.length;
        Ok(())
    }
}

/// The decision on an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The order goes to the backend server, and [`OrderGate::finish`] follows.
    Pass,
    /// The order was carried out before.
    Done,
    /// The order is refused.
    Refuse(OrderRefusal),
}

/// Decides which orders reach the backend server.
///
/// Failure guarded against: a control leader that was cut off and deposed goes on giving orders,
/// and they mix with its successor's, so that a server loads and unloads in turns. Orders carry the
/// fencing number of their leader's term, and an order with a lower one than was seen is refused.
#[derive(Debug)]
pub struct OrderGate<R> {
    process: ProcessId,
    started: Moment,
    /// How long after the start orders are refused while no majority has reported its fencing numbers.
    hold: Span,
    /// The highest fencing number known.
    floor: Fence,
    /// The last fencing number of each control host that reported one.
    fences: BTreeMap<HostId, Fence>,
    /// Whether a majority of the voters has reported its fencing numbers.
    has_majority: bool,
    /// The order that is being carried out.
    running: Option<OrderId>,
    /// The orders that were carried out.
    done: BTreeMap<OrderId, Action>,
    /// The same orders, oldest first.
    oldest: VecDeque<OrderId>,
    rate: R,
}

impl<R: LoadRate> OrderGate<R> {
    /// Creates the gate of an agent that has just started; `hold` is longer than any leader's lease.
    pub fn new(process: ProcessId, now: Moment, hold: Span, rate: R) -> Self {
        Self {
            process,
            started: now,
            hold,
            floor: Fence::default(),
            fences: BTreeMap::new(),
            has_majority: false,
            running: None,
            done: BTreeMap::new(),
            oldest: VecDeque::new(),
            rate,
        }
    }

    /// Returns the highest known fencing number.
    pub fn floor(&self) -> Fence {
        self.floor
    }

    /// Whether orders with the current fencing number are passed on.
    pub fn is_open(&self, now: Moment) -> bool {
        self.has_majority || now.since(self.started) >= self.hold
    }

    /// Decides on an order.
    pub fn decide(&mut self, now: Moment, order: &Order) -> Decision {
        if let Some(refusal) = self.refusal(now, order) {
            return Decision::Refuse(refusal);
        }
        self.floor = order.fence;
        match self.done.get(&order.id) {
            Some(action) if *action == order.action => return Decision::Done,
            Some(_) => return Decision::Refuse(OrderRefusal::Reused),
            None => {}
        }
        // A server that doesn't check orders carries them out as they arrive; of two at once, either
        // could come last.
        if self.running.is_some() {
            return Decision::Refuse(OrderRefusal::Busy {
                left: BUSY_RETRY_PAUSE,
            });
        }
        if order.action.loads() {
            if let Err(left) = self.rate.try_load(now) {
                return Decision::Refuse(OrderRefusal::Busy { left });
            }
        }
        self.running = Some(order.id.clone());
        Decision::Pass
    }

    /// Returns why an order is refused, if it is, by its target, deadline and fencing number.
    fn refusal(&self, now: Moment, order: &Order) -> Option<OrderRefusal> {
        if order.agent != self.process {
            // Failure guarded against: an order is held up on its way while the agent restarts. The
            // new process doesn't know whether it was carried out.
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

    /// Records whether an order that was passed on was carried out; one that failed may be sent again.
    pub fn finish(&mut self, order: &Order, done: bool) {
        self.running = None;
        if !done {
            return;
        }
        self.done.insert(order.id.clone(), order.action.clone());
        self.oldest.push_back(order.id.clone());
        if self.oldest.len() > MAX_REMEMBERED {
            if let Some(oldest) = self.oldest.pop_front() {
                self.done.remove(&oldest);
            }
        }
    }

    /// Takes the fencing numbers of control hosts.
    ///
    /// Failure guarded against: an agent restarts and has forgotten which fencing numbers it saw, and
    /// the first order to arrive comes from a deposed leader. The current leader was elected by a
    /// majority, and any majority that is asked shares a voter with that one: the highest number of a
    /// majority is no lower than the current leader's. Where no majority can be asked, the agent
    /// waits until any lease from before its start has expired.
    pub fn learn_fences(&mut self, report: &FenceReport) {
        for told in &report.told {
            self.raise_floor(told.fence);
            self.fences.insert(told.host.clone(), told.fence);
        }
        let majority = report.voters as usize / 2 + 1;
        if report.voters > 0 && self.fences.len() >= majority {
            self.has_majority = true;
        }
    }

    /// Raises the floor to a fencing number, such as one that came with the configuration; never lowers it.
    pub fn raise_floor(&mut self, fence: Fence) {
        self.floor = self.floor.max(fence);
    }
}
