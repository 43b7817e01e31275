//! Of whom a gateway asks a configuration that it was told of.
//!
//! Load answered: a document of 350 routes and more takes some 165 kB, and a controller of five hands it out to 30
//! gateways of its availability zone, which takes 0.2 s of its link. Gateways that ask every other controller
//! for it meanwhile get it up to five times, most of it over the links between availability zones.

use snipemast_core::prelude::*;

/// How long the controller of the own availability zone, and then each other one that is asked, may take to hand out
/// a configuration: twice what a large one takes, and a fifth of the shortest time within which one must be in force.
pub const FETCH_TIMEOUT: Span = Span::from_millis(400);

/// Who was asked for a configuration besides the controller of the own availability zone.
#[derive(Debug, Default)]
pub struct Source {
    asked: Option<Moment>,
}

impl Source {
    /// Whether another controller is asked now; one at a time.
    pub fn try_ask(&mut self, now: Moment) -> bool {
        let due = self.asked.is_none_or(|asked| now >= asked + FETCH_TIMEOUT);
        if due {
            self.asked = Some(now);
        }
        due
    }
}
