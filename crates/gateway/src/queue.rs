//! The requests that wait in this gateway for a place, by service, and who of them looks for one.
//!
//! Whatever may free a place wakes the queue of its service: an answer that ends, new counts, other
//! servers, a pool that is open again. What nobody tells is found by one check of all queues.

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use async_channel::{bounded, Receiver, Sender};
use event_listener::Event as Signal;
use parking_lot::Mutex;

use snipemast_core::prelude::*;
use snipemast_net::exec::pause;
use snipemast_placement::choice::Unplaced;
use snipemast_placement::queue::{Joined, Ticket, Turn, WaitingRequest};
use snipemast_placement::{PlaceQueue, Urgency};

use crate::state::State;

/// How often one request of each queue looks for a place that nobody told of.
const CHECK_INTERVAL: Span = Span::from_millis(60);

/// The requests that wait for a place.
#[derive(Debug, Default)]
pub(crate) struct WaitingRequests {
    services: Mutex<HashMap<ServiceId, ServiceQueue>>,
    /// The number of requests that wait, so that nothing is locked while none does.
    count: AtomicUsize,
    /// Wakes the check of all queues when a request begins to wait.
    begun: Signal,
}

#[derive(Debug, Default)]
struct ServiceQueue {
    queue: PlaceQueue,
    callers: HashMap<Ticket, Sender<Call>>,
}

/// What a waiting request is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Call {
    /// It has the turn, and looks for a place with this urgency.
    Look(Urgency),
    /// It is refused, because the queue is full and it is last in the order.
    Refuse,
}

impl WaitingRequests {
    /// Returns why a new request has to wait: one that is at least as urgent waits for a place.
    pub(crate) fn blocks(
        &self,
        now: Moment,
        service: &ServiceId,
        urgency: Urgency,
    ) -> Option<Unplaced> {
        if self.count.load(Ordering::Acquire) == 0 {
            return None;
        }
        let services = self.services.lock();
        services.get(service)?.queue.blocks(now, urgency)
    }

    /// Returns how many requests of a service that wait are at least this urgent.
    pub(crate) fn count_ahead(&self, now: Moment, service: &ServiceId, urgency: Urgency) -> usize {
        let services = self.services.lock();
        services
            .get(service)
            .map_or(0, |s| s.queue.count_ahead(now, urgency))
    }

    /// Lets the first request of a service look for a place, because one may have become free.
    pub(crate) fn wake(&self, now: Moment, service: &ServiceId) {
        if self.count.load(Ordering::Acquire) > 0 {
            self.update(service, |queue| queue.wake(now));
        }
    }

    /// Notes that a newcomer found a place without waiting.
    pub(crate) fn overtake(&self, now: Moment, service: &ServiceId) {
        if self.count.load(Ordering::Acquire) > 0 {
            self.update(service, |queue| queue.overtake(now));
        }
    }

    /// Lets the first request of each service look for a place.
    pub(crate) fn wake_all(&self, now: Moment) {
        if self.count.load(Ordering::Acquire) == 0 {
            return;
        }
        for service in self.services.lock().values_mut() {
            service.update(|queue| queue.wake(now));
        }
    }

    /// Forgets what is not needed any longer. Returns whether nothing is left.
    fn forget(&self, now: Moment) -> bool {
        let mut services = self.services.lock();
        services.retain(|_, service| {
            service.queue.forget(now);
            !service.queue.is_idle()
        });
        services.is_empty()
    }

    /// Adds a request. Returns what it will be told, or nothing if the queue is full.
    fn join(
        &self,
        now: Moment,
        service: &ServiceId,
        ticket: Ticket,
        request: WaitingRequest,
    ) -> Option<Receiver<Call>> {
        // One call is enough: a request gets the next one only after it has answered, and is
        // refused only while it does not have the turn.
        let (sender, calls) = bounded(1);
        let mut services = self.services.lock();
        let waiting = services.entry(service.clone()).or_default();
        match waiting.queue.join(now, ticket, request) {
            Joined::Refused => return None,
            Joined::Waits => {
                self.count.fetch_add(1, Ordering::AcqRel);
            }
            Joined::Replaces(last) => {
                waiting.call(last, Call::Refuse);
                waiting.callers.remove(&last);
            }
        }
        waiting.callers.insert(ticket, sender);
        // A place may have become free since the request looked for one.
        waiting.update(|queue| queue.wake(now));
        drop(services);
        self.begun.notify(1);
        Some(calls)
    }

