//! Which connections of a listener have no request in progress, and for how long.
//!
//! A request is in progress until the socket has taken the last byte of its answer: a caller may read slowly.

use std::collections::{BTreeSet, HashMap};
use std::fmt;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Instant;

use event_listener::{Event as Signal, EventListener};
use hyper::body::{Body, Frame, SizeHint};
use parking_lot::Mutex;

use snipemast_core::prelude::*;

use crate::observed::TransferObserver;

/// How long a connection may stay open after it was told to close: enough to answer a request that crossed the decision.
pub(crate) const CLOSE_TIME: Span = Span::from_secs(1);

/// How long callers may take over a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IdleLimits {
    /// How long a connection without a request stays open.
    pub idle: Span,
    /// How long the head of a request may take to arrive.
    pub header: Span,
    /// How long a caller may take no byte of an answer that waits for it.
    pub stall: Span,
}

/// Why a connection ended before its answer was written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CutReason {
    /// Reading or writing failed: the peer is gone, or reset the connection.
    Failed(io::ErrorKind),
    /// The peer took no byte for too long, and this process closed the connection.
    Stalled,
}

/// An answer whose connection ended before it was written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CutAnswer {
    /// Why the connection ended.
    pub reason: CutReason,
    /// How many bytes the socket took from the connection's first answer on.
    pub written: u64,
    /// How long ago the socket last took bytes.
    pub since_write: Span,
    /// How long the socket has taken nothing although bytes waited.
    pub stalled: Option<Span>,
}

impl fmt::Display for CutAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.reason {
            CutReason::Failed(kind) => write!(f, "connection failed, {kind}")?,
            CutReason::Stalled => f.write_str("closed here, its caller takes nothing")?,
        }
        let Self {
            written,
            since_write,
            ..
        } = self;
        write!(f, "; {written} bytes taken, the last {since_write} ago")?;
        match self.stalled {
            Some(stalled) => write!(f, ", more wait since {stalled}"),
            None => f.write_str(", no more wait"),
        }
    }
}

/// The connections of a listener.
#[derive(Debug, Clone, Default)]
pub struct OpenConnections(Arc<Mutex<Connections>>);

#[derive(Debug, Default)]
struct Connections {
    next: u64,
    open: HashMap<u64, State>,
    /// The connections without a request in progress, the longest idle first.
    idle: BTreeSet<(Instant, u64)>,
    /// The number of connections that were told to close.
    closing: usize,
}

#[derive(Debug)]
struct State {
    requests: u32,
    /// Whether bytes of an answer may wait for the socket.
    unwritten: bool,
    idle_since: Instant,
    /// When the first byte of the next request arrived.
    begun: Option<Instant>,
    writes: Writes,
    /// The first failure of the connection.
    error: Option<io::ErrorKind>,
    closing: bool,
    /// Whether the connection was told to close because its caller takes nothing.
    stalled_out: bool,
    close: Arc<Signal>,
}

/// What the socket of a connection took.
#[derive(Debug)]
struct Writes {
    bytes: u64,
    last: Instant,
    /// Since when bytes wait and the socket takes none.
    stalled_since: Option<Instant>,
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
        let state = State::new(Arc::clone(&close));
        connections.idle.insert((state.idle_since, number));
        connections.open.insert(number, state);
        OpenConnection {
            number,
            all: self.clone(),
            close,
        }
    }

    /// Returns the number of open connections that were not told to close.
    pub(crate) fn count(&self) -> usize {
        let connections = self.0.lock();
        connections.open.len() - connections.closing
    }

    /// Returns the number of connections with a request in progress, to the last byte of its answer.
    pub fn busy_count(&self) -> usize {
        self.0.lock().open.values().filter(|s| s.is_busy()).count()
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
        let is_over = |since: Option<Instant>, limit: Span| {
            since.is_some_and(|since| now >= since + limit.as_duration())
        };
        let slow = connections.open.iter().filter(|(_, state)| {
            !state.closing && !state.is_busy() && is_over(state.begun, limits.header)
        });
        let slow: Vec<u64> = slow.map(|(number, _)| *number).collect();
        let stalled = connections.open.iter().filter(|(_, state)| {
            !state.stalled_out && is_over(state.writes.stalled_since, limits.stall)
        });
        let stalled: Vec<u64> = stalled.map(|(number, _)| *number).collect();
        for number in slow {
            connections.close(number, false);
        }
        for number in stalled {
            connections.close(number, true);
        }
    }

    /// Changes the state of a connection.
    fn update<T>(&self, number: u64, change: impl FnOnce(&mut State) -> T) -> Option<T> {
        self.0.lock().open.get_mut(&number).map(change)
    }
}

