//! Hybrid logical clocks: wall time that never goes back, ordered across processes.
//!
//! A stamp received in a message moves the receiver's clock past it. An effect therefore never
//! sorts before its cause, even if wall clocks differ or jump back.

use std::fmt;
use std::str::FromStr;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use parking_lot::Mutex;

use crate as snipemast_core;
use crate::data;
use crate::ids::IdError;

/// How far a received stamp may be ahead of the wall clock, in microseconds.
///
/// Without this limit, a peer whose clock jumped years ahead would advance every other clock too.
pub const MAX_AHEAD: u64 = 60_000_000;

data! {
    /// A point in hybrid logical time.
    #[derive(Copy, Default, PartialOrd, Ord, Hash)]
    pub struct Stamp {
        /// Wall time in microseconds since 1970, which never goes back.
        pub micros: u64,
        /// The order among events of the same microsecond.
        pub counter: u32,
    }
}

impl Stamp {
    /// Returns the earliest stamp after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        match self.counter.checked_add(1) {
            Some(counter) => Self {
                micros: self.micros,
                counter,
            },
            None => Self {
                micros: self.micros + 1,
                counter: 0,
            },
        }
    }
}

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.micros, self.counter)
    }
}

impl FromStr for Stamp {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let parsed = text.split_once('.').and_then(|(micros, counter)| {
            Some(Self {
                micros: micros.parse().ok()?,
                counter: counter.parse().ok()?,
            })
        });
        parsed.ok_or_else(|| IdError {
            kind: "Stamp",
            text: text.into(),
        })
    }
}

/// The hybrid logical clock of a process.
#[derive(Debug)]
pub struct HybridClock {
    last: Mutex<Stamp>,
    start: Instant,
    /// The wall time at the start, in microseconds.
    origin_micros: u64,
}

impl HybridClock {
    /// Starts a clock that has observed no stamp.
    pub fn new() -> Self {
        Self {
            last: Mutex::default(),
            start: Instant::now(),
            origin_micros: wall_micros(),
        }
    }

    /// Returns the stamp of a new event of this process.
    pub fn tick(&self) -> Stamp {
        self.tick_at(self.wall())
    }

    /// Returns the stamp of a new event of this process at this wall time, in microseconds.
    pub fn tick_at(&self, wall: u64) -> Stamp {
        let mut last = self.last.lock();
        *last = advance(*last, wall);
        *last
    }

    /// Moves past a stamp received from a peer, or ignores it and returns false.
    pub fn observe(&self, peer: Stamp) -> bool {
        self.observe_at(peer, self.wall())
    }

    /// Moves past a stamp received from a peer at this wall time, in microseconds.
    ///
    /// A stamp more than [`MAX_AHEAD`] ahead of the wall clock is ignored, because it comes
    /// from a wrong clock. Stamps observed earlier do not count as wall time: otherwise a clock
    /// that runs ahead in small steps would advance every other clock.
    pub fn observe_at(&self, peer: Stamp, wall: u64) -> bool {
        let accepted = peer.micros <= wall.saturating_add(MAX_AHEAD);
        if accepted {
            let mut last = self.last.lock();
            *last = peer.max(*last);
        }
        accepted
    }

    /// Returns the wall time in microseconds, or the time at the start plus the time since then
    /// if the wall clock was set back.
    ///
    /// With a clock that is set back by hours, the stamps of all peers would be too far ahead and
    /// ignored. Effects would then sort before their causes for as long as the peers are ahead.
    fn wall(&self) -> u64 {
        let passed = self.start.elapsed().as_micros() as u64;
        wall_micros().max(self.origin_micros + passed)
    }
}

impl Default for HybridClock {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the stamp after `last`, or that of the wall time if it is later.
fn advance(last: Stamp, wall: u64) -> Stamp {
    let current = Stamp {
        micros: wall,
        counter: 0,
    };
    current.max(last.next())
}

/// Returns the wall time in microseconds since 1970.
fn wall_micros() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_micros() as u64)
}
