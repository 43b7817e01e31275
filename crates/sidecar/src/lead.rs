//! On rank 0: balances the load of the group's experts.

use std::net::SocketAddr;
use std::sync::Arc;

use snipemast_core::prelude::*;
use snipemast_groups::demand::Demand;
use snipemast_groups::draft::Base;
use snipemast_groups::even::{rebalance, Rebalanced, Thresholds};
use snipemast_groups::switch::{RankOrder, RankState, SwitchResult};
use snipemast_groups::takeover::{yields_to_takeover, STANDBY_RANK};
use snipemast_net::BootClock;
use snipemast_routes::engine::Experts;

use crate::calls::{Calls, OrderOutcome};
use crate::group::{map_in_force, Group};
use crate::peers::{RankReport, StateQuery};
use crate::reader::UpdateReader;

/// The interval between polls while nothing is under way: demand shifts within seconds, and a tenth of a second
/// holds enough choices to recognize it.
const POLL_INTERVAL: Span = Span::from_millis(120);

/// The pause after a poll while a switch is under way or the demand is shifting, and the shortest pause at all.
const BUSY_POLL_PAUSE: Span = Span::from_millis(40);

/// How many versions one switch reserves for the maps that ranks prepare so that earlier armings become outdated.
const VERSIONS_PER_SWITCH: u64 = 1_000;

/// How far a lead that adopts a group jumps ahead of all versions that it sees: orders of the lead before it may
/// still be on their way, and none of its versions may be used again for another map.
const VERSION_JUMP: u64 = 1_000_000;

/// The fewest choices of experts in the demand for which a new map is planned.
const MIN_CHOICES: f64 = 20_000.0;

/// How much each copy must take off the fullest rank's load (mean 1), divided by the number of ranks: less is
/// noise of a few hundred ms of counts, and its copies slow all passes.
const COPY_GAIN: f64 = 0.8;
/// How much a new map must take off a step, for the same reason.
const STEP_GAIN: f64 = 0.14;

/// The lead of a group.
pub(crate) struct Lead {
    reader: Arc<UpdateReader>,
    journal: Journal,
    clock: BootClock,
    calls: Calls,
    group: Option<Group>,
    /// Whether the next poll queries all ranks.
    poll_all: bool,
    /// The highest map version that was given out in any epoch.
    highest_version: MapVersion,
    /// Since when the lead has left the group to a takeover.
    yields_since: Option<Moment>,
    /// The demand of the group before the lead dropped it.
    previous_demand: Option<Demand>,
}

impl Lead {
    /// Creates a lead that knows of no group yet.
    pub(crate) fn new(reader: Arc<UpdateReader>, journal: Journal) -> Self {
        Self {
            reader,
            journal,
            clock: BootClock::new(),
            calls: Calls::new(),
            group: None,
            poll_all: false,
            highest_version: MapVersion(0),
            yields_since: None,
            previous_demand: None,
        }
    }

    /// Leads the group for as long as the future is polled.
    pub(crate) async fn run(mut self) {
        let mut polled = self.clock.now();
        loop {
            let whole = self.poll_all || self.group_matches(|g| !g.switch.is_idle());
            let is_busy = whole || self.group_matches(|g| !g.settled);
            let due = self.clock.now().until(polled + POLL_INTERVAL);
            self.handle_outcomes(if is_busy {
                BUSY_POLL_PAUSE
            } else {
                due.max(BUSY_POLL_PAUSE)
            })
            .await;
            polled = self.clock.now();
            let now = self.clock.now();
            if !self.group_matches(|g| g.switch.awaits_orders(now)) {
                self.poll_group(whole).await;
            }
            let now = self.clock.now();
            let orders = self.group.as_mut().map(|g| g.switch.tick(now));
            self.send_orders(orders.unwrap_or_default());
            self.finish_switch();
        }
    }

    /// Whether there is a group that meets a condition.
    fn group_matches(&self, holds: impl Fn(&Group) -> bool) -> bool {
        self.group.as_ref().is_some_and(holds)
    }

