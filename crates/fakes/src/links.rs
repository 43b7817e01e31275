//! A virtual wire: what gets through between two processes, and when.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use snipemast_core::prelude::*;

/// Which processes a cut speaks of.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Side {
    /// Every process.
    All,
    /// The processes of a zone.
    Zone(ZoneId),
    /// The processes of a region.
    Region(RegionId),
    /// One process.
    Host(HostId),
}

/// Messages from one side to the other get lost; the other direction is not touched.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Cut {
    /// Where they come from.
    pub from: Side,
    /// Where they go.
    pub to: Side,
}

/// Where a process stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Place {
    /// Its host.
    pub host: HostId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its region.
    pub region: RegionId,
}

/// The links between all processes.
#[derive(Debug)]
pub struct Links {
    /// The share of messages that get lost, each on its own.
    pub loss: f64,
    /// What is cut.
    pub cuts: Vec<Cut>,
    dice: StdRng,
}

impl Side {
    fn holds(&self, place: &Place) -> bool {
        match self {
            Self::All => true,
            Self::Zone(zone) => place.zone == *zone,
            Self::Region(region) => place.region == *region,
            Self::Host(host) => place.host == *host,
        }
    }
}

impl Links {
    /// Links that lose nothing.
    pub fn new(seed: u64) -> Self {
        Self {
            loss: 0.0,
            cuts: Vec::new(),
            dice: StdRng::seed_from_u64(seed),
        }
    }

    /// Cuts both directions between two sides.
    pub fn cut(&mut self, one: Side, other: Side) {
        self.cut_one_way(one.clone(), other.clone());
        self.cut_one_way(other, one);
    }

    /// Cuts one direction.
    pub fn cut_one_way(&mut self, from: Side, to: Side) {
        self.cuts.push(Cut { from, to });
    }

    /// Mends every cut.
    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    /// Whether the wire carries messages from one process to the other at all.
    pub fn is_connected(&self, from: &Place, to: &Place) -> bool {
        from.host == to.host
            || !self
                .cuts
                .iter()
                .any(|c| c.from.holds(from) && c.to.holds(to))
    }

    /// How long a message takes, or nothing where it gets lost.
    pub fn delay(&mut self, from: &Place, to: &Place) -> Option<Span> {
        if !self.is_connected(from, to) || self.dice.random::<f64>() < self.loss {
            return None;
        }
        let base = if from.zone == to.zone {
            250
        } else if from.region == to.region {
            1_500
        } else {
            15_000
        };
        Some(Span::from_micros(base + self.dice.random_range(0..base)))
    }
}
