//! A simulated network, which decides whether and when a message arrives.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use snipemast_core::prelude::*;

/// The processes on one side of a cut.
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

/// A cut in one direction: messages from one side to the other are lost.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Cut {
    /// The senders.
    pub from: Side,
    /// The receivers.
    pub to: Side,
}

/// The location of a process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Place {
    /// The host.
    pub host: HostId,
    /// The availability zone.
    pub zone: ZoneId,
    /// The region.
    pub region: RegionId,
}

/// The links between all processes.
#[derive(Debug)]
pub struct Links {
    /// The share of messages that are lost, each independently of the others.
    pub loss: f64,
    /// The cuts in force.
    pub cuts: Vec<Cut>,
    rng: StdRng,
}

impl Side {
    /// Whether a process is on this side.
    fn includes(&self, place: &Place) -> bool {
        match self {
            Self::All => true,
            Self::Zone(zone) => place.zone == *zone,
            Self::Region(region) => place.region == *region,
            Self::Host(host) => place.host == *host,
        }
    }
}

impl Links {
    /// Creates links that lose nothing.
    pub fn new(seed: u64) -> Self {
        Self {
            loss: 0.0,
            cuts: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Cuts both directions between two sides.
    pub fn cut(&mut self, one: Side, other: Side) {
        self.cut_one_way(one.clone(), other.clone());
        self.cut_one_way(other, one);
    }

    /// Cuts the direction from one side to the other.
    pub fn cut_one_way(&mut self, from: Side, to: Side) {
        self.cuts.push(Cut { from, to });
    }

    /// Removes all cuts.
    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    /// Whether messages from one process can reach the other.
    pub fn is_connected(&self, from: &Place, to: &Place) -> bool {
        from.host == to.host
            || !self
                .cuts
                .iter()
                .any(|c| c.from.includes(from) && c.to.includes(to))
    }

    /// Returns how long a message takes, or none if it is lost.
    pub fn delay(&mut self, from: &Place, to: &Place) -> Option<Span> {
        if !self.is_connected(from, to) || self.rng.random::<f64>() < self.loss {
            return None;
        }
        let base_micros = if from.zone == to.zone {
            250
        } else if from.region == to.region {
            1_500
        } else {
            15_000
        };
        Some(Span::from_micros(
            base_micros + self.rng.random_range(0..base_micros),
        ))
    }
}
