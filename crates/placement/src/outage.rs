//! What becomes of requests while none of a service's servers can run any.
//!
//! Answers the load of an outage: an engine's group that lost a rank refuses everything on every
//! rank until it has formed again, some seconds later. Sending each request to one rank after
//! another only spends the budget of repeats. So one request at a time is sent to find out, and
//! the others wait or come back, as long as they can still be answered in time.

use std::collections::HashMap;

use snipemast_core::prelude::*;

/// How often a gateway finds out whether the service answers again. With nine gateways that is
/// some 100 sends in an outage of six seconds, within their budget of repeats.
pub const PROBE: Span = Span::from_millis(500);

/// How long a stream takes from its first token to its end, and some tenths of a second of waiting
/// for a place: measured 1.6 to 2.4 s. A request with less time left can't be answered whole.
pub const SERVED: Span = Span::from_millis(2_300);

/// How long a request waits at most: callers give a stream up that shows nothing for two seconds, and
/// its first token takes some 0.2 s.
pub const LONGEST: Span = Span::from_millis(1_600);

/// A caller comes back after at most this part of the time that it has left.
pub const BACK_PART: u64 = 3;

/// Whether requests of a service are sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Gate {
    /// They are.
    Open,
    /// The service is out; this one is sent to find out.
    Probe,
    /// The service is out.
    Shut,
}

/// What a request does that can't be sent now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Waiting {
    /// Its caller comes back after this span.
    RetryLater(Span),
    /// It waits here, at most for this span.
    Queue(Span),
    /// It can't be answered in time: nothing is gained by waiting.
    Refuse,
}

/// The services that are out.
#[derive(Debug, Clone, Default)]
pub struct Outages {
    services: HashMap<ServiceId, Moment>,
}

impl Outages {
    /// No service is out.
    pub fn new() -> Self {
        Self::default()
    }

    /// A server said that no server of its group can run anything; true where that is news.
    pub fn note_out(&mut self, now: Moment, service: &ServiceId) -> bool {
        let next = now + PROBE;
        self.services.insert(service.clone(), next).is_none()
    }

    /// A server answered; true where its service was out.
    pub fn note_open(&mut self, service: &ServiceId) -> bool {
        self.services.remove(service).is_some()
    }

    /// Whether a service is out.
    pub fn is_out(&self, service: &ServiceId) -> bool {
        self.services.contains_key(service)
    }

    /// Whether a request is sent now.
    pub fn gate(&mut self, now: Moment, service: &ServiceId) -> Gate {
        match self.services.get_mut(service) {
            None => Gate::Open,
            Some(next) if now >= *next => {
                *next = now + PROBE;
                Gate::Probe
            }
            Some(_) => Gate::Shut,
        }
    }
}

/// A request that can't be sent now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Blocked {
    /// How long its caller still waits.
    pub left: Span,
    /// How long it has waited here.
    pub waited: Span,
    /// How long a caller waits at first.
    pub whole: Span,
}

/// What a request does that can't be sent now.
///
/// It waits here for as long as its caller bears with that and it can still be answered after it. Then
/// a first attempt comes back later by itself; one that came back already is refused, because its
/// caller gives up after that. So a request outlives an outage of 5.3 s in all: 1.6 s here, a third
/// of what is left, and 1.6 s again; 4.3 s where the first attempt was sent back at once.
pub fn waiting(blocked: &Blocked) -> Waiting {
    /// A caller's first attempt has at least this part of the whole time left, in hundredths.
    const FIRST: u64 = 80;
    let had = Span::from_micros(blocked.left.as_micros() + blocked.waited.as_micros());
    let first = had.times(100) >= blocked.whole.times(FIRST);
    let spare = less(blocked.left, SERVED).min(less(LONGEST, blocked.waited));
    if spare > Span::default() {
        return Waiting::Queue(spare);
    }
    if first {
        let part = blocked.left.as_micros() / BACK_PART;
        return Waiting::RetryLater(Span::from_micros(part));
    }
    Waiting::Refuse
}

fn less(span: Span, by: Span) -> Span {
    Span::from_micros(span.as_micros().saturating_sub(by.as_micros()))
}
