//! On rank 0: evens out the group's experts.

use std::net::SocketAddr;
use std::sync::Arc;

use snipemast_core::prelude::*;
use snipemast_groups::demand::Demand;
use snipemast_groups::draft::Base;
use snipemast_groups::even::{rebalance, Rebalanced, Thresholds};
use snipemast_groups::switch::{RankOrder, RankState, SwitchResult};
use snipemast_groups::takeover::{yields_to_takeover, DEPUTY_RANK};
use snipemast_net::BootClock;
use snipemast_routes::engine::Experts;

use crate::calls::{Calls, OrderOutcome};
use crate::group::{map_in_force, Group};
use crate::news::Reader;
use crate::peers::{RankReport, StateQuery};

/// From one look to the next while nothing is under way: demand shifts within seconds, and a tenth of one
/// holds enough choices to tell.
const PACE: Span = Span::from_millis(120);

/// The pause after a look while a switch is under way or the demand is shifting, and at least.
const QUICK: Span = Span::from_millis(40);

/// How many map numbers one switch leaves free for what ranks prepare to outdate armings.
const BURNT: u64 = 1_000;

/// How far a lead that takes a group up jumps ahead of all numbers that it sees: orders of the lead
/// before it may still be on their way, and none of its numbers may come again with another map.
const JUMP: u64 = 1_000_000;

/// The fewest choices in the demand that a map is made for.
const ENOUGH: f64 = 20_000.0;

/// A copy must take this part off the fullest rank's load (mean 1), shared by the ranks, and a map this
/// part off a step: what lies below is noise of a few hundred ms of counts, and its copies slow all passes.
const COPY_GAIN: f64 = 0.8;
const STEP_GAIN: f64 = 0.14;

/// The lead of a group.
pub(crate) struct Lead {
    reader: Arc<Reader>,
    journal: Journal,
    clock: BootClock,
    calls: Calls,
    group: Option<Group>,
    /// Whether all ranks are to be looked at.
    whole: bool,
    /// The highest map number that was given out, in whatever epoch.
    highest: MapVersion,
    /// Since when a group is left to a takeover.
    waits: Option<Moment>,
    /// The demand of the group before it was lost.
    remembered: Option<Demand>,
}

impl Lead {
    pub(crate) fn new(reader: Arc<Reader>, journal: Journal) -> Self {
        Self {
            reader,
            journal,
            clock: BootClock::new(),
            calls: Calls::new(),
            group: None,
            whole: false,
            highest: MapVersion(0),
            waits: None,
            remembered: None,
        }
    }

    /// Leads for as long as it is polled.
    pub(crate) async fn run(mut self) {
        let mut looked = self.clock.now();
        loop {
            let whole = self.whole || self.is(|g| !g.switch.is_idle());
            let hurry = whole || self.is(|g| !g.settled);
            let due = self.clock.now().until(looked + PACE);
            self.rest(if hurry { QUICK } else { due.max(QUICK) }).await;
            looked = self.clock.now();
            let now = self.clock.now();
            if !self.is(|g| g.switch.awaits_orders(now)) {
                self.look(whole).await;
            }
            let now = self.clock.now();
            let sends = self.group.as_mut().map(|g| g.switch.tick(now));
            self.execute(sends.unwrap_or_default());
            self.conclude();
        }
    }

    /// Whether there is a group of which something holds.
    fn is(&self, holds: impl Fn(&Group) -> bool) -> bool {
        self.group.as_ref().is_some_and(holds)
    }

    /// Takes what became of orders, until it is time to look again.
    async fn rest(&mut self, span: Span) {
        let end = self.clock.now() + span;
        loop {
            let left = self.clock.now().until(end);
            if left == Span::default() {
                return;
            }
            let Some(told) = self.calls.outcome(left).await else {
                return;
            };
            self.take(&told);
        }
    }

    fn take(&mut self, told: &OrderOutcome) {
        let now = self.clock.now();
        let Some(group) = self.group.as_mut() else {
            return;
        };
        let sends = group
            .switch
            .handle_outcome(now, told.rank, told.phase, told.outcome);
        self.execute(sends);
        self.conclude();
    }

    /// Looks at the group: at all ranks, or at those that tell enough while nothing is under way.
    async fn look(&mut self, whole: bool) {
        let Some(group) = self.group.as_mut() else {
            return self.find().await;
        };
        let queries = group.queries(whole);
        let (whole, asked) = (queries.len() == group.addresses.len(), queries.len());
        let seen = self.calls.look(queries).await;
        if seen.iter().any(|(_, s)| !s.state.open) {
            self.whole = false;
            return;
        }
        let now = self.clock.now();
        let Some(group) = self.group.as_mut() else {
            return;
        };
        if !group.take(now, &seen) {
            // Formed again: whatever was under way is forgotten.
            self.lose("the group formed again");
            return;
        }
        self.reader.set_slow(group.slow());
        if whole && seen.len() == asked {
            self.whole = false;
            let states = group.states.clone();
            let sends = group.switch.observe(now, &states);
            self.execute(sends);
            self.conclude();
            self.settle();
        } else {
            group.switch.observe_step(now, group.states[0].step);
            self.plan();
        }
    }