impl Connections {
    /// Closes the longest idle connection if `due` holds for it; returns whether it does.
    fn close_first(&mut self, due: impl Fn(Instant, u64) -> bool) -> bool {
        let first = self.idle.first().copied();
        let Some((_, number)) = first.filter(|(since, number)| due(*since, *number)) else {
            return false;
        };
        self.close(number, false);
        true
    }

    fn close(&mut self, number: u64, stalled_out: bool) {
        let Some(state) = self.open.get_mut(&number) else {
            return;
        };
        self.idle.remove(&(state.idle_since, number));
        self.closing += usize::from(!state.closing);
        state.closing = true;
        state.stalled_out |= stalled_out;
        state.close.notify(usize::MAX);
    }
}

impl State {
    fn new(close: Arc<Signal>) -> Self {
        let now = Instant::now();
        Self {
            requests: 0,
            unwritten: false,
            idle_since: now,
            begun: None,
            writes: Writes {
                bytes: 0,
                last: now,
                stalled_since: None,
            },
            error: None,
            closing: false,
            stalled_out: false,
            close,
        }
    }

    /// Whether a request is in progress, or its answer isn't written yet.
    fn is_busy(&self) -> bool {
        self.requests > 0 || self.unwritten
    }
}

impl OpenConnection {
    /// Returns what completes once the connection is to be closed.
    pub(crate) fn closing(&self) -> EventListener {
        self.close.listen()
    }

    /// Whether a request is in progress, or its answer isn't written yet.
    pub(crate) fn is_busy(&self) -> bool {
        let busy = self.all.update(self.number, |state| state.is_busy());
        busy.unwrap_or_default()
    }

    /// Whether the connection was told to close because its caller takes nothing.
    pub(crate) fn is_stalled_out(&self) -> bool {
        let stalled = self.all.update(self.number, |state| state.stalled_out);
        stalled.unwrap_or_default()
    }

    /// Returns what became of the answer if the connection ended before it was written, by a failure or because its caller
    /// takes nothing. A caller that just closes the connection cuts nothing.
    pub(crate) fn cut_answer(&self) -> Option<CutAnswer> {
        let now = Instant::now();
        let since = |at: Instant| Span::from(now.saturating_duration_since(at));
        self.all.update(self.number, |state| {
            let reason = match state.error {
                Some(kind) => CutReason::Failed(kind),
                None if state.stalled_out => CutReason::Stalled,
                None => return None,
            };
            state.is_busy().then(|| CutAnswer {
                reason,
                written: state.writes.bytes,
                since_write: since(state.writes.last),
                stalled: state.writes.stalled_since.map(since),
            })
        })?
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
}

impl TransferObserver for Arc<OpenConnection> {
    fn record_read(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.all.update(self.number, |state| {
            if !bytes.is_empty() && state.requests == 0 {
                state.begun.get_or_insert_with(Instant::now);
            }
        });
        Ok(())
    }

    fn record_write(&mut self, length: usize) {
        self.all.update(self.number, |state| {
            state.writes.bytes += length as u64;
            state.writes.last = Instant::now();
            state.writes.stalled_since = None;
        });
    }

    fn record_stall(&mut self) {
        self.all.update(self.number, |state| {
            let since = &mut state.writes.stalled_since;
            since.get_or_insert_with(Instant::now);
        });
    }

    fn record_flush(&mut self) {
        let mut connections = self.all.0.lock();
        let Connections { open, idle, .. } = &mut *connections;
        let Some(state) = open.get_mut(&self.number) else {
            return;
        };
        if state.requests > 0 || !state.unwritten {
            return;
        }
        state.unwritten = false;
        state.idle_since = Instant::now();
        if !state.closing {
            idle.insert((state.idle_since, self.number));
        }
    }

    fn record_error(&mut self, kind: io::ErrorKind) {
        self.all.update(self.number, |state| {
            state.error.get_or_insert(kind);
        });
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let mut connections = self.all.0.lock();
        if let Some(state) = connections.open.remove(&self.number) {
            connections.idle.remove(&(state.idle_since, self.number));
            connections.closing -= usize::from(state.closing);
        }
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.all.update(self.number, |state| {
            state.requests -= 1;
            // The connection is idle only once the socket has taken the end of the answer.
            state.unwritten = true;
        });
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
