//! The engines of a group, which run in lock-step and record the map of each step.
//!
//! Tests check the record: it is a fault if two ranks entered the same step with different maps.

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

/// The number of steps whose maps are recorded.
const RECORDED_STEPS: usize = 4_096;

/// A step that was entered with more than one map.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct MapConflict {
    /// The step.
    pub step: Step,
    /// The map with which the first rank entered the step.
    pub first: MapVersion,
    /// The map with which another rank entered the step.
    pub second: MapVersion,
}

/// The engine of one rank.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Seat {
    /// Whether the engine rejects permits of earlier incarnations.
    checks: bool,
    stalled: bool,
    incarnation: GroupIncarnation,
    /// The next step to enter.
    next: Step,
    /// The map of each permitted step.
    permitted: BTreeMap<Step, MapVersion>,
    maps: BTreeMap<MapVersion, SharedMap>,
    /// The map of the last step that was entered.
    last_map: Option<ActiveMap>,
}

/// The engines of all ranks of a group.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LockStep {
    seats: Vec<Seat>,
    record: BTreeMap<Step, MapVersion>,
    conflict: Option<MapConflict>,
    highest: MapVersion,
}

impl LockStep {
    /// Creates engines that wait for their first permits.
    pub fn new(ranks: u32) -> Self {
        let seat = Seat::new(true);
        Self {
            seats: vec![seat; ranks as usize],
            record: BTreeMap::new(),
            conflict: None,
            highest: MapVersion::new(0),
        }
    }

    /// Makes the engines accept permits of any incarnation, and for each step the last one received.
    #[must_use]
    pub fn with_unchecked(mut self) -> Self {
        for seat in &mut self.seats {
            seat.checks = false;
        }
        self
    }

    /// Passes the weights of a map to a rank's engine.
    pub fn load(&mut self, rank: u32, version: MapVersion, map: SharedMap) {
        let seat = &mut self.seats[rank as usize];
        seat.maps.insert(version, map);
        while seat.maps.len() > 4 {
            seat.maps.pop_first();
        }
    }

    /// Passes a permit to a rank's engine.
    pub fn permit(&mut self, rank: u32, permit: Permit) {
        self.seats[rank as usize].permit(permit);
    }

    /// Lets a rank enter its next step if its permit and the other ranks allow it, and returns whether it
    /// did.
    pub fn enter(&mut self, rank: u32) -> bool {
        let next = self.seats[rank as usize].next;
        let others_done = self.seats.iter().all(|s| s.next >= next);
        let seat = &mut self.seats[rank as usize];
        let Some(&version) = seat.permitted.get(&next).filter(|_| !seat.stalled) else {
            return false;
        };
        if !others_done {
            return false;
        }
        seat.enter_step(version);
        self.record_map(next, version);
        true
    }

    /// Replaces a rank's engine by a new one.
    pub fn replace(&mut self, rank: u32) {
        let seat = &mut self.seats[rank as usize];
        *seat = Seat::new(seat.checks);
    }

    /// Makes a rank stall or continue.
    pub fn stall(&mut self, rank: u32, stalled: bool) {
        self.seats[rank as usize].stalled = stalled;
    }

    /// Returns the status of a rank's engine.
    pub fn status(&self, rank: u32) -> EngineStatus {
        let seat = &self.seats[rank as usize];
        let mut end = seat.next;
        while seat.permitted.contains_key(&end) {
            end = end.next();
        }
        EngineStatus {
            incarnation: seat.incarnation,
            step: seat.next,
            end,
            last_map: seat.last_map.clone(),
        }
    }

    /// Returns the first step that was entered with two maps.
    pub fn map_conflict(&self) -> Option<MapConflict> {
        self.conflict
    }

    /// Returns the highest map version with which any rank entered a step.
    pub fn highest(&self) -> MapVersion {
        self.highest
    }

    /// Returns the last step that all ranks have completed.
    pub fn completed(&self) -> Step {
        let next = self.seats.iter().map(|s| s.next).min();
        Step::new(next.map_or(0, |s| s.get().saturating_sub(1)))
    }

    /// Returns the last step that any rank has entered, and its map.
    pub fn last(&self) -> Option<(Step, MapVersion)> {
        self.record.last_key_value().map(|(s, v)| (*s, *v))
    }

    /// Records the map of a step, and a conflict with the map recorded before.
    fn record_map(&mut self, step: Step, version: MapVersion) {
        self.highest = self.highest.max(version);
        let first = *self.record.entry(step).or_insert(version);
        if first != version && self.conflict.is_none() {
            self.conflict = Some(MapConflict {
                step,
                first,
                second: version,
            });
        }
        while self.record.len() > RECORDED_STEPS {
            self.record.pop_first();
        }
    }
}

impl Seat {
    /// Creates an engine that has received no permit.
    fn new(checks: bool) -> Self {
        Self {
            checks,
            stalled: false,
            incarnation: GroupIncarnation::new(0),
            next: Step::new(0),
            permitted: BTreeMap::new(),
            maps: BTreeMap::new(),
            last_map: None,
        }
    }

    /// Accepts a permit, unless it belongs to an earlier incarnation.
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
        // A later incarnation starts at its first permit; no engine goes back to an earlier step.
        if incarnation > self.incarnation && from >= self.next {
            self.incarnation = incarnation;
            self.next = from;
            self.permitted.clear();
        }
        let steps = (from.get()..to.get()).map(Step::new);
        for step in steps.filter(|s| *s >= self.next) {
            self.permitted.insert(step, version);
        }
    }

    /// Enters the next step with a map.
    fn enter_step(&mut self, version: MapVersion) {
        self.permitted.remove(&self.next);
        self.next = self.next.next();
        let map = self.maps.get(&version).cloned().unwrap_or_default();
        self.last_map = Some(ActiveMap {
            incarnation: self.incarnation,
            version,
            map,
        });
    }
}

/// The engines of a group behind HTTP, with one handler per rank.
#[derive(Debug, Clone)]
pub struct FakeGroup {
    steps: Arc<Mutex<LockStep>>,
}

impl FakeGroup {
    /// Creates engines that wait for their first permits.
    pub fn new(ranks: u32) -> Self {
        Self {
            steps: Arc::new(Mutex::new(LockStep::new(ranks))),
        }
    }

    /// Returns the engines, for checks and disturbances.
    pub fn steps(&self) -> &Arc<Mutex<LockStep>> {
        &self.steps
    }

    /// Lets every rank enter its next step if it can.
    pub fn advance(&self) {
        let mut steps = self.steps.lock();
        for rank in 0..steps.seats.len() as u32 {
            steps.enter(rank);
        }
    }

    /// Returns the HTTP handler of one rank's engine.
    pub fn rank(&self, rank: u32, info: ServerInfo) -> FakeRank {
        FakeRank {
            rank,
            info,
            steps: Arc::clone(&self.steps),
        }
    }
}

/// The engine of one rank behind HTTP.
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
