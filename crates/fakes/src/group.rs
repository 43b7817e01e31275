//! The engines of a group, which step in lock-step and record the map of each step.
//!
//! The record is the check: one step that two ranks entered with two maps is a fault.

use std::collections::BTreeMap;
use std::sync::Arc;

use parking_lot::Mutex;
use trillium::{async_trait, Conn, Handler, Status};

use snipemast_core::prelude::*;
use snipemast_groups::agree::message::SharedMap;
use snipemast_groups::agree::{ActiveMap, EngineStatus, Permit};
use snipemast_servers::protocol;
use snipemast_wire::group::path;
use snipemast_wire::serve::{read_message, reply, reply_malformed};

/// Steps whose maps are remembered for the check.
const RECORD: usize = 4_096;

/// One step, entered with more than one map.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct MapConflict {
    /// The step.
    pub step: Step,
    /// The map that a rank entered it with first.
    pub first: MapVersion,
    /// The map that another rank entered it with.
    pub second: MapVersion,
}

/// One rank's engine.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Seat {
    checks: bool,
    stalled: bool,
    incarnation: GroupIncarnation,
    next: Step,
    facts: BTreeMap<Step, MapVersion>,
    maps: BTreeMap<MapVersion, SharedMap>,
    shown: Option<ActiveMap>,
}

/// The engines of all ranks of a group.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LockStep {
    seats: Vec<Seat>,
    record: BTreeMap<Step, MapVersion>,
    torn: Option<MapConflict>,
    highest: MapVersion,
}

impl LockStep {
    /// Engines that wait for their first permits.
    pub fn new(ranks: u32) -> Self {
        let seat = Seat::new(true);
        Self {
            seats: vec![seat; ranks as usize],
            record: BTreeMap::new(),
            torn: None,
            highest: MapVersion::new(0),
        }
    }

    /// Engines that take permits of any incarnation, and the last that came for a step.
    #[must_use]
    pub fn with_unchecked(mut self) -> Self {
        for seat in &mut self.seats {
            seat.checks = false;
        }
        self
    }

    /// Gives a rank's engine the weights of a map.
    pub fn load(&mut self, rank: u32, version: MapVersion, map: SharedMap) {
        let seat = &mut self.seats[rank as usize];
        seat.maps.insert(version, map);
        while seat.maps.len() > 4 {
            seat.maps.pop_first();
        }
    }

    /// Gives a rank's engine a permit.
    pub fn permit(&mut self, rank: u32, permit: Permit) {
        self.seats[rank as usize].permit(permit);
    }

    /// Lets a rank enter its next step, where its permit and the other ranks allow it.
    pub fn enter(&mut self, rank: u32) -> bool {
        let next = self.seats[rank as usize].next;
        let others_done = self.seats.iter().all(|s| s.next >= next);
        let seat = &mut self.seats[rank as usize];
        let Some(&version) = seat.facts.get(&next).filter(|_| !seat.stalled) else {
            return false;
        };
        if !others_done {
            return false;
        }
        seat.take(version);
        self.note(next, version);
        true
    }

    /// Replaces a rank's engine by a fresh one.
    pub fn replace(&mut self, rank: u32) {
        let seat = &mut self.seats[rank as usize];
        *seat = Seat::new(seat.checks);
    }

    /// Makes a rank stall, or go on.
    pub fn stall(&mut self, rank: u32, stalled: bool) {
        self.seats[rank as usize].stalled = stalled;
    }

    /// What a rank's engine shows of itself.
    pub fn status(&self, rank: u32) -> EngineStatus {
        let seat = &self.seats[rank as usize];
        let mut end = seat.next;
        while seat.facts.contains_key(&end) {
            end = end.next();
        }
        EngineStatus {
            incarnation: seat.incarnation,
            step: seat.next,
            end,
            last_map: seat.shown.clone(),
        }
    }

    /// The first step that was entered with two maps.
    pub fn map_conflict(&self) -> Option<MapConflict> {
        self.torn
    }

    /// The highest version that any rank entered a step with.
    pub fn highest(&self) -> MapVersion {
        self.highest
    }