    /// Handles the outcomes of orders until the next poll is due.
    async fn handle_outcomes(&mut self, span: Span) {
        let end = self.clock.now() + span;
        loop {
            let left = self.clock.now().until(end);
            if left == Span::default() {
                return;
            }
            let Some(outcome) = self.calls.next_outcome(left).await else {
                return;
            };
            self.apply_outcome(&outcome);
        }
    }

    /// Handles the outcome of an order.
    fn apply_outcome(&mut self, outcome: &OrderOutcome) {
        let now = self.clock.now();
        let Some(group) = self.group.as_mut() else {
            return;
        };
        let orders = group
            .switch
            .handle_outcome(now, outcome.rank, outcome.phase, outcome.outcome);
        self.send_orders(orders);
        self.finish_switch();
    }

    /// Polls the group: all ranks, or a part that suffices while nothing is under way.
    async fn poll_group(&mut self, whole: bool) {
        let Some(group) = self.group.as_mut() else {
            return self.find_group().await;
        };
        let queries = group.queries(whole);
        let (whole, asked) = (queries.len() == group.addresses.len(), queries.len());
        let reports = self.calls.query_states(queries).await;
        if reports.iter().any(|(_, r)| !r.state.open) {
            self.poll_all = false;
            return;
        }
        let now = self.clock.now();
        let Some(group) = self.group.as_mut() else {
            return;
        };
        if !group.apply_reports(now, &reports) {
            // The group has formed again: whatever was under way no longer matters.
            self.drop_group("the group formed again");
            return;
        }
        self.reader.set_slow(group.slow_ranks());
        if whole && reports.len() == asked {
            self.poll_all = false;
            let states = group.states.clone();
            let orders = group.switch.observe(now, &states);
            self.send_orders(orders);
            self.finish_switch();
            self.check_states();
        } else {
            group.switch.observe_step(now, group.states[0].step);
            self.plan_switch();
        }
    }

    /// Looks for the group, and adopts it once all of its ranks report the same formation.
    async fn find_group(&mut self) {
        let query = StateQuery {
            experts: true,
            counted: None,
        };
        let processes = self.reader.rank_processes();
        let mut reports = self.calls.query_until_complete(processes, &query).await;
        reports.retain(|(_, report)| report.group == *self.reader.group());
        reports.sort_by_key(|(_, report)| report.rank);
        let Some(first) = reports.first().map(|(_, report)| report.clone()) else {
            return;
        };
        let whole = reports.len() == first.size
            && reports.iter().enumerate().all(|(n, (_, r))| r.rank == n);
        let alike = |s: &RankState| s.epoch == first.state.epoch && s.open;
        if !whole || !reports.iter().all(|(_, report)| alike(&report.state)) {
            return;
        }
        let (addresses, reports): (Vec<SocketAddr>, Vec<RankReport>) = reports.into_iter().unzip();
        if !self.yields_group(&reports) {
            self.adopt_group(addresses, &reports);
        }
    }

    /// Whether the group is left to a takeover that is under way.
    fn yields_group(&mut self, reports: &[RankReport]) -> bool {
        let now = self.clock.now();
        let highest = reports.iter().map(|r| r.lead).max().unwrap_or_default();
        let held = reports.iter().any(|r| r.state.held.is_some());
        let since = *self.yields_since.get_or_insert(now);
        let yields = yields_to_takeover(highest, held, since.until(now));
        if !yields {
            self.yields_since = None;
        }
        yields
    }

