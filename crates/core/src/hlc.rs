//! Hybrid logical clocks: wall time that never runs back, ordered over processes.
//!
//! A stamp received in a message moves the receiver's clock past it, so an effect never
//! sorts before its cause, even where wall clocks differ or jump back.

use std::fmt;
use std::time::{SystemTime, UNIX_EPOCH};

use parking_lot::Mutex;

use crate as snipemast_core;
use crate::data;

/// How far a received stamp may lie ahead of the wall clock, in microseconds.
///
/// A peer whose clock jumped years ahead would otherwise drag every clock with it.
pub const MAX_AHEAD: u64 = 60_000_000;

data! {
    /// A point in hybrid logical time.
    #[derive(Copy, Default, PartialOrd, Ord, Hash)]
    pub struct Stamp {
        /// Wall time in microseconds since 1970, never running back.
        pub micros: u64,
        /// Order among events of the same microsecond.
        pub counter: u32,
    }
}

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.micros, self.counter)
    }
}

/// A process's hybrid logical clock.
#[derive(Debug, Default)]
pub struct HybridClock {
    last: Mutex<Stamp>,
}

impl HybridClock {
    /// Starts a clock that has seen nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Stamps an event of this process.
    pub fn tick(&self) -> Stamp {
        self.tick_at(wall_micros())
    }

    /// Stamps an event of this process at the given wall time.
    pub fn tick_at(&self, wall: u64) -> Stamp {
        let mut last = self.last.lock();
        *last = advance(*last, wall);
        *last
    }

    /// Moves past a stamp received from a peer.
    pub fn observe(&self, peer: Stamp) {
        self.observe_at(peer, wall_micros());
    }

    /// Moves past a stamp received from a peer at the given wall time.
    ///
    /// A stamp more than [`MAX_AHEAD`] ahead is ignored: it is a broken clock, not a cause.
    pub fn observe_at(&self, peer: Stamp, wall: u64) {
        let mut last = self.last.lock();
        let sane = peer.micros <= wall.max(last.micros).saturating_add(MAX_AHEAD);
        if sane && peer > *last {
            *last = peer;
        }
    }
}

fn advance(last: Stamp, wall: u64) -> Stamp {
    if wall > last.micros {
        Stamp {
            micros: wall,
            counter: 0,
        }
    } else {
        Stamp {
            micros: last.micros,
            counter: last.counter + 1,
        }
    }
}

fn wall_micros() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_micros() as u64)
}
