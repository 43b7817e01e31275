//! Policies that pick one of the servers that may take a request.
//!
//! Many gateways choose at the same time with the same old counts. If each takes the server with
//! the least load, all take the same one. That server gets more requests than it runs at once
//! before the next counts show it, while others are idle.
//!
//! - [`Expected`]: draws a server at random. Its weight is its share of this request and of those
//!   that the other gateways are believed to have sent since their counts, if these evened out the
//!   load.
//! - [`Sampled`]: the less loaded of two servers drawn at random.
//! - [`Least`]: the least loaded server. This is best where no other gateway chooses.

use std::fmt::Debug;

use snipemast_core::data;
use snipemast_core::hash::{fraction, index_below, mix};
use snipemast_core::prelude::*;

/// The cost of a server in another availability zone, in requests. Requests that stay in their zone
/// don't cross lossy or cut links, and are counted sooner.
const REMOTE_ZONE_COST: f64 = 2.0;

/// A server that may take a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// The number of requests that this gateway has in flight there.
    pub own: u32,
    /// The number of requests that the other gateways last reported in flight there.
    pub others: u32,
    /// The number of requests that the server runs at once.
    pub slots: u32,
    /// Whether the server is in this gateway's availability zone.
    pub same_zone: bool,
}

/// How much the other gateways' counts still say.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Freshness {
    /// The age of the counts.
    pub age: Span,
    /// How long a request is usually in flight.
    pub usual_duration: Span,
}

/// A policy that picks a server.
pub trait Pick: Debug + Default {
    /// Returns the index of the candidate that gets the request, or nothing if there is no
    /// candidate.
    ///
    /// `chance` is a random number that differs between requests and between gateways.
    fn pick(&self, candidates: &[Candidate], freshness: Freshness, chance: u64) -> Option<usize>;
}

/// Picks the least loaded server.
#[derive(Debug, Clone, Copy, Default)]
pub struct Least;

/// Picks the less loaded of two servers drawn at random, out of those of the own zone while one of
/// them has a free slot.
#[derive(Debug, Clone, Copy, Default)]
pub struct Sampled;

/// Draws a server at random so that the expected load evens out.
///
/// If the counts are recent compared with the duration of a request and no other gateway sends
/// requests, this is the least loaded server. The older the counts and the more requests of others,
/// the more servers share the load.
#[derive(Debug, Clone, Copy, Default)]
pub struct Expected;

data! {
    /// The policies that settings can name.
    #[derive(Copy, Default)]
    #[serde(rename_all = "lowercase")]
    pub enum PickPolicy {
        /// The policy [`Least`].
        Least,
        /// The policy [`Sampled`].
        #[default]
        Sampled,
        /// The policy [`Expected`].
        Expected,
    }
}

impl Pick for PickPolicy {
    fn pick(&self, candidates: &[Candidate], freshness: Freshness, chance: u64) -> Option<usize> {
        match self {
            Self::Least => Least.pick(candidates, freshness, chance),
            Self::Sampled => Sampled.pick(candidates, freshness, chance),
            Self::Expected => Expected.pick(candidates, freshness, chance),
        }
    }
}

impl Pick for Least {
    fn pick(&self, candidates: &[Candidate], _: Freshness, chance: u64) -> Option<usize> {
        let costs = candidates.iter().map(Candidate::cost).enumerate();
        let tie_break = |index: usize| mix(chance ^ index as u64);
        costs
            .min_by(|(a, x), (b, y)| {
                x.total_cmp(y)
                    .then_with(|| tie_break(*a).cmp(&tie_break(*b)))
            })
            .map(|(index, _)| index)
    }
}

impl Pick for Sampled {
    fn pick(&self, candidates: &[Candidate], _: Freshness, chance: u64) -> Option<usize> {
        let local_free = candidates.iter().any(Candidate::is_local_and_free);
        let eligible: Vec<usize> = (0..candidates.len())
            .filter(|index| !local_free || candidates[*index].same_zone)
            .collect();
        if eligible.is_empty() {
            return None;
        }
        let draw = |number: u64| eligible[index_below(mix(chance ^ number), eligible.len())];
        // With two servers, the busier one must not be drawn twice.
        let (one, other) = match eligible[..] {
            [one, other] if index_below(mix(chance), 2) == 0 => (one, other),
            [one, other] => (other, one),
            _ => (draw(1), draw(2)),
        };
        let cost = |index: usize| candidates[index].cost();
        Some(if cost(other) < cost(one) { other } else { one })
    }
}

