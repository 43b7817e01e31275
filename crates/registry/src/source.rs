//! Which controllers a gateway requests a configuration from.
//!
//! A document of 350 routes and more takes some 165 kB. A controller out of five sends it to the 30
//! gateways of its availability zone, which takes 0.2 s of its link. If gateways asked every other
//! controller in the meantime, they would get the document up to five times, most of it over the
//! links between availability zones.

use snipemast_core::prelude::*;

/// How long the controller of the own availability zone, and then each further controller that is
/// asked, may take to send a configuration.
///
/// This is twice what a large configuration takes, and a fifth of the shortest time within which
/// one must be in force.
pub const FETCH_TIMEOUT: Span = Span::from_millis(400);

/// Limits how often controllers other than that of the own availability zone are asked for a
/// configuration.
#[derive(Debug, Default)]
pub struct Source {
    asked: Option<Moment>,
}

impl Source {
    /// Returns whether another controller may be asked now, and counts it as asked if so.
    ///
    /// Only one is asked at a time.
    pub fn try_ask(&mut self, now: Moment) -> bool {
        let due = self.asked.is_none_or(|asked| now >= asked + FETCH_TIMEOUT);
        if due {
            self.asked = Some(now);
        }
        due
    }
}
