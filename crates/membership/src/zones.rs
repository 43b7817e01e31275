//! The other zones, and whether this process gets answers from them.
//!
//! Only an answer to a packet of this process proves that a zone is connected. A packet from the
//! zone proves nothing: over a link that works in one direction only, every request to the zone
//! would be lost.

use std::collections::BTreeMap;

use snipemast_core::prelude::*;

/// How many exchanges in a row must go unanswered before a zone counts as cut off.
pub const MAX_MISSES: u32 = 8;

/// How long a zone must also have been silent before it counts as cut off.
pub const MIN_SILENCE: Span = Span::from_millis(2_500);

/// The other zones, and whether each answers.
#[derive(Debug, Default)]
pub struct Zones {
    links: BTreeMap<ZoneId, Link>,
    turn: usize,
}

/// The state of the link to one zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Link {
    /// The number of exchanges in a row that got no answer.
    pub misses: u32,
    /// When the zone last answered, or was first heard of.
    pub answered: Moment,
    /// When it was cut off, if it is.
    pub lost: Option<Moment>,
}

impl Zones {
    /// Returns all other known zones.
    pub fn links(&self) -> &BTreeMap<ZoneId, Link> {
        &self.links
    }

    /// Whether the zone is connected; a zone that was never asked counts as connected.
    pub fn is_connected(&self, zone: &ZoneId) -> bool {
        self.links.get(zone).is_none_or(|l| l.lost.is_none())
    }

    /// Whether any other zone has answered within a span.
    pub fn has_recent_answer(&self, now: Moment, within: Span) -> bool {
        self.links
            .values()
            .any(|l| l.misses == 0 && now.since(l.answered) <= within)
    }

    /// Adds a zone, if it is not known yet.
    pub fn add(&mut self, now: Moment, zone: &ZoneId) {
        if !self.links.contains_key(zone) {
            let link = Link {
                misses: 0,
                answered: now,
                lost: None,
            };
            self.links.insert(zone.clone(), link);
        }
    }

    /// Records an answer from a zone; returns whether the zone was cut off before.
    pub fn record_answer(&mut self, now: Moment, zone: &ZoneId) -> bool {
        self.add(now, zone);
        let link = self.links.get_mut(zone).expect("the zone was just added");
        let back = link.lost.is_some();
        *link = Link {
            misses: 0,
            answered: now,
            lost: None,
        };
        back
    }

    /// Records an unanswered exchange; returns whether the zone counts as cut off from now on.
    pub fn record_miss(&mut self, now: Moment, zone: &ZoneId) -> bool {
        let Some(link) = self.links.get_mut(zone) else {
            return false;
        };
        link.misses = link.misses.saturating_add(1);
        let silent = now.since(link.answered) >= MIN_SILENCE;
        let lost = link.lost.is_none() && silent && link.misses >= MAX_MISSES;
        if lost {
            link.lost = Some(now);
        }
        lost
    }

    /// Returns the zones that failed to answer but are not cut off, which are asked again soon.
    pub fn doubtful(&self) -> Vec<ZoneId> {
        let doubtful = |(_, l): &(&ZoneId, &Link)| l.misses > 0 && l.lost.is_none();
        let zones = self.links.iter().filter(doubtful);
        zones.map(|(z, _)| z.clone()).collect()
    }

    /// Returns the zone whose turn it is, and advances the turn.
    pub fn next_zone(&mut self) -> Option<ZoneId> {
        if self.links.is_empty() {
            return None;
        }
        self.turn = (self.turn + 1) % self.links.len();
        self.links.keys().nth(self.turn).cloned()
    }

    /// Forgets the zones that have been cut off for longer than a span; returns them.
    pub fn forget(&mut self, now: Moment, keep: Span) -> Vec<ZoneId> {
        let old = |l: &Link| l.lost.is_some_and(|at| now.since(at) > keep);
        let gone: Vec<_> = self
            .links
            .iter()
            .filter(|(_, l)| old(l))
            .map(|(z, _)| z.clone())
            .collect();
        self.links.retain(|_, l| !old(l));
        gone
    }
}
