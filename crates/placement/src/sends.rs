//! Counts how often one attempt of a caller is sent to servers.

/// The most servers that one attempt is sent to, including those that refused it as not run.
const MAX_SENDS: u32 = 3;

/// The sends of one attempt, including the one under way.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Sends {
    /// The sends that may have run.
    runs: u32,
    total: u32,
}

impl Sends {
    /// Whether a route with this number of attempts allows one more send.
    pub fn may_begin(&self, attempts: u32) -> bool {
        self.runs < attempts && self.total < MAX_SENDS
    }

    /// Whether nothing has been sent yet.
    pub fn is_empty(&self) -> bool {
        self.total == 0
    }

    /// Whether a send may have run, the one under way included.
    pub fn may_have_run(&self) -> bool {
        self.runs > 0
    }

    /// Returns the number of the send under way, from 1.
    pub fn count(&self) -> u32 {
        self.total
    }

    /// Begins a send, which counts as run from now on.
    ///
    /// This guards against counting a send twice, when it begins and when its answer does: a stream
    /// with two attempts that falls silent in the middle would stay at its server until its caller
    /// has nearly given up.
    pub fn begin(&mut self) {
        self.runs += 1;
        self.total += 1;
    }

    /// Records that the send under way did not run and never will.
    pub fn mark_not_run(&mut self) {
        self.runs = self.runs.saturating_sub(1);
    }
}