    /// Adopts a group: one that has formed again, or one that an earlier lead left.
    fn adopt_group(&mut self, addresses: Vec<SocketAddr>, reports: &[RankReport]) {
        let Some(experts) = self.experts() else {
            return;
        };
        let Some(map) = map_in_force(&experts, reports) else {
            return;
        };
        if let Some(process) = addresses.get(STANDBY_RANK).copied() {
            let Some(server) = self.reader.server_at(process.ip()) else {
                return;
            };
            self.calls.set_holder(server, process, &self.journal);
        }
        let leads = reports.iter().map(|r| r.lead);
        let lead = self.calls.raise_lead(leads.max().unwrap_or_default());
        let mut group = Group::new(lead, addresses, reports, map);
        if let Some(demand) = self.previous_demand.take() {
            group.demand.carry_over(&demand);
            group.settled = true;
        }
        let lowest = MapVersion(group.highest_version().get() + VERSION_JUMP);
        self.highest_version = self.highest_version.max(lowest);
        let detail = format!("epoch {}, map {}", group.epoch, group.version);
        let orders = group.switch.recover(&group.states);
        self.group = Some(group);
        self.journal
            .record(Event::GroupRestarted, &reports[0].group, detail);
        self.send_orders(orders);
        self.plan_switch();
    }

    /// Checks the states of all ranks where no switch is under way: recovers what an earlier lead left, or plans.
    fn check_states(&mut self) {
        let Some(group) = self.group.as_mut().filter(|g| g.switch.is_idle()) else {
            return;
        };
        self.highest_version = self.highest_version.max(group.highest_version());
        if let Some(other) = group.differing_map() {
            // A switch that counted as failed has succeeded: the ranks are asked again what they hold.
            self.drop_group(&format!("map {other} is in force"));
            return;
        }
        if !group.is_steady() {
            let orders = group.switch.recover(&group.states);
            self.send_orders(orders);
            return;
        }
        self.plan_switch();
    }

    /// Plans a better map, and begins a switch to it where the gain is worth it.
    fn plan_switch(&mut self) {
        let Some(experts) = self.experts() else {
            return;
        };
        let Some(group) = self.group.as_ref().filter(|g| g.switch.is_idle()) else {
            return;
        };
        if !group.is_steady() {
            self.poll_all = true;
            return;
        }
        if !group.settled || group.demand.total() < MIN_CHOICES {
            return;
        }
        let thresholds = Thresholds {
            spare: experts.spare as usize,
            share: experts.share,
            copy: COPY_GAIN / group.states.len() as f64,
            step: STEP_GAIN,
        };
        let paces = group.pace_factors();
        if let Some(rebalanced) = rebalance(&group.map, group.demand.sums(), &paces, &thresholds) {
            self.begin_switch(rebalanced);
        }
    }

    /// Begins a switch to a rebalanced map.
    fn begin_switch(&mut self, rebalanced: Rebalanced) {
        let now = self.clock.now();
        let Some(group) = self.group.as_mut() else {
            return;
        };
        let version = self.highest_version.max(group.highest_version()).next();
        self.highest_version = MapVersion(version.get() + VERSIONS_PER_SWITCH);
        let detail = format!(
            "map {version}, {} copies, fullest rank {:.2} to {:.2}",
            rebalanced.copies, rebalanced.fullest.0, rebalanced.fullest.1
        );
        let map = Arc::new(rebalanced.map);
        group.next = Some(Arc::clone(&map));
        let draft = group.draft(&map);
        let switch = &mut group.switch;
        switch.expect_saving(rebalanced.saving);
        let orders = switch.begin(now, group.epoch, version, draft, map);
        self.journal.record(Event::MovePlanned, "group", detail);
        self.send_orders(orders);
    }

    /// Applies the result of a switch that has ended.
    fn finish_switch(&mut self) {
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
                    // An earlier lead began this switch: the ranks are asked again what they hold.
                    None => self.group = None,
                }
            }
            SwitchResult::Kept(reason) => self.drop_group(reason),
        }
    }

    /// Forgets the group, so that it is looked for again.
    fn drop_group(&mut self, reason: &str) {
        self.journal.record(Event::MapAborted, "group", reason);
        self.previous_demand = self.group.take().map(|g| g.demand);
        self.poll_all = false;
    }

    /// Returns the description of the engine's experts, where it has any.
    fn experts(&self) -> Option<Experts> {
        self.reader.engine().and_then(|e| e.experts)
    }

    /// Sends orders to the ranks of the group.
    fn send_orders(&mut self, orders: Vec<RankOrder>) {
        if let Some(group) = &self.group {
            self.calls.send_orders(orders, &group.addresses);
        }
    }
}