    /// The step that every rank has completed, at least.
    pub fn completed(&self) -> Step {
        let next = self.seats.iter().map(|s| s.next).min();
        Step::new(next.map_or(0, |s| s.get().saturating_sub(1)))
    }

    /// The last step that any rank has entered, and its map.
    pub fn last(&self) -> Option<(Step, MapVersion)> {
        self.record.last_key_value().map(|(s, v)| (*s, *v))
    }

    fn note(&mut self, step: Step, version: MapVersion) {
        self.highest = self.highest.max(version);
        let first = *self.record.entry(step).or_insert(version);
        if first != version && self.torn.is_none() {
            self.torn = Some(MapConflict {
                step,
                first,
                second: version,
            });
        }
        while self.record.len() > RECORD {
            self.record.pop_first();
        }
    }
}

impl Seat {
    fn new(checks: bool) -> Self {
        Self {
            checks,
            stalled: false,
            incarnation: GroupIncarnation::new(0),
            next: Step::new(0),
            facts: BTreeMap::new(),
            maps: BTreeMap::new(),
            shown: None,
        }
    }

    fn permit(&mut self, permit: Permit) {
        let Permit {
            incarnation,
            from,
            to,
            version,
        } = permit;
        if self.checks && incarnation < self.incarnation {
            return;
        }
        // A later incarnation starts at its first permit; no engine goes back a step.
        if incarnation > self.incarnation && from >= self.next {
            self.incarnation = incarnation;
            self.next = from;
            self.facts.clear();
        }
        let steps = (from.get()..to.get()).map(Step::new);
        for step in steps.filter(|s| *s >= self.next) {
            self.facts.insert(step, version);
        }
    }

    fn take(&mut self, version: MapVersion) {
        self.facts.remove(&self.next);
        self.next = self.next.next();
        let map = self.maps.get(&version).cloned().unwrap_or_default();
        self.shown = Some(ActiveMap {
            incarnation: self.incarnation,
            version,
            map,
        });
    }
}

/// The engines of a group behind HTTP, one handler a rank.
#[derive(Debug, Clone)]
pub struct FakeGroup {
    steps: Arc<Mutex<LockStep>>,
}

impl FakeGroup {
    /// Engines that wait for their first permits.
    pub fn new(ranks: u32) -> Self {
        Self {
            steps: Arc::new(Mutex::new(LockStep::new(ranks))),
        }
    }

    /// The engines, to look at or to disturb.
    pub fn steps(&self) -> &Arc<Mutex<LockStep>> {
        &self.steps
    }

    /// Lets every rank enter a step where it can.
    pub fn advance(&self) {
        let mut steps = self.steps.lock();
        for rank in 0..steps.seats.len() as u32 {
            steps.enter(rank);
        }
    }

    /// The HTTP server of one rank's engine.
    pub fn rank(&self, rank: u32, info: ServerInfo) -> FakeRank {
        FakeRank {
            rank,
            info,
            steps: Arc::clone(&self.steps),
        }
    }
}

/// One rank's engine behind HTTP.
#[derive(Debug, Clone)]
pub struct FakeRank {
    rank: u32,
    info: ServerInfo,
    steps: Arc<Mutex<LockStep>>,
}

#[async_trait]
impl Handler for FakeRank {
    async fn run(&self, mut conn: Conn) -> Conn {
        match conn.path() {
            protocol::INFO => crate::engine::answer_json(conn, &self.info),
            protocol::LOAD => crate::engine::answer_json(conn, &LoadReport::default()),
            path::ENGINE_STATUS => {
                let status = self.steps.lock().status(self.rank);
                reply(conn, &status)
            }
            path::ENGINE_PERMIT => {
                let Some(permit) = read_message::<Permit>(&mut conn).await else {
                    return reply_malformed(conn);
                };
                let mut steps = self.steps.lock();
                steps.permit(self.rank, permit);
                let status = steps.status(self.rank);
                drop(steps);
                reply(conn, &status)
            }
            path::ENGINE_WEIGHTS => {
                let Some((version, map)) = read_message::<(MapVersion, SharedMap)>(&mut conn).await
                else {
                    return reply_malformed(conn);
                };
                self.steps.lock().load(self.rank, version, map);
                reply(conn, &version)
            }
            _ => conn.with_status(Status::NotFound).halt(),
        }
    }
}
