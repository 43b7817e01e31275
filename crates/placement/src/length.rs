//! Estimates how long a stream takes, from when it is sent to a server to its end.
//!
//! After an outage, many of the waiting requests have too little time left for a whole answer. They
//! would take slots from others until their callers give up. A request whose answer can no longer
//! end in time is refused at once instead.

use snipemast_core::prelude::*;

use crate::outage::DEFAULT_STREAM_TIME;

/// How long it takes to read the prompt and to wait for the next forward pass, in pauses between
/// two pieces.
const START_PAUSES: u64 = 2;

/// The least length of an answer, in hundredths of the estimate. Estimates are right only
/// in the middle, and an answer that may still end in time gets its chance.
const SHORTEST_PERCENT: u64 = 60;

/// The assumed pause while none has been seen, in hundredths of the longest promised one.
const DEFAULT_PAUSE_PERCENT: u64 = 60;

/// The estimated length of a stream that has not begun.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamLength {
    /// The number of pieces that the caller estimates, if it says so.
    pub pieces: Option<u64>,
    /// The usual pause between two pieces, if any was seen.
    pub pause: Option<Span>,
    /// The longest pause that callers are promised.
    pub pause_target: Span,
}

impl StreamLength {
    /// Returns how long the stream probably takes.
    pub fn expected(&self) -> Span {
        self.duration(100)
    }

    /// Returns how long the stream takes at least.
    pub fn shortest(&self) -> Span {
        match self.pieces {
            Some(_) => self.duration(SHORTEST_PERCENT),
            None => Span::default(),
        }
    }

    fn duration(&self, hundredths: u64) -> Span {
        let Some(pieces) = self.pieces else {
            return DEFAULT_STREAM_TIME;
        };
        let default_pause =
            Span::from_micros(self.pause_target.as_micros() * DEFAULT_PAUSE_PERCENT / 100);
        let pause = self.pause.unwrap_or(default_pause).as_micros();
        Span::from_micros(pause * (100 * START_PAUSES + pieces * hundredths) / 100)
    }
}
