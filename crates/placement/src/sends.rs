//! How often one attempt of a caller is sent to servers.

/// The most servers that one attempt is sent to, with those that refused it as not run.
const MOST: u32 = 3;

/// The sends of one attempt, the one under way among them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Sends {
    /// Those that may have run.
    runs: u32,
    all: u32,
}

impl Sends {
    /// Whether one more is within a route's attempts.
    pub fn may_begin(&self, attempts: u32) -> bool {
        self.runs < attempts && self.all < MOST
    }

    /// Whether none has begun yet.
    pub fn is_empty(&self) -> bool {
        self.all == 0
    }

    /// Which one is under way, from 1.
    pub fn count(&self) -> u32 {
        self.all
    }

    /// A send begins; it counts as run from now on.
    ///
    /// Failure guarded against: counted once when it begins and again when its answer does, a stream of two
    /// attempts that falls silent in the middle stays at its server until its caller has nearly given up.
    pub fn begin(&mut self) {
        self.runs += 1;
        self.all += 1;
    }

    /// The send under way has not run and never will.
    pub fn take_back(&mut self) {
        self.runs = self.runs.saturating_sub(1);
    }
}
