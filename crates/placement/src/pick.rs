//! Which of the servers that may take a request gets it.
//!
//! Answers the load of many gateways that choose at the same time on the same old counts. Who
//! takes the least loaded server then takes the one that all others take: it gets more requests
//! than it runs at once before the next counts show them, while others stand idle.
//!
//! - [`Expected`]: drawn by the share that each server would get if this request, and those that the
//!   other gateways are believed to have sent since their counts, evened out the load.
//! - [`Sampled`]: the less loaded of two drawn at random.
//! - [`Least`]: the least loaded one; the best where nobody else chooses.

use std::fmt::Debug;

use snipemast_core::data;
use snipemast_core::hash::{below, fraction, mix};
use snipemast_core::prelude::*;

/// What a server of another availability zone counts more, in requests: what stays in its zone doesn't
/// meet lossy or cut links, and is counted sooner.
const AWAY: f64 = 2.0;

/// A server that may take a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// What this gateway has in flight there.
    pub own: u32,
    /// What the other gateways had when they last told.
    pub others: u32,
    /// How many requests it runs at once.
    pub slots: u32,
    /// Whether it is in this gateway's zone.
    pub near: bool,
}

/// How much the others' counts tell still.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Freshness {
    /// How old they are.
    pub age: Span,
    /// How long a request is in flight, as a rule.
    pub usual: Span,
}

/// A way to pick a server.
pub trait Pick: Debug + Default {
    /// The place of the candidate that gets the request; nothing where there is none.
    ///
    /// `chance` is a number that differs from request to request and from gateway to gateway.
    fn pick(&self, candidates: &[Candidate], fresh: Freshness, chance: u64) -> Option<usize>;
}

/// The least loaded one.
#[derive(Debug, Clone, Copy, Default)]
pub struct Least;

/// The less loaded of two drawn at random, out of those of the own zone while one has a free slot.
#[derive(Debug, Clone, Copy, Default)]
pub struct Sampled;

/// Drawn by what evens out the load that is expected.
///
/// With counts as fresh as a request is short, and nobody else, this is the least loaded server;
/// the older the counts and the more the others' requests, the more servers share it.
#[derive(Debug, Clone, Copy, Default)]
pub struct Expected;

data! {
    /// The ways to pick a server, as settings name them.
    #[derive(Copy, Default)]
    #[serde(rename_all = "lowercase")]
    pub enum PickPolicy {
        /// [`Least`].
        Least,
        /// [`Sampled`].
        #[default]
        Sampled,
        /// [`Expected`].
        Expected,
    }
}

impl Pick for PickPolicy {
    fn pick(&self, candidates: &[Candidate], fresh: Freshness, chance: u64) -> Option<usize> {
        match self {
            Self::Least => Least.pick(candidates, fresh, chance),
            Self::Sampled => Sampled.pick(candidates, fresh, chance),
            Self::Expected => Expected.pick(candidates, fresh, chance),
        }
    }
}

impl Pick for Least {
    fn pick(&self, candidates: &[Candidate], _: Freshness, chance: u64) -> Option<usize> {
        let costs = candidates.iter().map(Candidate::cost).enumerate();
        let tied = |place: usize| mix(chance ^ place as u64);
        costs
            .min_by(|(a, x), (b, y)| x.total_cmp(y).then_with(|| tied(*a).cmp(&tied(*b))))
            .map(|(place, _)| place)
    }
}

impl Pick for Sampled {
    fn pick(&self, candidates: &[Candidate], _: Freshness, chance: u64) -> Option<usize> {
        let near = candidates.iter().any(Candidate::is_near_and_free);
        let drawn: Vec<usize> = (0..candidates.len())
            .filter(|place| !near || candidates[*place].near)
            .collect();
        if drawn.is_empty() {
            return None;
        }
        let draw = |number: u64| drawn[below(mix(chance ^ number), drawn.len())];
        // Of two servers the busier one is never drawn twice.
        let (one, other) = match drawn[..] {
            [one, other] if below(mix(chance), 2) == 0 => (one, other),
            [one, other] => (other, one),
            _ => (draw(1), draw(2)),
        };
        let cost = |place: usize| candidates[place].cost();
        Some(if cost(other) < cost(one) { other } else { one })
    }
}

impl Pick for Expected {
    fn pick(&self, candidates: &[Candidate], fresh: Freshness, chance: u64) -> Option<usize> {
        let left = fresh.left();
        let mut loads: Vec<Load> = candidates.iter().map(|c| c.expected(left)).collect();
        let renewed = |near: bool| {
            let zone = candidates.iter().filter(move |c| c.near == near);
            zone.map(|c| f64::from(c.others) * (1.0 - left))
                .sum::<f64>()
        };
        // Gateways of other zones fill their own servers first.
        let far: Vec<usize> = (0..loads.len()).filter(|n| !candidates[*n].near).collect();
        let level = level(far.iter().map(|n| loads[*n]), renewed(false));
        for place in far {
            let load = &mut loads[place];
            load.there = load.there.max(level * load.slots) + AWAY;
        }
        draw(&loads, renewed(true) + 1.0, chance)
    }
}

impl Freshness {
    /// The part of what was counted that is in flight still.
    fn left(&self) -> f64 {
        let (age, usual) = (self.age.as_micros(), self.usual.as_micros().max(1));
        (-(age as f64) / usual as f64).exp()
    }
}

impl Candidate {
    /// Whether a request begins there at once.
    pub(crate) fn is_free(&self) -> bool {
        self.own + self.others < self.slots
    }

    /// Whether it begins at once in this gateway's zone.
    pub(crate) fn is_near_and_free(&self) -> bool {
        self.near && self.is_free()
    }

    /// What is in flight there for each of its slots, and what its zone counts more.
    fn cost(&self) -> f64 {
        let away = if self.near { 0.0 } else { AWAY };
        (f64::from(self.own + self.others) + away) / self.slots()
    }

    /// What is there still of what was counted.
    fn expected(&self, left: f64) -> Load {
        Load {
            there: f64::from(self.own) + f64::from(self.others) * left,
            slots: self.slots(),
        }
    }

    fn slots(&self) -> f64 {
        f64::from(self.slots.max(1))
    }
}

/// What is believed to be in flight at a server.
#[derive(Debug, Clone, Copy)]
struct Load {
    there: f64,
    slots: f64,
}

impl Load {
    fn share(&self) -> f64 {
        self.there / self.slots
    }
}

/// The load for each slot that servers reach which are below it, if so many requests are added there.
fn level(loads: impl Iterator<Item = Load>, added: f64) -> f64 {
    let mut sorted: Vec<Load> = loads.collect();
    sorted.sort_by(|a, b| a.share().total_cmp(&b.share()));
    let (mut there, mut slots) = (added, 0.0);
    for load in sorted {
        if slots > 0.0 && there / slots <= load.share() {
            break;
        }
        there += load.there;
        slots += load.slots;
    }
    if slots > 0.0 {
        there / slots
    } else {
        0.0
    }
}

/// Draws a server by the share that it gets of what is added.
fn draw(loads: &[Load], added: f64, chance: u64) -> Option<usize> {
    let level = level(loads.iter().copied(), added);
    let gets = |load: &Load| (level * load.slots - load.there).max(0.0);
    let whole: f64 = loads.iter().map(gets).sum();
    let mut point = fraction(mix(chance)) * whole;
    for (place, load) in loads.iter().enumerate() {
        point -= gets(load);
        if point < 0.0 {
            return Some(place);
        }
    }
    // Rounding has left a rest of the last one's share.
    (0..loads.len()).rfind(|place| gets(&loads[*place]) > 0.0)
}
