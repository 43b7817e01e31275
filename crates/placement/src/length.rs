//! How long a stream takes from when it is sent to its end.
//!
//! Answers the load after an outage: much of what waited has too little time left to be answered whole, and takes
//! slots from others until its caller gives up. What can't end any more is refused at once.

use snipemast_core::prelude::*;

use crate::outage::SERVED;

/// What reading the prompt and waiting for the next pass take, in pauses between two pieces.
const BEGIN: u64 = 2;

/// The part of the estimated length, in hundredths, that an answer has at least: estimates are right in the middle
/// only, and one that may still end is given its chance.
const LEAST: u64 = 60;

/// How long a pause is taken to be before one was seen, in hundredths of the longest promised.
const UNSEEN: u64 = 60;

/// The length of a stream that is still to come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Length {
    /// How many pieces its caller estimates; nothing where it does not say.
    pub pieces: Option<u64>,
    /// The usual pause between two pieces, where some were seen.
    pub pause: Option<Span>,
    /// The longest pause that is promised.
    pub promised: Span,
}

impl Length {
    /// How long it probably takes.
    pub fn usual(&self) -> Span {
        self.takes(100)
    }

    /// How long it takes at least.
    pub fn least(&self) -> Span {
        match self.pieces {
            Some(_) => self.takes(LEAST),
            None => Span::default(),
        }
    }

    fn takes(&self, hundredths: u64) -> Span {
        let Some(pieces) = self.pieces else {
            return SERVED;
        };
        let unseen = Span::from_micros(self.promised.as_micros() * UNSEEN / 100);
        let pause = self.pause.unwrap_or(unseen).as_micros();
        Span::from_micros(pause * (100 * BEGIN + pieces * hundredths) / 100)
    }
}
