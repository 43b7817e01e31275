//! Points in monotonic time, which callers pass into the packages that make decisions.

use std::fmt;
use std::ops::{Add, Sub};
use std::time::Instant;

use serde::{Deserialize, Serialize};

use crate::units::Span;

/// A point in time on the monotonic clock of a process, in microseconds since the clock's start.
///
/// Moments of different processes are never compared: messages carry the remaining [`Span`]
/// instead. A jump of the wall clock has no effect here.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Moment(u64);

impl Moment {
    /// The start of the clock.
    pub const ZERO: Self = Self(0);
    /// A moment that never arrives.
    pub const NEVER: Self = Self(u64::MAX);

    /// Returns the moment this many microseconds after the start.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Returns the moment this many milliseconds after the start.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the microseconds since the start.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the span since an earlier moment, or zero if it is later.
    pub const fn since(self, earlier: Self) -> Span {
        Span::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the span until a later moment, or zero if it is earlier.
    pub const fn until(self, later: Self) -> Span {
        later.since(self)
    }
}

impl Add<Span> for Moment {
    type Output = Self;

    fn add(self, span: Span) -> Self {
        Self(self.0.saturating_add(span.as_micros()))
    }
}

impl Sub<Span> for Moment {
    type Output = Self;

    fn sub(self, span: Span) -> Self {
        Self(self.0.saturating_sub(span.as_micros()))
    }
}

impl fmt::Display for Moment {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.6}s", self.0 as f64 / 1e6)
    }
}

/// The monotonic clock of a process.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Creates a clock that starts now.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the current moment.
    pub fn now(&self) -> Moment {
        Moment(self.start.elapsed().as_micros() as u64)
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}
