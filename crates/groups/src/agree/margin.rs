//! How far ahead a switch must lie so that no rank waits for its verdict.

use snipemast_core::data;
use snipemast_core::prelude::*;

data! {
    /// The delays that the distance of a switch and the timeouts are derived from.
    #[derive(Copy, Hash)]
    pub struct Margin {
        /// The longest one-way delay between two agents in normal operation.
        pub delay: Span,
        /// The shortest duration of a step.
        pub step: Span,
        /// How many steps an agent permits ahead of its engine.
        pub window: u64,
    }
}

impl Default for Margin {
    /// Ten times the delays between availability zones that users report, and a short step.
    fn default() -> Self {
        Self {
            delay: Span::from_millis(15),
            step: Span::from_millis(3),
            window: 4,
        }
    }
}

impl Margin {
    /// Returns the number of steps between the last one known to be permitted and the switch.
    ///
    /// Three delays pass before every rank knows the verdict: one each for the request to prepare,
    /// the promise and the verdict. A fourth has passed since the ranks reported which steps they
    /// had permitted. An agent permits steps a window ahead of its engine, so the window is added.
    pub fn switch_distance(&self) -> u64 {
        let delays = self.delay.times(4).as_micros();
        delays.div_ceil(self.step.as_micros().max(1)) + self.window + 2
    }

    /// Returns how long a lead waits for promises. An abort that is sent then still arrives before
    /// the switch.
    pub fn promise_timeout(&self) -> Span {
        self.delay.times(2)
    }

    /// Returns how long a rank waits for a verdict before it asks the other ranks, and then again
    /// before it starts a lead.
    ///
    /// The timeout differs between ranks so that they do not outrank each other again and again.
    pub fn verdict_timeout(&self, rank: u32) -> Span {
        let first = self.delay.times(8).as_micros();
        let stagger = self.delay.times(4).as_micros() * u64::from(rank % 16);
        Span::from_micros(first + stagger)
    }

    /// Returns the longest time that a group waits for a verdict once all its ranks can communicate
    /// and at most one lead is lost: two timeouts of the first rank that starts a lead, then the
    /// new lead's round of reports and its decision. Loading weights is not included.
    pub fn longest_hold(&self) -> Span {
        let rounds = self.delay.times(8).as_micros();
        Span::from_micros(self.verdict_timeout(0).as_micros() * 2 + rounds)
    }
}