    /// Changes the queue of a service, and calls the request that has the turn then.
    fn update(&self, service: &ServiceId, change: impl FnOnce(&mut PlaceQueue) -> Option<Turn>) {
        if let Some(waiting) = self.services.lock().get_mut(service) {
            waiting.update(change);
        }
    }

    /// Removes a request, and calls the one that has the turn then.
    fn remove(
        &self,
        service: &ServiceId,
        ticket: Ticket,
        change: impl FnOnce(&mut PlaceQueue) -> Option<Turn>,
    ) {
        let mut services = self.services.lock();
        let Some(waiting) = services.get_mut(service) else {
            return;
        };
        if waiting.callers.remove(&ticket).is_some() {
            self.count.fetch_sub(1, Ordering::AcqRel);
            waiting.update(change);
        }
    }
}

impl ServiceQueue {
    fn update(&mut self, change: impl FnOnce(&mut PlaceQueue) -> Option<Turn>) {
        if let Some(turn) = change(&mut self.queue) {
            self.call(turn.ticket, Call::Look(turn.urgency));
        }
    }

    fn call(&self, ticket: Ticket, call: Call) {
        if let Some(caller) = self.callers.get(&ticket) {
            // The channel is closed only while its request is being removed, which passes the turn
            // on.
            let _ = caller.try_send(call);
        }
    }
}

/// The place of a request in a queue. Dropping it removes the request, and the next one looks if
/// this one had the turn.
#[derive(Debug)]
pub(crate) struct QueuePlace {
    state: Arc<State>,
    service: ServiceId,
    ticket: Ticket,
    calls: Receiver<Call>,
}

impl QueuePlace {
    /// Adds a request to the queue of its service, unless the queue is full.
    pub(crate) fn join(
        state: &Arc<State>,
        service: &ServiceId,
        request: WaitingRequest,
    ) -> Option<Self> {
        let (now, ticket) = (state.clock.now(), Ticket(state.next_number()));
        let calls = state.waiting.join(now, service, ticket, request)?;
        Some(Self {
            state: Arc::clone(state),
            service: service.clone(),
            ticket,
            calls,
        })
    }

    /// Waits until the request may look for a place, or is refused.
    pub(crate) async fn next_call(&self) -> Call {
        // The channel closes only when the request is removed, after a refusal.
        self.calls.recv().await.unwrap_or(Call::Refuse)
    }

    /// Says that the request looked and found nothing.
    pub(crate) fn put_back(&self, unplaced: Unplaced) {
        let now = self.state.clock.now();
        let waiting = &self.state.waiting;
        waiting.update(&self.service, |queue| match unplaced.is_own() {
            // Others may be sent, for the first time.
            true => queue.pass(now, self.ticket),
            false => queue.put_back(now, self.ticket, unplaced),
        });
    }

    /// Says that the request found a place, so that the next one looks at once.
    pub(crate) fn found(self) {
        let now = self.state.clock.now();
        let place = |queue: &mut PlaceQueue| queue.place(now, self.ticket);
        self.state.waiting.remove(&self.service, self.ticket, place);
    }
}

impl Drop for QueuePlace {
    fn drop(&mut self) {
        let now = self.state.clock.now();
        let leave = |queue: &mut PlaceQueue| queue.leave(now, self.ticket);
        self.state.waiting.remove(&self.service, self.ticket, leave);
    }
}

/// Lets the first request of each queue look for a place now and then: a server's pause may be
/// over, or a probe due, of which nobody tells.
pub(crate) async fn check_queues(state: Arc<State>) {
    loop {
        let begun = state.waiting.begun.listen();
        if state.waiting.forget(state.clock.now()) {
            begun.await;
        }
        pause(CHECK_INTERVAL).await;
        state.waiting.wake_all(state.clock.now());
    }
}
