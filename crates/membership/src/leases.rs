//! The leases that an entry has granted to agents.

use std::collections::BTreeMap;

use snipemast_core::prelude::*;

/// How many agents may enrol in one second.
///
/// When a zone returns, all agents look for entries at once. An entry accepts them at this rate and
/// sends the others elsewhere, where they arrive after a delay of their own.
pub const ENROLS_PER_SECOND: u32 = 20;

/// The leases by the agent's host.
#[derive(Debug)]
pub struct Leases {
    length: Span,
    expires: BTreeMap<HostId, Moment>,
    /// When the current second of enrolments began.
    window: Moment,
    /// How many agents enrolled in that second.
    enrolled: u32,
}

impl Leases {
    /// Creates an empty set of leases, each of which will run this long.
    pub fn new(length: Span) -> Self {
        Self {
            length,
            expires: BTreeMap::new(),
            window: Moment::ZERO,
            enrolled: 0,
        }
    }

    /// Returns how long a lease runs.
    pub fn length(&self) -> Span {
        self.length
    }

    /// Renews a lease.
    pub fn renew(&mut self, now: Moment, host: &HostId) {
        let expires = now + self.length;
        match self.expires.get_mut(host) {
            Some(lease) => *lease = expires,
            None => {
                self.expires.insert(host.clone(), expires);
            }
        }
    }

    /// Counts one enrolment; returns whether it is within the rate of this second.
    pub fn admit(&mut self, now: Moment) -> bool {
        if now.since(self.window) >= Span::from_secs(1) {
            self.window = now;
            self.enrolled = 0;
        }
        self.enrolled += 1;
        self.enrolled <= ENROLS_PER_SECOND
    }

    /// Ends a lease.
    pub fn end(&mut self, host: &HostId) {
        self.expires.remove(host);
    }

    /// Ends the expired leases; returns the hosts that held them.
    pub fn expire(&mut self, now: Moment) -> Vec<HostId> {
        let expired: Vec<_> = self
            .expires
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(h, _)| h.clone())
            .collect();
        self.expires.retain(|_, at| *at > now);
        expired
    }

    /// Extends all leases by the time in which this process did not run.
    ///
    /// Failure guarded against: an entry that stalled for seconds finds all leases expired and
    /// drops living agents. No renewal could be read during the stall, so its time doesn't count.
    pub fn extend(&mut self, stall: Span) {
        for expires in self.expires.values_mut() {
            *expires = *expires + stall;
        }
    }
}
