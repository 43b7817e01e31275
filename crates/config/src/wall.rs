//! Wall-clock times, which are only displayed and never decided on.

use std::fmt;
use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

/// A wall-clock time in milliseconds since 1970, UTC.
///
/// Wall clocks can jump, so that no decision may depend on one.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WallTime(u64);

impl WallTime {
    /// Creates a time from milliseconds since 1970.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Returns the time of this host's clock.
    pub fn now() -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        Self(since.map_or(0, |d| d.as_millis() as u64))
    }

    /// Returns the milliseconds since 1970.
    pub const fn as_millis(self) -> u64 {
        self.0
    }
}

impl fmt::Display for WallTime {
    /// Writes the time as in RFC 3339, in UTC and whole seconds.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seconds = self.0 / 1_000;
        let (year, month, day) = date(seconds / 86_400);
        let (hour, minute, second) = (seconds / 3_600 % 24, seconds / 60 % 60, seconds % 60);
        write!(
            f,
            "{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}Z"
        )
    }
}

/// Returns the Gregorian year, month and day of a day counted from 1970-01-01.
fn date(days: u64) -> (u64, u64, u64) {
    // Years start in March, so that a leap day is the last day of its year.
    let days = days + 719_468;
    let (era, day) = (days / 146_097, days % 146_097);
    let year = (day - day / 1_460 + day / 36_524 - day / 146_096) / 365;
    let day = day - (365 * year + year / 4 - year / 100);
    let month = (5 * day + 2) / 153;
    let date = day - (153 * month + 2) / 5 + 1;
    let month = if month < 10 { month + 3 } else { month - 9 };
    (era * 400 + year + u64::from(month <= 2), month, date)
}