impl Pick for Expected {
    fn pick(&self, candidates: &[Candidate], freshness: Freshness, chance: u64) -> Option<usize> {
        let left = freshness.fraction_left();
        let mut loads: Vec<Load> = candidates.iter().map(|c| c.expected(left)).collect();
        let replaced = |same_zone: bool| {
            let zone = candidates.iter().filter(move |c| c.same_zone == same_zone);
            zone.map(|c| f64::from(c.others) * (1.0 - left))
                .sum::<f64>()
        };
        // Gateways of other zones fill their own servers first.
        let remote: Vec<usize> = (0..loads.len())
            .filter(|n| !candidates[*n].same_zone)
            .collect();
        let level = fill_level(remote.iter().map(|n| loads[*n]), replaced(false));
        for index in remote {
            let load = &mut loads[index];
            load.in_flight = load.in_flight.max(level * load.slots) + REMOTE_ZONE_COST;
        }
        draw_by_share(&loads, replaced(true) + 1.0, chance)
    }
}

impl Freshness {
    /// Returns the fraction of the counted requests that are still in flight.
    fn fraction_left(&self) -> f64 {
        let (age, usual) = (self.age.as_micros(), self.usual_duration.as_micros().max(1));
        (-(age as f64) / usual as f64).exp()
    }
}

impl Candidate {
    /// Whether a request would begin there at once.
    pub(crate) fn has_free_slot(&self) -> bool {
        self.own + self.others < self.slots
    }

    /// Whether a request would begin there at once, within this gateway's zone.
    pub(crate) fn is_local_and_free(&self) -> bool {
        self.same_zone && self.has_free_slot()
    }

    /// Returns the load per slot, including the cost of another zone.
    fn cost(&self) -> f64 {
        let extra = if self.same_zone {
            0.0
        } else {
            REMOTE_ZONE_COST
        };
        (f64::from(self.own + self.others) + extra) / self.slots()
    }

    /// Returns the load that is left of the counts.
    fn expected(&self, left: f64) -> Load {
        Load {
            in_flight: f64::from(self.own) + f64::from(self.others) * left,
            slots: self.slots(),
        }
    }

    fn slots(&self) -> f64 {
        f64::from(self.slots.max(1))
    }
}

/// The number of requests that are believed to be in flight at a server.
#[derive(Debug, Clone, Copy)]
struct Load {
    in_flight: f64,
    slots: f64,
}

impl Load {
    fn per_slot(&self) -> f64 {
        self.in_flight / self.slots
    }
}

/// Returns the load per slot that the least loaded servers reach if this many requests are added to
/// them.
fn fill_level(loads: impl Iterator<Item = Load>, added: f64) -> f64 {
    let mut sorted: Vec<Load> = loads.collect();
    sorted.sort_by(|a, b| a.per_slot().total_cmp(&b.per_slot()));
    let (mut in_flight, mut slots) = (added, 0.0);
    for load in sorted {
        if slots > 0.0 && in_flight / slots <= load.per_slot() {
            break;
        }
        in_flight += load.in_flight;
        slots += load.slots;
    }
    if slots > 0.0 {
        in_flight / slots
    } else {
        0.0
    }
}

/// Draws a server, weighted by its share of the added requests.
fn draw_by_share(loads: &[Load], added: f64, chance: u64) -> Option<usize> {
    let level = fill_level(loads.iter().copied(), added);
    let share = |load: &Load| (level * load.slots - load.in_flight).max(0.0);
    let total: f64 = loads.iter().map(share).sum();
    let mut point = fraction(mix(chance)) * total;
    for (index, load) in loads.iter().enumerate() {
        point -= share(load);
        if point < 0.0 {
            return Some(index);
        }
    }
    // Rounding can leave a remainder after the last server's share.
    (0..loads.len()).rfind(|index| share(&loads[*index]) > 0.0)
}
