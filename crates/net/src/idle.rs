//! Which connections of a listener have no request in progress, and for how long.

use std::collections::{BTreeSet, HashMap};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Instant;

use event_listener::{Event as Signal, EventListener};
use hyper::body::{Body, Frame, SizeHint};
use parking_lot::Mutex;

use snipemast_core::prelude::*;

/// How long a connection may stay open after it was told to close: enough to answer a request that crossed the decision.
pub(crate) const CLOSE_TIME: Span = Span::from_secs(1);

/// How long callers may take over a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IdleLimits {
    /// How long a connection without a request stays open.
    pub idle: Span,
    /// How long the head of a request may take to arrive.
    pub header: Span,
}

/// The connections of a listener.
#[derive(Debug, Clone, Default)]
pub(crate) struct OpenConnections(Arc<Mutex<Connections>>);

#[derive(Debug, Default)]
struct Connections {
    next: u64,
    open: HashMap<u64, State>,
    /// The connections without a request in progress, the longest idle first.
    idle: BTreeSet<(Instant, u64)>,
}

#[derive(Debug)]
struct State {
    requests: u32,
    idle_since: Instant,
    /// When the first byte of the next request arrived.
    begun: Option<Instant>,
    close: Arc<Signal>,
}

/// One open connection. Dropping it removes the connection.
#[derive(Debug)]
pub(crate) struct OpenConnection {
    number: u64,
    all: OpenConnections,
    close: Arc<Signal>,
}

/// A request in progress, to the end of its answer. Dropping it ends that.
#[derive(Debug)]
pub(crate) struct ActiveRequest {
    number: u64,
    all: OpenConnections,
}

impl OpenConnections {
    pub(crate) fn open(&self) -> OpenConnection {
        let mut connections = self.0.lock();
        connections.next += 1;
        let number = connections.next;
        let close = Arc::new(Signal::new());
        let idle_since = Instant::now();
        connections.idle.insert((idle_since, number));
        let state = State {
            requests: 0,
            idle_since,
            begun: None,
            close: Arc::clone(&close),
        };
        connections.open.insert(number, state);
        OpenConnection {
            number,
            all: self.clone(),
            close,
        }
    }

    /// Returns the number of open connections.
    pub(crate) fn count(&self) -> usize {
        self.0.lock().open.len()
    }

    /// Returns the number of connections with a request in progress.
    pub(crate) fn busy_count(&self) -> usize {
        let connections = self.0.lock();
        connections.open.len() - connections.idle.len()
    }

    /// Closes the connection that has been idle for longest; returns whether there was one.
    pub(crate) fn close_longest_idle(&self) -> bool {
        self.0.lock().close_first(|_, _| true)
    }

    /// Closes the connections that exceed a limit.
    pub(crate) fn close_expired(&self, limits: &IdleLimits) {
        let now = Instant::now();
        let mut connections = self.0.lock();
        while connections.close_first(|since, _| now >= since + limits.idle.as_duration()) {}
        let slow = connections.idle.iter().filter(|(_, number)| {
            let begun = connections.open.get(number).and_then(|state| state.begun);
            begun.is_some_and(|begun| now >= begun + limits.header.as_duration())
        });
        let slow: Vec<(Instant, u64)> = slow.copied().collect();
        for entry in slow {
            connections.close(entry);
        }
    }
}

impl Connections {
    /// Closes the longest idle connection if `due` holds for it; returns whether it does.
    fn close_first(&mut self, due: impl Fn(Instant, u64) -> bool) -> bool {
        let first = self.idle.first().copied();
        let Some(entry) = first.filter(|(since, number)| due(*since, *number)) else {
            return false;
        };
        self.close(entry);
        true
    }

    fn close(&mut self, entry: (Instant, u64)) {
        self.idle.remove(&entry);
        if let Some(state) = self.open.remove(&entry.1) {
            state.close.notify(usize::MAX);
        }
    }
}

impl OpenConnection {
    /// Returns what completes once the connection is to be closed.
    pub(crate) fn closing(&self) -> EventListener {
        self.close.listen()
    }

    /// Records that a request has begun.
    pub(crate) fn begin_request(&self) -> ActiveRequest {
        let mut connections = self.all.0.lock();
        let Connections { open, idle, .. } = &mut *connections;
        if let Some(state) = open.get_mut(&self.number) {
            idle.remove(&(state.idle_since, self.number));
            state.requests += 1;
            state.begun = None;
        }
        ActiveRequest {
            number: self.number,
            all: self.all.clone(),
        }
    }

    /// Records that bytes arrived.
    pub(crate) fn record_bytes(&self) {
        let mut connections = self.all.0.lock();
        if let Some(state) = connections.open.get_mut(&self.number) {
            if state.requests == 0 {
                state.begun.get_or_insert_with(Instant::now);
            }
        }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let mut connections = self.all.0.lock();
        if let Some(state) = connections.open.remove(&self.number) {
            connections.idle.remove(&(state.idle_since, self.number));
        }
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        let mut connections = self.all.0.lock();
        let Connections { open, idle, .. } = &mut *connections;
        if let Some(state) = open.get_mut(&self.number) {
            state.requests -= 1;
            if state.requests == 0 {
                state.idle_since = Instant::now();
                idle.insert((state.idle_since, self.number));
            }
        }
    }
}

/// The body of an answer; its request is in progress until it is dropped.
#[derive(Debug)]
pub(crate) struct TrackedBody<B> {
    body: Pin<Box<B>>,
    _request: ActiveRequest,
}

impl<B> TrackedBody<B> {
    pub(crate) fn new(body: B, request: ActiveRequest) -> Self {
        Self {
            body: Box::pin(body),
            _request: request,
        }
    }
}

impl<B: Body> Body for TrackedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Frame<B::Data>, B::Error>>> {
        self.body.as_mut().poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
