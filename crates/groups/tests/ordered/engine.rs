//! A simulated engine that takes orders.

use snipemast_core::prelude::*;
use snipemast_groups::executor::{Answer, EngineOrder};
use snipemast_groups::switch::RankState;

use super::{COPY, EPOCH};

/// An engine of a rank that behaves as the platform specifies.
#[derive(Clone, Default)]
pub(crate) struct Engine {
    pub(crate) map: u64,
    /// The highest map number that the engine was given.
    pub(crate) highest: u64,
    pub(crate) prepared: Option<u64>,
    /// The map that is being copied, and when that will be done.
    copying: Option<(u64, u64)>,
    pub(crate) armed: Option<(u64, u64)>,
    pub(crate) held: Option<u64>,
}

impl Engine {
    pub(crate) fn order(&mut self, now: u64, order: &EngineOrder, step: u64) -> Answer {
        self.finish_copy(now);
        let fits = match *order {
            EngineOrder::Prepare(v, _) => v.get() > self.highest && self.armed.is_none(),
            EngineOrder::Arm(v, at) => self.prepared == Some(v.get()) && at.get() > step,
            EngineOrder::Disarm(v) => self.armed.is_some_and(|(a, _)| a == v.get()),
            EngineOrder::Hold(at) => self.held.is_none() && at.get() > step,
            EngineOrder::Go(at) => self.held == Some(at.get()),
        };
        if !fits {
            return Answer::Refused;
        }
        match *order {
            EngineOrder::Prepare(v, _) => {
                (self.highest, self.prepared) = (v.get(), None);
                self.copying = Some((v.get(), now + COPY));
            }
            EngineOrder::Arm(v, at) => self.armed = Some((v.get(), at.get())),
            EngineOrder::Disarm(_) => self.armed = None,
            EngineOrder::Hold(at) => self.held = Some(at.get()),
            EngineOrder::Go(_) => self.held = None,
        }
        Answer::Accepted
    }

    /// Completes the copy whose time is over.
    pub(crate) fn finish_copy(&mut self, now: u64) {
        if let Some((version, _)) = self.copying.filter(|(_, at)| now >= *at) {
            (self.prepared, self.copying) = (Some(version), None);
        }
    }

    pub(crate) fn state(&self, step: u64) -> RankState {
        RankState {
            epoch: EPOCH,
            open: true,
            step: Step(step),
            map: MapVersion(self.map),
            prepared: self.prepared.map(MapVersion),
            armed: self.armed.map(|(v, _)| MapVersion(v)),
            held: self.held.map(Step),
        }
    }
}