    /// Looks for a group, and takes it up once all of its ranks answer alike.
    async fn find(&mut self) {
        let query = StateQuery {
            experts: true,
            counted: None,
        };
        let asked = self.reader.ranks();
        let mut all = self.calls.look_again(asked, &query).await;
        all.retain(|(_, seen)| seen.group == *self.reader.group());
        all.sort_by_key(|(_, seen)| seen.rank);
        let Some(first) = all.first().map(|(_, seen)| seen.clone()) else {
            return;
        };
        let whole =
            all.len() == first.size && all.iter().enumerate().all(|(n, (_, s))| s.rank == n);
        let alike = |s: &RankState| s.epoch == first.state.epoch && s.open;
        if !whole || !all.iter().all(|(_, seen)| alike(&seen.state)) {
            return;
        }
        let (addresses, seen): (Vec<SocketAddr>, Vec<RankReport>) = all.into_iter().unzip();
        if !self.leaves(&seen) {
            self.adopt(addresses, &seen);
        }
    }

    /// Whether a takeover is at work on the group, and is left to end.
    fn leaves(&mut self, seen: &[RankReport]) -> bool {
        let now = self.clock.now();
        let highest = seen.iter().map(|s| s.lead).max().unwrap_or_default();
        let held = seen.iter().any(|s| s.state.held.is_some());
        let since = *self.waits.get_or_insert(now);
        let leaves = yields_to_takeover(highest, held, since.until(now));
        if !leaves {
            self.waits = None;
        }
        leaves
    }

    /// Takes a group up: one that has formed again, or one that an earlier lead left.
    fn adopt(&mut self, addresses: Vec<SocketAddr>, seen: &[RankReport]) {
        let Some(experts) = self.experts() else {
            return;
        };
        let Some(map) = map_in_force(&experts, seen) else {
            return;
        };
        if let Some(process) = addresses.get(DEPUTY_RANK).copied() {
            let Some(server) = self.reader.server_at(process.ip()) else {
                return;
            };
            self.calls.hold_at(server, process, &self.journal);
        }
        let leads = seen.iter().map(|s| s.lead);
        let lead = self.calls.lead_above(leads.max().unwrap_or_default());
        let mut group = Group::new(lead, addresses, seen, map);
        if let Some(demand) = self.remembered.take() {
            group.demand.carry_over(&demand);
            group.settled = true;
        }
        let jumped = MapVersion(group.highest().get() + JUMP);
        self.highest = self.highest.max(jumped);
        let detail = format!("epoch {}, map {}", group.epoch, group.version);
        let sends = group.switch.recover(&group.states);
        self.group = Some(group);
        self.journal
            .record(Event::GroupRestarted, &seen[0].group, detail);
        self.execute(sends);
        self.plan();
    }

    /// Settles what all ranks were seen to have, where no switch is under way.
    fn settle(&mut self) {
        let Some(group) = self.group.as_mut().filter(|g| g.switch.is_idle()) else {
            return;
        };
        self.highest = self.highest.max(group.highest());
        if let Some(other) = group.other_map() {
            // A switch was thought to have failed and has not: the experts are asked anew.
            self.lose(&format!("map {other} is in force"));
            return;
        }
        if !group.is_steady() {
            let sends = group.switch.recover(&group.states);
            self.execute(sends);
            return;
        }
        self.plan();
    }

    /// Seeks a better map, and begins a switch to it where it is worth one.
    fn plan(&mut self) {
        let Some(experts) = self.experts() else {
            return;
        };
        let Some(group) = self.group.as_ref().filter(|g| g.switch.is_idle()) else {
            return;
        };
        if !group.is_steady() {
            self.whole = true;
            return;
        }
        if !group.settled || group.demand.total() < ENOUGH {
            return;
        }
        let thresholds = Thresholds {
            spare: experts.spare as usize,
            share: experts.share,
            copy: COPY_GAIN / group.states.len() as f64,
            step: STEP_GAIN,
        };
        let paces = group.paces();
        if let Some(evened) = rebalance(&group.map, group.demand.sums(), &paces, &thresholds) {
            self.begin(evened);
        }
    }

    fn begin(&mut self, evened: Rebalanced) {
        let now = self.clock.now();
        let Some(group) = self.group.as_mut() else {
            return;
        };
        let version = self.highest.max(group.highest()).next();
        self.highest = MapVersion(version.get() + BURNT);
        let detail = format!(
            "map {version}, {} copies, fullest rank {:.2} to {:.2}",
            evened.copies, evened.fullest.0, evened.fullest.1
        );
        let map = Arc::new(evened.map);
        group.next = Some(Arc::clone(&map));
        let draft = group.draft(&map);
        let switch = &mut group.switch;
        let sends = switch.begin(now, group.epoch, version, draft, map);
        self.journal.record(Event::MovePlanned, "group", detail);
        self.execute(sends);
    }

    /// Takes note of a switch that has ended.
    fn conclude(&mut self) {
        let Some(group) = self.group.as_mut() else {
            return;
        };
        let Some(ended) = group.switch.take_result() else {
            return;
        };
        let next = group.next.take();
        match ended {
            SwitchResult::Switched(version) => {
                self.journal
                    .record(Event::MapCommitted, "group", format_args!("map {version}"));
                match next {
                    Some(map) => {
                        (group.map, group.version) = (map, version);
                        group.base = Some(Base::Known(version));
                    }
                    // Left by an earlier lead: which experts are where is asked anew.
                    None => self.group = None,
                }
            }
            SwitchResult::Kept(reason) => self.lose(reason),
        }
    }

    /// Forgets the group; it is looked for anew.
    fn lose(&mut self, reason: &str) {
        self.journal.record(Event::MapAborted, "group", reason);
        self.remembered = self.group.take().map(|g| g.demand);
        self.whole = false;
    }

    fn experts(&self) -> Option<Experts> {
        self.reader.engine().and_then(|e| e.experts)
    }

    fn execute(&mut self, sends: Vec<RankOrder>) {
        if let Some(group) = &self.group {
            self.calls.execute(sends, &group.addresses);
        }
    }
}
