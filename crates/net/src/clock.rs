//! A clock that includes the time for which a host is suspended.

use std::time::Duration;

use rustix::time::{clock_gettime, ClockId};

use snipemast_core::prelude::*;

/// The host's boot clock, as moments since it was created.
///
/// Failure guarded against: a host is suspended for seconds, which the monotonic clock does not
/// include, so that a leader resumes with a lease that has expired for all others. The boot clock
/// includes them.
#[derive(Debug, Clone, Copy)]
pub struct BootClock {
    start: Duration,
}

impl BootClock {
    /// Creates a clock that starts now.
    pub fn new() -> Self {
        Self { start: boot_time() }
    }

    /// Returns the present moment.
    pub fn now(&self) -> Moment {
        let since = boot_time().saturating_sub(self.start);
        Moment::from_micros(since.as_micros() as u64)
    }
}

impl Default for BootClock {
    fn default() -> Self {
        Self::new()
    }
}

fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec.max(0) as u64, time.tv_nsec.max(0) as u32)
}
