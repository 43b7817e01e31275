//! How far ahead a switch must lie so that no step is held.

use snipemast_core::data;
use snipemast_core::prelude::*;

data! {
    /// What the distance of a switch is worked out from.
    #[derive(Copy, Hash)]
    pub struct Margin {
        /// The longest one-way delay between two agents in ordinary running.
        pub delay: Span,
        /// The shortest time of a step.
        pub step: Span,
        /// How many steps an agent permits ahead of its engine.
        pub window: u64,
    }
}

impl Default for Margin {
    /// Ten times the delays between availability zones that the users name, and a short step.
    fn default() -> Self {
        Self {
            delay: Span::from_millis(15),
            step: Span::from_millis(3),
            window: 4,
        }
    }
}

impl Margin {
    /// Steps between the last one known to be permitted and the switch.
    ///
    /// Three delays pass before a verdict is known everywhere: the order to prepare, the promise
    /// and the verdict. Another has passed since the ranks named the steps that they permitted.
    /// A rank asks for the next permits a window before it needs them, so the window counts too.
    pub fn steps(&self) -> u64 {
        let delays = self.delay.times(4).as_micros();
        delays.div_ceil(self.step.as_micros().max(1)) + self.window + 2
    }

    /// How long a lead waits for promises: after that the abort still arrives before the switch.
    pub fn promise_timeout(&self) -> Span {
        self.delay.times(2)
    }

    /// How long a rank waits for a verdict before it asks, and again before it stands for lead.
    ///
    /// Ranks wait differently long, so that they do not outrank each other again and again.
    pub fn verdict_timeout(&self, rank: u32) -> Span {
        let first = self.delay.times(8).as_micros();
        let stagger = self.delay.times(4).as_micros() * u64::from(rank % 16);
        Span::from_micros(first + stagger)
    }

    /// The longest time that a group is held once all its ranks can talk, where one lead at most
    /// is lost: two patiences of the first rank that stands, and its round of questions, loads
    /// aside, and decision.
    pub fn longest_hold(&self) -> Span {
        let rounds = self.delay.times(8).as_micros();
        Span::from_micros(self.verdict_timeout(0).as_micros() * 2 + rounds)
    }
}
